//! The validation that a gateway needs (GraphQL specification, section 5): what would make the price of an
//! operation meaningless or let it grow without bound. Merging of fields is in `merge.rs`.

use crate::ast::*;
use crate::merge;
use crate::schema::{Input, Schema, TypeId};
use crate::variables::{check_literal, location_type};
use crate::{Error, Limits, OperationKind, Pos};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Validates all operations and fragments of a document.
///
/// # Errors
/// Every fault found, with its place.
pub fn validate(schema: &Schema, document: &Document, limits: &Limits) -> Result<(), Vec<Error>> {
    let mut check = Check { schema, document, errors: Vec::new() };
    check.run(limits);
    if check.errors.is_empty() { Ok(()) } else { Err(check.errors) }
}

struct Check<'a> {
    schema: &'a Schema,
    document: &'a Document,
    errors: Vec<Error>,
}

/// A variable's use: its name, the type its place wants, and where.
type Use<'a> = (&'a str, Type, Pos);

impl<'a> Check<'a> {
    fn fault(&mut self, pos: Pos, message: String) {
        self.errors.push(Error::new(pos, message));
    }

    fn run(&mut self, limits: &Limits) {
        let document = self.document;
        if document.operations.is_empty() {
            self.fault(Pos { line: 1, column: 1 }, "the document holds no operation".into());
        }
        if let Some(definition) = document.type_system_definitions.first() {
            let (TypeSystemDef::Schema { pos, .. }
            | TypeSystemDef::Type { pos, .. }
            | TypeSystemDef::Directive { pos, .. }) = definition;
            self.fault(*pos, "a type system has no place in a request".into());
        }
        let mut fragments: HashMap<&str, &FragmentDef> = HashMap::new();
        for fragment in &document.fragments {
            if fragments.insert(&fragment.name, fragment).is_some() {
                self.fault(fragment.pos, format!("fragment `{}` is defined twice", fragment.name));
            }
        }
        let mut names = BTreeSet::new();
        for operation in &document.operations {
            match &operation.name {
                Some(name) if !names.insert(name) => {
                    self.fault(operation.pos, format!("operation `{name}` is defined twice"));
                }
                None if document.operations.len() > 1 => {
                    self.fault(operation.pos, "an operation without a name must be the only one".into());
                }
                _ => {}
            }
        }
        let Some(order) = self.order(&fragments) else { return };
        // What each fragment holds in all, found from the innermost outward: never by spreading them out.
        let mut sizes: HashMap<&str, (u64, usize)> = HashMap::new();
        for fragment in &order {
            let size = self.size(fragment.selection_set, &sizes);
            sizes.insert(&fragment.name, size);
        }
        for operation in &document.operations {
            let (fields, depth) = self.size(operation.selection_set, &sizes);
            if fields > limits.expansion {
                let text = format!("{fields} fields with all fragments spread, at most {}", limits.expansion);
                self.fault(operation.pos, text);
            }
            if depth > limits.depth {
                self.fault(
                    operation.pos,
                    format!("nested {depth} deep with all fragments spread, at most {}", limits.depth),
                );
            }
        }
        let mut uses: HashMap<&str, Vec<Use<'a>>> = HashMap::new();
        for fragment in &order {
            let mut found = Vec::new();
            let id =
                self.schema.find(&fragment.type_condition).filter(|t| self.schema.types[*t].is_composite());
            match id {
                Some(id) => self.selection_set(fragment.selection_set, id, &fragments, &mut found),
                None => {
                    self.fault(fragment.pos, format!("`{}` is no composite type", fragment.type_condition))
                }
            }
            self.directives(&fragment.directives, &mut found);
            uses.insert(&fragment.name, found);
        }
        for operation in &document.operations {
            self.operation(operation, &fragments, &uses);
        }
        if !self.errors.is_empty() {
            return;
        }
        for operation in &document.operations {
            let root = self.schema.root(operation.kind);
            let merged = root
                .map(|root| merge::check(self.schema, document, &fragments, operation.selection_set, root));
            self.errors.extend(merged.and_then(Result::err));
        }
    }

    /// The fragments, each behind those it spreads; `None` with a fault where they form a cycle.
    fn order(&mut self, fragments: &HashMap<&str, &'a FragmentDef>) -> Option<Vec<&'a FragmentDef>> {
        let document = self.document;
        let mut waits: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let mut users: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let mut unknown = false;
        for fragment in &document.fragments {
            let own = waits.entry(&fragment.name).or_default();
            for (name, _) in document.nested_fragment_spreads(fragment.selection_set) {
                if fragments.contains_key(name) && own.insert(name) {
                    users.entry(name).or_default().push(&fragment.name);
                }
            }
        }
        let definition_selection_sets = document
            .operations
            .iter()
            .map(|o| o.selection_set)
            .chain(document.fragments.iter().map(|f| f.selection_set));
        for (name, pos) in definition_selection_sets.flat_map(|s| document.nested_fragment_spreads(s)) {
            if !fragments.contains_key(name) {
                unknown = true;
                self.errors.push(Error::new(pos, format!("fragment `{name}` is not defined")));
            }
        }
        let mut free: Vec<&str> = waits.iter().filter(|(_, w)| w.is_empty()).map(|(n, _)| *n).collect();
        let mut order = Vec::new();
        while let Some(name) = free.pop() {
            order.push(fragments[name]);
            for user in users.remove(name).unwrap_or_default() {
                if let Some(wait) = waits.get_mut(user) {
                    wait.remove(name);
                    if wait.is_empty() {
                        free.push(user);
                    }
                }
            }
        }
        if order.len() < fragments.len() {
            let cyclic =
                document.fragments.iter().find(|f| waits.get(f.name.as_str()).is_some_and(|w| !w.is_empty()));
            if let Some(fragment) = cyclic {
                self.fault(
                    fragment.pos,
                    format!("fragment `{}` spreads itself, over others or not", fragment.name),
                );
            }
            return None;
        }
        if unknown { None } else { Some(order) }
    }

    /// Fields and depth of a set with all fragments spread. Recursion only within the source's own nesting.
    fn size(&self, selection_set: SelectionSetId, fragments: &HashMap<&str, (u64, usize)>) -> (u64, usize) {
        let (mut fields, mut depth) = (0u64, 0);
        for selection in &self.document.selection_sets[selection_set] {
            let (more, deep) = match selection {
                Selection::Field(field) => {
                    let (f, d) = field.selection_set.map_or((0, 0), |s| self.size(s, fragments));
                    (f.saturating_add(1), d)
                }
                Selection::FragmentSpread { name, .. } => {
                    fragments.get(name.as_str()).copied().unwrap_or((0, 0))
                }
                Selection::InlineFragment { selection_set, .. } => self.size(*selection_set, fragments),
            };
            fields = fields.saturating_add(more);
            depth = depth.max(deep);
        }
        (fields, depth + 1)
    }

    fn operation(
        &mut self, operation: &'a OperationDef, fragments: &HashMap<&str, &'a FragmentDef>,
        uses: &HashMap<&str, Vec<Use<'a>>>,
    ) {
        let Some(root) = self.schema.root(operation.kind) else {
            return self
                .fault(operation.pos, format!("the schema has no {:?} root", operation.kind).to_lowercase());
        };
        let mut known: BTreeMap<&str, &VariableDef> = BTreeMap::new();
        for def in &operation.variables {
            if known.insert(&def.name, def).is_some() {
                self.fault(def.pos, format!("variable `${}` is defined twice", def.name));
            }
            match self.schema.find(def.ty.named_type()) {
                Some(id) if self.schema.types[id].is_input() => {
                    if let Some(default) = &def.default {
                        check_literal(self.schema, default, &def.ty, &mut |_, _, _| {}, &mut self.errors);
                    }
                }
                _ => self
                    .fault(def.pos, format!("`${}`: `{}` is no input type", def.name, def.ty.named_type())),
            }
        }
        let mut found = Vec::new();
        self.selection_set(operation.selection_set, root, fragments, &mut found);
        self.directives(&operation.directives, &mut found);
        // The fragments that the operation reaches.
        let (mut open, mut reached) = (vec![operation.selection_set], BTreeSet::new());
        while let Some(selection_set) = open.pop() {
            for (name, _) in self.document.nested_fragment_spreads(selection_set) {
                if reached.insert(name) {
                    open.extend(fragments.get(name).map(|f| f.selection_set));
                }
            }
        }
        let all = reached.iter().filter_map(|n| uses.get(n)).flatten().chain(&found);
        let mut errors = Vec::new();
        for (name, wanted, pos) in all {
            match known.get(name) {
                None => errors
                    .push(Error::new(*pos, format!("variable `${name}` is not defined by the operation"))),
                Some(def) if !usable(def, wanted) => {
                    let text = format!("variable `${name}` of type `{}` does not fit `{wanted}`", def.ty);
                    errors.push(Error::new(*pos, text));
                }
                Some(_) => {}
            }
        }
        self.errors.extend(errors);
        if operation.kind == OperationKind::Subscription
            && self.document.selection_sets[operation.selection_set].len() != 1
        {
            self.fault(operation.pos, "a subscription has one root field".into());
        }
    }

    fn selection_set(
        &mut self, selection_set: SelectionSetId, parent: TypeId, fragments: &HashMap<&str, &'a FragmentDef>,
        uses: &mut Vec<Use<'a>>,
    ) {
        let (document, schema) = (self.document, self.schema);
        for selection in &document.selection_sets[selection_set] {
            match selection {
                Selection::Field(field) => self.field(field, parent, fragments, uses),
                Selection::FragmentSpread { name, directives, pos } => {
                    self.directives(directives, uses);
                    let type_condition =
                        fragments.get(name.as_str()).and_then(|f| schema.find(&f.type_condition));
                    if let Some(type_condition) = type_condition {
                        self.overlap(parent, type_condition, *pos);
                    }
                }
                Selection::InlineFragment { type_condition, directives, selection_set, pos } => {
                    self.directives(directives, uses);
                    let id = type_condition.as_ref().map_or(Some(parent), |c| schema.find(c));
                    match id.filter(|t| schema.types[*t].is_composite()) {
                        Some(id) => {
                            self.overlap(parent, id, *pos);
                            self.selection_set(*selection_set, id, fragments, uses);
                        }
                        None => {
                            let name = type_condition.as_deref().unwrap_or_default();
                            self.fault(*pos, format!("`{name}` is no composite type"));
                        }
                    }
                }
            }
        }
    }

    fn overlap(&mut self, parent: TypeId, type_condition: TypeId, pos: Pos) {
        let (p, c) = (&self.schema.types[parent], &self.schema.types[type_condition]);
        if p.possible.is_disjoint(&c.possible) {
            let text = format!("a value of `{}` can never be a `{}`", p.name, c.name);
            self.fault(pos, text);
        }
    }

    fn field(
        &mut self, field: &'a Field, parent: TypeId, fragments: &HashMap<&str, &'a FragmentDef>,
        uses: &mut Vec<Use<'a>>,
    ) {
        let (schema, def) = (self.schema, &self.schema.types[parent]);
        self.directives(&field.directives, uses);
        if field.name == "__typename" {
            if field.selection_set.is_some() || !field.arguments.is_empty() {
                self.fault(field.pos, "`__typename` takes no arguments and has no fields".into());
            }
            return;
        }
        let Some(found) = def.fields.get(&field.name) else {
            return self.fault(field.pos, format!("type `{}` has no field `{}`", def.name, field.name));
        };
        let what = format!("field `{}.{}`", def.name, field.name);
        self.arguments(&what, field.pos, &field.arguments, &found.arguments, uses);
        let composite = schema.types[found.named].is_composite();
        match (field.selection_set, composite) {
            (Some(selection_set), true) => self.selection_set(selection_set, found.named, fragments, uses),
            (None, false) => {}
            (Some(_), false) => {
                self.fault(field.pos, format!("{what} of type `{}` has no fields of its own", found.ty))
            }
            (None, true) => {
                self.fault(field.pos, format!("{what} of type `{}` needs a selection of fields", found.ty))
            }
        }
    }

    fn arguments(
        &mut self, what: &str, pos: Pos, given: &'a [Argument], known: &BTreeMap<String, Input>,
        uses: &mut Vec<Use<'a>>,
    ) {
        let mut names = BTreeSet::new();
        for argument in given {
            if !names.insert(&argument.name) {
                self.fault(argument.pos, format!("argument `{}` is given twice", argument.name));
            }
            match known.get(&argument.name) {
                Some(input) => {
                    let mut on = |name, ty, pos| uses.push((name, ty, pos));
                    check_literal(
                        self.schema,
                        &argument.value,
                        &location_type(input),
                        &mut on,
                        &mut self.errors,
                    );
                }
                None => self.fault(argument.pos, format!("{what} has no argument `{}`", argument.name)),
            }
        }
        for (name, input) in known {
            if matches!(input.ty, Type::NonNull(_)) && input.default.is_none() && !names.contains(name) {
                self.fault(pos, format!("{what} needs argument `{name}`"));
            }
        }
    }

    fn directives(&mut self, directives: &'a [Directive], uses: &mut Vec<Use<'a>>) {
        let mut names = BTreeSet::new();
        for directive in directives {
            let schema = self.schema;
            if !names.insert(&directive.name) && matches!(directive.name.as_str(), "skip" | "include") {
                self.fault(directive.pos, format!("`@{}` is given twice", directive.name));
            }
            match schema.directives.get(&directive.name) {
                Some(known) => {
                    let what = format!("directive `@{}`", directive.name);
                    self.arguments(&what, directive.pos, &directive.arguments, known, uses);
                }
                None => self.fault(directive.pos, format!("directive `@{}` is unknown", directive.name)),
            }
        }
    }
}

/// Whether a variable may stand where a type is wanted (section 5.8.5).
fn usable(def: &VariableDef, wanted: &Type) -> bool {
    match (wanted, &def.ty) {
        (Type::NonNull(inner), ty) if !matches!(ty, Type::NonNull(_)) => {
            let default = def.default.as_ref().is_some_and(|d| d.kind != ValueKind::Null);
            default && compatible(ty, inner)
        }
        _ => compatible(&def.ty, wanted),
    }
}

fn compatible(given: &Type, wanted: &Type) -> bool {
    match (given, wanted) {
        (Type::NonNull(g), Type::NonNull(w)) => compatible(g, w),
        (_, Type::NonNull(_)) => false,
        (Type::NonNull(g), w) => compatible(g, w),
        (Type::List(g), Type::List(w)) => compatible(g, w),
        (Type::Named(g), Type::Named(w)) => g == w,
        _ => false,
    }
}
