//! Validation of executable documents (GraphQL specification, section 5), limited to the rules that a gateway needs:
//! those without which the price of an operation would be meaningless or unbounded. Field merging is in `merge.rs`.

use crate::ast::*;
use crate::merge;
use crate::schema::{InputValue, Schema, TypeId};
use crate::variables::{check_literal, location_type};
use crate::{Error, Limits, OperationKind, Pos};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Validates all operations and fragments of a document.
///
/// # Errors
/// All errors found, with their positions. Undefined and cyclic fragments end the validation, and field merging is
/// checked only if the other rules hold.
pub fn validate(schema: &Schema, document: &Document, limits: &Limits) -> Result<(), Vec<Error>> {
    let mut validator = Validator { schema, document, errors: Vec::new() };
    validator.validate(limits);
    if validator.errors.is_empty() { Ok(()) } else { Err(validator.errors) }
}

struct Validator<'a> {
    schema: &'a Schema,
    document: &'a Document,
    errors: Vec<Error>,
}

/// Use of a variable: its name, the type expected at that location, and the position.
type VariableUse<'a> = (&'a str, Type, Pos);

impl<'a> Validator<'a> {
    fn error(&mut self, pos: Pos, message: String) {
        self.errors.push(Error::new(pos, message));
    }

    fn validate(&mut self, limits: &Limits) {
        let document = self.document;
        if document.operations.is_empty() {
            self.error(Pos { line: 1, column: 1 }, "the document holds no operation".into());
        }
        if let Some(definition) = document.type_system_definitions.first() {
            let (TypeSystemDef::Schema { pos, .. }
            | TypeSystemDef::Type { pos, .. }
            | TypeSystemDef::Directive { pos, .. }) = definition;
            self.error(*pos, "a type system has no place in a request".into());
        }
        let mut fragments: HashMap<&str, &FragmentDef> = HashMap::new();
        for fragment in &document.fragments {
            if fragments.insert(&fragment.name, fragment).is_some() {
                self.error(fragment.pos, format!("fragment `{}` is defined twice", fragment.name));
            }
        }
        let mut names = BTreeSet::new();
        for operation in &document.operations {
            match &operation.name {
                Some(name) if !names.insert(name) => {
                    self.error(operation.pos, format!("operation `{name}` is defined twice"));
                }
                None if document.operations.len() > 1 => {
                    self.error(operation.pos, "an operation without a name must be the only one".into());
                }
                _ => {}
            }
        }
        let Some(sorted_fragments) = self.sort_fragments(&fragments) else { return };
        // Sizes are summed up from the innermost fragments outward: expanding the spreads could take exponential time.
        let mut sizes: HashMap<&str, (u64, usize)> = HashMap::new();
        for fragment in &sorted_fragments {
            let size = self.expanded_size(fragment.selection_set, &sizes);
            sizes.insert(&fragment.name, size);
        }
        for operation in &document.operations {
            let (fields, depth) = self.expanded_size(operation.selection_set, &sizes);
            if fields > limits.expansion {
                let text = format!("{fields} fields with all fragments spread, at most {}", limits.expansion);
                self.error(operation.pos, text);
            }
            if depth > limits.depth {
                self.error(
                    operation.pos,
                    format!("nested {depth} deep with all fragments spread, at most {}", limits.depth),
                );
            }
        }
        let mut uses_by_fragment: HashMap<&str, Vec<VariableUse<'a>>> = HashMap::new();
        for def in &sorted_fragments {
            let mut uses = Vec::new();
            let id =
                self.schema.type_id(&def.type_condition).filter(|t| self.schema.types[*t].is_composite());
            match id {
                Some(id) => self.check_selections(def.selection_set, id, &fragments, &mut uses),
                None => self.error(def.pos, format!("`{}` is no composite type", def.type_condition)),
            }
            self.check_directives(&def.directives, &mut uses);
            uses_by_fragment.insert(&def.name, uses);
        }
        for operation in &document.operations {
            self.check_operation(operation, &fragments, &uses_by_fragment);
        }
        if !self.errors.is_empty() {
            return;
        }
        for operation in &document.operations {
            let root = self.schema.root_type(operation.kind);
            let result = root
                .map(|root| merge::check(self.schema, document, &fragments, operation.selection_set, root));
            self.errors.extend(result.and_then(Result::err));
        }
    }

    /// Sorts the fragments so that each follows those it spreads. Reports an error and returns `None` if a fragment is
    /// undefined or spreads itself (sections 5.5.2.1 and 5.5.2.2).
    fn sort_fragments(&mut self, fragments: &HashMap<&str, &'a FragmentDef>) -> Option<Vec<&'a FragmentDef>> {
        let document = self.document;
        let mut dependencies: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let mut dependents: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let mut has_undefined = false;
        for fragment in &document.fragments {
            let own_dependencies = dependencies.entry(&fragment.name).or_default();
            for (name, _) in document.nested_fragment_spreads(fragment.selection_set) {
                if fragments.contains_key(name) && own_dependencies.insert(name) {
                    dependents.entry(name).or_default().push(&fragment.name);
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
                has_undefined = true;
                self.errors.push(Error::new(pos, format!("fragment `{name}` is not defined")));
            }
        }
        let mut ready: Vec<&str> =
            dependencies.iter().filter(|(_, d)| d.is_empty()).map(|(n, _)| *n).collect();
        let mut sorted = Vec::new();
        while let Some(name) = ready.pop() {
            sorted.push(fragments[name]);
            for dependent in dependents.remove(name).unwrap_or_default() {
                if let Some(remaining) = dependencies.get_mut(dependent) {
                    remaining.remove(name);
                    if remaining.is_empty() {
                        ready.push(dependent);
                    }
                }
            }
        }
        if sorted.len() < fragments.len() {
            let cyclic = document
                .fragments
                .iter()
                .find(|f| dependencies.get(f.name.as_str()).is_some_and(|d| !d.is_empty()));
            if let Some(fragment) = cyclic {
                self.error(
                    fragment.pos,
                    format!("fragment `{}` spreads itself, over others or not", fragment.name),
                );
            }
            return None;
        }
        if has_undefined { None } else { Some(sorted) }
    }

    /// Number of fields and depth of a selection set after expanding all fragment spreads. Looks up the sizes of
    /// fragments, so that it recurses only as deep as the source nests.
    fn expanded_size(
        &self, selection_set: SelectionSetId, sizes: &HashMap<&str, (u64, usize)>,
    ) -> (u64, usize) {
        let (mut fields, mut depth) = (0u64, 0);
        for selection in &self.document.selection_sets[selection_set] {
            let (selection_fields, selection_depth) = match selection {
                Selection::Field(field) => {
                    let (fields, depth) =
                        field.selection_set.map_or((0, 0), |s| self.expanded_size(s, sizes));
                    (fields.saturating_add(1), depth)
                }
                Selection::FragmentSpread { name, .. } => sizes.get(name.as_str()).copied().unwrap_or((0, 0)),
                Selection::InlineFragment { selection_set, .. } => self.expanded_size(*selection_set, sizes),
            };
            fields = fields.saturating_add(selection_fields);
            depth = depth.max(selection_depth);
        }
        (fields, depth + 1)
    }

    fn check_operation(
        &mut self, operation: &'a OperationDef, fragments: &HashMap<&str, &'a FragmentDef>,
        uses_by_fragment: &HashMap<&str, Vec<VariableUse<'a>>>,
    ) {
        let Some(root) = self.schema.root_type(operation.kind) else {
            return self
                .error(operation.pos, format!("the schema has no {:?} root", operation.kind).to_lowercase());
        };
        let mut variables: BTreeMap<&str, &VariableDef> = BTreeMap::new();
        for def in &operation.variables {
            if variables.insert(&def.name, def).is_some() {
                self.error(def.pos, format!("variable `${}` is defined twice", def.name));
            }
            match self.schema.type_id(def.ty.named_type()) {
                Some(id) if self.schema.types[id].is_input_type() => {
                    if let Some(default) = &def.default {
                        check_literal(self.schema, default, &def.ty, &mut |_, _, _| {}, &mut self.errors);
                    }
                }
                _ => self
                    .error(def.pos, format!("`${}`: `{}` is no input type", def.name, def.ty.named_type())),
            }
        }
        let mut uses = Vec::new();
        self.check_selections(operation.selection_set, root, fragments, &mut uses);
        self.check_directives(&operation.directives, &mut uses);
        // Fragments that the operation spreads, directly or through other fragments.
        let (mut pending, mut reached) = (vec![operation.selection_set], BTreeSet::new());
        while let Some(selection_set) = pending.pop() {
            for (name, _) in self.document.nested_fragment_spreads(selection_set) {
                if reached.insert(name) {
                    pending.extend(fragments.get(name).map(|f| f.selection_set));
                }
            }
        }
        let all_uses = reached.iter().filter_map(|n| uses_by_fragment.get(n)).flatten().chain(&uses);
        let mut errors = Vec::new();
        for (name, expected, pos) in all_uses {
            match variables.get(name) {
                None => errors
                    .push(Error::new(*pos, format!("variable `${name}` is not defined by the operation"))),
                Some(def) if !is_variable_usage_allowed(def, expected) => {
                    let text = format!("variable `${name}` of type `{}` does not fit `{expected}`", def.ty);
                    errors.push(Error::new(*pos, text));
                }
                Some(_) => {}
            }
        }
        self.errors.extend(errors);
        if operation.kind == OperationKind::Subscription
            && self.document.selection_sets[operation.selection_set].len() != 1
        {
            self.error(operation.pos, "a subscription has one root field".into());
        }
    }

    fn check_selections(
        &mut self, selection_set: SelectionSetId, parent: TypeId, fragments: &HashMap<&str, &'a FragmentDef>,
        uses: &mut Vec<VariableUse<'a>>,
    ) {
        let (document, schema) = (self.document, self.schema);
        for selection in &document.selection_sets[selection_set] {
            match selection {
                Selection::Field(field) => self.check_field(field, parent, fragments, uses),
                Selection::FragmentSpread { name, directives, pos } => {
                    self.check_directives(directives, uses);
                    let type_condition =
                        fragments.get(name.as_str()).and_then(|f| schema.type_id(&f.type_condition));
                    if let Some(type_condition) = type_condition {
                        self.check_spread_possible(parent, type_condition, *pos);
                    }
                }
                Selection::InlineFragment { type_condition, directives, selection_set, pos } => {
                    self.check_directives(directives, uses);
                    let id = type_condition.as_ref().map_or(Some(parent), |c| schema.type_id(c));
                    match id.filter(|t| schema.types[*t].is_composite()) {
                        Some(id) => {
                            self.check_spread_possible(parent, id, *pos);
                            self.check_selections(*selection_set, id, fragments, uses);
                        }
                        None => {
                            let name = type_condition.as_deref().unwrap_or_default();
                            self.error(*pos, format!("`{name}` is no composite type"));
                        }
                    }
                }
            }
        }
    }

    fn check_spread_possible(&mut self, parent: TypeId, type_condition: TypeId, pos: Pos) {
        let (p, c) = (&self.schema.types[parent], &self.schema.types[type_condition]);
        if p.possible_types.is_disjoint(&c.possible_types) {
            let text = format!("a value of `{}` can never be a `{}`", p.name, c.name);
            self.error(pos, text);
        }
    }

    fn check_field(
        &mut self, field: &'a Field, parent: TypeId, fragments: &HashMap<&str, &'a FragmentDef>,
        uses: &mut Vec<VariableUse<'a>>,
    ) {
        let (schema, type_def) = (self.schema, &self.schema.types[parent]);
        self.check_directives(&field.directives, uses);
        if field.name == "__typename" {
            if field.selection_set.is_some() || !field.arguments.is_empty() {
                self.error(field.pos, "`__typename` takes no arguments and has no fields".into());
            }
            return;
        }
        let Some(found) = type_def.fields.get(&field.name) else {
            return self.error(field.pos, format!("type `{}` has no field `{}`", type_def.name, field.name));
        };
        let owner = format!("field `{}.{}`", type_def.name, field.name);
        self.check_arguments(&owner, field.pos, &field.arguments, &found.arguments, uses);
        let is_composite = schema.types[found.named_type].is_composite();
        match (field.selection_set, is_composite) {
            (Some(set), true) => self.check_selections(set, found.named_type, fragments, uses),
            (None, false) => {}
            (Some(_), false) => {
                self.error(field.pos, format!("{owner} of type `{}` has no fields of its own", found.ty))
            }
            (None, true) => {
                self.error(field.pos, format!("{owner} of type `{}` needs a selection of fields", found.ty))
            }
        }
    }

    fn check_arguments(
        &mut self, owner: &str, pos: Pos, arguments: &'a [Argument],
        definitions: &BTreeMap<String, InputValue>, uses: &mut Vec<VariableUse<'a>>,
    ) {
        let mut names = BTreeSet::new();
        for argument in arguments {
            if !names.insert(&argument.name) {
                self.error(argument.pos, format!("argument `{}` is given twice", argument.name));
            }
            match definitions.get(&argument.name) {
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
                None => self.error(argument.pos, format!("{owner} has no argument `{}`", argument.name)),
            }
        }
        for (name, input) in definitions {
            if matches!(input.ty, Type::NonNull(_)) && input.default.is_none() && !names.contains(name) {
                self.error(pos, format!("{owner} needs argument `{name}`"));
            }
        }
    }

    fn check_directives(&mut self, directives: &'a [Directive], uses: &mut Vec<VariableUse<'a>>) {
        let mut names = BTreeSet::new();
        for directive in directives {
            let schema = self.schema;
            if !names.insert(&directive.name) && matches!(directive.name.as_str(), "skip" | "include") {
                self.error(directive.pos, format!("`@{}` is given twice", directive.name));
            }
            match schema.directives.get(&directive.name) {
                Some(definitions) => {
                    let owner = format!("directive `@{}`", directive.name);
                    self.check_arguments(&owner, directive.pos, &directive.arguments, definitions, uses);
                }
                None => self.error(directive.pos, format!("directive `@{}` is unknown", directive.name)),
            }
        }
    }
}

/// Whether a variable may be used where a type is expected (section 5.8.5).
fn is_variable_usage_allowed(def: &VariableDef, location_type: &Type) -> bool {
    match (location_type, &def.ty) {
        (Type::NonNull(inner), ty) if !matches!(ty, Type::NonNull(_)) => {
            let has_default = def.default.as_ref().is_some_and(|d| d.kind != ValueKind::Null);
            has_default && are_types_compatible(ty, inner)
        }
        _ => are_types_compatible(&def.ty, location_type),
    }
}

fn are_types_compatible(variable_type: &Type, location_type: &Type) -> bool {
    match (variable_type, location_type) {
        (Type::NonNull(v), Type::NonNull(l)) => are_types_compatible(v, l),
        (_, Type::NonNull(_)) => false,
        (Type::NonNull(v), l) => are_types_compatible(v, l),
        (Type::List(v), Type::List(l)) => are_types_compatible(v, l),
        (Type::Named(v), Type::Named(l)) => v == l,
        _ => false,
    }
}
