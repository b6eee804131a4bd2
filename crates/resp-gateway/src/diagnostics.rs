//! Logs the state of the decision library next to that of the sockets, at most once a second, at level `debug` of the
//! target `doorcourse::watch`; at level `trace`, also the first attempt and the rejection of each request. No decision
//! depends on it, and it does not wake the event loop: an idle gateway logs less often.
//!
//! Memory that comes close to its limit is logged at any level.

mod memory;

use crate::backends::Backends;
use crate::clients::ClientTable;
use crate::counter::CounterPool;
use crate::reactor::Reactor;
use crate::requests::RequestTable;
use doorcourse::{
    Action, AttemptEnd, AttemptOutcome, BackendStatus, CounterOutcome, Event, Gateway, Millis, Name,
    RejectReason, RequestId,
};
use doorcourse_event_loop::process_memory;
use memory::{BufferUse, MemoryWatch};
use std::collections::{BTreeMap, HashMap};

const LOG_TARGET: &str = "doorcourse::watch";
/// How often the counts are logged, in ms.
const INTERVAL_MS: Millis = 1000.0;

/// How the attempts at a backend ended in an interval.
#[derive(Default)]
struct AttemptCounts {
    served: u32,
    failed: u32,
    rejected: u32,
    never_sent: u32,
    longest_served_ms: Millis,
    served_sum_ms: Millis,
}

/// How counter calls ended in an interval.
#[derive(Default)]
struct CounterCallCounts {
    totals: u32,
    not_added: u32,
    unknown: u32,
    late: u32,
    total_latency_sum_ms: Millis,
}

/// A request without a final response.
struct OpenRequest {
    customer: Name,
    plan: Name,
    received_at: Millis,
    /// Whether its first attempt has been logged.
    is_sent: bool,
}

/// The components whose state is logged.
pub(crate) struct Components<'a> {
    /// The decision library.
    pub gateway: &'a Gateway,
    pub backends: &'a Backends,
    pub clients: &'a ClientTable,
    pub counter: &'a CounterPool,
    pub requests: &'a RequestTable,
}

/// Counts the events and actions of the decision library, and logs the counts.
pub(crate) struct Diagnostics {
    logged_at: Millis,
    is_enabled: bool,
    /// Whether the first attempt of each request is logged, and each rejection with the state of its customer.
    logs_each_request: bool,
    attempts: BTreeMap<Name, AttemptCounts>,
    counter_calls: CounterCallCounts,
    /// Rejections by reason and plan.
    rejections: BTreeMap<(&'static str, Name), u32>,
    open_requests: HashMap<RequestId, OpenRequest>,
    memory: MemoryWatch,
}

impl Diagnostics {
    pub(crate) fn new(now: Millis, memory_limit_bytes: u64) -> Self {
        Self {
            logged_at: now,
            is_enabled: tracing::enabled!(target: LOG_TARGET, tracing::Level::DEBUG),
            logs_each_request: tracing::enabled!(target: LOG_TARGET, tracing::Level::TRACE),
            attempts: BTreeMap::new(),
            counter_calls: CounterCallCounts::default(),
            rejections: BTreeMap::new(),
            open_requests: HashMap::new(),
            memory: MemoryWatch::new(now, memory_limit_bytes),
        }
    }

    /// Counts an event that the decision library receives.
    pub(crate) fn record_event(&mut self, now: Millis, event: &Event) {
        if !self.is_enabled {
            return;
        }
        match event {
            Event::RequestReceived(request) => {
                let open = OpenRequest {
                    customer: request.customer.clone(),
                    plan: request.plan.clone(),
                    received_at: now,
                    is_sent: false,
                };
                self.open_requests.insert(request.id, open);
            }
            Event::ClientDisconnected { id } => drop(self.open_requests.remove(id)),
            Event::CounterCallEnded { outcome, latency, .. } => self.counter_calls.record(outcome, *latency),
            Event::AttemptEnded(end) => {
                if end.final_response_sent {
                    self.open_requests.remove(&end.id);
                }
                self.attempts.entry(end.backend.clone()).or_default().record(end);
            }
            _ => {}
        }
    }

    /// Counts an action of the decision library.
    pub(crate) fn record_action(&mut self, now: Millis, action: &Action, gateway: &Gateway) {
        if !self.is_enabled {
            return;
        }
        match action {
            Action::Reject { id, reason, .. } => self.record_rejection(now, *id, *reason, gateway),
            Action::SendAttempt { id, .. } if self.logs_each_request => {
                let open = self.open_requests.get_mut(id).filter(|open| !open.is_sent);
                if let Some(open) = open {
                    open.is_sent = true;
                    let queued_ms = now - open.received_at;
                    let customer = &open.customer;
                    let plan = &open.plan;
                    tracing::trace!(target: LOG_TARGET, %customer, %plan, queued_ms, "request forwarded");
                }
            }
            Action::Fail { id } => drop(self.open_requests.remove(id)),
            _ => {}
        }
    }

    fn record_rejection(&mut self, now: Millis, id: RequestId, reason: RejectReason, gateway: &Gateway) {
        let Some(open) = self.open_requests.remove(&id) else { return };
        let reason = match reason {
            RejectReason::QuotaExceeded => "quota exceeded",
            RejectReason::Overloaded => "overloaded",
        };
        if self.logs_each_request {
            let customer = gateway.customers().find(|status| status.name == open.customer);
            // Infinite for a request that was rejected after an attempt: its time in the queue was logged before.
            let queued_ms = if open.is_sent { f64::INFINITY } else { (now - open.received_at).round() };
            tracing::trace!(target: LOG_TARGET, reason, queued_ms, ?customer, "request rejected");
        }
        *self.rejections.entry((reason, open.plan)).or_default() += 1;
    }

    /// Logs the counts if the interval is over.
    pub(crate) fn handle_timeout(&mut self, reactor: &Reactor, components: &Components<'_>) {
        let usage = BufferUse {
            buffered_bytes: reactor.buffers.used(),
            client_connections: components.clients.connection_count(),
            open_requests: components.requests.len(),
            rejected_requests: components.requests.rejected_for_memory(),
            discarded_commands: components.clients.discarded_commands(),
        };
        self.memory.check(reactor.now, &usage);
        if !self.is_enabled || reactor.now < self.logged_at + INTERVAL_MS {
            return;
        }
        self.logged_at = reactor.now;
        self.log_counter_and_rejections();
        log_connections(reactor, components);
        let attempts = std::mem::take(&mut self.attempts);
        let none = AttemptCounts::default();
        for status in components.gateway.backends() {
            let counts = attempts.get(&status.name).unwrap_or(&none);
            log_backend(reactor.now, &status, components.backends, counts);
        }
    }

    fn log_counter_and_rejections(&mut self) {
        let calls = std::mem::take(&mut self.counter_calls);
        let rejections = std::mem::take(&mut self.rejections);
        let mean_latency_ms = calls.total_latency_sum_ms / f64::from(calls.totals.max(1));
        tracing::debug!(
            target: LOG_TARGET,
            totals = calls.totals,
            mean_latency_ms = round_to_tenth(mean_latency_ms),
            not_added = calls.not_added,
            unknown = calls.unknown,
            late = calls.late,
            ?rejections,
            "counter calls and rejections"
        );
    }
}

impl CounterCallCounts {
    fn record(&mut self, outcome: &CounterOutcome, latency: Millis) {
        match outcome {
            CounterOutcome::Total(_) => {
                self.totals += 1;
                self.total_latency_sum_ms += latency;
            }
            CounterOutcome::NotAdded => self.not_added += 1,
            CounterOutcome::Unknown => self.unknown += 1,
            CounterOutcome::Late { .. } => self.late += 1,
        }
    }
}

impl AttemptCounts {
    fn record(&mut self, end: &AttemptEnd) {
        match end.outcome {
            AttemptOutcome::Served => {
                self.served += 1;
                self.served_sum_ms += end.latency;
                self.longest_served_ms = self.longest_served_ms.max(end.latency);
            }
            AttemptOutcome::Rejected => self.rejected += 1,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent => self.never_sent += 1,
            _ => self.failed += 1,
        }
    }
}

fn log_connections(reactor: &Reactor, components: &Components<'_>) {
    let gateway = components.gateway;
    tracing::debug!(
        target: LOG_TARGET,
        open_requests = components.requests.len(),
        client_connections = components.clients.connection_count(),
        backend_connections = components.backends.connection_count(),
        backend_connections_opened = components.backends.connections_opened,
        counter_connections = components.counter.connection_count(),
        counter_unavailable = gateway.is_counter_silent(),
        customers = gateway.customers().count(),
        resident_bytes = process_memory().unwrap_or_default().resident,
        buffered_bytes = reactor.buffers.used(),
        closed = ?components.clients.closed(),
        system_calls = doorcourse_event_loop::system_calls().total(),
        "connections"
    );
}

/// Logs the state of a backend, unless it is not ready and has no attempts or open connections.
fn log_backend(now: Millis, status: &BackendStatus, backends: &Backends, counts: &AttemptCounts) {
    let pool = backends.pool_counts(&status.name);
    if !status.ready && pool.busy + pool.idle + pool.waiting == 0 && status.in_flight == 0 {
        return;
    }
    tracing::debug!(
        target: LOG_TARGET,
        backend = &*status.name,
        ready = status.ready,
        in_flight = status.in_flight,
        busy = pool.busy,
        waiting = pool.waiting,
        connecting = pool.connecting,
        idle = pool.idle,
        concurrency_limit = round_to_tenth(status.concurrency_limit),
        consecutive_failures = status.consecutive_failures,
        ejected_for_ms = (status.ejected_until - now).max(0.0).round(),
        served = counts.served,
        mean_latency_ms = (counts.served_sum_ms / f64::from(counts.served.max(1))).round(),
        max_latency_ms = counts.longest_served_ms.round(),
        failed = counts.failed,
        rejected = counts.rejected,
        never_sent = counts.never_sent,
        "backend status"
    );
}

fn round_to_tenth(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
