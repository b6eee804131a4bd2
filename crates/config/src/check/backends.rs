//! Checks the backends, their list file and the routing.

use super::Checker;
use crate::raw::{self, node, routing};
use crate::{Node, Routing};
use doorcourse::{BackendEntry, BackendRole, BackendState, LoadBalancing, Placement};
use std::collections::HashSet;

/// Checks the routing.
pub(super) fn routing(raw: &raw::Routing, checker: &mut Checker<'_>) -> Routing {
    let sticky = raw.sticky.clone().unwrap_or_default();
    let is_name_char = |c: char| c.is_ascii_graphic() && !"()<>@,;:\\\"/[]?={}&%+".contains(c);
    for (field, name) in [("cookie", &sticky.cookie), ("parameter", &sticky.parameter)] {
        if !name.chars().all(is_name_char) {
            checker.fault(
                &format!("routing.sticky.{field}"),
                format!("`{name}` is not a valid cookie or parameter name"),
            );
        }
    }
    if raw.sticky.is_some() && sticky.cookie.is_empty() && sticky.parameter.is_empty() {
        checker.fault("routing.sticky", "a cookie or a parameter is required");
    }
    let load_balancing = match raw.balance() {
        routing::Balance::Outstanding => LoadBalancing::LeastInFlight,
        routing::Balance::Requests => LoadBalancing::WeightedRoundRobin,
        routing::Balance::Busyness => LoadBalancing::WeightedLeastInFlight,
    };
    Routing {
        load_balancing,
        strict_affinity: sticky.strict,
        cookie: sticky.cookie,
        parameter: sticky.parameter,
    }
}

fn placement(raw: &raw::Node, index: usize, checker: &mut Checker<'_>) -> Placement {
    let path = |field: &str| format!("nodes[{index}].{field}");
    for (field, text) in [("route", &raw.route), ("redirect", &raw.redirect), ("group", &raw.group)] {
        if text.chars().any(|c| c.is_whitespace() || c.is_control()) {
            checker.fault(&path(field), "a name without white space is required");
        }
    }
    let role = match raw.role() {
        node::Role::Active => BackendRole::Active,
        node::Role::Standby => BackendRole::Standby,
        node::Role::Spare => BackendRole::Spare,
        node::Role::Bound => BackendRole::StickyOnly,
    };
    Placement {
        weight: checker.number(&path("weight"), raw.weight.unwrap_or(1.0), 0.001..=1e5),
        priority_level: checker.integer(&path("tier"), raw.tier.into(), 0..=1000) as u32,
        role,
        sticky_route: raw.route.as_str().into(),
        failover_route: raw.redirect.as_str().into(),
        failover_group: raw.group.as_str().into(),
    }
}

/// Checks the backends.
pub(super) fn nodes(raw: &[raw::Node], checker: &mut Checker<'_>) -> Vec<Node> {
    let mut seen = HashSet::new();
    let node = |(index, raw): (usize, &raw::Node)| {
        let path = |field: &str| format!("nodes[{index}].{field}");
        let name = checker.unique_name(&path("name"), &raw.name, &mut seen);
        let address = checker.address(&path("address"), &raw.address);
        let started = raw.started_ms.map(|s| checker.number(&path("started_ms"), s, 0.0..=1e15));
        let state = match raw.state() {
            node::State::Ready => BackendState::Ready,
            node::State::Draining => BackendState::Draining,
        };
        let (zone, cell, placement) = (raw.zone.as_str().into(), raw.cell, placement(raw, index, checker));
        let entry = BackendEntry { name, zone, cell, state, started, placement };
        Node { entry, address }
    };
    raw.iter().enumerate().map(node).collect()
}

/// Checks the settings of the list file: its name, and how often it is polled, in ms.
pub(super) fn node_list(raw: &raw::NodeList, checker: &mut Checker<'_>) -> (String, f64) {
    if raw.file.is_empty() {
        checker.fault("node_list.file", "a file name is required");
    }
    let poll_interval = checker.number("node_list.poll_ms", raw.poll_ms.unwrap_or(200.0), 10.0..=60_000.0);
    (raw.file.clone(), poll_interval)
}
