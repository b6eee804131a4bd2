//! Answers of the right shape without data behind them: what a stand-in for a service writes.

use crate::plan::{NodeId, Plan};
use crate::prepare::PreparedOperation;
use std::fmt::Write;

/// What a stand-in chooses of an answer.
pub trait Shape {
    /// How many values a list field gets; `sized` is what the price took it for.
    fn length(&mut self, field: &str, sized: f64) -> usize;
    /// A text for a leaf field.
    fn text(&mut self, field: &str, out: &mut String);
}

impl PreparedOperation {
    /// Appends the JSON object that belongs under `data`.
    pub fn write_data(&mut self, shape: &mut dyn Shape, out: &mut String) {
        let root = self.root();
        object(self.plan_mut(), root, None, shape, out);
    }
}

fn object(
    plan: &mut Plan, node: NodeId, sized: Option<&(f64, Vec<String>)>, shape: &mut dyn Shape,
    out: &mut String,
) {
    out.push('{');
    for (at, key) in plan.nodes[node].order.clone().into_iter().enumerate() {
        let entry = plan.nodes[node].entries[&key].clone();
        let _ = write!(out, "{}\"{key}\":", if at > 0 { "," } else { "" });
        let told = sized.filter(|(_, names)| names.contains(&entry.name)).map(|(n, _)| *n);
        let count = if entry.list { shape.length(&entry.name, told.unwrap_or(entry.count)) } else { 1 };
        if entry.list {
            out.push('[');
        }
        for number in 0..count {
            if number > 0 {
                out.push(',');
            }
            if entry.sets.is_empty() {
                leaf(plan, &entry.name, entry.named, shape, out);
            } else {
                let first = plan.schema.types[entry.named].possible.first().copied().unwrap_or(entry.named);
                let child = plan.node(&entry.sets, first);
                object(plan, child, entry.sized.as_ref(), shape, out);
            }
        }
        if entry.list {
            out.push(']');
        }
    }
    out.push('}');
}

fn leaf(plan: &Plan, field: &str, named: usize, shape: &mut dyn Shape, out: &mut String) {
    let def = &plan.schema.types[named];
    match def.name.as_str() {
        "Int" | "Float" => out.push('1'),
        "Boolean" => out.push_str("true"),
        _ => {
            out.push('"');
            match def.values.first() {
                Some(value) => out.push_str(value),
                None => shape.text(field, out),
            }
            out.push('"');
        }
    }
}
