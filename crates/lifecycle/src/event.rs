//! What the host reports to the life cycle.

use crate::Millis;

/// The work that is not finished yet, as counted by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PendingWork {
    /// Requests without a final response, or with an attempt in flight.
    pub requests: usize,
    /// Open client connections.
    pub connections: usize,
    /// Those of the open client connections that have a partially received request or a partially sent response.
    pub busy_connections: usize,
    /// Counter calls in flight.
    pub counter_calls: usize,
    /// Whether leases of tasks wait for the end of a call before they are released.
    pub releasing_task_leases: bool,
    /// Time since any client last sent a byte.
    pub idle_for: Millis,
}

/// An event that the host reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The listeners are bound and the first endpoint list is applied.
    Started,
    /// An operator requested a drain. A request during a drain changes nothing.
    DrainRequested,
    /// A termination signal. The first one starts a drain, the second one gives all open requests their final responses
    /// at once, and the third one stops the process.
    TerminateSignal,
    /// A reload of the settings was requested.
    ReloadRequested,
    /// The settings were read and are valid.
    SettingsRead,
    /// A new process requests the listening sockets.
    TakeoverRequested {
        /// The connection to the new process.
        peer: u64,
    },
    /// The new process is serving.
    TakeoverReady {
        /// The connection to the new process.
        peer: u64,
    },
    /// The connection to the new process is lost.
    TakeoverFailed {
        /// The connection to the new process.
        peer: u64,
    },
    /// Time has passed; carries the work that is still pending.
    Tick(PendingWork),
}
