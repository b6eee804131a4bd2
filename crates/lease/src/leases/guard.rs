//! The check before an act for a task: whether the lease is held and outlasts the act.

use super::Leases;
#[cfg(not(feature = "disable-lease-check"))]
use super::state::LeaseState;
use crate::{GuardError, Millis, Permit, TaskId};

/// Added to the duration of an act, because `now` was rounded down to ms.
pub(super) const ROUNDING_MS: Millis = 1;

impl Leases {
    /// Permits an act for a task where the lease outlasts the act, which takes `duration` ms from this check to the end
    /// of its effect. The permit has to be checked again with [`Leases::revalidate`] right before the act.
    ///
    /// # Errors
    /// Why the act must not begin.
    #[cfg(not(feature = "disable-lease-check"))]
    pub fn may_act(&self, now: Millis, task: TaskId, duration: Millis) -> Result<Permit, GuardError> {
        let Some(LeaseState::Held { token, expires_at, .. }) = self.states.get(&task) else {
            return Err(GuardError::NotHeld { task });
        };
        let required = duration + ROUNDING_MS;
        if now + required > *expires_at {
            let remaining = expires_at.saturating_sub(now);
            return Err(GuardError::LeaseTooShort { task, required, remaining });
        }
        Ok(Permit { task, token: *token, expires_at: *expires_at })
    }

    /// Replaces the check: permits an act for any task that was ever held, which a test must detect.
    ///
    /// # Errors
    /// The task was never held.
    #[cfg(feature = "disable-lease-check")]
    pub fn may_act(&self, now: Millis, task: TaskId, duration: Millis) -> Result<Permit, GuardError> {
        let token = self.ever_held.get(&task).ok_or(GuardError::NotHeld { task })?;
        Ok(Permit { task, token: *token, expires_at: now + duration })
    }

    /// Checks a permit again right before its act: the lease must outlast the act, and must not have been lost and
    /// acquired again in between.
    ///
    /// # Errors
    /// Why the act must not begin.
    pub fn revalidate(&self, now: Millis, permit: &Permit, duration: Millis) -> Result<Permit, GuardError> {
        let current = self.may_act(now, permit.task, duration)?;
        if current.token == permit.token {
            Ok(current)
        } else {
            Err(GuardError::NotHeld { task: permit.task })
        }
    }
}
