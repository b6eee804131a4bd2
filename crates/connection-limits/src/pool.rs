//! The pool of connections to one backend: which connection carries a request, how many connections are being opened,
//! which requests wait, and which connections are closed. The host opens and closes the connections and identifies each
//! by a number.

use doorcourse::{Millis, RequestId};
use std::collections::VecDeque;

/// Fraction of the backend's keep-alive timeout after which the gateway closes an idle connection. A request that is
/// written just as the backend closes the connection may have been executed, so it may not be retried.
const IDLE_FRACTION: f64 = 0.7;
/// The most connections to one backend that are being opened at the same time: each costs the backend work.
const MAX_CONCURRENT_CONNECTS: usize = 4;

/// How long, in ms, a connection may be idle before the gateway closes it, where the backend closes it after
/// `keepalive_timeout` ms. Infinite for a backend without a known timeout (0).
#[must_use]
pub fn idle_limit(keepalive_timeout: Millis) -> Millis {
    if keepalive_timeout > 0.0 { keepalive_timeout * IDLE_FRACTION } else { f64::INFINITY }
}

/// An idle connection.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    /// The host's number of the connection.
    connection: usize,
    since: Millis,
    /// When it may carry a request. Until then it rests.
    usable_from: Millis,
}

/// The connections of one incarnation of a backend: one start of it at one address.
///
/// Another start or another address of the backend has a separate pool: connections to an earlier incarnation carry no
/// requests to the new one, and requests to the new one do not wait for them. The host reports each request that waits
/// or ends, and each connection that is opened, freed or lost.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    /// The number of the incarnation. The host counts the incarnations of all backends, so no two have the same number.
    incarnation: u64,
    /// The idle connections, the most recently used last.
    idle: Vec<IdleConnection>,
    /// The requests that wait for a connection, the longest waiting first.
    waiting: VecDeque<RequestId>,
    /// Connections that are being opened.
    connecting: usize,
    /// Connections that carry a request.
    busy: usize,
}

impl ConnectionPool {
    /// The empty pool of an incarnation, whose number no other incarnation has.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// The number of the incarnation to which the connections lead.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes an idle connection for a request; it counts as busy from then on. `None` where no usable connection is
    /// idle.
    ///
    /// The most recently used connection that does not rest is taken, so that connections that are not needed reach
    /// their idle limit. Those found to be idle for `idle_limit` ms or more are removed and appended to `expired`; the
    /// host closes them.
    pub fn take_idle(&mut self, now: Millis, idle_limit: Millis, expired: &mut Vec<usize>) -> Option<usize> {
        while let Some(index) = self.idle.iter().rposition(|idle| idle.usable_from <= now) {
            let IdleConnection { connection, since, .. } = self.idle.remove(index);
            if now < since + idle_limit {
                self.busy += 1;
                return Some(connection);
            }
            expired.push(connection);
        }
        None
    }

    /// When a resting connection may carry a request that waits; `None` where no request waits or no connection rests.
    #[must_use]
    pub fn next_rest_end(&self, now: Millis) -> Option<Millis> {
        if self.waiting.is_empty() {
            return None;
        }
        self.resting(now).min_by(Millis::total_cmp)
    }

    /// When each of the connections that rest at `now` may carry a request.
    fn resting(&self, now: Millis) -> impl Iterator<Item = Millis> {
        self.idle.iter().map(|idle| idle.usable_from).filter(move |usable_from| *usable_from > now)
    }

    /// Whether a request waits for a connection.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Records that a request waits for a connection.
    pub fn enqueue(&mut self, request: RequestId) {
        self.waiting.push_back(request);
    }

    /// Records that a request no longer waits. Nothing changes if it was not waiting.
    pub fn cancel_wait(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Removes the request that has waited longest, which cannot be served by this backend.
    pub fn pop_waiting(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }

    /// Removes all waiting requests and all idle connections, because the backend must not be sent requests any more or
    /// has another incarnation. Returns both; the host withdraws the requests and closes the connections.
    pub fn withdraw_all(&mut self) -> (Vec<RequestId>, Vec<usize>) {
        let waiting = self.waiting.drain(..).collect();
        let idle = self.idle.drain(..).map(|idle| idle.connection).collect();
        (waiting, idle)
    }

    /// Whether to open another connection: one for each waiting request, up to the limit on concurrent connects, except
    /// for those that a connection will carry whose rest ends within `longest_rest` ms. A short rest costs less than
    /// another connection.
    #[must_use]
    pub fn needs_connection(&self, now: Millis, longest_rest: Millis) -> bool {
        let soon_usable = self.resting(now).filter(|usable_from| *usable_from <= now + longest_rest).count();
        self.connecting < MAX_CONCURRENT_CONNECTS && self.connecting + soon_usable < self.waiting.len()
    }

    /// Records that a connect has started.
    pub fn connect_started(&mut self) {
        self.connecting += 1;
    }

    /// Records that a connect has succeeded or failed.
    pub fn connect_ended(&mut self) {
        self.connecting -= 1;
    }

    /// Records that a connection is free, after a request or because it was just opened, and may carry a request from
    /// `usable_from` on. Returns the request that has waited longest, which the connection carries now. If no request
    /// waits or the connection rests, it becomes idle.
    pub fn release(&mut self, now: Millis, connection: usize, usable_from: Millis) -> Option<RequestId> {
        let next_request = if usable_from <= now { self.waiting.pop_front() } else { None };
        if next_request.is_some() {
            self.busy += 1;
        } else {
            self.idle.push(IdleConnection { connection, since: now, usable_from });
        }
        next_request
    }

    /// Records that the request of a busy connection has ended; the connection is now free or closed.
    pub fn request_ended(&mut self) {
        self.busy -= 1;
    }

    /// Records that an idle connection was closed. Nothing changes if the connection was not idle.
    pub fn remove_idle(&mut self, connection: usize) {
        self.idle.retain(|idle| idle.connection != connection);
    }

    /// The connection that has been idle for the longest time, and since when.
    #[must_use]
    pub fn longest_idle(&self) -> Option<(usize, Millis)> {
        self.idle.first().map(|idle| (idle.connection, idle.since))
    }

    /// The numbers of waiting requests and of connecting, busy and idle connections, in this order.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        (self.waiting.len(), self.connecting, self.busy, self.idle.len())
    }

    /// Whether no request waits and no connection is connecting, busy or idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts() == (0, 0, 0, 0)
    }
}

#[cfg(test)]
mod tests;
