//! Acts whose effect may not be over: a lease is released only when none is left that began under it.
//!
//! The deadline of an act lies before the end of the lease (see `guard`), so a lease that expires needs no such wait.

use super::Leases;
use super::guard::ROUNDING_MS;
use super::state::LeaseState;
use crate::{GuardError, Millis, Permit, TaskId};

/// How an act ended for the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActEnd {
    /// The receiver has answered: the effect is over.
    Answered,
    /// There was no answer: the receiver may still act until the deadline.
    Unanswered,
}

/// The acts of one task that may still have an effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PendingActs {
    /// The deadline of the act in progress.
    in_progress_until: Option<Millis>,
    /// The latest deadline of the acts that ended without an answer.
    unanswered_until: Millis,
}

impl PendingActs {
    /// When every effect is over.
    pub(super) fn over_at(self) -> Millis {
        self.in_progress_until.unwrap_or_default().max(self.unanswered_until)
    }

    fn end(&mut self, end: ActEnd) {
        let deadline = self.in_progress_until.take().unwrap_or_default();
        if end == ActEnd::Unanswered {
            self.unanswered_until = self.unanswered_until.max(deadline);
        }
    }
}

impl Leases {
    /// Checks a permit again like [`Leases::revalidate`] and records the act, which is to be started at once. The caller
    /// reports its end with [`Leases::end_act`].
    ///
    /// # Errors
    /// Why the act must not begin.
    pub fn begin_act(
        &mut self, now: Millis, permit: &Permit, duration: Millis,
    ) -> Result<Permit, GuardError> {
        let permit = self.revalidate(now, permit, duration)?;
        let acts = self.pending_acts.entry(permit.task).or_default();
        acts.in_progress_until = Some(now + duration + ROUNDING_MS);
        Ok(permit)
    }

    /// Records the end of an act. A lease that waits for it is released at the next [`Input::Tick`](crate::Input::Tick),
    /// which is due at once.
    pub fn end_act(&mut self, task: TaskId, end: ActEnd) {
        let Some(acts) = self.pending_acts.get_mut(&task) else { return };
        acts.end(end);
        if let Some(LeaseState::Releasing { acts_over_at, .. }) = self.states.get_mut(&task) {
            *acts_over_at = acts.over_at();
        }
    }

    /// Whether an act of this task is in progress.
    #[must_use]
    pub fn is_acting(&self, task: TaskId) -> bool {
        self.pending_acts.get(&task).is_some_and(|acts| acts.in_progress_until.is_some())
    }

    /// Whether a lease waits for the end of an act before it is released.
    #[must_use]
    pub fn is_releasing(&self) -> bool {
        self.states.values().any(|state| matches!(state, LeaseState::Releasing { .. }))
    }

    /// When all acts of a task are over; a time in the past where none is pending.
    pub(super) fn acts_over_at(&self, task: TaskId) -> Millis {
        self.pending_acts.get(&task).map_or(0, |acts| acts.over_at())
    }

    /// Removes the records of acts that are over.
    pub(super) fn remove_ended_acts(&mut self, now: Millis) {
        self.pending_acts.retain(|_, acts| acts.in_progress_until.is_some() || acts.over_at() > now);
    }
}

#[cfg(test)]
mod tests;
