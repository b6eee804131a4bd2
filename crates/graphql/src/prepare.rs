//! One operation made ready: parsed, validated, its variables coerced, its price known.

use crate::ast::*;
use crate::plan::{Cost, NodeId, Plan};
use crate::scan::ResponseScanner;
use crate::variables::coerce_variables;
use crate::{Error, Limits, Schema, parse, validate};
use serde_json::{Map, Value as Json};
use std::sync::Arc;

/// An operation that may be priced, sent on, and whose answer can be counted.
#[derive(Debug)]
pub struct PreparedOperation {
    plan: Plan,
    root: NodeId,
    kind: OperationKind,
    root_fields: Vec<String>,
    cost: Cost,
}

impl PreparedOperation {
    /// Parses and validates a request and prices the operation named, or the only one.
    ///
    /// # Errors
    /// Every fault found; one alone where the source does not parse.
    pub fn new(
        schema: Arc<Schema>, source: &str, operation: Option<&str>, variables: Option<&Map<String, Json>>,
        limits: Limits,
    ) -> Result<Self, Vec<Error>> {
        let document = parse(source, &limits).map_err(|e| vec![e])?;
        validate(&schema, &document, &limits)?;
        let error = |message: String| vec![Error { message, at: None }];
        let selected = match operation {
            Some(name) => {
                let found = document.operations.iter().find(|o| o.name.as_deref() == Some(name));
                found.ok_or_else(|| error(format!("the document has no operation `{name}`")))?
            }
            None if document.operations.len() > 1 => {
                return Err(error("the document has several operations: operationName must name one".into()));
            }
            None => &document.operations[0],
        };
        let mut errors = Vec::new();
        let variable_values = coerce_variables(&schema, &selected.variables, variables, &mut errors);
        if !errors.is_empty() {
            return Err(errors);
        }
        let (kind, selection_set) = (selected.kind, selected.selection_set);
        let root_type = schema.root_type(kind).ok_or_else(|| error("the schema lacks this root".into()))?;
        let mut plan = Plan::new(schema, Arc::new(document), variable_values, &limits);
        let root = plan.node(&[selection_set], root_type);
        let mut cost = plan.price(root);
        if !plan.errors.is_empty() {
            return Err(plan.errors);
        }
        // The root object itself comes back once; only a weight in the schema makes it cost anything.
        cost.type_cost += plan.schema.types[root_type].weight.unwrap_or(0.0);
        cost.units = (cost.field_cost + cost.type_cost).max(0.0);
        let node = &plan.nodes[root];
        let root_fields = node.response_names.iter().map(|n| node.entries[n].field_name.clone()).collect();
        Ok(Self { plan, root, kind, root_fields, cost })
    }

    pub(crate) fn root(&self) -> NodeId {
        self.root
    }

    pub(crate) fn plan_mut(&mut self) -> &mut Plan {
        &mut self.plan
    }

    /// What the operation does.
    #[must_use]
    pub fn kind(&self) -> OperationKind {
        self.kind
    }

    /// The names of the root fields that will run, each response key once, in their order.
    #[must_use]
    pub fn root_fields(&self) -> &[String] {
        &self.root_fields
    }

    /// The price before it runs.
    #[must_use]
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// A counter for an answer to this operation, which takes the operation over.
    #[must_use]
    pub fn into_response_scanner(self, max_depth: usize) -> ResponseScanner {
        ResponseScanner::new(self.plan, self.root, max_depth)
    }
}
