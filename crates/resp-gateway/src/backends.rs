//! The connections to backends: a pool for each backend, with at most one attempt at a time on each connection.
//!
//! The table owns the addresses of the backends, their connections and the attempts in flight. An attempt may have to
//! wait for a connection before its first byte is written. It is withdrawn when its backend drains, is removed or has a
//! new incarnation in the meantime. [`io`] does the I/O.

mod attempt;
mod buffers;
mod connection;
mod io;
mod reuse;

pub(crate) use attempt::{AttemptEvent, AttemptTimeouts, AttemptUpdate, is_health_check};

use crate::endpoints::{Endpoint, EndpointList};
use crate::reactor::{Reactor, Token};
use crate::request::ForwardedCommand;
use attempt::{Attempt, Payload, health_check_id};
use connection::{BackendConnection, ConnectionState};
use doorcourse::{BackendEntry, BackendState, Millis, Name, RequestId};
use doorcourse_connection_limits::ConnectionPool;
use doorcourse_event_loop::Timers;
use doorcourse_fail_points::rule_disabled;
use reuse::REST_AFTER_RESPONSE_MS;
use slab::Slab;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One backend of the endpoint list.
struct Backend {
    address: SocketAddr,
    /// Its last entry in the endpoint list.
    entry: BackendEntry,
    /// Whether attempts may be sent to it.
    is_ready: bool,
    /// Whether the endpoint list contains it.
    is_listed: bool,
    pool: ConnectionPool,
    /// Whether the end of a rest is scheduled in `rest_ends`, of which there is one for each backend.
    rest_end_scheduled: bool,
}

/// How many connections and waiting attempts a backend has, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PoolCounts {
    pub busy: usize,
    pub idle: usize,
    pub waiting: usize,
    pub connecting: usize,
}

/// The backends, their connections and the attempts in flight.
#[derive(Default)]
pub(crate) struct Backends {
    backends: HashMap<Name, Backend>,
    connections: Slab<BackendConnection>,
    attempts: HashMap<RequestId, Attempt>,
    max_connections: usize,
    connect_timeout: Millis,
    /// How long backends keep idle connections open, in ms; 0 if unknown.
    backend_idle_timeout: Millis,
    /// Connections that the next flush handles.
    to_flush: Vec<usize>,
    timeouts_checked_at: Millis,
    /// When a connection ends its rest at a backend for which attempts wait.
    rest_ends: Timers<Name>,
    /// Connections opened since the start, for the log.
    pub connections_opened: u64,
    health_checks_started: u64,
    /// Number of the latest incarnation of any backend. A backend has a new incarnation when it is restarted or gets
    /// another address.
    last_incarnation: u64,
    /// Bytes buffered for all connections.
    buffered_bytes: u64,
    /// Connections that are not read until buffers are free again.
    paused: Vec<Token>,
}

impl Backends {
    pub(crate) fn new(max_connections: usize, connect_timeout: Millis, backend_idle_timeout: Millis) -> Self {
        Self { max_connections, connect_timeout, backend_idle_timeout, ..Self::default() }
    }

    pub(crate) fn configure(&mut self, connect_timeout: Millis, backend_idle_timeout: Millis) {
        self.connect_timeout = connect_timeout;
        self.backend_idle_timeout = backend_idle_timeout;
    }

    /// The backends that the endpoint list contains, with their addresses.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (SocketAddr, &BackendEntry)> + Clone {
        let listed = self.backends.values().filter(|backend| backend.is_listed);
        listed.map(|backend| (backend.address, &backend.entry))
    }

    /// Applies an endpoint list. Attempts that their backend must no longer receive are appended to `updates` as
    /// withdrawn. The caller reports them after the decision library has processed the list, so that their retries do
    /// not go to a backend that the list drains.
    pub(crate) fn apply_endpoints(&mut self, list: &EndpointList, updates: &mut Vec<AttemptUpdate>) {
        if list.complete {
            self.backends.values_mut().for_each(|backend| backend.is_listed = false);
        }
        for endpoint in &list.endpoints {
            self.apply_endpoint(endpoint, updates);
        }
        for name in self.mark_removed() {
            self.withdraw_attempts(&name, updates);
            self.remove_if_unused(&name);
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, updates: &mut Vec<AttemptUpdate>) {
        let entry = &endpoint.entry;
        let is_ready = entry.state == BackendState::Ready;
        let is_listed = entry.state != BackendState::Removed;
        match (self.backends.get_mut(&entry.name), endpoint.address) {
            (Some(backend), address) => {
                let has_moved = address.is_some_and(|address| address != backend.address);
                let is_new_incarnation = has_moved || backend.entry.started != entry.started;
                backend.is_ready = is_ready;
                backend.is_listed = is_listed;
                backend.entry = entry.clone();
                backend.address = address.unwrap_or(backend.address);
                if is_new_incarnation || !is_ready {
                    self.withdraw_attempts(&entry.name, updates);
                }
                if is_new_incarnation {
                    self.begin_incarnation(&entry.name);
                }
            }
            (None, Some(address)) if is_listed => {
                let pool = ConnectionPool::default();
                let entry = entry.clone();
                let name = entry.name.clone();
                let backend =
                    Backend { address, entry, is_ready, is_listed, pool, rest_end_scheduled: false };
                self.backends.insert(name.clone(), backend);
                self.begin_incarnation(&name);
            }
            (None, _) => {}
        }
    }

    /// Marks the backends that are not listed as not ready, and returns their names.
    fn mark_removed(&mut self) -> Vec<Name> {
        let mut removed = Vec::new();
        for (name, backend) in self.backends.iter_mut().filter(|(_, backend)| !backend.is_listed) {
            backend.is_ready = false;
            removed.push(name.clone());
        }
        removed
    }

    /// Withdraws the attempts that wait for a connection or are not completely written, and closes idle connections.
    fn withdraw_attempts(&mut self, name: &Name, updates: &mut Vec<AttemptUpdate>) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        let (waiting, idle) = backend.pool.withdraw_all();
        let withdrawn = |request| AttemptUpdate { request, event: AttemptEvent::Withdrawn };
        updates.extend(waiting.into_iter().map(withdrawn));
        for index in idle {
            self.close(index);
        }
        let connections = self.connections.iter().map(|(_, connection)| connection);
        let of_backend = connections.filter(|connection| connection.backend == *name);
        updates.extend(of_backend.filter_map(BackendConnection::unwritten_attempt).map(withdrawn));
    }

    /// Gives a backend that is new, was restarted or has another address a new pool. Connections of the previous
    /// incarnation that are still being made are closed; attempts in flight on the others complete there.
    fn begin_incarnation(&mut self, name: &Name) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        if rule_disabled("pool-per-incarnation") {
            return;
        }
        self.last_incarnation += 1;
        backend.pool = ConnectionPool::new(self.last_incarnation);
        let is_obsolete = |connection: &BackendConnection| {
            connection.backend == *name && matches!(connection.state, ConnectionState::Connecting { .. })
        };
        let obsolete = self.connections.iter().filter(|(_, connection)| is_obsolete(connection));
        for index in obsolete.map(|(index, _)| index).collect::<Vec<_>>() {
            // Not `close`: the new pool has never counted it.
            self.remove_connection(index);
        }
    }

    /// Returns the pool that a connection belongs to, or `None` if its backend has had a new incarnation since.
    fn pool_of(&mut self, backend: &Name, incarnation: u64) -> Option<&mut ConnectionPool> {
        let pool = self.backends.get_mut(backend).map(|backend| &mut backend.pool);
        pool.filter(|pool| pool.incarnation() == incarnation)
    }

    /// Removes a backend that is neither listed nor in use.
    fn remove_if_unused(&mut self, name: &Name) {
        if self.backends.get(name).is_some_and(|backend| !backend.is_listed && backend.pool.is_empty()) {
            self.backends.remove(name);
        }
    }

    /// Starts an attempt on an idle connection, or queues it until a connection is available.
    pub(crate) fn start_attempt(
        &mut self, reactor: &mut Reactor, request: RequestId, backend: &Name, command: Arc<ForwardedCommand>,
        timeouts: AttemptTimeouts, updates: &mut Vec<AttemptUpdate>,
    ) {
        self.start(reactor, request, backend, Payload::Request(command), timeouts, updates);
    }

    /// Starts a health check and returns its id. Its updates are reported like those of an attempt, under this id.
    pub(crate) fn start_health_check(
        &mut self, reactor: &mut Reactor, backend: &Name, updates: &mut Vec<AttemptUpdate>,
    ) -> RequestId {
        self.health_checks_started += 1;
        let id = health_check_id(self.health_checks_started);
        let timeouts = AttemptTimeouts { deadline: f64::INFINITY, connect_timeout: self.connect_timeout };
        self.start(reactor, id, backend, Payload::HealthCheck, timeouts, updates);
        id
    }

    fn start(
        &mut self, reactor: &mut Reactor, request: RequestId, name: &Name, payload: Payload,
        timeouts: AttemptTimeouts, updates: &mut Vec<AttemptUpdate>,
    ) {
        if !self.backends.get(name).is_some_and(|backend| backend.is_ready) {
            return updates.push(AttemptUpdate { request, event: AttemptEvent::Withdrawn });
        }
        let attempt =
            Attempt { backend: name.clone(), payload, deadline: timeouts.deadline, connection: None };
        self.attempts.insert(request, attempt);
        if let Some(backend) = self.backends.get_mut(name) {
            backend.pool.enqueue(request);
        }
        self.use_idle_connections(reactor, name, updates);
        // If a connection is closed in its rest, another one has to be opened in what is left of the timeout.
        self.open_connections(reactor, name, timeouts.connect_timeout / 2.0, updates);
    }

    /// Assigns a free connection to an attempt and encodes the attempt; the next flush writes it.
    fn write_attempt(
        &mut self, reactor: &mut Reactor, index: usize, request: RequestId, updates: &mut Vec<AttemptUpdate>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&request) else { return };
        let Some(connection) = self.connections.get_mut(index) else { return };
        attempt.connection = Some(index);
        connection.start_attempt(request, reactor.now);
        attempt.encode(reactor.now, connection.registered.socket.output());
        updates.push(AttemptUpdate { request, event: AttemptEvent::Connected });
        if !std::mem::replace(&mut connection.flush_scheduled, true) {
            self.to_flush.push(index);
        }
        self.count_buffers(reactor, index);
    }

    /// Assigns a connection that was just opened to the attempt that has waited longest, or keeps it idle; one that has
    /// carried a response rests first. Closes it if its backend is not ready or has a new incarnation.
    fn release(&mut self, reactor: &mut Reactor, index: usize, updates: &mut Vec<AttemptUpdate>) {
        let Some(connection) = self.connections.get_mut(index) else { return };
        let backend = self.backends.get_mut(&connection.backend);
        let Some(backend) = backend
            .filter(|backend| backend.is_ready && backend.pool.incarnation() == connection.incarnation)
        else {
            return self.close(index);
        };
        let idle = ConnectionState::Idle { since: reactor.now };
        let mut usable_from = reactor.now;
        match std::mem::replace(&mut connection.state, idle) {
            ConnectionState::Connecting { .. } => backend.pool.connect_ended(),
            ConnectionState::Busy { .. } => {
                backend.pool.request_ended();
                usable_from += REST_AFTER_RESPONSE_MS;
            }
            ConnectionState::Idle { .. } => {}
        }
        let name = connection.backend.clone();
        if let Some(request) = backend.pool.release(reactor.now, index, usable_from) {
            self.write_attempt(reactor, index, request, updates);
        }
        self.schedule_rest_end(reactor.now, &name);
    }

    /// Closes a connection and removes it from its pool.
    fn close(&mut self, index: usize) {
        let Some(connection) = self.remove_connection(index) else { return };
        if let Some(pool) = self.pool_of(&connection.backend, connection.incarnation) {
            match connection.state {
                ConnectionState::Connecting { .. } => pool.connect_ended(),
                ConnectionState::Idle { .. } => pool.remove_idle(index),
                ConnectionState::Busy { .. } => pool.request_ended(),
            }
        }
        self.remove_if_unused(&connection.backend);
    }

    /// Removes a connection from the table alone.
    fn remove_connection(&mut self, index: usize) -> Option<BackendConnection> {
        let connection = self.connections.try_remove(index)?;
        self.release_buffers(&connection);
        Some(connection)
    }

    /// Ends an attempt whose response is no longer needed: closes its connection, or cancels its wait for one.
    pub(crate) fn abandon(&mut self, request: RequestId) {
        let Some(attempt) = self.attempts.remove(&request) else { return };
        match attempt.connection {
            Some(index) => self.close(index),
            None => {
                if let Some(backend) = self.backends.get_mut(&attempt.backend) {
                    backend.pool.cancel_wait(request);
                }
            }
        }
    }

    /// Whether an attempt is in flight and has no connection yet.
    pub(crate) fn awaits_connection(&self, request: RequestId) -> bool {
        self.attempts.get(&request).is_some_and(|attempt| attempt.connection.is_none())
    }

    /// Returns how many connections and waiting attempts a backend has.
    pub(crate) fn pool_counts(&self, name: &Name) -> PoolCounts {
        let Some(backend) = self.backends.get(name) else { return PoolCounts::default() };
        let (waiting, connecting, busy, idle) = backend.pool.counts();
        PoolCounts { busy, idle, waiting, connecting }
    }

    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
mod tests;
