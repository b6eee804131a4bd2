//! A small pool of connections to the counter service, with calls pipelined on each. A counter (the total of one
//! customer in one window) has at most one call in flight, so its next call may use any connection; it uses the one
//! with the fewest calls in flight.

use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse::{CounterOutcome, Event, Millis};
use doorcourse_counter::{CounterCall, CounterLink, HttpCodec, LinkAction, LinkSettings};
use doorcourse_event_loop::{Flow, Interest, Ready, connect};
use slab::Slab;
use std::net::SocketAddr;

/// Connections to one address. With several, a late reply delays only the calls behind it on the same connection.
const CONNECTIONS_PER_ADDRESS: usize = 4;
/// How long connections to a former address stay open, in ms; the server closes them after 1.5 s.
const RETIREMENT_MS: Millis = 1000.0;
/// How long a connection may be idle before it is replaced, in ms; the server closes it after 10 s or less.
const IDLE_TIMEOUT_MS: Millis = 4000.0;
/// A connection with calls in flight and no reply for this many call timeouts is replaced.
const UNRESPONSIVE_TIMEOUTS: f64 = 10.0;
const INITIAL_BACKOFF_MS: Millis = 50.0;
/// Short, because customers stay on their fallback budgets until the gateway connects to a counter that is available
/// again.
const MAX_BACKOFF_MS: Millis = 300.0;

enum Connection {
    Closed,
    Connecting(RegisteredSocket),
    Open(RegisteredSocket),
}

impl Connection {
    fn registered(&mut self) -> Option<&mut RegisteredSocket> {
        match self {
            Self::Closed => None,
            Self::Connecting(registered) | Self::Open(registered) => Some(registered),
        }
    }

    /// Marks a connection that was being made as open.
    fn opened(&mut self) {
        if let Self::Connecting(registered) = std::mem::replace(self, Self::Closed) {
            *self = Self::Open(registered);
        }
    }
}

/// A link to the counter and its connection.
struct PooledLink {
    address: SocketAddr,
    link: CounterLink<HttpCodec>,
    connection: Connection,
    /// When the link ends because the counter has another address; `None` for a link to the current address.
    retires_at: Option<Millis>,
    /// When [`CounterPool::handle_timeout`] is due for this link; negative infinity for the next event-loop iteration.
    next_timeout: Millis,
    /// Whether the next flush handles this link.
    flush_scheduled: bool,
}

/// The connections to the counter.
#[derive(Default)]
pub(crate) struct CounterPool {
    links: Slab<PooledLink>,
    call_timeout: Millis,
}

impl CounterPool {
    pub(crate) fn new(address: Option<SocketAddr>, call_timeout: Millis) -> Self {
        let mut pool = Self { links: Slab::new(), call_timeout };
        if let Some(address) = address {
            pool.add_links(address);
        }
        pool
    }

    fn add_links(&mut self, address: SocketAddr) {
        let settings = LinkSettings {
            call_timeout: self.call_timeout,
            initial_backoff: INITIAL_BACKOFF_MS,
            max_backoff: MAX_BACKOFF_MS,
            unresponsive_timeout: self.call_timeout * UNRESPONSIVE_TIMEOUTS,
            idle_timeout: IDLE_TIMEOUT_MS,
        };
        for _ in 0..CONNECTIONS_PER_ADDRESS {
            self.links.insert(PooledLink {
                address,
                link: CounterLink::new(settings.clone(), HttpCodec::new(&address.to_string())),
                connection: Connection::Closed,
                retires_at: None,
                next_timeout: f64::NEG_INFINITY,
                flush_scheduled: false,
            });
        }
    }

    /// Applies the configuration. If the address changed, connections to the new one are used as soon as they are open;
    /// calls in flight on connections to the former address complete there until those retire. Links that exist already
    /// keep the call timeout with which they were added.
    pub(crate) fn configure(&mut self, now: Millis, address: Option<SocketAddr>, call_timeout: Millis) {
        self.call_timeout = call_timeout;
        let is_current = |pooled: &PooledLink| pooled.retires_at.is_none() && Some(pooled.address) == address;
        if self.links.iter().any(|(_, pooled)| is_current(pooled)) {
            return;
        }
        for (_, pooled) in &mut self.links {
            pooled.retires_at.get_or_insert(now + RETIREMENT_MS);
            pooled.next_timeout = pooled.next_timeout.min(now + RETIREMENT_MS);
        }
        if let Some(address) = address {
            self.add_links(address);
        }
    }

    /// Makes a call. If no connection is ready, it ends with [`CounterOutcome::NotAdded`].
    pub(crate) fn call(&mut self, reactor: &mut Reactor, call: CounterCall, events: &mut Vec<Event>) {
        let ready = self.links.iter().filter(|(_, pooled)| pooled.link.is_ready());
        let preferred =
            ready.min_by_key(|(_, pooled)| (pooled.retires_at.is_some(), pooled.link.in_flight()));
        let Some((index, _)) = preferred else {
            return events.push(Event::CounterCallEnded {
                counter: call.counter,
                outcome: CounterOutcome::NotAdded,
                latency: 0.0,
            });
        };
        let pooled = &mut self.links[index];
        let mut actions = Vec::new();
        pooled.link.call(reactor.now, call, &mut actions);
        pooled.flush_scheduled = true;
        pooled.next_timeout = pooled.next_timeout.min(reactor.now + self.call_timeout);
        self.execute_actions(reactor, index, actions, events);
    }

    /// When [`handle_timeout`](Self::handle_timeout) is due.
    pub(crate) fn next_timeout(&self) -> Millis {
        self.links.iter().map(|(_, pooled)| pooled.next_timeout).fold(f64::INFINITY, f64::min)
    }

    /// Times out calls, replaces connections and closes those to a former address.
    pub(crate) fn handle_timeout(&mut self, reactor: &mut Reactor, events: &mut Vec<Event>) {
        let now = reactor.now;
        for index in 0..self.links.capacity() {
            let Some(pooled) = self.links.get_mut(index).filter(|pooled| now >= pooled.next_timeout) else {
                continue;
            };
            let mut actions = Vec::new();
            if pooled.retires_at.is_some_and(|retires_at| now >= retires_at) {
                pooled.link.connection_lost(now, "the counter has another address", &mut actions);
                self.execute_actions(reactor, index, actions, events);
                self.links.remove(index);
                continue;
            }
            let link_timeout = pooled.link.handle_timeout(now, &mut actions);
            pooled.next_timeout = link_timeout.min(pooled.retires_at.unwrap_or(f64::INFINITY));
            self.execute_actions(reactor, index, actions, events);
        }
    }

    /// Handles the readiness of a connection.
    pub(crate) fn handle_readiness(
        &mut self, reactor: &mut Reactor, token: Token, ready: Ready, events: &mut Vec<Event>,
    ) {
        let Some(pooled) = self.links.get_mut(token.index) else { return };
        if pooled.connection.registered().is_none_or(|registered| registered.token != token) {
            return;
        }
        let mut actions = Vec::new();
        if let Err(reason) = pooled.receive(reactor, ready, &mut actions) {
            pooled.connection = Connection::Closed;
            pooled.link.connection_lost(reactor.now, &reason, &mut actions);
        }
        pooled.flush_scheduled |= ready.write;
        pooled.next_timeout = f64::NEG_INFINITY;
        self.execute_actions(reactor, token.index, actions, events);
    }

    fn execute_actions(
        &mut self, reactor: &mut Reactor, index: usize, actions: Vec<LinkAction>, events: &mut Vec<Event>,
    ) {
        for action in actions {
            match action {
                LinkAction::Connect => self.connect(reactor, index, events),
                LinkAction::Close => self.links[index].connection = Connection::Closed,
                LinkAction::LogAvailable => {
                    tracing::info!(target: "doorcourse::counter", "counter connection up");
                }
                LinkAction::LogUnavailable { reason } => {
                    tracing::info!(target: "doorcourse::counter", reason, "counter connection lost");
                }
                LinkAction::CallEnded { counter, outcome, latency } => {
                    events.push(Event::CounterCallEnded { counter, outcome: outcome.into(), latency });
                }
            }
        }
    }

    fn connect(&mut self, reactor: &mut Reactor, index: usize, events: &mut Vec<Event>) {
        let token = Token { kind: TokenKind::Counter, serial: reactor.next_serial(), index };
        let pooled = &mut self.links[index];
        let connected = connect(pooled.address)
            .and_then(|socket| RegisteredSocket::new(reactor, socket, token, Interest::BOTH));
        match connected {
            Ok(registered) => pooled.connection = Connection::Connecting(registered),
            Err(error) => self.connection_lost(reactor, index, &error.to_string(), events),
        }
    }

    fn connection_lost(
        &mut self, reactor: &mut Reactor, index: usize, reason: &str, events: &mut Vec<Event>,
    ) {
        let pooled = &mut self.links[index];
        pooled.connection = Connection::Closed;
        let mut actions = Vec::new();
        pooled.link.connection_lost(reactor.now, reason, &mut actions);
        pooled.next_timeout = f64::NEG_INFINITY;
        self.execute_actions(reactor, index, actions, events);
    }

    /// Writes the calls of this event-loop iteration, and what remains of earlier ones on writable connections.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, events: &mut Vec<Event>) {
        for index in 0..self.links.capacity() {
            let Some(pooled) = self.links.get_mut(index).filter(|pooled| pooled.flush_scheduled) else {
                continue;
            };
            pooled.flush_scheduled = false;
            if pooled.flush(reactor) == Flow::Broken {
                self.connection_lost(reactor, index, "broken while writing", events);
            }
        }
    }

    /// Returns how many connections are open or being made, for the log.
    pub(crate) fn connection_count(&self) -> usize {
        let connections = self.links.iter().map(|(_, pooled)| &pooled.connection);
        connections.filter(|connection| !matches!(connection, Connection::Closed)).count()
    }
}

impl PooledLink {
    /// Finishes the connect and reads. The error is the reason why the connection was lost.
    fn receive(
        &mut self, reactor: &Reactor, ready: Ready, actions: &mut Vec<LinkAction>,
    ) -> Result<(), String> {
        if let Connection::Connecting(registered) = &mut self.connection
            && (ready.write || ready.broken)
        {
            registered.socket.finish_connect().map_err(|error| error.to_string())?;
            registered.set_interest(reactor, true, false);
            self.connection.opened();
            self.link.connection_opened(reactor.now);
        }
        let Connection::Open(registered) = &mut self.connection else { return Ok(()) };
        if !ready.read && !ready.broken {
            return Ok(());
        }
        let (_, flow) = registered.socket.read();
        let input = std::mem::take(&mut registered.socket.input);
        if !input.is_empty() {
            self.link.handle_input(reactor.now, &input, actions);
        }
        if flow != Flow::Open && !actions.contains(&LinkAction::Close) {
            return Err("closed by the counter".into());
        }
        Ok(())
    }

    /// Writes the output of the link if the connection is open.
    fn flush(&mut self, reactor: &Reactor) -> Flow {
        let Connection::Open(registered) = &mut self.connection else { return Flow::Open };
        registered.socket.output().extend_from_slice(&self.link.take_output());
        let flow = registered.socket.flush();
        let pending = registered.socket.pending();
        self.link.set_unwritten_bytes(pending);
        registered.set_interest(reactor, true, pending > 0);
        flow
    }
}
