//! When a gateway that has just started reports itself ready.
//!
//! Readiness affects only the reply to a client's PING. Requests are accepted from the start on, with the endpoint list
//! of the previous process or with none.

use doorcourse::Millis;

/// How long after its start a gateway waits for an endpoint list. After that it reports itself ready with the list of
/// the previous process, so that a fleet can start while its discovery is down.
const ENDPOINT_LIST_TIMEOUT: Millis = 1000.0;

/// Whether a gateway that has just started reports itself ready.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    started_at: Millis,
    list_received: bool,
}

impl Readiness {
    /// The state of a gateway that starts at `now` and has no endpoint list yet.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { started_at: now, list_received: false }
    }

    /// Records that the source of the endpoint list has sent one.
    pub fn list_received(&mut self) {
        self.list_received = true;
    }

    /// Whether the gateway reports itself ready at `now`: with a list, or one second after its start without one.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        self.list_received || now >= self.started_at + ENDPOINT_LIST_TIMEOUT
    }
}
