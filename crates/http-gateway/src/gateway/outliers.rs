//! The connection between outlier gossip and decisions: the gossip gets the decisions' status of each backend, and the
//! decisions get its verdicts.

use super::Gateway;
use doorcourse::{BackendStatus, Event};
use doorcourse_outlier_gossip::{NodeStatus, verdict_effect};

impl Gateway {
    /// Exchanges observations and verdicts with the outlier gossip. Does nothing without a fleet.
    pub(super) fn exchange_outliers(&mut self) {
        self.report_backends();
        self.apply_verdicts();
    }

    /// Passes the decisions' status of the backends to the gossip, if an observation is due.
    fn report_backends(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        if fleet.wants_observation() {
            let observations = self.decisions.backends().map(observation).collect();
            fleet.observe_nodes(&mut self.io, observations, self.endpoints.listed());
        }
    }

    /// Applies the verdicts of the gossip. The decisions get them as restored state of the backends.
    fn apply_verdicts(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        let now = self.io.now();
        let mut statuses = Vec::new();
        while let Some(verdict) = fleet.verdicts.pop_front() {
            let backend = self.decisions.backends().find(|backend| *backend.name == *verdict.node);
            let Some(status) = backend else { continue };
            let gossip_config = self.config.leases.as_ref().and_then(|leases| leases.outlier_gossip);
            let retention = gossip_config.map_or(0, |config| config.retention_ms);
            let effect = verdict_effect(&verdict, retention, status.consecutive_failures);
            statuses.push(BackendStatus {
                consecutive_failures: effect.consecutive_failures,
                ejected_until: now + effect.ejected_for as f64,
                ..status
            });
        }
        if !statuses.is_empty() {
            self.io.events.push_back(Event::StateRestored(statuses));
            self.process_pending();
        }
    }
}

/// The status of a backend in the form that the gossip needs.
fn observation(backend: BackendStatus) -> NodeStatus {
    NodeStatus {
        node: backend.name.to_string(),
        started: backend.started.unwrap_or_default() as u64,
        failures: backend.consecutive_failures,
        ready: backend.ready,
    }
}
