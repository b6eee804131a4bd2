//! What a person or a stop asks of all requests and nodes at once: nodes drained by hand, and the rounds in which what is
//! left at a stop is answered.

use doorcourse::{BackendEntry, BackendState, Name, RequestId};
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

/// What a stop does with what is left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalRound {
    /// These attempts are over: their time is up. The decisions give the final answer or try once more.
    ExpireAttempts(Vec<RequestId>),
    /// These have had more rounds than attempts: their clients' connections are cut.
    ResetClients(Vec<RequestId>),
    /// Nothing is left.
    Finished,
}

/// The rounds of a stop. Each ends one attempt of each request, so there are as many as attempts, and one for what was
/// held; whatever is left then would go on for ever.
#[derive(Clone, Debug)]
pub struct FinalRounds {
    left: u32,
}

impl FinalRounds {
    /// For requests of so many attempts at most.
    #[must_use]
    pub fn new(most_attempts: u32) -> Self {
        Self { left: most_attempts.saturating_add(1) }
    }

    /// The next round, with what is left.
    pub fn next(&mut self, left: Vec<RequestId>) -> FinalRound {
        if left.is_empty() {
            return FinalRound::Finished;
        }
        if self.left == 0 {
            return FinalRound::ResetClients(left);
        }
        self.left -= 1;
        FinalRound::ExpireAttempts(left)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use doorcourse::Placement;

    #[test]
    fn a_hand_s_word_outlives_the_list() {
        let entry = |state| BackendEntry {
            name: "a".into(),
            zone: Name::default(),
            cell: 0,
            state,
            started: None,
            placement: Placement::default(),
        };
        let mut drains = ManualDrains::default();
        let state = |d: &ManualDrains, s| d.apply([entry(s)])[0].state;
        assert_eq!(state(&drains, BackendState::Ready), BackendState::Ready);
        assert!(drains.set_drained(&"a".into(), true) && !drains.set_drained(&"a".into(), true));
        assert_eq!(state(&drains, BackendState::Ready), BackendState::Draining);
        assert_eq!(state(&drains, BackendState::Removed), BackendState::Removed);
        assert!(drains.apply([]).is_empty() && drains.is_drained(&"a".into()));
        assert!(drains.set_drained(&"a".into(), false) && !drains.set_drained(&"a".into(), false));
        assert_eq!(state(&drains, BackendState::Ready), BackendState::Ready);
    }

    #[test]
    fn rounds_end_also_for_what_never_does() {
        let mut rounds = FinalRounds::new(2);
        for _ in 0..3 {
            assert_eq!(rounds.next(vec![7]), FinalRound::ExpireAttempts(vec![7]));
        }
        assert_eq!(rounds.next(vec![7]), FinalRound::ResetClients(vec![7]));
        assert_eq!(rounds.next(Vec::new()), FinalRound::Finished);
    }
}
