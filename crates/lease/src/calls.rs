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
mod tests {
    use super::*;
    use crate::{Input, Settings, VoterConfiguration};

    /// A fleet of one voter holds its task at once.
    fn alone(now: Millis) -> Leases {
        let (voters, fleet) = (VoterConfiguration::first([0]), [0].into());
        let settings = Settings {
            incarnation: 1,
            lease_duration: 100,
            max_lease_duration: 100,
            gateways: fleet,
            voters,
            tasks: vec![7],
            ..Settings::default()
        };
        let mut leases = Leases::new(now, settings).expect("usable");
        leases.handle(now + 200, 0, Input::Tick, &mut Vec::new());
        leases
    }

    #[test]
    fn one_call_at_a_time_and_none_the_lease_does_not_outlast() {
        let leases = alone(0);
        let mut calls = CallSchedule::default();
        calls.configure(200, &[(7, CallSettings { interval: 10, duration: 30 })]);
        assert_eq!(calls.start_due(200, &leases).len(), 1);
        assert!(calls.start_due(205, &leases).is_empty(), "one is out");
        let (permit, until) = calls.authorize_write(210, &leases, 7).expect("it may leave");
        assert!(until == 240 && until <= permit.expires_at);
        assert_eq!(calls.next_timeout(211, &leases), 240);
        calls.finish(220, 7);
        assert!(calls.start_due(229, &leases).is_empty());
        // The lease of 100 ms from 200 on is too short for 30 ms from 270 on, and nothing renewed it.
        assert!(calls.start_due(270, &leases).is_empty());
        assert_eq!(calls.next_timeout(270, &leases), Millis::MAX);
    }

    #[test]
    fn a_call_that_was_held_up_does_not_leave_and_is_not_waited_for() {
        let leases = alone(0);
        let mut calls = CallSchedule::default();
        calls.configure(200, &[(7, CallSettings { interval: 10, duration: 30 })]);
        calls.start_due(200, &leases);
        // The process was stopped between check and write.
        assert_eq!(calls.authorize_write(500, &leases, 7), None);
        assert_eq!(calls.overdue(500), [7]);
        calls.finish(500, 7);
        assert!(calls.overdue(500).is_empty());
    }
}
