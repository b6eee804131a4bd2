//! The limit on requests in flight at one backend.

use crate::balancer::backend::Backend;
use crate::*;

/// What all gateways together keep out at one backend at first; it then follows the latencies seen.
pub(crate) const ROOM_FIRST: f64 = 3.5;
/// Answers should come within this share of the aim; the rest is for the way, for holding, for bad luck.
pub(crate) const ROOM_SHARE: f64 = 0.6;
/// The share of answers that may come later than that: fewer and room grows, more and it shrinks.
pub(crate) const ROOM_LATE: f64 = 0.1;
/// By how much one answer moves room: a late one by nine tenths of this, one in time by a tenth.
pub(crate) const ROOM_STEP: f64 = 0.12;
/// The least room at one backend for one gateway: the sum over all backends still binds.
pub(crate) const ROOM_LEAST: f64 = 0.2;

impl Backend {
    /// Bounds what is out so that most answers keep to their aim: room follows the share of late answers.
    /// Guards against overload of any cause; it needs no figure of the backend's size.
    pub(crate) fn adjust_concurrency_limit(&mut self, late: bool) {
        let used = f64::from(self.in_flight) + 1.0 >= self.concurrency_limit.floor();
        if late || used {
            let step = ROOM_STEP * (ROOM_LATE - f64::from(u8::from(late)));
            self.concurrency_limit = (self.concurrency_limit * (1.0 + step)).max(ROOM_LEAST);
        }
    }
}

impl Gateway {
    pub(crate) fn total_concurrency_limit(&self) -> f64 {
        self.backends.values().filter(|b| b.ready).map(|b| b.concurrency_limit).sum()
    }
}
