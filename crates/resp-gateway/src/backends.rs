//! The room of the backends: for each id its address and its connections, one request at a time on each, the one used
//! last taken first. Between the decision and the first byte lies the dial: what waits for a connection is taken back
//! when its backend must not have it any more.

use crate::endpoints::EndpointList;
use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use crate::request::ForwardedCommand;
use doorcourse::{BackendState, LoadReport, Name, RequestId};
use doorcourse_connection_limits::{ConnectionPool, idle_limit};
use doorcourse_event_loop::{Flow, Interest, Ready, connect};
use doorcourse_fail_points::rule_disabled;
use doorcourse_request_lifecycle::BackendReply;
use doorcourse_resp::{Answer, Answers};
use slab::Slab;
use std::collections::HashMap;
use std::sync::Arc;

/// How often ages are looked at, in ms.
const SWEEP: f64 = 200.0;
/// Probes have numbers of their own beside those of requests.
const PROBES: RequestId = 1 << 63;
const PROBE: &[u8] = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";

/// What happens to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Heard {
    /// It has a connection.
    Connected,
    /// Its last byte was written.
    Written,
    /// A whole answer.
    Answered { reply: BackendReply, value: Vec<u8>, units: Option<f64>, load: Option<LoadReport> },
    /// The answer cannot be read.
    Broken,
    /// The connection broke, or could not be made.
    Lost,
    /// Its backend must not have it.
    Withdrawn,
}

enum State {
    Dialing { since: f64 },
    Idle { since: f64 },
    Busy { request: RequestId, written: bool },
}

struct Conn {
    watched: RegisteredSocket,
    backend: Name,
    /// The incarnation of its backend that it was made for.
    incarnation: u64,
    state: State,
    answers: Answers,
    dirty: bool,
    /// How long it stood idle before the request at hand, which of its requests that is, and since when.
    rested: f64,
    uses: u32,
    began: f64,
}

struct Peer {
    address: std::net::SocketAddr,
    started: Option<f64>,
    ready: bool,
    listed: bool,
    pool: ConnectionPool,
}

/// What a connection is used for.
#[derive(Clone)]
enum What {
    Request(Arc<ForwardedCommand>),
    /// A probe for the load.
    Probe,
}

struct Attempt {
    backend: Name,
    what: What,
    /// When the answer must be there.
    until: f64,
    conn: Option<usize>,
}

/// One backend as its sockets show it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Seen {
    pub busy: usize,
    pub idle: usize,
    pub waiting: usize,
    pub dialing: usize,
}

#[derive(Default)]
pub(crate) struct Backends {
    peers: HashMap<Name, Peer>,
    conns: Slab<Conn>,
    attempts: HashMap<RequestId, Attempt>,
    most: usize,
    dial_timeout: f64,
    keepalive: f64,
    dirty: Vec<usize>,
    swept: f64,
    /// Connections made so far, for the record.
    pub dialed: u64,
    probes: u64,
    /// Starts and addresses of backends heard of so far.
    incarnations: u64,
}

impl Backends {
    pub fn new(most: usize, dial_timeout: f64, keepalive: f64) -> Self {
        Self { most, dial_timeout, keepalive, ..Self::default() }
    }

    pub fn configure(&mut self, dial_timeout: f64, keepalive: f64) {
        (self.dial_timeout, self.keepalive) = (dial_timeout, keepalive);
    }

    /// A list came; the decisions have heard it already.
    pub fn list(&mut self, list: &EndpointList, said: &mut Vec<(RequestId, Heard)>) {
        if list.complete {
            self.peers.values_mut().for_each(|p| p.listed = false);
        }
        for member in &list.endpoints {
            let entry = &member.entry;
            let ready = entry.state == BackendState::Ready;
            let listed = entry.state != BackendState::Removed;
            match (self.peers.get_mut(&entry.name), member.address) {
                (Some(peer), dial) => {
                    let moved = dial.is_some_and(|d| d != peer.address) || peer.started != entry.started;
                    (peer.ready, peer.listed, peer.started) = (ready, listed, entry.started);
                    peer.address = dial.unwrap_or(peer.address);
                    if moved || !ready {
                        self.withdraw(&entry.name, said);
                    }
                    if moved {
                        self.begin_incarnation(&entry.name);
                    }
                }
                (None, Some(address)) if listed => {
                    let (started, pool) = (entry.started, ConnectionPool::default());
                    self.peers.insert(entry.name.clone(), Peer { address, started, ready, listed, pool });
                    self.begin_incarnation(&entry.name);
                }
                (None, _) => {}
            }
        }
        let gone = |(name, p): (&Name, &mut Peer)| {
            (!p.listed).then(|| {
                p.ready = false;
                name.clone()
            })
        };
        let gone: Vec<Name> = self.peers.iter_mut().filter_map(gone).collect();
        for name in gone {
            self.withdraw(&name, said);
            self.tidy(&name);
        }
    }

    /// Nothing that waits goes there, and what is idle is of another life of it.
    fn withdraw(&mut self, name: &Name, said: &mut Vec<(RequestId, Heard)>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let (waiting, idle) = peer.pool.withdraw_all();
        said.extend(waiting.into_iter().map(|id| (id, Heard::Withdrawn)));
        for at in idle {
            self.close(at);
        }
        // Requests whose first byte is not written yet: the turn's flush is still to come.
        for (_, conn) in self.conns.iter().filter(|(_, c)| c.backend == *name) {
            if let State::Busy { request, written: false } = conn.state {
                said.push((request, Heard::Withdrawn));
            }
        }
    }

    /// It is another start, or has another address: connections that are coming up to the one before are closed, and what
    /// is under way on others ends there.
    fn begin_incarnation(&mut self, name: &Name) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if rule_disabled("pool-per-incarnation") {
            return;
        }
        self.incarnations += 1;
        peer.pool = ConnectionPool::new(self.incarnations);
        self.conns.retain(|_, c| c.backend != *name || !matches!(c.state, State::Dialing { .. }));
    }

    /// The pool that a connection belongs to, where its backend is still the one that it was made for.
    fn pool_of(&mut self, backend: &Name, incarnation: u64) -> Option<&mut ConnectionPool> {
        self.peers
            .get_mut(backend)
            .map(|peer| &mut peer.pool)
            .filter(|pool| pool.incarnation() == incarnation)
    }

    fn tidy(&mut self, name: &Name) {
        if self.peers.get(name).is_some_and(|p| !p.listed && p.pool.is_empty()) {
            self.peers.remove(name);
        }
    }

    /// An attempt begins.
    pub fn send(
        &mut self, io: &mut Reactor, request: RequestId, backend: &Name, passed: Arc<ForwardedCommand>,
        until: f64, said: &mut Vec<(RequestId, Heard)>,
    ) {
        self.begin(io, request, backend, What::Request(passed), until, said);
    }

    /// A probe begins; it ends as an attempt does, under the number that is answered.
    pub fn probe(
        &mut self, io: &mut Reactor, backend: &Name, said: &mut Vec<(RequestId, Heard)>,
    ) -> RequestId {
        self.probes += 1;
        let id = PROBES | self.probes;
        self.begin(io, id, backend, What::Probe, f64::INFINITY, said);
        id
    }

    /// Whether a number is that of a probe.
    pub fn is_probe(id: RequestId) -> bool {
        id & PROBES != 0
    }

    fn begin(
        &mut self, io: &mut Reactor, request: RequestId, backend: &Name, what: What, until: f64,
        said: &mut Vec<(RequestId, Heard)>,
    ) {
        let Some(peer) = self.peers.get_mut(backend).filter(|p| p.ready) else {
            return said.push((request, Heard::Withdrawn));
        };
        let attempt = Attempt { backend: backend.clone(), what, until, conn: None };
        self.attempts.insert(request, attempt);
        let keep = idle_limit(self.keepalive);
        let mut old = Vec::new();
        loop {
            let taken = peer.pool.take_idle(io.now, keep, &mut old);
            old.drain(..).for_each(|at| drop(self.conns.remove(at)));
            let Some(at) = taken else { break };
            // Anything unasked for, or an end, shows here: bytes left behind an answer must not become the next.
            if self.conns[at].watched.socket.read() == (0, Flow::Open) {
                return self.write(io, at, request, said);
            }
            self.conns.remove(at);
            peer.pool.request_ended();
        }
        peer.pool.enqueue(request);
        self.dial(io, backend, said);
    }

    fn write(&mut self, io: &Reactor, at: usize, request: RequestId, said: &mut Vec<(RequestId, Heard)>) {
        let (Some(attempt), Some(conn)) = (self.attempts.get_mut(&request), self.conns.get_mut(at)) else {
            return;
        };
        attempt.conn = Some(at);
        conn.rested = if let State::Idle { since } = conn.state { io.now - since } else { 0.0 };
        (conn.uses, conn.began) = (conn.uses + 1, io.now);
        conn.state = State::Busy { request, written: false };
        match &attempt.what {
            What::Request(passed) => passed.encode(attempt.until - io.now, conn.watched.socket.output()),
            What::Probe => conn.watched.socket.output().extend_from_slice(PROBE),
        }
        said.push((request, Heard::Connected));
        if !std::mem::replace(&mut conn.dirty, true) {
            self.dirty.push(at);
        }
    }

    /// As many connections as attempts wait for, within the bounds.
    fn dial(&mut self, io: &mut Reactor, name: &Name, said: &mut Vec<(RequestId, Heard)>) {
        loop {
            if self.conns.len() >= self.most {
                self.retire_oldest();
            }
            let Some(peer) = self.peers.get_mut(name) else { return };
            if !peer.pool.needs_connection() {
                return;
            }
            let full = self.conns.len() >= self.most;
            let token =
                Token { kind: TokenKind::Backend, serial: io.next_serial(), index: self.conns.vacant_key() };
            let interest = Interest::BOTH;
            let made = if full {
                Err(None)
            } else {
                connect(peer.address)
                    .and_then(|s| RegisteredSocket::new(io, s, token, interest))
                    .map_err(|e| Some(e.kind()))
            };
            match made {
                Ok(watched) => {
                    let (backend, state, dirty) = (name.clone(), State::Dialing { since: io.now }, false);
                    let incarnation = peer.pool.incarnation();
                    peer.pool.connect_started();
                    self.dialed += 1;
                    self.conns.insert(Conn {
                        watched,
                        backend,
                        incarnation,
                        state,
                        answers: Answers::default(),
                        dirty,
                        rested: 0.0,
                        uses: 0,
                        began: 0.0,
                    });
                }
                Err(kind) => {
                    let Some(request) = peer.pool.pop_waiting() else { return };
                    self.attempts.remove(&request);
                    // What this machine is short of is no fault of the backend's.
                    let refused = kind == Some(std::io::ErrorKind::ConnectionRefused);
                    said.push((request, if refused { Heard::Lost } else { Heard::Withdrawn }));
                }
            }
        }
    }

    /// Closes the connection that has been idle longest, wherever it is.
    fn retire_oldest(&mut self) {
        let idle = self.peers.values().filter_map(|p| p.pool.longest_idle());
        if let Some((at, _)) = idle.min_by(|a, b| a.1.total_cmp(&b.1)) {
            self.close(at);
        }
    }

    /// Closes a connection and forgets it at its backend.
    fn close(&mut self, at: usize) {
        let Some(conn) = self.conns.try_remove(at) else { return };
        if let Some(pool) = self.pool_of(&conn.backend, conn.incarnation) {
            match conn.state {
                State::Dialing { .. } => pool.connect_ended(),
                State::Idle { .. } => pool.remove_idle(at),
                State::Busy { .. } => pool.request_ended(),
            }
        }
        self.tidy(&conn.backend);
    }

    /// Ends an attempt: it is not waited for any more.
    pub fn abandon(&mut self, request: RequestId) {
        let Some(attempt) = self.attempts.remove(&request) else { return };
        match attempt.conn {
            Some(at) => self.close(at),
            None => {
                if let Some(peer) = self.peers.get_mut(&attempt.backend) {
                    peer.pool.cancel_wait(request);
                }
            }
        }
    }

    /// The time for an attempt's connection is up, if it has none yet.
    pub fn dial_is_due(&mut self, request: RequestId) -> bool {
        self.attempts.get(&request).is_some_and(|a| a.conn.is_none())
    }

    pub fn ready(
        &mut self, io: &mut Reactor, token: Token, ready: Ready, said: &mut Vec<(RequestId, Heard)>,
    ) {
        let at = token.index;
        let Some(conn) = self.conns.get_mut(at).filter(|c| c.watched.token == token) else { return };
        match conn.state {
            State::Dialing { .. } => {
                if !ready.write && !ready.broken {
                    return;
                }
                match conn.watched.socket.finish_connect() {
                    Ok(()) => {
                        conn.watched.set_interest(io, true, false);
                        self.rest(io, at, said);
                    }
                    Err(_) => {
                        let name = conn.backend.clone();
                        self.close(at);
                        if let Some(request) = self.peers.get_mut(&name).and_then(|p| p.pool.pop_waiting()) {
                            self.attempts.remove(&request);
                            said.push((request, Heard::Lost));
                        }
                        self.dial(io, &name, said);
                    }
                }
            }
            // Nothing was asked for: an end, or what belongs to no request.
            State::Idle { since } => {
                tracing::trace!(target: "doorcourse::sockets", age = (io.now - since).round(), "closed while idle");
                self.close(at);
            }
            State::Busy { request, .. } => {
                if ready.write && !std::mem::replace(&mut conn.dirty, true) {
                    self.dirty.push(at);
                }
                if !ready.read && !ready.broken {
                    return;
                }
                let (_, flow) = conn.watched.socket.read();
                let found = match conn.answers.read(&conn.watched.socket.input) {
                    Ok(None) if flow == Flow::Open => return,
                    Ok(None) => Err(Heard::Lost),
                    Err(_) => Err(Heard::Broken),
                    Ok(Some((answer, took))) => {
                        let heard = heard(answer, &conn.watched.socket.input, Self::is_probe(request));
                        conn.watched.socket.consume(took);
                        heard.ok_or(Heard::Broken)
                    }
                };
                let good = flow == Flow::Open && conn.watched.socket.input.is_empty();
                self.attempts.remove(&request);
                if found.is_err() {
                    let (idle, uses, out) = (conn.rested, conn.uses, io.now - conn.began);
                    tracing::trace!(target: "doorcourse::sockets", idle, uses, out, ?found, "broken under a request");
                }
                match found {
                    Ok(heard) => {
                        let whole = matches!(conn.state, State::Busy { written: true, .. });
                        said.push((request, heard));
                        if good && whole { self.rest(io, at, said) } else { self.close(at) }
                    }
                    Err(heard) => {
                        self.close(at);
                        said.push((request, heard));
                    }
                }
            }
        }
    }

    /// A connection is free: for who waits, else it is kept.
    fn rest(&mut self, io: &Reactor, at: usize, said: &mut Vec<(RequestId, Heard)>) {
        let Some(conn) = self.conns.get_mut(at) else { return };
        let fits = |p: &&mut Peer| p.ready && p.pool.incarnation() == conn.incarnation;
        let Some(peer) = self.peers.get_mut(&conn.backend).filter(fits) else { return self.close(at) };
        match std::mem::replace(&mut conn.state, State::Idle { since: io.now }) {
            State::Dialing { .. } => peer.pool.connect_ended(),
            State::Busy { .. } => peer.pool.request_ended(),
            State::Idle { .. } => {}
        }
        if let Some(request) = peer.pool.release(io.now, at) {
            self.write(io, at, request, said);
        }
    }

    /// Writes what the turn left to write.
    pub fn flush(&mut self, io: &mut Reactor, said: &mut Vec<(RequestId, Heard)>) {
        for at in std::mem::take(&mut self.dirty) {
            let Some(conn) = self.conns.get_mut(at).filter(|c| c.dirty) else { continue };
            conn.dirty = false;
            let State::Busy { request, written: false } = conn.state else { continue };
            let flow = conn.watched.socket.flush();
            let pending = conn.watched.socket.pending() > 0;
            conn.watched.set_interest(io, true, pending);
            if flow == Flow::Broken {
                self.attempts.remove(&request);
                self.close(at);
                said.push((request, Heard::Lost));
            } else if !pending {
                conn.state = State::Busy { request, written: true };
                said.push((request, Heard::Written));
            }
        }
    }

    pub fn due(&self) -> f64 {
        if self.conns.is_empty() { f64::INFINITY } else { self.swept + SWEEP }
    }

    /// Connections that never came up, and those idle for too long.
    pub fn tick(&mut self, io: &mut Reactor) {
        if io.now < self.swept + SWEEP {
            return;
        }
        self.swept = io.now;
        let keep = idle_limit(self.keepalive);
        for at in 0..self.conns.capacity() {
            let Some(conn) = self.conns.get(at) else { continue };
            let over = match conn.state {
                State::Dialing { since } => io.now >= since + self.dial_timeout,
                State::Idle { since } => io.now >= since + keep,
                State::Busy { .. } => false,
            };
            if over {
                self.close(at);
            }
        }
    }

    /// One backend as its sockets show it.
    pub fn seen(&self, name: &Name) -> Seen {
        let Some(peer) = self.peers.get(name) else { return Seen::default() };
        let (waiting, dialing, busy, idle) = peer.pool.counts();
        Seen { busy, idle, waiting, dialing }
    }

    pub fn connections(&self) -> usize {
        self.conns.len()
    }
}

/// What an answer says; `None` for one that does not belong to what was asked.
fn heard(answer: Answer, input: &[u8], probe: bool) -> Option<Heard> {
    let load = |text: Option<String>| text.and_then(|t| doorcourse_deployment::report(&t, '=').ok());
    Some(match answer {
        Answer::Served { .. } if probe => return None,
        Answer::Served { value, used, report } => {
            let units = used.and_then(|u| u.parse().ok()).filter(|u: &f64| u.is_finite() && *u > 0.0);
            let (reply, value) = (BackendReply::Value, input[value].to_vec());
            Heard::Answered { reply, value, units, load: load(report) }
        }
        Answer::Failed { report } => Heard::Answered {
            reply: BackendReply::Failed,
            value: Vec::new(),
            units: None,
            load: load(report),
        },
        Answer::Busy { report } => Heard::Answered {
            reply: BackendReply::Rejected,
            value: Vec::new(),
            units: None,
            load: load(report),
        },
        Answer::Bulk(text) if probe => {
            let load = load(std::str::from_utf8(&input[text]).ok().map(str::to_owned));
            Heard::Answered { reply: BackendReply::Value, value: Vec::new(), units: None, load }
        }
        Answer::Pong | Answer::Bulk(_) => return None,
    })
}

#[cfg(test)]
mod tests;
