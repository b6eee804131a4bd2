//! The state of one task's lease at this gateway.

use super::quorum::QuorumRound;
use crate::{FencingToken, Millis};

/// The state of one lease. All times are on this gateway's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum LeaseState {
    /// Not held and not requested.
    Idle { next_attempt_at: Millis },
    /// Requested; the attempt is abandoned at the deadline.
    Acquiring { token: FencingToken, round: QuorumRound, deadline: Millis },
    /// Held until `expires_at`; `round` counts the votes of the newest renewal.
    Held { token: FencingToken, round: QuorumRound, expires_at: Millis, renew_at: Millis },
}

/// What is due for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DueStep {
    /// Request the lease.
    Acquire,
    /// No majority replied in time: abandon the attempt.
    AbandonAttempt,
    /// The lease has expired.
    Expire,
    /// Request a renewal.
    Renew,
}

impl LeaseState {
    /// The token that was requested or is held.
    pub(super) fn token(&self) -> Option<FencingToken> {
        match self {
            Self::Idle { .. } => None,
            Self::Acquiring { token, .. } | Self::Held { token, .. } => Some(*token),
        }
    }

    /// The newest round of requests.
    pub(super) fn round(&self) -> Option<&QuorumRound> {
        match self {
            Self::Idle { .. } => None,
            Self::Acquiring { round, .. } | Self::Held { round, .. } => Some(round),
        }
    }

    pub(super) fn is_held(&self) -> bool {
        matches!(self, Self::Held { .. })
    }

    /// Whether a renewal is due at `now`.
    pub(super) fn is_renewal_due(&self, now: Millis) -> bool {
        matches!(self, Self::Held { renew_at, .. } if *renew_at <= now)
    }

    /// What is due at `now`. Renewals that are due until `renew_until` go along with those that are due already; `None`
    /// where none is.
    pub(super) fn due_step(
        &self, now: Millis, may_acquire: bool, renew_until: Option<Millis>,
    ) -> Option<DueStep> {
        match self {
            Self::Idle { next_attempt_at } if *next_attempt_at <= now && may_acquire => {
                Some(DueStep::Acquire)
            }
            Self::Acquiring { deadline, .. } if *deadline <= now => Some(DueStep::AbandonAttempt),
            Self::Held { expires_at, .. } if *expires_at <= now => Some(DueStep::Expire),
            Self::Held { renew_at, .. } if renew_until.is_some_and(|until| *renew_at <= until) => {
                Some(DueStep::Renew)
            }
            _ => None,
        }
    }

    /// Makes replies to requests that were sent so far count for nothing, and the next request due at once: the voters
    /// have changed.
    pub(super) fn invalidate_round(&mut self, now: Millis) {
        match self {
            Self::Idle { .. } => {}
            Self::Acquiring { round, deadline, .. } => {
                round.invalidate();
                *deadline = now;
            }
            Self::Held { round, renew_at, .. } => {
                round.invalidate();
                *renew_at = now;
            }
        }
    }
}
