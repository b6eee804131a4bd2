//! Stub responses for emulated backends: data of the shape that an operation requests, with generated values.

use crate::plan::{NodeId, Plan};
use crate::prepare::PreparedOperation;
use std::fmt::Write;

/// Supplies the list lengths and texts of a stub response.
pub trait StubData {
    /// Number of items for a list field; `assumed_size` is the size from the schema or the default.
    fn list_length(&mut self, field: &str, assumed_size: f64) -> usize;
    /// Appends the text of a leaf field, without quotes.
    fn write_text(&mut self, field: &str, out: &mut String);
}

impl PreparedOperation {
    /// Appends the JSON object for `data` in a stub response.
    pub fn write_data(&mut self, stub_data: &mut dyn StubData, out: &mut String) {
        let root = self.root();
        write_object(self.plan_mut(), root, None, stub_data, out);
    }
}

/// Appends an object. `sized_fields` is that of the field whose value the object is (`Entry::sized_fields`).
fn write_object(
    plan: &mut Plan, node: NodeId, sized_fields: Option<&(f64, Vec<String>)>, stub_data: &mut dyn StubData,
    out: &mut String,
) {
    out.push('{');
    for (index, response_name) in plan.nodes[node].response_names.clone().into_iter().enumerate() {
        let entry = plan.nodes[node].entries[&response_name].clone();
        let _ = write!(out, "{}\"{response_name}\":", if index > 0 { "," } else { "" });
        let assumed_size =
            sized_fields.filter(|(_, names)| names.contains(&entry.field_name)).map(|(n, _)| *n);
        let count = if entry.is_list {
            stub_data.list_length(&entry.field_name, assumed_size.unwrap_or(entry.assumed_count))
        } else {
            1
        };
        if entry.is_list {
            out.push('[');
        }
        for item in 0..count {
            if item > 0 {
                out.push(',');
            }
            if entry.selection_sets.is_empty() {
                write_leaf(plan, &entry.field_name, entry.named_type, stub_data, out);
            } else {
                let object_type = plan.schema.types[entry.named_type]
                    .possible_types
                    .first()
                    .copied()
                    .unwrap_or(entry.named_type);
                let child = plan.node(&entry.selection_sets, object_type);
                write_object(plan, child, entry.sized_fields.as_ref(), stub_data, out);
            }
        }
        if entry.is_list {
            out.push(']');
        }
    }
    out.push('}');
}

fn write_leaf(plan: &Plan, field: &str, type_id: usize, stub_data: &mut dyn StubData, out: &mut String) {
    let def = &plan.schema.types[type_id];
    match def.name.as_str() {
        "Int" | "Float" => out.push('1'),
        "Boolean" => out.push_str("true"),
        _ => {
            out.push('"');
            match def.enum_values.first() {
                Some(value) => out.push_str(value),
                None => stub_data.write_text(field, out),
            }
            out.push('"');
        }
    }
}
