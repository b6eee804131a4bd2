//! Schema built from its SDL, with the weights and list sizes of the IBM cost directive specification.

use crate::ast::*;
use crate::parser::parse;
use crate::variables::check_literal;
use crate::{Error, HARD_DEPTH_LIMIT, Limits, OperationKind, Pos};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) type TypeId = usize;

#[derive(Clone, Debug)]
pub(crate) struct InputValue {
    pub ty: Type,
    pub default: Option<Value>,
    pub weight: Option<f64>,
}

#[derive(Clone, Debug)]
pub(crate) struct ListSize {
    pub assumed_size: Option<f64>,
    pub slicing_arguments: Vec<String>,
    pub sized_fields: Vec<String>,
    pub require_one_slicing: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct OutputField {
    pub ty: Type,
    pub named_type: TypeId,
    pub arguments: BTreeMap<String, InputValue>,
    pub weight: Option<f64>,
    pub list_size: Option<ListSize>,
    pub pos: Pos,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TypeKind {
    Scalar,
    Object,
    Interface,
    Union,
    Enum,
    Input,
}

#[derive(Clone, Debug)]
pub(crate) struct TypeDef {
    pub name: String,
    pub kind: TypeKind,
    pub fields: BTreeMap<String, OutputField>,
    pub input_fields: BTreeMap<String, InputValue>,
    pub enum_values: BTreeSet<String>,
    /// Names of the interfaces of an object or interface type, or of the members of a union.
    pub related_types: BTreeSet<String>,
    /// Object types that a value of this type can have; for an object type, itself.
    pub possible_types: BTreeSet<TypeId>,
    pub weight: Option<f64>,
    pub pos: Pos,
}

impl TypeDef {
    pub fn is_composite(&self) -> bool {
        matches!(self.kind, TypeKind::Object | TypeKind::Interface | TypeKind::Union)
    }

    pub fn is_input_type(&self) -> bool {
        matches!(self.kind, TypeKind::Scalar | TypeKind::Enum | TypeKind::Input)
    }
}

/// A valid schema.
#[derive(Clone, Debug)]
pub struct Schema {
    pub(crate) types: Vec<TypeDef>,
    pub(crate) type_ids: BTreeMap<String, TypeId>,
    pub(crate) directives: BTreeMap<String, BTreeMap<String, InputValue>>,
    query: TypeId,
    mutation: Option<TypeId>,
    subscription: Option<TypeId>,
}

/// Definitions in every schema: the built-in scalars (section 3.5) and directives (section 3.13), the directives of the
/// IBM cost directive specification, and the introspection types (section 4.2), whose type cost is 0.
/// The parser ignores the locations of a directive, so each has only one here.
const BUILT_IN: &str = r#"
scalar Int scalar Float scalar String scalar Boolean scalar ID
directive @skip(if: Boolean!) on FIELD
directive @include(if: Boolean!) on FIELD
directive @deprecated(reason: String = "No longer supported") on FIELD_DEFINITION
directive @specifiedBy(url: String!) on SCALAR
directive @cost(weight: String!) on OBJECT
directive @listSize(assumedSize: Int, slicingArguments: [String!], sizedFields: [String!],
    requireOneSlicingArgument: Boolean = true) on FIELD_DEFINITION
type __Schema @cost(weight: "0") { description: String types: [__Type!]! queryType: __Type! mutationType: __Type
    subscriptionType: __Type directives: [__Directive!]! }
type __Type @cost(weight: "0") { kind: __TypeKind! name: String description: String specifiedByURL: String
    fields(includeDeprecated: Boolean = false): [__Field!] interfaces: [__Type!] possibleTypes: [__Type!]
    enumValues(includeDeprecated: Boolean = false): [__EnumValue!]
    inputFields(includeDeprecated: Boolean = false): [__InputValue!] ofType: __Type }
enum __TypeKind { SCALAR OBJECT INTERFACE UNION ENUM INPUT_OBJECT LIST NON_NULL }
type __Field @cost(weight: "0") { name: String! description: String type: __Type! isDeprecated: Boolean!
    args(includeDeprecated: Boolean = false): [__InputValue!]! deprecationReason: String }
type __InputValue @cost(weight: "0") { name: String! description: String type: __Type! defaultValue: String
    isDeprecated: Boolean! deprecationReason: String }
type __EnumValue @cost(weight: "0") { name: String! description: String isDeprecated: Boolean!
    deprecationReason: String }
type __Directive @cost(weight: "0") { name: String! description: String locations: [String!]!
    args(includeDeprecated: Boolean = false): [__InputValue!]! isRepeatable: Boolean! }
"#;

impl Schema {
    /// Builds a schema from its SDL.
    ///
    /// # Errors
    /// All errors found, with their positions.
    pub fn parse(source: &str) -> Result<Self, Vec<Error>> {
        let limits = Limits {
            bytes: 8 << 20,
            tokens: 1 << 20,
            depth: HARD_DEPTH_LIMIT,
            aliases: 0,
            ..Limits::default()
        };
        let document = parse(source, &limits).map_err(|e| vec![e])?;
        let built_in = parse(BUILT_IN, &limits).map_err(|e| vec![e])?;
        let mut builder = SchemaBuilder::default();
        builder.add_document(&built_in, true);
        builder.add_document(&document, false);
        builder.build(&document)
    }

    pub(crate) fn type_id(&self, name: &str) -> Option<TypeId> {
        self.type_ids.get(name).copied()
    }

    pub(crate) fn root_type(&self, kind: OperationKind) -> Option<TypeId> {
        match kind {
            OperationKind::Query => Some(self.query),
            OperationKind::Mutation => self.mutation,
            OperationKind::Subscription => self.subscription,
        }
    }

    /// Names of the fields of a root operation type, without introspection. The settings assign classes to them.
    pub fn root_fields(&self, kind: OperationKind) -> impl Iterator<Item = &str> {
        let fields = self.root_type(kind).map(|t| &self.types[t].fields);
        fields.into_iter().flatten().map(|(name, _)| name.as_str()).filter(|n| !n.starts_with("__"))
    }

    /// Weight of one value of a type: `@cost`, or else 1 for composite and input object types and 0 for leaf types. For
    /// an abstract type, the maximum over its possible types.
    pub(crate) fn type_weight(&self, id: TypeId) -> f64 {
        let instance_weight = |id: TypeId| {
            let def = &self.types[id];
            def.weight.unwrap_or(if def.is_composite() || def.kind == TypeKind::Input { 1.0 } else { 0.0 })
        };
        let def = &self.types[id];
        if matches!(def.kind, TypeKind::Interface | TypeKind::Union) {
            return def.possible_types.iter().map(|p| instance_weight(*p)).fold(0.0, f64::max);
        }
        instance_weight(id)
    }
}

#[derive(Default)]
struct SchemaBuilder {
    types: Vec<TypeDef>,
    type_ids: BTreeMap<String, TypeId>,
    directives: BTreeMap<String, BTreeMap<String, InputValue>>,
    root_operation_types: Vec<(OperationKind, String, Pos)>,
    errors: Vec<Error>,
}

impl SchemaBuilder {
    fn error(&mut self, pos: Pos, message: String) {
        self.errors.push(Error::new(pos, message));
    }

    fn weight(&mut self, directives: &[Directive]) -> Option<f64> {
        let cost = directives.iter().find(|d| d.name == "cost")?;
        let weight = cost.arguments.iter().find(|a| a.name == "weight").map(|a| &a.value.kind);
        let parsed = match weight {
            Some(ValueKind::Str(text)) => text.trim().parse().ok().filter(|w: &f64| w.is_finite()),
            _ => None,
        };
        if parsed.is_none() {
            self.error(cost.pos, "@cost needs weight: a string that holds a finite number".into());
        }
        parsed
    }

    fn list_size(&mut self, field: &FieldDef) -> Option<ListSize> {
        let directive = field.directives.iter().find(|d| d.name == "listSize")?;
        let mut list_size = ListSize {
            assumed_size: None,
            slicing_arguments: Vec::new(),
            sized_fields: Vec::new(),
            require_one_slicing: true,
        };
        for argument in &directive.arguments {
            let names = match &argument.value.kind {
                ValueKind::List(values) => {
                    let string =
                        |v: &Value| if let ValueKind::Str(s) = &v.kind { Some(s.clone()) } else { None };
                    values.iter().map(string).collect::<Option<Vec<_>>>()
                }
                _ => None,
            };
            match (argument.name.as_str(), &argument.value.kind, names) {
                ("assumedSize", ValueKind::Int(n), _) => {
                    list_size.assumed_size = n.parse().ok().filter(|n: &f64| *n >= 0.0)
                }
                ("slicingArguments", _, Some(names)) => list_size.slicing_arguments = names,
                ("sizedFields", _, Some(names)) => list_size.sized_fields = names,
                ("requireOneSlicingArgument", ValueKind::Bool(b), _) => list_size.require_one_slicing = *b,
                (name, ..) => {
                    self.error(argument.pos, format!("@listSize: `{name}` is unknown or of the wrong type"))
                }
            }
        }
        for name in &list_size.slicing_arguments {
            let argument = field.arguments.iter().find(|a| a.name == *name);
            if argument.is_none_or(|a| a.ty.is_list() || a.ty.named_type() != "Int") {
                let text =
                    format!("@listSize: slicing argument `{name}` is no Int argument of `{}`", field.name);
                self.error(directive.pos, text);
            }
        }
        Some(list_size)
    }

    fn input_value(&mut self, def: &InputValueDef) -> InputValue {
        InputValue { ty: def.ty.clone(), default: def.default.clone(), weight: self.weight(&def.directives) }
    }

    fn input_values(&mut self, defs: &[InputValueDef]) -> BTreeMap<String, InputValue> {
        let mut inputs = BTreeMap::new();
        for def in defs {
            let input = self.input_value(def);
            if inputs.insert(def.name.clone(), input).is_some() {
                self.error(def.pos, format!("`{}` is defined twice", def.name));
            }
        }
        inputs
    }

    fn add_document(&mut self, document: &Document, built_in: bool) {
        let first_executable =
            document.operations.iter().map(|o| o.pos).chain(document.fragments.iter().map(|f| f.pos)).min();
        if let Some(pos) = first_executable {
            self.error(pos, "a schema holds no operations and no fragments".into());
        }
        let is_extension = |d: &&TypeSystemDef| matches!(d, TypeSystemDef::Type { is_extension: true, .. });
        let definitions = document.type_system_definitions.iter();
        let ordered =
            definitions.clone().filter(|d| !is_extension(d)).chain(definitions.filter(is_extension));
        for definition in ordered {
            match definition {
                TypeSystemDef::Schema { root_operation_types, pos } => {
                    self.root_operation_types
                        .extend(root_operation_types.iter().map(|(kind, name)| (*kind, name.clone(), *pos)));
                }
                TypeSystemDef::Directive { name, arguments, pos } => {
                    let arguments = self.input_values(arguments);
                    let is_known = self.directives.insert(name.clone(), arguments).is_some();
                    let redefinable = ["cost", "listSize", "skip", "include", "deprecated", "specifiedBy"];
                    if is_known && !redefinable.contains(&name.as_str()) {
                        self.error(*pos, format!("directive `@{name}` is defined twice"));
                    }
                }
                TypeSystemDef::Type { name, body, directives, is_extension, pos } => {
                    if name.starts_with("__") && !built_in {
                        self.error(*pos, format!("`{name}`: names with two underscores are reserved"));
                    }
                    self.add_type(name, body, directives, *is_extension, *pos);
                }
            }
        }
    }

    fn add_type(
        &mut self, name: &str, body: &TypeBody, directives: &[Directive], is_extension: bool, pos: Pos,
    ) {
        let kind = match body {
            TypeBody::Scalar => TypeKind::Scalar,
            TypeBody::Object { .. } => TypeKind::Object,
            TypeBody::Interface { .. } => TypeKind::Interface,
            TypeBody::Union(_) => TypeKind::Union,
            TypeBody::Enum(_) => TypeKind::Enum,
            TypeBody::Input(_) => TypeKind::Input,
        };
        let weight = self.weight(directives);
        let existing = self.type_ids.get(name).copied();
        let id = match (existing, is_extension) {
            (Some(id), true) if self.types[id].kind == kind => id,
            (Some(_), true) => {
                return self.error(pos, format!("`{name}` is extended as another kind of type"));
            }
            (None, true) => return self.error(pos, format!("`{name}` is extended and not defined")),
            (Some(_), false) => return self.error(pos, format!("type `{name}` is defined twice")),
            (None, false) => {
                let (fields, input_fields, enum_values) = Default::default();
                let (related_types, possible_types) = Default::default();
                let name = name.to_owned();
                self.type_ids.insert(name.clone(), self.types.len());
                self.types.push(TypeDef {
                    name,
                    kind,
                    fields,
                    input_fields,
                    enum_values,
                    related_types,
                    possible_types,
                    weight: None,
                    pos,
                });
                self.types.len() - 1
            }
        };
        let mut fields = Vec::new();
        let mut related_types = Vec::new();
        match body {
            TypeBody::Scalar => {}
            TypeBody::Object { interfaces, fields: f } | TypeBody::Interface { interfaces, fields: f } => {
                related_types.clone_from(interfaces);
                fields.clone_from(f);
            }
            TypeBody::Union(members) => related_types.clone_from(members),
            TypeBody::Enum(values) => self.types[id].enum_values.extend(values.iter().cloned()),
            TypeBody::Input(inputs) => {
                let inputs = self.input_values(inputs);
                self.types[id].input_fields.extend(inputs);
            }
        }
        for field in fields {
            let arguments = self.input_values(&field.arguments);
            let (weight, list_size) = (self.weight(&field.directives), self.list_size(&field));
            if field.name.starts_with("__") {
                self.error(field.pos, format!("`{}`: names with two underscores are reserved", field.name));
            }
            let output_field = OutputField {
                ty: field.ty.clone(),
                // Set by `resolve_types`.
                named_type: 0,
                arguments,
                weight,
                list_size,
                pos: field.pos,
            };
            if self.types[id].fields.insert(field.name.clone(), output_field).is_some() {
                self.error(field.pos, format!("field `{name}.{}` is defined twice", field.name));
            }
        }
        self.types[id].related_types.extend(related_types);
        self.types[id].weight = weight.or(self.types[id].weight);
    }

    fn build(mut self, document: &Document) -> Result<Schema, Vec<Error>> {
        let start = Pos { line: 1, column: 1 };
        let has_schema_definition = !self.root_operation_types.is_empty();
        let mut root_type = |kind, default: &str| {
            let found = self.root_operation_types.iter().find(|(k, ..)| *k == kind).cloned();
            let (name, pos) = match found {
                Some((_, name, pos)) => (name, pos),
                None if has_schema_definition => return None,
                None => (default.to_owned(), start),
            };
            match self.type_ids.get(&name) {
                Some(id) if self.types[*id].kind == TypeKind::Object => Some(*id),
                _ if has_schema_definition => {
                    self.errors.push(Error::new(pos, format!("root type `{name}` is no object type")));
                    None
                }
                _ => None,
            }
        };
        let query = root_type(OperationKind::Query, "Query");
        let mutation = root_type(OperationKind::Mutation, "Mutation");
        let subscription = root_type(OperationKind::Subscription, "Subscription");
        if query.is_none() {
            self.error(start, "a schema needs a query root: `type Query`, or `schema { query: ... }`".into());
        }
        self.resolve_types();
        if let Some(query) = query {
            let meta_field = |named_type: TypeId, type_name: &str, arguments| {
                let (weight, list_size) = (Some(0.0), None);
                OutputField {
                    ty: Type::Named(type_name.into()),
                    named_type,
                    arguments,
                    weight,
                    list_size,
                    pos: start,
                }
            };
            let (introspection_schema, introspection_type) =
                (self.type_ids["__Schema"], self.type_ids["__Type"]);
            let name = Type::NonNull(Box::new(Type::Named("String".into())));
            let name = InputValue { ty: name, default: None, weight: None };
            let fields = &mut self.types[query].fields;
            fields.insert("__schema".into(), meta_field(introspection_schema, "__Schema", BTreeMap::new()));
            fields.insert(
                "__type".into(),
                meta_field(introspection_type, "__Type", BTreeMap::from([("name".into(), name)])),
            );
        }
        let (types, type_ids, directives) = (self.types, self.type_ids, self.directives);
        let mut errors = self.errors;
        let Some(query) = query else { return Err(errors) };
        let schema = Schema { types, type_ids, directives, query, mutation, subscription };
        schema.check_defaults(document, &mut errors);
        if errors.is_empty() { Ok(schema) } else { Err(errors) }
    }

    /// Checks the references between types, and fills in the possible types and the named types of fields.
    fn resolve_types(&mut self) {
        let mut errors = Vec::new();
        for id in 0..self.types.len() {
            let def = &self.types[id];
            let error = |pos: Pos, text: String| Error::new(pos, text);
            let is_empty = match def.kind {
                TypeKind::Object | TypeKind::Interface => def.fields.is_empty(),
                TypeKind::Union => def.related_types.is_empty(),
                TypeKind::Enum => def.enum_values.is_empty(),
                TypeKind::Input => def.input_fields.is_empty(),
                TypeKind::Scalar => false,
            };
            if is_empty {
                errors.push(error(def.pos, format!("type `{}` has no fields, members or values", def.name)));
            }
            let arguments = def.fields.values().flat_map(|f| f.arguments.iter().map(move |a| (f.pos, a)));
            for (pos, (name, input)) in arguments.chain(def.input_fields.iter().map(|i| (def.pos, i))) {
                let found = self.type_ids.get(input.ty.named_type()).map(|t| &self.types[*t]);
                if found.is_none_or(|t| !t.is_input_type()) {
                    errors
                        .push(error(pos, format!("`{name}`: `{}` is no input type", input.ty.named_type())));
                }
            }
            for related in &def.related_types {
                let expected =
                    if def.kind == TypeKind::Union { TypeKind::Object } else { TypeKind::Interface };
                let Some(other) =
                    self.type_ids.get(related).map(|t| &self.types[*t]).filter(|t| t.kind == expected)
                else {
                    errors.push(error(def.pos, format!("`{}`: `{related}` is no {expected:?}", def.name)));
                    continue;
                };
                for name in other.fields.keys().filter(|_| expected == TypeKind::Interface) {
                    if !def.fields.contains_key(name) {
                        let text = format!("`{}` lacks field `{name}` of interface `{related}`", def.name);
                        errors.push(error(def.pos, text));
                    }
                }
            }
            for (name, field) in &def.fields {
                let found = self.type_ids.get(field.ty.named_type()).map(|t| &self.types[*t]);
                let Some(found) = found.filter(|t| t.kind != TypeKind::Input) else {
                    errors.push(error(
                        field.pos,
                        format!("`{name}`: `{}` is no output type", field.ty.named_type()),
                    ));
                    continue;
                };
                for sized_field in field.list_size.iter().flat_map(|s| &s.sized_fields) {
                    if found.fields.get(sized_field).is_none_or(|f| !f.ty.is_list()) {
                        let text =
                            format!("@listSize: sized field `{sized_field}` is no list of `{}`", found.name);
                        errors.push(error(field.pos, text));
                    }
                }
                if let Some(list_size) = &field.list_size
                    && !field.ty.is_list()
                    && list_size.sized_fields.is_empty()
                {
                    errors.push(error(
                        field.pos,
                        format!("@listSize: `{name}` is no list and names no sizedFields"),
                    ));
                }
            }
        }
        self.errors.extend(errors);
        let id = |name: &str| self.type_ids.get(name).copied();
        let objects: Vec<TypeId> =
            (0..self.types.len()).filter(|t| self.types[*t].kind == TypeKind::Object).collect();
        let possible_types: Vec<BTreeSet<TypeId>> = (0..self.types.len())
            .map(|type_id| match self.types[type_id].kind {
                TypeKind::Object => BTreeSet::from([type_id]),
                TypeKind::Interface => {
                    let name = &self.types[type_id].name;
                    objects.iter().copied().filter(|o| self.types[*o].related_types.contains(name)).collect()
                }
                TypeKind::Union => self.types[type_id].related_types.iter().filter_map(|m| id(m)).collect(),
                _ => BTreeSet::new(),
            })
            .collect();
        let named_types: Vec<BTreeMap<String, TypeId>> = self
            .types
            .iter()
            .map(|t| t.fields.iter().filter_map(|(n, f)| Some((n.clone(), id(f.ty.named_type())?))).collect())
            .collect();
        for ((def, possible_types), named_types) in self.types.iter_mut().zip(possible_types).zip(named_types)
        {
            def.possible_types = possible_types;
            for (name, field) in &mut def.fields {
                field.named_type = named_types.get(name).copied().unwrap_or(0);
            }
        }
    }
}

impl Schema {
    fn check_defaults(&self, document: &Document, errors: &mut Vec<Error>) {
        let mut check = |def: &InputValueDef| {
            if let Some(default) = &def.default {
                check_literal(self, default, &def.ty, &mut |_, _, _| {}, errors);
            }
        };
        for definition in &document.type_system_definitions {
            match definition {
                TypeSystemDef::Type { body: TypeBody::Input(defs), .. } => defs.iter().for_each(&mut check),
                TypeSystemDef::Type {
                    body: TypeBody::Object { fields, .. } | TypeBody::Interface { fields, .. },
                    ..
                } => fields.iter().flat_map(|f| &f.arguments).for_each(&mut check),
                TypeSystemDef::Directive { arguments, .. } => arguments.iter().for_each(&mut check),
                _ => {}
            }
        }
    }
}
