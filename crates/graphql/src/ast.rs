//! Syntax tree of a document. Selection sets are stored in one arena, so that traversing and dropping them needs no
//! recursion.

use crate::Pos;

/// Kind of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Reads data.
    Query,
    /// Writes data, then reads.
    Mutation,
    /// Subscribes to a stream of responses.
    Subscription,
}

pub(crate) type SelectionSetId = usize;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ValueKind {
    Variable(String),
    Int(String),
    Float(String),
    Str(String),
    Bool(bool),
    Null,
    Enum(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Value {
    pub kind: ValueKind,
    pub pos: Pos,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Type {
    Named(String),
    List(Box<Type>),
    NonNull(Box<Type>),
}

impl Type {
    pub fn named_type(&self) -> &str {
        match self {
            Self::Named(name) => name,
            Self::List(inner) | Self::NonNull(inner) => inner.named_type(),
        }
    }

    pub fn nullable(&self) -> &Type {
        match self {
            Self::NonNull(inner) => inner,
            other => other,
        }
    }

    pub fn is_list(&self) -> bool {
        matches!(self.nullable(), Self::List(_))
    }
}

impl std::fmt::Display for Type {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Named(name) => write!(f, "{name}"),
            Self::List(inner) => write!(f, "[{inner}]"),
            Self::NonNull(inner) => write!(f, "{inner}!"),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Argument {
    pub name: String,
    pub value: Value,
    pub pos: Pos,
}

#[derive(Clone, Debug)]
pub(crate) struct Directive {
    pub name: String,
    pub arguments: Vec<Argument>,
    pub pos: Pos,
}

#[derive(Clone, Debug)]
pub(crate) struct Field {
    pub alias: Option<String>,
    pub name: String,
    pub arguments: Vec<Argument>,
    pub directives: Vec<Directive>,
    pub selection_set: Option<SelectionSetId>,
    pub pos: Pos,
}

impl Field {
    pub fn response_name(&self) -> &str {
        self.alias.as_ref().unwrap_or(&self.name)
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Selection {
    Field(Field),
    FragmentSpread {
        name: String,
        directives: Vec<Directive>,
        pos: Pos,
    },
    InlineFragment {
        type_condition: Option<String>,
        directives: Vec<Directive>,
        selection_set: SelectionSetId,
        pos: Pos,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct VariableDef {
    pub name: String,
    pub ty: Type,
    pub default: Option<Value>,
    pub pos: Pos,
}

#[derive(Clone, Debug)]
pub(crate) struct OperationDef {
    pub kind: OperationKind,
    pub name: Option<String>,
    pub variables: Vec<VariableDef>,
    pub directives: Vec<Directive>,
    pub selection_set: SelectionSetId,
    pub pos: Pos,
}

#[derive(Clone, Debug)]
pub(crate) struct FragmentDef {
    pub name: String,
    pub type_condition: String,
    pub directives: Vec<Directive>,
    pub selection_set: SelectionSetId,
    pub pos: Pos,
}

#[derive(Clone, Debug)]
pub(crate) struct InputValueDef {
    pub name: String,
    pub ty: Type,
    pub default: Option<Value>,
    pub directives: Vec<Directive>,
    pub pos: Pos,
}

#[derive(Clone, Debug)]
pub(crate) struct FieldDef {
    pub name: String,
    pub arguments: Vec<InputValueDef>,
    pub ty: Type,
    pub directives: Vec<Directive>,
    pub pos: Pos,
}

#[derive(Clone, Debug)]
pub(crate) enum TypeBody {
    Scalar,
    Object { interfaces: Vec<String>, fields: Vec<FieldDef> },
    Interface { interfaces: Vec<String>, fields: Vec<FieldDef> },
    Union(Vec<String>),
    Enum(Vec<String>),
    Input(Vec<InputValueDef>),
}

#[derive(Clone, Debug)]
pub(crate) enum TypeSystemDef {
    Schema { root_operation_types: Vec<(OperationKind, String)>, pos: Pos },
    Type { name: String, body: TypeBody, directives: Vec<Directive>, is_extension: bool, pos: Pos },
    Directive { name: String, arguments: Vec<InputValueDef>, pos: Pos },
}

/// A parsed document: operations, fragments and type system definitions.
#[derive(Clone, Debug, Default)]
pub struct Document {
    pub(crate) operations: Vec<OperationDef>,
    pub(crate) fragments: Vec<FragmentDef>,
    pub(crate) type_system_definitions: Vec<TypeSystemDef>,
    pub(crate) selection_sets: Vec<Vec<Selection>>,
    /// Number of tokens in the source.
    pub token_count: usize,
}

impl Document {
    /// Kind and name of each operation, in source order.
    pub fn operations(&self) -> impl Iterator<Item = (OperationKind, Option<&str>)> {
        self.operations.iter().map(|o| (o.kind, o.name.as_deref()))
    }

    /// Names of the fragments, in source order.
    pub fn fragment_names(&self) -> impl Iterator<Item = &str> {
        self.fragments.iter().map(|f| f.name.as_str())
    }

    /// Number of type system definitions and extensions.
    #[must_use]
    pub fn type_system_definition_count(&self) -> usize {
        self.type_system_definitions.len()
    }

    /// The selection set itself and all selection sets nested in it. Fragment spreads are not followed.
    pub(crate) fn nested_selection_sets(&self, selection_set: SelectionSetId) -> Vec<SelectionSetId> {
        let (mut nested_selection_sets, mut index) = (vec![selection_set], 0);
        while index < nested_selection_sets.len() {
            for selection in &self.selection_sets[nested_selection_sets[index]] {
                match selection {
                    Selection::Field(Field { selection_set: Some(selection_set), .. })
                    | Selection::InlineFragment { selection_set, .. } => {
                        nested_selection_sets.push(*selection_set)
                    }
                    _ => {}
                }
            }
            index += 1;
        }
        nested_selection_sets
    }

    /// Name and position of each fragment spread in the selection set or in one nested in it.
    pub(crate) fn nested_fragment_spreads(&self, selection_set: SelectionSetId) -> Vec<(&str, Pos)> {
        let selection_sets = self.nested_selection_sets(selection_set);
        let spread = |s: &'_ Selection| matches!(s, Selection::FragmentSpread { .. });
        let all =
            selection_sets.into_iter().flat_map(|s| self.selection_sets[s].iter()).filter(|s| spread(s));
        all.filter_map(|s| {
            if let Selection::FragmentSpread { name, pos, .. } = s {
                Some((name.as_str(), *pos))
            } else {
                None
            }
        })
        .collect()
    }
}
