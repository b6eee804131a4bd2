//! When the calls of a task are made by its holder: one at a time, none without a permit, the permit looked at again right
//! before bytes leave, and none waited for beyond it.

use crate::{Leases, Millis, Needs, Permit, TaskId};
use std::collections::BTreeMap;

/// How a task's calls are made. Times in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// From the end of a call to the next.
    pub interval: Millis,
    /// How long a call takes with its effect.
    pub duration: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    settings: CallSettings,
    next_call_at: Millis,
    /// The call that is out, and by when it must be over.
    in_flight: Option<(Permit, Millis)>,
}

/// The calls of one gateway.
#[derive(Clone, Debug, Default)]
pub struct CallSchedule(BTreeMap<TaskId, Call>);

impl CallSchedule {
    /// Takes settings; what is out of a task that stays goes on.
    pub fn configure(&mut self, now: Millis, tasks: &[(TaskId, CallSettings)]) {
        self.0.retain(|task, _| tasks.iter().any(|(t, _)| t == task));
        for (task, settings) in tasks {
            self.0
                .entry(*task)
                .or_insert(Call { settings: *settings, next_call_at: now, in_flight: None })
                .settings = *settings;
        }
    }

    /// Calls to begin now.
    pub fn start_due(&mut self, now: Millis, leases: &Leases) -> Vec<Permit> {
        let mut begin = Vec::new();
        for (task, call) in &mut self.0 {
            if call.in_flight.is_some() || now < call.next_call_at {
                continue;
            }
            let needs = call.settings.duration;
            if let Ok(permit) = leases.may_act(now, *task, Needs { time: needs }) {
                call.in_flight = Some((permit, now + needs));
                begin.push(permit);
            }
        }
        begin
    }

    /// The connection is there and the call is about to be written: the permit as it is now and by when the call's
    /// effect must be over, or nothing if it must not be made any more.
    pub fn authorize_write(
        &mut self, now: Millis, leases: &Leases, task: TaskId,
    ) -> Option<(Permit, Millis)> {
        let call = self.0.get_mut(&task)?;
        let (permit, _) = call.in_flight?;
        let needs = Needs { time: call.settings.duration };
        let out = leases.revalidate(now, &permit, needs).ok().map(|permit| (permit, now + needs.time));
        call.in_flight = out.or(call.in_flight);
        out
    }

    /// A call is over, however it ended.
    pub fn finish(&mut self, now: Millis, task: TaskId) {
        if let Some(call) = self.0.get_mut(&task) {
            (call.in_flight, call.next_call_at) = (None, now + call.settings.interval);
        }
    }

    /// Calls that are out beyond their time: nobody waits for them any more.
    #[must_use]
    pub fn overdue(&self, now: Millis) -> Vec<TaskId> {
        let late = |call: &Call| call.in_flight.is_some_and(|(_, until)| until <= now);
        self.0.iter().filter(|(_, call)| late(call)).map(|(task, _)| *task).collect()
    }

    /// When something is due, as far as calls go; a task that is not held is looked at when it is gained.
    #[must_use]
    pub fn next_timeout(&self, now: Millis, leases: &Leases) -> Millis {
        let one = |(task, call): (&TaskId, &Call)| match call.in_flight {
            Some((_, until)) => until,
            None if leases.may_act(now, *task, Needs { time: call.settings.duration }).is_ok() => {
                call.next_call_at
            }
            None => Millis::MAX,
        };
        self.0.iter().map(one).min().unwrap_or(Millis::MAX)
    }
}

#[cfg(test)]
mod tests;
