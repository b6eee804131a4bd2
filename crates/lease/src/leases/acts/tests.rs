use super::*;
use crate::{Input, Item, Output, Settings, VoterConfiguration};

const TASK: TaskId = 7;
/// How long an act takes at most, in ms.
const ACT: Millis = 30;
/// When the tests begin: the only voter has acquired the lease.
const START: Millis = 200;

/// The leases of a fleet of two gateways with one voter, which holds the only task.
fn holder() -> Leases {
    let settings = Settings {
        incarnation: 1,
        lease_duration: 100,
        max_lease_duration: 100,
        gateways: [0, 1].into(),
        voters: VoterConfiguration::first([0]),
        tasks: vec![TASK],
        ..Settings::default()
    };
    let mut leases = Leases::new(0, settings).expect("usable settings");
    leases.handle(START, 0, Input::Tick, &mut Vec::new());
    leases
}

fn begin_act(leases: &mut Leases, now: Millis) {
    let permit = leases.may_act(now, TASK, ACT).expect("the lease is held");
    leases.begin_act(now, &permit, ACT).expect("the lease is held");
}

/// Whether the grants are released and the next holder is asked to acquire the task.
fn is_handed_over(leases: &Leases, now: Millis, outputs: &[Output]) -> bool {
    let is_transfer = |output: &Output| matches!(output, Output::Send { to: 1, message } if message.items == [Item::Transfer { task: TASK }]);
    let is_granted = leases.voter().granted(now, TASK).is_some();
    assert_ne!(is_granted, outputs.iter().any(is_transfer), "the release comes before the transfer");
    !is_granted
}

fn handle(leases: &mut Leases, now: Millis, input: Input) -> bool {
    let mut outputs = Vec::new();
    leases.handle(now, 0, input, &mut outputs);
    is_handed_over(leases, now, &outputs)
}

const TRANSFER: Input = Input::TransferRequested { task: TASK, to: 1 };

#[test]
fn a_lease_without_acts_is_released_at_once() {
    let mut leases = holder();
    begin_act(&mut leases, START);
    leases.end_act(TASK, ActEnd::Answered);
    assert!(handle(&mut leases, START + 1, TRANSFER));
    assert!(!leases.is_releasing());
}

#[test]
fn a_lease_is_released_when_its_act_is_answered() {
    let mut leases = holder();
    begin_act(&mut leases, START);
    assert!(!handle(&mut leases, START + 1, TRANSFER));
    assert!(leases.is_releasing() && leases.may_act(START + 1, TASK, ACT).is_err(), "no further act begins");
    assert!(!handle(&mut leases, START + 10, Input::Tick));
    leases.end_act(TASK, ActEnd::Answered);
    assert!(leases.next_timeout() <= START + 10, "the release is due at once");
    assert!(handle(&mut leases, START + 10, Input::Tick));
}

#[test]
fn an_act_without_an_answer_delays_the_release_until_its_deadline() {
    let mut leases = holder();
    begin_act(&mut leases, START);
    leases.end_act(TASK, ActEnd::Unanswered);
    begin_act(&mut leases, START + 5);
    leases.end_act(TASK, ActEnd::Answered);
    assert!(!handle(&mut leases, START + 10, TRANSFER), "the first act may still have an effect");
    assert!(!handle(&mut leases, START + ACT, Input::Tick));
    assert_eq!(leases.next_timeout(), START + ACT + ROUNDING_MS);
    assert!(handle(&mut leases, START + ACT + ROUNDING_MS, Input::Tick));
}

#[test]
fn a_task_that_the_settings_no_longer_have_is_forgotten_once_its_act_is_over() {
    let mut leases = holder();
    begin_act(&mut leases, START);
    let removed = Input::TasksChanged { tasks: Vec::new(), gateways: [0, 1].into() };
    leases.handle(START + 1, 0, removed, &mut Vec::new());
    assert!(leases.is_releasing() && leases.voter().granted(START + 1, TASK).is_some());
    leases.end_act(TASK, ActEnd::Answered);
    leases.handle(START + 2, 0, Input::Tick, &mut Vec::new());
    assert!(leases.statuses(START + 2).next().is_none() && leases.voter().granted(START + 2, TASK).is_none());
}
