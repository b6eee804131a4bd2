//! Settings of the parts.

use super::*;

pub(super) fn fleet(settings: &LinkConfig, number: GatewayNumber) -> BTreeSet<GatewayNumber> {
    settings.peers.keys().copied().chain([number]).collect()
}

pub(super) fn tasks(leases: &LeaseConfig) -> Vec<TaskId> {
    let own = leases.suspects.map(|_| task_of(OUTLIER_PROBE_TASK));
    leases.tasks.iter().map(|t| task_of(&t.name)).chain(own).collect()
}

pub(super) fn link_settings(settings: &LinkConfig, number: GatewayNumber, incarnation: u64) -> LinkSettings {
    let LinkConfig { peers, secrets, fleet, unreachable_after_ms: silence, .. } = settings.clone();
    LinkSettings {
        fleet: fleet_of(&fleet),
        gateway: number,
        incarnation,
        peers,
        secrets,
        unreachable_after: silence,
    }
}

pub(super) fn lease_settings(
    leases: &LeaseConfig, link: &LinkConfig, number: GatewayNumber, incarnation: u64,
) -> LeaseSettings {
    LeaseSettings {
        gateway: number,
        incarnation,
        seed: incarnation,
        lease_duration: leases.lease_duration_ms,
        max_lease_duration: leases.lease_duration_ms,
        clock_drift_ppm: leases.clock_drift_ppm,
        gateways: fleet(link, number),
        voters: leases.voters.clone(),
        tasks: tasks(leases),
    }
}
