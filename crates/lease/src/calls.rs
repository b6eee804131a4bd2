//! When the calls of a task are made by its holder: one at a time, none without a permit, the permit looked at again right
//! before bytes leave, and none waited for beyond it.

use crate::{Leases, Needs, Permit, Task, Time};
use std::collections::BTreeMap;

/// How a task's calls are made. Times in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// From the end of a call to the next.
    pub every: Time,
    /// How long a call takes with its effect.
    pub needs: Time,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    settings: CallSettings,
    next: Time,
    /// The call that is out, and by when it must be over.
    out: Option<(Permit, Time)>,
}

/// The calls of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Calls(BTreeMap<Task, Call>);

impl Calls {
    /// Takes settings; what is out of a task that stays goes on.
    pub fn configure(&mut self, now: Time, tasks: &[(Task, CallSettings)]) {
        self.0.retain(|task, _| tasks.iter().any(|(t, _)| t == task));
        for (task, settings) in tasks {
            self.0.entry(*task).or_insert(Call { settings: *settings, next: now, out: None }).settings =
                *settings;
        }
    }

    /// Calls to begin now.
    pub fn tick(&mut self, now: Time, leases: &Leases) -> Vec<Permit> {
        let mut begin = Vec::new();
        for (task, call) in &mut self.0 {
            if call.out.is_some() || now < call.next {
                continue;
            }
            let needs = call.settings.needs;
            if let Ok(permit) = leases.may_act(now, *task, Needs { time: needs }) {
                call.out = Some((permit, now + needs));
                begin.push(permit);
            }
        }
        begin
    }

    /// The connection is there and the call is about to be written: the permit as it is now and by when the call's
    /// effect must be over, or nothing if it must not be made any more.
    pub fn leaves(&mut self, now: Time, leases: &Leases, task: Task) -> Option<(Permit, Time)> {
        let call = self.0.get_mut(&task)?;
        let (permit, _) = call.out?;
        let needs = Needs { time: call.settings.needs };
        let out = leases.still(now, &permit, needs).ok().map(|permit| (permit, now + needs.time));
        call.out = out.or(call.out);
        out
    }

    /// A call is over, however it ended.
    pub fn ended(&mut self, now: Time, task: Task) {
        if let Some(call) = self.0.get_mut(&task) {
            (call.out, call.next) = (None, now + call.settings.every);
        }
    }

    /// Calls that are out beyond their time: nobody waits for them any more.
    #[must_use]
    pub fn overdue(&self, now: Time) -> Vec<Task> {
        let late = |call: &Call| call.out.is_some_and(|(_, until)| until <= now);
        self.0.iter().filter(|(_, call)| late(call)).map(|(task, _)| *task).collect()
    }

    /// When something is due, as far as calls go; a task that is not held is looked at when it is gained.
    #[must_use]
    pub fn due(&self, now: Time, leases: &Leases) -> Time {
        let one = |(task, call): (&Task, &Call)| match call.out {
            Some((_, until)) => until,
            None if leases.may_act(now, *task, Needs { time: call.settings.needs }).is_ok() => call.next,
            None => Time::MAX,
        };
        self.0.iter().map(one).min().unwrap_or(Time::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Input, Settings, Voters};

    /// A fleet of one voter holds its task at once.
    fn alone(now: Time) -> Leases {
        let (voters, fleet) = (Voters::first([0]), [0].into());
        let settings = Settings {
            incarnation: 1,
            length: 100,
            longest: 100,
            fleet,
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
        let mut calls = Calls::default();
        calls.configure(200, &[(7, CallSettings { every: 10, needs: 30 })]);
        assert_eq!(calls.tick(200, &leases).len(), 1);
        assert!(calls.tick(205, &leases).is_empty(), "one is out");
        let (permit, until) = calls.leaves(210, &leases, 7).expect("it may leave");
        assert!(until == 240 && until <= permit.until);
        assert_eq!(calls.due(211, &leases), 240);
        calls.ended(220, 7);
        assert!(calls.tick(229, &leases).is_empty());
        // The lease of 100 ms from 200 on is too short for 30 ms from 270 on, and nothing renewed it.
        assert!(calls.tick(270, &leases).is_empty());
        assert_eq!(calls.due(270, &leases), Time::MAX);
    }

    #[test]
    fn a_call_that_was_held_up_does_not_leave_and_is_not_waited_for() {
        let leases = alone(0);
        let mut calls = Calls::default();
        calls.configure(200, &[(7, CallSettings { every: 10, needs: 30 })]);
        calls.tick(200, &leases);
        // The process was stopped between check and write.
        assert_eq!(calls.leaves(500, &leases, 7), None);
        assert_eq!(calls.overdue(500), [7]);
        calls.ended(500, 7);
        assert!(calls.overdue(500).is_empty());
    }
}
