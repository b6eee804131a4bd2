//! The schedule of a graceful shutdown.
//!
//! ```text
//! Serving --SIGTERM--> Notice --0.7 s--> Draining --50 ms before the kill--> FinalResponses
//!                                           |                                     |
//!                                           +--no connection remains: exit        +--no connection remains, or the
//!                                                                                    kill is due: exit
//! ```
//!
//! The platform kills the process no earlier than `min(longest request timeout, 3 s) + 0.7 s` after SIGTERM.
//!
//! | phase | listener | connections | new requests |
//! | --- | --- | --- | --- |
//! | `Serving` | open | kept | admitted with their own timeout |
//! | `Notice` | open: some clients and load balancers do not know of the shutdown yet | kept: clients still send requests on them | admitted if they can end in time, else rejected |
//! | `Draining` | connections in the accept queue are accepted, then it is closed | each is closed once nothing is open on it and one last read finds nothing | as before |
//! | `FinalResponses` | closed | as before | rejected; every open request gets its final response now |
//!
//! While the gateway drains, connections that had an open request when the listener closed are also closed once they
//! are idle: clients would otherwise go on sending requests on them until the kill.

use doorcourse::Millis;
use doorcourse_connection_limits::ConnectionActivity;
use doorcourse_fail_points::rule_disabled;

/// How long after SIGTERM new connections and requests still arrive as before: those that are in transit, and those of
/// a load balancer that does not know of the shutdown yet.
const NOTICE_PERIOD: Millis = 700.0;
/// The platform counts at most this much of the longest request timeout for the time of the kill.
const MAX_COUNTED_TIMEOUT: Millis = 3000.0;
/// How long before the earliest time of the kill every request gets its final response: the response has to reach the
/// client, and the event loop may be late. The process exits earlier if all connections are closed.
const EXIT_MARGIN: Millis = 50.0;

/// How long a connection that was just accepted is kept open for its first request, which is probably in transit.
const FIRST_REQUEST_WAIT: Millis = 50.0;

/// The delay that the fail point `shutdown-deadline` adds to the final responses: far beyond the kill.
const DISABLED_DEADLINE_DELAY: Millis = 10_000.0;

/// The phase of a gateway's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown is in progress.
    Serving,
    /// The shutdown is announced; the gateway still serves, since not all clients know of the shutdown yet.
    Notice,
    /// The listener is closed, and each connection is closed once it is idle.
    Draining,
    /// The kill may come at any moment: each open request gets its final response at once.
    FinalResponses,
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is admitted with this timeout in ms.
    Admit(Millis),
    /// The request cannot end before the process may be killed. It is rejected at once, so that its client can retry at
    /// another gateway.
    Reject,
}

/// The graceful shutdown of one process.
///
/// The host reports SIGTERM with [`begin`](Self::begin), does what the current [`phase`](Self::phase) requires, wakes
/// up at [`next_timeout`](Self::next_timeout), and exits once [`is_finished`](Self::is_finished) returns true.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GracefulShutdown {
    /// `None` while no shutdown is in progress.
    schedule: Option<ShutdownSchedule>,
}

/// When the phases of a shutdown change.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ShutdownSchedule {
    /// From `Notice` to `Draining`.
    stop_accepting_at: Millis,
    /// From `Draining` to `FinalResponses`: the deadline of every response.
    final_responses_at: Millis,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins at `now`, where no request has a longer timeout than
    /// `max_request_timeout`.
    fn new(now: Millis, max_request_timeout: Millis) -> Self {
        let mut final_responses_at =
            now + max_request_timeout.min(MAX_COUNTED_TIMEOUT) + NOTICE_PERIOD - EXIT_MARGIN;
        if rule_disabled("shutdown-deadline") {
            final_responses_at += DISABLED_DEADLINE_DELAY;
        }
        Self { stop_accepting_at: now + NOTICE_PERIOD, final_responses_at }
    }

    /// When the process exits even if connections are still open: the earliest time of the kill.
    fn exit_at(&self) -> Millis {
        self.final_responses_at + EXIT_MARGIN
    }
}

impl GracefulShutdown {
    /// Begins the shutdown. Returns whether this is the first call; later ones change nothing.
    ///
    /// `max_request_timeout` is the longest timeout that any request may have, in ms; the kill comes no earlier than
    /// `min(max_request_timeout, 3 s) + 0.7 s` from now.
    pub fn begin(&mut self, now: Millis, max_request_timeout: Millis) -> bool {
        let first = self.schedule.is_none();
        self.schedule.get_or_insert_with(|| ShutdownSchedule::new(now, max_request_timeout));
        first
    }

    /// The phase at `now`.
    #[must_use]
    pub fn phase(&self, now: Millis) -> ShutdownPhase {
        match self.schedule {
            None => ShutdownPhase::Serving,
            Some(schedule) if now < schedule.stop_accepting_at => ShutdownPhase::Notice,
            Some(schedule) if now < schedule.final_responses_at => ShutdownPhase::Draining,
            Some(_) => ShutdownPhase::FinalResponses,
        }
    }

    /// When the phase next changes by time alone, or the process exits; infinite while no shutdown is in progress.
    #[must_use]
    pub fn next_timeout(&self, now: Millis) -> Millis {
        match self.schedule {
            None => Millis::INFINITY,
            Some(schedule) if now < schedule.stop_accepting_at => schedule.stop_accepting_at,
            Some(schedule) if now < schedule.final_responses_at => schedule.final_responses_at,
            Some(schedule) => schedule.exit_at(),
        }
    }

    /// Decides on a new request with this timeout, in a class with this latency objective, both in ms.
    ///
    /// The time that remains may be shorter than the request's timeout. The request is admitted where the time suffices
    /// for the latency objective, and rejected where its attempt would most likely be cut off.
    #[must_use]
    pub fn admit(&self, now: Millis, request_timeout: Millis, latency_objective: Millis) -> Admission {
        let remaining = self.schedule.map_or(Millis::INFINITY, |schedule| schedule.final_responses_at - now);
        if remaining >= request_timeout.min(latency_objective) && remaining > 0.0 {
            Admission::Admit(request_timeout.min(remaining))
        } else {
            Admission::Reject
        }
    }

    /// Whether a client connection is to be closed now, if one last read finds nothing on it.
    ///
    /// A connection may be closed while the gateway drains and the connection has no open request, no partially
    /// received request, no unread response and no lingering close. A connection that was just accepted is kept open
    /// for its first request.
    #[must_use]
    pub fn may_close(&self, now: Millis, connection: &ConnectionActivity) -> bool {
        let is_busy = connection.open_requests > 0
            || connection.unread_response_since.is_some()
            || connection.partial_request_since.is_some()
            || connection.lingering_close_until.is_some();
        let awaits_first_request =
            connection.last_request_at.is_none() && now < connection.opened_at + FIRST_REQUEST_WAIT;
        self.is_draining(now) && !is_busy && !awaits_first_request && !self.keeps_idle_connections(now)
    }

    /// The fault that the fail point `close-idle-until-exit` injects: connections are closed only shortly after the
    /// listener, and connections that become idle later stay open.
    fn keeps_idle_connections(&self, now: Millis) -> bool {
        rule_disabled("close-idle-until-exit")
            && self
                .schedule
                .is_some_and(|schedule| now >= schedule.stop_accepting_at + FIRST_REQUEST_WAIT / 2.0)
    }

    /// Whether the listener is closed and each connection is closed once it is idle.
    #[must_use]
    pub fn is_draining(&self, now: Millis) -> bool {
        matches!(self.phase(now), ShutdownPhase::Draining | ShutdownPhase::FinalResponses)
    }

    /// Whether the process exits now, where `open_connections` client connections are still open.
    #[must_use]
    pub fn is_finished(&self, now: Millis, open_connections: usize) -> bool {
        let all_closed = self.is_draining(now) && open_connections == 0;
        all_closed || self.schedule.is_some_and(|schedule| now >= schedule.exit_at())
    }
}

#[cfg(test)]
mod tests;
