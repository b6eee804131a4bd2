//! Recursive descent parser (GraphQL specification, section 2 and appendix B). [`Limits::depth`] bounds the recursion.

use crate::ast::*;
use crate::lexer::{Token, TokenKind, tokenize};
use crate::{Error, HARD_DEPTH_LIMIT, Limits, Pos};

/// Parses a document of executable definitions, type system definitions and extensions, in any mix.
///
/// # Errors
/// The first lexical or syntax error, with its position.
pub fn parse(source: &str, limits: &Limits) -> Result<Document, Error> {
    let tokens = tokenize(source, limits)?;
    let document = Document { token_count: tokens.len() - 1, ..Document::default() };
    let max_depth = limits.depth.min(HARD_DEPTH_LIMIT);
    let mut parser =
        Parser { tokens, next: 0, depth: 0, max_depth, remaining_aliases: limits.aliases, document };
    if parser.peek().kind == TokenKind::EndOfInput {
        return Err(Error::new(parser.peek().pos, "the document is empty"));
    }
    while parser.peek().kind != TokenKind::EndOfInput {
        parser.definition()?;
    }
    Ok(parser.document)
}

struct Parser<'a> {
    tokens: Vec<Token<'a>>,
    next: usize,
    depth: usize,
    max_depth: usize,
    remaining_aliases: usize,
    document: Document,
}

type ParseResult<T> = Result<T, Error>;

impl<'a> Parser<'a> {
    fn peek(&self) -> &Token<'a> {
        &self.tokens[self.next]
    }

    fn advance(&mut self) -> Token<'a> {
        let token = self.tokens[self.next].clone();
        self.next = (self.next + 1).min(self.tokens.len() - 1);
        token
    }

    fn unexpected_token<T>(&self, expected: &str) -> ParseResult<T> {
        Err(Error::new(self.peek().pos, format!("expected {expected}, found {}", self.peek().describe())))
    }

    fn peek_is(&self, c: char) -> bool {
        self.peek().kind == TokenKind::Punctuator(c)
    }

    fn eat(&mut self, c: char) -> bool {
        let found = self.peek_is(c);
        if found {
            self.advance();
        }
        found
    }

    fn expect(&mut self, c: char) -> ParseResult<()> {
        if self.eat(c) { Ok(()) } else { self.unexpected_token(&format!("`{c}`")) }
    }

    fn peek_name(&self) -> Option<&'a str> {
        if self.peek().kind == TokenKind::Name { Some(self.peek().text) } else { None }
    }

    fn eat_keyword(&mut self, keyword: &str) -> bool {
        let found = self.peek_name() == Some(keyword);
        if found {
            self.advance();
        }
        found
    }

    fn name(&mut self) -> ParseResult<String> {
        if self.peek_name().is_none() {
            return self.unexpected_token("a name");
        }
        Ok(self.advance().text.to_owned())
    }

    fn enter_nested(&mut self) -> ParseResult<()> {
        self.depth += 1;
        if self.depth > self.max_depth {
            return Err(Error::new(self.peek().pos, format!("nested deeper than {}", self.max_depth)));
        }
        Ok(())
    }

    fn definition(&mut self) -> ParseResult<()> {
        let pos = self.peek().pos;
        if self.peek_is('{') {
            let selection_set = self.selection_set()?;
            let (kind, name, variables, directives) = (OperationKind::Query, None, Vec::new(), Vec::new());
            self.document.operations.push(OperationDef {
                kind,
                name,
                variables,
                directives,
                selection_set,
                pos,
            });
            return Ok(());
        }
        if let TokenKind::Str(_) = self.peek().kind {
            self.advance();
            return match self.peek_name() {
                Some("query" | "mutation" | "subscription" | "fragment" | "extend") | None => {
                    self.unexpected_token("a type definition after a description")
                }
                _ => self.type_system_definition(pos, false),
            };
        }
        match self.peek_name() {
            Some("query") => self.operation(OperationKind::Query),
            Some("mutation") => self.operation(OperationKind::Mutation),
            Some("subscription") => self.operation(OperationKind::Subscription),
            Some("fragment") => self.fragment(),
            Some("extend") => {
                self.advance();
                self.type_system_definition(pos, true)
            }
            _ => self.type_system_definition(pos, false),
        }
    }

    fn operation(&mut self, kind: OperationKind) -> ParseResult<()> {
        let pos = self.advance().pos;
        let name = if self.peek_name().is_some() { Some(self.name()?) } else { None };
        let mut variables = Vec::new();
        if self.eat('(') {
            while !self.eat(')') || variables.is_empty() {
                let pos = self.peek().pos;
                self.expect('$')?;
                let name = self.name()?;
                self.expect(':')?;
                let ty = self.type_reference()?;
                let default = if self.eat('=') { Some(self.value(true)?) } else { None };
                self.directives(true)?;
                variables.push(VariableDef { name, ty, default, pos });
            }
        }
        let directives = self.directives(false)?;
        let selection_set = self.selection_set()?;
        self.document.operations.push(OperationDef { kind, name, variables, directives, selection_set, pos });
        Ok(())
    }

    fn fragment(&mut self) -> ParseResult<()> {
        let pos = self.advance().pos;
        if self.peek_name() == Some("on") {
            return self.unexpected_token("a fragment's name other than `on`");
        }
        let name = self.name()?;
        if !self.eat_keyword("on") {
            return self.unexpected_token("`on`");
        }
        let type_condition = self.name()?;
        let directives = self.directives(false)?;
        let selection_set = self.selection_set()?;
        self.document.fragments.push(FragmentDef { name, type_condition, directives, selection_set, pos });
        Ok(())
    }

    fn selection_set(&mut self) -> ParseResult<SelectionSetId> {
        self.expect('{')?;
        self.enter_nested()?;
        let mut selections = Vec::new();
        while !self.eat('}') || selections.is_empty() {
            let selection = self.selection()?;
            selections.push(selection);
        }
        self.depth -= 1;
        self.document.selection_sets.push(selections);
        Ok(self.document.selection_sets.len() - 1)
    }

    fn selection(&mut self) -> ParseResult<Selection> {
        let pos = self.peek().pos;
        if self.peek().kind == TokenKind::Ellipsis {
            self.advance();
            if let Some(name) = self.peek_name().filter(|n| *n != "on") {
                self.advance();
                let directives = self.directives(false)?;
                return Ok(Selection::FragmentSpread { name: name.to_owned(), directives, pos });
            }
            let type_condition = if self.eat_keyword("on") { Some(self.name()?) } else { None };
            let directives = self.directives(false)?;
            let selection_set = self.selection_set()?;
            return Ok(Selection::InlineFragment { type_condition, directives, selection_set, pos });
        }
        let first = self.name()?;
        let (alias, name) = if self.eat(':') { (Some(first), self.name()?) } else { (None, first) };
        if alias.is_some() {
            self.remaining_aliases = match self.remaining_aliases.checked_sub(1) {
                Some(remaining) => remaining,
                None => return Err(Error::new(pos, "more aliases than allowed")),
            };
        }
        let arguments = self.arguments(false)?;
        let directives = self.directives(false)?;
        let selection_set = if self.peek_is('{') { Some(self.selection_set()?) } else { None };
        Ok(Selection::Field(Field { alias, name, arguments, directives, selection_set, pos }))
    }

    fn arguments(&mut self, constant: bool) -> ParseResult<Vec<Argument>> {
        let mut arguments = Vec::new();
        if self.eat('(') {
            while !self.eat(')') || arguments.is_empty() {
                let pos = self.peek().pos;
                let name = self.name()?;
                self.expect(':')?;
                arguments.push(Argument { name, value: self.value(constant)?, pos });
            }
        }
        Ok(arguments)
    }

    fn directives(&mut self, constant: bool) -> ParseResult<Vec<Directive>> {
        let mut directives = Vec::new();
        while self.peek_is('@') {
            let pos = self.advance().pos;
            let name = self.name()?;
            directives.push(Directive { name, arguments: self.arguments(constant)?, pos });
        }
        Ok(directives)
    }

    fn value(&mut self, constant: bool) -> ParseResult<Value> {
        let pos = self.peek().pos;
        let kind = match self.peek().kind.clone() {
            TokenKind::Punctuator('$') if !constant => {
                self.advance();
                ValueKind::Variable(self.name()?)
            }
            TokenKind::Int => ValueKind::Int(self.advance().text.to_owned()),
            TokenKind::Float => ValueKind::Float(self.advance().text.to_owned()),
            TokenKind::Str(text) => {
                self.advance();
                ValueKind::Str(text)
            }
            TokenKind::Name => match self.advance().text {
                "true" => ValueKind::Bool(true),
                "false" => ValueKind::Bool(false),
                "null" => ValueKind::Null,
                name => ValueKind::Enum(name.to_owned()),
            },
            TokenKind::Punctuator('[') => {
                self.advance();
                self.enter_nested()?;
                let mut values = Vec::new();
                while !self.eat(']') {
                    values.push(self.value(constant)?);
                }
                self.depth -= 1;
                ValueKind::List(values)
            }
            TokenKind::Punctuator('{') => {
                self.advance();
                self.enter_nested()?;
                let mut fields: Vec<(String, Value)> = Vec::new();
                while !self.eat('}') {
                    let pos = self.peek().pos;
                    let name = self.name()?;
                    if fields.iter().any(|(n, _)| *n == name) {
                        return Err(Error::new(pos, format!("input field `{name}` is given twice")));
                    }
                    self.expect(':')?;
                    let value = self.value(constant)?;
                    fields.push((name, value));
                }
                self.depth -= 1;
                ValueKind::Object(fields)
            }
            _ if constant => return self.unexpected_token("a constant value"),
            _ => return self.unexpected_token("a value"),
        };
        Ok(Value { kind, pos })
    }

    fn type_reference(&mut self) -> ParseResult<Type> {
        let inner = if self.eat('[') {
            self.enter_nested()?;
            let inner = self.type_reference()?;
            self.depth -= 1;
            self.expect(']')?;
            Type::List(Box::new(inner))
        } else {
            Type::Named(self.name()?)
        };
        Ok(if self.eat('!') { Type::NonNull(Box::new(inner)) } else { inner })
    }

    // Type system definitions and extensions (section 3).

    fn type_system_definition(&mut self, pos: Pos, is_extension: bool) -> ParseResult<()> {
        let keyword = self.peek_name().unwrap_or("");
        let keywords = ["schema", "scalar", "type", "interface", "union", "enum", "input", "directive"];
        if !keywords.contains(&keyword) || (is_extension && keyword == "directive") {
            return self.unexpected_token("a definition");
        }
        self.advance();
        if keyword == "schema" {
            let no_directives = self.directives(true)?.is_empty();
            if is_extension && no_directives && !self.peek_is('{') {
                return self.unexpected_token("what the extension adds");
            }
            let mut root_operation_types = Vec::new();
            if self.peek_is('{') || !is_extension {
                self.expect('{')?;
                while !self.eat('}') || root_operation_types.is_empty() {
                    let kind = match self.name()?.as_str() {
                        "query" => OperationKind::Query,
                        "mutation" => OperationKind::Mutation,
                        "subscription" => OperationKind::Subscription,
                        _ => return self.unexpected_token("`query`, `mutation` or `subscription` before"),
                    };
                    self.expect(':')?;
                    root_operation_types.push((kind, self.name()?));
                }
            }
            self.document.type_system_definitions.push(TypeSystemDef::Schema { root_operation_types, pos });
            return Ok(());
        }
        if keyword == "directive" {
            self.expect('@')?;
            let name = self.name()?;
            let arguments = self.input_value_definitions('(', ')')?;
            self.eat_keyword("repeatable");
            if !self.eat_keyword("on") {
                return self.unexpected_token("`on`");
            }
            self.eat('|');
            self.name()?;
            while self.eat('|') {
                self.name()?;
            }
            self.document.type_system_definitions.push(TypeSystemDef::Directive { name, arguments, pos });
            return Ok(());
        }
        let name = self.name()?;
        let interfaces =
            if matches!(keyword, "type" | "interface") { self.implemented_interfaces()? } else { Vec::new() };
        let directives = self.directives(true)?;
        let body = match keyword {
            "scalar" => TypeBody::Scalar,
            "type" => TypeBody::Object { interfaces, fields: self.field_definitions()? },
            "interface" => TypeBody::Interface { interfaces, fields: self.field_definitions()? },
            "union" => {
                let mut members = Vec::new();
                if self.eat('=') {
                    self.eat('|');
                    members.push(self.name()?);
                    while self.eat('|') {
                        members.push(self.name()?);
                    }
                }
                TypeBody::Union(members)
            }
            "enum" => {
                let mut values = Vec::new();
                if self.eat('{') {
                    while !self.eat('}') || values.is_empty() {
                        self.skip_description();
                        if matches!(self.peek_name(), Some("true" | "false" | "null")) {
                            return self.unexpected_token("an enum value other than true, false and null");
                        }
                        values.push(self.name()?);
                        self.directives(true)?;
                    }
                }
                TypeBody::Enum(values)
            }
            _ => TypeBody::Input(self.input_value_definitions('{', '}')?),
        };
        // An extension must add something (sections 3.5 to 3.10).
        let is_empty = match &body {
            TypeBody::Scalar => true,
            TypeBody::Object { interfaces, fields } | TypeBody::Interface { interfaces, fields } => {
                interfaces.is_empty() && fields.is_empty()
            }
            TypeBody::Union(names) | TypeBody::Enum(names) => names.is_empty(),
            TypeBody::Input(fields) => fields.is_empty(),
        };
        if is_extension && is_empty && directives.is_empty() {
            return self.unexpected_token("what the extension adds");
        }
        self.document.type_system_definitions.push(TypeSystemDef::Type {
            name,
            body,
            directives,
            is_extension,
            pos,
        });
        Ok(())
    }

    fn skip_description(&mut self) {
        if let TokenKind::Str(_) = self.peek().kind {
            self.advance();
        }
    }

    fn implemented_interfaces(&mut self) -> ParseResult<Vec<String>> {
        let mut interfaces = Vec::new();
        if self.eat_keyword("implements") {
            self.eat('&');
            interfaces.push(self.name()?);
            while self.eat('&') {
                interfaces.push(self.name()?);
            }
        }
        Ok(interfaces)
    }

    fn field_definitions(&mut self) -> ParseResult<Vec<FieldDef>> {
        let mut fields = Vec::new();
        if self.eat('{') {
            while !self.eat('}') || fields.is_empty() {
                self.skip_description();
                let pos = self.peek().pos;
                let name = self.name()?;
                let arguments = self.input_value_definitions('(', ')')?;
                self.expect(':')?;
                let ty = self.type_reference()?;
                fields.push(FieldDef { name, arguments, ty, directives: self.directives(true)?, pos });
            }
        }
        Ok(fields)
    }

    fn input_value_definitions(&mut self, open: char, close: char) -> ParseResult<Vec<InputValueDef>> {
        let mut inputs = Vec::new();
        if self.eat(open) {
            while !self.eat(close) || inputs.is_empty() {
                self.skip_description();
                let pos = self.peek().pos;
                let name = self.name()?;
                self.expect(':')?;
                let ty = self.type_reference()?;
                let default = if self.eat('=') { Some(self.value(true)?) } else { None };
                inputs.push(InputValueDef { name, ty, default, directives: self.directives(true)?, pos });
            }
        }
        Ok(inputs)
    }
}
