//! The states of a process.

use crate::Millis;

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessState {
    /// The process binds its listeners, reads its state file and waits for the first endpoint list.
    Starting,
    /// The process admits requests.
    Serving,
    /// The process keeps serving while a new process starts on the same listening sockets.
    HandingOver {
        /// The host's number for the connection to the new process.
        peer: u64,
        /// When the takeover is abandoned.
        deadline: Millis,
    },
    /// The process completes its open requests; once the notice is over it accepts no new connections.
    Draining {
        /// When the listeners close; in the past once they are closed.
        close_listeners_at: Millis,
        /// When the requests that are still open get their final responses at once.
        deadline: Millis,
    },
    /// All requests have their final responses; quota leases are being returned to the counter.
    Releasing {
        /// When the process stops at the latest.
        deadline: Millis,
    },
    /// The process may exit.
    Stopped,
}

impl ProcessState {
    /// The state's name in logs and admin replies, which other programs match: it must not change.
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
