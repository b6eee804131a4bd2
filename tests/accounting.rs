//! The places that attempts take: released by the end of the attempt alone, and recovered if the host lost it.

mod common;
use common::*;
use doorcourse::*;

const BACKEND: &str = "a1";

/// A gateway with one backend, and a request in flight there.
fn gateway_with_an_attempt() -> (TestGateway, RequestId) {
    let mut gateway = TestGateway::new(Settings { has_counter: false, ..settings() }, &[BACKEND]);
    let id = 1;
    let request = IncomingRequest {
        id,
        customer: "c".into(),
        plan: "capped".into(),
        class: "unsafe".into(),
        units: 1.0,
        client_retry: false,
        timeout: 2000.0,
        first_gateway: 0,
        gateway_count: 1,
        sticky_route: Name::default(),
    };
    let actions = gateway.handle(Event::RequestReceived(request));
    assert!(actions.iter().any(|action| matches!(action, Action::SendAttempt { id: 1, .. })), "{actions:?}");
    (gateway, id)
}

/// The places taken at the backend and by the customer.
fn places(gateway: &Gateway) -> (u32, u32) {
    let at_backends = gateway.backends().map(|backend| backend.in_flight).sum();
    let by_customers = gateway.customers().map(|customer| customer.in_flight).sum();
    (at_backends, by_customers)
}

#[test]
fn an_attempt_keeps_its_place_when_its_client_has_gone_until_it_ends() {
    let (mut gateway, id) = gateway_with_an_attempt();
    assert_eq!(places(&gateway.decisions), (1, 1));
    gateway.handle(Event::ClientDisconnected { id });
    assert_eq!(places(&gateway.decisions), (1, 0));
    gateway.handle(Event::AttemptEnded(AttemptEnd::not_started(id, BACKEND.into())));
    assert_eq!(places(&gateway.decisions), (0, 0));
    // An end that is reported twice releases nothing a second time.
    gateway.handle(Event::AttemptEnded(AttemptEnd::not_started(id, BACKEND.into())));
    assert_eq!((places(&gateway.decisions), gateway.decisions.count_mismatches()), ((0, 0), Vec::new()));
}

#[test]
fn a_restarted_backend_keeps_the_places_of_its_attempts() {
    let (mut gateway, id) = gateway_with_an_attempt();
    let restarted = backend_entry(BACKEND, BackendState::Ready, Some(gateway.now));
    gateway.handle(Event::BackendList(vec![restarted]));
    assert_eq!(places(&gateway.decisions), (1, 1));
    gateway.handle(Event::AttemptEnded(AttemptEnd::not_started(id, BACKEND.into())));
    assert_eq!(places(&gateway.decisions), (0, 0));
}

#[test]
fn an_attempt_that_was_not_started_uses_no_units() {
    let (mut gateway, id) = gateway_with_an_attempt();
    let spent = |gateway: &TestGateway| -> f64 {
        gateway.decisions.customers().map(|customer| customer.leased_units).sum()
    };
    let before = spent(&gateway);
    gateway.handle(Event::AttemptEnded(AttemptEnd::not_started(id, BACKEND.into())));
    assert!((spent(&gateway) - before - 1.0).abs() < 1e-9, "the unit is refunded");
}

#[test]
fn attempts_that_the_host_lost_are_reported_once_and_those_that_it_has_never() {
    let (mut gateway, id) = gateway_with_an_attempt();
    let mut check = AccountingCheck::default();
    assert!(check.check(gateway.now, &gateway.decisions, |request| request == id).is_empty());
    gateway.now += 2000.0;
    let lost = check.check(gateway.now, &gateway.decisions, |_| false);
    assert_eq!((lost.len(), check.lost_attempts), (1, 1));
    for end in lost {
        gateway.handle(Event::AttemptEnded(end));
    }
    assert_eq!(places(&gateway.decisions), (0, 0));
    gateway.now += 2000.0;
    assert!(check.check(gateway.now, &gateway.decisions, |_| false).is_empty());
}
