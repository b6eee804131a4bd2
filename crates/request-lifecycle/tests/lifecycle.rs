//! The lifecycle of one request in each state, and its invariants under random orders of events.

use doorcourse::{AttemptOutcome, RejectReason};
use doorcourse_request_lifecycle::{
    BackendReply, FailureReason, FinalResponse, LifecycleAction, LifecycleEvent, RequestLifecycle,
};

const BUFFER_LIMIT: usize = 100;

/// The events of an attempt up to the writing of its request.
const SENT: [LifecycleEvent; 3] =
    [LifecycleEvent::AttemptStarted, LifecycleEvent::Connected, LifecycleEvent::RequestSent];
const STATUS_200: LifecycleEvent = LifecycleEvent::ResponseHead { status: 200 };
const RESPONSE_END: LifecycleEvent = LifecycleEvent::ResponseEnd { complete: true, units: 2.0 };

/// Handles events in a new lifecycle. Returns it with all actions.
fn run(events: &[LifecycleEvent]) -> (RequestLifecycle, Vec<LifecycleAction>) {
    let mut lifecycle = RequestLifecycle::new(BUFFER_LIMIT);
    let mut actions = Vec::new();
    for event in events {
        lifecycle.handle(*event, &mut actions);
    }
    (lifecycle, actions)
}

/// The actions after the events of `before` and one more event.
fn actions_after(before: &[LifecycleEvent], last: LifecycleEvent) -> Vec<LifecycleAction> {
    run(&[before, &[last]].concat()).1
}

/// The actions after an attempt was sent and these events.
fn actions_after_sent(events: &[LifecycleEvent]) -> Vec<LifecycleAction> {
    run(&[&SENT, events].concat()).1
}

fn attempt_ended(
    outcome: AttemptOutcome, true_units: Option<f64>, final_response_sent: bool,
) -> LifecycleAction {
    LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent }
}

fn failed(reason: FailureReason) -> LifecycleAction {
    LifecycleAction::Respond(FinalResponse::Failed(reason))
}

#[test]
fn a_response_within_the_buffer_limit_is_forwarded_once_it_is_complete() {
    let data = LifecycleEvent::ResponseData { bytes: 60 };
    assert_eq!(
        actions_after_sent(&[STATUS_200, data, RESPONSE_END]),
        [
            LifecycleAction::ForwardResponse,
            LifecycleAction::EndResponse,
            attempt_ended(AttemptOutcome::Served, Some(2.0), true),
            LifecycleAction::Finished
        ]
    );
    // Another attempt can replace an incomplete response: none of it was forwarded to the client.
    assert_eq!(
        actions_after_sent(&[STATUS_200, data, LifecycleEvent::ConnectionLost]),
        [LifecycleAction::DiscardResponse, attempt_ended(AttemptOutcome::ConnectionLost, None, false)]
    );
    let incomplete = LifecycleEvent::ResponseEnd { complete: false, units: 2.0 };
    assert_eq!(
        actions_after_sent(&[STATUS_200, data, incomplete]),
        [LifecycleAction::DiscardResponse, attempt_ended(AttemptOutcome::Error, None, false)]
    );
}

#[test]
fn a_response_beyond_the_buffer_limit_is_reset_where_its_attempt_fails() {
    let data = LifecycleEvent::ResponseData { bytes: 101 };
    for (last, outcome) in [
        (LifecycleEvent::ConnectionLost, AttemptOutcome::ConnectionLost),
        (LifecycleEvent::DeadlineExpired, AttemptOutcome::TimedOut),
    ] {
        let actions = actions_after_sent(&[STATUS_200, data, last]);
        assert_eq!(actions[0], LifecycleAction::ForwardResponse);
        assert!(actions.contains(&LifecycleAction::ResetClient), "{actions:?}");
        assert!(actions.contains(&attempt_ended(outcome, None, true)), "{actions:?}");
        assert!(!actions.iter().any(|action| matches!(action, LifecycleAction::Respond(_))), "{actions:?}");
    }
}

#[test]
fn a_request_that_fails_while_its_response_is_forwarded_is_reset() {
    let data = LifecycleEvent::ResponseData { bytes: 101 };
    let actions = actions_after_sent(&[STATUS_200, data, LifecycleEvent::Failed]);
    assert_eq!(actions, [LifecycleAction::ForwardResponse, LifecycleAction::ResetClient]);
}

#[test]
fn an_attempt_counts_as_not_executed_only_before_its_first_byte() {
    let lost = |before: &[LifecycleEvent]| actions_after(before, LifecycleEvent::ConnectionLost)[1];
    assert_eq!(lost(&SENT[..1]), attempt_ended(AttemptOutcome::ConnectFailed, None, false));
    assert_eq!(lost(&SENT[..2]), attempt_ended(AttemptOutcome::NeverSent, None, false));
    assert_eq!(lost(&SENT), attempt_ended(AttemptOutcome::ConnectionLost, None, false));
    let expired = |before: &[LifecycleEvent]| actions_after(before, LifecycleEvent::DeadlineExpired)[2];
    assert_eq!(expired(&SENT[..1]), attempt_ended(AttemptOutcome::ConnectFailed, None, false));
    assert_eq!(expired(&SENT[..2]), attempt_ended(AttemptOutcome::ConnectFailed, None, false));
    assert_eq!(expired(&SENT), attempt_ended(AttemptOutcome::TimedOut, None, false));
    let cancelled = |before: &[LifecycleEvent]| actions_after(before, LifecycleEvent::Cancelled)[2];
    assert_eq!(cancelled(&SENT[..2]), attempt_ended(AttemptOutcome::NeverSent, None, false));
    assert_eq!(cancelled(&SENT), attempt_ended(AttemptOutcome::Cancelled, None, false));
}

#[test]
fn a_failure_names_the_deadline_the_backend_or_that_no_backend_was_reached() {
    // A deadline that expires during the connect is reported to the client as an expired deadline.
    let events = [LifecycleEvent::AttemptStarted, LifecycleEvent::DeadlineExpired, LifecycleEvent::Failed];
    let actions = run(&events).1;
    assert!(actions.contains(&failed(FailureReason::DeadlineExpired)), "{actions:?}");
    let no_backend_reached = |events: &[LifecycleEvent]| {
        actions_after(events, LifecycleEvent::Failed).contains(&failed(FailureReason::NoBackendReached))
    };
    assert!(no_backend_reached(&[LifecycleEvent::AttemptStarted, LifecycleEvent::ConnectionLost]));
    assert!(!no_backend_reached(&[]));
    let lost_after_sent = [&SENT[..], &[LifecycleEvent::ConnectionLost]].concat();
    assert!(!no_backend_reached(&lost_after_sent));
    let actions = actions_after(&lost_after_sent, LifecycleEvent::Failed);
    assert!(actions.contains(&failed(FailureReason::BackendFailed)), "{actions:?}");
}

#[test]
fn the_status_of_a_complete_response_decides_the_outcome_of_its_attempt() {
    for (status, outcome) in [
        (429, AttemptOutcome::Rejected),
        (503, AttemptOutcome::Error),
        (500, AttemptOutcome::Error),
        (404, AttemptOutcome::Error),
    ] {
        let actions = actions_after_sent(&[
            LifecycleEvent::ResponseHead { status },
            LifecycleEvent::ResponseData { bytes: 500 },
            LifecycleEvent::ResponseEnd { complete: true, units: 0.0 },
        ]);
        assert!(actions.contains(&attempt_ended(outcome, None, false)), "{status}: {actions:?}");
        assert!(!actions.contains(&LifecycleAction::ForwardResponse));
    }
    // A rejection of the operation itself is the service's response to the client.
    let actions = actions_after_sent(&[
        LifecycleEvent::ResponseHead { status: 400 },
        LifecycleEvent::ResponseEnd { complete: true, units: 0.0 },
    ]);
    assert!(actions.contains(&attempt_ended(AttemptOutcome::Served, Some(0.0), true)));
}

#[test]
fn a_response_received_at_once_ends_the_attempt_by_its_reply() {
    let received = |reply| actions_after(&SENT, LifecycleEvent::ResponseReceived { reply, units: Some(3.0) });
    assert_eq!(
        received(BackendReply::Value),
        [
            LifecycleAction::ForwardResponse,
            LifecycleAction::EndResponse,
            attempt_ended(AttemptOutcome::Served, Some(3.0), true),
            LifecycleAction::Finished
        ]
    );
    for (reply, outcome) in
        [(BackendReply::Failed, AttemptOutcome::Error), (BackendReply::Rejected, AttemptOutcome::Rejected)]
    {
        let expected = [LifecycleAction::DiscardResponse, attempt_ended(outcome, None, false)];
        assert_eq!(received(reply), expected, "{reply:?}");
    }
}

#[test]
fn a_response_to_a_request_that_was_not_written_is_invalid() {
    let value = LifecycleEvent::ResponseReceived { reply: BackendReply::Value, units: None };
    assert_eq!(
        actions_after(&SENT[..2], value),
        [
            LifecycleAction::CloseBackendConnection,
            LifecycleAction::DiscardResponse,
            attempt_ended(AttemptOutcome::Error, None, false)
        ]
    );
}

#[test]
fn a_withdrawal_ends_only_an_attempt_that_is_not_written() {
    for before in [&SENT[..1], &SENT[..2]] {
        assert_eq!(
            actions_after(before, LifecycleEvent::Withdrawn),
            [
                LifecycleAction::CloseBackendConnection,
                LifecycleAction::DiscardResponse,
                attempt_ended(AttemptOutcome::NeverSent, None, false)
            ]
        );
    }
    assert_eq!(actions_after(&SENT, LifecycleEvent::Withdrawn), []);
}

#[test]
fn a_written_attempt_goes_on_after_its_client_disconnects_and_its_end_is_reported() {
    let (mut lifecycle, mut actions) = run(&[&SENT[..], &[LifecycleEvent::ClientDisconnected]].concat());
    assert_eq!(actions, [LifecycleAction::AbandonRequest]);
    lifecycle.handle(STATUS_200, &mut actions);
    lifecycle.handle(LifecycleEvent::ResponseData { bytes: 1000 }, &mut actions);
    lifecycle.handle(LifecycleEvent::ResponseEnd { complete: true, units: 3.0 }, &mut actions);
    assert!(!actions.contains(&LifecycleAction::ForwardResponse));
    assert_eq!(actions.last(), Some(&LifecycleAction::Finished));
    assert!(actions.contains(&attempt_ended(AttemptOutcome::Served, Some(3.0), true)));
}

#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_client_disconnects() {
    for before in [&SENT[..1], &SENT[..2]] {
        let (mut lifecycle, actions) = run(&[before, &[LifecycleEvent::ClientDisconnected]].concat());
        assert_eq!(
            actions,
            [
                LifecycleAction::CloseBackendConnection,
                LifecycleAction::DiscardResponse,
                attempt_ended(AttemptOutcome::NeverSent, None, true),
                LifecycleAction::AbandonRequest,
                LifecycleAction::Finished
            ]
        );
        let mut actions_after_end = Vec::new();
        for event in [LifecycleEvent::Connected, LifecycleEvent::RequestSent, LifecycleEvent::ConnectionLost]
        {
            lifecycle.handle(event, &mut actions_after_end);
        }
        assert!(actions_after_end.is_empty());
    }
}

#[test]
fn a_request_queued_beyond_its_deadline_fails() {
    let actions = run(&[LifecycleEvent::DeadlineExpired, LifecycleEvent::Failed]).1;
    assert_eq!(
        actions,
        [LifecycleAction::AbandonRequest, failed(FailureReason::DeadlineExpired), LifecycleAction::Finished]
    );
}

/// A linear congruential generator with a fixed seed: every run draws the same events.
struct RandomDraws {
    state: u64,
}

impl RandomDraws {
    fn below(&mut self, bound: u64) -> u64 {
        self.state =
            self.state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.state >> 33) % bound
    }
}

/// An event that a host may report now. Only while no attempt is in flight does an attempt start, or does the decision
/// library reject or fail the request.
fn random_event(draws: &mut RandomDraws, without_attempt: bool) -> LifecycleEvent {
    match draws.below(12) {
        0 | 1 if without_attempt => LifecycleEvent::AttemptStarted,
        2 => LifecycleEvent::Connected,
        3 => LifecycleEvent::RequestSent,
        4 => LifecycleEvent::ResponseHead { status: [200, 429, 500][draws.below(3) as usize] },
        5 => LifecycleEvent::ResponseData { bytes: draws.below(200) as usize },
        6 => LifecycleEvent::ResponseEnd { complete: draws.below(2) == 0, units: 1.0 },
        7 => LifecycleEvent::ConnectionLost,
        8 => LifecycleEvent::DeadlineExpired,
        9 => LifecycleEvent::ClientDisconnected,
        10 if without_attempt => {
            LifecycleEvent::Rejected { retry_after: 1.0, reason: RejectReason::QuotaExceeded }
        }
        11 if without_attempt => LifecycleEvent::Failed,
        _ => LifecycleEvent::InvalidResponse,
    }
}

fn is_final_response(action: &LifecycleAction) -> bool {
    matches!(
        action,
        LifecycleAction::Respond(_) | LifecycleAction::EndResponse | LifecycleAction::ResetClient
    )
}

fn assert_invariants(actions: &[LifecycleAction], attempts_started: usize) {
    let count =
        |matches: &dyn Fn(&LifecycleAction) -> bool| actions.iter().filter(|action| matches(action)).count();
    assert!(count(&is_final_response) <= 1, "{actions:?}");
    assert!(count(&|action| matches!(action, LifecycleAction::Finished)) <= 1, "{actions:?}");
    let attempts_ended = count(&|action| matches!(action, LifecycleAction::AttemptEnded { .. }));
    assert_eq!(attempts_ended, attempts_started, "{actions:?}");
    let final_response_at = actions.iter().position(is_final_response);
    let after_final_response = &actions[final_response_at.map_or(actions.len(), |index| index + 1)..];
    assert!(!after_final_response.contains(&LifecycleAction::ForwardResponse), "{actions:?}");
}

#[test]
fn any_order_of_events_has_at_most_one_final_response_and_ends_each_attempt_once() {
    let mut draws = RandomDraws { state: 7 };
    for _ in 0..20_000 {
        let mut lifecycle = RequestLifecycle::new(BUFFER_LIMIT);
        let mut actions = Vec::new();
        let mut attempts_started = 0;
        for _ in 0..12 {
            let without_attempt = lifecycle.awaits_response() && !lifecycle.has_attempt();
            let event = random_event(&mut draws, without_attempt);
            attempts_started += usize::from(event == LifecycleEvent::AttemptStarted);
            lifecycle.handle(event, &mut actions);
        }
        if lifecycle.has_attempt() {
            lifecycle.handle(LifecycleEvent::DeadlineExpired, &mut actions);
        }
        assert_invariants(&actions, attempts_started);
    }
}
