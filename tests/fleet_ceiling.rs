//! A customer of many gateways under a ceiling while the counter becomes unavailable, loses responses or its totals,
//! and one gateway restarts. Only the ceiling is checked, against the requests that all gateways forward together.

mod common;
use common::*;
use doorcourse::*;
use std::collections::BTreeMap;

const GATEWAYS: u32 = 25;

/// A generator with the same draws for the same seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Faults of the counter; times in ms from the start.
#[derive(Clone, Copy, Debug)]
struct CounterFault {
    unavailable: (Millis, Millis),
    /// This share of the responses is lost; the units are added.
    lost: f64,
    /// The counter loses its totals when it becomes available again.
    emptied: bool,
    /// A gateway restarts when the counter becomes available again.
    restart: bool,
}

struct Fleet {
    gateways: Vec<TestGateway>,
    random: Random,
    /// Each counter's total and until when it is kept.
    counters: BTreeMap<u64, (f64, Millis)>,
    fault: CounterFault,
    start: Millis,
    sent: Vec<Millis>,
}

fn plan() -> Plan {
    Plan {
        rate: 16.0,
        burst: 27.0,
        ceiling_rate: 30.0,
        ceiling_burst: 50.0,
        ceiling_slack: 5.0,
        ..settings().plans[1].clone()
    }
}

fn gateway(number: u32, seed: u64) -> TestGateway {
    let mut settings = Settings { gateway_count: GATEWAYS, gateway_index: number, ..settings() };
    settings.plans[1] = plan();
    TestGateway::seeded(settings, seed, &["a1", "a2", "a3", "a4"])
}

impl Fleet {
    fn new(seed: u64, fault: CounterFault) -> Self {
        let gateways = (0..GATEWAYS).map(|n| gateway(n, seed * 1000 + u64::from(n))).collect();
        let random = Random(seed);
        let counters = BTreeMap::new();
        Self { gateways, random, counters, fault, start: 1000.0, sent: Vec::new() }
    }

    /// Executes the actions of a gateway and the actions that these lead to.
    fn execute(&mut self, index: usize, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::SendAttempt { id, backend, .. } => {
                        self.sent.push(self.gateways[index].now);
                        next.extend(self.gateways[index].end_attempt(
                            id,
                            0,
                            &backend,
                            AttemptOutcome::Served,
                        ));
                    }
                    Action::AddToCounter { counter: name, amount, time_to_live } => {
                        next.extend(self.add_to_counter(index, name, amount, time_to_live));
                    }
                    _ => {}
                }
            }
            actions = next;
        }
    }

    fn add_to_counter(&mut self, index: usize, name: u64, amount: f64, time_to_live: Millis) -> Vec<Action> {
        let now = self.gateways[index].now;
        let (from, back) = self.fault.unavailable;
        let (outcome, latency) = if now >= self.start + from && now < self.start + back {
            (CounterOutcome::NotAdded, 0.0)
        } else {
            let kept = self.counters.get(&name).filter(|(_, until)| now < *until);
            let (total, until) =
                kept.map_or((amount, now + time_to_live), |(total, until)| (total + amount, *until));
            self.counters.insert(name, (total, until));
            let lost = self.random.next() < self.fault.lost;
            if lost { (CounterOutcome::Unknown, 50.0) } else { (CounterOutcome::Total(total), 2.0) }
        };
        self.gateways[index].handle(Event::CounterCallEnded { counter: name, outcome, latency })
    }

    /// Runs for `span` ms with `rate` requests a second, spread unevenly over the gateways.
    fn play(&mut self, span: Millis, rate: f64) {
        let mut id = 0;
        let mut next = self.start;
        let mut is_back = false;
        let mut now = self.start;
        while now < self.start + span {
            now += 5.0;
            if !std::mem::replace(&mut is_back, now >= self.start + self.fault.unavailable.1) && is_back {
                if self.fault.emptied {
                    self.counters.clear();
                }
                if self.fault.restart {
                    self.gateways[0] = gateway(0, 77);
                }
            }
            for index in 0..self.gateways.len() {
                self.gateways[index].now = now;
                if (now / 5.0) as usize % 5 == index % 5 {
                    let actions = self.gateways[index].handle(Event::TimerExpired { token: 1 });
                    self.execute(index, actions);
                }
            }
            while next < now {
                next += -self.random.next().max(1e-9).ln() / rate * 1000.0;
                id += 1;
                let index = (self.random.next().powi(2) * self.gateways.len() as f64) as usize;
                let actions =
                    self.gateways[index].request_through(id, "c", "ceiling", "safe", false, GATEWAYS);
                self.execute(index, actions);
            }
        }
    }

    /// By how many units the forwarded requests overdrew a bucket of this rate and burst.
    fn max_overdraft(&self, rate: f64, burst: f64) -> f64 {
        let mut units = burst;
        let mut last_sent = self.start;
        let mut min_units = burst;
        for sent in &self.sent {
            units = (units + rate * (sent - last_sent) / 1000.0).min(burst) - 1.0;
            last_sent = *sent;
            min_units = min_units.min(units);
        }
        -min_units
    }
}

fn counter_faults() -> [CounterFault; 5] {
    let calm = CounterFault { unavailable: (0.0, 0.0), lost: 0.0, emptied: false, restart: false };
    let unavailable = CounterFault { unavailable: (4000.0, 10_000.0), ..calm };
    [
        CounterFault { lost: 0.05, ..calm },
        unavailable,
        CounterFault { lost: 0.1, ..unavailable },
        CounterFault { emptied: true, ..unavailable },
        CounterFault { emptied: true, restart: true, lost: 0.05, ..unavailable },
    ]
}

/// The worst case: the customer uses all that it can get throughout, at all of its gateways. The units that each
/// gateway assumes to be left after an outage add up: an assumption that is harmless with two gateways could exceed
/// the ceiling with 25.
#[test]
fn the_ceiling_holds_over_all_gateways_through_every_fault_of_the_counter() {
    let plan = plan();
    for fault in counter_faults() {
        for seed in 1..=6 {
            for rate in [40.0, 250.0] {
                let mut fleet = Fleet::new(seed, fault);
                fleet.play(14_000.0, rate);
                let max_overdraft = fleet.max_overdraft(plan.ceiling_rate, plan.ceiling_burst);
                assert!(
                    max_overdraft <= plan.ceiling_slack,
                    "{max_overdraft:.1} units above the ceiling: {fault:?}, seed {seed}, {rate} a second"
                );
            }
        }
    }
}
