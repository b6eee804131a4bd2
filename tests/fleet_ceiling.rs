//! A customer of many gateways under a ceiling: the counter falls silent, loses answers, comes back empty; one gateway starts
//! anew. What all gateways send together is judged by the ceiling alone.

mod common;
use common::*;
use doorcourse::*;
use std::collections::BTreeMap;

const GATEWAYS: u32 = 25;

/// Chance that is the same for the same seed.
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What becomes of the counter, in ms from the start.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    silent: (Millis, Millis),
    /// This share of the answers is lost; the call counted.
    lost: f64,
    /// It comes back without its counts.
    emptied: bool,
    /// A gateway starts anew when the counter is back.
    restart: bool,
}

struct Fleet {
    doors: Vec<Door>,
    chance: Chance,
    /// Each count and until when it is kept.
    counts: BTreeMap<u64, (f64, Millis)>,
    trouble: Trouble,
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

fn door(number: u32, seed: u64) -> Door {
    let mut settings = Settings { gateway_count: GATEWAYS, gateway_index: number, ..settings() };
    settings.plans[1] = plan();
    Door::seeded(settings, seed, &["a1", "a2", "a3", "a4"])
}

impl Fleet {
    fn new(seed: u64, trouble: Trouble) -> Self {
        let doors = (0..GATEWAYS).map(|n| door(n, seed * 1000 + u64::from(n))).collect();
        let (chance, counts) = (Chance(seed), BTreeMap::new());
        Self { doors, chance, counts, trouble, start: 1000.0, sent: Vec::new() }
    }

    /// Carries out what a gateway did, and what it does on that.
    fn carry(&mut self, at: usize, mut did: Vec<Action>) {
        while !did.is_empty() {
            let mut next = Vec::new();
            for action in std::mem::take(&mut did) {
                match action {
                    Action::SendAttempt { id, backend, .. } => {
                        self.sent.push(self.doors[at].now);
                        next.extend(self.doors[at].end(id, 0, &backend, AttemptOutcome::Served));
                    }
                    Action::AddToCounter { counter: name, amount, time_to_live: keep } => {
                        next.extend(self.count(at, name, amount, keep))
                    }
                    _ => {}
                }
            }
            did = next;
        }
    }

    fn count(&mut self, at: usize, name: u64, amount: f64, keep: Millis) -> Vec<Action> {
        let now = self.doors[at].now;
        let (from, back) = self.trouble.silent;
        let (outcome, latency) = if now >= self.start + from && now < self.start + back {
            (CounterOutcome::NotAdded, 0.0)
        } else {
            let kept = self.counts.get(&name).filter(|(_, until)| now < *until);
            let (total, until) = kept.map_or((amount, now + keep), |(total, until)| (total + amount, *until));
            self.counts.insert(name, (total, until));
            let lost = self.chance.next() < self.trouble.lost;
            if lost { (CounterOutcome::Unknown, 50.0) } else { (CounterOutcome::Total(total), 2.0) }
        };
        self.doors[at].tell(Event::CounterCallEnded { counter: name, outcome, latency })
    }

    /// Plays so long with tries at this rate a second; some gateways see many of them.
    fn play(&mut self, span: Millis, rate: f64) {
        let (mut id, mut next) = (0, self.start);
        let mut back = false;
        let mut now = self.start;
        while now < self.start + span {
            now += 5.0;
            if !std::mem::replace(&mut back, now >= self.start + self.trouble.silent.1) && back {
                if self.trouble.emptied {
                    self.counts.clear();
                }
                if self.trouble.restart {
                    self.doors[0] = door(0, 77);
                }
            }
            for at in 0..self.doors.len() {
                self.doors[at].now = now;
                if (now / 5.0) as usize % 5 == at % 5 {
                    let did = self.doors[at].tell(Event::TimerExpired { token: 1 });
                    self.carry(at, did);
                }
            }
            while next < now {
                next += -self.chance.next().max(1e-9).ln() / rate * 1000.0;
                id += 1;
                let at = (self.chance.next().powi(2) * self.doors.len() as f64) as usize;
                let did = self.doors[at].ask_of(id, "c", "ceiling", "safe", false, GATEWAYS);
                self.carry(at, did);
            }
        }
    }

    /// How far the units sent went below what a bucket of this rate and burst holds.
    fn beyond(&self, rate: f64, burst: f64) -> f64 {
        let (mut held, mut at, mut lowest) = (burst, self.start, burst);
        for sent in &self.sent {
            held = (held + rate * (sent - at) / 1000.0).min(burst) - 1.0;
            (at, lowest) = (*sent, lowest.min(held));
        }
        -lowest
    }
}

fn troubles() -> [Trouble; 5] {
    let calm = Trouble { silent: (0.0, 0.0), lost: 0.0, emptied: false, restart: false };
    let silent = Trouble { silent: (4000.0, 10_000.0), ..calm };
    [
        Trouble { lost: 0.05, ..calm },
        silent,
        Trouble { lost: 0.1, ..silent },
        Trouble { emptied: true, ..silent },
        Trouble { emptied: true, restart: true, lost: 0.05, ..silent },
    ]
}

/// The worst case: the customer asks for all that it can get throughout, at all of its gateways. Guards against what each of
/// many gateways believes to have left after a silence: what is harmless in two breaks the ceiling in 25.
#[test]
fn the_ceiling_holds_over_all_gateways_whatever_becomes_of_the_counter() {
    let plan = plan();
    for trouble in troubles() {
        for seed in 1..=6 {
            for rate in [40.0, 250.0] {
                let mut fleet = Fleet::new(seed, trouble);
                fleet.play(14_000.0, rate);
                let beyond = fleet.beyond(plan.ceiling_rate, plan.ceiling_burst);
                assert!(
                    beyond <= plan.ceiling_slack,
                    "{beyond:.1} units past the ceiling: {trouble:?}, seed {seed}, {rate} a second"
                );
            }
        }
    }
}
