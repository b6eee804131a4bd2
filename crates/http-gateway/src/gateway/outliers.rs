//! Outlier reports: what the decisions observe of backends goes to the other gateways, and theirs come back.

use super::Gateway;
use doorcourse::{BackendStatus, Event};
use doorcourse_outlier_gossip::{Seen, remembered};

impl Gateway {
    pub(super) fn exchange_outliers(&mut self) {
        self.report_backends();
        self.apply_reports();
    }

    /// Passes the decisions' view of the backends to the gossip, when it is due.
    fn report_backends(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        if fleet.wants_observation() {
            let observations = self.decisions.backends().map(observation).collect();
            fleet.observe_nodes(&mut self.io, observations, self.endpoints.listed());
        }
    }

    /// Applies the other gateways' reports, in the form of a restored state of the backends.
    fn apply_reports(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        let now = self.io.now();
        let mut statuses = Vec::new();
        while let Some(report) = fleet.verdicts.pop_front() {
            let Some(status) = self.decisions.backends().find(|b| *b.name == *report.node) else { continue };
            let keep = self.config.leases.as_ref().and_then(|l| l.suspects).map_or(0, |s| s.keep);
            let (failures, ejected_for) = remembered(&report, keep, status.consecutive_failures);
            statuses.push(BackendStatus {
                consecutive_failures: failures,
                ejected_until: now + ejected_for as f64,
                ..status
            });
        }
        if !statuses.is_empty() {
            self.io.events.push_back(Event::StateRestored(statuses));
            self.process_pending();
        }
    }
}

fn observation(backend: BackendStatus) -> Seen {
    Seen {
        node: backend.name.to_string(),
        started: backend.started.unwrap_or_default() as u64,
        failures: backend.consecutive_failures,
        ready: backend.ready,
    }
}
