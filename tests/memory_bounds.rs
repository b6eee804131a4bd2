//! Memory stays bounded, however many backends are replaced and however many customers are seen only once.

mod common;
use common::*;
use doorcourse::*;

#[test]
fn replaced_backends_and_customers_seen_once_are_forgotten() {
    let mut gateway = TestGateway::new(settings(), &["a0"]);
    let mut most = 0;
    let mut customers = 0;
    for incarnation in 1..600 {
        let old = format!("a{}", incarnation - 1);
        let new = format!("a{incarnation}");
        let started = Some(gateway.now);
        gateway.handle(Event::BackendChanges(vec![
            backend_entry(&old, BackendState::Removed, None),
            backend_entry(&new, BackendState::Ready, started),
        ]));
        for number in 0..20u64 {
            let id = incarnation * 100 + number;
            let mut actions = gateway.request(id, &format!("once{id}"), "plain", "safe");
            if let Some((name, amount)) = first_counter_call(&actions) {
                actions = gateway.counter_responds(name, amount);
            }
            if let Some((id, backend)) = first_attempt(&actions) {
                gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
            } else {
                gateway.handle(Event::ClientDisconnected { id });
            }
            gateway.advance(50.0, &[]);
        }
        if incarnation > 200 {
            most = most.max(gateway.decisions.backends().count());
            customers = customers.max(gateway.decisions.customers().count());
        }
    }
    // One backend is replaced per second and kept for a minute; customers are kept for two refill periods.
    assert!((2..=70).contains(&most), "{most} backends");
    assert!((1..=200).contains(&customers), "{customers} customers");
}

#[test]
fn a_removed_backend_still_identifies_the_cell_of_requests_possibly_executed_there() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let backend = gateway.forward(1, "c", "plain", "keyed");
    gateway.handle(Event::BackendList(vec![backend_entry("b1", BackendState::Ready, None)]));
    gateway.advance(1500.0, &[]);
    // Only the cell of a1 deduplicates the request: it must not be sent to b1.
    let actions = gateway.end_attempt(1, 0, &backend, AttemptOutcome::ConnectionLost);
    assert_eq!(count_attempts(&actions), 0);
    assert!(!is_rejected(&actions, 1));
}

#[test]
fn the_slot_of_a_forgotten_backend_is_reused() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    gateway.handle(Event::BackendChanges(vec![backend_entry("a1", BackendState::Removed, None)]));
    gateway.advance(61_000.0, &[]);
    assert_eq!(gateway.decisions.backends().count(), 1);
    gateway.handle(Event::BackendChanges(vec![backend_entry("a3", BackendState::Ready, None)]));
    let mut seen = std::collections::BTreeSet::new();
    for id in 1..=8 {
        let backend = gateway.forward(id, &format!("c{id}"), "plain", "safe");
        gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        seen.insert(backend);
    }
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), ["a2".into(), Name::from("a3")]);
}

#[test]
fn customers_beyond_the_limit_take_the_place_of_idle_ones() {
    let limit = 100;
    let mut slow = settings();
    // Two refill periods, for which an idle customer is kept otherwise, are longer than the test.
    slow.plans[0].rate = 0.001;
    slow.max_customers = Some(limit);
    let mut gateway = TestGateway::new(slow, &["a1"]);
    let backend = gateway.forward(1, "busy", "plain", "safe");
    for id in 2..5000 {
        let mut actions = gateway.request(id, &format!("once{id}"), "plain", "safe");
        if let Some((counter, amount)) = first_counter_call(&actions) {
            actions = gateway.counter_responds(counter, amount);
        }
        if let Some((id, backend)) = first_attempt(&actions) {
            gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        }
        gateway.advance(1.0, &[id]);
        assert!(gateway.decisions.customers().count() <= limit);
    }
    let names: Vec<Name> = gateway.decisions.customers().map(|customer| customer.name).collect();
    assert!(names.contains(&"busy".into()), "its request is in flight");
    assert!(names.contains(&"once4999".into()), "the newest customer is known");
    gateway.end_attempt(1, 0, &backend, AttemptOutcome::Served);
}

#[test]
fn request_of_a_further_customer_is_rejected_while_all_known_ones_are_busy() {
    let mut few = settings();
    few.max_customers = Some(2);
    let mut gateway = TestGateway::new(few, &["a1", "a2"]);
    let backend = gateway.forward(1, "c1", "plain", "safe");
    gateway.forward(2, "c2", "plain", "safe");
    let actions = gateway.request(3, "c3", "plain", "safe");
    assert!(is_rejected(&actions, 3), "{actions:?}");
    let actions = gateway.request(4, "c1", "plain", "safe");
    assert!(!is_rejected(&actions, 4), "a known customer is served: {actions:?}");
    gateway.handle(Event::ClientDisconnected { id: 4 });
    gateway.end_attempt(1, 0, &backend, AttemptOutcome::Served);
    let actions = gateway.request(5, "c3", "plain", "safe");
    assert!(!is_rejected(&actions, 5), "{actions:?}");
}

#[test]
fn maintenance_visits_every_customer_however_many_there_are() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    for id in 1..=10_000 {
        gateway.request(id, &format!("c{id}"), "plain", "safe");
        gateway.handle(Event::ClientDisconnected { id });
    }
    let known = gateway.decisions.customers().count();
    assert!(known >= 9_900, "{known}");
    // Counter calls of the first requests are still out, and keep their customers busy.
    for tick in 0..10 {
        gateway.advance(if tick == 0 { 10_000.0 } else { 25.0 }, &[]);
    }
    let kept = gateway.decisions.customers().count();
    assert!(kept <= 20, "{kept} customers are kept");
}

#[test]
fn customer_whose_request_waits_for_a_backend_is_not_forgotten() {
    let mut quick = settings();
    // A customer is kept for two refill periods of 1 ms after its last request.
    quick.plans[0].rate = 10_000.0;
    quick.classes[0].latency_objective = 8000.0;
    let mut gateway = TestGateway::new(quick, &["a1"]);
    // Fill what may be in flight.
    let mut id = 0;
    let mut in_flight = Vec::new();
    let waiting = loop {
        id += 1;
        let mut actions = gateway.request(id, &format!("c{id}"), "plain", "safe");
        if let Some((counter, amount)) = first_counter_call(&actions) {
            actions = gateway.counter_responds(counter, amount);
        }
        match first_attempt(&actions) {
            Some((id, backend)) => in_flight.push((id, backend)),
            None => break id,
        }
    };
    for _ in 0..20 {
        gateway.advance(25.0, &[]);
    }
    let names: Vec<Name> = gateway.decisions.customers().map(|customer| customer.name).collect();
    assert!(names.contains(&format!("c{waiting}").as_str().into()), "{names:?}");
    let mut forwarded = None;
    for (id, backend) in in_flight {
        let actions = gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        forwarded = forwarded.or(first_attempt(&actions));
    }
    let (id, backend) = forwarded.expect("the waiting request is forwarded");
    assert_eq!(id, waiting);
    let actions = gateway.end_attempt(id, 0, &backend, AttemptOutcome::ConnectFailed);
    assert!(
        first_attempt(&actions).is_some() || is_rejected(&actions, id) || !actions.is_empty(),
        "{actions:?}"
    );
}
