//! Checks the settings as a whole.

use super::backends::{node_list, nodes, routing};
use super::decisions::{DecisionParts, decisions, fleet_place};
use super::graphql::{query_limits, root_classes, schema};
use super::plans::{classes, customers_by_key, plans};
use super::{Checker, host};
use crate::{Config, fleet, raw};
use doorcourse_graphql::OperationKind;

/// Checks the settings and converts them. `open` returns the text of a file that they name, or the reason why it cannot
/// be read. `None` where there is no usable schema; the other faults are recorded.
pub(super) fn settings(
    raw: &raw::Settings, checker: &mut Checker<'_>, open: &dyn Fn(&str) -> Result<String, String>,
) -> Option<Config> {
    let raw_fleet = raw.fleet.clone().unwrap_or_default();
    let place = fleet_place(&raw_fleet, checker);
    let listen = host::listen(&raw.listen, checker);
    let endpoint_path = host::endpoint_path(raw.path.as_ref(), checker);
    let counter = raw.counter.as_ref().map(|counter| host::counter(counter, checker));
    if counter.is_none() && place.gateways > 1 {
        let message = format!("{} gateways need a shared counter: set counter.address", place.gateways);
        checker.fault("fleet.gateways", message);
    }
    if raw.nodes.is_empty() == raw.node_list.is_none() {
        checker.fault("nodes", "exactly one of nodes and node_list is required");
    }
    let nodes = nodes(&raw.nodes, checker);
    let node_list = raw.node_list.as_ref().map(|list| node_list(list, checker));
    let graphql = raw.graphql.clone().unwrap_or_default();
    let schema = schema(&graphql, checker, open);
    let (classes, client_timeouts) = classes(&raw.classes, checker);
    let plans = plans(&raw.plans, checker);
    let customers_by_key = customers_by_key(raw, place.gateways, &plans, checker);
    let mut classes_of = |kind| {
        let schema = schema.as_ref();
        schema.map(|schema| root_classes(schema, kind, &raw.classes, checker)).unwrap_or_default()
    };
    let query_classes = classes_of(OperationKind::Query);
    let mutation_classes = classes_of(OperationKind::Mutation);
    let routing = raw.routing.as_ref().map(|raw| routing(raw, checker)).unwrap_or_default();
    let counter_timeout = counter.as_ref().map_or(50.0, |counter| counter.call_timeout);
    let parts = DecisionParts { place, classes, plans, counter_timeout, routing: &routing };
    let decisions = decisions(raw, parts, checker);
    let limits = host::limits(&raw.limits.unwrap_or_default(), checker);
    let query_limits = query_limits(&graphql, checker);
    let max_response_depth = graphql.answer_depth.unwrap_or(100);
    let max_response_depth =
        checker.integer("graphql.answer_depth", max_response_depth.into(), 2..=1000) as usize;
    let admin_socket = raw.admin.as_ref().map(|admin| host::admin_socket(admin, checker));
    let health_listen = raw.health.as_ref().map(|health| checker.address("health.listen", &health.listen));
    let state_file = raw.state.as_ref().map(|state| host::state_file(state, checker));
    let life = host::life(&raw.life.unwrap_or_default(), checker);
    let link = raw_fleet.link.as_ref();
    let link = link.map(|link| fleet::link(link, place.gateways, place.number, checker, open));
    let leases = raw.leases.as_ref();
    let leases = leases.map(|leases| fleet::leases(leases, link.as_ref(), place.number, checker));
    Some(Config {
        decisions,
        listen,
        endpoint_path,
        counter,
        nodes,
        node_list,
        routing,
        client_timeouts,
        query_classes,
        mutation_classes,
        customers_by_key,
        schema: schema?,
        query_limits,
        max_response_depth,
        introspection: graphql.introspection.unwrap_or(false),
        limits,
        health_listen,
        admin_socket,
        state_file,
        life,
        link,
        leases,
    })
}
