//! What the host reports to the life cycle.

use crate::Millis;

/// The work that is not finished yet, as counted by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PendingWork {
    /// Requests that are unanswered or have an attempt in flight.
    pub requests: usize,
    /// Open client connections.
    pub connections: usize,
    /// Of these, connections with a request partially received or a response partially sent.
    pub busy_connections: usize,
    /// Counter calls in flight.
    pub counter_calls: usize,
    /// Time since any client last sent a byte.
    pub idle_for: Millis,
}

/// Something that happened to the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The listeners are bound and the first endpoint list is applied.
    Started,
    /// An operator requested a drain; a repeated one changes nothing.
    DrainRequested,
    /// A termination signal: the first one drains, the second one answers open requests at once.
    TerminateSignal,
    /// A reload of the settings was requested.
    ReloadRequested,
    /// The settings were read and are valid.
    SettingsRead,
    /// A new process requests the listening sockets.
    TakeoverRequested {
        /// Its connection.
        peer: u64,
    },
    /// The new process serves.
    TakeoverReady {
        /// Its connection.
        peer: u64,
    },
    /// The connection to the new process is lost.
    TakeoverFailed {
        /// Its connection.
        peer: u64,
    },
    /// Time passed; what is still pending.
    Tick(PendingWork),
}
