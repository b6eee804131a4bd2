//! The connections of one backend, as its requests use them: which one carries a request, how many are being opened,
//! which requests wait, and which connections are closed. The host opens and closes them; here each is a number.

use doorcourse::{Millis, RequestId};
use std::collections::VecDeque;

/// Fraction of the backend's keep-alive timeout after which an idle connection is closed here. A request written just as
/// the backend closes its connection may have been executed, and may not be retried.
const IDLE_FRACTION: f64 = 0.7;
/// Connections to one backend that are opened at the same time: each costs the backend work.
const MAX_CONCURRENT_CONNECTS: usize = 4;

/// How long, in ms, a connection may be idle before it is closed here, where the backend closes it after
/// `keepalive_timeout` ms. Infinite for a backend that names no timeout (0).
#[must_use]
pub fn idle_limit(keepalive_timeout: Millis) -> Millis {
    if keepalive_timeout > 0.0 { keepalive_timeout * IDLE_FRACTION } else { f64::INFINITY }
}

/// An idle connection.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    /// The host's number of it.
    connection: usize,
    since: Millis,
}

/// The connections of one incarnation of a backend: one start of it at one address.
///
/// Another start, or another address, has a pool of its own: connections made for the incarnation before carry no
/// request of it, and its requests do not wait for them. The host reports each request that waits or ends, and each
/// connection that is opened, freed or lost.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    /// Counts the incarnations of all backends that the host has seen.
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
    /// The empty pool of an incarnation, whose number no other has.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// The incarnation to which its connections belong.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes an idle connection for a request; it counts as busy from then on. `None` where all are busy.
    ///
    /// The most recently used one is taken, so that those not needed reach their idle limit. Connections that were
    /// idle for `idle_limit` ms or more are removed and appended to `expired`; the host closes them.
    pub fn take_idle(&mut self, now: Millis, idle_limit: Millis, expired: &mut Vec<usize>) -> Option<usize> {
        while let Some(IdleConnection { connection, since }) = self.idle.pop() {
            if now < since + idle_limit {
                self.busy += 1;
                return Some(connection);
            }
            expired.push(connection);
        }
        None
    }

    /// A request waits for a connection.
    pub fn enqueue(&mut self, request: RequestId) {
        self.waiting.push_back(request);
    }

    /// A request no longer waits; nothing changes where it does not.
    pub fn cancel_wait(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Removes the request that has waited longest, which cannot be served here.
    pub fn pop_waiting(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }

    /// Removes all waiting requests and all idle connections: the backend must not be sent requests, or it is another
    /// incarnation now. Returns both; the host withdraws the requests and closes the connections.
    pub fn withdraw_all(&mut self) -> (Vec<RequestId>, Vec<usize>) {
        let waiting = self.waiting.drain(..).collect();
        let idle = self.idle.drain(..).map(|idle| idle.connection).collect();
        (waiting, idle)
    }

    /// Whether one more connection is to be opened: one for each waiting request, up to the bound of concurrent
    /// connects.
    #[must_use]
    pub fn needs_connection(&self) -> bool {
        self.connecting < self.waiting.len().min(MAX_CONCURRENT_CONNECTS)
    }

    /// A connect has started.
    pub fn connect_started(&mut self) {
        self.connecting += 1;
    }

    /// A connect has succeeded or failed.
    pub fn connect_ended(&mut self) {
        self.connecting -= 1;
    }

    /// A connection is free, after a request or newly opened. Returns the request that has waited longest, which it
    /// carries now; without any it becomes idle.
    pub fn release(&mut self, now: Millis, connection: usize) -> Option<RequestId> {
        let next_request = self.waiting.pop_front();
        if next_request.is_some() {
            self.busy += 1;
        } else {
            self.idle.push(IdleConnection { connection, since: now });
        }
        next_request
    }

    /// The request of a busy connection has ended; the connection is free or closed.
    pub fn request_ended(&mut self) {
        self.busy -= 1;
    }

    /// An idle connection was closed; nothing changes where it is not idle.
    pub fn remove_idle(&mut self, connection: usize) {
        self.idle.retain(|idle| idle.connection != connection);
    }

    /// The connection that is idle for the longest time, and since when.
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
