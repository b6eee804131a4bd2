//! Prepares an operation: parses and validates the document, coerces the variables and computes the price.

use crate::ast::*;
use crate::plan::{Cost, NodeId, Plan};
use crate::scan::ResponseScanner;
use crate::variables::coerce_variables;
use crate::{Error, Limits, Schema, parse, validate};
use serde_json::{Map, Value as Json};
use std::sync::Arc;

/// A valid operation with its price, ready to be forwarded. Turns into a scanner for its response.
#[derive(Debug)]
pub struct PreparedOperation {
    plan: Plan,
    root: NodeId,
    kind: OperationKind,
    root_fields: Vec<String>,
    cost: Cost,
}

impl PreparedOperation {
    /// Parses and validates a document, and prices the named operation or, without a name, the only one.
    ///
    /// # Errors
    /// All errors found, or the first one if the document does not parse.
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
        // The root object is returned once, and is free unless the schema gives its type a weight.
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

    /// Kind of the operation.
    #[must_use]
    pub fn kind(&self) -> OperationKind {
        self.kind
    }

    /// Names of the root fields to execute, one for each response name. Fields of fragments come last.
    #[must_use]
    pub fn root_fields(&self) -> &[String] {
        &self.root_fields
    }

    /// Price of the operation, before execution.
    #[must_use]
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// Creates a scanner for the response to this operation. `max_depth` bounds the nesting of the response.
    #[must_use]
    pub fn into_response_scanner(self, max_depth: usize) -> ResponseScanner {
        ResponseScanner::new(self.plan, self.root, max_depth)
    }
}
