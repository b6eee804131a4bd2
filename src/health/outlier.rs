//! Outlier ejection: a backend that fails is sent nothing for a while.
//!
//! Dead and stalled backends show in the outcomes of attempts long before the endpoint list changes.

use crate::Millis;

/// A backend is ejected for this share of the slow-start duration for each failure in a row.
const EJECTION_SHARE: f64 = 0.02;
/// From this many failures in a row a lost connection ejects as well, and the ejection is logged.
pub(crate) const CONFIRMED_FAILURES: u32 = 2;

/// The failures of one backend.
#[derive(Clone, Copy, Default)]
pub(crate) struct OutlierState {
    pub consecutive_failures: u32,
    /// The class of the last request whose response was an error, until a request is served.
    error_class: Option<usize>,
    /// The backend is sent nothing until then.
    pub ejected_until: Millis,
}

/// A failed attempt, as far as ejection depends on it.
pub(crate) struct Failure {
    /// How long the attempt was in flight, in ms.
    pub latency: Millis,
    /// Whether the connection was lost, which may happen to one connection alone.
    pub connection_lost: bool,
}

impl OutlierState {
    /// Whether the backend is ejected.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Records a served request. Returns whether it ended a confirmed series of failures.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_confirmed = self.consecutive_failures >= CONFIRMED_FAILURES;
        self.consecutive_failures = 0;
        self.error_class = None;
        was_confirmed
    }

    /// Records an error response. Returns whether it counts as a failure: only after an error of another class with no
    /// served request in between. Errors of one class alone do not count, since that class may fail at all backends
    /// alike. Errors of several classes do: otherwise a backend that responds to every request with an immediate error
    /// would attract ever more requests.
    pub(crate) fn record_error(&mut self, class_index: usize) -> bool {
        let last = self.error_class.replace(class_index);
        last.is_some_and(|last| last != class_index)
    }

    /// Records a failure and ejects the backend: at least for as long as the failed attempt took, since a request that
    /// timed out may still occupy the backend, and longer with each consecutive failure. The first lost connection does
    /// not eject, since a dead backend breaks or refuses the next connection as well. Returns whether this failure
    /// confirms the series.
    pub(crate) fn record_failure(
        &mut self, failure: &Failure, now: Millis, slow_start_duration: Millis,
    ) -> bool {
        self.consecutive_failures += 1;
        if !failure.connection_lost || self.consecutive_failures >= CONFIRMED_FAILURES {
            let duration = ejection_duration(failure.latency, self.consecutive_failures, slow_start_duration);
            self.ejected_until = now + duration;
        }
        self.consecutive_failures == CONFIRMED_FAILURES
    }

    /// Restores the failures that another process saw. The ejection lasts no longer than `max_duration` ms.
    pub(crate) fn restore(
        &mut self, consecutive_failures: u32, ejected_until: Millis, now: Millis, max_duration: Millis,
    ) {
        self.consecutive_failures = consecutive_failures;
        self.ejected_until = ejected_until.min(now + max_duration);
    }
}

/// How long a backend is ejected, in ms.
fn ejection_duration(latency: Millis, consecutive_failures: u32, slow_start_duration: Millis) -> Millis {
    let share = EJECTION_SHARE * f64::from(consecutive_failures);
    latency.max(slow_start_duration * share)
}
