//! The state of the watch on the source of the endpoint list.
//!
//! The source is an agent on the gateway's own machine. While the discovery service behind the agent is reachable, the
//! agent responds at once; while the service is down, the agent accepts calls and sends nothing. When the service
//! returns, the agent may have a change, and the drain grace of the settings runs from that moment: a request forwarded
//! to a draining backend after the grace breaks the contract. So an unanswered call is repeated within the grace. The
//! unanswered call stays open beside the next one, so that a source that is only slow can still respond.
//!
//! | state | event | next state | action |
//! | --- | --- | --- | --- |
//! | backoff | backoff over | connecting | `Connect` |
//! | connecting | `request_sent` | open, no head | |
//! | connecting | connect timeout | backoff, by `connection_lost` | `Close` |
//! | open, no head | `response_started` | open, head received; no call is superseded | |
//! | open, no head | head timeout, no call is superseded | backoff; the call is superseded | `Supersede` |
//! | open, no head | head timeout, another call is superseded | backoff, by `connection_lost` | `Close` |
//! | open, head received | `message_received` | the same; a watch has its deadline extended | |
//! | open, head received | list or message timeout | backoff, by `connection_lost` | `Close` |
//! | any | `connection_lost` | backoff | |
//! | any | `address_changed` | backoff that ends at once; no call is superseded | |
//! | any | `superseded_response_started` | open, no head, with the call that was superseded; `response_started` is reported next | |
//! | any | timeout of the superseded call | the same; no call is superseded | `CloseSuperseded` |
//!
//! At most one superseded call is open at a time.
//!
//! | step | limit | counted from |
//! | --- | --- | --- |
//! | connect | half of the drain grace, 40 ms to 1 s | the start of the connect |
//! | response head | half of the drain grace, 40 ms to 1 s | the request |
//! | response head of a superseded call | 1 s | its request |
//! | complete list | 2 s | the request |
//! | complete message of a watch | 3.5 s | the request, then the last message |
//! | backoff | a quarter of the drain grace, 20 ms to 250 ms | the loss of the connection, or the head timeout |

use crate::availability::SourceAvailability;
use doorcourse::Millis;
use doorcourse_fail_points::rule_disabled;
use thiserror::Error;

/// Timeout of a complete message on a watch; the source sends an empty message every 2 s. The timeout counts from the
/// request, then from the last message, so that neither a head without a body nor a message that arrives byte by byte
/// extends it.
const WATCH_MESSAGE_TIMEOUT: Millis = 3500.0;
/// Timeout of a complete endpoint list, from the request on, however slowly its bytes arrive.
const FULL_LIST_TIMEOUT: Millis = 2000.0;
/// Upper bound of the call timeout, which applies to the connect and then to the response head of the current call.
const MAX_CALL_TIMEOUT: Millis = 1000.0;
/// Timeout of the response head of a superseded call, from its request on. It equals [`MAX_CALL_TIMEOUT`], so that a
/// call that was the current one for that long is closed as soon as it is superseded.
const SUPERSEDED_HEAD_TIMEOUT: Millis = 1000.0;
/// Longest backoff before the next connect.
const MAX_BACKOFF: Millis = 250.0;
/// Shortest backoff, so that a source that refuses connections at once is not called in a tight loop.
const MIN_BACKOFF: Millis = 20.0;

/// An action that the host carries out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Open a connection; then report `request_sent` or `connection_lost`.
    Connect,
    /// The response head of the current call did not arrive in time: keep its connection open beside the next call. At
    /// most one call is superseded at a time; the next [`WatchAction::Connect`] follows after a backoff.
    Supersede,
    /// The response head of the superseded call did not arrive in time either: close its connection.
    CloseSuperseded,
    /// The current connection has timed out, for this reason: close it and report `connection_lost`.
    Close(&'static str),
}

/// A list of changes that cannot be applied, because the gateway does not hold the list that they change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("changes of version {version} without the list before them")]
pub struct ApplyVersionError {
    /// The version of the changes.
    pub version: u64,
    /// The version of the list that is held, which is newer; `None` where no list is held.
    pub held_version: Option<u64>,
}

/// The current connection to the source.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    /// No connection is open; the next connect is due at `until`.
    Backoff { until: Millis },
    /// The connect is in progress.
    Connecting { deadline: Millis },
    /// A request was sent. `deadline` is the deadline of the response head, then of the complete list or message.
    Open { call: Call, deadline: Millis },
}

/// A request to the source and what has arrived of its response.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Call {
    /// The version that a watch continues from; `None` for a call that requests the full list.
    from_version: Option<u64>,
    head_received: bool,
    /// Whether a watch has delivered a complete message; an empty message counts.
    message_received: bool,
    /// Deadline of the full list or of the first complete message.
    complete_by: Millis,
}

impl Call {
    fn is_watch(&self) -> bool {
        self.from_version.is_some()
    }

    /// Whether this is a watch without a complete message so far. Such a watch may never deliver a message, so the next
    /// call requests the full list.
    fn is_silent_watch(&self) -> bool {
        self.is_watch() && !self.message_received
    }
}

/// A call without a response head, open beside the current connection.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SupersededCall {
    from_version: Option<u64>,
    /// When it is closed if no response head arrives.
    deadline: Millis,
    /// Deadline of its full list or first complete message, if it becomes the current call again.
    complete_by: Millis,
}

/// The watch on the endpoint list: when to connect, which version to request, and when a call has timed out.
///
/// The host reports each event with its time in milliseconds on one monotonic clock, and calls
/// [`handle_timeout`](Self::handle_timeout) until it returns `None` whenever [`next_timeout`](Self::next_timeout) is
/// reached.
#[derive(Clone, Debug)]
pub struct DiscoveryWatch {
    connection: Connection,
    superseded: Option<SupersededCall>,
    /// Timeout of a connect, and again of the response head, before the next call is made.
    call_timeout: Millis,
    backoff: Millis,
    /// The version of the list that is held; `None` where the full list has to be requested.
    version: Option<u64>,
    availability: SourceAvailability,
}

impl DiscoveryWatch {
    /// The longest time from the moment at which the source becomes reachable until the gateway holds the source's list
    /// of that moment, whatever happened to earlier calls.
    ///
    /// The longest case is a watch whose last message arrived just before that moment. After its timeout and a backoff,
    /// the next watch gets changes that cannot be applied, and the full list arrives after a second backoff. The
    /// property tests check this bound for every order of faults. It does not include the delay of the host's event
    /// loop. The platform allows 6 s, and 4 s after SIGHUP.
    pub const MAX_DELAY: Millis = WATCH_MESSAGE_TIMEOUT + 2.0 * MAX_BACKOFF;

    /// A watch whose first connect is due at once.
    ///
    /// `version` is the version of a list that the gateway already holds, from which the first watch continues.
    /// `drain_grace` is how long requests may still be forwarded to a draining backend, in ms.
    #[must_use]
    pub fn new(version: Option<u64>, drain_grace: Millis) -> Self {
        Self {
            connection: Connection::Backoff { until: f64::NEG_INFINITY },
            superseded: None,
            call_timeout: call_timeout(drain_grace),
            backoff: backoff(drain_grace),
            version,
            availability: SourceAvailability::default(),
        }
    }

    /// Changes the drain grace, in ms. Deadlines that are already set do not change.
    pub fn set_drain_grace(&mut self, drain_grace: Millis) {
        self.call_timeout = call_timeout(drain_grace);
        self.backoff = backoff(drain_grace);
    }

    /// Records that the source has another address: the next connect is due at once and continues from the version that
    /// is held. The host closes the current and the superseded call.
    pub fn address_changed(&mut self) {
        self.connection = Connection::Backoff { until: f64::NEG_INFINITY };
        self.superseded = None;
        self.availability.clear_reported_loss();
    }

    /// When [`handle_timeout`](Self::handle_timeout) has to be called next.
    #[must_use]
    pub fn next_timeout(&self) -> Millis {
        let deadline = self.connection_deadline();
        self.superseded.map_or(deadline, |superseded| superseded.deadline.min(deadline))
    }

    /// Handles one deadline that is reached. Returns the action for it, or `None` when no deadline is due at `now`.
    pub fn handle_timeout(&mut self, now: Millis) -> Option<WatchAction> {
        if self.superseded.is_some_and(|superseded| now >= superseded.deadline) {
            self.superseded = None;
            return Some(WatchAction::CloseSuperseded);
        }
        if now < self.connection_deadline() {
            return None;
        }
        Some(match self.connection {
            Connection::Backoff { .. } => {
                self.connection = Connection::Connecting { deadline: now + self.call_timeout };
                WatchAction::Connect
            }
            Connection::Connecting { .. } => WatchAction::Close("no connection"),
            Connection::Open { call, .. } if !call.head_received && self.superseded.is_none() => {
                self.supersede(now, call);
                WatchAction::Supersede
            }
            Connection::Open { .. } => WatchAction::Close("no answer, list or line in time"),
        })
    }

    /// Records that the connection is established and that the host sends a request on it. Returns the version from
    /// which the request watches for changes, or `None` where it requests the full list.
    pub fn request_sent(&mut self, now: Millis) -> Option<u64> {
        let complete_within = if self.version.is_some() { WATCH_MESSAGE_TIMEOUT } else { FULL_LIST_TIMEOUT };
        let call = Call {
            from_version: self.version,
            head_received: false,
            message_received: false,
            complete_by: now + complete_within,
        };
        self.connection = Connection::Open { call, deadline: now + self.call_timeout };
        self.version
    }

    /// Records that the response head of the current call arrived. It shows only that the source responds. The host
    /// closes a superseded call.
    pub fn response_started(&mut self) {
        self.superseded = None;
        let Connection::Open { call, deadline } = &mut self.connection else { return };
        if !call.message_received {
            call.head_received = true;
            *deadline = call.complete_by;
        }
    }

    /// Records that the response head of the superseded call arrived. The superseded call replaces the current call,
    /// whose connection the host closes. The host then decodes the head as that of the current call and reports
    /// [`response_started`](Self::response_started).
    ///
    /// Returns true where the call is a watch; false where it requests the full list or where no call is superseded.
    pub fn superseded_response_started(&mut self) -> bool {
        let Some(SupersededCall { from_version, complete_by, .. }) = self.superseded.take() else {
            return false;
        };
        let call = Call { from_version, head_received: false, message_received: false, complete_by };
        self.connection = Connection::Open { call, deadline: complete_by };
        // The call delivers the changes since the version that it requested.
        self.version = from_version;
        call.is_watch()
    }

    /// Records that the connection of the superseded call ended without a response head.
    pub fn superseded_lost(&mut self) {
        self.superseded = None;
    }

    /// Records that a complete message, a list or an empty line, arrived on the current call. It extends a watch by the
    /// message timeout; a call for the full list keeps its deadline. The host must not report an incomplete message.
    pub fn message_received(&mut self, now: Millis) {
        let Connection::Open { call, deadline } = &mut self.connection else { return };
        if call.is_watch() {
            call.message_received = true;
            *deadline = now + WATCH_MESSAGE_TIMEOUT;
            self.availability.clear_reported_loss();
        }
    }

    /// Records the version of a list that arrived. `full_list` is true for the full list, false for the changes since
    /// the version that is held.
    ///
    /// Returns true where this list makes the source available, which the host reports to the operator; false where the
    /// source was available already.
    ///
    /// A full list may have a lower version than the list that is held, if the source was set up anew.
    ///
    /// # Errors
    /// [`ApplyVersionError`] for changes where no list is held or a newer one is. The host then calls
    /// [`reset_version`](Self::reset_version).
    pub fn apply_version(&mut self, version: u64, full_list: bool) -> Result<bool, ApplyVersionError> {
        if !full_list && self.version.is_none_or(|held| version < held) {
            return Err(ApplyVersionError { version, held_version: self.version });
        }
        self.version = Some(version);
        Ok(self.availability.list_applied())
    }

    /// Makes the next call request the full list, because what arrived cannot be applied.
    pub fn reset_version(&mut self) {
        self.version = None;
    }

    /// Records that the current connection was closed, was lost or could not be made: the next connect is due after the
    /// backoff. Returns true where the host reports the loss to the operator, which it does once in an outage, however
    /// many connects fail.
    pub fn connection_lost(&mut self, now: Millis) -> bool {
        let silent_watch = matches!(self.connection, Connection::Open { call, .. } if call.is_silent_watch());
        if silent_watch {
            self.version = None;
        }
        self.connection = Connection::Backoff { until: now + self.backoff };
        self.availability.connection_lost(silent_watch)
    }

    fn connection_deadline(&self) -> Millis {
        match self.connection {
            Connection::Backoff { until } => until,
            Connection::Connecting { deadline } | Connection::Open { deadline, .. } => deadline,
        }
    }

    /// Keeps the current call open beside the next one, which requests the full list: a watch without a response may
    /// never deliver a change.
    fn supersede(&mut self, now: Millis, call: Call) {
        // The request of the call was sent one call timeout before `now`.
        let deadline = (now - self.call_timeout + SUPERSEDED_HEAD_TIMEOUT).max(now);
        self.superseded =
            Some(SupersededCall { from_version: call.from_version, deadline, complete_by: call.complete_by });
        self.connection = Connection::Backoff { until: now + self.backoff };
        self.version = None;
    }
}

/// How long a connect, and again a response head, may take before the next call is made. Together with the backoff this
/// is three quarters of the drain grace; the last quarter is left for the response and the delay of the event loop.
fn call_timeout(drain_grace: Millis) -> Millis {
    if rule_disabled("discovery-call-timeout") {
        return WATCH_MESSAGE_TIMEOUT;
    }
    (drain_grace / 2.0).clamp(2.0 * MIN_BACKOFF, MAX_CALL_TIMEOUT)
}

/// The pause before the next connect.
fn backoff(drain_grace: Millis) -> Millis {
    (drain_grace / 4.0).clamp(MIN_BACKOFF, MAX_BACKOFF)
}
