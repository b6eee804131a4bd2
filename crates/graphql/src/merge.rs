//! Field selection merging (GraphQL specification, section 5.3.2): two fields of one response name must be the same
//! field with the same arguments wherever both can answer, and of one shape everywhere. Without it the price of the
//! first would be paid and both would be sent on.
//!
//! Not pair by pair, which a document of equal fields makes quadratic: the fields of one response name are gathered
//! once, each is compared with the first of them, and what lies below is gathered from all of them together. Two
//! passes, since shape must agree over all parents, the field itself only where parents can be the same object.

use crate::Error;
use crate::ast::*;
use crate::schema::{Schema, TypeId, TypeKind};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Fields looked at in one operation. Abstract parents are looked at beside each object they may be, which a hostile
/// schema and document could multiply; an honest document needs a few times its size.
const VISITS: usize = 1_000_000;

/// Checks a selection set and all below; the document must be valid otherwise.
pub(crate) fn check(
    schema: &Schema, document: &Document, fragments: &HashMap<&str, &FragmentDef>,
    selection_set: SelectionSetId, root: TypeId,
) -> Result<(), Error> {
    let mut merge = Merge { schema, document, fragments, visits: 0, seen: [HashSet::new(), HashSet::new()] };
    merge.selection_sets(&[(selection_set, root)], Pass::Shape)?;
    merge.selection_sets(&[(selection_set, root)], Pass::Field)
}

#[derive(Clone, Copy, PartialEq)]
enum Pass {
    Shape,
    Field,
}

/// A field and the type that it is asked of.
type Asked<'a> = (&'a Field, TypeId);

struct Merge<'a, 'b> {
    schema: &'a Schema,
    document: &'a Document,
    fragments: &'b HashMap<&'b str, &'a FragmentDef>,
    visits: usize,
    /// Groups of sets that were looked at in each pass.
    seen: [HashSet<Vec<(SelectionSetId, TypeId)>>; 2],
}

impl<'a> Merge<'a, '_> {
    /// Recursion is as deep as the document nests with its fragments spread, which is bounded.
    fn selection_sets(
        &mut self, selection_sets: &[(SelectionSetId, TypeId)], pass: Pass,
    ) -> Result<(), Error> {
        // Most sets: fields alone, no name twice. Nothing is merged there, only below.
        if let [(selection_set, parent)] = selection_sets
            && self.distinct(*selection_set)
        {
            for selection in &self.document.selection_sets[*selection_set] {
                let Selection::Field(field) = selection else { continue };
                self.visit(1, field)?;
                let def = self.schema.types[*parent].fields.get(&field.name);
                if let (Some(selection_set), Some(def)) = (field.selection_set, def) {
                    self.selection_sets(&[(selection_set, def.named_type)], pass)?;
                }
            }
            return Ok(());
        }
        if selection_sets.is_empty()
            || !self.seen[usize::from(pass == Pass::Field)].insert(selection_sets.to_vec())
        {
            return Ok(());
        }
        for fields in self.gather(selection_sets)?.into_values() {
            if let Pass::Shape = pass {
                self.shapes(&fields)?;
                self.below(&fields, pass)?;
                continue;
            }
            // Fields of different objects never answer together; one of an abstract type may answer with any.
            let object = |f: &&Asked| self.schema.types[f.1].kind == TypeKind::Object;
            let (of_objects, of_any): (Vec<&Asked>, Vec<&Asked>) = fields.iter().partition(object);
            let mut groups: BTreeMap<TypeId, Vec<Asked<'a>>> = BTreeMap::new();
            of_objects.iter().for_each(|f| groups.entry(f.1).or_default().push(**f));
            if groups.is_empty() {
                groups.insert(0, Vec::new());
            }
            for (_, mut group) in groups {
                group.extend(of_any.iter().map(|f| **f));
                self.visit(group.len(), group[0].0)?;
                self.same(&group)?;
                self.below(&group, pass)?;
            }
        }
        Ok(())
    }

    /// Whether a set holds fields alone, none of one response name.
    fn distinct(&self, selection_set: SelectionSetId) -> bool {
        let selections = &self.document.selection_sets[selection_set];
        let name =
            |s: &'a Selection| if let Selection::Field(f) = s { Some(f.response_name()) } else { None };
        if selections.len() > 16 {
            let mut names = HashSet::with_capacity(selections.len());
            return selections.iter().all(|s| name(s).is_some_and(|n| names.insert(n)));
        }
        selections
            .iter()
            .enumerate()
            .all(|(i, s)| name(s).is_some_and(|n| selections[..i].iter().all(|other| name(other) != Some(n))))
    }

    fn visit(&mut self, count: usize, field: &Field) -> Result<(), Error> {
        self.visits += count;
        if self.visits <= VISITS {
            return Ok(());
        }
        Err(Error::new(field.pos, "the fields of this operation are merged in too many ways"))
    }

    /// The fields of some sets by response name, through fragments, in the order of the source.
    fn gather(
        &mut self, selection_sets: &[(SelectionSetId, TypeId)],
    ) -> Result<BTreeMap<&'a str, Vec<Asked<'a>>>, Error> {
        let document = self.document;
        let mut all: BTreeMap<&'a str, Vec<Asked<'a>>> = BTreeMap::new();
        let (mut spread, mut open) = (HashSet::new(), Vec::new());
        open.extend(selection_sets.iter().rev().copied());
        while let Some((selection_set, parent)) = open.pop() {
            let mut inner = Vec::new();
            for selection in &document.selection_sets[selection_set] {
                match selection {
                    Selection::Field(field) => {
                        self.visit(1, field)?;
                        all.entry(field.response_name()).or_default().push((field, parent));
                    }
                    Selection::FragmentSpread { name, .. } => {
                        let Some(fragment) = self.fragments.get(name.as_str()) else { continue };
                        let on = self.schema.type_id(&fragment.type_condition);
                        if let Some(on) = on.filter(|_| spread.insert(name.as_str())) {
                            inner.push((fragment.selection_set, on));
                        }
                    }
                    Selection::InlineFragment { type_condition, selection_set, .. } => {
                        let on = type_condition.as_ref().map_or(Some(parent), |c| self.schema.type_id(c));
                        inner.extend(on.map(|on| (*selection_set, on)));
                    }
                }
            }
            open.extend(inner.into_iter().rev());
        }
        Ok(all)
    }

    /// What the fields of one response name ask of their values, together.
    fn below(&mut self, fields: &[Asked<'a>], pass: Pass) -> Result<(), Error> {
        let mut selection_sets: Vec<(SelectionSetId, TypeId)> = Vec::new();
        let mut had = HashSet::new();
        for (field, parent) in fields {
            let def = self.schema.types[*parent].fields.get(&field.name);
            if let (Some(selection_set), Some(def)) = (field.selection_set, def) {
                selection_sets.extend(Some((selection_set, def.named_type)).filter(|s| had.insert(*s)));
            }
        }
        self.selection_sets(&selection_sets, pass)
    }

    fn shapes(&self, fields: &[Asked<'a>]) -> Result<(), Error> {
        let first = fields[0];
        let of = |f: &Asked| self.schema.types[f.1].fields.get(&f.0.name).map(|d| (&d.ty, d.named_type));
        for other in &fields[1..] {
            let same = match (of(&first), of(other)) {
                (Some((a, named_a)), Some((b, named_b))) => {
                    let leaf = |t: TypeId| !self.schema.types[t].is_composite();
                    let named = if leaf(named_a) || leaf(named_b) { named_a == named_b } else { true };
                    named && wrapped(a, b)
                }
                // `__typename` is a String! of every type.
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

    fn same(&self, fields: &[Asked<'a>]) -> Result<(), Error> {
        let first = fields[0].0;
        for (other, _) in &fields[1..] {
            if other.name != first.name {
                return Err(conflict(first, other, &format!("are `{}` and `{}`", first.name, other.name)));
            }
            let of = |name: &str| first.arguments.iter().find(|a| a.name == name);
            let same = first.arguments.len() == other.arguments.len()
                && other.arguments.iter().all(|a| of(&a.name).is_some_and(|b| equal(&a.value, &b.value)));
            if !same {
                return Err(conflict(first, other, "have other arguments"));
            }
        }
        Ok(())
    }
}

fn conflict(first: &Field, other: &Field, why: &str) -> Error {
    let (response_name, pos) = (first.response_name(), first.pos);
    let text = format!(
        "the fields `{response_name}` here and at {}:{} {why}: give one another alias",
        pos.line, pos.column
    );
    Error::new(other.pos, text)
}

/// Lists and non-null agree, whatever they hold.
fn wrapped(a: &Type, b: &Type) -> bool {
    match (a, b) {
        (Type::Named(_), Type::Named(_)) => true,
        (Type::List(a), Type::List(b)) | (Type::NonNull(a), Type::NonNull(b)) => wrapped(a, b),
        _ => false,
    }
}

/// Literals that are the same; variables by name; fields of an input object in any order.
fn equal(a: &Value, b: &Value) -> bool {
    match (&a.kind, &b.kind) {
        (ValueKind::List(a), ValueKind::List(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| equal(a, b))
        }
        (ValueKind::Object(a), ValueKind::Object(b)) => {
            let known: HashMap<&str, &Value> = a.iter().map(|(n, v)| (n.as_str(), v)).collect();
            a.len() == b.len() && b.iter().all(|(n, v)| known.get(n.as_str()).is_some_and(|a| equal(a, v)))
        }
        (a, b) => a == b,
    }
}
