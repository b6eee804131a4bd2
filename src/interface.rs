//! The types that pass between a host and a gateway: settings, events and actions. No behaviour lives here.

use std::sync::Arc;

/// A name that the host hands in and gets back unchanged: a customer, backend, class, plan, zone.
pub type Name = Arc<str>;
/// Milliseconds: a point on the host's clock or a span of it.
pub type Millis = f64;
/// The host's number for one try of a client; never used twice.
pub type RequestId = u64;

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat at any time.
    Idempotent,
    /// Carries a key: backends of one group drop a repeat for a stated time.
    WithKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The backends that share the memory of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The class's name.
    pub name: Name,
    /// An answer within this time has its full worth.
    pub latency_objective: Millis,
    /// What repeating it may do.
    pub idempotency: Idempotency,
    /// Who drops a keyed repeat.
    pub deduplication_scope: DeduplicationScope,
    /// For how long a keyed repeat is dropped, from the first send that may have run.
    pub deduplication_window: Millis,
    /// What an answer is worth.
    pub priority_weight: f64,
    /// The share of the worth that an answer after the aim still has.
    pub late_response_value: f64,
}

/// One plan: the quota each of its customers holds over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The plan's name.
    pub name: Name,
    /// Units a second; 0 means no such quota.
    pub rate: f64,
    /// The most units that may be used at once.
    pub burst: f64,
    /// The most attempts out at once; 0 means no such quota.
    pub max_in_flight: u32,
    /// Units a second that the hard ceiling fills by; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// The most units that the ceiling holds.
    pub ceiling_burst: f64,
    /// What the ceiling may be passed by.
    pub ceiling_slack: f64,
    /// A factor on the worth of a request.
    pub priority_factor: f64,
    /// The share of its worth that a request beyond the quota earns.
    pub over_quota_value: f64,
    /// The share of its worth that a request beyond the quota costs.
    pub over_quota_cost: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// With the answers.
    Responses,
    /// With the answers to probes only.
    HealthChecks,
}

/// All that a gateway is told at its start. The default is all zeros and no classes: a start to fill in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many gateways there are.
    pub gateway_count: u32,
    /// This gateway's number, from 0.
    pub gateway_index: u32,
    /// The zone this gateway is in.
    pub zone: Name,
    /// The shortest time between two calls of `handle`.
    pub tick: Millis,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Whether there is a shared counter.
    pub has_counter: bool,
    /// A counter call without an answer for this long is given up.
    pub counter_timeout: Millis,
    /// Whether the true units come with the answer.
    pub responses_report_units: bool,
    /// The most units of one request.
    pub max_request_units: f64,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Whether probes are allowed.
    pub health_checks_allowed: bool,
    /// Whether gateways may send each other messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be called off.
    pub cancellation_allowed: bool,
    /// Whether the list must be asked for.
    pub watch_on_request: bool,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The longest advice that a client follows.
    pub max_retry_after: Millis,
    /// A backend starts with this share of its capacity or more.
    pub slow_start_share: f64,
    /// A backend is warm after this time at most.
    pub slow_start_duration: Millis,
    /// A cold backend falls over when sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The time over which that is judged.
    pub overload_window: Millis,
    /// The points taken off for one crossing of zones a request.
    pub cross_zone_price: f64,
    /// How backends with stated places are chosen.
    pub routing: Routing,
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// A figure is negative, not finite, or zero where it may not be.
    InvalidValue(&'static str),
    /// The gateway's own number is not below the number of gateways.
    GatewayIndexOutOfRange,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no request class"),
            Self::InvalidValue(what) => write!(f, "settings hold an unusable figure: {what}"),
            Self::GatewayIndexOutOfRange => {
                write!(f, "the gateway's number is not below the number of gateways")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// What the list of backends says of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It runs.
    Ready,
    /// It finishes its work and must be sent nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// What a backend is there for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendRole {
    /// It takes its part.
    #[default]
    Active,
    /// It is used when nothing else of its tier can serve.
    Standby,
    /// It stands in for one active backend of its tier that is out of service, until that one is warm again.
    Spare,
    /// It takes only requests that are bound to it.
    StickyOnly,
}

/// A backend's place among the others. The default is that of a list which says nothing of places.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Its part of the requests beside the others of its tier; above 0.
    pub weight: f64,
    /// Tiers are tried in order from 0.
    pub priority_level: u32,
    /// What it is there for.
    pub role: BackendRole,
    /// The name that requests are bound to it by; empty for none.
    pub sticky_route: Name,
    /// The route that takes its bound requests when it is out of service; empty for none.
    pub failover_route: Name,
    /// Backends of one group stand in for each other for bound requests; empty for none.
    pub failover_group: Name,
}

impl Default for Placement {
    fn default() -> Self {
        let (route, redirect, group) = (Name::default(), Name::default(), Name::default());
        Self {
            weight: 1.0,
            priority_level: 0,
            role: BackendRole::Active,
            sticky_route: route,
            failover_route: redirect,
            failover_group: group,
        }
    }
}

/// How requests are spread over the backends of a tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadBalancing {
    /// To the one with the fewest of this gateway's attempts out; by weight where weights differ.
    #[default]
    LeastInFlight,
    /// By weight alone.
    WeightedRoundRobin,
    /// To the one with the fewest attempts out beside its weight, of equals by weight.
    WeightedLeastInFlight,
}

/// Rules for the choice among backends that the list states places for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Routing {
    /// How requests are spread.
    pub load_balancing: LoadBalancing,
    /// A bound request waits and is refused rather than served elsewhere.
    pub strict_affinity: bool,
    /// A backend whose start is not known and that refused a connection counts as started when it is tried again.
    pub assume_restart: bool,
}

/// One line of the list of backends.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// Which backend.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its cell.
    pub cell: u64,
    /// What is known of it.
    pub state: BackendState,
    /// When it last started, where that is known.
    pub started: Option<Millis>,
    /// Its place among the others.
    pub placement: Placement,
}

/// A backend's report of its own load; each value only where the site has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Its recent service time, without waiting.
    pub service_time: Option<Millis>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was served.
    Served,
    /// The backend answered with an error; it may have run.
    Error,
    /// The backend turned it away unseen.
    Rejected,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// It was called off; it may have run.
    Cancelled,
    /// It was never sent.
    NeverSent,
}

/// How a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterOutcome {
    /// The total after the add.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No answer in time; the amount may have been added.
    Unknown,
    /// What became of a call that ended as unknown before, where the host learns it.
    Late {
        /// Whether the amount was added.
        added: bool,
        /// The total after the add, where that is told.
        total: Option<f64>,
    },
}

/// A request that came in.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Its number.
    pub id: RequestId,
    /// Whose it is.
    pub customer: Name,
    /// The customer's plan.
    pub plan: Name,
    /// Its class.
    pub class: Name,
    /// The units it draws, or a guess of them.
    pub units: f64,
    /// Whether the client marks it as a repeat of an earlier try.
    pub client_retry: bool,
    /// How long until the client gives up.
    pub timeout: Millis,
    /// The number of the first gateway of the customer's set; the others follow in a row, counted round.
    pub first_gateway: u32,
    /// How many gateways the customer's requests come in through.
    pub gateway_count: u32,
    /// The route that the request is bound to; empty for none.
    pub sticky_route: Name,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    /// Where it was sent.
    pub backend: Name,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it was out.
    pub latency: Millis,
    /// The true units, where they come with the answer.
    pub true_units: Option<f64>,
    /// Whether the request has had its final answer.
    pub final_response_sent: bool,
    /// A load report, where one came along.
    pub load_report: Option<LoadReport>,
}

/// What a gateway holds of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerStatus {
    /// Which customer.
    pub name: Name,
    /// Its plan.
    pub plan: Name,
    /// Units of the block in hand.
    pub leased_units: f64,
    /// What its store holds, by all totals heard.
    pub available_units: f64,
    /// Used and not yet added to the count, or to be given back (negative).
    pub unreported_units: f64,
    /// Requests that wait for a block.
    pub waiting: usize,
    /// Attempts out.
    pub in_flight: u32,
}

/// What a gateway knows of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    /// Which backend.
    pub name: Name,
    /// Whether the list lets it be used.
    pub ready: bool,
    /// Attempts out.
    pub in_flight: u32,
    /// How many attempts this gateway keeps out there at most.
    pub concurrency_limit: f64,
    /// When it last started, where that is known.
    pub started: Option<Millis>,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// Left alone until then.
    pub ejected_until: Millis,
}

/// Something that a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The settings changed. Its own number stays; what is out goes on under the class and plan it came with.
    SettingsChanged(Box<Settings>),
    /// What an earlier process of this gateway had learnt of the backends; heard once, behind the first list.
    StateRestored(Vec<BackendStatus>),
    /// This gateway will end: it holds no more in hand than it needs, and what it holds goes back.
    ShutdownStarted,
    /// The whole list of backends; one that is missing is gone.
    BackendList(Vec<BackendEntry>),
    /// Changes to the list.
    BackendChanges(Vec<BackendEntry>),
    /// A call for the list failed.
    BackendListFailed,
    /// A request came in.
    RequestReceived(IncomingRequest),
    /// A stream began on an attempt; it belongs to the client from now on.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe ended.
    HealthCheckEnded {
        /// The backend.
        backend: Name,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took.
        latency: Millis,
        /// A load report, where one came along.
        load_report: Option<LoadReport>,
    },
    /// The client left; the request is over.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer ran out.
    TimerExpired {
        /// The token given when it was set.
        token: u64,
    },
    /// A counter call ended.
    CounterCallEnded {
        /// The count's name.
        counter: u64,
        /// How it ended.
        outcome: CounterOutcome,
        /// How long it took.
        latency: Millis,
    },
    /// A message from another gateway.
    GossipReceived {
        /// The sender's number.
        from: u32,
        /// What it says.
        bytes: Vec<u8>,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its customer is beyond the quota.
    QuotaExceeded,
    /// What serves is full, or the gateway sheds.
    Overloaded,
}

/// Something that the host is to do at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a backend.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: Name,
        /// The attempt's time-out; `None` until the client gives up.
        timeout: Option<Millis>,
        /// For a repeat that is dropped as such for a time only: what is left of that time. The attempt is withdrawn
        /// unless it is written whole by then.
        must_be_written_within: Option<Millis>,
    },
    /// Final answer: refused, harmless to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client ought to wait.
        retry_after: Millis,
        /// Why.
        reason: RejectReason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// How long from now.
        after: Millis,
        /// What the timer brings back.
        token: u64,
    },
    /// Probe a backend.
    CheckHealth {
        /// Which one.
        backend: Name,
    },
    /// Add to a shared count and hear its total.
    AddToCounter {
        /// The count's name, below 2^63.
        counter: u64,
        /// What to add.
        amount: f64,
        /// How long a new name is kept.
        time_to_live: Millis,
    },
    /// Send a message to all other gateways.
    Gossip {
        /// What it says.
        bytes: Vec<u8>,
    },
    /// Ask for changes to the list of backends from now on.
    WatchBackends,
    /// Write a line to the log.
    Log(String),
}
