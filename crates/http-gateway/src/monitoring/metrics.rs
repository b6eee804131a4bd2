//! The metrics in the OpenMetrics text format. Names, labels and help texts are a stable format.

use crate::fleet::{CallCounts, FleetMetrics};
use crate::requests::{FinalResponseRecord, SERVED};
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram};
use prometheus_client::registry::{Metric, Registry};
use std::sync::atomic::AtomicU64;

/// Upper bounds of the response time buckets, in seconds.
const RESPONSE_TIME_BUCKETS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];
/// The value that stands for the time since the last datagram if none has been received from a peer.
const NEVER_RECEIVED: i64 = -1;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ResponseLabels {
    code: String,
    plan: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct BackendLabels {
    node: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PlanLabels {
    plan: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PeerLabels {
    peer: u32,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DropLabels {
    cause: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TaskLabels {
    task: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    task: String,
    end: &'static str,
}

type FloatGauge = Gauge<f64, AtomicU64>;

/// The gauges of one backend.
#[derive(Debug)]
pub(crate) struct BackendGauges {
    pub name: String,
    pub concurrency_limit: f64,
    pub in_flight: u32,
    /// Whether the backend is listed as ready and not ejected.
    pub usable: bool,
}

/// The values that are read when the metrics are scraped.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub ready: bool,
    pub requests: usize,
    pub client_connections: usize,
    pub buffered_bytes: u64,
    pub resident_bytes: u64,
    pub counter_unavailable: bool,
    /// Attempts that the decisions counted and no request had, so far.
    pub lost_attempts: u64,
    /// Units of the quota leases held, by plan.
    pub leased_units: Vec<(String, f64)>,
    pub backends: Vec<BackendGauges>,
    /// The values of the link to the other gateways and of the tasks.
    pub fleet: FleetMetrics,
}

/// All metrics of a gateway. Responses are recorded as they happen, the gauges when they are scraped.
pub(super) struct Metrics {
    registry: Registry,
    response_seconds: Family<ClassLabels, Histogram, fn() -> Histogram>,
    responses: Family<ResponseLabels, Counter>,
    process: ProcessGauges,
    backends: BackendFamilies,
    peers: PeerFamilies,
    tasks: TaskFamilies,
}

struct ProcessGauges {
    requests: Gauge,
    client_connections: Gauge,
    buffered_bytes: Gauge,
    resident_bytes: Gauge,
    counter_unavailable: Gauge,
    lost_attempts: Gauge,
    ready: Gauge,
    leased_units: Family<PlanLabels, FloatGauge>,
}

struct BackendFamilies {
    concurrency_limit: Family<BackendLabels, FloatGauge>,
    in_flight: Family<BackendLabels, Gauge>,
    usable: Family<BackendLabels, Gauge>,
}

struct PeerFamilies {
    since_last_received_ms: Family<PeerLabels, Gauge>,
    round_trip_ms: Family<PeerLabels, FloatGauge>,
    datagrams: Family<PeerLabels, Gauge>,
    datagrams_lost: Family<PeerLabels, Gauge>,
    clock_ahead_ms: Family<PeerLabels, FloatGauge>,
    dropped: Family<DropLabels, Gauge>,
}

struct TaskFamilies {
    held: Family<TaskLabels, Gauge>,
    calls: Family<CallLabels, Gauge>,
}

/// Registers a metric. The text has the metrics in the order of their registration.
fn register<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

impl Metrics {
    pub(super) fn new() -> Self {
        let mut registry = Registry::with_prefix("doorcourse");
        let r = &mut registry;
        let response_times: fn() -> Histogram = || Histogram::new(RESPONSE_TIME_BUCKETS);
        let response_seconds = Family::new_with_constructor(response_times);
        r.register("served_seconds", "Time to a node's whole answer, by class", response_seconds.clone());
        let responses = register(r, "answers", "Final answers, by code (SERVED, or the error's) and plan");
        let process = ProcessGauges::register(r);
        let backends = BackendFamilies::register(r);
        let peers = PeerFamilies::register(r);
        let tasks = TaskFamilies::register(r);
        Self { registry, response_seconds, responses, process, backends, peers, tasks }
    }

    /// Counts the final response of a request.
    pub(super) fn record_final_response(&self, record: &FinalResponseRecord) {
        if record.code == SERVED {
            let labels = ClassLabels { class: record.class.to_string() };
            self.response_seconds.get_or_create(&labels).observe(record.elapsed / 1000.0);
        }
        let labels = ResponseLabels { code: record.code.to_owned(), plan: record.plan.to_string() };
        self.responses.get_or_create(&labels).inc();
    }

    /// The text of all metrics, with the gauges as in `snapshot`.
    pub(super) fn text(&self, snapshot: &Snapshot) -> String {
        self.process.set(snapshot);
        self.backends.set(&snapshot.backends);
        self.peers.set(&snapshot.fleet);
        self.tasks.set(&snapshot.fleet);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl ProcessGauges {
    fn register(r: &mut Registry) -> Self {
        Self {
            requests: register(r, "requests_open", "Requests not answered yet"),
            client_connections: register(r, "client_connections", "Client connections"),
            buffered_bytes: register(r, "held_bytes", "Bytes held for clients"),
            resident_bytes: register(r, "resident_bytes", "Resident memory of the process"),
            counter_unavailable: register(r, "counter_silent", "1 while the shared counter is silent"),
            lost_attempts: register(
                r,
                "lost_attempts",
                "Attempts that were counted and in no request, so far",
            ),
            ready: register(r, "ready", "1 while new clients are wanted"),
            leased_units: register(r, "lease_units", "Units of blocks in hand, by plan"),
        }
    }

    fn set(&self, snapshot: &Snapshot) {
        self.requests.set(saturating(snapshot.requests));
        self.client_connections.set(saturating(snapshot.client_connections));
        self.buffered_bytes.set(saturating(snapshot.buffered_bytes));
        self.resident_bytes.set(saturating(snapshot.resident_bytes));
        self.counter_unavailable.set(snapshot.counter_unavailable.into());
        self.lost_attempts.set(saturating(snapshot.lost_attempts));
        self.ready.set(snapshot.ready.into());
        // Plans that have been removed are no longer reported.
        self.leased_units.clear();
        for (plan, units) in &snapshot.leased_units {
            self.leased_units.get_or_create(&PlanLabels { plan: plan.clone() }).inc_by(*units);
        }
    }
}

impl BackendFamilies {
    fn register(r: &mut Registry) -> Self {
        Self {
            concurrency_limit: register(r, "node_room", "Attempts that a node is given at most"),
            in_flight: register(r, "node_attempts", "Attempts out at a node"),
            usable: register(r, "node_usable", "1 while a node is listed and not left alone"),
        }
    }

    fn set(&self, backends: &[BackendGauges]) {
        // Backends that have been removed are no longer reported.
        self.concurrency_limit.clear();
        self.in_flight.clear();
        self.usable.clear();
        for backend in backends {
            let labels = BackendLabels { node: backend.name.clone() };
            self.concurrency_limit.get_or_create(&labels).set(backend.concurrency_limit);
            self.in_flight.get_or_create(&labels).set(backend.in_flight.into());
            self.usable.get_or_create(&labels).set(backend.usable.into());
        }
    }
}

impl PeerFamilies {
    fn register(r: &mut Registry) -> Self {
        Self {
            since_last_received_ms: register(
                r,
                "peer_heard_ms",
                "Since a peer gateway was heard last; -1 if never",
            ),
            round_trip_ms: register(r, "peer_round_trip_ms", "Round trip to a peer gateway"),
            datagrams: register(r, "peer_datagrams", "Datagrams taken from a peer gateway"),
            datagrams_lost: register(
                r,
                "peer_datagrams_lost",
                "Datagrams that a peer numbered and that did not come",
            ),
            clock_ahead_ms: register(
                r,
                "peer_clock_ahead_ms",
                "A peer gateway's wall clock beside this one's",
            ),
            dropped: register(r, "link_dropped", "Datagrams dropped, by cause"),
        }
    }

    fn set(&self, fleet: &FleetMetrics) {
        self.since_last_received_ms.clear();
        self.round_trip_ms.clear();
        self.datagrams.clear();
        self.datagrams_lost.clear();
        self.clock_ahead_ms.clear();
        for peer in &fleet.peers {
            let labels = PeerLabels { peer: peer.number };
            self.since_last_received_ms
                .get_or_create(&labels)
                .set(peer.last_received_ago.map_or(NEVER_RECEIVED, saturating));
            self.datagrams.get_or_create(&labels).set(saturating(peer.received));
            self.datagrams_lost.get_or_create(&labels).set(saturating(peer.lost));
            if let Some(ms) = peer.clock_offset {
                self.clock_ahead_ms.get_or_create(&labels).set(ms);
            }
            if let Some(ms) = peer.round_trip {
                self.round_trip_ms.get_or_create(&labels).set(ms);
            }
        }
        for drop in &fleet.drops {
            self.dropped.get_or_create(&DropLabels { cause: drop.reason }).set(saturating(drop.count));
        }
    }
}

impl TaskFamilies {
    fn register(r: &mut Registry) -> Self {
        Self {
            held: register(r, "task_held", "1 while this gateway holds a task's lease"),
            calls: register(r, "task_calls", "Calls of tasks, by end: good, failed, kept_back"),
        }
    }

    fn set(&self, fleet: &FleetMetrics) {
        self.held.clear();
        self.calls.clear();
        for lease in &fleet.leases {
            self.held.get_or_create(&TaskLabels { task: lease.task.clone() }).set(lease.is_held.into());
        }
        for call in &fleet.calls {
            for (end, count) in counts_by_end(call.counts) {
                let labels = CallLabels { task: call.task.clone(), end };
                self.calls.get_or_create(&labels).set(saturating(count));
            }
        }
    }
}

/// The counts of a task's calls, with the value of the label `end` for each.
fn counts_by_end(counts: CallCounts) -> [(&'static str, u64); 3] {
    [("good", counts.succeeded), ("failed", counts.failed), ("kept_back", counts.withheld)]
}

/// A count as the value of a gauge; one that is too large becomes the maximum.
fn saturating(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
