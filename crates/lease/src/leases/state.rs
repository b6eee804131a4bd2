//! The state of one task's lease at this gateway.

use super::quorum::QuorumRound;
use crate::{FencingToken, GatewayNumber, Millis};

/// The state of one lease. All times are on this gateway's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum LeaseState {
    /// The lease is neither held nor requested.
    Idle { next_attempt_at: Millis },
    /// The lease is requested; the attempt is abandoned at `deadline`.
    Acquiring { token: FencingToken, round: QuorumRound, deadline: Millis },
    /// The lease is held until `expires_at`; `round` counts the votes on the newest request.
    Held { token: FencingToken, round: QuorumRound, expires_at: Millis, renew_at: Millis },
    /// This gateway no longer acts under the lease and renews it no more. The grants are released at `acts_over_at`:
    /// until then an act that began under it may still have an effect.
    Releasing { token: FencingToken, transfer_to: Option<GatewayNumber>, acts_over_at: Millis },
}

/// The step that is due for a lease.
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
    /// The token that was requested, is held, or is being released.
    pub(super) fn token(&self) -> Option<FencingToken> {
        match self {
            Self::Idle { .. } => None,
            Self::Acquiring { token, .. } | Self::Held { token, .. } | Self::Releasing { token, .. } => {
                Some(*token)
            }
        }
    }

    /// The newest round of requests.
    pub(super) fn round(&self) -> Option<&QuorumRound> {
        match self {
            Self::Idle { .. } | Self::Releasing { .. } => None,
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

    /// The step that is due at `now`. `renew_until` is `None` where no lease has a renewal that is due; otherwise
    /// renewals that are due by then are made together with it.
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

    /// Makes the newest round ignore all replies, because the voters have changed. An attempt is due to be abandoned at
    /// once, and a renewal is due to be requested again at once.
    pub(super) fn invalidate_round(&mut self, now: Millis) {
        match self {
            Self::Idle { .. } | Self::Releasing { .. } => {}
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
