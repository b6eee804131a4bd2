//! Tiers, standbys, spares, weights, bound requests.

mod common;
use common::*;
use doorcourse::*;
use std::collections::BTreeMap;

fn place(name: &str, state: BackendState, started: Option<Millis>, place: Placement) -> BackendEntry {
    BackendEntry { placement: place, ..backend(name, state, started) }
}

fn ready(name: &str, tier: u32, role: BackendRole, weight: f64) -> BackendEntry {
    let (route, state) = (format!("r-{name}").as_str().into(), BackendState::Ready);
    place(
        name,
        state,
        None,
        Placement { priority_level: tier, role, weight, sticky_route: route, ..Placement::default() },
    )
}

fn open_settings(gateways: u32, number: u32) -> Settings {
    let mut settings = Settings { gateway_count: gateways, gateway_index: number, ..settings() };
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings
}

struct Fleet {
    door: Door,
    id: RequestId,
}

impl Fleet {
    fn new(list: Vec<BackendEntry>) -> Self {
        Self::with(open_settings(2, 0), 7, list)
    }

    fn with(settings: Settings, seed: u64, list: Vec<BackendEntry>) -> Self {
        let mut door = Door::seeded(settings, seed, &[]);
        door.tell(Event::BackendList(list));
        Self { door, id: 0 }
    }

    /// One request; where it went, and its number.
    fn ask(&mut self, bound: &str) -> (Option<Name>, RequestId) {
        self.id += 1;
        let did = self.door.tell(Event::RequestReceived(IncomingRequest {
            id: self.id,
            customer: "c".into(),
            plan: "plain".into(),
            class: "safe".into(),
            units: 1.0,
            client_retry: false,
            timeout: 2000.0,
            first_gateway: 0,
            gateway_count: 1,
            sticky_route: bound.into(),
        }));
        (sent(&did).map(|(_, name)| name), self.id)
    }

    /// So many requests, each answered before the next; how many went where. What waits is let go.
    fn served(&mut self, count: usize, bound: &str) -> BTreeMap<String, usize> {
        let mut went = BTreeMap::new();
        for _ in 0..count {
            self.door.now += 1.0;
            let (to, id) = self.ask(bound);
            match to {
                Some(to) => {
                    *went.entry(to.to_string()).or_default() += 1;
                    self.door.end_after(5.0, id, 0, &to, AttemptOutcome::Served);
                }
                None => {
                    *went.entry("-".into()).or_default() += 1;
                    self.door.tell(Event::ClientDisconnected { id });
                }
            }
        }
        went
    }

    /// Has a backend refuse connections until it is left alone for a while.
    fn fail(&mut self, name: &str) {
        for _ in 0..400 {
            let (to, id) = self.ask("");
            let Some(to) = to else { break };
            let failing = &*to == name;
            let outcome = if failing { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Served };
            let mut did = self.door.end_after(1.0, id, 0, &to, outcome);
            while let Some((_, next)) = sent(&did) {
                did = self.door.end_after(1.0, id, 1, &next, AttemptOutcome::Served);
            }
            if failing {
                break;
            }
        }
    }

    fn state(&mut self, name: &str, state: BackendState, started: Option<Millis>, like: &Placement) {
        self.door.tell(Event::BackendChanges(vec![place(name, state, started, like.clone())]));
    }
}

fn keys(went: &BTreeMap<String, usize>) -> Vec<&str> {
    went.keys().map(String::as_str).collect()
}

#[test]
fn a_tier_serves_while_it_has_a_usable_backend_and_the_next_only_then() {
    let list = vec![
        ready("a1", 0, BackendRole::Active, 1.0),
        ready("a2", 0, BackendRole::Active, 1.0),
        ready("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut fleet = Fleet::new(list.clone());
    assert_eq!(keys(&fleet.served(40, "")), ["a1", "a2"]);
    fleet.fail("a1");
    assert_eq!(keys(&fleet.served(10, "")), ["a2"], "one left of the first tier is enough");
    fleet.state("a2", BackendState::Draining, None, &list[1].placement);
    assert_eq!(keys(&fleet.served(10, "")), ["b1"]);
    fleet.door.now += 30_000.0;
    fleet.state("a2", BackendState::Ready, None, &list[1].placement);
    let went = fleet.served(30, "");
    assert!(!went.contains_key("b1"), "{went:?}");
}

#[test]
fn a_set_with_all_members_stopped_is_passed_over() {
    let mut list = vec![
        ready("a1", 0, BackendRole::Active, 1.0),
        ready("a2", 0, BackendRole::Active, 1.0),
        ready("b1", 1, BackendRole::Active, 1.0),
    ];
    list[0].state = BackendState::Draining;
    list[1].state = BackendState::Draining;
    assert_eq!(keys(&Fleet::new(list).served(10, "")), ["b1"]);
}

#[test]
fn a_standby_serves_once_every_primary_of_its_tier_is_down() {
    let list = vec![
        ready("a1", 0, BackendRole::Active, 1.0),
        ready("a2", 0, BackendRole::Active, 1.0),
        ready("h1", 0, BackendRole::Standby, 1.0),
        ready("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut fleet = Fleet::new(list.clone());
    fleet.fail("a1");
    assert_eq!(keys(&fleet.served(10, "")), ["a2"]);
    fleet.fail("a2");
    assert_eq!(keys(&fleet.served(10, "")), ["h1"], "the standby goes before the next tier");
    // One primary back, cold: it gets what its warmth allows, the standby the rest, and nothing waits.
    let born = Some(fleet.door.now);
    fleet.state("a1", BackendState::Ready, born, &list[0].placement);
    let went = fleet.served(2000, "");
    let cold = went["a1"] as f64 / 2000.0;
    assert!((0.02..0.2).contains(&cold), "{went:?}");
    assert!(!went.contains_key("-") && !went.contains_key("b1"), "{went:?}");
    fleet.door.now += 30_000.0;
    let went = fleet.served(100, "");
    assert!(!went.contains_key("h1"), "warm again: {went:?}");
}

#[test]
fn two_spares_stand_in_for_three_failures_and_go_when_these_are_back() {
    let list: Vec<_> = ["a1", "a2", "a3", "a4"]
        .iter()
        .map(|n| ready(n, 0, BackendRole::Active, 1.0))
        .chain(["s1", "s2"].iter().map(|n| ready(n, 0, BackendRole::Spare, 1.0)))
        .collect();
    let mut fleet = Fleet::new(list.clone());
    assert_eq!(keys(&fleet.served(100, "")), ["a1", "a2", "a3", "a4"]);
    fleet.state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(keys(&fleet.served(100, "")), ["a2", "a3", "a4", "s1"], "one stands in for one");
    for entry in &list[1..3] {
        fleet.state(&entry.name, BackendState::Draining, None, &entry.placement);
    }
    assert_eq!(keys(&fleet.served(100, "")), ["a4", "s1", "s2"]);
    for entry in &list[..3] {
        fleet.state(&entry.name, BackendState::Ready, None, &entry.placement);
    }
    assert_eq!(keys(&fleet.served(100, "")), ["a1", "a2", "a3", "a4"]);
    // A spare that is down itself stands in for nobody.
    fleet.state("s1", BackendState::Draining, None, &list[4].placement);
    fleet.state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(keys(&fleet.served(100, "")), ["a2", "a3", "a4", "s2"]);
}

#[test]
fn a_returning_tier_is_not_pushed_over_while_cold() {
    let mut list: Vec<_> = (1..=4).map(|n| ready(&format!("a{n}"), 0, BackendRole::Active, 1.0)).collect();
    list.extend((1..=4).map(|n| ready(&format!("b{n}"), 1, BackendRole::Active, 1.0)));
    let mut fleet = Fleet::new(list.clone());
    let born = Some(fleet.door.now);
    for entry in &list[..4] {
        fleet.state(&entry.name, BackendState::Ready, born, &entry.placement);
    }
    // All four have a fifth of their capacity: together they take a fifth of the sends at most, less a margin.
    let went = fleet.served(4000, "");
    let cold: usize = went.iter().filter(|(n, _)| n.starts_with('a')).map(|(_, c)| c).sum();
    let share = cold as f64 / 4000.0;
    assert!((0.1..0.36).contains(&share), "{went:?}");
    assert!(!went.contains_key("-"), "{went:?}");
    fleet.door.now += 20_000.0;
    assert!(fleet.served(100, "").keys().all(|n| n.starts_with('a')));
}

#[test]
fn a_light_cold_backend_gets_no_more_than_its_weight_beside_its_warmth() {
    let light = Placement { weight: 0.1, ..Placement::default() };
    let list = vec![
        ready("a1", 0, BackendRole::Active, 1.0),
        ready("a2", 0, BackendRole::Active, 1.0),
        place("l", BackendState::Ready, Some(1000.0), light),
    ];
    let went = Fleet::new(list).served(4000, "");
    // A tenth of 2.1 parts, of that a fifth to four tenths while it warms: under 2%.
    let share = went.get("l").copied().unwrap_or(0) as f64 / 4000.0;
    assert!(share < 0.02 && went.contains_key("l"), "{went:?}");
}

#[test]
fn a_short_tier_passes_on_what_it_has_no_room_for_and_a_whole_one_keeps_it() {
    let list = vec![
        ready("a1", 0, BackendRole::Active, 1.0),
        ready("a2", 0, BackendRole::Active, 1.0),
        ready("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut fleet = Fleet::new(list.clone());
    let fill = |fleet: &mut Fleet| (0..40).filter_map(|_| fleet.ask("").0).collect::<Vec<_>>();
    let went = fill(&mut fleet);
    assert!(went.iter().all(|n| n.starts_with('a')) && went.len() < 40, "whole, full, and kept: {went:?}");
    let mut fleet = Fleet::new(list);
    fleet.fail("a1");
    let went = fill(&mut fleet);
    assert!(went.iter().any(|n| n.starts_with('b')), "{went:?}");
}

#[test]
fn a_disabled_backend_serves_only_what_is_bound_to_it() {
    let list = vec![
        ready("a1", 0, BackendRole::Active, 1.0),
        ready("d1", 0, BackendRole::StickyOnly, 1.0),
        ready("b1", 1, BackendRole::Active, 1.0),
    ];
    let mut fleet = Fleet::new(list.clone());
    assert_eq!(keys(&fleet.served(50, "")), ["a1"]);
    assert_eq!(keys(&fleet.served(10, "r-d1")), ["d1"]);
    fleet.state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(keys(&fleet.served(10, "")), ["b1"], "not even when its tier has nothing else");
    // Enabled again by a later list.
    fleet.state("d1", BackendState::Ready, None, &ready("d1", 0, BackendRole::Active, 1.0).placement);
    assert_eq!(keys(&fleet.served(10, "")), ["d1"]);
}

#[test]
fn a_bound_request_goes_home_to_the_successor_to_the_group_then_anywhere() {
    let with = |name: &str, role, redirect: &str, group: &str| {
        let mut entry = ready(name, 0, role, 1.0);
        (entry.placement.failover_route, entry.placement.failover_group) = (redirect.into(), group.into());
        entry
    };
    let list = vec![
        with("a1", BackendRole::Active, "r-x", "east"),
        with("a2", BackendRole::Active, "", "east"),
        with("a3", BackendRole::Active, "", "west"),
        with("x", BackendRole::StickyOnly, "", ""),
    ];
    let mut fleet = Fleet::new(list.clone());
    assert_eq!(keys(&fleet.served(10, "r-a1")), ["a1"]);
    fleet.state("a1", BackendState::Draining, None, &list[0].placement);
    assert_eq!(keys(&fleet.served(10, "r-a1")), ["x"], "the successor, though it is disabled otherwise");
    fleet.state("x", BackendState::Draining, None, &list[3].placement);
    assert_eq!(keys(&fleet.served(10, "r-a1")), ["a2"], "one of the group");
    fleet.state("a2", BackendState::Draining, None, &list[1].placement);
    assert_eq!(keys(&fleet.served(10, "r-a1")), ["a3"], "anywhere");
    assert_eq!(
        keys(&fleet.served(10, "r-nobody")),
        ["a3"],
        "a route that the list does not know binds nothing"
    );
}

#[test]
fn a_strict_binding_is_refused_rather_than_broken() {
    let mut settings = open_settings(2, 0);
    settings.routing.strict_affinity = true;
    let list = vec![ready("a1", 0, BackendRole::Active, 1.0), ready("a2", 0, BackendRole::Active, 1.0)];
    let mut fleet = Fleet::with(settings, 3, list.clone());
    fleet.state("a1", BackendState::Draining, None, &list[0].placement);
    let (to, id) = fleet.ask("r-a1");
    assert_eq!(to, None);
    let did = fleet.door.pass(900.0, &[id]);
    assert!(refused(&did, id), "{did:?}");
    assert_eq!(keys(&fleet.served(5, "r-nobody")), ["a2"]);
}

#[test]
fn a_backend_whose_start_nobody_tells_counts_as_cold_after_it_refused_connections() {
    let mut settings = open_settings(2, 0);
    settings.routing.assume_restart = true;
    let list = vec![ready("a1", 0, BackendRole::Active, 1.0), ready("a2", 0, BackendRole::Active, 1.0)];
    let mut fleet = Fleet::with(settings, 3, list);
    fleet.fail("a1");
    fleet.door.now += 1000.0;
    let went = fleet.served(1000, "");
    let share = went.get("a1").copied().unwrap_or(0) as f64 / 1000.0;
    assert!((0.03..0.25).contains(&share), "{went:?}");
    fleet.door.now += 20_000.0;
    let went = fleet.served(1000, "");
    assert!(went["a1"] > 400, "{went:?}");
}

#[test]
fn a_backend_that_was_away_for_long_is_as_cold_as_one_that_was_away_for_a_moment() {
    let mut settings = open_settings(2, 0);
    settings.routing.assume_restart = true;
    let list = vec![ready("a1", 0, BackendRole::Active, 1.0), ready("a2", 0, BackendRole::Active, 1.0)];
    let mut fleet = Fleet::with(settings, 3, list);
    // Each refusal has it left alone for longer, in the end for longer than a cold backend takes to warm.
    for _ in 0..60 {
        fleet.fail("a1");
        fleet.door.now += 25_000.0;
    }
    let went = fleet.served(1000, "");
    let share = went.get("a1").copied().unwrap_or(0) as f64 / 1000.0;
    assert!(share < 0.25, "{went:?}");
}

/// The largest difference between a backend's share and its weight's, as a part of the latter.
fn spread_error(gateways: u32, each: usize, balance: LoadBalancing, weights: &[f64]) -> f64 {
    let list: Vec<_> = weights
        .iter()
        .enumerate()
        .map(|(at, w)| ready(&format!("n{at:02}"), 0, BackendRole::Active, *w))
        .collect();
    let mut went: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..gateways {
        let mut settings = open_settings(gateways, number);
        settings.routing.load_balancing = balance;
        let mut fleet = Fleet::with(settings, 1000 + u64::from(number), list.clone());
        fleet.served(each, "").into_iter().for_each(|(n, c)| *went.entry(n).or_default() += c);
    }
    let (total, whole) = (weights.iter().sum::<f64>(), f64::from(gateways) * each as f64);
    let error = |(at, w): (usize, &f64)| {
        let got = went.get(&format!("n{at:02}")).copied().unwrap_or(0) as f64 / whole;
        (got / (w / total) - 1.0).abs()
    };
    weights.iter().enumerate().map(error).fold(0.0, f64::max)
}

#[test]
fn all_gateways_together_spread_by_weight() {
    let weights = [1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0];
    let heavy = [1.0, 1.0, 1.0, 1.0, 30.0, 1.0, 1.0, 1.0];
    for (gateways, each, most) in [(2, 2000, 0.03), (20, 4000, 0.10), (500, 200, 0.10)] {
        for (name, weights) in [("even steps", &weights[..]), ("one heavy", &heavy[..])] {
            for balance in [LoadBalancing::LeastInFlight, LoadBalancing::WeightedRoundRobin] {
                let error = spread_error(gateways, each, balance, weights);
                println!("{gateways} gateways, {name}, {balance:?}: {:.2}%", error * 100.0);
                assert!(error < most, "{gateways} gateways, {name}, {balance:?}: {error}");
            }
        }
    }
    assert!(spread_error(2, 2000, LoadBalancing::WeightedLeastInFlight, &weights) < 0.03);
}

#[test]
fn busyness_counts_what_is_out_beside_the_weight() {
    let mut settings = open_settings(1, 0);
    settings.routing.load_balancing = LoadBalancing::WeightedLeastInFlight;
    let list = vec![ready("a1", 0, BackendRole::Active, 2.0), ready("a2", 0, BackendRole::Active, 1.0)];
    let mut fleet = Fleet::with(settings, 3, list);
    let mut went: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..6 {
        let (to, _) = fleet.ask("");
        *went.entry(to.expect("room").to_string()).or_default() += 1;
    }
    assert_eq!((went["a1"], went["a2"]), (4, 2), "none answered yet: twice the weight holds twice as many");
}
