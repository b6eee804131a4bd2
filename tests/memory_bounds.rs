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
