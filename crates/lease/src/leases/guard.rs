//! The guard before an act.

use super::*;

impl Leases {
    /// Whether it may act for a task now, with what the act needs. To be asked again right before bytes leave.
    ///
    /// # Errors
    /// Why not.
    pub fn may_act(&self, now: Millis, task: TaskId, needs: Needs) -> Result<Permit, GuardError> {
        #[cfg(feature = "disable-lease-check")]
        return self
            .ever
            .get(&task)
            .map(|t| Permit { task, token: *t, expires_at: now + needs.time })
            .ok_or(GuardError::NotHeld);
        #[cfg(not(feature = "disable-lease-check"))]
        self.guard(now, task, needs)
    }

    #[cfg_attr(feature = "disable-lease-check", expect(dead_code, reason = "this is what is left out"))]
    fn guard(&self, now: Millis, task: TaskId, needs: Needs) -> Result<Permit, GuardError> {
        let Some(LeaseState::Held { token, expires_at: until, .. }) = self.states.get(&task) else {
            return Err(GuardError::NotHeld);
        };
        // One ms more: `now` was cut to whole ms.
        if now + 1 + needs.time > *until {
            Err(GuardError::LeaseTooShort)
        } else {
            Ok(Permit { task, token: *token, expires_at: *until })
        }
    }

    /// Whether a permit still holds right before its act: the task was not lost and gained again in between.
    ///
    /// # Errors
    /// Why not.
    pub fn revalidate(&self, now: Millis, permit: &Permit, needs: Needs) -> Result<Permit, GuardError> {
        self.may_act(now, permit.task, needs)
            .and_then(|p| if p.token == permit.token { Ok(p) } else { Err(GuardError::NotHeld) })
    }
}
