//! Settings that change while the gateway handles requests, and a gateway that shuts down.

mod common;
use common::*;
use doorcourse::*;
use std::collections::HashMap;

/// Several gateways on one counter that responds at once.
struct Fleet {
    gateways: Vec<TestGateway>,
    counters: HashMap<u64, f64>,
}

impl Fleet {
    fn new(count: u32) -> Self {
        let gateway = |number| {
            let settings = Settings {
                gateway_count: count,
                gateway_index: number,
                responses_report_units: true,
                ..settings()
            };
            TestGateway::seeded(
                settings,
                u64::from(number) + 11,
                &["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"],
            )
        };
        Self { gateways: (0..count).map(gateway).collect(), counters: HashMap::new() }
    }

    /// Executes counter calls and serves attempts at once; returns how many requests were forwarded.
    fn execute(&mut self, gateway: usize, mut actions: Vec<Action>) -> usize {
        let mut sent = 0;
        while let Some(action) = actions.pop() {
            match action {
                Action::AddToCounter { counter: name, amount, .. } => {
                    let total = self.counters.entry(name).or_default();
                    *total += amount;
                    actions.extend(self.gateways[gateway].counter_responds(name, *total));
                }
                Action::SendAttempt { id, backend, .. } => {
                    sent += 1;
                    actions.extend(self.gateways[gateway].serve(id, &backend, 1.0));
                }
                _ => {}
            }
        }
        sent
    }

    fn advance(&mut self, span: Millis) {
        for gateway in 0..self.gateways.len() {
            self.gateways[gateway].now += span;
            let actions = self.gateways[gateway].handle(Event::TimerExpired { token: 1 });
            self.execute(gateway, actions);
        }
    }

    fn request(&mut self, gateway: usize, id: RequestId, plan: &str) -> usize {
        let gateway_count = self.gateways.len() as u32;
        let actions = self.gateways[gateway].request_through(id, "c", plan, "safe", false, gateway_count);
        self.execute(gateway, actions)
    }

    fn change(&mut self, change: &dyn Fn(&mut Settings)) {
        let count = self.gateways.len() as u32;
        for gateway in 0..self.gateways.len() {
            let mut next = Settings {
                gateway_count: count,
                gateway_index: gateway as u32,
                responses_report_units: true,
                ..settings()
            };
            change(&mut next);
            let actions = self.gateways[gateway].handle(Event::SettingsChanged(Box::new(next)));
            self.execute(gateway, actions);
        }
    }
}

/// A token bucket that records how low it has been.
struct ReferenceBucket {
    units: f64,
    capacity: f64,
    rate: f64,
    min_units: f64,
}

impl ReferenceBucket {
    fn new(capacity: f64, rate: f64) -> Self {
        Self { units: capacity, capacity, rate, min_units: capacity }
    }

    fn step(&mut self, ms: f64, taken: usize) {
        self.units = (self.units + self.rate * ms / 1000.0).min(self.capacity) - taken as f64;
        self.min_units = self.min_units.min(self.units);
    }
}

#[test]
fn plans_changed_every_200_ms_grant_no_more_than_the_larger_plan() {
    for (name, index) in [("plain", 0), ("ceiling", 1)] {
        let mut fleet = Fleet::new(3);
        let plan = settings().plans[index].clone();
        let factor = 3.0;
        let mut id = 0;
        let mut sent_in_all = 0;
        // The bounds of the larger plan: the quota with one burst more (docs/design.md), the ceiling as it is.
        let mut quota = ReferenceBucket::new(2.0 * plan.burst * factor, plan.rate * factor);
        let mut ceiling = ReferenceBucket::new(plan.ceiling_burst * factor, plan.ceiling_rate * factor);
        for step in 0..2000 {
            if step % 20 == 0 {
                let times = if step % 40 == 0 { factor } else { 1.0 };
                fleet.change(&|settings| {
                    let plan = &mut settings.plans[index];
                    plan.rate *= times;
                    plan.burst *= if times > 1.0 { 2.0 } else { 1.0 };
                    plan.ceiling_rate *= times;
                    plan.ceiling_burst *= times;
                });
            }
            fleet.advance(10.0);
            let mut sent = 0;
            for gateway in 0..3 {
                id += 1;
                sent += fleet.request(gateway, id, name);
            }
            sent_in_all += sent;
            quota.step(10.0, sent);
            ceiling.step(10.0, sent);
        }
        assert!(quota.min_units >= -1.0, "{name}: {:.1} beyond the bound", -quota.min_units);
        assert!(
            index == 0 || ceiling.min_units >= -plan.ceiling_slack,
            "{name}: {:.1} below its ceiling",
            -ceiling.min_units
        );
        // At least the smaller plan's rate is granted.
        assert!(sent_in_all as f64 >= plan.rate * 20.0 * 0.6, "{name}: only {sent_in_all} forwarded in 20 s");
    }
}

#[test]
fn a_raised_plan_grants_more_at_once_and_a_lowered_one_returns_leases() {
    let mut fleet = Fleet::new(2);
    let granted = |fleet: &mut Fleet, from: u64| {
        (0..60).map(|n| fleet.request(n % 2, from + n as u64, "plain")).sum::<usize>()
    };
    assert_eq!(granted(&mut fleet, 100), 10);
    fleet.change(&|s| s.plans[0].burst = 30.0);
    let more = granted(&mut fleet, 200);
    // Each gateway reports its use to the new counter and learns of the other's use one call later; until then it may
    // admit less than the plan allows.
    assert!((14..=20).contains(&more), "{more} of the 20 more");
    // The plan's burst falls to a fifth while a lease is held: the rest of the lease is not spent.
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.request(0, 1, "plain"), 1);
    assert!(fleet.gateways[0].decisions.customers().any(|c| c.leased_units >= 4.0));
    fleet.change(&|s| s.plans[0].burst = 2.0);
    assert!(fleet.gateways[0].decisions.customers().all(|c| c.leased_units == 0.0));
    let rest = granted(&mut fleet, 300);
    assert!(rest <= 2, "{rest} after one of two was used");
}

#[test]
fn requests_in_flight_end_under_a_removed_class_and_plan() {
    let mut gateway = TestGateway::new(settings(), &["a1", "b1"]);
    let backend = gateway.forward(1, "c", "plain", "unsafe");
    let backend_2 = gateway.forward(2, "d", "capped", "safe");
    for _ in 0..3 {
        let mut next = settings();
        next.classes.retain(|c| &*c.name != "unsafe");
        next.plans.retain(|p| &*p.name != "plain");
        gateway.handle(Event::SettingsChanged(Box::new(next)));
    }
    assert!(
        is_rejected(&gateway.request(3, "c", "plain", "safe"), 3),
        "the plan is removed for new requests"
    );
    assert!(is_rejected(&gateway.request(4, "d", "capped", "unsafe"), 4), "and so is the class");
    // The request may have been executed: it is neither retried nor rejected.
    assert!(is_failed(&gateway.end_attempt(1, 0, &backend, AttemptOutcome::ConnectionLost), 1));
    gateway.serve(2, &backend_2, 1.0);
    assert_eq!(
        gateway.decisions.customers().find(|c| &*c.name == "d").map(|c| c.plan.to_string()).as_deref(),
        Some("capped")
    );
}

#[test]
fn unusable_settings_change_nothing() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    for next in [Settings { gateway_index: 1, ..settings() }, Settings { classes: Vec::new(), ..settings() }]
    {
        let actions = gateway.handle(Event::SettingsChanged(Box::new(next)));
        assert!(matches!(&actions[..], [Action::Log(line)] if line.contains("refused")), "{actions:?}");
    }
    gateway.forward(1, "c", "plain", "safe");
}

#[test]
fn a_gateway_that_drains_returns_what_it_did_not_use() {
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.request(0, 1, "plain"), 1);
    let units: f64 = fleet.counters.values().sum();
    assert_eq!(units, 5.0, "its even part of the burst");
    let actions = fleet.gateways[0].handle(Event::ShutdownStarted);
    fleet.execute(0, actions);
    assert_eq!(fleet.counters.values().sum::<f64>(), 1.0, "what was used stays counted");
    // New requests lease their own units only, and no lease is held.
    assert_eq!(fleet.request(0, 2, "plain"), 1);
    assert!(fleet.gateways[0].decisions.customers().all(|c| c.leased_units == 0.0));
    // The other gateway can use all the rest.
    let rest: usize = (10..40).map(|id| fleet.request(1, id, "plain")).sum();
    assert_eq!(rest, 8);
}

#[test]
fn more_gateways_while_the_counter_is_unavailable_split_the_fallback_budget_further() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "b1", "b2"]);
    let spend = |gateway: &mut TestGateway, from: u64, gateway_count| {
        (from..from + 20)
            .filter(|id| {
                let actions = gateway.request_through(*id, "c", "plain", "safe", false, gateway_count);
                let actions = match first_counter_call(&actions) {
                    Some((name, _)) => {
                        let mut actions = gateway.handle(Event::CounterCallEnded {
                            counter: name,
                            outcome: CounterOutcome::Unknown,
                            latency: 50.0,
                        });
                        gateway.now += 51.0;
                        actions.extend(gateway.handle(Event::TimerExpired { token: 1 }));
                        actions
                    }
                    None => actions,
                };
                if let Some((id, backend)) = first_attempt(&actions) {
                    gateway.serve(id, &backend, 1.0);
                }
                count_attempts(&actions) > 0
            })
            .count()
    };
    let first = spend(&mut gateway, 1, 2);
    assert!((4..=8).contains(&first), "{first}: half of ten, and what the rate adds");
    let mut next = settings();
    next.gateway_count = 10;
    gateway.handle(Event::SettingsChanged(Box::new(next)));
    let more = spend(&mut gateway, 100, 10);
    assert!(more <= 1, "{more} more after the fleet grew: a fallback budget was granted anew");
}

/// The counter loses its totals exactly when the plans change: each gateway reports again what it used, and the ceiling
/// holds.
#[test]
fn a_counter_emptied_at_a_settings_change_does_not_exceed_the_ceiling() {
    let mut fleet = Fleet::new(3);
    let plan = settings().plans[1].clone();
    let mut ceiling = ReferenceBucket::new(plan.ceiling_burst * 2.0, plan.ceiling_rate * 2.0);
    let mut id = 0;
    let mut after = 0;
    for step in 0..1000 {
        if step == 100 {
            fleet.counters.clear();
            fleet.change(&|settings| {
                let plan = &mut settings.plans[1];
                plan.rate *= 2.0;
                plan.burst *= 1.5;
                plan.ceiling_rate *= 2.0;
                plan.ceiling_burst *= 2.0;
            });
        }
        fleet.advance(10.0);
        let mut sent = 0;
        for gateway in 0..3 {
            id += 1;
            sent += fleet.request(gateway, id, "ceiling");
        }
        ceiling.step(10.0, sent);
        after += if step >= 100 { sent } else { 0 };
    }
    assert!(ceiling.min_units >= -plan.ceiling_slack, "{:.1} below its ceiling", -ceiling.min_units);
    assert!(after as f64 >= plan.rate * 2.0 * 9.0 * 0.6, "only {after} sent on after the change");
}
