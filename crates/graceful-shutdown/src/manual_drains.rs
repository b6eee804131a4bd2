//! Backends that an operator drained at this gateway, whatever the endpoint list says.

use doorcourse::{BackendEntry, BackendState, Name};
use std::collections::BTreeSet;

/// The backends drained by an operator.
///
/// A drain holds until the operator ends it or the process ends, also while the backend is missing from the endpoint
/// list: the reason of the drain does not end with the entry.
#[derive(Clone, Debug, Default)]
pub struct ManualDrains {
    drained: BTreeSet<Name>,
}

impl ManualDrains {
    /// Begins or ends the drain of a backend, by its name. Returns whether that changes anything.
    pub fn set_drained(&mut self, backend: &Name, drained: bool) -> bool {
        if drained { self.drained.insert(backend.clone()) } else { self.drained.remove(backend) }
    }

    /// Whether an operator drained the backend of this name.
    #[must_use]
    pub fn is_drained(&self, backend: &Name) -> bool {
        self.drained.contains(backend)
    }

    /// The endpoint list with each ready backend that is drained by hand as draining.
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
