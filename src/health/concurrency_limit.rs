//! The adaptive limit on this gateway's requests in flight at one backend.
//!
//! The limit adapts to the share of responses that take longer than a part of the latency objective, so it protects
//! against overload of any cause and needs no configured capacity of the backend.

use crate::Gateway;

/// The initial limit of all gateways together at one backend.
const INITIAL_FLEET_LIMIT: f64 = 3.5;
/// The least limit of one gateway at one backend. Below 1 it still admits one request, but the sum of the limits at all
/// backends applies as well.
const MIN_LIMIT: f64 = 0.2;
/// The share of responses that may be late: with fewer the limit grows, with more it shrinks.
pub(crate) const TARGET_LATE_FRACTION: f64 = 0.1;
/// The relative step of the limit by one response: nine tenths of this down for a late one, a tenth up for one in
/// time.
const LIMIT_STEP: f64 = 0.12;

/// Whether there are so many gateways that even parts of the initial limit would be below the minimum. Each gateway
/// then sees too little of a backend: backends are chosen by random draw, and load is shed by the share of late
/// responses of all backends together.
pub(crate) fn is_large_fleet(gateway_count: u32) -> bool {
    INITIAL_FLEET_LIMIT < MIN_LIMIT * f64::from(gateway_count)
}

/// How many requests this gateway keeps in flight at one backend, as a fraction.
pub(crate) struct ConcurrencyLimit(f64);

impl ConcurrencyLimit {
    /// The even part of the initial limit.
    pub(crate) fn new(gateway_count: u32) -> Self {
        Self(INITIAL_FLEET_LIMIT / f64::from(gateway_count))
    }

    pub(crate) fn get(&self) -> f64 {
        self.0
    }

    /// Whether no further request may be sent beside those in flight.
    pub(crate) fn is_reached(&self, in_flight: u32) -> bool {
        f64::from(in_flight) >= self.0.ceil()
    }

    /// Adapts the limit to a response; `in_flight` counts the remaining requests. The limit grows only while it is
    /// used.
    pub(crate) fn record_response(&mut self, is_late: bool, in_flight: u32) {
        let is_used = f64::from(in_flight) + 1.0 >= self.0.floor();
        if is_late || is_used {
            let change = LIMIT_STEP * (TARGET_LATE_FRACTION - f64::from(u8::from(is_late)));
            self.0 = (self.0 * (1.0 + change)).max(MIN_LIMIT);
        }
    }

    /// Restores a limit, clamped between the minimum and the larger of the initial fleet limit and the current limit.
    pub(crate) fn restore(&mut self, limit: f64) {
        self.0 = limit.clamp(MIN_LIMIT, INITIAL_FLEET_LIMIT.max(self.0));
    }
}

impl Gateway {
    /// How many requests may be in flight at all ready backends together.
    pub(crate) fn total_concurrency_limit(&self) -> f64 {
        let ready = self.backends.values().filter(|backend| backend.ready);
        ready.map(|backend| backend.concurrency_limit.get()).sum()
    }
}
