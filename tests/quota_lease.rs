//! The ordinary path: blocks, refusal, give-back, windows.

mod common;
use common::*;
use doorcourse::*;

#[test]
fn first_block_is_burst_over_gateways_and_is_spent_locally() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let did = door.ask(1, "c", "plain", "safe");
    let (name, amount) = count(&did).expect("a block is asked for");
    assert_eq!(amount, 5.0);
    assert_eq!(sends(&did), 0, "waits for its block");
    assert_eq!(sends(&door.total(name, 5.0)), 1);
    for id in 2..=5 {
        let did = door.ask(id, "c", "plain", "safe");
        assert_eq!(sends(&did), 1, "request {id} is paid from the block in hand");
    }
}

#[test]
fn beyond_block_and_count_a_request_is_refused_with_advice_and_the_rest_goes_back() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    // Others hold the whole burst and more than the window has refilled by now.
    let did = door.total(name, amount + 40.0);
    let advice = did.iter().find_map(|a| match a {
        Action::Reject { id: 1, retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|ms| ms > 0.0), "{did:?}");
    let (_, back) = count(&did).expect("what does not fit goes back");
    assert_eq!(back, -amount);
}

#[test]
fn all_gateways_derive_the_same_name_and_it_changes_with_the_window() {
    let mut other = settings();
    other.gateway_index = 1;
    let mut one = Door::new(settings(), &["a1"]);
    let mut two = Door::new(other, &["a1"]);
    let first = count(&one.ask(1, "c", "plain", "safe")).expect("call").0;
    assert_eq!(first, count(&two.ask(1, "c", "plain", "safe")).expect("call").0);
    let mut later = Door::new(settings(), &["a1"]);
    later.now += 20_000.0;
    assert_ne!(first, count(&later.ask(1, "c", "plain", "safe")).expect("call").0);
}

#[test]
fn a_block_is_not_spent_past_its_window() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.total(name, amount);
    door.now += 4_001.0;
    let did = door.ask(2, "c", "plain", "safe");
    assert_eq!(sends(&did), 0, "the old block has ended");
    assert!(count(&did).is_some_and(|(next, _)| next != name));
}

#[test]
fn an_unsent_request_puts_its_units_back() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.tell(Event::BackendList(Vec::new()));
    let did = door.total(name, amount);
    assert_eq!(sends(&did), 0);
    door.pass(300.0, &[1]);
    door.tell(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    for id in 2..=3 {
        let did = door.ask(id, "c", "plain", "safe");
        assert!(count(&did).is_none(), "the block still holds all five units");
        door.end(id, 0, &"a1".into(), AttemptOutcome::Served);
    }
}

#[test]
fn settled_units_are_added_later() {
    let mut set = settings();
    (set.responses_report_units, set.max_request_units) = (true, 4.0);
    let mut door = Door::new(set, &["a1", "a2"]);
    let backend = door.served(1, "c", "plain", "safe");
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
    door.tell(Event::AttemptEnded(end));
    let did = door.pass(30.0, &[]);
    assert!(count(&did).is_some_and(|(_, amount)| amount >= 3.0), "{did:?}");
}

#[test]
fn idle_customers_are_forgotten() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    door.end(1, 0, &at, AttemptOutcome::Served);
    door.pass(60_000.0, &[]);
    let did = door.ask(2, "c", "plain", "safe");
    assert_eq!(count(&did).expect("call").1, 5.0, "a forgotten customer starts with a first block again");
}

#[test]
fn a_long_wait_for_a_block_falls_to_the_silence_rule() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    assert_eq!(sends(&door.ask(1, "c", "plain", "safe")), 0);
    assert_eq!(sends(&door.pass(100.0, &[1])), 1);
}

#[test]
fn units_of_a_request_whose_client_went_before_anything_was_written_go_back() {
    for (outcome, paid) in [(AttemptOutcome::NeverSent, true), (AttemptOutcome::ConnectionLost, false)] {
        let mut door = Door::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
        let (name, _) = count(&door.ask(1, "c", "plain", "safe")).expect("a block is asked for");
        let (_, backend) = sent(&door.total(name, 5.0)).expect("sent on");
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
        door.tell(Event::AttemptEnded(end));
        door.tell(Event::ClientDisconnected { id: 1 });
        // The block held five.
        let served = (2..=6).filter(|id| sends(&door.ask(*id, "c", "plain", "safe")) == 1).count();
        assert_eq!(served, if paid { 5 } else { 4 }, "{outcome:?}");
    }
}
