//! Quota leases while the counter is available: leasing, rejection, return of units, windows.

mod common;
use common::*;
use doorcourse::*;

#[test]
fn the_first_lease_is_burst_over_gateways_and_is_spent_locally() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let actions = gateway.request(1, "c", "plain", "safe");
    let (name, amount) = first_counter_call(&actions).expect("a counter call");
    assert_eq!(amount, 5.0);
    assert_eq!(count_attempts(&actions), 0, "waits for its lease");
    assert_eq!(count_attempts(&gateway.counter_responds(name, 5.0)), 1);
    for id in 2..=5 {
        let actions = gateway.request(id, "c", "plain", "safe");
        assert_eq!(count_attempts(&actions), 1, "request {id} is paid from the lease");
    }
}

#[test]
fn a_request_over_quota_is_rejected_with_retry_after_and_the_excess_is_returned() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let (name, amount) = first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("call");
    // Other gateways hold the whole burst and more than the rate has refilled in this window.
    let actions = gateway.counter_responds(name, amount + 40.0);
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Reject { id: 1, retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|ms| ms > 0.0), "{actions:?}");
    let (_, back) = first_counter_call(&actions).expect("a return of what does not fit");
    assert_eq!(back, -amount);
}

#[test]
fn all_gateways_derive_the_same_counter_name_and_it_changes_with_the_window() {
    let mut other = settings();
    other.gateway_index = 1;
    let mut one = TestGateway::new(settings(), &["a1"]);
    let mut two = TestGateway::new(other, &["a1"]);
    let first = first_counter_call(&one.request(1, "c", "plain", "safe")).expect("call").0;
    assert_eq!(first, first_counter_call(&two.request(1, "c", "plain", "safe")).expect("call").0);
    let mut later = TestGateway::new(settings(), &["a1"]);
    later.now += 20_000.0;
    assert_ne!(first, first_counter_call(&later.request(1, "c", "plain", "safe")).expect("call").0);
}

#[test]
fn a_lease_is_not_spent_after_its_window() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let (name, amount) = first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("call");
    gateway.counter_responds(name, amount);
    gateway.now += 4_001.0;
    let actions = gateway.request(2, "c", "plain", "safe");
    assert_eq!(count_attempts(&actions), 0, "the old lease has expired");
    assert!(first_counter_call(&actions).is_some_and(|(next, _)| next != name));
}

#[test]
fn an_unsent_request_returns_its_units() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let (name, amount) = first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("call");
    gateway.handle(Event::BackendList(Vec::new()));
    let actions = gateway.counter_responds(name, amount);
    assert_eq!(count_attempts(&actions), 0);
    gateway.advance(300.0, &[1]);
    gateway.handle(Event::BackendList(vec![backend_entry("a1", BackendState::Ready, None)]));
    for id in 2..=3 {
        let actions = gateway.request(id, "c", "plain", "safe");
        assert!(first_counter_call(&actions).is_none(), "the lease still holds all five units");
        gateway.end_attempt(id, 0, &"a1".into(), AttemptOutcome::Served);
    }
}

#[test]
fn settled_units_are_reported_later() {
    let mut set = settings();
    set.responses_report_units = true;
    set.max_request_units = 4.0;
    let mut gateway = TestGateway::new(set, &["a1", "a2"]);
    let backend = gateway.forward(1, "c", "plain", "safe");
    let end = AttemptEnd {
        id: 1,
        attempt: 0,
        backend,
        outcome: AttemptOutcome::Served,
        latency: 90.0,
        true_units: Some(4.0),
        final_response_sent: true,
        load_report: None,
    };
    gateway.handle(Event::AttemptEnded(end));
    let actions = gateway.advance(30.0, &[]);
    assert!(first_counter_call(&actions).is_some_and(|(_, amount)| amount >= 3.0), "{actions:?}");
}

#[test]
fn idle_customers_are_forgotten() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let backend = gateway.forward(1, "c", "plain", "safe");
    gateway.end_attempt(1, 0, &backend, AttemptOutcome::Served);
    gateway.advance(60_000.0, &[]);
    let actions = gateway.request(2, "c", "plain", "safe");
    assert_eq!(
        first_counter_call(&actions).expect("call").1,
        5.0,
        "a forgotten customer starts with a first lease again"
    );
}

#[test]
fn a_long_wait_for_the_counter_ends_with_the_fallback() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    assert_eq!(count_attempts(&gateway.request(1, "c", "plain", "safe")), 0);
    assert_eq!(count_attempts(&gateway.advance(100.0, &[1])), 1);
}

#[test]
fn units_of_a_request_whose_client_left_before_anything_was_written_are_returned() {
    for (outcome, paid) in [(AttemptOutcome::NeverSent, true), (AttemptOutcome::ConnectionLost, false)] {
        let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
        let (name, _) =
            first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("a counter call");
        let (_, backend) = first_attempt(&gateway.counter_responds(name, 5.0)).expect("an attempt");
        let end = AttemptEnd {
            id: 1,
            attempt: 0,
            backend,
            outcome,
            latency: 40.0,
            true_units: None,
            final_response_sent: true,
            load_report: None,
        };
        gateway.handle(Event::AttemptEnded(end));
        gateway.handle(Event::ClientDisconnected { id: 1 });
        // The lease had five units.
        let served =
            (2..=6).filter(|id| count_attempts(&gateway.request(*id, "c", "plain", "safe")) == 1).count();
        assert_eq!(served, if paid { 5 } else { 4 }, "{outcome:?}");
    }
}
