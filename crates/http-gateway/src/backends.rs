//! Connections to backends, and a pool of idle connections for each backend.
//!
//! The event loop takes the events of a connection one by one ([`Backends::next_event`]), so that it may close the
//! connection between two events.

mod connection;

pub(crate) use connection::{AttemptEvent, ConnectionId};

use crate::io::{Io, Timer, Token};
use connection::{BackendConnection, Decoded, EndpointIdentity};
use doorcourse::{Millis, Name, RequestId};
use doorcourse_config::{Limits, Node};
use doorcourse_event_loop::{Flow, Interest, Ready, connect};
use doorcourse_fail_points::rule_disabled;
use doorcourse_http::{Decoder, Limits as HttpLimits, Role, request};
use slab::Slab;
use std::collections::BTreeMap;

/// The idle connections to one backend, the most recently used one at the end.
#[derive(Debug)]
struct ConnectionPool {
    endpoint: EndpointIdentity,
    idle: Vec<usize>,
}

/// A request as it is written to a backend.
pub(crate) struct BackendRequest<'a> {
    pub path: &'a str,
    pub fields: Vec<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

/// The connections to all backends, and a pool for each listed one.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    connections: Slab<BackendConnection>,
    pools: BTreeMap<Name, ConnectionPool>,
}

impl Backends {
    /// Applies an endpoint list, and closes idle connections to endpoints that are no longer listed. Returns the names
    /// of the backends whose endpoint is unchanged.
    pub(crate) fn update_endpoints(&mut self, nodes: &[Node]) -> Vec<Name> {
        let mut old_pools = std::mem::take(&mut self.pools);
        let mut unchanged = Vec::new();
        let mut stale_slots = Vec::new();
        for node in nodes {
            let name = node.entry.name.clone();
            let endpoint = EndpointIdentity { address: node.address, started: node.entry.started };
            let pool = match old_pools.remove(&name) {
                Some(pool) if pool.endpoint == endpoint => {
                    unchanged.push(name.clone());
                    pool
                }
                old_pool => {
                    stale_slots.extend(old_pool.into_iter().flat_map(|pool| pool.idle));
                    ConnectionPool { endpoint, idle: Vec::new() }
                }
            };
            self.pools.insert(name, pool);
        }
        stale_slots.extend(old_pools.into_values().flat_map(|pool| pool.idle));
        stale_slots.into_iter().for_each(|slot| self.close(slot));
        unchanged
    }

    /// Starts an attempt on an idle connection, or on a new one if none is idle. Returns `None` if the backend is not
    /// listed or no connection can be opened.
    pub(crate) fn send_request(
        &mut self, io: &mut Io, limits: &Limits, id: RequestId, backend: &Name, outgoing: &BackendRequest<'_>,
    ) -> Option<ConnectionId> {
        let endpoint = self.pools.get(backend)?.endpoint;
        let slot = match self.take_idle(backend) {
            Some(slot) => slot,
            None => self.open(io, limits, backend, endpoint).ok()?,
        };
        let connection = self.connections.get_mut(slot)?;
        let host = endpoint.address.to_string();
        let mut fields = vec![("host", host.as_str())];
        fields.extend_from_slice(&outgoing.fields);
        request(connection.socket.output(), "POST", outgoing.path, &fields, outgoing.body);
        connection.start_request(id);
        Some(ConnectionId { slot, generation: connection.generation })
    }

    /// Takes the most recently used idle connection on which nothing has happened out of its pool, and closes those on
    /// which something has: the readiness of a connection may not have been handled yet, and what has arrived must not be
    /// read as the next response.
    fn take_idle(&mut self, backend: &Name) -> Option<usize> {
        loop {
            let slot = self.pools.get_mut(backend)?.idle.pop()?;
            if self.connections.get_mut(slot)?.socket.read() == (0, Flow::Open) {
                return Some(slot);
            }
            self.close(slot);
        }
    }

    fn open(
        &mut self, io: &mut Io, limits: &Limits, backend: &Name, endpoint: EndpointIdentity,
    ) -> std::io::Result<usize> {
        let socket = connect(endpoint.address)?;
        let generation = io.generation();
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let interest = Interest::BOTH;
        io.poller.add(&socket, Token::Backend(slot, generation).pack(), interest)?;
        entry.insert(BackendConnection {
            socket,
            generation,
            backend: backend.clone(),
            endpoint,
            decoder: Decoder::new(Role::Responses, response_limits(limits)),
            request: None,
            connecting: true,
            connected_pending: false,
            write_ready: false,
            flow: Flow::Open,
            input_pending: false,
            decoded_bytes: 0,
            paused: false,
            interest,
            idle_until: Millis::INFINITY,
            keep_alive: false,
        });
        Ok(slot)
    }

    /// Handles the readiness of a connection; [`Self::next_event`] then returns the events.
    pub(crate) fn handle_readiness(&mut self, slot: usize, generation: u32, ready: Ready) {
        let current_connection = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        let Some(connection) = current_connection else { return };
        if connection.handle_readiness(ready) {
            self.close(slot);
        }
    }

    /// The next event of a connection, and the id of its request; `None` if there is no further event for now.
    pub(crate) fn next_event(
        &mut self, io: &mut Io, limits: &Limits, slot: usize, generation: u32,
    ) -> Option<(RequestId, AttemptEvent)> {
        let connection = self.connections.get_mut(slot).filter(|c| c.generation == generation)?;
        if let Some(id) = connection.request {
            if std::mem::take(&mut connection.connected_pending) {
                return Some((id, AttemptEvent::Connected));
            }
            if std::mem::take(&mut connection.write_ready) && connection.flush_request() {
                return Some((id, AttemptEvent::BytesWritten));
            }
            if connection.input_pending
                && let Some(event) = self.next_response_event(io, limits, slot)
            {
                return Some((id, event));
            }
        } else if connection.input_pending && !connection.socket.input.is_empty() {
            // Bytes after the end of the response: a later response on this connection could not be trusted.
            self.close(slot);
        }
        self.update_registration(io, slot);
        None
    }

    /// The next event of a response, decoded from the input read so far. A connection whose response is complete is
    /// released.
    fn next_response_event(&mut self, io: &mut Io, limits: &Limits, slot: usize) -> Option<AttemptEvent> {
        match self.connections.get_mut(slot)?.decode() {
            Decoded::Event(event) => {
                if matches!(event, AttemptEvent::End) {
                    self.release(io, limits, slot);
                }
                Some(event)
            }
            Decoded::NeedsInput => None,
            Decoded::Closed { response_complete } => {
                self.close(slot);
                Some(if response_complete { AttemptEvent::End } else { AttemptEvent::ConnectionLost })
            }
        }
    }

    /// Returns a connection to its pool if it may carry another request; closes it otherwise.
    fn release(&mut self, io: &mut Io, limits: &Limits, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let reusable = connection.finish_request(io.now() + limits.node_idle_time);
        match self.pools.get_mut(&connection.backend) {
            Some(pool)
                if reusable
                    && (pool.endpoint == connection.endpoint || rule_disabled("pool-per-endpoint")) =>
            {
                pool.idle.push(slot);
                let timer = Timer::BackendIdle(slot, connection.generation);
                io.timers.schedule(connection.idle_until, timer);
            }
            _ => self.close(slot),
        }
    }

    /// Closes a connection if its idle timeout has passed.
    pub(crate) fn handle_idle_timeout(&mut self, io: &Io, slot: usize, generation: u32) {
        let now = io.now();
        if self.connections.get(slot).is_some_and(|c| c.is_idle_timeout(generation, now)) {
            self.close(slot);
        }
    }

    /// Closes a connection, idle or not.
    pub(crate) fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.try_remove(slot) else { return };
        if let Some(pool) = self.pools.get_mut(&connection.backend) {
            pool.idle.retain(|s| *s != slot);
        }
    }

    /// Pauses reading from a connection while its client has not read enough, or resumes it.
    pub(crate) fn set_paused(&mut self, io: &Io, slot: usize, paused: bool) {
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.paused = paused;
        }
        self.update_registration(io, slot);
    }

    fn update_registration(&mut self, io: &Io, slot: usize) {
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.update_registration(io, slot);
        }
    }
}

/// The limits of a backend's response.
fn response_limits(limits: &Limits) -> HttpLimits {
    HttpLimits { line: limits.line, head: limits.head, fields: limits.fields, body: limits.answer }
}
