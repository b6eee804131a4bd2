//! One request in each state, and every order of events by chance against the rules.

use doorcourse::{AttemptOutcome, RejectReason};
use doorcourse_request_lifecycle::{
    FailureReason, FinalResponse, LifecycleAction, LifecycleEvent, RequestLifecycle,
};

fn run(inputs: &[LifecycleEvent]) -> (RequestLifecycle, Vec<LifecycleAction>) {
    let (mut exchange, mut out) = (RequestLifecycle::new(100), Vec::new());
    for input in inputs {
        exchange.handle(*input, &mut out);
    }
    (exchange, out)
}

fn ended(outcome: AttemptOutcome, true_units: Option<f64>, finished: bool) -> LifecycleAction {
    LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent: finished }
}

const SENT: [LifecycleEvent; 3] =
    [LifecycleEvent::AttemptStarted, LifecycleEvent::Connected, LifecycleEvent::BytesWritten];
const OK: LifecycleEvent = LifecycleEvent::ResponseHead { status: 200 };

fn after(more: &[LifecycleEvent]) -> Vec<LifecycleAction> {
    run(&[&SENT, more].concat()).1
}

#[test]
fn a_small_answer_is_held_until_it_is_whole() {
    let data = LifecycleEvent::ResponseData { bytes: 60 };
    let whole = after(&[OK, data, LifecycleEvent::ResponseEnd { complete: true, units: 2.0 }]);
    assert_eq!(
        whole,
        [
            LifecycleAction::ForwardResponse,
            LifecycleAction::EndResponse,
            ended(AttemptOutcome::Served, Some(2.0), true),
            LifecycleAction::Finished
        ]
    );
    // A node that breaks midway can still be made good: the client has seen nothing.
    assert_eq!(
        after(&[OK, data, LifecycleEvent::ConnectionLost]),
        [LifecycleAction::DiscardResponse, ended(AttemptOutcome::ConnectionLost, None, false)]
    );
    let bad = after(&[OK, data, LifecycleEvent::ResponseEnd { complete: false, units: 2.0 }]);
    assert_eq!(bad, [LifecycleAction::DiscardResponse, ended(AttemptOutcome::Error, None, false)]);
}

#[test]
fn a_large_answer_can_only_be_finished_or_cut() {
    let data = LifecycleEvent::ResponseData { bytes: 101 };
    for (last, outcome) in [
        (LifecycleEvent::ConnectionLost, AttemptOutcome::ConnectionLost),
        (LifecycleEvent::DeadlineExpired, AttemptOutcome::TimedOut),
    ] {
        let out = after(&[OK, data, last]);
        assert_eq!(out[0], LifecycleAction::ForwardResponse);
        assert!(
            out.contains(&LifecycleAction::ResetClient) && out.contains(&ended(outcome, None, true)),
            "{out:?}"
        );
        assert!(!out.iter().any(|o| matches!(o, LifecycleAction::Respond(_))), "{out:?}");
    }
}

#[test]
fn only_what_was_never_written_never_ran() {
    let lost = |inputs: &[LifecycleEvent]| run(&[inputs, &[LifecycleEvent::ConnectionLost]].concat()).1[1];
    assert_eq!(lost(&SENT[..1]), ended(AttemptOutcome::ConnectFailed, None, false));
    assert_eq!(lost(&SENT[..2]), ended(AttemptOutcome::NeverSent, None, false));
    assert_eq!(lost(&SENT), ended(AttemptOutcome::ConnectionLost, None, false));
    let time = |inputs: &[LifecycleEvent]| run(&[inputs, &[LifecycleEvent::DeadlineExpired]].concat()).1[2];
    assert_eq!(time(&SENT[..1]), ended(AttemptOutcome::ConnectFailed, None, false));
    assert_eq!(time(&SENT), ended(AttemptOutcome::TimedOut, None, false));
    // Time that runs out over a connection not made yet is time all the same to the client.
    let out =
        run(&[LifecycleEvent::AttemptStarted, LifecycleEvent::DeadlineExpired, LifecycleEvent::Failed]).1;
    assert!(
        out.contains(&LifecycleAction::Respond(FinalResponse::Failed(FailureReason::DeadlineExpired))),
        "{out:?}"
    );
    let why = |inputs: &[LifecycleEvent]| {
        run(&[inputs, &[LifecycleEvent::Failed]].concat())
            .1
            .contains(&LifecycleAction::Respond(FinalResponse::Failed(FailureReason::NoBackendReached)))
    };
    assert!(
        why(&[LifecycleEvent::AttemptStarted, LifecycleEvent::ConnectionLost])
            && !why(&[])
            && !why(&[&SENT[..], &[LifecycleEvent::ConnectionLost]].concat())
    );
}

#[test]
fn statuses_of_a_node() {
    for (status, outcome) in [
        (429, AttemptOutcome::Rejected),
        (503, AttemptOutcome::Error),
        (500, AttemptOutcome::Error),
        (404, AttemptOutcome::Error),
    ] {
        let out = after(&[
            LifecycleEvent::ResponseHead { status },
            LifecycleEvent::ResponseData { bytes: 500 },
            LifecycleEvent::ResponseEnd { complete: true, units: 0.0 },
        ]);
        assert!(out.contains(&ended(outcome, None, false)), "{status}: {out:?}");
        assert!(!out.contains(&LifecycleAction::ForwardResponse));
    }
    // The service's own word on the operation is an answer.
    let out = after(&[
        LifecycleEvent::ResponseHead { status: 400 },
        LifecycleEvent::ResponseEnd { complete: true, units: 0.0 },
    ]);
    assert!(out.contains(&ended(AttemptOutcome::Served, Some(0.0), true)));
}

#[test]
fn a_client_that_left_hears_nothing_and_its_attempt_still_ends() {
    let (mut exchange, mut out) = run(&[&SENT[..], &[LifecycleEvent::ClientDisconnected]].concat());
    assert_eq!(out, [LifecycleAction::ClientDisconnected]);
    exchange.handle(OK, &mut out);
    exchange.handle(LifecycleEvent::ResponseData { bytes: 1000 }, &mut out);
    exchange.handle(LifecycleEvent::ResponseEnd { complete: true, units: 3.0 }, &mut out);
    assert!(!out.contains(&LifecycleAction::ForwardResponse));
    assert_eq!(out.last(), Some(&LifecycleAction::Finished));
    assert!(out.contains(&ended(AttemptOutcome::Served, Some(3.0), true)));
}

#[test]
fn an_attempt_that_is_not_written_is_withdrawn_with_its_client() {
    for upto in [&SENT[..1], &SENT[..2]] {
        let (mut exchange, out) = run(&[upto, &[LifecycleEvent::ClientDisconnected]].concat());
        let never = ended(AttemptOutcome::NeverSent, None, true);
        assert_eq!(
            out,
            [
                LifecycleAction::CloseBackendConnection,
                LifecycleAction::DiscardResponse,
                never,
                LifecycleAction::ClientDisconnected,
                LifecycleAction::Finished
            ]
        );
        let mut more = Vec::new();
        [LifecycleEvent::Connected, LifecycleEvent::BytesWritten, LifecycleEvent::ConnectionLost]
            .iter()
            .for_each(|i| exchange.handle(*i, &mut more));
        assert!(more.is_empty());
    }
}

#[test]
fn time_up_while_held_is_failed_by_the_net() {
    let out = run(&[LifecycleEvent::DeadlineExpired, LifecycleEvent::Failed]).1;
    assert_eq!(
        out,
        [
            LifecycleAction::ClientDisconnected,
            LifecycleAction::Respond(FinalResponse::Failed(FailureReason::DeadlineExpired)),
            LifecycleAction::Finished
        ]
    );
}

/// Any order of inputs: at most one final answer, nothing sent after it, each attempt ended once.
#[test]
fn any_order_keeps_the_rules() {
    let mut seed = 7u64;
    let mut chance = |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    for _ in 0..20_000 {
        let (mut exchange, mut out, mut sent) = (RequestLifecycle::new(100), Vec::new(), 0);
        for _ in 0..12 {
            let open = exchange.awaits_response() && !exchange.has_attempt();
            let input = match chance(12) {
                0 | 1 if open => {
                    sent += 1;
                    LifecycleEvent::AttemptStarted
                }
                2 => LifecycleEvent::Connected,
                3 => LifecycleEvent::BytesWritten,
                4 => LifecycleEvent::ResponseHead { status: [200, 429, 500][chance(3) as usize] },
                5 => LifecycleEvent::ResponseData { bytes: chance(200) as usize },
                6 => LifecycleEvent::ResponseEnd { complete: chance(2) == 0, units: 1.0 },
                7 => LifecycleEvent::ConnectionLost,
                8 => LifecycleEvent::DeadlineExpired,
                9 => LifecycleEvent::ClientDisconnected,
                10 if open => {
                    LifecycleEvent::Rejected { retry_after: 1.0, reason: RejectReason::QuotaExceeded }
                }
                11 if open => LifecycleEvent::Failed,
                _ => LifecycleEvent::InvalidResponse,
            };
            exchange.handle(input, &mut out);
        }
        if exchange.has_attempt() {
            exchange.handle(LifecycleEvent::DeadlineExpired, &mut out);
        }
        let count = |f: &dyn Fn(&LifecycleAction) -> bool| out.iter().filter(|o| f(o)).count();
        let finals = count(&|o| {
            matches!(
                o,
                LifecycleAction::Respond(_) | LifecycleAction::EndResponse | LifecycleAction::ResetClient
            )
        });
        assert!(finals <= 1, "{out:?}");
        assert!(count(&|o| matches!(o, LifecycleAction::Finished)) <= 1, "{out:?}");
        assert_eq!(count(&|o| matches!(o, LifecycleAction::AttemptEnded { .. })), sent, "{out:?}");
        let end = out.iter().position(|o| {
            matches!(
                o,
                LifecycleAction::Respond(_) | LifecycleAction::EndResponse | LifecycleAction::ResetClient
            )
        });
        let after = &out[end.map_or(out.len(), |e| e + 1)..];
        assert!(!after.contains(&LifecycleAction::ForwardResponse), "{out:?}");
    }
}
