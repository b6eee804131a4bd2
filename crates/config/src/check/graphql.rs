//! Checks the schema, the class of each of its root fields, and the limits of queries.

use super::Checker;
use crate::Fault;
use crate::raw;
use doorcourse_graphql::{HARD_DEPTH_LIMIT, Limits as QueryLimits, OperationKind, Schema};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Reads and parses the schema. `open` returns the text of a file, or the reason why it cannot be read.
pub(super) fn schema(
    raw: &raw::GraphQl, checker: &mut Checker<'_>, open: &dyn Fn(&str) -> Result<String, String>,
) -> Option<Arc<Schema>> {
    if raw.schema_file.is_empty() {
        checker.fault("graphql.schema_file", "the name of the file with the schema's SDL is required");
        return None;
    }
    let text = match open(&raw.schema_file) {
        Ok(text) => text,
        Err(error) => {
            checker.fault("graphql.schema_file", format!("{}: {error}", raw.schema_file));
            return None;
        }
    };
    match Schema::parse(&text) {
        Ok(schema) => Some(schema.into()),
        Err(errors) => {
            for error in errors {
                let line = error.at.map(|p| (p.line as usize, p.column as usize));
                let (file, field) = (raw.schema_file.clone(), String::new());
                checker.faults.push(Fault { file, line, field, message: error.message });
            }
            None
        }
    }
}

/// Returns the index of the class of each root field; each must have exactly one.
pub(super) fn root_classes(
    schema: &Schema, kind: OperationKind, raw: &[raw::Class], checker: &mut Checker<'_>,
) -> BTreeMap<String, usize> {
    let field_list = if kind == OperationKind::Query { "query_fields" } else { "mutation_fields" };
    let root_fields: HashSet<&str> = schema.root_fields(kind).collect();
    let mut classes = BTreeMap::new();
    for (index, class) in raw.iter().enumerate() {
        let fields = if kind == OperationKind::Query { &class.query_fields } else { &class.mutation_fields };
        for (field_index, field) in fields.iter().enumerate() {
            let path = format!("classes[{index}].{field_list}[{field_index}]");
            if !root_fields.contains(field.as_str()) {
                checker.fault(&path, format!("the schema has no such root field: `{field}`"));
            } else if classes.insert(field.clone(), index).is_some() {
                checker.fault(&path, format!("`{field}` already belongs to a class"));
            }
        }
    }
    let mut missing: Vec<&str> = root_fields.into_iter().filter(|f| !classes.contains_key(*f)).collect();
    missing.sort_unstable();
    if !missing.is_empty() {
        checker.fault(
            "classes",
            format!("no class has these root fields in its {field_list}: {}", missing.join(", ")),
        );
    }
    classes
}

/// Checks the limits of queries.
pub(super) fn query_limits(raw: &raw::GraphQl, checker: &mut Checker<'_>) -> QueryLimits {
    let defaults = QueryLimits::default();
    let mut integer = |name: &str, value: Option<u32>, default: u64, range| {
        checker.integer(&format!("graphql.{name}"), value.map_or(default, u64::from), range)
    };
    QueryLimits {
        bytes: integer("document_bytes", raw.document_bytes, defaults.bytes as u64, 1..=16 << 20) as usize,
        tokens: integer("tokens", raw.tokens, defaults.tokens as u64, 1..=1_000_000) as usize,
        depth: integer("depth", raw.depth, defaults.depth as u64, 1..=HARD_DEPTH_LIMIT as u64) as usize,
        aliases: integer("aliases", raw.aliases, defaults.aliases as u64, 0..=100_000) as usize,
        expansion: integer("expansion", raw.expansion, defaults.expansion, 1..=1_000_000),
        list_size: checker.number(
            "graphql.list_size",
            raw.list_size.unwrap_or(defaults.list_size),
            0.0..=1e6,
        ),
    }
}
