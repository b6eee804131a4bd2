//! The state of the watch on the endpoint list's source.
//!
//! The source is an agent on the gateway's own machine. While the service behind it is reachable the agent responds at
//! once; while the service is down it accepts calls and sends nothing. When the service returns, the agent has a
//! change at that moment, and from then on the drain grace of the settings runs: a request forwarded to a draining
//! backend after the grace breaks the contract. So an unanswered call is repeated within the grace, and the
//! unanswered one stays open beside its successor, so that a source which is merely slow can still respond.
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
//! | any | `address_changed` | backoff that is over at once; no call is superseded | |
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
//! | backoff | a quarter of the drain grace, 20 ms to 250 ms | the loss, or the superseding |

use crate::availability::SourceAvailability;
use doorcourse::Millis;
use doorcourse_fail_points::rule_disabled;
use thiserror::Error;

/// Limit for a complete message on a watch. The source sends an empty message every 2 s. It counts from the request,
/// so that neither a head without a body nor a message that arrives byte by byte extends it.
const WATCH_MESSAGE_TIMEOUT: Millis = 3500.0;
/// Limit for a complete endpoint list, from the request on, however slowly its bytes arrive.
const FULL_LIST_TIMEOUT: Millis = 2000.0;
/// Upper bound of the call timeout, which limits the connect and then the response head of the current call.
const MAX_CALL_TIMEOUT: Millis = 1000.0;
/// Limit for the response head of a superseded call, from its request on. It equals [`MAX_CALL_TIMEOUT`] by choice: a
/// call that was current for so long is closed as soon as it is superseded.
const SUPERSEDED_HEAD_TIMEOUT: Millis = 1000.0;
/// Longest backoff before the next connect.
const MAX_BACKOFF: Millis = 250.0;
/// Shortest backoff: a source that refuses connections at once is not called in a tight loop.
const MIN_BACKOFF: Millis = 20.0;

/// What the host has to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Open a connection; then report `request_sent` or `connection_lost`.
    Connect,
    /// The current call has no response head in time: keep its connection open beside the next call. At most one call
    /// is superseded at a time; the next [`WatchAction::Connect`] follows after a backoff.
    Supersede,
    /// The superseded call has no response head in time either: close its connection.
    CloseSuperseded,
    /// The current connection is dead, for this reason: close it and report `connection_lost`.
    Close(&'static str),
}

/// A list of changes that cannot be applied, because the list that they change is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("changes of version {version} without the list before them")]
pub struct ApplyVersionError {
    /// The version of the changes.
    pub version: u64,
    /// The version held, which is newer; `None` where no list is held.
    pub held_version: Option<u64>,
}

/// The current connection to the source.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    /// None is open; the next connect is due at `until`.
    Backoff { until: Millis },
    /// The connect is in progress.
    Connecting { deadline: Millis },
    /// A request was sent. `deadline` is that of the response head, then of the complete list or message.
    Open { call: Call, deadline: Millis },
}

/// A request to the source and what has arrived of its response.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Call {
    /// The version that a watch continues from; `None` for a call that asks for the full list.
    from_version: Option<u64>,
    head_received: bool,
    /// Whether a watch has delivered a complete message, if only an empty one.
    message_received: bool,
    /// Deadline of the full list or of the first complete message.
    complete_by: Millis,
}

impl Call {
    fn is_watch(&self) -> bool {
        self.from_version.is_some()
    }

    /// Whether this is a watch without a complete message so far. Such a watch may never deliver one, so the full list
    /// is requested after it.
    fn is_silent_watch(&self) -> bool {
        self.is_watch() && !self.message_received
    }
}

/// A call without a response head, open beside the current connection.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SupersededCall {
    from_version: Option<u64>,
    /// When it is closed without a response head.
    deadline: Millis,
    /// Deadline of its full list or first complete message, should it become the current call again.
    complete_by: Millis,
}

/// The state of the watch on the endpoint list: when to connect, which version to request, when a call is dead.
///
/// The host reports each event with its time in milliseconds on one monotonic clock, and calls
/// [`handle_timeout`](Self::handle_timeout) until it returns `None` whenever [`next_timeout`](Self::next_timeout) is
/// reached.
#[derive(Clone, Debug)]
pub struct DiscoveryWatch {
    connection: Connection,
    superseded: Option<SupersededCall>,
    /// Limit for a connect, and again for the response head, before the next call is made.
    call_timeout: Millis,
    backoff: Millis,
    /// The version of the list held; `None` where the full list has to be requested.
    version: Option<u64>,
    availability: SourceAvailability,
}

impl DiscoveryWatch {
    /// The longest time from the moment at which the source can be reached until its list of that moment is held,
    /// whatever became of earlier calls.
    ///
    /// An upper bound, which the property tests hold every order of faults to: a watch requested an instant before sends
    /// no message until its timeout, and two backoffs pass before the full list arrives. The delay of the host's event
    /// loop comes on top. The platform allows 6 s, and 4 s after SIGHUP.
    pub const MAX_DELAY: Millis = WATCH_MESSAGE_TIMEOUT + 2.0 * MAX_BACKOFF;

    /// A watch whose first connect is due at once.
    ///
    /// `version` is that of a list held already, from which the first watch continues. `drain_grace` is how long
    /// requests may still be forwarded to a draining backend, in ms.
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

    /// Changes the drain grace, in ms. Deadlines that run already stay.
    pub fn set_drain_grace(&mut self, drain_grace: Millis) {
        self.call_timeout = call_timeout(drain_grace);
        self.backoff = backoff(drain_grace);
    }

    /// The source has another address: the next connect is due at once and continues from the version held. The host
    /// closes the current and the superseded call.
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

    /// Handles the deadlines that are reached, one a call; `None` when no more is due at `now`.
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

    /// The connection is up and the host sends a request on it. Returns the version from which to watch for changes;
    /// `None` asks for the full list.
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

    /// The response head of the current call arrived. It shows that the source is alive and nothing more: the host
    /// closes a superseded call.
    pub fn response_started(&mut self) {
        self.superseded = None;
        let Connection::Open { call, deadline } = &mut self.connection else { return };
        if !call.message_received {
            call.head_received = true;
            *deadline = call.complete_by;
        }
    }

    /// The response head of the superseded call arrived: it replaces the current call, whose connection the host closes.
    /// The host then decodes the head as that of the current call and reports
    /// [`response_started`](Self::response_started).
    ///
    /// Returns true where the call is a watch; false where it asks for the full list, and where no call is superseded.
    pub fn superseded_response_started(&mut self) -> bool {
        let Some(SupersededCall { from_version, complete_by, .. }) = self.superseded.take() else {
            return false;
        };
        let call = Call { from_version, head_received: false, message_received: false, complete_by };
        self.connection = Connection::Open { call, deadline: complete_by };
        // Its changes are those since the version that it requested.
        self.version = from_version;
        call.is_watch()
    }

    /// The connection of the superseded call ended without a response head.
    pub fn superseded_lost(&mut self) {
        self.superseded = None;
    }

    /// A complete message, a list or an empty line, arrived on the current call. It extends a watch by the message
    /// timeout; a call for the full list keeps its deadline. Bytes of an incomplete message are not to be reported.
    pub fn message_received(&mut self, now: Millis) {
        let Connection::Open { call, deadline } = &mut self.connection else { return };
        if call.is_watch() {
            call.message_received = true;
            *deadline = now + WATCH_MESSAGE_TIMEOUT;
            self.availability.clear_reported_loss();
        }
    }

    /// Records the version of a list that arrived. `full_list` is true for the full list, false for the changes since
    /// the version held.
    ///
    /// Returns true where the source becomes available with it, which the host reports to the operator; false where it
    /// was available already.
    ///
    /// A full list may have a lower version than the one held: its source was set up anew.
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

    /// What arrived cannot be applied: the next call requests the full list.
    pub fn reset_version(&mut self) {
        self.version = None;
    }

    /// The current connection was closed, was lost or could not be made: the next connect is due after the backoff.
    /// Returns true where the host reports the loss to the operator: once for an outage, however many connects fail.
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
        // Its request was sent one call timeout before now.
        let deadline = (now - self.call_timeout + SUPERSEDED_HEAD_TIMEOUT).max(now);
        self.superseded =
            Some(SupersededCall { from_version: call.from_version, deadline, complete_by: call.complete_by });
        self.connection = Connection::Backoff { until: now + self.backoff };
        self.version = None;
    }
}

/// How long a connect, and again a response head, may take before the next call is made. With the backoff it takes
/// three quarters of the drain grace, the last quarter is for the response and the delay of the event loop.
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
