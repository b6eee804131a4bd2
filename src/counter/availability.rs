//! Whether the shared counter is available, as seen from its responses to calls.

use crate::Millis;

/// The counter is unavailable after this many counter timeouts without a response: a single call may be late.
const UNAVAILABLE_AFTER_TIMEOUTS: f64 = 3.0;

/// A period in which the counter was unavailable.
#[derive(Clone, Copy, Default)]
pub(crate) struct Unavailability {
    pub started_at: Millis,
    /// Minus infinity while the period lasts, so that no time counts as shortly after its end.
    pub ended_at: Millis,
}

/// Whether the counter is unavailable at present; such a period begins and ends with a log line.
enum CounterState {
    Available { last_unavailability: Unavailability },
    Unavailable { since: Millis },
}

/// What is known of the counter's availability.
pub(crate) struct CounterAvailability {
    consecutive_failures: u32,
    last_response_at: Millis,
    state: CounterState,
}

impl Default for CounterAvailability {
    fn default() -> Self {
        let state = CounterState::Available { last_unavailability: Unavailability::default() };
        Self { consecutive_failures: 0, last_response_at: 0.0, state }
    }
}

impl CounterAvailability {
    /// Whether the counter has failed more than one call and has not responded for too long.
    pub(crate) fn is_unavailable(&self, now: Millis, counter_timeout: Millis) -> bool {
        let since_response = now - self.last_response_at;
        self.consecutive_failures > 1 && since_response > counter_timeout * UNAVAILABLE_AFTER_TIMEOUTS
    }

    /// Records a response. Returns whether the counter was unavailable until now.
    pub(crate) fn record_response(&mut self, now: Millis) -> bool {
        self.consecutive_failures = 0;
        self.last_response_at = now;
        let CounterState::Unavailable { since } = self.state else { return false };
        self.state = CounterState::Available {
            last_unavailability: Unavailability { started_at: since, ended_at: now },
        };
        true
    }

    /// Records a call that failed or timed out.
    pub(crate) fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Records that the counter is unavailable. Returns whether it was recorded as available until now.
    pub(crate) fn begin_unavailability(&mut self, now: Millis) -> bool {
        if matches!(self.state, CounterState::Unavailable { .. }) {
            return false;
        }
        self.state = CounterState::Unavailable { since: now };
        true
    }

    /// The period in which the counter is unavailable, or else the last such one.
    pub(crate) fn last_unavailability(&self) -> Unavailability {
        match self.state {
            CounterState::Available { last_unavailability } => last_unavailability,
            CounterState::Unavailable { since } => {
                Unavailability { started_at: since, ended_at: f64::NEG_INFINITY }
            }
        }
    }
}
