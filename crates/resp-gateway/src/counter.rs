//! The room of the counter: a few connections, calls one behind another on each. A name has one call out at a time, so
//! whichever connection has the fewest takes the next.

use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse::{CounterOutcome, Event};
use doorcourse_counter::{CounterCall, CounterLink, HttpCodec, LinkAction, LinkSettings};
use doorcourse_event_loop::{Flow, Interest, Ready, connect};
use slab::Slab;
use std::net::SocketAddr;

/// Connections at one address: one late answer holds up the few calls behind it, not all.
const LINKS: usize = 4;
/// Connections at an address that was given up end by then, in ms; the counter ends them after 1.5 s.
const RETIRE: f64 = 1000.0;
/// A connection without a call is replaced after this long, in ms; the counter closes it after 10 s or less.
const IDLE: f64 = 4000.0;
/// With calls out and nothing answered for this many time-outs, a connection is replaced.
const DEAD: f64 = 10.0;
const FIRST_WAIT: f64 = 50.0;
/// Short: what the counter's return costs is a silence that lasts on.
const LONGEST_WAIT: f64 = 300.0;

struct Side {
    address: SocketAddr,
    link: CounterLink<HttpCodec>,
    socket: Option<RegisteredSocket>,
    connected: bool,
    /// Ends by then: its address was given up.
    until: Option<f64>,
    due: f64,
    dirty: bool,
}

#[derive(Default)]
pub(crate) struct Counter {
    sides: Slab<Side>,
    timeout: f64,
}

impl Counter {
    pub fn new(address: Option<SocketAddr>, timeout: f64) -> Self {
        let mut new = Self { sides: Slab::new(), timeout };
        if let Some(address) = address {
            new.open(address);
        }
        new
    }

    fn open(&mut self, address: SocketAddr) {
        let settings = LinkSettings {
            call_timeout: self.timeout,
            initial_backoff: FIRST_WAIT,
            max_backoff: LONGEST_WAIT,
            unresponsive_timeout: self.timeout * DEAD,
            idle_timeout: IDLE,
        };
        for _ in 0..LINKS {
            let link = CounterLink::new(settings.clone(), HttpCodec::new(&address.to_string()));
            let (socket, connected, until, due, dirty) = (None, false, None, f64::NEG_INFINITY, false);
            self.sides.insert(Side { address, link, socket, connected, until, due, dirty });
        }
    }

    /// Another address takes over as soon as it can be reached; calls out on the old one end there.
    pub fn move_to(&mut self, io: &Reactor, address: Option<SocketAddr>, timeout: f64) {
        self.timeout = timeout;
        let same = |side: &Side| side.until.is_none() && Some(side.address) == address;
        if self.sides.iter().any(|(_, side)| same(side)) {
            return;
        }
        for (_, side) in &mut self.sides {
            side.until.get_or_insert(io.now + RETIRE);
            side.due = side.due.min(io.now + RETIRE);
        }
        if let Some(address) = address {
            self.open(address);
        }
    }

    pub fn call(&mut self, io: &mut Reactor, call: CounterCall, events: &mut Vec<Event>) {
        let order = |side: &Side| (side.until.is_some(), side.link.in_flight());
        let ready = self.sides.iter().filter(|(_, side)| side.link.is_ready());
        let Some((at, _)) = ready.min_by_key(|(_, side)| order(side)) else {
            let (name, outcome) = (call.counter, CounterOutcome::NotAdded);
            return events.push(Event::CounterCallEnded { counter: name, outcome, latency: 0.0 });
        };
        let (side, mut actions) = (&mut self.sides[at], Vec::new());
        side.link.call(io.now, call, &mut actions);
        side.dirty = true;
        side.due = side.due.min(io.now + self.timeout);
        self.carry_out(io, at, actions, events);
    }

    pub fn due(&self) -> f64 {
        self.sides.iter().map(|(_, side)| side.due).fold(f64::INFINITY, f64::min)
    }

    pub fn tick(&mut self, io: &mut Reactor, events: &mut Vec<Event>) {
        for at in 0..self.sides.capacity() {
            let Some(side) = self.sides.get_mut(at).filter(|side| io.now >= side.due) else { continue };
            let mut actions = Vec::new();
            if side.until.is_some_and(|until| io.now >= until) {
                side.link.connection_lost(io.now, "its address was given up", &mut actions);
                self.carry_out(io, at, actions, events);
                self.sides.remove(at);
                continue;
            }
            side.due =
                side.link.handle_timeout(io.now, &mut actions).min(side.until.unwrap_or(f64::INFINITY));
            self.carry_out(io, at, actions, events);
        }
    }

    pub fn ready(&mut self, io: &mut Reactor, token: Token, ready: Ready, events: &mut Vec<Event>) {
        let Some(side) = self.sides.get_mut(token.index) else { return };
        let Some(socket) = side.socket.as_mut().filter(|s| s.token == token) else { return };
        let (mut actions, mut lost) = (Vec::new(), None);
        if !side.connected && (ready.write || ready.broken) {
            match socket.socket.finish_connect() {
                Ok(()) => {
                    side.connected = true;
                    side.link.connection_opened(io.now);
                    socket.set_interest(io, true, false);
                }
                Err(error) => lost = Some(error.to_string()),
            }
        }
        if lost.is_none() && side.connected && (ready.read || ready.broken) {
            let (_, flow) = socket.socket.read();
            let input = std::mem::take(&mut socket.socket.input);
            if !input.is_empty() {
                side.link.handle_input(io.now, &input, &mut actions);
            }
            if flow != Flow::Open && !actions.contains(&LinkAction::Close) {
                lost = Some("closed by the counter".into());
            }
        }
        side.dirty |= ready.write;
        if let Some(why) = lost {
            side.socket = None;
            side.link.connection_lost(io.now, &why, &mut actions);
        }
        side.due = f64::NEG_INFINITY;
        self.carry_out(io, token.index, actions, events);
    }

    fn carry_out(&mut self, io: &mut Reactor, at: usize, actions: Vec<LinkAction>, events: &mut Vec<Event>) {
        for action in actions {
            let side = &mut self.sides[at];
            match action {
                LinkAction::Connect => self.dial(io, at, events),
                LinkAction::Close => (side.socket, side.connected) = (None, false),
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

    fn dial(&mut self, io: &mut Reactor, at: usize, events: &mut Vec<Event>) {
        let token = Token { kind: TokenKind::Counter, serial: io.next_serial(), index: at };
        let interest = Interest::BOTH;
        let side = &mut self.sides[at];
        side.connected = false;
        match connect(side.address).and_then(|socket| RegisteredSocket::new(io, socket, token, interest)) {
            Ok(made) => side.socket = Some(made),
            Err(error) => {
                let mut actions = Vec::new();
                side.link.connection_lost(io.now, &error.to_string(), &mut actions);
                side.due = f64::NEG_INFINITY;
                self.carry_out(io, at, actions, events);
            }
        }
    }

    /// Writes what the turn left to write.
    pub fn flush(&mut self, io: &mut Reactor, events: &mut Vec<Event>) {
        for at in 0..self.sides.capacity() {
            let Some(side) = self.sides.get_mut(at).filter(|side| side.dirty) else { continue };
            side.dirty = false;
            let Some(made) = side.socket.as_mut().filter(|_| side.connected) else { continue };
            let output = side.link.take_output();
            made.socket.output().extend_from_slice(&output);
            let flow = made.socket.flush();
            let pending = made.socket.pending();
            side.link.set_unwritten_bytes(pending);
            made.set_interest(io, true, pending > 0);
            if flow == Flow::Broken {
                side.socket = None;
                let mut actions = Vec::new();
                side.link.connection_lost(io.now, "broken while writing", &mut actions);
                side.due = f64::NEG_INFINITY;
                self.carry_out(io, at, actions, events);
            }
        }
    }

    /// For the record: how many connections there are.
    pub fn connections(&self) -> usize {
        self.sides.iter().filter(|(_, side)| side.socket.is_some()).count()
    }
}
