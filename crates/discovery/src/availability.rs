//! When the operator is notified that the endpoint list's source is lost or available again.

/// What the operator has been notified of.
///
/// Each of the four combinations of the flags occurs. Both are set after the loss of a silent watch: a source that
/// sends full lists and never a message on a watch stays available, and its loss is reported once, not for each
/// connection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SourceAvailability {
    /// Whether a list was applied since the last loss of a connection that was not a silent watch.
    available: bool,
    /// Whether a loss has been reported, and no message of a watch has arrived and no address has changed since.
    loss_reported: bool,
}

impl SourceAvailability {
    /// A list was applied. Returns whether the source becomes available with it, which is reported.
    pub(crate) fn list_applied(&mut self) -> bool {
        let becomes_available = !self.available;
        self.available = true;
        becomes_available
    }

    /// A complete message of a watch arrived, or the source has another address: the next loss is reported.
    pub(crate) fn clear_reported_loss(&mut self) {
        self.loss_reported = false;
    }

    /// A connection was lost; `silent_watch` says that it was a watch without a complete message, whose loss leaves the
    /// source available. Returns whether the loss is reported.
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
