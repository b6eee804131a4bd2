//! The clients of a drill: customers on plans that send a mix of operations and retry some of them. The script changes their
//! behavior.

use doorcourse_conformance::{Event, Kind, PlanBounds, RetrySafety};
use doorcourse_emulators::{
    CATALOGUE, Operation, RequestOutcome, RequestSource, ScheduledRequest, operations,
};
use doorcourse_graphql::{Limits, PreparedOperation, Schema};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Mutex};

/// A class of requests in the settings of a drill.
pub struct DrillClass {
    pub name: &'static str,
    pub target_ms: f64,
    pub give_up_ms: f64,
    pub worth: f64,
    pub retry_safety: RetrySafety,
    pub queries: &'static [&'static str],
    pub mutations: &'static [&'static str],
}

/// How long the nodes of a cell keep idempotency keys.
pub const KEY_RETENTION_MS: f64 = 4000.0;

impl DrillClass {
    /// Returns the class's effect as the settings state it.
    pub fn effect(&self) -> String {
        match self.retry_safety {
            RetrySafety::Safe => "effect: SAFE".into(),
            RetrySafety::Keyed => format!("effect: KEYED group: CELL memory_ms: {KEY_RETENTION_MS}"),
            RetrySafety::Unsafe => "effect: UNSAFE".into(),
        }
    }
}

pub const CLASSES: &[DrillClass] = &[
    DrillClass {
        name: "preview",
        target_ms: 800.0,
        give_up_ms: 2500.0,
        worth: 2.0,
        retry_safety: RetrySafety::Safe,
        queries: &["preview", "previews"],
        mutations: &[],
    },
    DrillClass {
        name: "search",
        target_ms: 1000.0,
        give_up_ms: 3000.0,
        worth: 1.0,
        retry_safety: RetrySafety::Safe,
        queries: &["search", "similar", "shelf"],
        mutations: &[],
    },
    DrillClass {
        name: "playlist",
        target_ms: 800.0,
        give_up_ms: 2000.0,
        worth: 3.0,
        retry_safety: RetrySafety::Keyed,
        queries: &[],
        mutations: &["savePlaylist"],
    },
    DrillClass {
        name: "licence",
        target_ms: 500.0,
        give_up_ms: 1200.0,
        worth: 5.0,
        retry_safety: RetrySafety::Unsafe,
        queries: &[],
        mutations: &["orderLicence"],
    },
];

/// A plan in the settings of a drill and its number of customers.
pub struct DrillPlan {
    pub name: &'static str,
    pub rate: f64,
    pub burst: f64,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
    pub customers: usize,
}

pub const PLANS: &[DrillPlan] = &[
    DrillPlan {
        name: "basic",
        rate: 4.0,
        burst: 24.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        customers: 10,
    },
    DrillPlan {
        name: "studio",
        rate: 20.0,
        burst: 80.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        customers: 5,
    },
    DrillPlan {
        name: "publisher",
        rate: 50.0,
        burst: 100.0,
        ceiling_rate: 90.0,
        ceiling_burst: 180.0,
        ceiling_slack: 18.0,
        customers: 3,
    },
];

/// Returns the plans for the check of the rules, with all limits except the slack multiplied by `factor`.
pub fn plan_bounds(factor: f64) -> BTreeMap<String, PlanBounds> {
    let bounds_of = |p: &DrillPlan| {
        let (rate, burst, ceiling_rate) = (p.rate * factor, p.burst * factor, p.ceiling_rate * factor);
        let (ceiling_burst, ceiling_slack) = (p.ceiling_burst * factor, p.ceiling_slack);
        let bounds = PlanBounds { rate, burst, ceiling_rate, ceiling_burst, ceiling_slack };
        (p.name.to_owned(), bounds)
    };
    PLANS.iter().map(bounds_of).collect()
}

/// Returns name, plan and key of all customers.
pub fn customers() -> Vec<(String, &'static str, String)> {
    let of = |p: &'static DrillPlan| (0..p.customers).map(move |n| (format!("{}-{n}", p.name), p.name));
    PLANS.iter().flat_map(of).map(|(name, plan)| (name.clone(), plan, format!("key-of-{name}"))).collect()
}

/// Behavior of the clients that the script changes.
#[derive(Clone, Debug)]
pub struct ClientBehavior {
    /// Index of a customer and the multiple of its quota that it requests on top of its usual requests.
    pub flood: Option<(usize, f64)>,
    /// Share of requests that the client cancels early.
    pub cancel_share: f64,
    /// Factor on all client timeouts.
    pub timeout_factor: f64,
    /// Share of requests whose true cost is five times their price; the same share costs a fifth of its price.
    pub mispriced_share: f64,
    /// Factor on the request rate of all customers.
    pub rate_factor: f64,
    /// Share of licence orders, if it differs from the usual mix.
    pub licence_share: Option<f64>,
    /// Whether clients have stopped sending requests.
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

/// An operation with its price in units and its weight in the mix.
struct WeightedOperation {
    operation: Operation,
    units: f64,
    weight: f64,
}

/// A flood that falls behind its schedule by more than this does not catch up.
const MAX_FLOOD_LAG_MS: f64 = 20.0;

/// The source of the clients' requests.
pub struct Clients {
    customers: Vec<(String, &'static DrillPlan, String)>,
    operations: Vec<WeightedOperation>,
    /// Which gateways accept new clients.
    accepting: Arc<Mutex<Vec<bool>>>,
    rng: ChaCha8Rng,
    behavior: Arc<Mutex<ClientBehavior>>,
    /// Time in microseconds of the next request of each customer; integers, so that they can be ordered.
    due_requests: BinaryHeap<Reverse<(u64, usize)>>,
    /// Time in microseconds and number of each due retry.
    due_retries: BinaryHeap<Reverse<(u64, u64)>>,
    /// Customer, operation and id of the first request of each due retry, by its number.
    retries: BTreeMap<u64, (usize, usize, String)>,
    /// Last number used for a request id or a retry.
    last_number: u64,
    /// Customer, operation, id of the first request and whether it is a retry, for each request without a result yet.
    pending: BTreeMap<String, (usize, usize, String, bool)>,
    /// Share of its quota that a customer requests, before the factor on its rate.
    load: f64,
    /// Time of the next request of a flood, in ms.
    flood_due: f64,
}

impl Clients {
    /// Creates the customers of the drill, which send requests from `start` on.
    pub fn new(
        seed: u64, accepting: Arc<Mutex<Vec<bool>>>, behavior: Arc<Mutex<ClientBehavior>>, start: f64,
        load: f64,
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
        let mut weighted = Vec::new();
        for operation in operations() {
            let prepared =
                PreparedOperation::new(Arc::clone(&schema), &operation.query, None, None, Limits::default());
            let units = prepared.map_err(|e| anyhow::anyhow!("{}: {e:?}", operation.name))?.cost().units;
            weighted.push(WeightedOperation { weight: weight(operation.name), operation, units });
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let plan = |name: &str| PLANS.iter().find(|p| p.name == name);
        let customers: Vec<_> =
            customers().into_iter().filter_map(|(n, p, k)| Some((n, plan(p)?, k))).collect();
        // The first request of each customer is due within 300 ms.
        let first = |at| Reverse(((start * 1000.0 + rng.random::<f64>() * 3e5) as u64, at));
        let due_requests = (0..customers.len()).map(first).collect();
        let (due_retries, retries, pending) = Default::default();
        let last_number = 0;
        Ok(Self {
            customers,
            operations: weighted,
            accepting,
            rng,
            behavior,
            due_requests,
            due_retries,
            retries,
            last_number,
            pending,
            load,
            flood_due: start,
        })
    }

    fn behavior(&self) -> ClientBehavior {
        self.behavior.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Returns an exponentially distributed random number.
    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() * mean
    }

    fn pick_operation(&mut self, behavior: &ClientBehavior) -> usize {
        let index_of =
            |name: &str| self.operations.iter().position(|o| o.operation.name == name).unwrap_or(0);
        // The two operations whose actual cost is not their price: `similar` costs five times as much, `shelf` a fifth.
        let (similar, shelf) = (index_of("similar"), index_of("shelf"));
        let chance: f64 = self.rng.random();
        if chance < behavior.mispriced_share {
            return similar;
        }
        if chance < 2.0 * behavior.mispriced_share {
            return shelf;
        }
        if let Some(share) = behavior.licence_share {
            return index_of(if self.rng.random::<f64>() < share { "licence" } else { "preview" });
        }
        let total: f64 = self.operations.iter().map(|o| o.weight).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (index, weighted) in self.operations.iter().enumerate() {
            remaining -= weighted.weight;
            if remaining < 0.0 {
                return index;
            }
        }
        0
    }

    /// Chooses a gateway: the main gateway of a customer gets three fifths of its requests. Gateways that do not accept
    /// clients are skipped.
    fn pick_gateway(&mut self, customer: usize) -> usize {
        let accepting = self.accepting.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        let (count, chance) = (accepting.len(), self.rng.random::<f64>());
        // The further digits of `chance` choose among the other gateways.
        let other = 1 + (chance * 1000.0) as usize % (count - 1).max(1);
        let first = if chance < 0.6 || count == 1 { customer % count } else { (customer + other) % count };
        (0..count).map(|n| (first + n) % count).find(|g| accepting[*g]).unwrap_or(first)
    }

    fn schedule_request(
        &mut self, now: f64, customer: usize, operation: usize, retry_of: Option<String>,
        behavior: &ClientBehavior,
    ) -> Option<ScheduledRequest> {
        self.last_number += 1;
        let id = format!("q{}", self.last_number);
        let gateway = self.pick_gateway(customer);
        let weighted = &self.operations[operation];
        let (units, class) = (weighted.units, weighted.operation.class);
        let class = CLASSES.iter().find(|c| c.name == class)?;
        let body = json!({"query": weighted.operation.query}).to_string();
        let (name, plan, key) = self.customers[customer].clone();
        let timeout_ms = class.give_up_ms * (0.5 + 0.5 * self.rng.random::<f64>()) * behavior.timeout_factor;
        let cancel_after_ms = if self.rng.random::<f64>() < behavior.cancel_share {
            Some(self.rng.random::<f64>() * 60.0)
        } else {
            None
        };
        let first_id = retry_of.clone().unwrap_or_else(|| id.clone());
        self.pending.insert(id.clone(), (customer, operation, first_id.clone(), retry_of.is_some()));
        let sent_event = Event::RequestSent {
            id: id.clone(),
            gateway,
            customer: name,
            plan: plan.name.into(),
            class: class.name.into(),
            retry_safety: class.retry_safety,
            key_retention_ms: KEY_RETENTION_MS,
            units,
            worth: class.worth,
            target_ms: class.target_ms,
            timeout_ms,
            retry_of,
        };
        let idempotency_key = if class.retry_safety == RetrySafety::Keyed { Some(first_id) } else { None };
        Some(ScheduledRequest {
            id,
            due_at: now,
            gateway,
            body,
            key,
            idempotency_key,
            timeout_ms,
            cancel_after_ms,
            sent_event: Some(sent_event),
        })
    }
}

impl RequestSource for Clients {
    fn next_due(&mut self) -> Option<f64> {
        let behavior = self.behavior();
        if behavior.stopped {
            return None;
        }
        let first = self.due_requests.peek().map(|r| r.0.0);
        let retry = self.due_retries.peek().map(|r| r.0.0);
        let ordinary = first.into_iter().chain(retry).min().map(|t| t as f64 / 1000.0);
        ordinary.into_iter().chain(behavior.flood.map(|_| self.flood_due)).reduce(f64::min)
    }

    fn take_due(&mut self, now: f64) -> Vec<ScheduledRequest> {
        let (behavior, mut requests) = (self.behavior(), Vec::new());
        while self.due_retries.peek().is_some_and(|r| r.0.0 as f64 / 1000.0 <= now) {
            let Some(Reverse((_, number))) = self.due_retries.pop() else { break };
            let Some((customer, operation, first_id)) = self.retries.remove(&number) else { continue };
            requests.extend(self.schedule_request(now, customer, operation, Some(first_id), &behavior));
        }
        while self.due_requests.peek().is_some_and(|r| r.0.0 as f64 / 1000.0 <= now) {
            let Some(Reverse((at, customer))) = self.due_requests.pop() else { break };
            let operation = self.pick_operation(&behavior);
            let rate = self.customers[customer].1.rate * self.load * behavior.rate_factor.max(1e-3);
            // The rate is in units, so more expensive operations are sent less often. The wait is at most 20 s.
            let wait = self.exponential(self.operations[operation].units / rate * 1e6);
            self.due_requests.push(Reverse((at + wait.min(20e6) as u64, customer)));
            requests.extend(self.schedule_request(now, customer, operation, None, &behavior));
        }
        // A flood comes on top of the usual requests of the customer.
        self.flood_due = self.flood_due.max(now - MAX_FLOOD_LAG_MS);
        while let Some((customer, times)) = behavior.flood.filter(|_| self.flood_due <= now) {
            let operation = self.pick_operation(&behavior);
            let rate = self.customers[customer].1.rate * times;
            self.flood_due += self.exponential(self.operations[operation].units / rate * 1000.0);
            requests.extend(self.schedule_request(now, customer, operation, None, &behavior));
        }
        requests
    }

    fn request_ended(&mut self, now: f64, request: &ScheduledRequest, end: &RequestOutcome) {
        let Some((customer, operation, first_id, retry)) = self.pending.remove(&request.id) else { return };
        let class = self.operations[operation].operation.class;
        let retry_safety =
            CLASSES.iter().find(|c| c.name == class).map_or(RetrySafety::Unsafe, |c| c.retry_safety);
        // A client retries at most once. After a failure it retries only safe requests; after a refusal, any request.
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
        if retry || self.rng.random::<f64>() < 0.5 {
            return;
        }
        self.last_number += 1;
        let at = now + wait * (1.0 + 0.3 * self.rng.random::<f64>());
        self.due_retries.push(Reverse(((at * 1000.0) as u64, self.last_number)));
        self.retries.insert(self.last_number, (customer, operation, first_id));
    }
}
