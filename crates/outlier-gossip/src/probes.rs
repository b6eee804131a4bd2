//! Schedules the probes of reported nodes at the fleet's probe interval, the node that has waited longest first.

use crate::{Millis, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// How often a node is probed within the retention of a verdict, so that the verdict is renewed before it expires.
const PROBES_PER_RETENTION: Millis = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    InFlight,
    /// Finished, and its result was not used for a verdict yet.
    Finished {
        succeeded: bool,
    },
    /// Finished, and its result was used.
    Evaluated,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    state: ProbeState,
    /// When the node may be probed again.
    next_at: Millis,
}

/// The result of a finished probe.
pub(crate) struct ProbeResult {
    pub(crate) node: String,
    pub(crate) succeeded: bool,
}

/// The probes that this gateway makes as the lease holder.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    by_node: BTreeMap<String, Probe>,
    /// When the fleet may probe any node again.
    next_probe_at: Millis,
}

impl Probes {
    /// Removes all probes: their results are not used while this gateway does not hold the lease.
    pub(crate) fn clear(&mut self) {
        self.by_node.clear();
    }

    /// Records the result of a probe.
    pub(crate) fn finish(&mut self, node: &str, succeeded: bool) {
        if let Some(probe) = self.by_node.get_mut(node) {
            probe.state = ProbeState::Finished { succeeded };
        }
    }

    /// Removes nodes that are no longer suspected, once no probe of them is in flight.
    pub(crate) fn retain(&mut self, suspects: &BTreeSet<String>) {
        self.by_node.retain(|node, probe| suspects.contains(node) || probe.state == ProbeState::InFlight);
    }

    /// Returns the results that were not used yet, and marks them as used.
    pub(crate) fn take_results(&mut self) -> Vec<ProbeResult> {
        let mut results = Vec::new();
        for (node, probe) in &mut self.by_node {
            if let ProbeState::Finished { succeeded } = probe.state {
                probe.state = ProbeState::Evaluated;
                results.push(ProbeResult { node: node.clone(), succeeded });
            }
        }
        results
    }

    /// Starts a probe of one of the suspected nodes if one is due. Returns the name of the node.
    pub(crate) fn start_due(
        &mut self, now: Millis, suspects: &BTreeSet<String>, settings: &Settings,
    ) -> Option<String> {
        if now < self.next_probe_at {
            return None;
        }
        let may_start = |probe: &Probe| probe.state != ProbeState::InFlight && probe.next_at <= now;
        let is_due = |node: &&String| self.by_node.get(*node).is_none_or(may_start);
        let due_since = |node: &&String| self.by_node.get(*node).map_or(0, |probe| probe.next_at);
        let node = suspects.iter().filter(is_due).min_by_key(due_since)?.clone();
        self.next_probe_at = now + settings.probe_interval;
        let next_at = now + settings.probe_interval.max(settings.retention / PROBES_PER_RETENTION);
        self.by_node.insert(node.clone(), Probe { state: ProbeState::InFlight, next_at });
        Some(node)
    }
}

/// Whether the HTTP status of a probe shows that the node works. A client error counts as well: the node answers, even
/// if it rejects the query.
#[must_use]
pub fn is_well(status: u16) -> bool {
    (200..500).contains(&status)
}
