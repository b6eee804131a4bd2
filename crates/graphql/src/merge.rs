//! Field selection merging (GraphQL specification, section 5.3.2): fields with the same response name must be the same
//! field with the same arguments if they can apply to the same object, and must have the same response shape in any
//! case. Without this rule, only the first of them would be priced, and all of them forwarded to the backend.
//!
//! Comparing all pairs is quadratic in the number of equal fields. Instead, the fields with one response name are
//! collected once and each is compared with the first; their nested selection sets are then checked together. This
//! takes two passes, since the shape must agree across all parent types, but the field and its arguments only where the
//! parents can be the same object.

use crate::Error;
use crate::ast::*;
use crate::schema::{Schema, TypeId, TypeKind};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Maximum number of field visits for one operation. Fields on abstract types are visited again for each object type,
/// which a malicious document could use to multiply the work; a usual document needs a few visits per field.
const MAX_FIELD_VISITS: usize = 1_000_000;

/// Checks a selection set and all that are nested in it. The document must satisfy the other validation rules.
pub(crate) fn check(
    schema: &Schema, document: &Document, fragments: &HashMap<&str, &FragmentDef>,
    selection_set: SelectionSetId, root: TypeId,
) -> Result<(), Error> {
    let mut merging =
        FieldMerging { schema, document, fragments, visits: 0, checked: [HashSet::new(), HashSet::new()] };
    merging.check_selection_sets(&[(selection_set, root)], Pass::ResponseShape)?;
    merging.check_selection_sets(&[(selection_set, root)], Pass::Field)
}

#[derive(Clone, Copy, PartialEq)]
enum Pass {
    ResponseShape,
    Field,
}

/// A field and its parent type.
type FieldOnType<'a> = (&'a Field, TypeId);

struct FieldMerging<'a, 'b> {
    schema: &'a Schema,
    document: &'a Document,
    fragments: &'b HashMap<&'b str, &'a FragmentDef>,
    visits: usize,
    /// Groups of selection sets that each pass has already checked.
    checked: [HashSet<Vec<(SelectionSetId, TypeId)>>; 2],
}

impl<'a> FieldMerging<'a, '_> {
    /// Recurses as deep as the operation nests after expanding its fragments, which [`crate::Limits::depth`] bounds.
    fn check_selection_sets(
        &mut self, selection_sets: &[(SelectionSetId, TypeId)], pass: Pass,
    ) -> Result<(), Error> {
        // The usual case: only fields, each response name once. Only nested selection sets need a check.
        if let [(selection_set, parent)] = selection_sets
            && self.has_distinct_fields(*selection_set)
        {
            for selection in &self.document.selection_sets[*selection_set] {
                let Selection::Field(field) = selection else { continue };
                self.count_visits(1, field)?;
                let def = self.schema.types[*parent].fields.get(&field.name);
                if let (Some(selection_set), Some(def)) = (field.selection_set, def) {
                    self.check_selection_sets(&[(selection_set, def.named_type)], pass)?;
                }
            }
            return Ok(());
        }
        if selection_sets.is_empty()
            || !self.checked[usize::from(pass == Pass::Field)].insert(selection_sets.to_vec())
        {
            return Ok(());
        }
        for fields in self.collect_fields(selection_sets)?.into_values() {
            if let Pass::ResponseShape = pass {
                self.check_response_shape(&fields)?;
                self.check_nested(&fields, pass)?;
                continue;
            }
            // Fields on different object types never apply together; one on an abstract type may apply with any.
            let is_object = |f: &&FieldOnType| self.schema.types[f.1].kind == TypeKind::Object;
            let (on_objects, on_abstract_types): (Vec<&FieldOnType>, Vec<&FieldOnType>) =
                fields.iter().partition(is_object);
            let mut groups: BTreeMap<TypeId, Vec<FieldOnType<'a>>> = BTreeMap::new();
            on_objects.iter().for_each(|f| groups.entry(f.1).or_default().push(**f));
            // Without fields on object types, the fields on abstract types form one group; its key is not used.
            if groups.is_empty() {
                groups.insert(0, Vec::new());
            }
            for (_, mut group) in groups {
                group.extend(on_abstract_types.iter().map(|f| **f));
                self.count_visits(group.len(), group[0].0)?;
                self.check_same_field(&group)?;
                self.check_nested(&group, pass)?;
            }
        }
        Ok(())
    }

    /// Whether a selection set contains only fields, and no response name twice.
    fn has_distinct_fields(&self, selection_set: SelectionSetId) -> bool {
        let selections = &self.document.selection_sets[selection_set];
        let name =
            |s: &'a Selection| if let Selection::Field(f) = s { Some(f.response_name()) } else { None };
        // A short list is searched without the cost of a set; for a long one that would take quadratic time.
        if selections.len() > 16 {
            let mut names = HashSet::with_capacity(selections.len());
            return selections.iter().all(|s| name(s).is_some_and(|n| names.insert(n)));
        }
        selections
            .iter()
            .enumerate()
            .all(|(i, s)| name(s).is_some_and(|n| selections[..i].iter().all(|other| name(other) != Some(n))))
    }

    fn count_visits(&mut self, count: usize, field: &Field) -> Result<(), Error> {
        self.visits += count;
        if self.visits <= MAX_FIELD_VISITS {
            return Ok(());
        }
        Err(Error::new(field.pos, "the fields of this operation are merged in too many ways"))
    }

    /// Collects the fields of selection sets by response name. The fields of fragments follow those of the selection set
    /// that spreads them.
    fn collect_fields(
        &mut self, selection_sets: &[(SelectionSetId, TypeId)],
    ) -> Result<BTreeMap<&'a str, Vec<FieldOnType<'a>>>, Error> {
        let document = self.document;
        let mut fields: BTreeMap<&'a str, Vec<FieldOnType<'a>>> = BTreeMap::new();
        let (mut spread_fragments, mut pending) = (HashSet::new(), Vec::new());
        pending.extend(selection_sets.iter().rev().copied());
        while let Some((selection_set, parent)) = pending.pop() {
            let mut nested = Vec::new();
            for selection in &document.selection_sets[selection_set] {
                match selection {
                    Selection::Field(field) => {
                        self.count_visits(1, field)?;
                        fields.entry(field.response_name()).or_default().push((field, parent));
                    }
                    Selection::FragmentSpread { name, .. } => {
                        let Some(fragment) = self.fragments.get(name.as_str()) else { continue };
                        let type_id = self.schema.type_id(&fragment.type_condition);
                        if let Some(type_id) = type_id.filter(|_| spread_fragments.insert(name.as_str())) {
                            nested.push((fragment.selection_set, type_id));
                        }
                    }
                    Selection::InlineFragment { type_condition, selection_set, .. } => {
                        let type_id =
                            type_condition.as_ref().map_or(Some(parent), |c| self.schema.type_id(c));
                        nested.extend(type_id.map(|type_id| (*selection_set, type_id)));
                    }
                }
            }
            pending.extend(nested.into_iter().rev());
        }
        Ok(fields)
    }

    /// Checks the nested selection sets of fields with the same response name, all together.
    fn check_nested(&mut self, fields: &[FieldOnType<'a>], pass: Pass) -> Result<(), Error> {
        let mut selection_sets: Vec<(SelectionSetId, TypeId)> = Vec::new();
        let mut included = HashSet::new();
        for (field, parent) in fields {
            let def = self.schema.types[*parent].fields.get(&field.name);
            if let (Some(selection_set), Some(def)) = (field.selection_set, def) {
                selection_sets.extend(Some((selection_set, def.named_type)).filter(|s| included.insert(*s)));
            }
        }
        self.check_selection_sets(&selection_sets, pass)
    }

    fn check_response_shape(&self, fields: &[FieldOnType<'a>]) -> Result<(), Error> {
        let first = fields[0];
        let output_type =
            |f: &FieldOnType| self.schema.types[f.1].fields.get(&f.0.name).map(|d| (&d.ty, d.named_type));
        for other in &fields[1..] {
            let same = match (output_type(&first), output_type(other)) {
                (Some((a, named_a)), Some((b, named_b))) => {
                    let is_leaf = |t: TypeId| !self.schema.types[t].is_composite();
                    let same_type =
                        if is_leaf(named_a) || is_leaf(named_b) { named_a == named_b } else { true };
                    same_type && same_wrappers(a, b)
                }
                // `__typename: String!` exists on every type and has no definition.
                (None, None) => true,
                (Some((ty, named)), None) | (None, Some((ty, named))) => {
                    matches!(ty, Type::NonNull(inner) if matches!(**inner, Type::Named(_)))
                        && self.schema.types[named].name == "String"
                }
            };
            if !same {
                return Err(conflict(first.0, other.0, "answer with values of another shape"));
            }
        }
        Ok(())
    }

    fn check_same_field(&self, fields: &[FieldOnType<'a>]) -> Result<(), Error> {
        let first = fields[0].0;
        for (other, _) in &fields[1..] {
            if other.name != first.name {
                return Err(conflict(first, other, &format!("are `{}` and `{}`", first.name, other.name)));
            }
            let argument = |name: &str| first.arguments.iter().find(|a| a.name == name);
            let same = first.arguments.len() == other.arguments.len()
                && other
                    .arguments
                    .iter()
                    .all(|a| argument(&a.name).is_some_and(|b| same_value(&a.value, &b.value)));
            if !same {
                return Err(conflict(first, other, "have other arguments"));
            }
        }
        Ok(())
    }
}

fn conflict(first: &Field, other: &Field, reason: &str) -> Error {
    let (response_name, pos) = (first.response_name(), first.pos);
    let text = format!(
        "the fields `{response_name}` here and at {}:{} {reason}: give one another alias",
        pos.line, pos.column
    );
    Error::new(other.pos, text)
}

/// Whether the list and non-null wrappers of two types agree, whatever their named types.
fn same_wrappers(a: &Type, b: &Type) -> bool {
    match (a, b) {
        (Type::Named(_), Type::Named(_)) => true,
        (Type::List(a), Type::List(b)) | (Type::NonNull(a), Type::NonNull(b)) => same_wrappers(a, b),
        _ => false,
    }
}

/// Whether two literals are equal. Variables are compared by name, fields of an input object in any order.
fn same_value(a: &Value, b: &Value) -> bool {
    match (&a.kind, &b.kind) {
        (ValueKind::List(a), ValueKind::List(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same_value(a, b))
        }
        (ValueKind::Object(a), ValueKind::Object(b)) => {
            let fields: HashMap<&str, &Value> = a.iter().map(|(n, v)| (n.as_str(), v)).collect();
            a.len() == b.len()
                && b.iter().all(|(n, v)| fields.get(n.as_str()).is_some_and(|a| same_value(a, v)))
        }
        (a, b) => a == b,
    }
}
