//! Settings as the lines of a reload show them. The words are part of the admin replies and stay as they are, whatever
//! the code calls the fields.

use crate::{LinkConfig, OutlierGossipConfig, TaskConfig};
use doorcourse_lease::VoterConfiguration;

/// The peers by number and address, and the ms after which a silent one counts as unreachable.
pub(super) fn peers(link: &LinkConfig) -> String {
    format!("{:?} {}", link.peers, link.unreachable_after_ms)
}

/// The voters of the configuration and of the one before.
pub(super) fn voters(configuration: &VoterConfiguration) -> String {
    let VoterConfiguration { version, voters, previous_voters } = configuration;
    format!("Voters {{ version: {version}, now: {voters:?}, before: {previous_voters:?} }}")
}

/// The tasks in order.
pub(super) fn tasks(tasks: &[TaskConfig]) -> String {
    let texts: Vec<String> = tasks.iter().map(task).collect();
    format!("[{}]", texts.join(", "))
}

fn task(task: &TaskConfig) -> String {
    let TaskConfig { name, address, path, call_interval_ms, call_duration_ms } = task;
    format!(
        "FleetTask {{ name: {name:?}, address: {address:?}, path: {path:?}, every: {call_interval_ms}, needs: {call_duration_ms} }}"
    )
}

/// How suspected nodes are probed for the fleet; `None` where they are not.
pub(super) fn suspects(config: Option<OutlierGossipConfig>) -> String {
    let Some(config) = config else { return "None".into() };
    let OutlierGossipConfig {
        probe_interval_ms,
        probe_timeout_ms,
        max_outlier_fraction,
        retention_ms,
        affects_decisions,
    } = config;
    format!(
        "Some(FleetSuspects {{ every: {probe_interval_ms}, timeout: {probe_timeout_ms}, share: {max_outlier_fraction:?}, keep: {retention_ms}, apply: {affects_decisions} }})"
    )
}
