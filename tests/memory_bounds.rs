//! What is held stays flat, however many backends are replaced and customers seen once.

mod common;
use common::*;
use doorcourse::*;

#[test]
fn replaced_backends_and_customers_seen_once_leave_nothing_behind() {
    let mut door = Door::new(settings(), &["a0"]);
    let (mut most, mut customers) = (0, 0);
    for life in 1..600 {
        let (old, new) = (format!("a{}", life - 1), format!("a{life}"));
        let born = Some(door.now);
        door.tell(Event::BackendChanges(vec![
            backend(&old, BackendState::Removed, None),
            backend(&new, BackendState::Ready, born),
        ]));
        for number in 0..20u64 {
            let id = life * 100 + number;
            let mut did = door.ask(id, &format!("once{id}"), "plain", "safe");
            if let Some((name, amount)) = count(&did) {
                did = door.total(name, amount);
            }
            if let Some((id, at)) = sent(&did) {
                door.end(id, 0, &at, AttemptOutcome::Served);
            } else {
                door.tell(Event::ClientDisconnected { id });
            }
            door.pass(50.0, &[]);
        }
        if life > 200 {
            most = most.max(door.gateway.backends().count());
            customers = customers.max(door.gateway.customers().count());
        }
    }
    // One a second, kept for a minute; customers for two turns of their quota.
    assert!((2..=70).contains(&most), "{most} backends");
    assert!((1..=200).contains(&customers), "{customers} customers");
}

#[test]
fn a_backend_that_is_gone_still_tells_the_cell_of_what_may_have_run_there() {
    let mut door = Door::new(settings(), &["a1"]);
    let at = door.served(1, "c", "plain", "keyed");
    door.tell(Event::BackendList(vec![backend("b1", BackendState::Ready, None)]));
    door.pass(1500.0, &[]);
    // Its key is remembered in the cell of a1 alone: b1 must not have it.
    let did = door.end(1, 0, &at, AttemptOutcome::ConnectionLost);
    assert_eq!(sends(&did), 0);
    assert!(!refused(&did, 1));
}

#[test]
fn a_seat_that_was_given_up_serves_the_next_backend_as_its_own() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    door.tell(Event::BackendChanges(vec![backend("a1", BackendState::Removed, None)]));
    door.pass(61_000.0, &[]);
    assert_eq!(door.gateway.backends().count(), 1);
    door.tell(Event::BackendChanges(vec![backend("a3", BackendState::Ready, None)]));
    let mut seen = std::collections::BTreeSet::new();
    for id in 1..=8 {
        let at = door.served(id, &format!("c{id}"), "plain", "safe");
        door.end(id, 0, &at, AttemptOutcome::Served);
        seen.insert(at);
    }
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), ["a2".into(), Name::from("a3")]);
}
