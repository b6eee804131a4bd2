//! Who votes. Lists have versions, each one voter away from the one before, so that majorities of neighbours share a
//! voter; nobody goes two versions on before a majority has left the first.

use crate::{GatewayNumber, SettingsError};
use std::collections::BTreeSet;

/// A list of voters and the one before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterConfiguration {
    /// Counts the changes of the list.
    pub version: u64,
    /// Those who vote.
    pub voters: BTreeSet<GatewayNumber>,
    /// Those who voted in the version before; empty where there was none.
    pub previous_voters: BTreeSet<GatewayNumber>,
}

impl VoterConfiguration {
    /// The first list.
    #[must_use]
    pub fn first(now: impl IntoIterator<Item = GatewayNumber>) -> Self {
        Self { version: 0, voters: now.into_iter().collect(), previous_voters: BTreeSet::new() }
    }

    /// The list after this one.
    #[must_use]
    pub fn with_voters(&self, now: impl IntoIterator<Item = GatewayNumber>) -> Self {
        Self {
            version: self.version + 1,
            voters: now.into_iter().collect(),
            previous_voters: self.voters.clone(),
        }
    }

    /// Whether so many of them are a majority.
    #[must_use]
    pub fn is_majority(&self, count: usize) -> bool {
        count * 2 > self.voters.len()
    }

    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.voters.is_empty() {
            return Err(SettingsError::NoVoters);
        }
        let step = self.voters.symmetric_difference(&self.previous_voters).count();
        if self.previous_voters.is_empty() || step <= 1 { Ok(()) } else { Err(SettingsError::VoterStep) }
    }

    /// Whether another list may follow: the next version, one voter away.
    ///
    /// # Errors
    /// What stands against it.
    pub fn may_follow(&self, next: &Self) -> Result<(), SettingsError> {
        next.validate()?;
        let step = self.voters.symmetric_difference(&next.voters).count();
        let same = next.version == self.version && step == 0;
        if same || next.version == self.version + 1 && step <= 1 {
            Ok(())
        } else {
            Err(SettingsError::VoterStep)
        }
    }
}
