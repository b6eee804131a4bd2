//! Backends that fail.

use crate::admission::shedding::LATE_WEIGHT;
use crate::balancer::backend::Backend;
use crate::health::concurrency_limit::ROOM_SHARE;
use crate::*;

/// A failure is a late answer if it took this many times the usual latency.
pub(crate) const LATE_LATENCIES: f64 = 4.0;
/// Weight of the newest latency in the usual latency of its class.
pub(crate) const USUAL_WEIGHT: f64 = 0.02;
/// A backend that failed is tried again after this share of the cold time for each failure in a row ...
pub(crate) const EJECT_SHARE: f64 = 0.02;
/// ... and the log tells of it at this many.
pub(crate) const EJECT_TOLD: u32 = 2;

impl Backend {
    /// Guards against dead and stalled backends, which show in outcomes long before the list does: nothing
    /// is sent for as long again as the failure took, where calling off stops no work what was given
    /// up still has to be worked through, and longer with each failure in a row. A connection that breaks
    /// alone says little of its backend: one that died breaks or refuses the next as well.
    pub(crate) fn record_failure(
        &mut self, now: Millis, latency: Millis, broke: bool, settings: &Settings,
    ) -> bool {
        self.consecutive_failures += 1;
        let share = EJECT_SHARE * f64::from(self.consecutive_failures);
        if !broke || self.consecutive_failures >= EJECT_TOLD {
            self.ejected_until = now + latency.max(settings.slow_start_duration * share);
        }
        self.consecutive_failures == EJECT_TOLD
    }
}

impl Gateway {
    pub(crate) fn record_backend_outcome(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let class = self.requests.get(&end.id).map_or(0, |r| r.class_index);
        let usual = &mut self.class_latency[class];
        let late = match end.outcome {
            AttemptOutcome::Served => {
                if backend.consecutive_failures >= EJECT_TOLD {
                    out.push(Action::Log(format!("backend {name} back: it answers again")));
                }
                (backend.consecutive_failures, backend.error_class) = (0, None);
                *usual = if *usual == 0.0 { latency } else { *usual + USUAL_WEIGHT * (latency - *usual) };
                latency > self.settings.classes[class].latency_objective * ROOM_SHARE
            }
            AttemptOutcome::NeverSent => return,
            // Guards against one that fails at once and so draws more. One class alone may fail anywhere.
            AttemptOutcome::Error if backend.error_class.replace(class).is_none_or(|c| c == class) => return,
            AttemptOutcome::Error => false,
            AttemptOutcome::Rejected => true,
            // A client with little time left proves nothing of the fleet.
            _ => latency > *usual * LATE_LATENCIES,
        };
        backend.adjust_concurrency_limit(late);
        self.late_fraction += LATE_WEIGHT * (f64::from(u8::from(late)) - self.late_fraction);
        let (lost, broke) =
            (end.outcome != AttemptOutcome::Served, end.outcome == AttemptOutcome::ConnectionLost);
        if lost && backend.record_failure(now, latency, broke, &self.settings) {
            out.push(Action::Log(format!("backend {name} ejected: {EJECT_TOLD} failures in a row")));
        }
        if end.outcome == AttemptOutcome::ConnectFailed && self.settings.routing.assume_restart {
            backend.assumed_start = Some(backend.ejected_until);
        }
    }
}
