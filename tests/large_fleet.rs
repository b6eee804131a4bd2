//! Fleets of hundreds of gateways, driven by scripted events: the checks apply to what all gateways admit together.

mod common;
use common::*;
use doorcourse::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 500;

/// All gateways of a fleet with these backends; the last one has just started where `slow_start` is set.
fn fleet(gateways: u32, backends: &[String], slow_start: bool, peers: bool) -> Vec<TestGateway> {
    let names: Vec<&str> = backends.iter().map(String::as_str).collect();
    (0..gateways)
        .map(|number| {
            let settings = Settings {
                gateway_count: gateways,
                gateway_index: number,
                gossip_allowed: peers,
                ..settings()
            };
            let mut gateway = TestGateway::seeded(settings, 1000 + u64::from(number), &names);
            if slow_start {
                let started = Some(gateway.now);
                let last = backends.last().expect("a backend");
                gateway.handle(Event::BackendChanges(vec![backend_entry(
                    last,
                    BackendState::Ready,
                    started,
                )]));
            }
            gateway
        })
        .collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("a{n}")).collect()
}

/// A request of a customer of all gateways.
fn request_of_all(
    gateway: &mut TestGateway, id: RequestId, customer: &str, client_retry: bool,
) -> Vec<Action> {
    gateway.request_through(id, customer, "plain", "safe", client_retry, GATEWAYS)
}

#[test]
fn a_sampled_quota_holds_over_all_gateways() {
    // Burst 10, rate 5: in 1.5 s, less than a refill period, no more than two windows' bursts can be granted.
    let mut fleet = fleet(GATEWAYS, &names(20), false, false);
    let mut admitted = 0;
    let mut totals = BTreeMap::<u64, f64>::new();
    let start = fleet[0].now;
    for (id, gateway) in (1..).zip(&mut fleet) {
        gateway.now = start + 3.0 * id as f64;
        let mut actions = request_of_all(gateway, id, "c", false);
        if let Some((name, amount)) = first_counter_call(&actions) {
            let total = totals.entry(name).or_default();
            *total += amount;
            actions.extend(gateway.counter_responds(name, *total));
        }
        admitted += count_attempts(&actions);
    }
    assert!((5..=20).contains(&admitted), "{admitted} of {GATEWAYS} requests were admitted");
}

#[test]
fn each_gateway_keeps_to_its_subset_and_all_backends_are_used_alike() {
    let mut fleet = fleet(GATEWAYS, &names(50), false, false);
    let mut per_backend = BTreeMap::<Name, u32>::new();
    let mut most = 0;
    for gateway in &mut fleet {
        let mut subset = BTreeSet::new();
        for id in 1..=20 {
            let backend = gateway.forward(id, &format!("c{id}"), "plain", "unsafe");
            gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
            *per_backend.entry(backend.clone()).or_default() += 1;
            subset.insert(backend);
        }
        most = most.max(subset.len());
    }
    assert!(most <= 15, "a gateway used {most} backends");
    let busiest = per_backend.values().max().copied().unwrap_or_default();
    assert_eq!(per_backend.len(), 50);
    assert!(f64::from(busiest) < 1.6 * f64::from(GATEWAYS * 20 / 50), "{busiest}");
}

#[test]
fn two_or_five_hundred_gateways_send_a_backend_in_slow_start_its_share_from_the_first_ms() {
    for gateways in [2, GATEWAYS] {
        let backends = names(10);
        let mut fleet = fleet(gateways, &backends, true, false);
        let mut to_slow_start = 0;
        let rounds = 5000 / gateways as u64;
        for id in 1..=rounds {
            for gateway in &mut fleet {
                let backend = gateway.forward(id, &format!("c{id}"), "plain", "safe");
                to_slow_start += u32::from(&*backend == "a9");
                gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
            }
        }
        // An even share is 500 of 5000. In slow start, with 0.2 of its capacity, the backend gets less than a fifth of
        // that.
        assert!((40..=120).contains(&to_slow_start), "{gateways} gateways: {to_slow_start}");
    }
}

#[test]
fn without_a_warm_backend_those_in_slow_start_get_their_share() {
    let mut fleet = fleet(GATEWAYS, &names(1), true, false);
    let mut admitted = 0;
    for gateway in &mut fleet {
        let mut actions = request_of_all(gateway, 1, "c", false);
        if let Some((name, _)) = first_counter_call(&actions) {
            actions.extend(gateway.counter_responds(name, 1.0));
        }
        admitted += count_attempts(&actions);
    }
    assert!((40..=130).contains(&admitted), "about a sixth of {GATEWAYS}: {admitted}");
}

#[test]
fn gossip_of_a_customer_over_quota_is_sent_and_followed() {
    let mut fleet = fleet(GATEWAYS, &names(5), false, true);
    let (name, amount) = first_counter_call(&request_of_all(&mut fleet[0], 1, "c", false)).expect("a call");
    let actions = fleet[0].counter_responds(name, 1000.0 + amount);
    let message = actions
        .iter()
        .find_map(|a| if let Action::Gossip { bytes } = a { Some(bytes.clone()) } else { None });
    assert!(is_rejected(&actions, 1));
    fleet[1].handle(Event::GossipReceived { from: 0, bytes: message.expect("a gossip message") });
    for junk in [vec![], vec![1; 7], vec![255; 300]] {
        fleet[1].handle(Event::GossipReceived { from: 0, bytes: junk });
    }
    // The counter rejects all calls: only the other gateway's message is known.
    let mut admitted = 0;
    for id in 1..=40 {
        let mut actions = request_of_all(&mut fleet[1], id, "c", false);
        if let Some((name, _)) = first_counter_call(&actions) {
            let outcome = CounterOutcome::NotAdded;
            let latency = 1.0;
            actions.extend(fleet[1].handle(Event::CounterCallEnded { counter: name, outcome, latency }));
        }
        admitted += count_attempts(&actions);
    }
    assert!(admitted <= 4, "{admitted} of 40 admitted for a customer a hundred times over its quota");
}

#[test]
fn a_clients_retry_reads_the_counter_and_adds_nothing() {
    let mut fleet = fleet(GATEWAYS, &names(5), false, false);
    let mut seen = Vec::new();
    for id in 1..=60 {
        // Quick responses raise the call rate: retries are sampled then.
        let actions = request_of_all(&mut fleet[0], id, &format!("c{id}"), id > 30);
        if let Some((name, amount)) = first_counter_call(&actions) {
            fleet[0].counter_responds(name, 1.0);
            seen.push((id > 30, amount));
        }
    }
    assert!(seen.iter().any(|(is_retry, _)| *is_retry), "some retries are sampled");
    assert!(seen.iter().all(|(is_retry, amount)| *amount == if *is_retry { 0.0 } else { 1.0 }), "{seen:?}");
}

#[test]
fn late_responses_shed_new_requests_and_the_fleet_recovers() {
    let mut fleet = fleet(GATEWAYS, &names(5), false, false);
    let mut id = 0;
    let mut round = |gateway: &mut TestGateway, latency: Millis, requests: u64| {
        let mut admitted = 0;
        for _ in 0..requests {
            id += 1;
            let mut actions = request_of_all(gateway, id, &format!("c{id}"), false);
            if let Some((name, amount)) = first_counter_call(&actions) {
                actions.extend(gateway.counter_responds(name, amount));
            }
            for (id, backend) in actions.iter().filter_map(|a| first_attempt(std::slice::from_ref(a))) {
                admitted += 1;
                gateway.end_attempt_after(latency, id, 0, &backend, AttemptOutcome::Served);
            }
        }
        admitted
    };
    assert_eq!(round(&mut fleet[0], 100.0, 40), 40, "all are admitted while responses are in time");
    round(&mut fleet[0], 790.0, 40);
    assert!(round(&mut fleet[0], 790.0, 40) < 30, "late responses shed");
    round(&mut fleet[0], 100.0, 300);
    assert!(round(&mut fleet[0], 100.0, 40) > 36, "and it recovers");
}

/// One gateway of many sees few responses. A normal share of late responses, in any order, is no overload and must not
/// shed load by chance.
#[test]
fn a_usual_share_of_late_responses_sheds_few() {
    let mut shed = 0;
    for seed in 0..10 {
        let mut gateway = TestGateway::seeded(
            Settings { gateway_count: GATEWAYS, ..settings() },
            50 + seed,
            &["a1", "a2", "a3"],
        );
        let mut bits = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        for id in 1..=200 {
            bits ^= bits << 13;
            bits ^= bits >> 7;
            bits ^= bits << 17;
            let mut actions = request_of_all(&mut gateway, id, &format!("c{id}"), false);
            if let Some((name, amount)) = first_counter_call(&actions) {
                actions.extend(gateway.counter_responds(name, amount));
            }
            let Some((id, backend)) = first_attempt(&actions) else {
                shed += 1;
                continue;
            };
            // Seven responses of a hundred come after 0.6 of the latency objective.
            let latency = if bits % 100 < 7 { 600.0 } else { 100.0 };
            gateway.end_attempt_after(latency, id, 0, &backend, AttemptOutcome::Served);
        }
    }
    assert!(shed < 20, "{shed} of 2000 shed");
}

/// While calls are scarce, requests of higher priority are sampled more often, since a wrong decision on them costs
/// more.
#[test]
fn scarce_calls_go_to_requests_of_higher_priority() {
    let mut all = Settings { gateway_count: GATEWAYS, ..settings() };
    (all.classes[0].priority_weight, all.classes[2].priority_weight) = (2.0, 5.0);
    let mut gateway = TestGateway::seeded(all, 3, &["a1", "a2", "a3"]);
    let mut sampled = BTreeMap::<&str, u32>::new();
    for id in 1..=600 {
        let class = if id % 2 == 0 { "safe" } else { "unsafe" };
        let mut actions = gateway.request_through(id, &format!("c{id}"), "plain", class, false, GATEWAYS);
        if let Some((name, amount)) = first_counter_call(&actions) {
            *sampled.entry(class).or_default() += 1;
            // The response is slow each time, so that calls stay scarce.
            let outcome = CounterOutcome::Total(amount);
            actions.extend(gateway.handle(Event::CounterCallEnded { counter: name, outcome, latency: 45.0 }));
        }
        for (id, backend) in actions.iter().filter_map(|a| first_attempt(std::slice::from_ref(a))) {
            gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        }
    }
    let low = sampled["safe"];
    let high = sampled["unsafe"];
    assert!(high > low * 3 / 2, "{low} of low and {high} of high priority sampled");
}
