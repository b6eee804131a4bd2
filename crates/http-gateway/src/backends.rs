//! The room of the nodes: their connections, and a pool of idle ones for each. What is heard on a connection is given out
//! piece by piece (`hear`), so that whoever listens may let the connection go between two pieces.

use crate::io::{Io, Timer, Token};
use doorcourse::{Name, RequestId};
use doorcourse_config::{Limits, Node};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, connect};
use doorcourse_fail_points::rule_disabled;
use doorcourse_http::{Decoder, Head, Limits as HttpLimits, Part, Role, request};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node as its connections are made for it: another start of it, or another address, has none of them.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Endpoint {
    address: SocketAddr,
    started: Option<f64>,
}

/// Connections to one node that carry no request, the one used last at the end.
#[derive(Debug)]
struct Pool {
    endpoint: Endpoint,
    idle: Vec<usize>,
}

#[derive(Debug)]
struct BackendConnection {
    socket: Socket,
    generation: u32,
    backend: Name,
    endpoint: Endpoint,
    decoder: Decoder,
    request: Option<RequestId>,
    connecting: bool,
    /// What is to be said of the connection and of bytes to write before anything that was read.
    connected_pending: bool,
    write_ready: bool,
    /// How reading goes, and whether bytes or an end wait to be looked at.
    flow: Flow,
    input_pending: bool,
    /// How much of the input is looked at.
    decoded: usize,
    /// Whether the client of its answer must read first.
    paused: bool,
    interest: Interest,
    idle_until: f64,
    keep_alive: bool,
}

impl BackendConnection {
    /// Lets go of the input that was looked at, once for all pieces of a reading.
    fn consume(&mut self) {
        let at = std::mem::take(&mut self.decoded);
        self.socket.consume(at);
    }
}

/// One piece of what is heard of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The connection is made.
    Connected,
    /// The system took bytes of the request.
    BytesWritten,
    Head(Box<Head>),
    Data(Vec<u8>),
    /// The answer is at its end; the connection is free again or gone.
    End,
    /// The connection is gone.
    ConnectionLost,
    /// The answer breaks the protocol or a limit.
    InvalidResponse,
}

/// What a request is to be on the wire.
pub(crate) struct BackendRequest<'a> {
    pub path: &'a str,
    pub fields: Vec<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

#[derive(Debug, Default)]
pub(crate) struct Backends {
    connections: Slab<BackendConnection>,
    pools: BTreeMap<Name, Pool>,
}

impl Backends {
    /// Takes a list over; idle connections to what is gone are closed. Names the nodes that are where they were: what is
    /// not written yet to any other is to be taken back.
    pub fn update_endpoints(&mut self, nodes: &[Node]) -> Vec<Name> {
        let (mut old, mut same) = (std::mem::take(&mut self.pools), Vec::new());
        let mut gone = Vec::new();
        for node in nodes {
            let name = node.entry.name.clone();
            let endpoint = Endpoint { address: node.address, started: node.entry.started };
            let pool = match old.remove(&name) {
                Some(pool) if pool.endpoint == endpoint => {
                    same.push(name.clone());
                    pool
                }
                moved => {
                    gone.extend(moved.into_iter().flat_map(|pool| pool.idle));
                    Pool { endpoint, idle: Vec::new() }
                }
            };
            self.pools.insert(name, pool);
        }
        gone.extend(old.into_values().flat_map(|pool| pool.idle));
        gone.into_iter().for_each(|slot| self.close(slot));
        same
    }

    /// Begins an attempt: on an idle connection, else on a new one. `None` where none can even be begun.
    pub fn send_request(
        &mut self, io: &mut Io, limits: &Limits, id: RequestId, node: &Name, wire: &BackendRequest,
    ) -> Option<(usize, u32)> {
        let pool = self.pools.get_mut(node)?;
        let endpoint = pool.endpoint;
        let slot = match pool.idle.pop() {
            Some(slot) => slot,
            None => self.open(io, limits, node, endpoint).ok()?,
        };
        let connection = self.connections.get_mut(slot)?;
        let host = endpoint.address.to_string();
        let mut fields = vec![("host", host.as_str())];
        fields.extend_from_slice(&wire.fields);
        request(connection.socket.output(), "POST", wire.path, &fields, wire.body);
        (connection.request, connection.idle_until) = (Some(id), f64::INFINITY);
        (connection.connected_pending, connection.write_ready) =
            (!connection.connecting, !connection.connecting);
        Some((slot, connection.generation))
    }

    fn open(
        &mut self, io: &mut Io, limits: &Limits, node: &Name, endpoint: Endpoint,
    ) -> std::io::Result<usize> {
        let socket = connect(endpoint.address)?;
        let generation = io.generation();
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let interest = Interest::BOTH;
        io.poller.add(&socket, Token::Backend(slot, generation).pack(), interest)?;
        let limits =
            HttpLimits { line: limits.line, head: limits.head, fields: limits.fields, body: limits.answer };
        entry.insert(BackendConnection {
            socket,
            generation,
            backend: node.clone(),
            endpoint,
            decoder: Decoder::new(Role::Responses, limits),
            request: None,
            connecting: true,
            connected_pending: false,
            write_ready: false,
            flow: Flow::Open,
            input_pending: false,
            decoded: 0,
            paused: false,
            interest,
            idle_until: f64::INFINITY,
            keep_alive: false,
        });
        Ok(slot)
    }

    /// Reads and notes what a connection is ready for; `hear` tells of it.
    pub fn handle_readiness(&mut self, slot: usize, generation: u32, ready: Ready) {
        let known = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        let Some(connection) = known else { return };
        if connection.connecting {
            if !ready.write && !ready.broken {
                return;
            }
            if connection.socket.finish_connect().is_err() {
                (connection.flow, connection.input_pending) = (Flow::Broken, true);
                return;
            }
            connection.connecting = false;
            (connection.connected_pending, connection.write_ready) = (true, true);
            return;
        }
        connection.write_ready |= ready.write;
        if ready.read && (!connection.paused || ready.broken) {
            let (count, flow) = connection.socket.read();
            if connection.request.is_none() && (count > 0 || flow != Flow::Open) {
                // An idle connection that ends, or speaks unasked, is of no further use.
                return self.close(slot);
            }
            (connection.flow, connection.input_pending) =
                (flow, connection.input_pending || count > 0 || flow != Flow::Open);
        }
    }

    /// The next piece of what is heard on a connection, and of which request. `None`: nothing more for now.
    pub fn next_event(
        &mut self, io: &mut Io, limits: &Limits, slot: usize, generation: u32,
    ) -> Option<(RequestId, AttemptEvent)> {
        let connection = self.connections.get_mut(slot).filter(|c| c.generation == generation)?;
        if let Some(id) = connection.request {
            if std::mem::take(&mut connection.connected_pending) {
                return Some((id, AttemptEvent::Connected));
            }
            if std::mem::take(&mut connection.write_ready) {
                let before = connection.socket.pending();
                if connection.socket.flush() == Flow::Broken {
                    (connection.flow, connection.input_pending) = (Flow::Broken, true);
                }
                if connection.socket.pending() < before {
                    return Some((id, AttemptEvent::BytesWritten));
                }
            }
            if connection.input_pending
                && let Some(heard) = self.answer(io, limits, slot)
            {
                return Some((id, heard));
            }
        } else if connection.input_pending && !connection.socket.input.is_empty() {
            // More than the answer: nothing on it can be trusted.
            self.close(slot);
        }
        self.settle(io, slot);
        None
    }

    /// The next piece of an answer out of what was read.
    fn answer(&mut self, io: &mut Io, limits: &Limits, slot: usize) -> Option<AttemptEvent> {
        let connection = self.connections.get_mut(slot)?;
        if !connection.connecting {
            // Also without a byte at hand: a message may be at its end.
            let input = &connection.socket.input[connection.decoded..];
            let (used, heard) = match connection.decoder.decode(input) {
                Err(_) => {
                    connection.input_pending = false;
                    return Some(AttemptEvent::InvalidResponse);
                }
                Ok((used, None)) => (used, None),
                Ok((used, Some(Part::Head(head)))) => {
                    connection.keep_alive = head.keep_alive;
                    (used, Some(AttemptEvent::Head(head)))
                }
                Ok((used, Some(Part::Data(data)))) => (used, Some(AttemptEvent::Data(data.to_vec()))),
                Ok((used, Some(Part::End))) => (used, Some(AttemptEvent::End)),
            };
            connection.decoded += used;
            if let Some(AttemptEvent::End) = heard {
                self.free(io, limits, slot);
            }
            if heard.is_some() {
                return heard;
            }
        }
        let connection = self.connections.get_mut(slot)?;
        connection.input_pending = false;
        connection.consume();
        if connection.flow == Flow::Open {
            return None;
        }
        let rest = !connection.socket.input.is_empty();
        let whole = connection.flow == Flow::Ended && connection.decoder.closed(rest).unwrap_or(false);
        self.close(slot);
        Some(if whole { AttemptEvent::End } else { AttemptEvent::ConnectionLost })
    }

    /// An answer is at its end: the connection goes back to its pool where it may carry another request.
    fn free(&mut self, io: &mut Io, limits: &Limits, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.consume();
        (connection.request, connection.paused) = (None, false);
        let keep = connection.keep_alive
            && connection.socket.pending() == 0
            && connection.socket.input.is_empty()
            && connection.flow == Flow::Open;
        connection.input_pending = false;
        connection.idle_until = io.now() + limits.node_idle_time;
        match self.pools.get_mut(&connection.backend) {
            Some(pool)
                if keep && (pool.endpoint == connection.endpoint || rule_disabled("pool-per-endpoint")) =>
            {
                pool.idle.push(slot);
                let alarm = Timer::BackendIdle(slot, connection.generation);
                io.timers.set(connection.idle_until, alarm);
            }
            _ => self.close(slot),
        }
    }

    /// An idle connection's time may be over.
    pub fn handle_idle_timeout(&mut self, io: &Io, slot: usize, generation: u32) {
        let now = io.now();
        let over =
            |c: &BackendConnection| c.generation == generation && c.request.is_none() && c.idle_until <= now;
        if self.connections.get(slot).is_some_and(over) {
            self.close(slot);
        }
    }

    /// Closes a connection, whatever it carries.
    pub fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.try_remove(slot) else { return };
        if let Some(pool) = self.pools.get_mut(&connection.backend) {
            pool.idle.retain(|s| *s != slot);
        }
    }

    /// Stops reading an answer until its client has read, or goes on.
    pub fn set_paused(&mut self, io: &Io, slot: usize, paused: bool) {
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.paused = paused;
        }
        self.settle(io, slot);
    }

    /// Brings a registration in line with what the connection waits for.
    fn settle(&mut self, io: &Io, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let write = connection.connecting || connection.socket.pending() > 0;
        let interest = Interest::of(!connection.paused, write);
        if interest != connection.interest {
            connection.interest = interest;
            let token = Token::Backend(slot, connection.generation).pack();
            let _ = io.poller.change(&connection.socket, token, interest);
        }
    }
}
