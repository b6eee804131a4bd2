//! The grants of one voter. A voter does not count majorities; it only ensures that its own grants do not overlap.

use crate::{FencingToken, GatewayNumber, HolderId, LeaseRequest, Millis, Refusal, TaskId};
use std::collections::BTreeMap;

/// The most tasks that a voter keeps state for: four times the most tasks that the settings allow.
const MAX_TASKS: usize = 4096;
/// Added to the duration of a grant, because the time of the request was rounded down to ms and a grant must not expire
/// early.
const ROUNDING_MS: Millis = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    holder: HolderId,
    token: FencingToken,
    expires_at: Millis,
}

/// The reservation of a task that was released for a transfer: until it expires, the task is granted only to this
/// gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reservation {
    gateway: GatewayNumber,
    expires_at: Millis,
}

/// A grant in force, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveGrant {
    /// The gateway to which the lease was granted.
    pub holder: GatewayNumber,
    /// The fencing token under which the lease was granted.
    pub token: FencingToken,
    /// How long the grant still lasts, in ms.
    pub remaining: Millis,
}

/// The grants of one voter. All times are on this voter's own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    grants: BTreeMap<TaskId, Grant>,
    reservations: BTreeMap<TaskId, Reservation>,
    /// The highest token that was granted for each task, so that no token is granted to two holders.
    highest_tokens: BTreeMap<TaskId, FencingToken>,
}

impl Voter {
    /// Grants a request, or returns why it is refused. `allow_reused_token` disables a rule for a test.
    pub(crate) fn grant(
        &mut self, now: Millis, max_lease_duration: Millis, holder: HolderId, request: &LeaseRequest,
        allow_reused_token: bool,
    ) -> Result<(), Refusal> {
        if request.duration > max_lease_duration {
            return Err(Refusal::LeaseTooLong);
        }
        if self.highest_tokens.len() >= MAX_TASKS && !self.highest_tokens.contains_key(&request.task) {
            return Err(Refusal::TooManyTasks);
        }
        self.check_not_held_by_other(now, holder, request.task)?;
        let highest = self.highest_tokens.get(&request.task).copied().unwrap_or_default();
        if !self.is_renewal(now, request) && request.token <= highest && !allow_reused_token {
            return Err(Refusal::StaleToken);
        }
        let expires_at = now + request.duration + ROUNDING_MS;
        self.grants.insert(request.task, Grant { holder, token: request.token, expires_at });
        self.highest_tokens.insert(request.task, highest.max(request.token));
        Ok(())
    }

    /// Checks that a task is neither granted to another holder nor reserved for another gateway.
    fn check_not_held_by_other(&self, now: Millis, holder: HolderId, task: TaskId) -> Result<(), Refusal> {
        if let Some(other) = self.active(now, task).filter(|grant| grant.holder != holder) {
            return Err(Refusal::HeldByOther {
                holder: other.holder.gateway,
                remaining: other.expires_at - now,
            });
        }
        let reservation = self.reservations.get(&task).filter(|reserved| reserved.expires_at > now);
        if let Some(other) = reservation.filter(|reserved| reserved.gateway != holder.gateway) {
            return Err(Refusal::HeldByOther { holder: other.gateway, remaining: other.expires_at - now });
        }
        Ok(())
    }

    /// Whether the task is currently granted under the token of the request.
    fn is_renewal(&self, now: Millis, request: &LeaseRequest) -> bool {
        self.active(now, request.task).is_some_and(|grant| grant.token == request.token)
    }

    fn active(&self, now: Millis, task: TaskId) -> Option<&Grant> {
        self.grants.get(&task).filter(|grant| grant.expires_at > now)
    }

    /// Ends the grant of a holder that releases it. A delayed release names a token that is no longer granted, and so
    /// has no effect. At a transfer the task is reserved for the next holder for as long as the grant would have
    /// lasted.
    pub(crate) fn release(
        &mut self, now: Millis, holder: HolderId, task: TaskId, token: FencingToken,
        transfer_to: Option<GatewayNumber>,
    ) {
        let granted = |grant: &&Grant| grant.holder == holder && grant.token == token;
        let Some(grant) = self.grants.get(&task).filter(granted) else { return };
        let expires_at = grant.expires_at;
        if let Some(gateway) = transfer_to.filter(|_| expires_at > now) {
            self.reservations.insert(task, Reservation { gateway, expires_at });
        }
        self.grants.remove(&task);
    }

    /// Removes grants and reservations that have expired; the highest tokens are kept.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.grants.retain(|_, grant| grant.expires_at > now);
        self.reservations.retain(|_, reserved| reserved.expires_at > now);
    }

    /// The grant of a task that is in force, if any.
    #[must_use]
    pub fn granted(&self, now: Millis, task: TaskId) -> Option<ActiveGrant> {
        self.active(now, task).map(|grant| ActiveGrant {
            holder: grant.holder.gateway,
            token: grant.token,
            remaining: grant.expires_at - now,
        })
    }
}
