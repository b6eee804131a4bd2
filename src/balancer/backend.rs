//! What is held of one backend.

use crate::*;

#[derive(Default)]
pub(crate) struct Backend {
    pub zone: Name,
    pub cell: u64,
    pub ready: bool,
    /// Since when the list does not name it any more.
    pub removed_at: Option<Millis>,
    pub slot: usize,
    pub started: Option<Millis>,
    /// Where starts are not told: when it is tried again after it refused a connection, as if it started then.
    pub assumed_start: Option<Millis>,
    pub in_flight: u32,
    /// How many this gateway keeps out here at most.
    pub concurrency_limit: f64,
    pub consecutive_failures: u32,
    /// The class of the last error, until an answer is served.
    pub error_class: Option<usize>,
    pub ejected_until: Millis,
}
