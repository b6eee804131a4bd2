//! Settings of the parts.

use super::*;

pub(super) fn fleet(settings: &FleetLink, number: GatewayNumber) -> BTreeSet<GatewayNumber> {
    settings.peers.keys().copied().chain([number]).collect()
}

pub(super) fn tasks(leases: &FleetLeases) -> Vec<TaskId> {
    let own = leases.suspects.map(|_| task_of(SUSPECTS));
    leases.tasks.iter().map(|t| task_of(&t.name)).chain(own).collect()
}

pub(super) fn link_settings(settings: &FleetLink, number: GatewayNumber, incarnation: u64) -> LinkSettings {
    let FleetLink { peers, secrets, fleet, silence, .. } = settings.clone();
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
    leases: &FleetLeases, link: &FleetLink, number: GatewayNumber, incarnation: u64,
) -> LeaseSettings {
    LeaseSettings {
        gateway: number,
        incarnation,
        seed: incarnation,
        lease_duration: leases.length,
        max_lease_duration: leases.length,
        clock_drift_ppm: leases.drift,
        gateways: fleet(link, number),
        voters: leases.voters.clone(),
        tasks: tasks(leases),
    }
}
