//! Backends that an operator drained at this gateway, whatever the endpoint list says.

use doorcourse::{BackendEntry, BackendState, Name};
use std::collections::BTreeSet;

/// The backends drained by an operator.
///
/// A drain lasts until the operator or the process ends it, even while the backend is missing from the endpoint list:
/// the operator's reason for the drain may still apply when the backend is listed again.
#[derive(Clone, Debug, Default)]
pub struct ManualDrains {
    drained: BTreeSet<Name>,
}

impl ManualDrains {
    /// Begins or ends the drain of the backend of this name. Returns whether that changed anything.
    pub fn set_drained(&mut self, backend: &Name, drained: bool) -> bool {
        if drained { self.drained.insert(backend.clone()) } else { self.drained.remove(backend) }
    }

    /// Whether an operator drained the backend of this name.
    #[must_use]
    pub fn is_drained(&self, backend: &Name) -> bool {
        self.drained.contains(backend)
    }

    /// The endpoint list, with each ready backend that an operator drained marked as draining.
    #[must_use]
    pub fn apply(&self, endpoints: impl IntoIterator<Item = BackendEntry>) -> Vec<BackendEntry> {
        endpoints.into_iter().map(|entry| self.apply_to_entry(entry)).collect()
    }

    fn apply_to_entry(&self, mut entry: BackendEntry) -> BackendEntry {
        if entry.state == BackendState::Ready && self.is_drained(&entry.name) {
            entry.state = BackendState::Draining;
        }
        entry
    }
}

#[cfg(test)]
mod tests;
