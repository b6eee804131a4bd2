//! The actions that the host carries out for the life cycle.

use crate::ProcessState;

/// Why a reload or a takeover is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The process is not serving yet.
    Starting,
    /// The process is draining: new settings or a new process would have no effect.
    Draining,
    /// A takeover is in progress.
    HandingOver,
}

impl RefusalReason {
    /// The reason why a process in `state` refuses a reload or a takeover. In `Serving` it refuses neither.
    pub(crate) fn for_state(state: ProcessState) -> Self {
        match state {
            ProcessState::Starting => Self::Starting,
            ProcessState::HandingOver { .. } => Self::HandingOver,
            ProcessState::Serving
            | ProcessState::Draining { .. }
            | ProcessState::Releasing { .. }
            | ProcessState::Stopped => Self::Draining,
        }
    }
}

impl std::fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Starting => "the gateway is not serving yet",
            Self::Draining => "the gateway is draining",
            Self::HandingOver => "another process is taking over",
        })
    }
}

/// An action that the host carries out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessAction {
    /// Report this readiness to health checks.
    SetReady(bool),
    /// Announce on each client connection, with its next response, that the connection will close.
    AnnounceClose,
    /// Accept the connections that wait in the listeners' accept queues, then close the listeners. The next `Tick`
    /// counts the accepted connections.
    CloseListeners,
    /// Read the settings outside the event loop, then report `SettingsRead`.
    ReadSettings,
    /// Apply the settings that were read.
    ApplySettings,
    /// Refuse the reload.
    RefuseReload(RefusalReason),
    /// Pass the listening sockets to a new process.
    PassListeners {
        /// The connection to the new process.
        peer: u64,
    },
    /// Refuse a takeover.
    RefuseTakeover {
        /// The connection on which the takeover was requested.
        peer: u64,
        /// Why.
        reason: RefusalReason,
    },
    /// Close the connection to a process that did not become ready.
    DisconnectPeer {
        /// The connection to that process.
        peer: u64,
    },
    /// Return quota leases to the counter, and acquire no more.
    ReleaseLeases,
    /// End the attempts of all open requests, so that each gets its final response.
    FinishRequests,
    /// Exit the process.
    Exit,
    /// The state changed, for the log.
    StateChanged(ProcessState),
}
