//! The checks of the rules. Each violation names the request, node or account and what was observed.

use crate::record::{Bounds, Event, Kind, PlanBounds, Record, RetrySafety, Rule};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time in ms.
    pub t: f64,
    /// Description of the observation.
    pub what: String,
}

/// How much later an event may be recorded than an event that it caused at another emulator: emulators share a clock, but
/// each reads its sockets in turn.
const EVENT_ORDER_SLACK_MS: f64 = 30.0;
/// How long after the outage of a gateway a client may still notice the loss of a request that it sent when the outage
/// had just ended.
const OUTAGE_NOTICE_MS: f64 = 1500.0;
/// Allowance for a cold node, in requests of the largest size: gateways budget for an even share of the requests, but the
/// actual distribution is random.
const COLD_SLACK_REQUESTS: f64 = 2.0;

/// A request as its client sent it.
struct Request<'a> {
    sent_at: f64,
    gateway: usize,
    customer: &'a str,
    plan: &'a str,
    retry_safety: RetrySafety,
    key_retention_ms: f64,
    units: f64,
    timeout_ms: f64,
    /// Time and event that ended the request.
    ended: Option<(f64, &'a Event)>,
}

/// A request at a node.
struct Attempt<'a> {
    /// Time at which the node read the request.
    t: f64,
    node: &'a str,
    /// Time at which the attempt had certainly ended, and the status of the response; 0 if there was none.
    ended: Option<(f64, u16)>,
}

/// Checks a run and returns all violations, in the order of the rules.
#[must_use]
pub fn check_rules(records: &[Record]) -> Vec<Violation> {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by(|a, b| a.t.total_cmp(&b.t));
    let mut violations = Vec::new();
    let Some(bounds) =
        sorted.iter().find_map(|r| if let Event::Bounds(b) = &r.event { Some(b) } else { None })
    else {
        let what = "the record holds no bounds to judge by".into();
        return vec![Violation { rule: Rule::OneAnswer, t: 0.0, what }];
    };
    check_responses(&sorted, bounds, &mut violations);
    check_effects(&sorted, &mut violations);
    check_drains(&sorted, bounds, &mut violations);
    check_cold_nodes(&sorted, bounds, &mut violations);
    check_accounts(&sorted, bounds, &mut violations);
    violations
}

/// Returns all requests of the record by their id.
fn requests_by_id<'a>(records: &[&'a Record]) -> HashMap<&'a str, Request<'a>> {
    let mut requests = HashMap::new();
    for record in records {
        if let Event::RequestSent {
            id,
            gateway,
            customer,
            plan,
            retry_safety,
            key_retention_ms,
            units,
            timeout_ms,
            ..
        } = &record.event
        {
            let (sent_at, gateway, retry_safety, key_retention_ms) =
                (record.t, *gateway, *retry_safety, *key_retention_ms);
            let (units, timeout_ms, ended) = (*units, *timeout_ms, None);
            requests.insert(
                id.as_str(),
                Request {
                    sent_at,
                    gateway,
                    customer,
                    plan,
                    retry_safety,
                    key_retention_ms,
                    units,
                    timeout_ms,
                    ended,
                },
            );
        }
    }
    requests
}

/// Rule 1: each request gets one final response before the client's timeout, and nothing after it.
fn check_responses(records: &[&Record], bounds: &Bounds, violations: &mut Vec<Violation>) {
    let mut requests = requests_by_id(records);
    // Outages of each gateway, in which requests to it may be lost.
    let mut down: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::GatewayDown { gateway } => {
                down.entry(*gateway).or_default().push((record.t, f64::INFINITY));
            }
            Event::GatewayUp { gateway } => {
                if let Some(last) = down.entry(*gateway).or_default().last_mut() {
                    last.1 = record.t;
                }
            }
            _ => {}
        }
    }
    // Whether a request that was open between two times may have been lost in an outage. One that was sent before the
    // outage ended may have been, however late its client notices; one sent up to the order slack after the end only if
    // its client notices within `OUTAGE_NOTICE_MS`.
    let unavailable = |gateway: usize, from: f64, to: f64| {
        let spans = down.get(&gateway).into_iter().flatten();
        spans.clone().any(|(start, end)| {
            from <= *end + EVENT_ORDER_SLACK_MS
                && to >= *start - EVENT_ORDER_SLACK_MS
                && to <= *end + OUTAGE_NOTICE_MS.max(to - from)
        })
    };
    let mut violation = |t, what| violations.push(Violation { rule: Rule::OneAnswer, t, what });
    for record in records {
        let t = record.t;
        let id = match &record.event {
            Event::ResponseReceived { id, .. }
            | Event::ResponseTruncated { id }
            | Event::ConnectionLost { id } => id,
            Event::TimedOut { id } | Event::Cancelled { id } | Event::DataAfterResponse { id } => id,
            _ => continue,
        };
        let Some(request) = requests.get_mut(id.as_str()) else {
            violation(t, format!("{id}: an end without a request"));
            continue;
        };
        if request.ended.is_some() || matches!(record.event, Event::DataAfterResponse { .. }) {
            violation(t, format!("{id}: something more was sent after the final answer"));
            continue;
        }
        request.ended = Some((t, &record.event));
        let late = t > request.sent_at + request.timeout_ms + bounds.response_slack_ms;
        match &record.event {
            Event::ResponseReceived { .. } | Event::ResponseTruncated { .. } if late => {
                violation(
                    t,
                    format!(
                        "{id}: answered {:.0} ms after the client's time",
                        t - request.sent_at - request.timeout_ms
                    ),
                );
            }
            Event::TimedOut { .. } if !unavailable(request.gateway, request.sent_at, t) => {
                violation(
                    t,
                    format!(
                        "{id}: no answer from gateway {} in {:.0} ms",
                        request.gateway, request.timeout_ms
                    ),
                );
            }
            Event::ConnectionLost { .. } if !unavailable(request.gateway, request.sent_at, t) => {
                violation(t, format!("{id}: gateway {} broke off without an answer", request.gateway));
            }
            _ => {}
        }
    }
    let end = records.last().map_or(0.0, |r| r.t);
    for (id, request) in requests.iter().filter(|(_, a)| a.ended.is_none()) {
        if request.sent_at + request.timeout_ms + bounds.response_slack_ms < end {
            violation(request.sent_at, format!("{id}: the record tells no end"));
        }
    }
}

/// Rule 2: no effect takes place twice, retries follow the class of the request, and two attempts never overlap.
fn check_effects<'a>(records: &[&'a Record], violations: &mut Vec<Violation>) {
    let requests = requests_by_id(records);
    let mut attempts_of: HashMap<&str, Vec<u64>> = HashMap::new();
    let mut attempts: HashMap<u64, Attempt<'a>> = HashMap::new();
    let mut cells: HashMap<&str, u64> = HashMap::new();
    let mut executions: HashMap<&str, u32> = HashMap::new();
    let mut violation = |t, what| violations.push(Violation { rule: Rule::NoEffectTwice, t, what });
    for record in records {
        let t = record.t;
        match &record.event {
            Event::NodeUp { node, cell, .. } => drop(cells.insert(node, *cell)),
            Event::NodeDown { node } | Event::NodeCrashed { node } => {
                let open = attempts.values_mut().filter(|a| a.node == node && a.ended.is_none());
                open.for_each(|a| a.ended = Some((t, 0)));
            }
            Event::ResponseSent { attempt, status, .. } => {
                if let Some(a) = attempts.get_mut(attempt) {
                    a.ended = a.ended.or(Some((t, *status)));
                }
            }
            Event::AttemptClosed { attempt } => {
                if let Some(a) = attempts.get_mut(attempt) {
                    a.ended = a.ended.or(Some((t, 0)));
                }
            }
            Event::RequestRead { id, node, attempt, .. } => {
                let Some(request) = requests.get(id.as_str()) else {
                    violation(t, format!("{id}: {node} got a request that no client sent"));
                    continue;
                };
                let earlier = attempts_of.entry(id).or_default();
                for number in earlier.iter() {
                    let Some(other) = attempts.get(number) else { continue };
                    // The end of the other attempt may be recorded slightly later than this event.
                    if other.ended.is_none() && !ends_soon(records, *number, t) {
                        violation(t, format!("{id}: {node} got it while {} still had it", other.node));
                    }
                    if matches!(other.ended, Some((_, 429))) {
                        continue; // The node rejected the request without running it.
                    }
                    match request.retry_safety {
                        RetrySafety::Safe => {}
                        RetrySafety::Unsafe => violation(
                            t,
                            format!("{id}: sent again to {node} after {} may have run it", other.node),
                        ),
                        RetrySafety::Keyed if cells.get(other.node) != cells.get(node.as_str()) => {
                            violation(
                                t,
                                format!("{id}: repeated at {node}, another cell than {}", other.node),
                            );
                        }
                        RetrySafety::Keyed if t > other.t + request.key_retention_ms => {
                            violation(
                                t,
                                format!(
                                    "{id}: repeated at {node} {:.0} ms later, past the memory",
                                    t - other.t
                                ),
                            );
                        }
                        RetrySafety::Keyed => {}
                    }
                }
                earlier.push(*attempt);
                attempts.insert(*attempt, Attempt { t, node, ended: None });
            }
            Event::RequestExecuted { id, dropped: false, .. } => {
                let count = executions.entry(id).or_default();
                *count += 1;
                if *count > 1
                    && requests.get(id.as_str()).is_some_and(|a| a.retry_safety != RetrySafety::Safe)
                {
                    violation(t, format!("{id}: its effect happened {count} times"));
                }
            }
            Event::ResponseReceived { id, kind: Kind::Refused, .. } => {
                // A refusal says that a retry is safe, so no node may have run the request.
                let may_have_run = attempts_of
                    .get(id.as_str())
                    .into_iter()
                    .flatten()
                    .any(|n| attempts.get(n).is_some_and(|a| !matches!(a.ended, Some((_, 429)))));
                let strict = requests.get(id.as_str()).is_some_and(|a| a.retry_safety != RetrySafety::Safe);
                if may_have_run && strict {
                    violation(t, format!("{id}: refused after a node may have run it"));
                }
            }
            _ => {}
        }
    }
}

/// Returns whether the end of an attempt is recorded within the order slack after `t`.
fn ends_soon(records: &[&Record], number: u64, t: f64) -> bool {
    let from = records.partition_point(|r| r.t < t);
    let near = records[from..].iter().take_while(|r| r.t <= t + EVENT_ORDER_SLACK_MS);
    near.into_iter().any(|r| match &r.event {
        Event::AttemptClosed { attempt } | Event::ResponseSent { attempt, .. } => *attempt == number,
        _ => false,
    })
}

/// Rule 3: after the grace period, no new request goes to a node that the list marks as draining or no longer contains.
fn check_drains(records: &[&Record], bounds: &Bounds, violations: &mut Vec<Violation>) {
    let mut not_ready_since: HashMap<&str, f64> = HashMap::new();
    for record in records {
        match &record.event {
            Event::Listed { node, ready: false } => drop(not_ready_since.entry(node).or_insert(record.t)),
            Event::Listed { node, ready: true } => drop(not_ready_since.remove(node.as_str())),
            Event::RequestRead { node, .. } | Event::ProbeRead { node } => {
                let id = if let Event::RequestRead { id, .. } = &record.event { id } else { "a trial" };
                let excess =
                    not_ready_since.get(node.as_str()).map(|at| record.t - at - bounds.drain_grace_ms);
                if let Some(excess) = excess.filter(|l| *l > 0.0) {
                    let what = format!("{id}: sent to {node} {excess:.0} ms after the grace of its drain");
                    violations.push(Violation { rule: Rule::DrainsKept, t: record.t, what });
                }
            }
            _ => {}
        }
    }
}

/// Rule 4: no cold node is overloaded. Checks the work sent in each window as well as crashes.
fn check_cold_nodes(records: &[&Record], bounds: &Bounds, violations: &mut Vec<Violation>) {
    /// A node that started cold.
    struct ColdNode {
        start: f64,
        cold_share: f64,
        warm_up_ms: f64,
        capacity: f64,
        /// Time and work of the requests in the current window, in ms.
        requests: Vec<(f64, f64)>,
        reported: bool,
    }
    let mut nodes: HashMap<&str, ColdNode> = HashMap::new();
    for record in records {
        let t = record.t;
        match &record.event {
            Event::NodeUp { node, cold: true, cold_share, warm_up_ms, capacity, .. } => {
                let (cold_share, warm_up_ms, capacity) = (*cold_share, *warm_up_ms, *capacity);
                nodes.insert(
                    node,
                    ColdNode {
                        start: t,
                        cold_share,
                        warm_up_ms,
                        capacity,
                        requests: Vec::new(),
                        reported: false,
                    },
                );
            }
            Event::NodeUp { node, cold: false, .. } | Event::NodeDown { node } => {
                drop(nodes.remove(node.as_str()));
            }
            Event::NodeCrashed { node } => {
                let what = format!(
                    "{node} fell over {:.0} ms after its start",
                    nodes.get(node.as_str()).map_or(0.0, |c| t - c.start)
                );
                violations.push(Violation { rule: Rule::ColdNodes, t, what });
            }
            Event::RequestRead { node, work_ms, .. } => {
                let Some(cold) = nodes.get_mut(node.as_str()).filter(|c| t <= c.start + c.warm_up_ms) else {
                    continue;
                };
                cold.requests.push((t, *work_ms));
                cold.requests.retain(|(at, _)| *at > t - bounds.fall_window_ms);
                let sent: f64 = cold.requests.iter().map(|(_, work)| work).sum();
                let largest = cold.requests.iter().map(|(_, work)| *work).fold(0.0, f64::max);
                // Capacity at the start of the window, the lowest in it since capacity only rises.
                let age = ((t - bounds.fall_window_ms - cold.start) / cold.warm_up_ms).max(0.0);
                let current = cold.capacity * (cold.cold_share + (1.0 - cold.cold_share) * age);
                let limit =
                    bounds.fall_multiple * current * bounds.fall_window_ms + COLD_SLACK_REQUESTS * largest;
                if sent > limit && !std::mem::replace(&mut cold.reported, true) {
                    let what = format!(
                        "{node}: sent {sent:.0} ms of work in {:.0} ms, cold, at most {limit:.0}",
                        bounds.fall_window_ms
                    );
                    violations.push(Violation { rule: Rule::ColdNodes, t, what });
                }
            }
            _ => {}
        }
    }
}

/// A token bucket that may go below zero, so that a negative level shows by how much a limit was exceeded.
struct TokenBucket {
    tokens: f64,
    capacity: f64,
    /// Tokens per second.
    rate: f64,
    updated_at: f64,
}

impl TokenBucket {
    fn new(capacity: f64, rate: f64, updated_at: f64) -> Self {
        Self { tokens: capacity, capacity, rate, updated_at }
    }

    /// Takes units and returns the level; a negative number gives units back.
    fn take(&mut self, t: f64, units: f64) -> f64 {
        self.tokens = (self.tokens + self.rate * (t - self.updated_at) / 1000.0).min(self.capacity);
        self.updated_at = t;
        self.tokens = (self.tokens - units).min(self.capacity);
        self.tokens
    }
}

/// Rule 5 and the quotas, for what all gateways forwarded for each account. A ceiling counts the price of a request. A
/// quota counts the price when the request is forwarded and the true units once the response is known.
fn check_accounts(records: &[&Record], bounds: &Bounds, violations: &mut Vec<Violation>) {
    let requests = requests_by_id(records);
    let no_limits = PlanBounds::default();
    let mut ceilings: BTreeMap<&str, TokenBucket> = BTreeMap::new();
    let mut quotas: BTreeMap<&str, TokenBucket> = BTreeMap::new();
    let mut counted: HashSet<&str> = HashSet::new();
    let mut request_of: HashMap<u64, &str> = HashMap::new();
    let (mut reported_ceiling, mut reported_quota): (HashSet<&str>, HashSet<&str>) = Default::default();
    for record in records {
        let t = record.t;
        match &record.event {
            Event::RequestRead { id, attempt, .. } => {
                request_of.insert(*attempt, id);
                let Some(request) = requests.get(id.as_str()) else { continue };
                if !counted.insert(id) {
                    continue;
                }
                let plan = bounds.plans.get(request.plan).unwrap_or(&no_limits);
                if plan.ceiling_rate > 0.0 {
                    let full = || TokenBucket::new(plan.ceiling_burst, plan.ceiling_rate, t);
                    let tokens = ceilings.entry(request.customer).or_insert_with(full).take(t, request.units);
                    if tokens < -plan.ceiling_slack - 1e-6 && reported_ceiling.insert(request.customer) {
                        let what = format!(
                            "{}: {:.1} units below its ceiling, at most {}",
                            request.customer, -tokens, plan.ceiling_slack
                        );
                        violations.push(Violation { rule: Rule::Ceilings, t, what });
                    }
                }
                if plan.rate > 0.0 {
                    let full = || TokenBucket::new(plan.burst * bounds.allowed_bursts, plan.rate, t);
                    let tokens = quotas.entry(request.customer).or_insert_with(full).take(t, request.units);
                    if tokens < -bounds.max_request_units - 1e-6 && reported_quota.insert(request.customer) {
                        let what = format!(
                            "{}: {:.1} units beyond {} bursts and its rate",
                            request.customer, -tokens, bounds.allowed_bursts
                        );
                        violations.push(Violation { rule: Rule::Quotas, t, what });
                    }
                }
            }
            Event::ResponseSent { attempt, status: 200, units } => {
                let request = request_of.get(attempt).and_then(|id| requests.get(id));
                if let Some((request, bucket)) = request.and_then(|a| Some((a, quotas.get_mut(a.customer)?)))
                {
                    // Only unused units are given back: a request that cost more than its price was admitted by its price.
                    bucket.take(t, (units - request.units).min(0.0));
                }
            }
            _ => {}
        }
    }
}
