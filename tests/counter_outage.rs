//! Quotas and ceilings while the counter is unavailable, responds late or has lost its totals.

mod common;
use common::*;
use doorcourse::*;

fn time_out(gateway: &mut TestGateway, name: u64) -> Vec<Action> {
    gateway.now += 50.0;
    gateway.handle(Event::CounterCallEnded { counter: name, outcome: CounterOutcome::Unknown, latency: 50.0 })
}

/// Sends a request every 20 ms while the counter is unavailable; returns how many were admitted.
fn admitted_while_unavailable(gateway: &mut TestGateway, plan: &str, span: Millis) -> usize {
    let mut admitted = 0;
    let mut id = 1_000_000;
    let end = gateway.now + span;
    while gateway.now < end {
        id += 1;
        let mut actions = gateway.request(id, "c", plan, "safe");
        if let Some((name, _)) = first_counter_call(&actions) {
            actions.extend(time_out(gateway, name));
        }
        if let Some((id, backend)) = first_attempt(&actions) {
            admitted += 1;
            gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        }
        gateway.now += 20.0;
    }
    admitted
}

/// Sends a request under a ceiling while the counter responds with `total`, served at once; returns how many were
/// admitted.
fn request_under_ceiling(gateway: &mut TestGateway, id: RequestId, total: &mut f64) -> usize {
    let mut admitted = Vec::new();
    let mut actions = gateway.request(id, "c", "ceiling", "safe");
    loop {
        admitted.extend(actions.iter().filter_map(|a| first_attempt(std::slice::from_ref(a))));
        let Some((name, amount)) = first_counter_call(&actions) else { break };
        *total += amount;
        actions = gateway.counter_responds(name, *total);
    }
    for (id, backend) in &admitted {
        gateway.end_attempt(*id, 0, backend, AttemptOutcome::Served);
    }
    admitted.len()
}

#[test]
fn while_the_counter_is_unavailable_a_gateway_spends_its_even_part_and_no_more() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    // Burst 10 and rate 5 for two gateways: at most 5 at once and 2.5 a second, 30 in ten seconds.
    let admitted = admitted_while_unavailable(&mut gateway, "plain", 10_000.0);
    assert!((26..=30).contains(&admitted), "{admitted}");
}

#[test]
fn the_ceiling_holds_through_a_spent_burst_an_emptied_counter_a_restart_and_an_unavailable_counter() {
    // The other gateway has just been granted the whole burst of 10. This gateway has restarted without state, finds
    // the counter emptied and leases what that grants; then the counter becomes unavailable.
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let start = gateway.now;
    let mut admitted = 0.0;
    let mut total = 0.0;
    let mut id = 0;
    while gateway.now < start + 2000.0 {
        id += 1;
        admitted += request_under_ceiling(&mut gateway, id, &mut total) as f64;
        let ceiling = 16.0 + 8.0 * (gateway.now - start) / 1000.0 + 1.6;
        assert!(
            10.0 + admitted <= ceiling,
            "10 + {admitted} against {ceiling} before the counter is unavailable"
        );
        gateway.now += 20.0;
    }
    // Two gateways while the counter is unavailable: each may spend the same part.
    admitted += 2.0 * admitted_while_unavailable(&mut gateway, "ceiling", 4000.0) as f64;
    let ceiling = 16.0 + 8.0 * 6.0 + 1.6;
    assert!(10.0 + admitted <= ceiling, "10 + {admitted} against {ceiling}");
}

#[test]
fn leases_held_are_reported_again_to_an_emptied_counter() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let (name, amount) = first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("call");
    gateway.counter_responds(name, amount);
    let mut asked = None;
    for id in 2..=12 {
        asked = first_counter_call(&gateway.request(id, "c", "plain", "safe"));
        if asked.is_some() {
            break;
        }
    }
    let (name, added) = asked.expect("a further lease");
    gateway.counter_responds(name, added);
    let reported =
        first_counter_call(&gateway.advance(60.0, &[])).expect("a report of what the counter lost");
    assert!(reported.1 >= amount, "{reported:?}");
}

#[test]
fn an_unavailable_counter_is_logged_once_and_the_counter_is_called_for_few_requests_only() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let mut calls = 0;
    let mut lines = 0;
    let mut id = 0;
    let end = gateway.now + 5000.0;
    while gateway.now < end {
        id += 1;
        let mut actions = gateway.request(id, &format!("c{id}"), "plain", "safe");
        if let Some((name, _)) = first_counter_call(&actions) {
            calls += 1;
            actions.extend(time_out(&mut gateway, name));
        }
        lines += actions.iter().filter(|a| matches!(a, Action::Log(line) if line.contains("silent"))).count();
        if let Some((id, backend)) = first_attempt(&actions) {
            gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        }
        gateway.now += 10.0;
    }
    assert_eq!(lines, 1);
    assert!(
        calls >= 3,
        "without calls the gateway would not learn that the counter is available again: {calls}"
    );
    assert!(f64::from(calls) <= 0.15 * id as f64, "{calls} calls for {id} requests");
}

#[test]
fn a_late_total_of_an_ended_window_grants_no_lease() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let (name, amount) = first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("call");
    gateway.advance(100.0, &[1]);
    gateway.now += 5000.0;
    let actions = gateway.counter_responds(name, amount);
    assert_eq!(count_attempts(&actions), 0);
    assert_eq!(count_attempts(&gateway.request(2, "c", "plain", "safe")), 0, "no lease held");
}

#[test]
fn after_the_counter_was_unavailable_an_idle_gateway_does_not_assume_a_full_bucket_under_a_ceiling() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let backend = gateway.forward(1, "c", "ceiling", "safe");
    gateway.end_attempt(1, 0, &backend, AttemptOutcome::Served);
    gateway.now += 100.0;
    for id in 2..=3 {
        let (name, _) =
            first_counter_call(&gateway.request(id, &format!("other{id}"), "plain", "safe")).expect("call");
        time_out(&mut gateway, name);
    }
    // For three seconds the other gateway may spend everything; then the counter is available again, without its
    // totals.
    gateway.now += 3000.0;
    let mut admitted = 0;
    let mut total = 0.0;
    let mut id = 100;
    for _ in 0..40 {
        id += 1;
        admitted += request_under_ceiling(&mut gateway, id, &mut total);
    }
    assert!(
        admitted <= 5 && total <= 5.0,
        "only its own part while the counter is unavailable: {admitted} admitted, {total} added"
    );
}

/// The host estimates a request's units before it runs, and the ceiling counts the estimate. Units that a smaller true
/// value would return must not be spent again, although the quota alone would allow it.
#[test]
fn true_units_below_the_estimate_do_not_exceed_the_ceiling() {
    let mut settings = settings();
    settings.gateway_count = 1;
    settings.responses_report_units = true;
    let plan = settings.plans[1].clone();
    let mut gateway = TestGateway::new(settings, &["a1", "a2", "a3", "a4"]);
    let mut ceiling_units = plan.ceiling_burst;
    let mut total = 0.0;
    let mut min_ceiling_units = f64::INFINITY;
    let mut window = 0;
    for id in 1..2000 {
        gateway.now += 10.0;
        ceiling_units = (ceiling_units + plan.ceiling_rate * 0.01).min(plan.ceiling_burst);
        let mut actions = gateway.handle(Event::TimerExpired { token: 1 });
        actions.extend(gateway.request(id, "c", "ceiling", "safe"));
        while let Some((name, amount)) = first_counter_call(&actions) {
            if name != window {
                window = name;
                total = 0.0;
            }
            total += amount;
            actions.retain(|a| !matches!(a, Action::AddToCounter { .. }));
            actions.extend(gateway.counter_responds(name, total));
        }
        if let Some((id, backend)) = first_attempt(&actions) {
            ceiling_units -= 1.0;
            min_ceiling_units = min_ceiling_units.min(ceiling_units);
            gateway.serve(id, &backend, 0.1);
        }
    }
    assert!(min_ceiling_units > -plan.ceiling_slack, "{:.1} units below the ceiling", -min_ceiling_units);
}

fn counter_responds_late(gateway: &mut TestGateway, name: u64, total: Option<f64>) -> Vec<Action> {
    let outcome = CounterOutcome::Late { added: true, total };
    gateway.handle(Event::CounterCallEnded { counter: name, outcome, latency: 90.0 })
}

fn only_customer(gateway: &TestGateway) -> CustomerStatus {
    gateway.decisions.customers().next().expect("the customer")
}

#[test]
fn a_late_total_grants_its_lease() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let (name, lease_units) =
        first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("a first lease");
    assert_eq!(lease_units, 5.0, "the burst over the gateways");
    gateway.handle(Event::CounterCallEnded {
        counter: name,
        outcome: CounterOutcome::Unknown,
        latency: 50.0,
    });
    // One unit was spent from the fallback budget in the meantime: it is reported with the next call.
    assert_eq!((only_customer(&gateway).leased_units, only_customer(&gateway).unreported_units), (0.0, 1.0));
    counter_responds_late(&mut gateway, name, Some(lease_units));
    assert_eq!((only_customer(&gateway).leased_units, only_customer(&gateway).unreported_units), (5.0, 1.0));
    assert!(
        first_attempt(&gateway.request(2, "c", "plain", "safe")).is_some(),
        "the lease is spent as any other"
    );
    assert_eq!(only_customer(&gateway).leased_units, 4.0);
    // The result of an unknown call, or a second result, changes nothing.
    counter_responds_late(&mut gateway, name, Some(99.0));
    assert_eq!(only_customer(&gateway).leased_units, 4.0);
}

#[test]
fn a_lease_added_late_without_a_total_is_returned() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let (name, lease_units) =
        first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("a first lease");
    gateway.handle(Event::CounterCallEnded {
        counter: name,
        outcome: CounterOutcome::Unknown,
        latency: 50.0,
    });
    counter_responds_late(&mut gateway, name, None);
    let unreported = 1.0 - lease_units;
    assert_eq!(
        (only_customer(&gateway).leased_units, only_customer(&gateway).unreported_units),
        (0.0, unreported)
    );
    let actions = gateway.advance(25.0, &[]);
    assert_eq!(
        first_counter_call(&actions),
        Some((name, lease_units + unreported)),
        "with the next lease, at once"
    );
}

#[test]
fn a_call_that_is_known_late_as_not_added_changes_nothing() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let (name, _) = first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("a first lease");
    gateway.handle(Event::CounterCallEnded {
        counter: name,
        outcome: CounterOutcome::Unknown,
        latency: 50.0,
    });
    let before = only_customer(&gateway);
    let outcome = CounterOutcome::Late { added: false, total: None };
    gateway.handle(Event::CounterCallEnded { counter: name, outcome, latency: 90.0 });
    assert_eq!(only_customer(&gateway), before);
}

#[test]
fn late_responses_of_the_counter_cost_no_quota() {
    // For three refill periods each response arrives after its timeout: admission still follows the rate.
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let mut totals = std::collections::BTreeMap::new();
    let mut served = 0;
    let mut waiting = Vec::new();
    for id in 1..=300 {
        let mut actions = gateway.request(id, "c", "plain", "safe");
        actions.extend(gateway.advance(20.0, &[]));
        for (name, total) in std::mem::take(&mut waiting) {
            actions.extend(counter_responds_late(&mut gateway, name, Some(total)));
        }
        while let Some((name, amount)) = first_counter_call(&actions) {
            let total: &mut f64 = totals.entry(name).or_default();
            *total += amount;
            waiting.push((name, *total));
            actions.retain(|a| !matches!(a, Action::AddToCounter { .. }));
            actions.extend(gateway.handle(Event::CounterCallEnded {
                counter: name,
                outcome: CounterOutcome::Unknown,
                latency: 50.0,
            }));
        }
        for (id, backend) in actions.iter().filter_map(|a| first_attempt(std::slice::from_ref(a))) {
            gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
            served += 1;
        }
    }
    // A burst of 10 and 5 a second for 6 s.
    assert!((32..=42).contains(&served), "{served}");
}

#[test]
fn use_of_others_while_the_counter_is_unavailable_is_paid_by_the_overflow_of_that_time() {
    // A customer that uses its rate, at this gateway and at another, while the counter is unavailable for four
    // refill periods.
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let (name, lease_units) =
        first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("a first lease");
    gateway.counter_responds(name, lease_units);
    let mut id = 1;
    for _ in 0..80 {
        id += 1;
        let mut actions = gateway.request(id, "c", "plain", "safe");
        actions.extend(gateway.advance(100.0, &[id]));
        while let Some((name, _)) = first_counter_call(&actions) {
            actions = gateway.handle(Event::CounterCallEnded {
                counter: name,
                outcome: CounterOutcome::NotAdded,
                latency: 1.0,
            });
        }
        for backend in ["a1", "a2"] {
            gateway.end_attempt(id, 0, &backend.into(), AttemptOutcome::Served);
        }
    }
    assert!(gateway.decisions.is_counter_silent());
    // The counter is available again: the other gateway has just reported 18 units, 2.25 a second for 8 s.
    let mut actions = gateway.request(id + 1, "c", "plain", "safe");
    let mut total = 18.0;
    for _ in 0..6 {
        if let Some((name, amount)) = first_counter_call(&actions) {
            total += amount;
            actions = gateway.counter_responds(name, total);
        }
        actions.extend(gateway.advance(30.0, &[]));
    }
    let customer = only_customer(&gateway);
    assert!(customer.available_units + customer.leased_units > -2.0, "{customer:?}");
    assert!(
        customer.available_units + customer.leased_units <= 10.0,
        "never more than its burst: {customer:?}"
    );
}

#[test]
fn a_burst_that_others_use_while_the_counter_is_available_is_debited_completely() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let (name, lease_units) =
        first_counter_call(&gateway.request(1, "c", "plain", "safe")).expect("a first lease");
    gateway.counter_responds(name, lease_units);
    gateway.end_attempt(1, 0, &"a1".into(), AttemptOutcome::Served);
    gateway.end_attempt(1, 0, &"a2".into(), AttemptOutcome::Served);
    gateway.advance(1500.0, &[]);
    let mut actions = gateway.advance(25.0, &[]);
    let mut id = 1;
    while first_counter_call(&actions).is_none() {
        id += 1;
        actions = gateway.request(id, "c", "plain", "safe");
        actions.extend(gateway.advance(25.0, &[]));
    }
    let (name, amount) = first_counter_call(&actions).unwrap();
    let before = only_customer(&gateway).available_units;
    gateway.counter_responds(name, amount + lease_units + 8.0);
    assert!(
        only_customer(&gateway).available_units <= before - 8.0 + 1.0,
        "overflow while the counter is available pays for nothing: {:?}",
        only_customer(&gateway)
    );
}
