//! What an operation asks for, merged as execution merges it (GraphQL specification, section 6.3.2): for each
//! place in the answer its response keys with their weights. Made as it is needed and remembered, so fragments
//! are never spread out more often than the answer or the price can tell apart.

use crate::ast::*;
use crate::schema::{Input, OutField, Schema, TypeId, TypeKind};
use crate::variables::to_json;
use crate::{Error, Limits};
use serde_json::{Map, Value as Json};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

pub(crate) type NodeId = usize;

/// The largest list that a slicing argument may ask for; as `graphql.list_size` in the settings.
const SIZE_MOST: f64 = 1e6;

/// The cost of an operation by the Cost Directives specification.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// The weights of the fields asked for, with their arguments.
    pub field_cost: f64,
    /// The weights of the objects and leaves that come back.
    pub type_cost: f64,
    /// Both: what an account is charged.
    pub units: f64,
}

/// One response key at one place.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub name: String,
    /// The weight of the field with its arguments, counted once for each parent.
    pub weight: f64,
    pub named: TypeId,
    /// How many values a list is taken to hold; 1 where there is none.
    pub count: f64,
    /// Whether the schema tells the list's size; else a parent's sizedFields may.
    pub counted: bool,
    pub list: bool,
    /// The size for the fields below that are named by sizedFields.
    pub sized: Option<(f64, Vec<String>)>,
    pub selection_sets: Vec<SelectionSetId>,
}

#[derive(Debug, Default)]
pub(crate) struct Node {
    pub entries: HashMap<String, Entry>,
    pub order: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct Plan {
    pub schema: Arc<Schema>,
    document: Arc<Document>,
    variables: Map<String, Json>,
    fragments: HashMap<String, (SelectionSetId, Option<TypeId>)>,
    pub nodes: Vec<Node>,
    index: HashMap<(Vec<SelectionSetId>, TypeId), NodeId>,
    list_size: f64,
    pub errors: Vec<Error>,
}

impl Plan {
    pub fn new(
        schema: Arc<Schema>, document: Arc<Document>, variables: Map<String, Json>, limits: &Limits,
    ) -> Self {
        let one = |f: &FragmentDef| (f.name.clone(), (f.selection_set, schema.find(&f.type_condition)));
        let fragments = document.fragments.iter().map(one).collect();
        let (nodes, index, errors) = (Vec::new(), HashMap::new(), Vec::new());
        Self { schema, document, variables, fragments, nodes, index, list_size: limits.list_size, errors }
    }

    /// The node for some sets on a type. On an abstract type it holds what any of its objects may answer.
    pub fn node(&mut self, selection_sets: &[SelectionSetId], on: TypeId) -> NodeId {
        let key = (selection_sets.to_vec(), on);
        if let Some(id) = self.index.get(&key) {
            return *id;
        }
        let mut node = Node::default();
        let document = Arc::clone(&self.document);
        let (mut seen, mut open) = (HashSet::new(), Vec::new());
        open.extend(selection_sets.iter().rev().map(|s| (*s, on)));
        while let Some((selection_set, parent)) = open.pop() {
            let mut inner = Vec::new();
            for selection in &document.selection_sets[selection_set] {
                match selection {
                    Selection::Field(field) if self.included(&field.directives) => {
                        self.add(&mut node, field, parent, on);
                    }
                    Selection::FragmentSpread { name, directives, .. } if self.included(directives) => {
                        let Some((selection_set, Some(type_condition))) = self.fragments.get(name).copied()
                        else {
                            continue;
                        };
                        if self.applies(type_condition, on) && seen.insert(name.as_str()) {
                            inner.push((selection_set, type_condition));
                        }
                    }
                    Selection::InlineFragment { type_condition, directives, selection_set, .. }
                        if self.included(directives) =>
                    {
                        let id = type_condition.as_ref().map_or(Some(parent), |c| self.schema.find(c));
                        if let Some(id) = id.filter(|id| self.applies(*id, on)) {
                            inner.push((*selection_set, id));
                        }
                    }
                    _ => {}
                }
            }
            open.extend(inner.into_iter().rev());
        }
        self.nodes.push(node);
        self.index.insert(key, self.nodes.len() - 1);
        self.nodes.len() - 1
    }

    fn included(&self, directives: &[Directive]) -> bool {
        directives.iter().all(|d| {
            let told =
                d.arguments.iter().find(|a| a.name == "if").and_then(|a| to_json(&a.value, &self.variables));
            match d.name.as_str() {
                "skip" => told != Some(Json::Bool(true)),
                "include" => told != Some(Json::Bool(false)),
                _ => true,
            }
        })
    }

    fn applies(&self, type_condition: TypeId, on: TypeId) -> bool {
        let types = &self.schema.types;
        type_condition == on || !types[type_condition].possible.is_disjoint(&types[on].possible)
    }

    fn add(&mut self, node: &mut Node, field: &Field, parent: TypeId, on: TypeId) {
        let schema = Arc::clone(&self.schema);
        // On an object the object's own definition counts, also where a fragment asks by an interface.
        let home = if schema.types[on].kind == TypeKind::Object { on } else { parent };
        if field.name == "__typename" {
            let (name, response_name) = (field.name.clone(), field.response_name().to_owned());
            let named = schema.find("String").unwrap_or_default();
            let (weight, count, selection_sets) = (0.0, 1.0, Vec::new());
            let entry = Entry {
                name,
                weight,
                named,
                count,
                counted: false,
                list: false,
                sized: None,
                selection_sets,
            };
            if node.entries.insert(response_name.clone(), entry).is_none() {
                node.order.push(response_name);
            }
            return;
        }
        let Some(def) = schema.types[home].fields.get(&field.name) else { return };
        if let Some(entry) = node.entries.get_mut(field.response_name()) {
            entry.selection_sets.extend(field.selection_set.filter(|s| !entry.selection_sets.contains(s)));
            return;
        }
        let composite = schema.types[def.named].is_composite();
        let mut weight = def.weight.unwrap_or(if composite { 1.0 } else { 0.0 });
        for (name, input) in &def.arguments {
            let given = field.arguments.iter().find(|a| a.name == *name);
            if let Some(value) = given.and_then(|a| to_json(&a.value, &self.variables)) {
                weight += self.input_weight(input, &value);
            }
        }
        let size = self.list_size(field, def);
        let list = def.ty.is_list();
        let sized = size.zip(def.list_size.as_ref()).filter(|(_, d)| !d.sized.is_empty());
        let sized = sized.map(|(size, directive)| (size, directive.sized.clone()));
        let counted = list && size.is_some() && sized.is_none();
        let count = if !list {
            1.0
        } else if counted {
            size.unwrap_or(self.list_size)
        } else {
            self.list_size
        };
        let (name, selection_sets) = (field.name.clone(), field.selection_set.into_iter().collect());
        let response_name = field.response_name().to_owned();
        node.order.push(response_name.clone());
        node.entries.insert(
            response_name,
            Entry { name, weight, named: def.named, count, counted, list, sized, selection_sets },
        );
    }

    /// The size that `@listSize` tells of a field: by its slicing arguments, else as assumed.
    fn list_size(&mut self, field: &Field, def: &OutField) -> Option<f64> {
        let directive = def.list_size.as_ref()?;
        let value = |name: &String| {
            let given = field.arguments.iter().find(|a| a.name == *name);
            given.and_then(|a| to_json(&a.value, &self.variables)).filter(|v| !v.is_null())
        };
        let default = |name: &String| {
            let default = def.arguments.get(name).and_then(|i| i.default.as_ref());
            default.and_then(|d| to_json(d, &Map::new())).filter(|v| !v.is_null())
        };
        let mut sizes: Vec<Json> = directive.slicing.iter().filter_map(value).collect();
        if sizes.is_empty() {
            sizes = directive.slicing.iter().filter_map(default).collect();
        }
        if directive.require_one && !directive.slicing.is_empty() && sizes.len() != 1 {
            let names = directive.slicing.join("`, `");
            let text = format!("field `{}` needs exactly one of the arguments `{names}`", field.name);
            self.errors.push(Error::new(field.pos, text));
        }
        let sizes: Vec<f64> = sizes.iter().filter_map(Json::as_f64).collect();
        // A list of less than nothing has no price, and one of more than any node holds no honest one.
        if let Some(size) = sizes.iter().find(|s| !(0.0..=SIZE_MOST).contains(*s)) {
            let text =
                format!("field `{}` asks for a list of {size}: allowed is 0 to {SIZE_MOST}", field.name);
            self.errors.push(Error::new(field.pos, text));
        }
        sizes.into_iter().reduce(f64::max).map(|s| s.clamp(0.0, SIZE_MOST)).or(directive.assumed)
    }

    /// The weight of an argument or an input field that was given, with what lies in it.
    fn input_weight(&self, input: &Input, value: &Json) -> f64 {
        let def = self.schema.find(input.ty.named_type()).map(|t| &self.schema.types[t]);
        let Some(def) = def else { return 0.0 };
        let own = input.weight.unwrap_or(if def.kind == TypeKind::Input { 1.0 } else { 0.0 });
        let inside = |v: &Json| match v {
            Json::Object(fields) if def.kind == TypeKind::Input => {
                let known = fields.iter().filter_map(|(n, v)| Some((def.inputs.get(n)?, v)));
                known.map(|(i, v)| self.input_weight(i, v)).sum()
            }
            _ => 0.0,
        };
        match value {
            // Each value of a list is one of the input's type.
            Json::Array(values) => values.iter().map(|v| own + inside(v)).sum(),
            value => own + inside(value),
        }
    }

    /// The price of a node before it runs. Remembered by node: a place is priced once however often it is met.
    pub fn price(&mut self, root: NodeId) -> Cost {
        let mut known = HashMap::new();
        let (field_cost, type_cost) = self.price_node(root, None, &mut known);
        let most = f64::from(u32::MAX) * 1e6;
        let (field_cost, type_cost) = (field_cost.clamp(0.0, most), type_cost.clamp(0.0, most));
        Cost { field_cost, type_cost, units: field_cost + type_cost }
    }

    fn price_node(
        &mut self, node: NodeId, sized: Option<&(f64, Vec<String>)>, known: &mut HashMap<NodeId, (f64, f64)>,
    ) -> (f64, f64) {
        if sized.is_none()
            && let Some(cost) = known.get(&node)
        {
            return *cost;
        }
        let (mut field_cost, mut type_cost) = (0.0, 0.0);
        for response_name in self.nodes[node].order.clone() {
            let entry = self.nodes[node].entries[&response_name].clone();
            let told = sized.filter(|(_, names)| entry.list && !entry.counted && names.contains(&entry.name));
            let count = told.map_or(entry.count, |(size, _)| *size);
            field_cost += entry.weight;
            if entry.selection_sets.is_empty() {
                type_cost += count * self.schema.type_weight(entry.named);
                continue;
            }
            // Of the objects that may come back, the dearest.
            let possible: BTreeSet<TypeId> = self.schema.types[entry.named].possible.clone();
            let mut most_expensive = (0.0, 0.0);
            for object in possible {
                let child = self.node(&entry.selection_sets, object);
                let (child_field_cost, child_type_cost) = self.price_node(child, entry.sized.as_ref(), known);
                let child_type_cost = child_type_cost + self.schema.type_weight(object);
                if child_field_cost + child_type_cost > most_expensive.0 + most_expensive.1 {
                    most_expensive = (child_field_cost, child_type_cost);
                }
            }
            field_cost += count * most_expensive.0;
            type_cost += count * most_expensive.1;
        }
        if sized.is_none() {
            known.insert(node, (field_cost, type_cost));
        }
        (field_cost, type_cost)
    }
}
