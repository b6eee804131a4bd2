//! The states of a process.

use crate::Millis;

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessState {
    /// It binds its listeners, reads its state file and waits for the first endpoint list.
    Starting,
    /// It admits requests.
    Serving,
    /// It keeps serving while a new process starts on the same listening sockets.
    HandingOver {
        /// The new process, by the host's number for its connection.
        peer: u64,
        /// The takeover is abandoned at this time.
        deadline: Millis,
    },
    /// It accepts no new connections (after the notice) and completes in-flight requests.
    Draining {
        /// When the listeners close; in the past once they are closed.
        close_listeners_at: Millis,
        /// When the requests that are still open are answered at once.
        deadline: Millis,
    },
    /// All requests are answered; quota leases are returned to the counter.
    Releasing {
        /// The process ends at this time at the latest.
        deadline: Millis,
    },
    /// The process may exit.
    Stopped,
}

impl ProcessState {
    /// The state's name in logs and admin replies; a stable format.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::HandingOver { .. } => "handing over",
            Self::Draining { .. } => "draining",
            Self::Releasing { .. } => "giving back",
            Self::Stopped => "stopped",
        }
    }
}
