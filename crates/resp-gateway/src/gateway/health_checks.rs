//! The health checks in flight.

use super::RespGateway;
use crate::backends::{AttemptEvent, AttemptUpdate};
use crate::reactor::Timer;
use doorcourse::{AttemptOutcome, Event, LoadReport, Millis, Name, RequestId};
use doorcourse_request_lifecycle::BackendReply;
use std::collections::HashMap;

/// A health check in flight.
struct HealthCheck {
    backend: Name,
    started_at: Millis,
}

/// The health checks in flight, by id.
#[derive(Default)]
pub(super) struct HealthChecks {
    in_flight: HashMap<RequestId, HealthCheck>,
}

impl HealthChecks {
    /// Whether the health check is in flight.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.in_flight.contains_key(&id)
    }
}

impl RespGateway {
    /// Starts the health check of a backend.
    pub(super) fn start_health_check(&mut self, backend: Name) {
        let updates = &mut self.pending.attempts;
        let id = self.backends.start_health_check(&mut self.reactor, &backend, updates);
        let now = self.reactor.now;
        self.health_checks.in_flight.insert(id, HealthCheck { backend, started_at: now });
        let timeout = self.deployment.host.connect_timeout.max(self.deployment.settings.tick);
        self.reactor.timers.schedule(now + timeout, Timer::HealthCheckTimeout { check: id });
    }

    pub(super) fn handle_health_check_event(&mut self, update: AttemptUpdate) {
        let (outcome, load_report) = match update.event {
            AttemptEvent::Connected | AttemptEvent::Written => return,
            AttemptEvent::Responded(response) => (outcome_of(response.reply), response.load_report),
            AttemptEvent::InvalidResponse => (AttemptOutcome::Error, None),
            AttemptEvent::ConnectionLost => (AttemptOutcome::ConnectFailed, None),
            AttemptEvent::Withdrawn => {
                self.backends.abandon(update.request);
                (AttemptOutcome::NeverSent, None)
            }
        };
        self.end_health_check(update.request, outcome, load_report);
    }

    pub(super) fn time_out_health_check(&mut self, id: RequestId) {
        self.backends.abandon(id);
        self.end_health_check(id, AttemptOutcome::TimedOut, None);
    }

    fn end_health_check(&mut self, id: RequestId, outcome: AttemptOutcome, load_report: Option<LoadReport>) {
        let Some(check) = self.health_checks.in_flight.remove(&id) else { return };
        self.pending.decisions.push_back(Event::HealthCheckEnded {
            backend: check.backend,
            outcome,
            latency: self.reactor.now - check.started_at,
            load_report,
        });
    }
}

fn outcome_of(reply: BackendReply) -> AttemptOutcome {
    match reply {
        BackendReply::Value => AttemptOutcome::Served,
        BackendReply::Rejected => AttemptOutcome::Rejected,
        BackendReply::Failed => AttemptOutcome::Error,
    }
}
