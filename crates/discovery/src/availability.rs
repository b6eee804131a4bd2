//! Decides when the operator is notified that the source of the endpoint list was lost or is available again.

/// What the operator has been notified of.
///
/// Both flags are set after a source has lost a silent watch and then sent the full list: a source that sends full lists
/// but never a message on a watch is available, and the loss is reported once, not for each connection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SourceAvailability {
    /// Whether a message or list arrived since the last loss that was reported.
    available: bool,
    /// Whether a loss has been reported, and no message of a watch has arrived and no address has changed since.
    loss_reported: bool,
}

impl SourceAvailability {
    /// Records that a message of a watch or a list arrived. Returns whether the source becomes available by it, which is
    /// to be reported.
    pub(crate) fn source_answered(&mut self) -> bool {
        let becomes_available = !self.available;
        self.available = true;
        becomes_available
    }

    /// Makes the next loss be reported: a complete message of a watch arrived, or the source has another address.
    pub(crate) fn clear_reported_loss(&mut self) {
        self.loss_reported = false;
    }

    /// Records the loss of a connection. `silent_watch` says whether it was a watch without a complete message, whose
    /// loss is reported only once until a watch delivers a message. Returns whether the loss is to be reported.
    pub(crate) fn connection_lost(&mut self, silent_watch: bool) -> bool {
        let is_reported = !self.loss_reported || self.available && !silent_watch;
        if is_reported {
            self.available = false;
        }
        self.loss_reported = true;
        is_reported
    }
}

#[cfg(test)]
mod tests;
