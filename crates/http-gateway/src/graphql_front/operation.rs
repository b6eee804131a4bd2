//! The operation of a request: its validation against the schema, and its cost, class and timeout.

use super::parameters::{self, OperationParameters};
use super::response::{Response, error, query_errors_response};
use super::{MediaType, Request, RequestHead};
use doorcourse::Millis;
use doorcourse_config::Config;
use doorcourse_graphql::{OperationKind, PreparedOperation};
use doorcourse_request_lifecycle::{
    ExceedsPlanCapacity, check_plan_capacity, operation_class, request_timeout,
};
use serde_json::Value;
use std::sync::Arc;

/// Makes a request for the decisions from a complete HTTP request. `elapsed` is the time since its head arrived, which
/// counts towards its deadline.
///
/// # Errors
/// The response that rejects the request.
pub(crate) fn prepare_request(
    config: &Config, head: RequestHead, body: Vec<u8>, elapsed: Millis,
) -> Result<Request, Response> {
    let parameters = parameters::read(&head, &body)?;
    let operation = prepare_operation(config, head.media, &parameters::check(head.media, &parameters)?)?;
    check_kind(&head, operation.kind())?;
    check_introspection(config, head.media, &operation)?;
    let class = class_index(config, head.media, &operation)?;
    let units = operation.cost().units;
    check_cost(config, &head, units)?;
    let timeout = remaining_timeout(config, &head, class, elapsed)?;
    let body = if head.is_get { Value::Object(parameters).to_string().into_bytes() } else { body };
    Ok(Request {
        customer: head.customer,
        media: head.media,
        class,
        units,
        timeout,
        body,
        forwarded_fields: head.forwarded_fields,
        prepared: operation,
        sticky_route: head.sticky_route,
    })
}

fn prepare_operation(
    config: &Config, media: MediaType, operation: &OperationParameters<'_>,
) -> Result<PreparedOperation, Response> {
    let OperationParameters { query, operation_name, variables } = *operation;
    let schema = Arc::clone(&config.schema);
    PreparedOperation::new(schema, query, operation_name, variables, config.query_limits)
        .map_err(|errors| query_errors_response(media, "GRAPHQL_VALIDATION_FAILED", &errors))
}

fn check_kind(head: &RequestHead, kind: OperationKind) -> Result<(), Response> {
    if kind == OperationKind::Subscription {
        let message = "subscriptions are not served here";
        return Err(error(head.media, 400, "SUBSCRIPTION_UNSUPPORTED", message));
    }
    if kind == OperationKind::Mutation && head.is_get {
        let mut response = error(head.media, 405, "MUTATION_BY_GET", "a mutation needs POST");
        response.fields.push(("allow", "POST".into()));
        return Err(response);
    }
    Ok(())
}

fn check_introspection(
    config: &Config, media: MediaType, operation: &PreparedOperation,
) -> Result<(), Response> {
    let is_introspection = |field: &String| field.starts_with("__") && field != "__typename";
    if !config.introspection && operation.root_fields().iter().any(is_introspection) {
        let message = "introspection is not answered here";
        return Err(error(media, 400, "INTROSPECTION_DISABLED", message));
    }
    Ok(())
}

/// The index of the operation's class: the strictest of its root fields.
fn class_index(config: &Config, media: MediaType, operation: &PreparedOperation) -> Result<usize, Response> {
    let kind = operation.kind();
    let classes = operation.root_fields().iter().filter_map(|field| config.class_of_root_field(kind, field));
    operation_class(&config.decision_settings.classes, classes)
        .ok_or_else(|| error(media, 400, "NO_CLASS", "the operation belongs to no class"))
}

/// Rejects an operation that costs more than the customer's plan can ever hold. The response has no `Retry-After`,
/// because waiting does not help.
fn check_cost(config: &Config, head: &RequestHead, units: f64) -> Result<(), Response> {
    let plan = &config.decision_settings.plans[head.customer.plan_index];
    check_plan_capacity(plan, units).map_err(|ExceedsPlanCapacity { capacity }| {
        let message = format!("the operation costs {units} units, the plan never holds more than {capacity}");
        error(head.media, 429, "COST_EXCEEDS_PLAN", &message)
    })
}

/// How long the decisions have: the timeout from the class and the client's deadline, less the elapsed time.
fn remaining_timeout(
    config: &Config, head: &RequestHead, class: usize, elapsed: Millis,
) -> Result<Millis, Response> {
    let limits = &config.limits;
    request_timeout(
        config.client_timeouts[class],
        head.deadline,
        limits.longest_deadline,
        limits.answer_margin,
    )
    .map(|timeout| timeout - elapsed)
    .filter(|timeout| *timeout > 0.0)
    .ok_or_else(|| error(head.media, 504, "DEADLINE_PASSED", "no time is left for an answer"))
}
