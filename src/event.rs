//! What the host reports to a gateway.

use crate::settings::Settings;
use crate::status::BackendStatus;
use crate::types::{Millis, Name, RequestId};

/// The state of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// It finishes its requests in flight and must be sent nothing new.
    Draining,
    /// It is no longer part of the fleet.
    Removed,
}

/// The role of a backend within its priority level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendRole {
    /// It takes its share of the requests.
    #[default]
    Active,
    /// It is used when no other backend of its priority level can serve.
    Standby,
    /// It replaces one active backend of its level that is out of service, until that one has warmed up again, or one
    /// that takes only requests with its sticky route.
    Spare,
    /// It takes only requests with its sticky route.
    StickyOnly,
}

/// Where a backend stands among the others. The default applies where the endpoint list states no placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Its share of the requests relative to the others of its priority level; above 0.
    pub weight: f64,
    /// Priority levels are tried in order from 0.
    pub priority_level: u32,
    /// Its role within its priority level.
    pub role: BackendRole,
    /// The sticky route whose requests are bound to it; empty for none.
    pub sticky_route: Name,
    /// The sticky route that takes over its bound requests when it is out of service; empty for none.
    pub failover_route: Name,
    /// Backends of one failover group replace each other for bound requests; empty for none.
    pub failover_group: Name,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            weight: 1.0,
            priority_level: 0,
            role: BackendRole::Active,
            sticky_route: Name::default(),
            failover_route: Name::default(),
            failover_group: Name::default(),
        }
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// The backend's name.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: BackendState,
    /// When it last started, on the host's clock, where that is known.
    pub started: Option<Millis>,
    /// Where it stands among the other backends.
    pub placement: Placement,
}

/// A backend's report of its own load; each value only where the deployment has it. Not used yet: the decisions read
/// no load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the backend.
    pub in_flight: Option<f64>,
    /// Requests queued at the backend.
    pub queued: Option<f64>,
    /// The backend's recent service time in ms, without the time in its queue.
    pub service_time: Option<Millis>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend served the request.
    Served,
    /// The backend responded with an error; the request may have been executed.
    Error,
    /// The backend rejected the request before any work.
    Rejected,
    /// No response in time; the request may have been executed, or may still be.
    TimedOut,
    /// No connection could be made; the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    ConnectionLost,
    /// The gateway cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

impl AttemptOutcome {
    /// Whether a backend may have executed the request.
    #[must_use]
    pub fn may_have_executed(self) -> bool {
        !matches!(self, Self::Rejected | Self::ConnectFailed | Self::NeverSent)
    }
}

/// How a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterOutcome {
    /// The total after the addition.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No response in time; the amount may have been added.
    Unknown,
    /// The late result of a call that was reported as unknown, where the host learns it.
    Late {
        /// Whether the amount was added.
        added: bool,
        /// The total after the addition, where the response has it.
        total: Option<f64>,
    },
}

/// A request that a client sent.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Its number.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: Name,
    /// The customer's plan.
    pub plan: Name,
    /// Its class.
    pub class: Name,
    /// The units it uses, or an estimate.
    pub units: f64,
    /// Whether the client marks it as a retry of an earlier request.
    pub client_retry: bool,
    /// How long the client waits, in ms.
    pub timeout: Millis,
    /// The index of the first gateway of the customer's set; the others follow by index, wrapping around.
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
    /// The host's number of the attempt. The decisions do not use it, so hosts may count from 0 or from 1.
    pub attempt: u32,
    /// The backend it was sent to.
    pub backend: Name,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it was in flight, in ms.
    pub latency: Millis,
    /// The units it used, where the response reports them.
    pub true_units: Option<f64>,
    /// Whether the client has received its final response or disconnected: the gateway sends no further response.
    pub final_response_sent: bool,
    /// A load report, where one came with the response. Not used yet.
    pub load_report: Option<LoadReport>,
}

impl AttemptEnd {
    /// The end of an attempt that was not started, because its request had ended.
    #[must_use]
    pub fn not_started(id: RequestId, backend: Name) -> Self {
        Self {
            id,
            attempt: 0,
            backend,
            outcome: AttemptOutcome::NeverSent,
            latency: 0.0,
            true_units: None,
            final_response_sent: true,
            load_report: None,
        }
    }
}

/// Something that happened, as the host reports it.
#[derive(Clone, Debug)]
pub enum Event {
    /// The settings changed. The gateway's index must stay the same; requests in flight keep the class and plan that
    /// they arrived with.
    SettingsChanged(Box<Settings>),
    /// State of backends from another source. Reported after the first endpoint list: once with the state that an
    /// earlier process of this gateway saved, and any number of times with what the host's outlier gossip reports of a
    /// backend. Each status replaces the concurrency limit, the consecutive failures and the ejection of the backend
    /// that it names; other backends are unchanged.
    StateRestored(Vec<BackendStatus>),
    /// The process shuts down: the gateway returns its leases and from now on leases only what waiting requests need.
    ShutdownStarted,
    /// The complete endpoint list; a backend that it does not name is gone.
    BackendList(Vec<BackendEntry>),
    /// Changes to the endpoint list.
    BackendChanges(Vec<BackendEntry>),
    /// A call for the endpoint list failed.
    BackendListFailed,
    /// A client sent a request.
    RequestReceived(IncomingRequest),
    /// A stream began on an attempt; it belongs to the client from now on. Not used yet: the gateway ignores it.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A health check ended. Not used yet: the gateway asks for none and ignores this.
    HealthCheckEnded {
        /// The backend.
        backend: Name,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took, in ms.
        latency: Millis,
        /// A load report, where one came with the response.
        load_report: Option<LoadReport>,
    },
    /// The client disconnected; its request is over.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    TimerExpired {
        /// The token that it was set with.
        token: u64,
    },
    /// A counter call ended.
    CounterCallEnded {
        /// The counter's name.
        counter: u64,
        /// How the call ended.
        outcome: CounterOutcome,
        /// How long it took, in ms.
        latency: Millis,
    },
    /// A message of another gateway arrived.
    GossipReceived {
        /// The sender's index. Not used yet.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}
