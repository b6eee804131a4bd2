//! Why client connections are closed, counted for the log.

/// Why the gateway closed a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client closed it or its side of it, or it was reset.
    ClientDisconnected,
    /// Its client sent or read nothing for too long.
    Expired,
    /// Another connection needed its descriptor.
    Evicted,
    /// The process shuts down.
    Draining,
    /// The client sent bytes that are no command.
    InvalidFraming,
    /// The table was full when it was accepted.
    TableFull,
}

/// Connections closed since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CloseCounts {
    pub client_disconnected: u64,
    pub expired: u64,
    pub evicted: u64,
    pub draining: u64,
    pub invalid_framing: u64,
    pub table_full: u64,
}

impl CloseCounts {
    pub(super) fn record(&mut self, reason: CloseReason) {
        let count = match reason {
            CloseReason::ClientDisconnected => &mut self.client_disconnected,
            CloseReason::Expired => &mut self.expired,
            CloseReason::Evicted => &mut self.evicted,
            CloseReason::Draining => &mut self.draining,
            CloseReason::InvalidFraming => &mut self.invalid_framing,
            CloseReason::TableFull => &mut self.table_full,
        };
        *count += 1;
    }
}
