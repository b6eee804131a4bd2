//! The clients of a drill: customers on plans, a mix of operations, retries, and manners that the script changes.

use doorcourse_conformance::{Event, Kind, PlanBounds, RetrySafety};
use doorcourse_emulators::{
    CATALOGUE, Operation, RequestOutcome, RequestSource, ScheduledRequest, operations,
};
use doorcourse_graphql::{Limits, Prepared, Schema};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Mutex};

/// A class of the drill's settings.
pub struct DrillClass {
    pub name: &'static str,
    pub aim: f64,
    pub give_up: f64,
    pub worth: f64,
    pub retry_safety: RetrySafety,
    pub queries: &'static [&'static str],
    pub mutations: &'static [&'static str],
}

/// For how long the cells remember keys, in ms.
pub const MEMORY: f64 = 4000.0;

impl DrillClass {
    /// In the words of the settings.
    pub fn effect(&self) -> String {
        match self.retry_safety {
            RetrySafety::Safe => "effect: SAFE".into(),
            RetrySafety::Keyed => format!("effect: KEYED group: CELL memory_ms: {MEMORY}"),
            RetrySafety::Unsafe => "effect: UNSAFE".into(),
        }
    }
}

pub const CLASSES: &[DrillClass] = &[
    DrillClass {
        name: "preview",
        aim: 800.0,
        give_up: 2500.0,
        worth: 2.0,
        retry_safety: RetrySafety::Safe,
        queries: &["preview", "previews"],
        mutations: &[],
    },
    DrillClass {
        name: "search",
        aim: 1000.0,
        give_up: 3000.0,
        worth: 1.0,
        retry_safety: RetrySafety::Safe,
        queries: &["search", "similar", "shelf"],
        mutations: &[],
    },
    DrillClass {
        name: "playlist",
        aim: 800.0,
        give_up: 2000.0,
        worth: 3.0,
        retry_safety: RetrySafety::Keyed,
        queries: &[],
        mutations: &["savePlaylist"],
    },
    DrillClass {
        name: "licence",
        aim: 500.0,
        give_up: 1200.0,
        worth: 5.0,
        retry_safety: RetrySafety::Unsafe,
        queries: &[],
        mutations: &["orderLicence"],
    },
];

/// A plan of the drill's settings, and how many customers it has.
pub struct DrillPlan {
    pub name: &'static str,
    pub rate: f64,
    pub burst: f64,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub slack: f64,
    pub customers: usize,
}

pub const PLANS: &[DrillPlan] = &[
    DrillPlan {
        name: "basic",
        rate: 4.0,
        burst: 24.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        slack: 0.0,
        customers: 10,
    },
    DrillPlan {
        name: "studio",
        rate: 20.0,
        burst: 80.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        slack: 0.0,
        customers: 5,
    },
    DrillPlan {
        name: "publisher",
        rate: 50.0,
        burst: 100.0,
        ceiling_rate: 90.0,
        ceiling_burst: 180.0,
        slack: 18.0,
        customers: 3,
    },
];

/// The plans in the words of the verdict, with all figures so many times.
pub fn plan_bounds(times: f64) -> BTreeMap<String, PlanBounds> {
    let one = |p: &DrillPlan| {
        let (rate, burst, ceiling_rate) = (p.rate * times, p.burst * times, p.ceiling_rate * times);
        let (ceiling_burst, ceiling_slack) = (p.ceiling_burst * times, p.slack);
        let bounds = PlanBounds { rate, burst, ceiling_rate, ceiling_burst, ceiling_slack };
        (p.name.to_owned(), bounds)
    };
    PLANS.iter().map(one).collect()
}

/// The customers: name, plan, key.
pub fn customers() -> Vec<(String, &'static str, String)> {
    let of = |p: &'static DrillPlan| (0..p.customers).map(move |n| (format!("{}-{n}", p.name), p.name));
    PLANS.iter().flat_map(of).map(|(name, plan)| (name.clone(), plan, format!("key-of-{name}"))).collect()
}

/// What the script changes.
#[derive(Clone, Debug)]
pub struct ClientBehavior {
    /// One customer asks for this many times its quota.
    pub flood: Option<(usize, f64)>,
    /// This share of the clients leaves midway.
    pub cancel_share: f64,
    /// A factor on all patience.
    pub timeout_factor: f64,
    /// This share asks what truly costs five times its price; as many what costs a fifth.
    pub mispriced_share: f64,
    /// A factor on what all ask for.
    pub rate_factor: f64,
    /// The share of licence orders, where it is not the ordinary one.
    pub licence_share: Option<f64>,
    /// The day is over: nothing new is asked.
    pub stopped: bool,
}

impl Default for ClientBehavior {
    fn default() -> Self {
        Self {
            flood: None,
            cancel_share: 0.0,
            timeout_factor: 1.0,
            mispriced_share: 0.04,
            rate_factor: 1.0,
            licence_share: None,
            stopped: false,
        }
    }
}

struct Asked {
    operation: Operation,
    units: f64,
    weight: f64,
}

/// A flood that falls behind its schedule by more than this, in ms, does not catch up.
const FLOOD_BEHIND: f64 = 20.0;

/// The clients as a source of shots.
pub struct Clients {
    customers: Vec<(String, &'static DrillPlan, String)>,
    operations: Vec<Asked>,
    /// Which gateways want clients, as whoever routes clients to them hears.
    open: Arc<Mutex<Vec<bool>>>,
    random: ChaCha8Rng,
    behavior: Arc<Mutex<ClientBehavior>>,
    /// The next time of each customer, in micros so that it can be ordered.
    next: BinaryHeap<Reverse<(u64, usize)>>,
    again: BinaryHeap<Reverse<(u64, u64)>>,
    repeats: BTreeMap<u64, (usize, usize, String)>,
    count: u64,
    /// What each name was: its customer, operation, first try and whether it is a repeat itself.
    known: BTreeMap<String, (usize, usize, String, bool)>,
    /// The share of its quota that a customer asks for on an ordinary day.
    load: f64,
    /// When a flood's next request is due, in ms.
    flood_next: f64,
}

impl Clients {
    /// The customers of the drill, from a time on.
    pub fn new(
        seed: u64, open: Arc<Mutex<Vec<bool>>>, behavior: Arc<Mutex<ClientBehavior>>, start: f64, load: f64,
    ) -> anyhow::Result<Self> {
        let schema = Arc::new(Schema::parse(CATALOGUE).map_err(|e| anyhow::anyhow!("{e:?}"))?);
        let weight = |name: &str| match name {
            "preview" => 0.36,
            "previews" => 0.06,
            "search" => 0.08,
            "playlist" => 0.22,
            "licence" => 0.2,
            _ => 0.0,
        };
        let mut asked = Vec::new();
        for operation in operations() {
            let prepared =
                Prepared::new(Arc::clone(&schema), &operation.query, None, None, Limits::default());
            let units = prepared.map_err(|e| anyhow::anyhow!("{}: {e:?}", operation.name))?.cost().units;
            asked.push(Asked { weight: weight(operation.name), operation, units });
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let plan = |name: &str| PLANS.iter().find(|p| p.name == name);
        let customers: Vec<_> =
            customers().into_iter().filter_map(|(n, p, k)| Some((n, plan(p)?, k))).collect();
        let first = |at| Reverse(((start * 1000.0 + random.random::<f64>() * 3e5) as u64, at));
        let next = (0..customers.len()).map(first).collect();
        let (again, repeats, known) = Default::default();
        let count = 0;
        Ok(Self {
            customers,
            operations: asked,
            open,
            random,
            behavior,
            next,
            again,
            repeats,
            count,
            known,
            load,
            flood_next: start,
        })
    }

    fn behavior(&self) -> ClientBehavior {
        self.behavior.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln() * mean
    }

    fn pick(&mut self, behavior: &ClientBehavior) -> usize {
        let named = |name: &str| self.operations.iter().position(|a| a.operation.name == name).unwrap_or(0);
        let (similar, shelf) = (named("similar"), named("shelf"));
        let chance: f64 = self.random.random();
        if chance < behavior.mispriced_share {
            return similar;
        }
        if chance < 2.0 * behavior.mispriced_share {
            return shelf;
        }
        if let Some(share) = behavior.licence_share {
            return named(if self.random.random::<f64>() < share { "licence" } else { "preview" });
        }
        let total: f64 = self.operations.iter().map(|a| a.weight).sum();
        let mut left = self.random.random::<f64>() * total;
        for (at, asked) in self.operations.iter().enumerate() {
            left -= asked.weight;
            if left < 0.0 {
                return at;
            }
        }
        0
    }

    /// The busiest gateway of a customer gets three fifths of what it asks; one that wants no clients is passed
    /// over.
    fn gateway(&mut self, customer: usize) -> usize {
        let open = self.open.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        let (count, chance) = (open.len(), self.random.random::<f64>());
        let other = 1 + (chance * 1000.0) as usize % (count - 1).max(1);
        let first = if chance < 0.6 || count == 1 { customer % count } else { (customer + other) % count };
        (0..count).map(|n| (first + n) % count).find(|g| open[*g]).unwrap_or(first)
    }

    fn shot(
        &mut self, now: f64, customer: usize, operation: usize, first: Option<String>,
        behavior: &ClientBehavior,
    ) -> Option<ScheduledRequest> {
        self.count += 1;
        let id = format!("q{}", self.count);
        let gateway = self.gateway(customer);
        let asked = &self.operations[operation];
        let (units, class) = (asked.units, asked.operation.class);
        let class = CLASSES.iter().find(|c| c.name == class)?;
        let body = json!({"query": asked.operation.query}).to_string();
        let (name, plan, key) = self.customers[customer].clone();
        let patience = class.give_up * (0.5 + 0.5 * self.random.random::<f64>()) * behavior.timeout_factor;
        let leave = if self.random.random::<f64>() < behavior.cancel_share {
            Some(self.random.random::<f64>() * 60.0)
        } else {
            None
        };
        let key_of = first.clone().unwrap_or_else(|| id.clone());
        self.known.insert(id.clone(), (customer, operation, key_of.clone(), first.is_some()));
        let ask = Event::RequestSent {
            id: id.clone(),
            gateway,
            customer: name,
            plan: plan.name.into(),
            class: class.name.into(),
            retry_safety: class.retry_safety,
            key_retention_ms: MEMORY,
            units,
            worth: class.worth,
            target_ms: class.aim,
            timeout_ms: patience,
            retry_of: first,
        };
        let idempotency = if class.retry_safety == RetrySafety::Keyed { Some(key_of) } else { None };
        Some(ScheduledRequest {
            id,
            due_at: now,
            gateway,
            body,
            key,
            idempotency_key: idempotency,
            timeout_ms: patience,
            cancel_after_ms: leave,
            sent_event: Some(ask),
        })
    }
}

impl RequestSource for Clients {
    fn next_due(&mut self) -> Option<f64> {
        let behavior = self.behavior();
        if behavior.stopped {
            return None;
        }
        let first = self.next.peek().map(|r| r.0.0);
        let again = self.again.peek().map(|r| r.0.0);
        let ordinary = first.into_iter().chain(again).min().map(|t| t as f64 / 1000.0);
        ordinary.into_iter().chain(behavior.flood.map(|_| self.flood_next)).reduce(f64::min)
    }

    fn take_due(&mut self, now: f64) -> Vec<ScheduledRequest> {
        let (behavior, mut shots) = (self.behavior(), Vec::new());
        while self.again.peek().is_some_and(|r| r.0.0 as f64 / 1000.0 <= now) {
            let Some(Reverse((_, number))) = self.again.pop() else { break };
            let Some((customer, operation, first)) = self.repeats.remove(&number) else { continue };
            shots.extend(self.shot(now, customer, operation, Some(first), &behavior));
        }
        while self.next.peek().is_some_and(|r| r.0.0 as f64 / 1000.0 <= now) {
            let Some(Reverse((at, customer))) = self.next.pop() else { break };
            let operation = self.pick(&behavior);
            let rate = self.customers[customer].1.rate * self.load * behavior.rate_factor.max(1e-3);
            // In units: what costs more is asked for more seldom.
            let wait = self.exponential(self.operations[operation].units / rate * 1e6);
            self.next.push(Reverse((at + wait.min(20e6) as u64, customer)));
            shots.extend(self.shot(now, customer, operation, None, &behavior));
        }
        // A flood comes on top of the customer's ordinary use.
        self.flood_next = self.flood_next.max(now - FLOOD_BEHIND);
        while let Some((customer, times)) = behavior.flood.filter(|_| self.flood_next <= now) {
            let operation = self.pick(&behavior);
            let rate = self.customers[customer].1.rate * times;
            self.flood_next += self.exponential(self.operations[operation].units / rate * 1000.0);
            shots.extend(self.shot(now, customer, operation, None, &behavior));
        }
        shots
    }

    fn request_ended(&mut self, now: f64, shot: &ScheduledRequest, end: &RequestOutcome) {
        let Some((customer, operation, first, repeat)) = self.known.remove(&shot.id) else { return };
        let class = self.operations[operation].operation.class;
        let retry_safety =
            CLASSES.iter().find(|c| c.name == class).map_or(RetrySafety::Unsafe, |c| c.retry_safety);
        // A client tries once more: anything safe, the rest only where it was told that this is harmless.
        let wait = match end {
            RequestOutcome::Response { kind: Kind::Refused, retry_after, .. } => retry_after.unwrap_or(500.0),
            RequestOutcome::Response { kind: Kind::Failed, .. }
            | RequestOutcome::Truncated
            | RequestOutcome::ConnectionLost
                if retry_safety == RetrySafety::Safe =>
            {
                200.0
            }
            _ => return,
        };
        if repeat || self.random.random::<f64>() < 0.5 {
            return;
        }
        self.count += 1;
        let at = now + wait * (1.0 + 0.3 * self.random.random::<f64>());
        self.again.push(Reverse(((at * 1000.0) as u64, self.count)));
        self.repeats.insert(self.count, (customer, operation, first));
    }
}
