//! The I/O of the backend connections: connecting, readiness, writing and timeouts.

use super::attempt::{AttemptEvent, AttemptUpdate};
use super::connection::{BackendConnection, ConnectionState};
use super::{Backend, Backends};
use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse::{Millis, Name, RequestId};
use doorcourse_connection_limits::idle_limit;
use doorcourse_event_loop::{Flow, Interest, Ready, connect};

/// How often the timeouts of connections are checked, in ms.
const TIMEOUT_CHECK_INTERVAL_MS: Millis = 200.0;

impl Backends {
    /// Opens connections for the attempts that wait, within the limits of the pool and of the gateway. If no connection
    /// can be opened, the attempt that has waited longest ends. Connections whose rest ends within `longest_rest` ms are
    /// waited for.
    pub(super) fn open_connections(
        &mut self, reactor: &mut Reactor, name: &Name, longest_rest: Millis, updates: &mut Vec<AttemptUpdate>,
    ) {
        loop {
            let pool = self.backends.get(name).map(|backend| &backend.pool);
            if !pool.is_some_and(|pool| pool.needs_connection(reactor.now, longest_rest)) {
                return;
            }
            if self.connections.len() >= self.max_connections {
                self.close_longest_idle();
            }
            let is_full = self.connections.len() >= self.max_connections;
            let Some(backend) = self.backends.get_mut(name) else { return };
            let serial = reactor.next_serial();
            let token = Token { kind: TokenKind::Backend, serial, index: self.connections.vacant_key() };
            let opened = if is_full { Err(None) } else { open(reactor, backend, token).map_err(Some) };
            match opened {
                Ok(registered) => {
                    let incarnation = backend.pool.incarnation();
                    backend.pool.connect_started();
                    self.connections_opened += 1;
                    self.connections.insert(BackendConnection::connecting(
                        registered,
                        name.clone(),
                        incarnation,
                        reactor.now,
                    ));
                }
                Err(error) => {
                    let Some(request) = backend.pool.pop_waiting() else { return };
                    self.attempts.remove(&request);
                    // Exhausted descriptors or another local error is not a failure of the backend.
                    let is_refused = error.is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused);
                    let event =
                        if is_refused { AttemptEvent::ConnectionLost } else { AttemptEvent::Withdrawn };
                    updates.push(AttemptUpdate { request, event });
                }
            }
        }
    }

    /// Closes the connection that has been idle longest, over all backends.
    fn close_longest_idle(&mut self) {
        let idle = self.backends.values().filter_map(|backend| backend.pool.longest_idle());
        if let Some((index, _)) = idle.min_by(|a, b| a.1.total_cmp(&b.1)) {
            self.close(index);
        }
    }

    /// Handles the readiness of a connection.
    pub(crate) fn handle_readiness(
        &mut self, reactor: &mut Reactor, token: Token, ready: Ready, updates: &mut Vec<AttemptUpdate>,
    ) {
        let index = token.index;
        let connection = self.connections.get_mut(index);
        let Some(connection) = connection.filter(|connection| connection.registered.token == token) else {
            return;
        };
        match connection.state {
            ConnectionState::Connecting { .. } => {
                if ready.write || ready.broken {
                    self.finish_connect(reactor, index, updates);
                }
            }
            // No response is due: the backend closed the connection or sent bytes that belong to no request.
            ConnectionState::Idle { since } => {
                let idle_ms = (reactor.now - since).round();
                tracing::trace!(target: "doorcourse::sockets", idle_ms, "idle backend connection closed");
                self.close(index);
            }
            ConnectionState::Busy { request, .. } => {
                if ready.write && !std::mem::replace(&mut connection.flush_scheduled, true) {
                    self.to_flush.push(index);
                }
                if ready.broken || ready.read && self.may_read(reactor, index) {
                    self.read_response(reactor, index, request, updates);
                }
            }
        }
    }

    fn finish_connect(&mut self, reactor: &mut Reactor, index: usize, updates: &mut Vec<AttemptUpdate>) {
        let connection = &mut self.connections[index];
        if connection.registered.socket.finish_connect().is_ok() {
            connection.registered.set_interest(reactor, true, false);
            return self.release(reactor, index, updates);
        }
        let name = connection.backend.clone();
        self.close(index);
        let waiting = self.backends.get_mut(&name).and_then(|backend| backend.pool.pop_waiting());
        if let Some(request) = waiting {
            self.attempts.remove(&request);
            updates.push(AttemptUpdate { request, event: AttemptEvent::ConnectionLost });
        }
        self.open_connections(reactor, &name, Millis::INFINITY, updates);
    }

    fn read_response(
        &mut self, reactor: &mut Reactor, index: usize, request: RequestId, updates: &mut Vec<AttemptUpdate>,
    ) {
        let connection = &mut self.connections[index];
        let Some(read) = connection.read_response(request) else {
            return self.count_buffers(reactor, index);
        };
        self.attempts.remove(&request);
        match read.result {
            Ok(response) => {
                updates.push(AttemptUpdate { request, event: AttemptEvent::Responded(response) });
                if read.is_reusable {
                    self.count_buffers(reactor, index);
                    self.release(reactor, index, updates);
                } else {
                    self.close(index);
                }
            }
            Err(event) => {
                connection.log_failed_attempt(reactor.now, &event);
                self.close(index);
                updates.push(AttemptUpdate { request, event });
            }
        }
    }

    /// Writes the attempts of this event-loop iteration, and what remains of earlier ones on writable connections.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, updates: &mut Vec<AttemptUpdate>) {
        for index in std::mem::take(&mut self.to_flush) {
            let connection = self.connections.get_mut(index);
            let Some(connection) = connection.filter(|connection| connection.flush_scheduled) else {
                continue;
            };
            connection.flush_scheduled = false;
            let Some(request) = connection.unwritten_attempt() else { continue };
            let flow = connection.registered.socket.flush();
            let is_pending = connection.registered.socket.pending() > 0;
            connection.registered.set_interest(reactor, true, is_pending);
            if flow == Flow::Broken {
                self.attempts.remove(&request);
                self.close(index);
                updates.push(AttemptUpdate { request, event: AttemptEvent::ConnectionLost });
            } else if !is_pending {
                connection.state = ConnectionState::Busy { request, written: true };
                updates.push(AttemptUpdate { request, event: AttemptEvent::Written });
            }
            self.count_buffers(reactor, index);
        }
    }

    /// When [`handle_timeout`](Self::handle_timeout) is due.
    pub(crate) fn next_timeout(&self) -> Millis {
        let next_check = if self.connections.is_empty() {
            f64::INFINITY
        } else {
            self.timeouts_checked_at + TIMEOUT_CHECK_INTERVAL_MS
        };
        self.rest_ends.next_deadline().unwrap_or(f64::INFINITY).min(next_check)
    }

    /// Assigns connections that have rested. Closes connections that were not made within the connect timeout, and those
    /// that have been idle for too long. The attempts that wait for a connection end by timers of their own.
    pub(crate) fn handle_timeout(&mut self, reactor: &mut Reactor, updates: &mut Vec<AttemptUpdate>) {
        self.use_rested_connections(reactor, updates);
        let now = reactor.now;
        if now < self.timeouts_checked_at + TIMEOUT_CHECK_INTERVAL_MS {
            return;
        }
        self.timeouts_checked_at = now;
        let idle_timeout = idle_limit(self.backend_idle_timeout);
        for index in 0..self.connections.capacity() {
            let Some(connection) = self.connections.get(index) else { continue };
            let is_expired = match connection.state {
                ConnectionState::Connecting { since } => now >= since + self.connect_timeout,
                ConnectionState::Idle { since } => now >= since + idle_timeout,
                ConnectionState::Busy { .. } => false,
            };
            if is_expired {
                self.close(index);
            }
        }
    }
}

fn open(reactor: &Reactor, backend: &Backend, token: Token) -> std::io::Result<RegisteredSocket> {
    let socket = connect(backend.address)?;
    RegisteredSocket::new(reactor, socket, token, Interest::BOTH)
}
