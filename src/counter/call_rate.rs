//! The adaptive rate of counter calls: fewer are made while the counter responds slowly.

use crate::Millis;

/// Responses within this share of the timeout raise the call rate; slower ones lower it.
const TARGET_LATENCY_SHARE: f64 = 0.3;
/// The share by which a response without latency raises the call rate.
const MAX_INCREASE: f64 = 0.2;
/// A call that was slow or failed lowers the rate by at most this multiple of [`MAX_INCREASE`].
const MAX_DECREASE_FACTOR: f64 = 2.0;
/// The least call rate: without calls a gateway would not learn that the counter is available again.
pub(crate) const MIN_CALL_RATE: f64 = 0.1;
/// The largest call rate: at 1 all first requests of sampled quotas are counted, at 2 all retries of clients as well.
pub(crate) const MAX_CALL_RATE: f64 = 2.0;

/// The share of the wanted calls that the counter can sustain, [`MIN_CALL_RATE`] to [`MAX_CALL_RATE`].
pub(crate) struct CallRate(f64);

impl Default for CallRate {
    fn default() -> Self {
        Self(1.0)
    }
}

impl CallRate {
    pub(crate) fn get(&self) -> f64 {
        self.0
    }

    /// Adapts the rate to a call that ended after `latency` ms, `None` where it failed. The rate changes in proportion
    /// to the distance of the latency from its target.
    pub(crate) fn record(&mut self, latency: Option<Millis>, counter_timeout: Millis) {
        let target_latency = counter_timeout * TARGET_LATENCY_SHARE;
        let latency_ratio = latency.map_or(f64::INFINITY, |latency| latency / target_latency);
        let change = MAX_INCREASE * (1.0 - latency_ratio).max(-MAX_DECREASE_FACTOR);
        self.0 = (self.0 * (1.0 + change)).clamp(MIN_CALL_RATE, MAX_CALL_RATE);
    }
}
