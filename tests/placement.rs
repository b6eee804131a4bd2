//! The choice of a backend by its placement: priority levels, standbys, spares, weights and sticky routes.

mod common;
use common::*;
use doorcourse::*;
use std::collections::BTreeMap;

fn placed_entry(name: &str, state: BackendState, started: Option<Millis>, place: Placement) -> BackendEntry {
    BackendEntry { placement: place, ..backend_entry(name, state, started) }
}

fn ready_entry(name: &str, level: u32, role: BackendRole, weight: f64) -> BackendEntry {
    let route = format!("r-{name}").as_str().into();
    let state = BackendState::Ready;
    placed_entry(
        name,
        state,
        None,
        Placement { priority_level: level, role, weight, sticky_route: route, ..Placement::default() },
    )
}

fn open_settings(gateways: u32, number: u32) -> Settings {
    let mut settings = Settings { gateway_count: gateways, gateway_index: number, ..settings() };
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings
}

struct TestHost {
    gateway: TestGateway,
    id: RequestId,
}

impl TestHost {
    fn new(list: Vec<BackendEntry>) -> Self {
        Self::with(open_settings(2, 0), 7, list)
    }

    fn with(settings: Settings, seed: u64, list: Vec<BackendEntry>) -> Self {
        let mut gateway = TestGateway::seeded(settings, seed, &[]);
        gateway.handle(Event::BackendList(list));
        Self { gateway, id: 0 }
    }

    /// Sends one request; returns the backend that it was forwarded to, and its number.
    fn request(&mut self, sticky_route: &str) -> (Option<Name>, RequestId) {
        self.id += 1;
        let actions = self.gateway.handle(Event::RequestReceived(IncomingRequest {
            id: self.id,
            customer: "c".into(),
            plan: "plain".into(),
            class: "safe".into(),
            units: 1.0,
            client_retry: false,
            timeout: 2000.0,
            first_gateway: 0,
            gateway_count: 1,
            sticky_route: sticky_route.into(),
        }));
        (first_attempt(&actions).map(|(_, name)| name), self.id)
    }

    /// Sends `count` requests, each served before the next; returns how many each backend served. Requests that wait
    /// are counted as `-`.
    fn serve_requests(&mut self, count: usize, sticky_route: &str) -> BTreeMap<String, usize> {
        let mut served = BTreeMap::new();
        for _ in 0..count {
            self.gateway.now += 1.0;
            let (to, id) = self.request(sticky_route);
            match to {
                Some(to) => {
                    *served.entry(to.to_string()).or_default() += 1;
                    self.gateway.end_attempt_after(5.0, id, 0, &to, AttemptOutcome::Served);
                }
                None => {
                    *served.entry("-".into()).or_default() += 1;
                    self.gateway.handle(Event::ClientDisconnected { id });
                }
            }
        }
        served
    }

    /// Sends requests until a backend has refused one connection, which ejects it.
    fn refuse_connections(&mut self, name: &str) {
        for _ in 0..400 {
            let (to, id) = self.request("");
            let Some(to) = to else { break };
            let failing = &*to == name;
            let outcome = if failing { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Served };
            let mut actions = self.gateway.end_attempt_after(1.0, id, 0, &to, outcome);
            while let Some((_, next)) = first_attempt(&actions) {
                actions = self.gateway.end_attempt_after(1.0, id, 1, &next, AttemptOutcome::Served);
            }
            if failing {
                break;
            }
        }
    }

    fn set_state(&mut self, name: &str, state: BackendState, started: Option<Millis>, like: &Placement) {
        self.gateway.handle(Event::BackendChanges(vec![placed_entry(name, state, started, like.clone())]));
    }
}

fn served_by(served: &BTreeMap<String, usize>) -> Vec<&str> {
    served.keys().map(String::as_str).collect()
}

#[test]
fn the_next_level_serves_only_when_a_level_has_no_eligible_backend() {
    let list = vec![
        ready_entry("a1", 0, BackendRole::Active, 1.0),
        ready_entry("a2", 0, BackendRole::Active, 1.0),
        ready_entry("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut host = TestHost::new(list.clone());
    assert_eq!(served_by(&host.serve_requests(40, "")), ["a1", "a2"]);
    host.refuse_connections("a1");
    assert_eq!(served_by(&host.serve_requests(10, "")), ["a2"], "one backend of the first level is enough");
    host.set_state("a2", BackendState::Draining, None, &list[1].placement);
    assert_eq!(served_by(&host.serve_requests(10, "")), ["b1"]);
    host.gateway.now += 30_000.0;
    host.set_state("a2", BackendState::Ready, None, &list[1].placement);
    let served = host.serve_requests(30, "");
    assert!(!served.contains_key("b1"), "{served:?}");
}

#[test]
fn a_level_whose_backends_all_drain_is_passed_over() {
    let mut list = vec![
        ready_entry("a1", 0, BackendRole::Active, 1.0),
        ready_entry("a2", 0, BackendRole::Active, 1.0),
        ready_entry("b1", 1, BackendRole::Active, 1.0),
    ];
    list[0].state = BackendState::Draining;
    list[1].state = BackendState::Draining;
    assert_eq!(served_by(&TestHost::new(list).serve_requests(10, "")), ["b1"]);
}

#[test]
fn a_standby_serves_once_every_active_backend_of_its_level_is_unavailable() {
    let list = vec![
        ready_entry("a1", 0, BackendRole::Active, 1.0),
        ready_entry("a2", 0, BackendRole::Active, 1.0),
        ready_entry("h1", 0, BackendRole::Standby, 1.0),
        ready_entry("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut host = TestHost::new(list.clone());
    host.refuse_connections("a1");
    assert_eq!(served_by(&host.serve_requests(10, "")), ["a2"]);
    host.refuse_connections("a2");
    assert_eq!(served_by(&host.serve_requests(10, "")), ["h1"], "the standby is used before the next level");
    // One active backend back, in slow start: it gets its share, the standby the rest, and nothing waits.
    let started = Some(host.gateway.now);
    host.set_state("a1", BackendState::Ready, started, &list[0].placement);
    let served = host.serve_requests(2000, "");
    let share = served["a1"] as f64 / 2000.0;
    assert!((0.02..0.2).contains(&share), "{served:?}");
    assert!(!served.contains_key("-") && !served.contains_key("b1"), "{served:?}");
    host.gateway.now += 30_000.0;
    let served = host.serve_requests(100, "");
    assert!(!served.contains_key("h1"), "warm again: {served:?}");
}

#[test]
fn two_spares_replace_three_failed_backends_until_these_are_back() {
    let list: Vec<_> = ["a1", "a2", "a3", "a4"]
        .iter()
        .map(|n| ready_entry(n, 0, BackendRole::Active, 1.0))
        .chain(["s1", "s2"].iter().map(|n| ready_entry(n, 0, BackendRole::Spare, 1.0)))
        .collect();
    let mut host = TestHost::new(list.clone());
    assert_eq!(served_by(&host.serve_requests(100, "")), ["a1", "a2", "a3", "a4"]);
    host.set_state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(
        served_by(&host.serve_requests(100, "")),
        ["a2", "a3", "a4", "s1"],
        "one spare replaces one backend"
    );
    for entry in &list[1..3] {
        host.set_state(&entry.name, BackendState::Draining, None, &entry.placement);
    }
    assert_eq!(served_by(&host.serve_requests(100, "")), ["a4", "s1", "s2"]);
    for entry in &list[..3] {
        host.set_state(&entry.name, BackendState::Ready, None, &entry.placement);
    }
    assert_eq!(served_by(&host.serve_requests(100, "")), ["a1", "a2", "a3", "a4"]);
    // A spare that drains itself replaces no backend.
    host.set_state("s1", BackendState::Draining, None, &list[4].placement);
    host.set_state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(served_by(&host.serve_requests(100, "")), ["a2", "a3", "a4", "s2"]);
}

#[test]
fn a_returning_level_is_not_overloaded_during_slow_start() {
    let mut list: Vec<_> =
        (1..=4).map(|n| ready_entry(&format!("a{n}"), 0, BackendRole::Active, 1.0)).collect();
    list.extend((1..=4).map(|n| ready_entry(&format!("b{n}"), 1, BackendRole::Active, 1.0)));
    let mut host = TestHost::new(list.clone());
    let started = Some(host.gateway.now);
    for entry in &list[..4] {
        host.set_state(&entry.name, BackendState::Ready, started, &entry.placement);
    }
    // All four have a fifth of their capacity: together they take a fifth of the requests at most, less a margin.
    let served = host.serve_requests(4000, "");
    let to_level: usize = served.iter().filter(|(n, _)| n.starts_with('a')).map(|(_, c)| c).sum();
    let share = to_level as f64 / 4000.0;
    assert!((0.1..0.36).contains(&share), "{served:?}");
    assert!(!served.contains_key("-"), "{served:?}");
    host.gateway.now += 20_000.0;
    assert!(host.serve_requests(100, "").keys().all(|n| n.starts_with('a')));
}

#[test]
fn a_light_backend_in_slow_start_gets_no_more_than_its_weights_share() {
    let light = Placement { weight: 0.1, ..Placement::default() };
    let list = vec![
        ready_entry("a1", 0, BackendRole::Active, 1.0),
        ready_entry("a2", 0, BackendRole::Active, 1.0),
        placed_entry("l", BackendState::Ready, Some(1000.0), light),
    ];
    let served = TestHost::new(list).serve_requests(4000, "");
    // Its weight is 0.1 of 2.1, and in slow start it gets a fifth to four tenths of that share: under 2%.
    let share = served.get("l").copied().unwrap_or(0) as f64 / 4000.0;
    assert!(share < 0.02 && served.contains_key("l"), "{served:?}");
}

#[test]
fn a_degraded_level_passes_requests_on_and_one_without_fault_keeps_them() {
    let list = vec![
        ready_entry("a1", 0, BackendRole::Active, 1.0),
        ready_entry("a2", 0, BackendRole::Active, 1.0),
        ready_entry("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut host = TestHost::new(list.clone());
    let fill = |host: &mut TestHost| (0..40).filter_map(|_| host.request("").0).collect::<Vec<_>>();
    let served = fill(&mut host);
    assert!(
        served.iter().all(|n| n.starts_with('a')) && served.len() < 40,
        "without fault, at its limit, and kept: {served:?}"
    );
    let mut host = TestHost::new(list);
    host.refuse_connections("a1");
    let served = fill(&mut host);
    assert!(served.iter().any(|n| n.starts_with('b')), "{served:?}");
}

#[test]
fn a_sticky_only_backend_serves_only_requests_with_its_route() {
    let list = vec![
        ready_entry("a1", 0, BackendRole::Active, 1.0),
        ready_entry("d1", 0, BackendRole::StickyOnly, 1.0),
        ready_entry("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut host = TestHost::new(list.clone());
    assert_eq!(served_by(&host.serve_requests(50, "")), ["a1"]);
    assert_eq!(served_by(&host.serve_requests(10, "r-d1")), ["d1"]);
    host.set_state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(
        served_by(&host.serve_requests(10, "")),
        ["b1"],
        "not even when its level has no other backend"
    );
    // Active again by a later list.
    host.set_state(
        "d1",
        BackendState::Ready,
        None,
        &ready_entry("d1", 0, BackendRole::Active, 1.0).placement,
    );
    assert_eq!(served_by(&host.serve_requests(10, "")), ["d1"]);
}

#[test]
fn a_sticky_request_falls_back_to_failover_route_then_group_then_any_backend() {
    let with = |name: &str, role, redirect: &str, group: &str| {
        let mut entry = ready_entry(name, 0, role, 1.0);
        entry.placement.failover_route = redirect.into();
        entry.placement.failover_group = group.into();
        entry
    };
    let list = vec![
        with("a1", BackendRole::Active, "r-x", "east"),
        with("a2", BackendRole::Active, "", "east"),
        with("a3", BackendRole::Active, "", "west"),
        with("x", BackendRole::StickyOnly, "", ""),
    ];
    let mut host = TestHost::new(list.clone());
    assert_eq!(served_by(&host.serve_requests(10, "r-a1")), ["a1"]);
    host.set_state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(
        served_by(&host.serve_requests(10, "r-a1")),
        ["x"],
        "the failover route, though it takes no other requests"
    );
    host.set_state("x", BackendState::Draining, None, &list[3].placement);
    assert_eq!(served_by(&host.serve_requests(10, "r-a1")), ["a2"], "one of the group");
    host.set_state("a2", BackendState::Draining, None, &list[1].placement);
    assert_eq!(served_by(&host.serve_requests(10, "r-a1")), ["a3"], "anywhere");
    assert_eq!(
        served_by(&host.serve_requests(10, "r-unknown")),
        ["a3"],
        "a route that the list does not name binds nothing"
    );
}

#[test]
fn strict_affinity_rejects_rather_than_serve_elsewhere() {
    let mut settings = open_settings(2, 0);
    settings.routing.strict_affinity = true;
    let list =
        vec![ready_entry("a1", 0, BackendRole::Active, 1.0), ready_entry("a2", 0, BackendRole::Active, 1.0)];
    let mut host = TestHost::with(settings, 3, list.clone());
    host.set_state("a1", BackendState::Draining, None, &list[0].placement);
    let (to, id) = host.request("r-a1");
    assert_eq!(to, None);
    let actions = host.gateway.advance(900.0, &[id]);
    assert!(is_rejected(&actions, id), "{actions:?}");
    assert_eq!(served_by(&host.serve_requests(5, "r-unknown")), ["a2"]);
}

#[test]
fn a_backend_without_start_time_enters_slow_start_after_it_refused_connections() {
    let mut settings = open_settings(2, 0);
    settings.routing.assume_restart = true;
    let list =
        vec![ready_entry("a1", 0, BackendRole::Active, 1.0), ready_entry("a2", 0, BackendRole::Active, 1.0)];
    let mut host = TestHost::with(settings, 3, list);
    host.refuse_connections("a1");
    host.gateway.now += 1000.0;
    let served = host.serve_requests(1000, "");
    let share = served.get("a1").copied().unwrap_or(0) as f64 / 1000.0;
    assert!((0.03..0.25).contains(&share), "{served:?}");
    host.gateway.now += 20_000.0;
    let served = host.serve_requests(1000, "");
    assert!(served["a1"] > 400, "{served:?}");
}

#[test]
fn a_backend_away_for_long_enters_slow_start_like_one_away_for_a_moment() {
    let mut settings = open_settings(2, 0);
    settings.routing.assume_restart = true;
    let list =
        vec![ready_entry("a1", 0, BackendRole::Active, 1.0), ready_entry("a2", 0, BackendRole::Active, 1.0)];
    let mut host = TestHost::with(settings, 3, list);
    // Each refusal ejects it for longer, in the end for longer than the slow start.
    for _ in 0..60 {
        host.refuse_connections("a1");
        host.gateway.now += 25_000.0;
    }
    let served = host.serve_requests(1000, "");
    let share = served.get("a1").copied().unwrap_or(0) as f64 / 1000.0;
    assert!(share < 0.25, "{served:?}");
}

/// The largest relative difference between the share of requests that a backend served and its share of the weights.
fn weight_error(gateways: u32, each: usize, balance: LoadBalancing, weights: &[f64]) -> f64 {
    let list: Vec<_> = weights
        .iter()
        .enumerate()
        .map(|(at, w)| ready_entry(&format!("n{at:02}"), 0, BackendRole::Active, *w))
        .collect();
    let mut served: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..gateways {
        let mut settings = open_settings(gateways, number);
        settings.routing.load_balancing = balance;
        let mut host = TestHost::with(settings, 1000 + u64::from(number), list.clone());
        host.serve_requests(each, "").into_iter().for_each(|(n, c)| *served.entry(n).or_default() += c);
    }
    let total = weights.iter().sum::<f64>();
    let whole = f64::from(gateways) * each as f64;
    let error = |(at, w): (usize, &f64)| {
        let got = served.get(&format!("n{at:02}")).copied().unwrap_or(0) as f64 / whole;
        (got / (w / total) - 1.0).abs()
    };
    weights.iter().enumerate().map(error).fold(0.0, f64::max)
}

#[test]
fn all_gateways_together_distribute_requests_by_weight() {
    let weights = [1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0];
    let heavy = [1.0, 1.0, 1.0, 1.0, 30.0, 1.0, 1.0, 1.0];
    for (gateways, each, most) in [(2, 2000, 0.03), (20, 4000, 0.10), (500, 200, 0.10)] {
        for (name, weights) in [("even steps", &weights[..]), ("one heavy", &heavy[..])] {
            for balance in [LoadBalancing::LeastInFlight, LoadBalancing::WeightedRoundRobin] {
                let error = weight_error(gateways, each, balance, weights);
                println!("{gateways} gateways, {name}, {balance:?}: {:.2}%", error * 100.0);
                assert!(error < most, "{gateways} gateways, {name}, {balance:?}: {error}");
            }
        }
    }
    assert!(weight_error(2, 2000, LoadBalancing::WeightedLeastInFlight, &weights) < 0.03);
}

#[test]
fn weighted_least_in_flight_counts_requests_relative_to_weight() {
    let mut settings = open_settings(1, 0);
    settings.routing.load_balancing = LoadBalancing::WeightedLeastInFlight;
    let list =
        vec![ready_entry("a1", 0, BackendRole::Active, 2.0), ready_entry("a2", 0, BackendRole::Active, 1.0)];
    let mut host = TestHost::with(settings, 3, list);
    let mut served: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..6 {
        let (to, _) = host.request("");
        *served.entry(to.expect("a backend below its limit").to_string()).or_default() += 1;
    }
    assert_eq!((served["a1"], served["a2"]), (4, 2), "none served yet: twice the weight holds twice as many");
}
