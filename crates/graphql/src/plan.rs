//! Cost plan of an operation: its fields, collected as execution does (GraphQL specification, section 6.3.2), by
//! response name and with their weights. Nodes are created on demand and cached by selection sets and type, so that a
//! fragment is expanded only once for each combination that differs in the price or the response.

use crate::ast::*;
use crate::schema::{InputValue, OutputField, Schema, TypeId, TypeKind};
use crate::variables::to_json;
use crate::{Error, Limits};
use serde_json::{Map, Value as Json};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

pub(crate) type NodeId = usize;

/// Largest list that a slicing argument may request; same as the maximum of the setting `graphql.list_size`.
const MAX_LIST_SIZE: f64 = 1e6;

/// Cost of an operation according to the IBM cost directive specification.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Weights of the requested fields and their arguments.
    pub field_cost: f64,
    /// Weights of the types of the returned objects and leaf values.
    pub type_cost: f64,
    /// Sum of both: the units that the customer is charged.
    pub units: f64,
}

/// A response name in a node.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub field_name: String,
    /// Weight of the field with its arguments, charged once for each parent object.
    pub weight: f64,
    pub named_type: TypeId,
    /// Assumed number of values in a list; 1 if the field is not a list.
    pub assumed_count: f64,
    /// Whether `@listSize` on this field gives the size of this list. Otherwise `sizedFields` of the parent may.
    pub size_known: bool,
    pub is_list: bool,
    /// Size of the child fields listed in `sizedFields`, and their names.
    pub sized_fields: Option<(f64, Vec<String>)>,
    pub selection_sets: Vec<SelectionSetId>,
}

#[derive(Debug, Default)]
pub(crate) struct Node {
    pub entries: HashMap<String, Entry>,
    pub response_names: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct Plan {
    pub schema: Arc<Schema>,
    document: Arc<Document>,
    variables: Map<String, Json>,
    fragments: HashMap<String, (SelectionSetId, Option<TypeId>)>,
    pub nodes: Vec<Node>,
    node_ids: HashMap<(Vec<SelectionSetId>, TypeId), NodeId>,
    default_list_size: f64,
    pub errors: Vec<Error>,
}

impl Plan {
    pub fn new(
        schema: Arc<Schema>, document: Arc<Document>, variables: Map<String, Json>, limits: &Limits,
    ) -> Self {
        let fragment =
            |f: &FragmentDef| (f.name.clone(), (f.selection_set, schema.type_id(&f.type_condition)));
        let fragments = document.fragments.iter().map(fragment).collect();
        let (nodes, node_ids, errors) = (Vec::new(), HashMap::new(), Vec::new());
        Self {
            schema,
            document,
            variables,
            fragments,
            nodes,
            node_ids,
            default_list_size: limits.list_size,
            errors,
        }
    }

    /// Node for selection sets on a type. On an abstract type it contains the fields of all its possible types.
    pub fn node(&mut self, selection_sets: &[SelectionSetId], node_type: TypeId) -> NodeId {
        let key = (selection_sets.to_vec(), node_type);
        if let Some(id) = self.node_ids.get(&key) {
            return *id;
        }
        let mut node = Node::default();
        let document = Arc::clone(&self.document);
        let (mut spread_fragments, mut pending) = (HashSet::new(), Vec::new());
        pending.extend(selection_sets.iter().rev().map(|s| (*s, node_type)));
        while let Some((selection_set, parent)) = pending.pop() {
            let mut nested = Vec::new();
            for selection in &document.selection_sets[selection_set] {
                match selection {
                    Selection::Field(field) if self.is_included(&field.directives) => {
                        self.add_field(&mut node, field, parent, node_type);
                    }
                    Selection::FragmentSpread { name, directives, .. } if self.is_included(directives) => {
                        let Some((selection_set, Some(type_condition))) = self.fragments.get(name).copied()
                        else {
                            continue;
                        };
                        if self.fragment_applies(type_condition, node_type)
                            && spread_fragments.insert(name.as_str())
                        {
                            nested.push((selection_set, type_condition));
                        }
                    }
                    Selection::InlineFragment { type_condition, directives, selection_set, .. }
                        if self.is_included(directives) =>
                    {
                        let id = type_condition.as_ref().map_or(Some(parent), |c| self.schema.type_id(c));
                        if let Some(id) = id.filter(|id| self.fragment_applies(*id, node_type)) {
                            nested.push((*selection_set, id));
                        }
                    }
                    _ => {}
                }
            }
            pending.extend(nested.into_iter().rev());
        }
        self.nodes.push(node);
        self.node_ids.insert(key, self.nodes.len() - 1);
        self.nodes.len() - 1
    }

    fn is_included(&self, directives: &[Directive]) -> bool {
        directives.iter().all(|d| {
            let condition =
                d.arguments.iter().find(|a| a.name == "if").and_then(|a| to_json(&a.value, &self.variables));
            match d.name.as_str() {
                "skip" => condition != Some(Json::Bool(true)),
                "include" => condition != Some(Json::Bool(false)),
                _ => true,
            }
        })
    }

    fn fragment_applies(&self, type_condition: TypeId, node_type: TypeId) -> bool {
        let types = &self.schema.types;
        type_condition == node_type
            || !types[type_condition].possible_types.is_disjoint(&types[node_type].possible_types)
    }

    fn add_field(&mut self, node: &mut Node, field: &Field, parent: TypeId, node_type: TypeId) {
        let schema = Arc::clone(&self.schema);
        // On an object type its own field definition applies, even if a fragment selects the field on an interface.
        let defining_type = if schema.types[node_type].kind == TypeKind::Object { node_type } else { parent };
        if field.name == "__typename" {
            let (field_name, response_name) = (field.name.clone(), field.response_name().to_owned());
            let named_type = schema.type_id("String").unwrap_or_default();
            let (weight, assumed_count, selection_sets) = (0.0, 1.0, Vec::new());
            let entry = Entry {
                field_name,
                weight,
                named_type,
                assumed_count,
                size_known: false,
                is_list: false,
                sized_fields: None,
                selection_sets,
            };
            if node.entries.insert(response_name.clone(), entry).is_none() {
                node.response_names.push(response_name);
            }
            return;
        }
        let Some(def) = schema.types[defining_type].fields.get(&field.name) else { return };
        if let Some(entry) = node.entries.get_mut(field.response_name()) {
            entry.selection_sets.extend(field.selection_set.filter(|s| !entry.selection_sets.contains(s)));
            return;
        }
        let is_composite = schema.types[def.named_type].is_composite();
        let mut weight = def.weight.unwrap_or(if is_composite { 1.0 } else { 0.0 });
        for (name, input) in &def.arguments {
            let argument = field.arguments.iter().find(|a| a.name == *name);
            if let Some(value) = argument.and_then(|a| to_json(&a.value, &self.variables)) {
                weight += self.input_weight(input, &value);
            }
        }
        let size = self.list_size(field, def);
        let is_list = def.ty.is_list();
        let sized_fields = size.zip(def.list_size.as_ref()).filter(|(_, d)| !d.sized_fields.is_empty());
        let sized_fields = sized_fields.map(|(size, directive)| (size, directive.sized_fields.clone()));
        let size_known = is_list && size.is_some() && sized_fields.is_none();
        let assumed_count = if !is_list {
            1.0
        } else if size_known {
            size.unwrap_or(self.default_list_size)
        } else {
            self.default_list_size
        };
        let (field_name, selection_sets) = (field.name.clone(), field.selection_set.into_iter().collect());
        let response_name = field.response_name().to_owned();
        node.response_names.push(response_name.clone());
        node.entries.insert(
            response_name,
            Entry {
                field_name,
                weight,
                named_type: def.named_type,
                assumed_count,
                size_known,
                is_list,
                sized_fields,
                selection_sets,
            },
        );
    }

    /// Size that `@listSize` gives for a field: the largest of its slicing arguments, or else the assumed size.
    fn list_size(&mut self, field: &Field, def: &OutputField) -> Option<f64> {
        let directive = def.list_size.as_ref()?;
        let argument_value = |name: &String| {
            let argument = field.arguments.iter().find(|a| a.name == *name);
            argument.and_then(|a| to_json(&a.value, &self.variables)).filter(|v| !v.is_null())
        };
        let default_value = |name: &String| {
            let default = def.arguments.get(name).and_then(|i| i.default.as_ref());
            default.and_then(|d| to_json(d, &Map::new())).filter(|v| !v.is_null())
        };
        let mut sizes: Vec<Json> = directive.slicing_arguments.iter().filter_map(argument_value).collect();
        if sizes.is_empty() {
            sizes = directive.slicing_arguments.iter().filter_map(default_value).collect();
        }
        if directive.require_one_slicing && !directive.slicing_arguments.is_empty() && sizes.len() != 1 {
            let names = directive.slicing_arguments.join("`, `");
            let text = format!("field `{}` needs exactly one of the arguments `{names}`", field.name);
            self.errors.push(Error::new(field.pos, text));
        }
        let sizes: Vec<f64> = sizes.iter().filter_map(Json::as_f64).collect();
        // A negative size has no meaningful price, nor has one above what any backend could return.
        if let Some(size) = sizes.iter().find(|s| !(0.0..=MAX_LIST_SIZE).contains(*s)) {
            let text =
                format!("field `{}` asks for a list of {size}: allowed is 0 to {MAX_LIST_SIZE}", field.name);
            self.errors.push(Error::new(field.pos, text));
        }
        sizes.into_iter().reduce(f64::max).map(|s| s.clamp(0.0, MAX_LIST_SIZE)).or(directive.assumed_size)
    }

    /// Weight of the value of an argument or input field, including nested input fields.
    fn input_weight(&self, input: &InputValue, value: &Json) -> f64 {
        let def = self.schema.type_id(input.ty.named_type()).map(|t| &self.schema.types[t]);
        let Some(def) = def else { return 0.0 };
        let own_weight = input.weight.unwrap_or(if def.kind == TypeKind::Input { 1.0 } else { 0.0 });
        let fields_weight = |v: &Json| match v {
            Json::Object(fields) if def.kind == TypeKind::Input => {
                let defined_fields = fields.iter().filter_map(|(n, v)| Some((def.input_fields.get(n)?, v)));
                defined_fields.map(|(i, v)| self.input_weight(i, v)).sum()
            }
            _ => 0.0,
        };
        match value {
            // Each item of a list is charged as a value of the input type.
            Json::Array(values) => values.iter().map(|v| own_weight + fields_weight(v)).sum(),
            value => own_weight + fields_weight(value),
        }
    }

    /// Price of a node, before execution. Costs are cached by node, except below `sizedFields`, so that a node reached
    /// repeatedly is priced once.
    pub fn price(&mut self, root: NodeId) -> Cost {
        let mut priced = HashMap::new();
        let (field_cost, type_cost) = self.price_node(root, None, &mut priced);
        let max_cost = f64::from(u32::MAX) * 1e6;
        let (field_cost, type_cost) = (field_cost.clamp(0.0, max_cost), type_cost.clamp(0.0, max_cost));
        Cost { field_cost, type_cost, units: field_cost + type_cost }
    }

    /// Field cost and type cost of a node. `sized_fields` is that of the field whose value the node is
    /// ([`Entry::sized_fields`]): it gives the size of lists in the node.
    fn price_node(
        &mut self, node: NodeId, sized_fields: Option<&(f64, Vec<String>)>,
        priced: &mut HashMap<NodeId, (f64, f64)>,
    ) -> (f64, f64) {
        if sized_fields.is_none()
            && let Some(cost) = priced.get(&node)
        {
            return *cost;
        }
        let (mut field_cost, mut type_cost) = (0.0, 0.0);
        for response_name in self.nodes[node].response_names.clone() {
            let entry = self.nodes[node].entries[&response_name].clone();
            let sized = sized_fields
                .filter(|(_, names)| entry.is_list && !entry.size_known && names.contains(&entry.field_name));
            let count = sized.map_or(entry.assumed_count, |(size, _)| *size);
            field_cost += entry.weight;
            if entry.selection_sets.is_empty() {
                type_cost += count * self.schema.type_weight(entry.named_type);
                continue;
            }
            // Any of the possible types may be returned: charge the most expensive.
            let possible: BTreeSet<TypeId> = self.schema.types[entry.named_type].possible_types.clone();
            let mut most_expensive = (0.0, 0.0);
            for object_type in possible {
                let child = self.node(&entry.selection_sets, object_type);
                let (child_field_cost, child_type_cost) =
                    self.price_node(child, entry.sized_fields.as_ref(), priced);
                let child_type_cost = child_type_cost + self.schema.type_weight(object_type);
                if child_field_cost + child_type_cost > most_expensive.0 + most_expensive.1 {
                    most_expensive = (child_field_cost, child_type_cost);
                }
            }
            field_cost += count * most_expensive.0;
            type_cost += count * most_expensive.1;
        }
        if sized_fields.is_none() {
            priced.insert(node, (field_cost, type_cost));
        }
        (field_cost, type_cost)
    }
}
