//! Decides when the operator is notified that the source of the endpoint list was lost or is available again.

/// What the operator has been notified of.
///
/// All four combinations of the flags occur. Both are set after the loss of a silent watch: a source that sends full
/// lists but never a message on a watch stays available, and the loss is reported once, not for each connection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SourceAvailability {
    /// Whether a list was applied since a connection other than a silent watch was last lost.
    available: bool,
    /// Whether a loss has been reported, and no message of a watch has arrived and no address has changed since.
    loss_reported: bool,
}

impl SourceAvailability {
    /// Records that a list was applied. Returns whether the source becomes available by it, which is to be reported.
    pub(crate) fn list_applied(&mut self) -> bool {
        let becomes_available = !self.available;
        self.available = true;
        becomes_available
    }

    /// Makes the next loss be reported: a complete message of a watch arrived, or the source has another address.
    pub(crate) fn clear_reported_loss(&mut self) {
        self.loss_reported = false;
    }

    /// Records the loss of a connection. `silent_watch` says whether it was a watch without a complete message, whose
    /// loss leaves the source available. Returns whether the loss is to be reported.
    pub(crate) fn connection_lost(&mut self, silent_watch: bool) -> bool {
        let ends_availability = self.available && !silent_watch;
        let is_reported = !self.loss_reported || ends_availability;
        if ends_availability {
            self.available = false;
        }
        self.loss_reported = true;
        is_reported
    }
}

#[cfg(test)]
mod tests;
