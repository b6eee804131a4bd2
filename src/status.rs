//! The state that a gateway exposes, for operators and for a file from which the next process restores it.

use crate::types::{Millis, Name};

/// The state of one customer at a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerStatus {
    /// The customer's name.
    pub name: Name,
    /// Its plan.
    pub plan: Name,
    /// Units of its quota lease that are not spent yet.
    pub leased_units: f64,
    /// Units in its token bucket, according to all counter totals received.
    pub available_units: f64,
    /// Units used and not yet added to the counter; negative where units are to be returned.
    pub unreported_units: f64,
    /// Requests that wait for the counter.
    pub waiting: usize,
    /// Requests in flight.
    pub in_flight: u32,
}

/// The state of one backend as a gateway sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    /// The backend's name.
    pub name: Name,
    /// Whether the endpoint list states it as ready.
    pub ready: bool,
    /// Requests of this gateway in flight there.
    pub in_flight: u32,
    /// How many requests this gateway keeps in flight there at most.
    pub concurrency_limit: f64,
    /// When it last started, where that is known.
    pub started: Option<Millis>,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// When its ejection ends; a past time if it is not ejected.
    pub ejected_until: Millis,
}
