//! Decides when an inactive client connection expires, and which connection is evicted first when the connection table
//! is full: connections that are being closed first, then silent and idle ones. A connection with an open request or an
//! unread response is never evicted.

use doorcourse::Millis;

/// Added to the idle time of a connection without a valid request when the connection to evict is chosen, in ms.
///
/// It is small because the table may be full of connections that sent one request and were kept open. Those without a
/// request are then the newest ones, which are about to send theirs.
const SILENT_CONNECTION_PENALTY: Millis = 500.0;

/// Eviction rank of a connection that is being closed: evicted first.
const LINGERING_RANK: u8 = 0;
/// Eviction rank of every other connection; within the rank, the longest idle one is evicted first.
const IDLE_RANK: u8 = 1;

/// How long a client connection may be inactive before the RESP gateway closes it, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// For a connection without a complete request so far, and for one with a partially received request.
    pub silent_timeout: Millis,
    /// For a connection between requests.
    pub idle_timeout: Millis,
    /// For a connection whose client does not read its response. The HTTP gateway has
    /// [`ClientLimits::unread_timeout`](crate::ClientLimits::unread_timeout) for this.
    pub unread_timeout: Millis,
}

impl ConnectionTimeouts {
    /// The timeouts while `connections` of at most `max_connections` are open.
    ///
    /// Once three quarters of the table are in use, idle connections expire after the timeout of silent ones if that is
    /// shorter, so that a new connection seldom finds the table full and has to evict another one.
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
    /// When the first part of an incomplete request arrived; `None` between requests.
    pub partial_request_since: Option<Millis>,
    /// Since when the client has read nothing of its unread responses, whether they are written to the socket or not;
    /// `None` where it has read everything.
    pub unread_response_since: Option<Millis>,
    /// Requests that arrived and whose responses were not handed to the connection yet.
    pub open_requests: usize,
    /// When the connection is closed at the latest, set once the gateway has sent its last byte (after a fault, on
    /// expiry or at shutdown); `None` before that.
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

    /// Whether the connection is to be closed at `now` because of its inactivity.
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

    /// The position of the connection in the order of eviction: lower ranks first, within a rank the earlier time
    /// first. `None` for a connection with an open request or an unread response, which is never evicted. A connection
    /// with a partially received request may be evicted.
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

    /// Whether a request is open or a response is not fully read.
    fn is_in_use(&self) -> bool {
        self.open_requests > 0 || self.unread_response_since.is_some()
    }

    /// Since when the connection is idle; `None` before its first valid request. The time is that of the last response
    /// where it is later than the last request: a client that just got a response is about to send its next request.
    fn idle_since(&self) -> Option<Millis> {
        let last_request_at = self.last_request_at?;
        Some(self.last_response_at.map_or(last_request_at, |response_at| response_at.max(last_request_at)))
    }
}

#[cfg(test)]
mod tests;
