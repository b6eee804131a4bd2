//! Whether the shared counter answers.

use crate::Millis;

/// The counter is unavailable after this many timeouts' time without an answer: one call alone may be late.
const UNAVAILABLE_AFTER_TIMEOUTS: f64 = 3.0;

/// A time in which the counter was unavailable.
#[derive(Clone, Copy, Default)]
pub(crate) struct Outage {
    pub started_at: Millis,
    /// Minus infinity while it lasts.
    pub ended_at: Millis,
}

/// Whether an outage is going on; it begins and ends with a log line.
enum CounterState {
    Available { last_outage: Outage },
    Unavailable { since: Millis },
}

/// What is known of the counter's availability.
pub(crate) struct CounterAvailability {
    consecutive_failures: u32,
    last_answer_at: Millis,
    state: CounterState,
}

impl Default for CounterAvailability {
    fn default() -> Self {
        let state = CounterState::Available { last_outage: Outage::default() };
        Self { consecutive_failures: 0, last_answer_at: 0.0, state }
    }
}

impl CounterAvailability {
    /// Whether the counter has failed more than one call and has not answered for too long.
    pub(crate) fn is_unavailable(&self, now: Millis, counter_timeout: Millis) -> bool {
        let since_answer = now - self.last_answer_at;
        self.consecutive_failures > 1 && since_answer > counter_timeout * UNAVAILABLE_AFTER_TIMEOUTS
    }

    /// Records an answer. Returns whether it ended an outage.
    pub(crate) fn record_answer(&mut self, now: Millis) -> bool {
        self.consecutive_failures = 0;
        self.last_answer_at = now;
        let CounterState::Unavailable { since } = self.state else { return false };
        self.state = CounterState::Available { last_outage: Outage { started_at: since, ended_at: now } };
        true
    }

    /// Records a call that failed or timed out.
    pub(crate) fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Begins an outage. Returns whether there was none yet.
    pub(crate) fn begin_outage(&mut self, now: Millis) -> bool {
        if matches!(self.state, CounterState::Unavailable { .. }) {
            return false;
        }
        self.state = CounterState::Unavailable { since: now };
        true
    }

    /// The present or else the last outage.
    pub(crate) fn last_outage(&self) -> Outage {
        match self.state {
            CounterState::Available { last_outage } => last_outage,
            CounterState::Unavailable { since } => Outage { started_at: since, ended_at: f64::NEG_INFINITY },
        }
    }
}
