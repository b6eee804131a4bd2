//! The configuration of the voters. Configurations have versions. Each version differs by at most one voter from the
//! previous one, so that majorities of two successive versions share a voter.

use crate::{GatewayNumber, SettingsError};
use std::collections::BTreeSet;

/// The voters of one version and those of the previous version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterConfiguration {
    /// The version, which counts the changes of the configuration.
    pub version: u64,
    /// The voters of this version.
    pub voters: BTreeSet<GatewayNumber>,
    /// The voters of the previous version; empty for the first version.
    pub previous_voters: BTreeSet<GatewayNumber>,
}

impl VoterConfiguration {
    /// The first version.
    #[must_use]
    pub fn first(voters: impl IntoIterator<Item = GatewayNumber>) -> Self {
        Self { version: 0, voters: voters.into_iter().collect(), previous_voters: BTreeSet::new() }
    }

    /// The next version, with these voters.
    #[must_use]
    pub fn with_voters(&self, voters: impl IntoIterator<Item = GatewayNumber>) -> Self {
        Self {
            version: self.version + 1,
            voters: voters.into_iter().collect(),
            previous_voters: self.voters.clone(),
        }
    }

    /// Whether `count` of the voters are a majority.
    #[must_use]
    pub fn is_majority(&self, count: usize) -> bool {
        is_majority(count, self.voters.len())
    }

    /// Checks that there is a voter, and that at most one voter was added or removed since the previous version.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.voters.is_empty() {
            return Err(SettingsError::NoVoters);
        }
        let changed = self.voters.symmetric_difference(&self.previous_voters).count();
        if self.previous_voters.is_empty() || changed <= 1 { Ok(()) } else { Err(self.step_error(changed)) }
    }

    /// Checks whether `next` may follow this configuration: it is the same again, or the next version with at most one
    /// voter added or removed.
    ///
    /// # Errors
    /// Why `next` may not follow.
    pub fn check_successor(&self, next: &Self) -> Result<(), SettingsError> {
        next.validate()?;
        let changed = self.voters.symmetric_difference(&next.voters).count();
        let unchanged = next.version == self.version && changed == 0;
        let one_step = next.version == self.version + 1 && changed <= 1;
        if unchanged || one_step { Ok(()) } else { Err(next.step_error(changed)) }
    }

    fn step_error(&self, changed: usize) -> SettingsError {
        SettingsError::VoterStep { version: self.version, changed }
    }
}

/// Whether `count` of `total` voters are a majority.
pub(crate) fn is_majority(count: usize, total: usize) -> bool {
    count * 2 > total
}
