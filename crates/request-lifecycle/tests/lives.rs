//! One request in each state, and every order of events by chance against the rules.

use doorcourse::{AttemptOutcome, RejectReason};
use doorcourse_request_lifecycle::{Exchange, Failure, Final, Input, Output};

fn run(inputs: &[Input]) -> (Exchange, Vec<Output>) {
    let (mut exchange, mut out) = (Exchange::new(100), Vec::new());
    for input in inputs {
        exchange.handle(*input, &mut out);
    }
    (exchange, out)
}

fn ended(outcome: AttemptOutcome, true_units: Option<f64>, finished: bool) -> Output {
    Output::Ended { outcome, true_units, finished }
}

const SENT: [Input; 3] = [Input::Sent, Input::Connected, Input::Written];
const OK: Input = Input::Head { status: 200 };

fn after(more: &[Input]) -> Vec<Output> {
    run(&[&SENT, more].concat()).1
}

#[test]
fn a_small_answer_is_held_until_it_is_whole() {
    let data = Input::Data { bytes: 60 };
    let whole = after(&[OK, data, Input::End { whole: true, units: 2.0 }]);
    assert_eq!(
        whole,
        [Output::Pass, Output::PassEnd, ended(AttemptOutcome::Served, Some(2.0), true), Output::Over]
    );
    // A node that breaks midway can still be made good: the client has seen nothing.
    assert_eq!(
        after(&[OK, data, Input::Lost]),
        [Output::Forget, ended(AttemptOutcome::ConnectionLost, None, false)]
    );
    let bad = after(&[OK, data, Input::End { whole: false, units: 2.0 }]);
    assert_eq!(bad, [Output::Forget, ended(AttemptOutcome::Error, None, false)]);
}

#[test]
fn a_large_answer_can_only_be_finished_or_cut() {
    let data = Input::Data { bytes: 101 };
    for (last, outcome) in
        [(Input::Lost, AttemptOutcome::ConnectionLost), (Input::TimeUp, AttemptOutcome::TimedOut)]
    {
        let out = after(&[OK, data, last]);
        assert_eq!(out[0], Output::Pass);
        assert!(out.contains(&Output::Cut) && out.contains(&ended(outcome, None, true)), "{out:?}");
        assert!(!out.iter().any(|o| matches!(o, Output::Answer(_))), "{out:?}");
    }
}

#[test]
fn only_what_was_never_written_never_ran() {
    let lost = |inputs: &[Input]| run(&[inputs, &[Input::Lost]].concat()).1[1];
    assert_eq!(lost(&SENT[..1]), ended(AttemptOutcome::ConnectFailed, None, false));
    assert_eq!(lost(&SENT[..2]), ended(AttemptOutcome::NeverSent, None, false));
    assert_eq!(lost(&SENT), ended(AttemptOutcome::ConnectionLost, None, false));
    let time = |inputs: &[Input]| run(&[inputs, &[Input::TimeUp]].concat()).1[2];
    assert_eq!(time(&SENT[..1]), ended(AttemptOutcome::ConnectFailed, None, false));
    assert_eq!(time(&SENT), ended(AttemptOutcome::TimedOut, None, false));
    // Time that runs out over a connection not made yet is time all the same to the client.
    let out = run(&[Input::Sent, Input::TimeUp, Input::Failed]).1;
    assert!(out.contains(&Output::Answer(Final::Failed(Failure::Time))), "{out:?}");
    let why = |inputs: &[Input]| {
        run(&[inputs, &[Input::Failed]].concat()).1.contains(&Output::Answer(Final::Failed(Failure::NoNode)))
    };
    assert!(why(&[Input::Sent, Input::Lost]) && !why(&[]) && !why(&[&SENT[..], &[Input::Lost]].concat()));
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
            Input::Head { status },
            Input::Data { bytes: 500 },
            Input::End { whole: true, units: 0.0 },
        ]);
        assert!(out.contains(&ended(outcome, None, false)), "{status}: {out:?}");
        assert!(!out.contains(&Output::Pass));
    }
    // The service's own word on the operation is an answer.
    let out = after(&[Input::Head { status: 400 }, Input::End { whole: true, units: 0.0 }]);
    assert!(out.contains(&ended(AttemptOutcome::Served, Some(0.0), true)));
}

#[test]
fn a_client_that_left_hears_nothing_and_its_attempt_still_ends() {
    let (mut exchange, mut out) = run(&[&SENT[..], &[Input::ClientGone]].concat());
    assert_eq!(out, [Output::Left]);
    exchange.handle(OK, &mut out);
    exchange.handle(Input::Data { bytes: 1000 }, &mut out);
    exchange.handle(Input::End { whole: true, units: 3.0 }, &mut out);
    assert!(!out.contains(&Output::Pass));
    assert_eq!(out.last(), Some(&Output::Over));
    assert!(out.contains(&ended(AttemptOutcome::Served, Some(3.0), true)));
}

#[test]
fn an_attempt_that_is_not_written_is_withdrawn_with_its_client() {
    for upto in [&SENT[..1], &SENT[..2]] {
        let (mut exchange, out) = run(&[upto, &[Input::ClientGone]].concat());
        let never = ended(AttemptOutcome::NeverSent, None, true);
        assert_eq!(out, [Output::Abandon, Output::Forget, never, Output::Left, Output::Over]);
        let mut more = Vec::new();
        [Input::Connected, Input::Written, Input::Lost].iter().for_each(|i| exchange.handle(*i, &mut more));
        assert!(more.is_empty());
    }
}

#[test]
fn time_up_while_held_is_failed_by_the_net() {
    let out = run(&[Input::TimeUp, Input::Failed]).1;
    assert_eq!(out, [Output::Left, Output::Answer(Final::Failed(Failure::Time)), Output::Over]);
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
        let (mut exchange, mut out, mut sent) = (Exchange::new(100), Vec::new(), 0);
        for _ in 0..12 {
            let open = exchange.is_open() && !exchange.is_out();
            let input = match chance(12) {
                0 | 1 if open => {
                    sent += 1;
                    Input::Sent
                }
                2 => Input::Connected,
                3 => Input::Written,
                4 => Input::Head { status: [200, 429, 500][chance(3) as usize] },
                5 => Input::Data { bytes: chance(200) as usize },
                6 => Input::End { whole: chance(2) == 0, units: 1.0 },
                7 => Input::Lost,
                8 => Input::TimeUp,
                9 => Input::ClientGone,
                10 if open => Input::Refused { retry_after: 1.0, why: RejectReason::QuotaExceeded },
                11 if open => Input::Failed,
                _ => Input::Broken,
            };
            exchange.handle(input, &mut out);
        }
        if exchange.is_out() {
            exchange.handle(Input::TimeUp, &mut out);
        }
        let count = |f: &dyn Fn(&Output) -> bool| out.iter().filter(|o| f(o)).count();
        let finals = count(&|o| matches!(o, Output::Answer(_) | Output::PassEnd | Output::Cut));
        assert!(finals <= 1, "{out:?}");
        assert!(count(&|o| matches!(o, Output::Over)) <= 1, "{out:?}");
        assert_eq!(count(&|o| matches!(o, Output::Ended { .. })), sent, "{out:?}");
        let end = out.iter().position(|o| matches!(o, Output::Answer(_) | Output::PassEnd | Output::Cut));
        let after = &out[end.map_or(out.len(), |e| e + 1)..];
        assert!(!after.contains(&Output::Pass), "{out:?}");
    }
}
