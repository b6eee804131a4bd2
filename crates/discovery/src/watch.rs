//! The state of the watch on the source of the endpoint list.
//!
//! The source is an agent on the gateway's own machine. While the discovery service behind the agent is reachable, the
//! agent responds at once; while the service is down, the agent accepts calls and sends nothing. When the service
//! returns, the agent may have a change, and the drain grace of the settings runs from that moment: a request forwarded
//! to a draining backend after the grace breaks the contract. So an unanswered call is repeated within the grace.
//!
//! A call that the source never answers and one that it answers late look alike until the answer arrives. So a call that
//! times out is not given up at once: it is superseded, which means that it stays open beside the calls that follow it.
//! The first complete message of any call decides: its call becomes the current one, and all others are closed.
//!
//! | state | event | next state | action |
//! | --- | --- | --- | --- |
//! | backoff | backoff over | connecting | `Connect` |
//! | connecting | `request_sent` | open, no head | |
//! | connecting | connect timeout | backoff, by `connection_lost` | `Close` |
//! | open, no head | `response_started` | open, head received | |
//! | open | head, list or message timeout; no superseded call is younger than 1.25 s | backoff; the call is superseded | `Supersede`, after `CloseSuperseded` where five are superseded |
//! | open | head, list or message timeout; a superseded call is younger than 1.25 s | backoff, by `connection_lost` | `Close` |
//! | open | `message_received` of the current call | the same; a watch has its deadline extended; no call is superseded | |
//! | any | `message_received` of a superseded call | open, with that call; no call is superseded | |
//! | any | `superseded_lost` | the same without that call | |
//! | any | `connection_lost` | backoff; superseded calls stay | |
//! | any | `address_changed` | backoff that ends at once; no call is superseded | |
//!
//! | step | limit | counted from |
//! | --- | --- | --- |
//! | connect | half of the drain grace, 40 ms to 1 s | the start of the connect |
//! | response head | half of the drain grace, 40 ms to 1 s | the request |
//! | complete list | 2 s | the request |
//! | complete message of a watch | 2.75 s | the request, then the last message |
//! | backoff | a quarter of the drain grace, 20 ms to 250 ms | the loss of the connection, or the timeout |
//! | a superseded call | 3 s or more; the oldest 8 s or more | its request |
//!
//! A call continues from the version that is held, since its response is short however large the fleet is. It requests
//! the full list where no version is held or a watch turned out to be useless, and where it will be superseded next to
//! a watch: the kept calls alternate, in case the source answers only one kind.

mod calls;

pub use calls::{CallId, DiscoveryRequest};

use crate::availability::SourceAvailability;
use calls::{Call, SUPERSEDE_INTERVAL, SupersededCalls};
use doorcourse::Millis;
use doorcourse_fail_points::rule_disabled;
use thiserror::Error;

/// Timeout of a complete message on a watch; the source sends an empty message every 2 s. The timeout counts from the
/// request, then from the last message, so that neither a head without a body nor a message that arrives byte by byte
/// extends it.
const WATCH_MESSAGE_TIMEOUT: Millis = 2750.0;
/// Timeout of a complete endpoint list, from the request on, however slowly its bytes arrive.
const FULL_LIST_TIMEOUT: Millis = 2000.0;
/// Upper bound of the call timeout, which applies to the connect and then to the response head of the current call.
const MAX_CALL_TIMEOUT: Millis = 1000.0;
/// Longest backoff before the next connect.
const MAX_BACKOFF: Millis = 250.0;
/// Shortest backoff, so that a source that refuses connections at once is not called in a tight loop.
const MIN_BACKOFF: Millis = 20.0;

/// An action that the host carries out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Open a connection; then report `request_sent` or `connection_lost`.
    Connect,
    /// The current call has timed out: keep its connection open and go on reading its response beside the next call. The
    /// next [`WatchAction::Connect`] follows after a backoff.
    Supersede,
    /// Close the connection of this superseded call.
    CloseSuperseded(CallId),
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

/// The watch on the endpoint list: when to connect, which version to request, and when a call has timed out.
///
/// The host reports each event with its time in milliseconds on one monotonic clock, and calls
/// [`handle_timeout`](Self::handle_timeout) until it returns `None` whenever [`next_timeout`](Self::next_timeout) is
/// reached.
#[derive(Clone, Debug)]
pub struct DiscoveryWatch {
    connection: Connection,
    superseded: SupersededCalls,
    /// Timeout of a connect, and again of the response head, before the next call is made.
    call_timeout: Millis,
    backoff: Millis,
    /// The version of the list that is held; `None` where changes cannot be applied to it.
    version: Option<u64>,
    /// Whether the next calls request the full list although a version is held.
    full_list_needed: bool,
    last_call: CallId,
    availability: SourceAvailability,
}

impl DiscoveryWatch {
    /// The longest time from the moment at which the source becomes reachable, and answers each call at once, until the
    /// gateway holds the source's list of that moment, whatever happened to earlier calls.
    ///
    /// The longest case is a watch whose last message arrived just before that moment. After its timeout and a backoff,
    /// the next watch gets changes that cannot be applied, and the full list arrives after a second backoff. Superseded
    /// calls do not count, since the calls beside them are made as if there were none. The property tests check this
    /// bound for every order of faults. It does not include the delay of the host's event loop. The platform allows
    /// 6 s, and 4 s after SIGHUP.
    pub const MAX_DELAY: Millis = WATCH_MESSAGE_TIMEOUT + 2.0 * MAX_BACKOFF;

    /// As [`MAX_DELAY`](Self::MAX_DELAY), for a source that takes some time to answer each call: this is added to that
    /// time. It applies to answers that take up to 8 s.
    ///
    /// A call that is kept is made within the interval at which calls are superseded and a backoff. Within twice that
    /// time there is one for the full list, whatever becomes of the watches meanwhile. A watch that has fallen silent is
    /// called again within the message timeout and a backoff. Where the first answer cannot be applied, or is of the
    /// call's time, a second one has to be waited for.
    pub const MAX_DELAY_BEFORE_SLOW_ANSWER: Millis = 2.0 * (SUPERSEDE_INTERVAL + MAX_BACKOFF);

    /// A watch whose first connect is due at once.
    ///
    /// `version` is the version of a list that the gateway already holds, from which the first watch continues.
    /// `drain_grace` is how long requests may still be forwarded to a draining backend, in ms.
    #[must_use]
    pub fn new(version: Option<u64>, drain_grace: Millis) -> Self {
        Self {
            connection: Connection::Backoff { until: f64::NEG_INFINITY },
            superseded: SupersededCalls::default(),
            call_timeout: call_timeout(drain_grace),
            backoff: backoff(drain_grace),
            version,
            full_list_needed: false,
            last_call: CallId(0),
            availability: SourceAvailability::default(),
        }
    }

    /// Changes the drain grace, in ms. Deadlines that are already set do not change.
    pub fn set_drain_grace(&mut self, drain_grace: Millis) {
        self.call_timeout = call_timeout(drain_grace);
        self.backoff = backoff(drain_grace);
    }

    /// Records that the source has another address: the next connect is due at once and continues from the version that
    /// is held. The host closes all calls.
    pub fn address_changed(&mut self) {
        self.connection = Connection::Backoff { until: f64::NEG_INFINITY };
        self.superseded.clear();
        self.availability.clear_reported_loss();
    }

    /// The version of the list that is held; `None` where changes cannot be applied to it.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When [`handle_timeout`](Self::handle_timeout) has to be called next.
    #[must_use]
    pub fn next_timeout(&self) -> Millis {
        match self.connection {
            Connection::Backoff { until } => until,
            Connection::Connecting { deadline } | Connection::Open { deadline, .. } => deadline,
        }
    }

    /// Handles one deadline that is reached. Returns the action for it, or `None` when no deadline is due at `now`.
    pub fn handle_timeout(&mut self, now: Millis) -> Option<WatchAction> {
        if now < self.next_timeout() {
            return None;
        }
        Some(match self.connection {
            Connection::Backoff { .. } => {
                self.connection = Connection::Connecting { deadline: now + self.call_timeout };
                WatchAction::Connect
            }
            Connection::Connecting { .. } => WatchAction::Close("no connection"),
            Connection::Open { call, deadline } => {
                let call = Call { timed_out: true, ..call };
                self.connection = Connection::Open { call, deadline };
                self.call_timed_out(now, call)
            }
        })
    }

    /// Keeps a call that has timed out open beside the next one, or has it closed if another one was kept recently.
    fn call_timed_out(&mut self, now: Millis, call: Call) -> WatchAction {
        if !self.superseded.admits_at(now) {
            return WatchAction::Close("no answer, list or line in time");
        }
        // The deadline stays reached: the next call of `handle_timeout` supersedes.
        if let Some(oldest) = self.superseded.make_room(now) {
            return WatchAction::CloseSuperseded(oldest.request.call);
        }
        self.superseded.push(call);
        self.connection = Connection::Backoff { until: now + self.backoff };
        WatchAction::Supersede
    }

    /// Records that the connection is established and that the host sends a request on it, which is returned.
    pub fn request_sent(&mut self, now: Millis) -> DiscoveryRequest {
        self.last_call = CallId(self.last_call.0 + 1);
        let from_version = if self.next_call_requests_full_list(now) { None } else { self.version };
        let request = DiscoveryRequest { call: self.last_call, from_version };
        self.connection =
            Connection::Open { call: Call::new(request, now), deadline: now + self.call_timeout };
        request
    }

    /// Whether a call made at `now` requests the full list although a version may be held.
    fn next_call_requests_full_list(&self, now: Millis) -> bool {
        let will_be_superseded = self.superseded.admits_at(now + self.call_timeout);
        self.full_list_needed || will_be_superseded && self.superseded.newest_is_silent_watch()
    }

    /// Records that the response head of this call arrived. It shows only that the source responds. The head of a
    /// superseded call changes nothing: its message may not follow.
    pub fn response_started(&mut self, id: CallId) {
        let Connection::Open { call, deadline } = &mut self.connection else { return };
        if call.request.call == id && !call.message_received {
            call.head_received = true;
            let complete_within =
                if call.request.is_watch() { WATCH_MESSAGE_TIMEOUT } else { FULL_LIST_TIMEOUT };
            *deadline = call.sent_at + complete_within;
        }
    }

    /// Records that a complete message, a list or an empty line, arrived on this call. The host must not report an
    /// incomplete message. A superseded call becomes the current one. The host closes all other calls.
    ///
    /// It extends a watch by the message timeout; a call for the full list keeps its deadline.
    ///
    /// Returns true where this makes the source available, which the host reports to the operator.
    pub fn message_received(&mut self, id: CallId, now: Millis) -> bool {
        if let Some(call) = self.superseded.remove(id) {
            self.connection = Connection::Open { call, deadline: call.sent_at + FULL_LIST_TIMEOUT };
        }
        let Connection::Open { call, deadline } = &mut self.connection else { return false };
        if call.request.call != id {
            return false;
        }
        self.superseded.clear();
        call.message_received = true;
        if !call.request.is_watch() {
            return false;
        }
        *deadline = now + WATCH_MESSAGE_TIMEOUT;
        self.availability.clear_reported_loss();
        self.availability.source_answered()
    }

    /// Records that the connection of a superseded call ended, or that its response cannot be used. The host closes it.
    /// After a watch without a message, the next call requests the full list.
    pub fn superseded_lost(&mut self, id: CallId) {
        let call = self.superseded.remove(id);
        self.full_list_needed |= call.is_some_and(|call| call.is_silent_watch());
    }

    /// Records the version of a list that arrived. `full_list` is true for the full list, false for the changes since
    /// the version that is held.
    ///
    /// Returns true where this list makes the source available, which the host reports to the operator; false where the
    /// source was available already.
    ///
    /// A full list may have a lower version than the list that is held, if the source was set up anew. It is not an
    /// older state of the same source: all calls that were open when the held list arrived are closed by then.
    ///
    /// # Errors
    /// [`ApplyVersionError`] for changes where no list is held or a newer one is. The host then calls
    /// [`reset_version`](Self::reset_version).
    pub fn apply_version(&mut self, version: u64, full_list: bool) -> Result<bool, ApplyVersionError> {
        if !full_list && self.version.is_none_or(|held| version < held) {
            return Err(ApplyVersionError { version, held_version: self.version });
        }
        self.version = Some(version);
        self.full_list_needed = false;
        Ok(self.availability.source_answered())
    }

    /// Makes the next call request the full list, because what arrived cannot be applied.
    pub fn reset_version(&mut self) {
        self.version = None;
    }

    /// Records that the current connection was closed, was lost or could not be made: the next connect is due after the
    /// backoff. Returns true where the host reports the loss to the operator, which it does once in an outage, however
    /// many connects fail.
    pub fn connection_lost(&mut self, now: Millis) -> bool {
        let call = match self.connection {
            Connection::Open { call, .. } => Some(call),
            Connection::Backoff { .. } | Connection::Connecting { .. } => None,
        };
        let is_useless = call.is_some_and(|call| call.is_useless_watch());
        self.full_list_needed |= is_useless;
        // The drain grace may run already: after an outage, a watch that ends instead of telling must not cost a whole
        // backoff more than the full list would have.
        let backoff = if is_useless && !self.superseded.is_empty() { MIN_BACKOFF } else { self.backoff };
        self.connection = Connection::Backoff { until: now + backoff };
        self.availability.connection_lost(call.is_some_and(|call| call.is_silent_watch()))
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
