//! Changes of the voter configuration: when a version comes into force, and when the next one may follow.
//!
//! A gateway moves to the next version once a majority of the current version's voters has been at the current version
//! for the startup wait ([`Settings::startup_wait`](crate::Settings::startup_wait)), which outlasts the longest lease:
//! from then on no majority of an older version can grant anything. A gateway that was started with a version that has
//! a previous one, or that missed versions, first waits in the same way for a majority of the previous version's
//! voters.

use super::Leases;
use crate::voter_configuration::is_majority;
use crate::{DisabledRule, GatewayNumber, Millis, Output, VoterConfiguration};
use std::collections::BTreeSet;

/// The progress of a change of the voter configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Reconfiguration {
    /// The current configuration is in force, and no other follows.
    InForce,
    /// The current configuration is in force. `next` replaces it once a majority of the current voters has been at the
    /// current version for the startup wait.
    Changing { next: VoterConfiguration, majority_since: Option<Millis> },
    /// The current configuration is not in force. It comes into force once a majority of the previous voters has been
    /// at the previous version or a later one for the startup wait. `next` is the configuration that the settings have
    /// been changed to in the meantime, if any.
    Unconfirmed { next: Option<VoterConfiguration>, majority_since: Option<Millis> },
}

impl Reconfiguration {
    /// The state before any voter of the previous version has reported its version.
    pub(super) fn unconfirmed() -> Self {
        Self::Unconfirmed { next: None, majority_since: None }
    }

    /// Whether this gateway may vote and request leases by the current configuration.
    pub(super) fn is_in_force(&self) -> bool {
        !matches!(self, Self::Unconfirmed { .. })
    }

    /// Sets the configuration that follows the current one. `majority_since` is kept, since it does not depend on the
    /// configuration that follows.
    fn set_next(&mut self, voters: VoterConfiguration) {
        match self {
            Self::InForce => *self = Self::Changing { next: voters, majority_since: None },
            Self::Changing { next, .. } => *next = voters,
            Self::Unconfirmed { next, .. } => *next = Some(voters),
        }
    }

    /// Records whether there is a majority at `now`. Returns since when there has been one.
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
    /// Applies a voter configuration of the settings. The next version waits until the current one is established. A
    /// gateway that has missed versions behaves as after a start: it releases all leases and does not vote until its
    /// grants have expired.
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

    /// Enters the next phase if a majority has been at the required version for the startup wait.
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

    /// Whether a majority of `voters` has reported `version` or a later one. If this gateway is one of them, it counts.
    fn is_majority_at(&self, voters: &BTreeSet<GatewayNumber>, version: u64) -> bool {
        let is_at = |voter: &&GatewayNumber| {
            let reported = self.reported_versions.get(voter);
            **voter == self.settings.gateway || reported.is_some_and(|reported| *reported >= version)
        };
        is_majority(voters.iter().filter(is_at).count(), voters.len())
    }

    /// Puts an unconfirmed configuration into force, or replaces the current configuration by the next one.
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
                // Votes by the previous configuration no longer count.
                for state in self.states.values_mut() {
                    state.invalidate_round(now);
                }
            }
        }
    }
}
