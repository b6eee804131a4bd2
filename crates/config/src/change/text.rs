//! The texts of settings in the lines that a reload reports. They are part of the admin replies, so they do not change
//! with the names in the code.

use crate::{LinkConfig, OutlierGossipConfig, TaskConfig};
use doorcourse_lease::VoterConfiguration;

/// The peers by number and address, and the ms without a datagram after which a peer is unreachable.
pub(super) fn peers(link: &LinkConfig) -> String {
    format!("{:?} {}", link.peers, link.unreachable_after_ms)
}

/// The voters of this configuration and of the previous one.
pub(super) fn voters(configuration: &VoterConfiguration) -> String {
    let VoterConfiguration { version, voters, previous_voters } = configuration;
    format!("Voters {{ version: {version}, now: {voters:?}, before: {previous_voters:?} }}")
}

/// The tasks in the order of the settings.
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

/// How suspected nodes are probed for the fleet, or `None` if they are not.
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
