//! When a client connection expires by its inactivity, and which one is evicted first when the table of connections is
//! full: first those being closed, then silent and idle ones; one with an open request or an unread response never.

use doorcourse::Millis;

/// By how much a connection without a valid request counts as older than it is when connections are evicted, in ms.
///
/// No more than this: where the table is full of connections that had one request and are kept open since, the ones
/// without a request are those that were just accepted and are about to send one.
const SILENT_CONNECTION_PENALTY: Millis = 500.0;

/// Eviction rank of a connection that is being closed: first.
const LINGERING_RANK: u8 = 0;
/// Eviction rank of every other connection, by the time since which it is idle.
const IDLE_RANK: u8 = 1;

/// After which inactivity the RESP gateway closes client connections, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// For a connection without a complete request so far, and for one whose request is received in part.
    pub silent_timeout: Millis,
    /// For a connection between requests.
    pub idle_timeout: Millis,
    /// For a connection whose client reads nothing of a response. In the HTTP gateway it is
    /// [`ClientLimits::unread_timeout`](crate::ClientLimits::unread_timeout).
    pub unread_timeout: Millis,
}

impl ConnectionTimeouts {
    /// The timeouts while `connections` of at most `max_connections` are open.
    ///
    /// From three quarters on, idle connections expire as silent ones do, so that a new connection seldom finds the
    /// table full and evicts one.
    #[must_use]
    pub fn for_occupancy(self, connections: usize, max_connections: usize) -> Self {
        if connections * 4 >= max_connections * 3 {
            Self { idle_timeout: self.idle_timeout.min(self.silent_timeout), ..self }
        } else {
            self
        }
    }
}

/// The activity of one client connection. The host keeps it up to date; times are in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionActivity {
    /// When the connection was accepted.
    pub opened_at: Millis,
    /// When the last valid request arrived; `None` before the first.
    pub last_request_at: Option<Millis>,
    /// When the last response was handed to the connection; `None` before the first.
    pub last_response_at: Option<Millis>,
    /// Since when a request is received in part; `None` between requests.
    pub partial_request_since: Option<Millis>,
    /// Since when the client reads nothing of a response that is there for it, written to the socket or not; `None`
    /// where it has read all.
    pub unread_response_since: Option<Millis>,
    /// Requests that arrived and whose responses are not handed to the connection yet.
    pub open_requests: usize,
    /// When the connection is closed at the latest, once this side has sent its last byte (after a fault, an expiry or at
    /// a shutdown); `None` before that.
    pub lingering_close_until: Option<Millis>,
}

impl ConnectionActivity {
    /// A connection accepted at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            opened_at: now,
            last_request_at: None,
            last_response_at: None,
            partial_request_since: None,
            unread_response_since: None,
            open_requests: 0,
            lingering_close_until: None,
        }
    }

    /// Whether the connection is closed at `now` for its inactivity.
    #[must_use]
    pub fn is_expired(&self, now: Millis, timeouts: &ConnectionTimeouts) -> bool {
        let has_lasted = |since: Option<Millis>, timeout: Millis| since.is_some_and(|at| now >= at + timeout);
        if self.lingering_close_until.is_some_and(|until| now >= until) {
            return true;
        }
        if has_lasted(self.unread_response_since, timeouts.unread_timeout) {
            return true;
        }
        if self.is_in_use() {
            return false;
        }
        if has_lasted(self.partial_request_since, timeouts.silent_timeout) {
            return true;
        }
        match self.idle_since() {
            None => now >= self.opened_at + timeouts.silent_timeout,
            Some(since) => self.partial_request_since.is_none() && now >= since + timeouts.idle_timeout,
        }
    }

    /// The order in which connections are evicted for a new one: lower ranks first, in one rank those with the earlier
    /// time. `None` for a connection with an open request or an unread response, which is never evicted; one whose
    /// request is received in part may be.
    #[must_use]
    pub fn eviction_rank(&self) -> Option<(u8, Millis)> {
        if let Some(until) = self.lingering_close_until {
            return Some((LINGERING_RANK, until));
        }
        if self.is_in_use() {
            return None;
        }
        let idle_since = self.idle_since().unwrap_or(self.opened_at - SILENT_CONNECTION_PENALTY);
        Some((IDLE_RANK, idle_since))
    }

    /// Whether a request is open or a response is not read to its end.
    fn is_in_use(&self) -> bool {
        self.open_requests > 0 || self.unread_response_since.is_some()
    }

    /// Since when the connection is idle; `None` before its first valid request. It counts from the last response where
    /// that is later than the last request: a client that was just answered is about to send its next request.
    fn idle_since(&self) -> Option<Millis> {
        let last_request_at = self.last_request_at?;
        Some(self.last_response_at.map_or(last_request_at, |response_at| response_at.max(last_request_at)))
    }
}

#[cfg(test)]
mod tests;
