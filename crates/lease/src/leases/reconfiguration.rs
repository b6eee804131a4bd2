//! Changes of the voter configuration: when a version comes into force, and when the next one may follow.
//!
//! A gateway moves to the next version once a majority of this version's voters has been at it for longer than a lease, so
//! that no majority of an older version can grant anything. A gateway that was started with a version, or that missed
//! versions, first waits for a majority of the version before.

use super::Leases;
use crate::voter_configuration::is_majority;
use crate::{DisabledRule, GatewayNumber, Millis, Output, VoterConfiguration};
use std::collections::BTreeSet;

/// How far a change of the voter configuration has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Reconfiguration {
    /// The configuration is in force, and none follows.
    InForce,
    /// The configuration is in force; `next` follows once a majority of its voters has long been at it.
    Changing { next: VoterConfiguration, majority_since: Option<Millis> },
    /// The configuration is not in force: it is once a majority of the voters before has long been at least at the version
    /// before. `next` is what the settings have by now.
    Unconfirmed { next: Option<VoterConfiguration>, majority_since: Option<Millis> },
}

impl Reconfiguration {
    /// Nothing is known of the voters of the version before.
    pub(super) fn unconfirmed() -> Self {
        Self::Unconfirmed { next: None, majority_since: None }
    }

    /// Whether this gateway may vote and request by the present configuration.
    pub(super) fn is_in_force(&self) -> bool {
        !matches!(self, Self::Unconfirmed { .. })
    }

    /// Sets the configuration that follows; since when there is a majority is kept.
    fn set_next(&mut self, voters: VoterConfiguration) {
        match self {
            Self::InForce => *self = Self::Changing { next: voters, majority_since: None },
            Self::Changing { next, .. } => *next = voters,
            Self::Unconfirmed { next, .. } => *next = Some(voters),
        }
    }

    /// Records whether there is a majority at `now`. Returns since when there is.
    fn record_majority(&mut self, now: Millis, is_majority: bool) -> Option<Millis> {
        match self {
            Self::InForce => None,
            Self::Changing { majority_since, .. } | Self::Unconfirmed { majority_since, .. } => {
                *majority_since = is_majority.then(|| majority_since.unwrap_or(now));
                *majority_since
            }
        }
    }
}

impl Leases {
    /// Takes a voter configuration from the settings. The next version waits until this one is established. A gateway that
    /// has missed versions begins as after a start: it releases everything and does not vote until what it granted has
    /// expired.
    pub(super) fn change_voters(
        &mut self, now: Millis, voters: VoterConfiguration, outputs: &mut Vec<Output>,
    ) {
        if voters == self.settings.voters {
            return;
        }
        if self.is_disabled(DisabledRule::VoterVersions) {
            self.reconfiguration.set_next(voters);
            return;
        }
        let missed_versions = voters.version > self.voters_version() + 1 && voters.validate().is_ok();
        if missed_versions {
            self.release_all_tasks(now, outputs);
            self.flush(now, outputs);
            self.settings.voters = voters;
            self.reconfiguration = Reconfiguration::unconfirmed();
            self.voting_from = now + self.settings.startup_wait();
            return;
        }
        match self.settings.voters.check_successor(&voters) {
            Ok(()) => self.reconfiguration.set_next(voters),
            Err(error) => outputs.push(Output::VotersRejected(error)),
        }
    }

    /// Moves on where a majority has been at the required version for longer than a lease.
    pub(super) fn advance_reconfiguration(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let has_majority = match &self.reconfiguration {
            Reconfiguration::InForce => return,
            Reconfiguration::Changing { .. } => {
                self.is_majority_at(&self.settings.voters.voters, self.voters_version())
            }
            Reconfiguration::Unconfirmed { .. } => {
                self.is_majority_at(&self.settings.voters.previous_voters, self.voters_version() - 1)
            }
        };
        let rule_disabled = self.is_disabled(DisabledRule::VoterVersions);
        let Some(since) = self.reconfiguration.record_majority(now, has_majority || rule_disabled) else {
            return;
        };
        if now < since + self.settings.startup_wait() && !rule_disabled {
            return;
        }
        self.enter_next_phase(now);
        outputs.push(Output::VotersInForce(self.voters_version()));
    }

    /// Whether a majority of `voters` has reported `version` or a later one; this gateway itself counts as such.
    fn is_majority_at(&self, voters: &BTreeSet<GatewayNumber>, version: u64) -> bool {
        let is_at = |voter: &&GatewayNumber| {
            let reported = self.reported_versions.get(voter);
            **voter == self.settings.gateway || reported.is_some_and(|reported| *reported >= version)
        };
        is_majority(voters.iter().filter(is_at).count(), voters.len())
    }

    /// Puts an unconfirmed configuration into force, or replaces the present one by the next.
    fn enter_next_phase(&mut self, now: Millis) {
        let finished = std::mem::replace(&mut self.reconfiguration, Reconfiguration::InForce);
        match finished {
            Reconfiguration::InForce => {}
            Reconfiguration::Unconfirmed { next, .. } => {
                if let Some(next) = next {
                    self.reconfiguration.set_next(next);
                }
            }
            Reconfiguration::Changing { next, .. } => {
                self.settings.voters = next;
                // Votes by the configuration before no longer count.
                for state in self.states.values_mut() {
                    state.invalidate_round(now);
                }
            }
        }
    }
}
