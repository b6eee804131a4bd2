//! Nodes drained by hand.

use doorcourse::{BackendEntry, BackendState, Name};
use std::collections::BTreeSet;

/// Nodes that a person drained at this gateway, whatever the list says. A word holds until it is taken back or the
/// process ends, also while the node is away from the list: who drained it did so for a reason.
#[derive(Clone, Debug, Default)]
pub struct ManualDrains(BTreeSet<Name>);

impl ManualDrains {
    /// Takes a person's word; whether it changes anything.
    pub fn set_drained(&mut self, name: &Name, drain: bool) -> bool {
        if drain { self.0.insert(name.clone()) } else { self.0.remove(name) }
    }

    /// Whether a node is drained by hand.
    #[must_use]
    pub fn is_drained(&self, name: &Name) -> bool {
        self.0.contains(name)
    }

    /// The list as this gateway is to take it.
    #[must_use]
    pub fn apply(&self, list: impl IntoIterator<Item = BackendEntry>) -> Vec<BackendEntry> {
        let one = |mut entry: BackendEntry| {
            if entry.state == BackendState::Ready && self.is_drained(&entry.name) {
                entry.state = BackendState::Draining;
            }
            entry
        };
        list.into_iter().map(one).collect()
    }
}

#[cfg(test)]
mod tests;
