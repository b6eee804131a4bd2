//! What is held of one backend.

use crate::*;

#[derive(Default)]
pub(crate) struct Backend {
    pub zone: Name,
    pub cell: u64,
    pub ready: bool,
    /// Since when the list does not name it any more.
    pub gone: Option<Millis>,
    pub seat: usize,
    pub started: Option<Millis>,
    /// Where starts are not told: when it is tried again after it refused a connection, as if it started then.
    pub refused: Option<Millis>,
    pub out: u32,
    /// How many this gateway keeps out here at most.
    pub room: f64,
    pub failures: u32,
    /// The class of the last error, until an answer is served.
    pub error: Option<usize>,
    pub eject_until: Millis,
}
