//! What a gateway shows of its state, for people and for a file that outlives the process.

use crate::types::{Millis, Name};

/// What a gateway holds of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerStatus {
    /// The customer's name.
    pub name: Name,
    /// Its plan.
    pub plan: Name,
    /// Units of its quota lease that are not spent yet.
    pub leased_units: f64,
    /// Units that its token bucket holds, by all totals received.
    pub available_units: f64,
    /// Units used and not yet added to the counter; negative where units are to be returned.
    pub unreported_units: f64,
    /// Requests that wait for a lease.
    pub waiting: usize,
    /// Requests in flight.
    pub in_flight: u32,
}

/// What a gateway knows of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    /// The backend's name.
    pub name: Name,
    /// Whether the endpoint list lets it be used.
    pub ready: bool,
    /// Requests of this gateway in flight there.
    pub in_flight: u32,
    /// How many requests this gateway keeps in flight there at most.
    pub concurrency_limit: f64,
    /// When it last started, where that is known.
    pub started: Option<Millis>,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// It is ejected until then.
    pub ejected_until: Millis,
}
