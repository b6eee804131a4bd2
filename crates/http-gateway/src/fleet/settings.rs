//! Conversion of the settings file to the settings of the link, the leases and the outlier gossip.

use doorcourse_config::{LeaseConfig, LinkConfig, OUTLIER_PROBE_TASK, OutlierGossipConfig};
use doorcourse_lease::{TaskId, task_of};
use doorcourse_peers::{GatewayNumber, fleet_of};
use std::collections::BTreeSet;

/// All gateways of the fleet, including this one.
pub(super) fn gateways(link: &LinkConfig, gateway: GatewayNumber) -> BTreeSet<GatewayNumber> {
    link.peers.keys().copied().chain([gateway]).collect()
}

/// The tasks that this gateway is a candidate for: those of the settings, and the probes of suspected nodes.
pub(super) fn task_ids(leases: &LeaseConfig) -> Vec<TaskId> {
    let probes = leases.outlier_gossip.map(|_| task_of(OUTLIER_PROBE_TASK));
    leases.tasks.iter().map(|task| task_of(&task.name)).chain(probes).collect()
}

/// The settings of the link. `incarnation` identifies this start of the gateway.
pub(super) fn link_settings(
    link: &LinkConfig, gateway: GatewayNumber, incarnation: u64,
) -> doorcourse_peers::Settings {
    doorcourse_peers::Settings {
        fleet: fleet_of(&link.fleet),
        gateway,
        incarnation,
        peers: link.peers.clone(),
        secrets: link.secrets.clone(),
        unreachable_after: link.unreachable_after_ms,
    }
}

/// The settings of the leases. `incarnation` identifies this start of the gateway, and seeds its jitter.
pub(super) fn lease_settings(
    leases: &LeaseConfig, link: &LinkConfig, gateway: GatewayNumber, incarnation: u64,
) -> doorcourse_lease::Settings {
    doorcourse_lease::Settings {
        gateway,
        incarnation,
        seed: incarnation,
        lease_duration: leases.lease_duration_ms,
        max_lease_duration: leases.lease_duration_ms,
        clock_drift_ppm: leases.clock_drift_ppm,
        gateways: gateways(link, gateway),
        voters: leases.voters.clone(),
        tasks: task_ids(leases),
    }
}

/// The settings of the outlier gossip.
pub(super) fn outlier_settings(
    gateway: GatewayNumber, config: &OutlierGossipConfig,
) -> doorcourse_outlier_gossip::Settings {
    doorcourse_outlier_gossip::Settings {
        gateway,
        probe_interval: config.probe_interval_ms,
        max_outlier_fraction: config.max_outlier_fraction,
        retention: config.retention_ms,
    }
}
