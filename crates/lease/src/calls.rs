//! Schedules the calls that a holder makes for its tasks: one call of a task at a time, and only with a permit, which
//! is checked again right before the call is written. No call is awaited beyond its deadline.

use crate::{Leases, Millis, Permit, TaskId};
use std::collections::BTreeMap;

/// The timing of a task's calls, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// Time from the end of a call to the start of the next one.
    pub interval: Millis,
    /// How long a call takes at most, including its effect at the receiver.
    pub duration: Millis,
}

/// A call that may be made: its permit, and when its effect must be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorizedCall {
    /// The permit of the call.
    pub permit: Permit,
    /// When the call and its effect must be over, on this gateway's clock.
    pub deadline: Millis,
}

#[derive(Clone, Copy, Debug)]
struct TaskCalls {
    settings: CallSettings,
    next_call_at: Millis,
    in_flight: Option<AuthorizedCall>,
}

/// The schedule of one gateway's calls.
#[derive(Clone, Debug, Default)]
pub struct CallSchedule {
    tasks: BTreeMap<TaskId, TaskCalls>,
}

impl CallSchedule {
    /// Changes the tasks and their settings. The call in flight of a task that is kept goes on.
    pub fn configure(&mut self, now: Millis, tasks: &BTreeMap<TaskId, CallSettings>) {
        self.tasks.retain(|task, _| tasks.contains_key(task));
        for (task, settings) in tasks {
            let new = TaskCalls { settings: *settings, next_call_at: now, in_flight: None };
            self.tasks.entry(*task).or_insert(new).settings = *settings;
        }
    }

    /// Starts the calls that are due and permitted. Returns their permits.
    pub fn start_due(&mut self, now: Millis, leases: &Leases) -> Vec<Permit> {
        let mut started = Vec::new();
        for (task, calls) in &mut self.tasks {
            if calls.in_flight.is_some() || now < calls.next_call_at {
                continue;
            }
            let duration = calls.settings.duration;
            if let Ok(permit) = leases.may_act(now, *task, duration) {
                calls.in_flight = Some(AuthorizedCall { permit, deadline: now + duration });
                started.push(permit);
            }
        }
        started
    }

    /// Checks the lease again when the connection is established and the call is about to be written, and records the
    /// act at the leases, which learn of its end by [`Leases::end_act`]. Returns `None` where the call must not be made
    /// any more.
    pub fn authorize_write(
        &mut self, now: Millis, leases: &mut Leases, task: TaskId,
    ) -> Option<AuthorizedCall> {
        let calls = self.tasks.get_mut(&task)?;
        let started = calls.in_flight?;
        let duration = calls.settings.duration;
        let permit = leases.begin_act(now, &started.permit, duration).ok()?;
        let call = AuthorizedCall { permit, deadline: now + duration };
        calls.in_flight = Some(call);
        Some(call)
    }

    /// Records that the call of a task has ended, whether it succeeded or not.
    pub fn finish(&mut self, now: Millis, task: TaskId) {
        if let Some(calls) = self.tasks.get_mut(&task) {
            calls.in_flight = None;
            calls.next_call_at = now + calls.settings.interval;
        }
    }

    /// Whether the settings have this task.
    #[must_use]
    pub fn has_task(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    /// The tasks whose call in flight has passed its deadline.
    #[must_use]
    pub fn overdue(&self, now: Millis) -> Vec<TaskId> {
        let overdue = |calls: &TaskCalls| calls.in_flight.is_some_and(|call| call.deadline <= now);
        self.tasks.iter().filter(|(_, calls)| overdue(calls)).map(|(task, _)| *task).collect()
    }

    /// When the next call is due or overdue. A task without a sufficient lease has no such time; the caller has to
    /// call this again once its lease is acquired or renewed.
    #[must_use]
    pub fn next_timeout(&self, now: Millis, leases: &Leases) -> Millis {
        let timeout = |(task, calls): (&TaskId, &TaskCalls)| match calls.in_flight {
            Some(call) => call.deadline,
            None if leases.may_act(now, *task, calls.settings.duration).is_ok() => calls.next_call_at,
            None => Millis::MAX,
        };
        self.tasks.iter().map(timeout).min().unwrap_or(Millis::MAX)
    }
}

#[cfg(test)]
mod tests;
