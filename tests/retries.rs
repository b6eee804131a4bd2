//! One answer, in time; repeats only as the class allows; never two attempts out.

mod common;
use common::*;
use doorcourse::*;

#[test]
fn proof_that_nothing_ran_leads_elsewhere_at_once_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent] {
            let mut door = Door::new(settings(), &["a1", "a2"]);
            let at = door.served(1, "c", "plain", class);
            let did = door.end(1, 0, &at, outcome);
            assert!(sent(&did).is_some_and(|(_, next)| next != at), "{class} {outcome:?}");
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
    ] {
        let mut door = Door::new(settings(), &["a1", "a2"]);
        let at = door.served(1, "c", "plain", "unsafe");
        let did = door.pass(900.0, &[1]);
        assert!(
            !did.iter().any(|a| matches!(a, Action::CancelAttempt { .. })),
            "its hold's timer has outlived the hold"
        );
        let did = door.end(1, 0, &at, outcome);
        assert!(failed(&did, 1) && sends(&did) == 0, "{outcome:?}: {did:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_its_time() {
    let mut door = Door::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);
    let at = door.served(1, "c", "plain", "keyed");
    let mates = if at.starts_with('a') { 'a' } else { 'b' };
    let (_, next) = sent(&door.end(1, 0, &at, AttemptOutcome::ConnectionLost)).expect("sent again");
    assert!(next.starts_with(mates));
    door.now += 4000.0;
    let did = door.end(1, 1, &next, AttemptOutcome::ConnectionLost);
    assert!(sends(&did) == 0 && failed(&did, 1), "no longer dropped as a repeat: {did:?}");
}

#[test]
fn an_attempt_is_left_to_run_until_its_outcome() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    for _ in 0..4 {
        let did = door.pass(450.0, &[1]);
        assert!(
            !did.iter().any(|a| matches!(a, Action::CancelAttempt { .. } | Action::SendAttempt { .. })),
            "{did:?}"
        );
    }
    let did = door.end(1, 0, &at, AttemptOutcome::ConnectionLost);
    assert!(sent(&did).is_some_and(|(_, next)| next != at), "{did:?}");
}

#[test]
fn the_last_answer_comes_at_the_deadline_whatever_the_outcome() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    door.now += 2000.0;
    let did = door.end(1, 0, &at, AttemptOutcome::TimedOut);
    assert!(failed(&did, 1) && sends(&did) == 0);
    assert!(door.end(1, 0, &at, AttemptOutcome::TimedOut).iter().all(|a| !matches!(a, Action::Fail { .. })));
}

#[test]
fn with_no_backend_a_request_waits_its_hold_and_is_refused_once() {
    let mut door = Door::new(settings(), &[]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "unsafe")).expect("call");
    let did = door.total(name, amount);
    assert!(!refused(&did, 1));
    assert!(refused(&door.pass(300.0, &[1]), 1));
    assert!(!refused(&door.pass(300.0, &[1]), 1));
}

#[test]
fn a_client_that_leaves_gets_no_answer() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.tell(Event::ClientDisconnected { id: 1 });
    let did = door.total(name, amount);
    assert!(sends(&did) == 0 && !refused(&did, 1) && !failed(&did, 1));
    let at = door.served(2, "c", "plain", "safe");
    door.tell(Event::ClientDisconnected { id: 2 });
    assert_eq!(sends(&door.end(2, 0, &at, AttemptOutcome::ConnectionLost)), 0);
}

#[test]
fn events_about_unknown_things_are_harmless() {
    let mut door = Door::new(settings(), &["a1"]);
    door.end(9, 3, &"nowhere".into(), AttemptOutcome::Served);
    door.total(77, 5.0);
    door.tell(Event::TimerExpired { token: 999 });
    door.tell(Event::ClientDisconnected { id: 8 });
    assert!(refused(&door.ask(5, "c", "no such plan", "safe"), 5));
    assert!(refused(&door.ask(6, "c", "plain", "no such class"), 6));
    let did = door.tell(Event::RequestReceived(IncomingRequest {
        id: 7,
        customer: "c".into(),
        plan: "plain".into(),
        class: "safe".into(),
        units: f64::NAN,
        client_retry: false,
        timeout: -5.0,
        first_gateway: 99,
        gateway_count: 0,
        sticky_route: Name::default(),
    }));
    assert!(count(&did).is_some());
}

#[test]
fn a_safe_request_that_two_backends_left_unanswered_is_not_sent_a_third_time() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let at = door.served(1, "c", "plain", "safe");
    let (_, next) = sent(&door.end(1, 0, &at, AttemptOutcome::Cancelled)).expect("one repeat");
    let did = door.pass(900.0, &[1]);
    assert!(!did.iter().any(|a| matches!(a, Action::CancelAttempt { .. })), "the repeat is left to finish");
    let did = door.end(1, 1, &next, AttemptOutcome::ConnectionLost);
    assert!(sends(&did) == 0 && refused(&did, 1), "{did:?}");
}

#[test]
fn a_keyed_repeat_that_waits_in_line_is_over_with_its_window() {
    let mut changed = settings();
    changed.classes[1].deduplication_window = 150.0;
    let mut door = Door::new(changed, &["a1"]);
    let at = door.served(1, "c", "plain", "keyed");
    // Broken twice, the one backend is left alone and the request waits for another of its cell.
    let did = door.end_after(10.0, 1, 0, &at, AttemptOutcome::ConnectionLost);
    let window = |did: &[Action]| {
        did.iter().find_map(|a| {
            if let Action::SendAttempt { must_be_written_within: window, .. } = a { *window } else { None }
        })
    };
    assert_eq!(window(&did), Some(142.0), "what is left of it, less two ticks");
    assert_eq!(sends(&door.end_after(10.0, 1, 1, &at, AttemptOutcome::ConnectionLost)), 0);
    door.now += 141.0;
    let late = |name| Event::BackendChanges(vec![backend(name, BackendState::Ready, None)]);
    assert_eq!(sends(&door.tell(late("b1"))), 0, "another cell");
    door.now += 1.0;
    assert_eq!(sends(&door.tell(late("a2"))), 0, "past its window");
    assert!(failed(&door.pass(0.0, &[1]), 1));
}
