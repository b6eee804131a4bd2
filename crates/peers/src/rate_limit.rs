//! A token bucket that limits the datagrams from or to one peer.

use crate::Millis;

/// Sustained rate of datagrams from or to one peer, per second.
const DATAGRAMS_PER_SECOND: f64 = 400.0;
/// Datagrams from or to one peer in one burst.
const BURST: f64 = 800.0;

/// The token bucket for one peer and one direction.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    available: f64,
    refilled_at: Millis,
}

impl RateLimit {
    /// A full bucket.
    pub(crate) fn new(now: Millis) -> Self {
        Self { available: BURST, refilled_at: now }
    }

    /// Takes the token for one datagram. Returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Millis) -> bool {
        let elapsed_ms = now.saturating_sub(self.refilled_at) as f64;
        self.available = (self.available + elapsed_ms * DATAGRAMS_PER_SECOND / 1000.0).min(BURST);
        self.refilled_at = now.max(self.refilled_at);
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

#[cfg(test)]
mod tests;
