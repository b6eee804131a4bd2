//! The counter silent, slow or emptied; the ceiling through all of it.

mod common;
use common::*;
use doorcourse::*;

fn silence(door: &mut Door, name: u64) -> Vec<Action> {
    door.now += 50.0;
    door.tell(Event::CounterCallEnded { counter: name, outcome: CounterOutcome::Unknown, latency: 50.0 })
}

/// Offers a request every 20 ms while the counter says nothing; gives how many went on.
fn spent_in_silence(door: &mut Door, plan: &str, span: Millis) -> usize {
    let (mut gone_on, mut id, end) = (0, 1_000_000, door.now + span);
    while door.now < end {
        id += 1;
        let mut did = door.ask(id, "c", plan, "safe");
        if let Some((name, _)) = count(&did) {
            did.extend(silence(door, name));
        }
        if let Some((id, at)) = sent(&did) {
            gone_on += 1;
            door.end(id, 0, &at, AttemptOutcome::Served);
        }
        door.now += 20.0;
    }
    gone_on
}

/// Offers a request under a ceiling while the counter answers with `total`, served at once; gives how many went on.
fn offer(door: &mut Door, id: RequestId, total: &mut f64) -> usize {
    let mut gone_on = Vec::new();
    let mut did = door.ask(id, "c", "ceiling", "safe");
    loop {
        gone_on.extend(did.iter().filter_map(|a| sent(std::slice::from_ref(a))));
        let Some((name, amount)) = count(&did) else { break };
        *total += amount;
        did = door.total(name, *total);
    }
    for (id, at) in &gone_on {
        door.end(*id, 0, at, AttemptOutcome::Served);
    }
    gone_on.len()
}

#[test]
fn in_silence_a_gateway_spends_its_even_slice_and_no_more() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    // Burst 10 and rate 5 for two gateways: at most 5 at once and 2.5 a second, 30 in ten seconds.
    let gone_on = spent_in_silence(&mut door, "plain", 10_000.0);
    assert!((26..=30).contains(&gone_on), "{gone_on}");
}

#[test]
fn the_ceiling_holds_through_a_spent_burst_an_emptied_count_a_restart_and_silence() {
    // The other gateway's view: the whole burst of 10 was just granted. This one comes back with nothing, finds
    // the count emptied, takes what it is given, and then the counter falls silent.
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let start = door.now;
    let (mut gone_on, mut total, mut id) = (0.0, 0.0, 0);
    while door.now < start + 2000.0 {
        id += 1;
        gone_on += offer(&mut door, id, &mut total) as f64;
        let ceiling = 16.0 + 8.0 * (door.now - start) / 1000.0 + 1.6;
        assert!(10.0 + gone_on <= ceiling, "10 + {gone_on} against {ceiling} on the way");
        door.now += 20.0;
    }
    // Two gateways in silence: what each may spend is the same slice.
    gone_on += 2.0 * spent_in_silence(&mut door, "ceiling", 4000.0) as f64;
    let ceiling = 16.0 + 8.0 * 6.0 + 1.6;
    assert!(10.0 + gone_on <= ceiling, "10 + {gone_on} against {ceiling}");
}

#[test]
fn an_emptied_count_is_told_again_what_is_held() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.total(name, amount);
    let mut asked = None;
    for id in 2..=12 {
        asked = count(&door.ask(id, "c", "plain", "safe"));
        if asked.is_some() {
            break;
        }
    }
    let (name, added) = asked.expect("a further block");
    door.total(name, added);
    let told = count(&door.pass(60.0, &[])).expect("the count hears what it forgot");
    assert!(told.1 >= amount, "{told:?}");
}

#[test]
fn silence_is_told_once_and_the_counter_is_asked_for_few_requests_only() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let (mut calls, mut lines, mut id) = (0, 0, 0);
    let end = door.now + 5000.0;
    while door.now < end {
        id += 1;
        let mut did = door.ask(id, &format!("c{id}"), "plain", "safe");
        if let Some((name, _)) = count(&did) {
            calls += 1;
            did.extend(silence(&mut door, name));
        }
        lines += did.iter().filter(|a| matches!(a, Action::Log(line) if line.contains("silent"))).count();
        if let Some((id, at)) = sent(&did) {
            door.end(id, 0, &at, AttemptOutcome::Served);
        }
        door.now += 10.0;
    }
    assert_eq!(lines, 1);
    assert!(calls >= 3, "who never asks never learns that the counter is back: {calls}");
    assert!(f64::from(calls) <= 0.15 * id as f64, "{calls} calls for {id} requests");
}

#[test]
fn a_late_total_of_an_ended_window_grants_nothing() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.pass(100.0, &[1]);
    door.now += 5000.0;
    let did = door.total(name, amount);
    assert_eq!(sends(&did), 0);
    assert_eq!(sends(&door.ask(2, "c", "plain", "safe")), 0, "no block in hand");
}

#[test]
fn after_a_silence_an_idle_gateway_does_not_take_a_ceiling_s_store_for_full() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let at = door.served(1, "c", "ceiling", "safe");
    door.end(1, 0, &at, AttemptOutcome::Served);
    door.now += 100.0;
    for id in 2..=3 {
        let (name, _) = count(&door.ask(id, &format!("other{id}"), "plain", "safe")).expect("call");
        silence(&mut door, name);
    }
    // Three seconds in which the other gateway may spend all; then the counter is back, empty.
    door.now += 3000.0;
    let (mut gone_on, mut total, mut id) = (0, 0.0, 100);
    for _ in 0..40 {
        id += 1;
        gone_on += offer(&mut door, id, &mut total);
    }
    assert!(gone_on <= 5 && total <= 5.0, "only the own slice of the silence: {gone_on} sent, {total} added");
}

/// A host prices a request before it runs. Under a ceiling that goes by the price, what comes back by the true
/// units must not be sent on again: the quota has room for it, the ceiling has not.
#[test]
fn what_settles_below_its_price_does_not_pass_the_ceiling() {
    let mut settings = settings();
    (settings.gateway_count, settings.responses_report_units) = (1, true);
    let plan = settings.plans[1].clone();
    let mut door = Door::new(settings, &["a1", "a2", "a3", "a4"]);
    let (mut left, mut total, mut lowest) = (plan.ceiling_burst, 0.0, f64::INFINITY);
    let mut window = 0;
    for id in 1..2000 {
        door.now += 10.0;
        left = (left + plan.ceiling_rate * 0.01).min(plan.ceiling_burst);
        let mut did = door.tell(Event::TimerExpired { token: 1 });
        did.extend(door.ask(id, "c", "ceiling", "safe"));
        while let Some((name, amount)) = count(&did) {
            if name != window {
                (window, total) = (name, 0.0);
            }
            total += amount;
            did.retain(|a| !matches!(a, Action::AddToCounter { .. }));
            did.extend(door.total(name, total));
        }
        if let Some((id, backend)) = sent(&did) {
            left -= 1.0;
            lowest = lowest.min(left);
            door.answer(id, &backend, 0.1);
        }
    }
    assert!(lowest > -plan.ceiling_slack, "{:.1} units below the ceiling", -lowest);
}

fn late(door: &mut Door, name: u64, total: Option<f64>) -> Vec<Action> {
    let outcome = CounterOutcome::Late { added: true, total };
    door.tell(Event::CounterCallEnded { counter: name, outcome, latency: 90.0 })
}

fn one(door: &Door) -> CustomerStatus {
    door.gateway.customers().next().expect("the customer")
}

#[test]
fn a_total_that_comes_late_grants_its_block_late() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, block) = count(&door.ask(1, "c", "plain", "safe")).expect("a first block");
    assert_eq!(block, 5.0, "the burst over the gateways");
    door.tell(Event::CounterCallEnded { counter: name, outcome: CounterOutcome::Unknown, latency: 50.0 });
    // One was spent from the slice in the meantime: it is told with the next call.
    assert_eq!((one(&door).leased_units, one(&door).unreported_units), (0.0, 1.0));
    late(&mut door, name, Some(block));
    assert_eq!((one(&door).leased_units, one(&door).unreported_units), (5.0, 1.0));
    assert!(sent(&door.ask(2, "c", "plain", "safe")).is_some(), "it is spent as any other");
    assert_eq!(one(&door).leased_units, 4.0);
    // A word of a call that nobody made, or a second one, changes nothing.
    late(&mut door, name, Some(99.0));
    assert_eq!(one(&door).leased_units, 4.0);
}

#[test]
fn what_was_added_without_a_total_goes_back() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, block) = count(&door.ask(1, "c", "plain", "safe")).expect("a first block");
    door.tell(Event::CounterCallEnded { counter: name, outcome: CounterOutcome::Unknown, latency: 50.0 });
    late(&mut door, name, None);
    let owed = 1.0 - block;
    assert_eq!((one(&door).leased_units, one(&door).unreported_units), (0.0, owed));
    let did = door.pass(25.0, &[]);
    assert_eq!(count(&did), Some((name, block + owed)), "with the next block, at once");
}

#[test]
fn a_call_that_was_turned_away_late_was_never_made() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, _) = count(&door.ask(1, "c", "plain", "safe")).expect("a first block");
    door.tell(Event::CounterCallEnded { counter: name, outcome: CounterOutcome::Unknown, latency: 50.0 });
    let before = one(&door);
    let outcome = CounterOutcome::Late { added: false, total: None };
    door.tell(Event::CounterCallEnded { counter: name, outcome, latency: 90.0 });
    assert_eq!(one(&door), before);
}

#[test]
fn a_counter_that_answers_late_costs_no_quota() {
    // Each answer comes after its time-out, for as long as three turns: what is let in follows the rate all the same.
    let (mut door, mut totals) = (Door::new(settings(), &["a1", "a2"]), std::collections::BTreeMap::new());
    let (mut served, mut waiting) = (0, Vec::new());
    for id in 1..=300 {
        let mut did = door.ask(id, "c", "plain", "safe");
        did.extend(door.pass(20.0, &[]));
        for (name, total) in std::mem::take(&mut waiting) {
            did.extend(late(&mut door, name, Some(total)));
        }
        while let Some((name, amount)) = count(&did) {
            let total: &mut f64 = totals.entry(name).or_default();
            *total += amount;
            waiting.push((name, *total));
            did.retain(|a| !matches!(a, Action::AddToCounter { .. }));
            did.extend(door.tell(Event::CounterCallEnded {
                counter: name,
                outcome: CounterOutcome::Unknown,
                latency: 50.0,
            }));
        }
        for (id, at) in did.iter().filter_map(|a| sent(std::slice::from_ref(a))) {
            door.end(id, 0, &at, AttemptOutcome::Served);
            served += 1;
        }
    }
    // A burst of 10 and 5 a second for 6 s.
    assert!((32..=42).contains(&served), "{served}");
}

#[test]
fn what_others_used_in_a_silence_is_paid_by_what_came_in_then() {
    // A customer that uses its rate, at this gateway and at another, through a silence of four turns.
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, block) = count(&door.ask(1, "c", "plain", "safe")).expect("a first block");
    door.total(name, block);
    let mut id = 1;
    for _ in 0..80 {
        id += 1;
        let mut did = door.ask(id, "c", "plain", "safe");
        did.extend(door.pass(100.0, &[id]));
        while let Some((name, _)) = count(&did) {
            did = door.tell(Event::CounterCallEnded {
                counter: name,
                outcome: CounterOutcome::NotAdded,
                latency: 1.0,
            });
        }
        for at in ["a1", "a2"] {
            door.end(id, 0, &at.into(), AttemptOutcome::Served);
        }
    }
    assert!(door.gateway.is_counter_silent());
    // The counter is back: the other gateway has just told 18 units, 2.25 a second for 8 s.
    let (mut did, mut total) = (door.ask(id + 1, "c", "plain", "safe"), 18.0);
    for _ in 0..6 {
        if let Some((name, amount)) = count(&did) {
            total += amount;
            did = door.total(name, total);
        }
        did.extend(door.pass(30.0, &[]));
    }
    let view = one(&door);
    assert!(view.available_units + view.leased_units > -2.0, "{view:?}");
    assert!(view.available_units + view.leased_units <= 10.0, "never more than its burst: {view:?}");
}

#[test]
fn a_burst_that_others_use_without_a_silence_is_debited_whole() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, block) = count(&door.ask(1, "c", "plain", "safe")).expect("a first block");
    door.total(name, block);
    door.end(1, 0, &"a1".into(), AttemptOutcome::Served);
    door.end(1, 0, &"a2".into(), AttemptOutcome::Served);
    door.pass(1500.0, &[]);
    let mut did = door.pass(25.0, &[]);
    let mut id = 1;
    while count(&did).is_none() {
        id += 1;
        did = door.ask(id, "c", "plain", "safe");
        did.extend(door.pass(25.0, &[]));
    }
    let (name, amount) = count(&did).unwrap();
    let before = one(&door).available_units;
    door.total(name, amount + block + 8.0);
    assert!(
        one(&door).available_units <= before - 8.0 + 1.0,
        "what came in meanwhile pays for nothing: {:?}",
        one(&door)
    );
}
