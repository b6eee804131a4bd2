//! Draining, slow start, outlier ejection and concurrency limits.

mod common;
use common::*;
use doorcourse::*;

#[test]
fn a_draining_or_removed_backend_is_sent_no_new_request() {
    for state in [BackendState::Draining, BackendState::Removed] {
        let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
        gateway.handle(Event::BackendChanges(vec![backend_entry("a1", state, None)]));
        for id in 1..=4 {
            assert_eq!(&*gateway.forward(id, "c", "plain", "safe"), "a2");
            gateway.end_attempt(id, 0, &"a2".into(), AttemptOutcome::Served);
        }
    }
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    gateway.handle(Event::BackendList(vec![backend_entry("a2", BackendState::Ready, None)]));
    assert_eq!(
        &*gateway.forward(1, "c", "plain", "safe"),
        "a2",
        "a backend missing from a complete list is removed"
    );
}

#[test]
fn a_backend_in_slow_start_is_sent_less_than_its_present_share_of_what_a_warm_one_is_sent() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let started = Some(gateway.now);
    gateway.handle(Event::BackendChanges(vec![backend_entry("a3", BackendState::Ready, started)]));
    let mut to_slow_start = 0;
    for id in 1..=100 {
        let backend = gateway.forward(id, &format!("c{id}"), "plain", "safe");
        to_slow_start += usize::from(&*backend == "a3");
        gateway.now += 5.0;
        gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
    }
    // The slow-start share is a fifth: two warm backends share the other requests, so a fifth of what one of them gets
    // is a tenth of these.
    assert!((1..=10).contains(&to_slow_start), "{to_slow_start}");
}

#[test]
fn consecutive_failures_eject_a_backend_and_a_served_request_ends_the_series() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let mut id = 0;
    let mut logs = Vec::new();
    let mut broken = 0;
    while broken < 2 {
        id += 1;
        let backend = gateway.forward(id, &format!("c{id}"), "plain", "unsafe");
        let outcome = if &*backend == "a1" { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Served };
        broken += usize::from(&*backend == "a1");
        logs = gateway.end_attempt(id, 0, &backend, outcome);
        if outcome == AttemptOutcome::ConnectionLost && broken == 1 {
            let next = gateway.forward(1000, "other", "plain", "unsafe");
            assert_eq!(&*next, "a2", "after one failure it is ejected for as long as that took");
            gateway.end_attempt(1000, 0, &next, AttemptOutcome::Served);
        }
        gateway.now += 150.0;
        assert!(id < 50);
    }
    assert!(logs.iter().any(|a| matches!(a, Action::Log(line) if line.contains("a1 ejected"))));
    for id in 101..=105 {
        assert_eq!(&*gateway.forward(id, &format!("c{id}"), "plain", "safe"), "a2");
        gateway.end_attempt(id, 0, &"a2".into(), AttemptOutcome::Served);
    }
    gateway.now += 1000.0;
    let tried = (201..=210).any(|id| {
        let backend = gateway.forward(id, &format!("c{id}"), "plain", "safe");
        gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        &*backend == "a1"
    });
    assert!(tried, "it is tried again after its ejection");
}

#[test]
fn requests_in_flight_are_limited_and_a_long_queue_rejects_early() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let mut out = 0;
    let mut rejected = 0;
    for id in 1..=40 {
        let mut actions = gateway.request(id, &format!("c{id}"), "plain", "safe");
        let (name, amount) = first_counter_call(&actions).expect("call");
        actions.extend(gateway.counter_responds(name, amount));
        out += count_attempts(&actions);
        rejected += usize::from(is_rejected(&actions, id));
    }
    assert!((1..=3).contains(&out), "five for two gateways: {out}");
    assert!(rejected > 30, "{rejected}");
}

#[test]
fn an_in_flight_limit_is_split_over_the_customers_gateways() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let backend = gateway.forward(1, "c", "capped", "safe");
    assert_eq!(
        count_attempts(&gateway.request(2, "c", "capped", "safe")),
        0,
        "two at once for two gateways: one each"
    );
    assert_eq!(
        first_attempt(&gateway.end_attempt(1, 0, &backend, AttemptOutcome::Served)).map(|(id, _)| id),
        Some(2)
    );
}

#[test]
fn one_lost_connection_does_not_eject_and_the_second_in_a_row_does() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let backend = gateway.forward(1, "c1", "plain", "unsafe");
    gateway.end_attempt_after(10.0, 1, 0, &backend, AttemptOutcome::ConnectionLost);
    let ejected =
        |gateway: &TestGateway| gateway.decisions.backends().next().unwrap().ejected_until > gateway.now;
    assert!(!ejected(&gateway));
    let backend = gateway.forward(2, "c2", "plain", "unsafe");
    gateway.end_attempt(2, 0, &backend, AttemptOutcome::Served);
    let backend = gateway.forward(3, "c3", "plain", "unsafe");
    gateway.end_attempt_after(10.0, 3, 0, &backend, AttemptOutcome::ConnectionLost);
    assert!(!ejected(&gateway), "a served request between them ends the series");
    let backend = gateway.forward(4, "c4", "plain", "unsafe");
    gateway.end_attempt_after(10.0, 4, 0, &backend, AttemptOutcome::ConnectionLost);
    assert!(ejected(&gateway));
    for outcome in [AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut, AttemptOutcome::Rejected] {
        let mut gateway = TestGateway::new(settings(), &["a1"]);
        let backend = gateway.forward(1, "c1", "plain", "unsafe");
        gateway.end_attempt_after(10.0, 1, 0, &backend, outcome);
        assert!(ejected(&gateway), "{outcome:?} is evidence against the backend");
    }
}

#[test]
fn errors_of_two_classes_eject_and_those_of_one_do_not() {
    let ejected =
        |gateway: &TestGateway| gateway.decisions.backends().next().unwrap().ejected_until > gateway.now;
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let fail = |gateway: &mut TestGateway, id, class: &str| {
        let backend = gateway.forward(id, &format!("c{id}"), "plain", class);
        gateway.end_attempt_after(5.0, id, 0, &backend, AttemptOutcome::Error);
        gateway.handle(Event::ClientDisconnected { id });
    };
    for id in 1..=4 {
        fail(&mut gateway, id, "unsafe");
        assert!(!ejected(&gateway), "the class may fail at all backends alike");
    }
    fail(&mut gateway, 5, "keyed");
    assert!(ejected(&gateway));
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    fail(&mut gateway, 1, "unsafe");
    let backend = gateway.forward(2, "c2", "plain", "keyed");
    gateway.end_attempt(2, 0, &backend, AttemptOutcome::Served);
    fail(&mut gateway, 3, "keyed");
    assert!(!ejected(&gateway), "a served request between them ends the series");
}

/// Sends a request whose client waits for `timeout` ms, and lets its attempt end with `outcome` at that deadline.
fn end_at_deadline(gateway: &mut TestGateway, id: RequestId, timeout: Millis, outcome: AttemptOutcome) {
    let incoming = IncomingRequest {
        id,
        customer: format!("c{id}").as_str().into(),
        plan: "plain".into(),
        class: "safe".into(),
        units: 1.0,
        client_retry: false,
        timeout,
        first_gateway: 0,
        gateway_count: 1,
        sticky_route: Name::default(),
    };
    let mut actions = gateway.handle(Event::RequestReceived(incoming));
    if let Some((counter, amount)) = first_counter_call(&actions) {
        actions = gateway.counter_responds(counter, amount);
    }
    let (id, backend) = first_attempt(&actions).expect("an attempt");
    gateway.now += timeout;
    gateway.end_attempt_after(timeout, id, 0, &backend, outcome);
}

#[test]
fn attempts_cut_short_by_very_short_deadlines_eject_no_backend() {
    for outcome in [AttemptOutcome::TimedOut, AttemptOutcome::ConnectFailed] {
        let mut gateway = TestGateway::new(settings(), &["a1"]);
        for id in 1..=20 {
            end_at_deadline(&mut gateway, id, 1.0, outcome);
        }
        let backend = gateway.forward(100, "served", "plain", "safe");
        gateway.now += 50.0;
        gateway.end_attempt_after(50.0, 100, 0, &backend, AttemptOutcome::Served);
        // A response takes 50 ms by now: an attempt that had less says nothing, one that had more does.
        end_at_deadline(&mut gateway, 101, 40.0, outcome);
        let is_ejected = |gateway: &TestGateway| {
            gateway.decisions.backends().any(|backend| backend.ejected_until > gateway.now)
        };
        assert!(!is_ejected(&gateway), "{outcome:?}");
        end_at_deadline(&mut gateway, 102, 60.0, outcome);
        assert!(is_ejected(&gateway), "{outcome:?}");
    }
}

#[test]
fn refused_connections_eject_however_short_the_deadline() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let backend = gateway.forward(1, "c", "plain", "safe");
    gateway.end_attempt_after(0.2, 1, 0, &backend, AttemptOutcome::ConnectFailed);
    assert!(gateway.decisions.backends().any(|backend| backend.ejected_until > gateway.now));
}
