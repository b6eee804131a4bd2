//! Every request gets one final response in time, is retried only as its class allows, and never has two attempts in
//! flight.

mod common;
use common::*;
use doorcourse::*;

#[test]
fn an_attempt_never_executed_is_retried_elsewhere_at_once_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent] {
            let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
            let backend = gateway.forward(1, "c", "plain", class);
            let actions = gateway.end_attempt(1, 0, &backend, outcome);
            assert!(first_attempt(&actions).is_some_and(|(_, next)| next != backend), "{class} {outcome:?}");
        }
    }
}

#[test]
fn a_non_idempotent_request_possibly_executed_fails() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
    ] {
        let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
        let backend = gateway.forward(1, "c", "plain", "unsafe");
        let actions = gateway.advance(900.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. })),
            "the queue timer has outlived the wait"
        );
        let actions = gateway.end_attempt(1, 0, &backend, outcome);
        assert!(is_failed(&actions, 1) && count_attempts(&actions) == 0, "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_keyed_request_possibly_executed_is_retried_only_in_its_scope_and_window() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);
    let backend = gateway.forward(1, "c", "plain", "keyed");
    let cell = if backend.starts_with('a') { 'a' } else { 'b' };
    let (_, next) =
        first_attempt(&gateway.end_attempt(1, 0, &backend, AttemptOutcome::ConnectionLost)).expect("a retry");
    assert!(next.starts_with(cell));
    gateway.now += 4000.0;
    let actions = gateway.end_attempt(1, 1, &next, AttemptOutcome::ConnectionLost);
    assert!(
        count_attempts(&actions) == 0 && is_failed(&actions, 1),
        "no longer dropped as a repetition: {actions:?}"
    );
}

#[test]
fn an_attempt_is_not_cancelled_before_its_outcome() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let backend = gateway.forward(1, "c", "plain", "safe");
    for _ in 0..4 {
        let actions = gateway.advance(450.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. } | Action::SendAttempt { .. })),
            "{actions:?}"
        );
    }
    let actions = gateway.end_attempt(1, 0, &backend, AttemptOutcome::ConnectionLost);
    assert!(first_attempt(&actions).is_some_and(|(_, next)| next != backend), "{actions:?}");
}

#[test]
fn the_final_response_comes_at_the_deadline_whatever_the_outcome() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let backend = gateway.forward(1, "c", "plain", "safe");
    gateway.now += 2000.0;
    let actions = gateway.end_attempt(1, 0, &backend, AttemptOutcome::TimedOut);
    assert!(is_failed(&actions, 1) && count_attempts(&actions) == 0);
    assert!(
        gateway
            .end_attempt(1, 0, &backend, AttemptOutcome::TimedOut)
            .iter()
            .all(|a| !matches!(a, Action::Fail { .. }))
    );
}

#[test]
fn without_backends_a_request_waits_its_queue_timeout_and_is_rejected_once() {
    let mut gateway = TestGateway::new(settings(), &[]);
    let (name, amount) = first_counter_call(&gateway.request(1, "c", "plain", "unsafe")).expect("call");
    let actions = gateway.counter_responds(name, amount);
    assert!(!is_rejected(&actions, 1));
    assert!(is_rejected(&gateway.advance(300.0, &[1]), 1));
    assert!(!is_rejected(&gateway.advance(300.0, &[1]), 1));
}

#[test]
fn a_disconnected_client_gets_no_response() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let (name, amount) = first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("call");
    gateway.handle(Event::ClientDisconnected { id: 1 });
    let actions = gateway.counter_responds(name, amount);
    assert!(count_attempts(&actions) == 0 && !is_rejected(&actions, 1) && !is_failed(&actions, 1));
    let backend = gateway.forward(2, "c", "plain", "safe");
    gateway.handle(Event::ClientDisconnected { id: 2 });
    assert_eq!(count_attempts(&gateway.end_attempt(2, 0, &backend, AttemptOutcome::ConnectionLost)), 0);
}

#[test]
fn events_about_unknown_requests_backends_and_timers_are_ignored() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    gateway.end_attempt(9, 3, &"nowhere".into(), AttemptOutcome::Served);
    gateway.counter_responds(77, 5.0);
    gateway.handle(Event::TimerExpired { token: 999 });
    gateway.handle(Event::ClientDisconnected { id: 8 });
    assert!(is_rejected(&gateway.request(5, "c", "no such plan", "safe"), 5));
    assert!(is_rejected(&gateway.request(6, "c", "plain", "no such class"), 6));
    let actions = gateway.handle(Event::RequestReceived(IncomingRequest {
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
    assert!(first_counter_call(&actions).is_some());
}

#[test]
fn an_idempotent_request_possibly_executed_twice_is_not_sent_a_third_time() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let backend = gateway.forward(1, "c", "plain", "safe");
    let (_, next) =
        first_attempt(&gateway.end_attempt(1, 0, &backend, AttemptOutcome::Cancelled)).expect("one retry");
    let actions = gateway.advance(900.0, &[1]);
    assert!(!actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. })), "the retry is not cancelled");
    let actions = gateway.end_attempt(1, 1, &next, AttemptOutcome::ConnectionLost);
    assert!(count_attempts(&actions) == 0 && is_rejected(&actions, 1), "{actions:?}");
}

#[test]
fn a_queued_keyed_retry_ends_with_its_deduplication_window() {
    let mut changed = settings();
    changed.classes[1].deduplication_window = 150.0;
    let mut gateway = TestGateway::new(changed, &["a1"]);
    let backend = gateway.forward(1, "c", "plain", "keyed");
    // After two lost connections the one backend is ejected, and the request waits for another of its cell.
    let actions = gateway.end_attempt_after(10.0, 1, 0, &backend, AttemptOutcome::ConnectionLost);
    let window = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::SendAttempt { must_be_written_within: window, .. } = a { *window } else { None }
        })
    };
    assert_eq!(window(&actions), Some(142.0), "the rest of the window, less two ticks");
    assert_eq!(
        count_attempts(&gateway.end_attempt_after(10.0, 1, 1, &backend, AttemptOutcome::ConnectionLost)),
        0
    );
    gateway.now += 141.0;
    let late = |name| Event::BackendChanges(vec![backend_entry(name, BackendState::Ready, None)]);
    assert_eq!(count_attempts(&gateway.handle(late("b1"))), 0, "another cell");
    gateway.now += 1.0;
    assert_eq!(count_attempts(&gateway.handle(late("a2"))), 0, "past its window");
    assert!(is_failed(&gateway.advance(0.0, &[1]), 1));
}
