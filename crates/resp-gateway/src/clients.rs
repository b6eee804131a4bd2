//! The room of the clients: connections, their commands, and answers in the order of the commands. Who is let in and who
//! has to go is decided by `doorcourse_connection_limits`.

use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use crate::request::{self, ClientCommand, Request, RequestError};
use doorcourse::RequestId;
use doorcourse_connection_limits::{ConnectionActivity, ConnectionTimeouts, fault_backoff};
use doorcourse_deployment::Site;
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, is_out_of_descriptors};
use doorcourse_fail_points::rule_disabled;
use doorcourse_graceful_shutdown::GracefulShutdown;
use doorcourse_resp::{CommandLimits, Commands, Fault};
use slab::Slab;
use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpListener;

/// A value is 64 KiB at most; the other words are short.
const LIMITS: CommandLimits = CommandLimits { words: 8, word: 64 << 10, bytes: 66 << 10 };
/// Commands of one connection that run or wait at once: past them reading stops.
const PIPELINE: usize = 64;
/// Bytes of answers that one connection may leave unread before its next command is read.
const UNREAD: usize = 128 << 10;
/// Connections taken in one turn, so that a crowd at the door does not hold up those inside.
const ACCEPTS: usize = 64;
/// Connections that the system may hold at the door.
const QUEUE: usize = 1024;
/// Ages in ms. Bad clients are owed an error or a close within 3 s.
const AGES: ConnectionTimeouts =
    ConnectionTimeouts { silent_timeout: 2000.0, idle_timeout: 5000.0, unread_timeout: 2500.0 };
/// How long a connection whose last word is said stays, in ms: its client has to read that word, and a close over
/// bytes that were not read resets the connection and takes the word with it (RFC 9112 section 9.6 says the same of HTTP).
const LINGER: f64 = 250.0;
/// So many bytes are read over in that time; a client that sends more is not read on.
const READ_OVER: usize = 256 << 10;
/// How often ages are looked at, in ms.
const SWEEP: f64 = 100.0;

/// What a client is told.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Given {
    Value(Vec<u8>),
    /// Refused: when to come again, in ms, where clients may be told.
    Busy(Option<u64>),
    Failed(&'static str),
    Wrong(RequestError),
    Unreadable(Fault),
    Pong,
    /// Not ready to serve yet.
    Loading,
}

impl Given {
    fn encode(&self, out: &mut Vec<u8>) {
        let _ = match self {
            Self::Value(value) => {
                let _ = write!(out, "${}\r\n", value.len());
                out.extend_from_slice(value);
                write!(out, "\r\n")
            }
            Self::Busy(None) => write!(out, "-BUSY\r\n"),
            Self::Busy(Some(wait)) => write!(out, "-BUSY {wait}\r\n"),
            Self::Failed(why) => write!(out, "-ERR failed: {why}\r\n"),
            Self::Wrong(wrong) => write!(out, "-ERR {wrong}\r\n"),
            Self::Unreadable(fault) => write!(out, "-ERR {fault}\r\n"),
            Self::Pong => write!(out, "+PONG\r\n"),
            Self::Loading => write!(out, "-LOADING not ready yet\r\n"),
        };
    }
}

enum Slot {
    /// The answer is to come.
    Waits(Option<RequestId>),
    Ready(Given),
}

/// Where an answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    at: usize,
    serial: u32,
    number: u64,
}

/// What clients say.
pub(crate) enum Told {
    Ping(Place),
    Asked(Place, Box<Request>),
    /// The client of this request is gone.
    Gone(RequestId),
}

struct Conn {
    watched: RegisteredSocket,
    commands: Commands,
    slots: VecDeque<Slot>,
    /// The number of the first slot.
    first: u64,
    held: ConnectionActivity,
    faults: u32,
    /// Nothing is read before then.
    resume: f64,
    /// No command follows: the framing is lost, or the gateway has ended its side.
    lost: bool,
    /// Bytes read over since then.
    read_over: usize,
    dirty: bool,
}

impl Conn {
    fn push(&mut self, slot: Slot) -> Place {
        self.slots.push_back(slot);
        self.held.open_requests = self.slots.len();
        let number = self.first + self.slots.len() as u64 - 1;
        Place { at: self.watched.token.index, serial: self.watched.token.serial, number }
    }

    fn reads(&self, now: f64) -> bool {
        if self.held.lingering_close_until.is_some() {
            return self.read_over < READ_OVER;
        }
        let room = self.slots.len() < PIPELINE && self.watched.socket.pending() <= UNREAD;
        room && !self.lost && now >= self.resume
    }

    /// The last word is written: ends this side. What still comes is read over, so that nothing is left unread when the
    /// connection closes.
    fn linger(&mut self, now: f64) {
        self.watched.socket.end_writing();
        self.watched.socket.input = Vec::new();
        (self.lost, self.held.lingering_close_until) = (true, Some(now + LINGER));
    }

    /// Moves answers whose turn it is to the output. From here on they are there to be read, also while they are not
    /// written yet: nothing that looks at the connection before the turn's flush may take it for idle.
    fn settle(&mut self, now: f64) {
        while let Some(Slot::Ready(given)) = self.slots.front() {
            given.encode(self.watched.socket.output());
            self.slots.pop_front();
            self.first += 1;
            if !rule_disabled("track-written-responses") {
                self.held.last_response_at = Some(now);
            }
        }
        self.held.open_requests = self.slots.len();
        if self.watched.socket.pending() > 0 && !rule_disabled("track-written-responses") {
            self.held.unread_response_since.get_or_insert(now);
        }
    }
}

/// What a client's connection waits for at first.
fn interest() -> Interest {
    if rule_disabled("poll-peer-close") { Interest::READ } else { Interest::READ.with_end() }
}

const LISTENER: Token = Token { kind: TokenKind::Listener, serial: 0, index: 0 };

pub(crate) struct Clients {
    listener: Option<TcpListener>,
    /// Nobody is heard at the door while there is no descriptor for anybody.
    listening: bool,
    conns: Slab<Conn>,
    most: usize,
    dirty: Vec<usize>,
    swept: f64,
}

impl Clients {
    pub fn new(io: &mut Reactor, listener: TcpListener, most: usize) -> std::io::Result<Self> {
        io.poller.add(&listener, LISTENER.pack(), Interest::READ)?;
        let (conns, dirty, swept) = (Slab::new(), Vec::new(), io.now);
        Ok(Self { listener: Some(listener), listening: true, conns, most, dirty, swept })
    }

    /// Whether the poller is to tell of who waits at the door.
    fn listen(&mut self, io: &Reactor, listening: bool) {
        if let Some(listener) = self.listener.as_ref().filter(|_| self.listening != listening) {
            let _ = io.poller.change(listener, LISTENER.pack(), Interest::of(listening, false));
            self.listening = listening;
        }
    }

    /// Takes in who waits at the door. A connection that there is no room for is closed at once: left in the
    /// listener's queue it would wake the loop for ever.
    pub fn accept(&mut self, io: &mut Reactor, site: &Site, told: &mut Vec<Told>) {
        self.let_in(io, site, ACCEPTS, told);
    }

    /// Lets in so many at most; true where nobody is left at the door.
    fn let_in(&mut self, io: &mut Reactor, site: &Site, most: usize, told: &mut Vec<Told>) -> bool {
        for let_in in 0..most {
            let Some(listener) = &self.listener else { return true };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return true,
                // The system says so before it looks whether anybody waits at all: nobody goes for nobody, least of all who
                // has just come. Whoever still waits is told of again.
                Err(error) if is_out_of_descriptors(&error) && let_in > 0 => return true,
                Err(error) if is_out_of_descriptors(&error) => {
                    if !self.make_room(io, site, told) {
                        // Nobody can go: who waits stays in the system's queue, which would wake the loop for ever.
                        self.listen(io, false);
                        return true;
                    }
                    continue;
                }
                // The peer is gone again.
                Err(_) => continue,
            };
            let Ok(socket) = Socket::new(stream) else { continue };
            if self.conns.len() >= self.most && !self.make_room(io, site, told) {
                turn_away(socket);
                continue;
            }
            let token =
                Token { kind: TokenKind::Client, serial: io.next_serial(), index: self.conns.vacant_key() };
            let Ok(watched) = RegisteredSocket::new(io, socket, token, interest()) else { continue };
            let held = ConnectionActivity::new(io.now);
            let (commands, slots) = (Commands::new(LIMITS), VecDeque::new());
            let at = self.conns.insert(Conn {
                watched,
                commands,
                slots,
                first: 0,
                held,
                faults: 0,
                resume: f64::NEG_INFINITY,
                lost: false,
                read_over: 0,
                dirty: false,
            });
            // What a client sends right behind its connection is mostly there by now; so is the end of one that has
            // gone while it waited at the door.
            self.read(io, site, at, told);
            if self.conns.get(at).is_some_and(|conn| !conn.lost) {
                self.read(io, site, at, told);
            }
        }
        false
    }

    /// Closes the connection that matters least; false where all matter. One on which a request has just come matters:
    /// it is seen by the last look, and another has to go.
    fn make_room(&mut self, io: &mut Reactor, site: &Site, told: &mut Vec<Told>) -> bool {
        loop {
            let ranked = self.conns.iter().filter_map(|(at, conn)| Some((conn.held.eviction_rank()?, at)));
            let first = ranked.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((_, at)) = first else { return false };
            let part = |held: &ConnectionActivity| held.eviction_rank().is_some();
            // Its place is wanted now; one that goes here has long had its last answer.
            if self.end(io, site, at, part, told) {
                self.remove(at, told);
                return true;
            }
        }
    }

    /// Ends a connection, unless one last look finds a command on it: what was written to a connection that was open is
    /// taken. What comes later is read over and never begun: its client sees the end and asks elsewhere. False where
    /// the connection goes on.
    fn end(
        &mut self, io: &mut Reactor, site: &Site, at: usize, ends: impl Fn(&ConnectionActivity) -> bool,
        told: &mut Vec<Told>,
    ) -> bool {
        if !rule_disabled("last-read-before-close") {
            self.read(io, site, at, told);
        }
        let Some(conn) = self.conns.get_mut(at) else { return true };
        if !ends(&conn.held) {
            return false;
        }
        tracing::trace!(target: "doorcourse::requests", at, "connection ended");
        if conn.held.lingering_close_until.is_some() || conn.held.last_response_at.is_none() {
            self.remove(at, told);
        } else {
            conn.linger(io.now);
            self.rest(io, at);
        }
        true
    }

    pub fn ready(&mut self, io: &mut Reactor, site: &Site, token: Token, ready: Ready, told: &mut Vec<Told>) {
        let Some(conn) = self.conns.get_mut(token.index).filter(|c| c.watched.token == token) else { return };
        if ready.ended {
            // The page's word for it: a client that closes has gone, whatever it left unread.
            return self.remove(token.index, told);
        }
        if ready.write {
            mark(&mut self.dirty, conn);
        }
        if ready.read && conn.reads(io.now) {
            self.read(io, site, token.index, told);
        } else {
            self.rest(io, token.index);
        }
    }

    fn read(&mut self, io: &mut Reactor, site: &Site, at: usize, told: &mut Vec<Told>) {
        let Some(conn) = self.conns.get_mut(at) else { return };
        let (count, flow) = conn.watched.socket.read();
        if conn.held.lingering_close_until.is_some() {
            conn.read_over += count;
            conn.watched.socket.input = Vec::new();
        } else {
            self.take(io, site, at, told);
        }
        if flow != Flow::Open && self.conns.contains(at) {
            self.remove(at, told);
        }
    }

    /// Takes the commands that are whole.
    fn take(&mut self, io: &mut Reactor, site: &Site, at: usize, told: &mut Vec<Told>) {
        let Some(conn) = self.conns.get_mut(at) else { return };
        let input = std::mem::take(&mut conn.watched.socket.input);
        let mut used = 0;
        while used < input.len() && conn.reads(io.now) {
            let rest = &input[used..];
            match conn.commands.read(rest) {
                Ok(None) => break,
                Ok(Some((words, took))) => {
                    used += took;
                    conn.held.partial_request_since = None;
                    let said = request::parse(site, rest, &words);
                    if said.is_ok() {
                        conn.held.last_request_at = Some(io.now);
                    }
                    match said {
                        Ok(ClientCommand::Ping) => told.push(Told::Ping(conn.push(Slot::Waits(None)))),
                        Ok(ClientCommand::Request(ask)) => {
                            told.push(Told::Asked(conn.push(Slot::Waits(None)), ask));
                        }
                        Err(wrong) => {
                            conn.push(Slot::Ready(Given::Wrong(wrong)));
                            Self::fault(conn, io.now);
                        }
                    }
                }
                Err(fault) => {
                    // The line goes out behind the answers that are still to come, and nothing behind it.
                    conn.lost = true;
                    conn.push(Slot::Ready(Given::Unreadable(fault)));
                    used = input.len();
                }
            }
        }
        let conn = &mut self.conns[at];
        conn.watched.socket.input = input;
        conn.watched.socket.consume(used);
        if conn.watched.socket.input.is_empty() {
            conn.held.partial_request_since = None;
        } else {
            conn.held.partial_request_since.get_or_insert(io.now);
        }
        if used > 0 {
            conn.settle(io.now);
            mark(&mut self.dirty, conn);
        }
    }

    fn fault(conn: &mut Conn, now: f64) {
        conn.faults += 1;
        conn.resume = now + fault_backoff(conn.faults);
    }

    /// Whether the client of a command still waits for its answer.
    pub fn waits(&mut self, place: Place) -> bool {
        self.slot(place).is_some()
    }

    /// The command at a place is a request of this number from now on.
    pub fn begun(&mut self, place: Place, id: RequestId) {
        if let Some(slot) = self.slot(place) {
            *slot = Slot::Waits(Some(id));
        }
    }

    fn slot(&mut self, place: Place) -> Option<&mut Slot> {
        let conn = self.conns.get_mut(place.at).filter(|c| c.watched.token.serial == place.serial)?;
        conn.slots.get_mut(usize::try_from(place.number.checked_sub(conn.first)?).ok()?)
    }

    /// Gives the answer to the command at a place; one whose client is gone is dropped.
    pub fn answer(&mut self, now: f64, place: Place, given: Given) {
        let wrong = matches!(given, Given::Wrong(_));
        let Some(slot) = self.slot(place) else { return };
        *slot = Slot::Ready(given);
        let conn = &mut self.conns[place.at];
        if wrong {
            Self::fault(conn, now);
        }
        conn.settle(now);
        mark(&mut self.dirty, conn);
    }

    fn remove(&mut self, at: usize, told: &mut Vec<Told>) {
        let Some(conn) = self.conns.try_remove(at) else { return };
        let gone = conn.slots.into_iter().filter_map(|slot| match slot {
            Slot::Waits(id) => id.map(Told::Gone),
            Slot::Ready(_) => None,
        });
        told.extend(gone);
    }

    /// Writes what the turn left to write; commands that waited for room to answer are taken then.
    /// Once the gateway leaves, a connection on which nothing is open then ends.
    pub fn flush(&mut self, io: &mut Reactor, site: &Site, leave: &GracefulShutdown, told: &mut Vec<Told>) {
        let now = io.now;
        // Commands that are taken here may be answered at once: it ends because each round takes some of the input.
        while let Some(at) = self.dirty.pop() {
            let Some(conn) = self.conns.get_mut(at).filter(|c| c.dirty) else { continue };
            conn.dirty = false;
            let before = conn.watched.socket.pending();
            if conn.watched.socket.flush() == Flow::Broken {
                self.remove(at, told);
                continue;
            }
            let pending = conn.watched.socket.pending();
            if pending == 0 {
                conn.held.unread_response_since = None;
            } else if pending < before || conn.held.unread_response_since.is_none() {
                conn.held.unread_response_since = Some(io.now);
            }
            if conn.lost && pending == 0 && conn.slots.is_empty() && conn.held.lingering_close_until.is_none()
            {
                conn.linger(now);
            }
            if !conn.watched.socket.input.is_empty() {
                self.take(io, site, at, told);
            }
            let parts = |held: &ConnectionActivity| leave.may_close(now, held);
            if self.conns.get(at).is_some_and(|conn| parts(&conn.held)) {
                self.end(io, site, at, parts, told);
            }
            self.rest(io, at);
        }
    }

    /// Registers for what is of use now.
    fn rest(&mut self, io: &Reactor, at: usize) {
        let Some(conn) = self.conns.get_mut(at) else { return };
        let (read, write) = (conn.reads(io.now), conn.watched.socket.pending() > 0);
        conn.watched.set_interest(io, read, write);
    }

    pub fn due(&self) -> f64 {
        if self.conns.is_empty() && self.listening { f64::INFINITY } else { self.swept + SWEEP }
    }

    /// Ages, and pauses that are over.
    pub fn tick(&mut self, io: &mut Reactor, site: &Site, told: &mut Vec<Told>) {
        if io.now < self.swept + SWEEP {
            return;
        }
        self.swept = io.now;
        self.listen(io, true);
        let (now, ages) = (io.now, AGES.for_occupancy(self.conns.len(), self.most));
        for at in 0..self.conns.capacity() {
            let Some(conn) = self.conns.get_mut(at) else { continue };
            let over = |held: &ConnectionActivity| held.is_expired(now, &ages);
            if over(&conn.held) {
                self.end(io, site, at, over, told);
            } else if conn.faults > 0 && conn.reads(io.now) {
                self.take(io, site, at, told);
                self.rest(io, at);
            }
        }
    }

    /// The last call: who waits at the door is let in, as far as the system's queue goes, and the door is closed. Each
    /// connection is looked at in the next flush, which ends those that owe nothing.
    pub fn last_call(&mut self, io: &mut Reactor, site: &Site, told: &mut Vec<Told>) {
        let rounds = if rule_disabled("drain-accept-queue") { 0 } else { QUEUE.div_ceil(ACCEPTS) };
        for _ in 0..rounds {
            if self.let_in(io, site, ACCEPTS, told) {
                break;
            }
        }
        self.listener = None;
        self.look_at_all();
    }

    /// Has the next flush look at every connection.
    pub fn look_at_all(&mut self) {
        for (_, conn) in &mut self.conns {
            mark(&mut self.dirty, conn);
        }
    }

    pub fn connections(&self) -> usize {
        self.conns.len()
    }
}

/// There is no place for this newcomer, and nobody can go: whatever it has asked already is refused, which is harmless to
/// repeat elsewhere, where a close over what it wrote would tell it nothing.
fn turn_away(mut socket: Socket) {
    socket.read();
    let (input, mut used, mut commands) = (std::mem::take(&mut socket.input), 0, Commands::new(LIMITS));
    while let Ok(Some((_, took))) = commands.read(&input[used..]) {
        used += took;
        Given::Busy(None).encode(socket.output());
    }
    // Within the system's room for a new connection: what is read at once makes a few answers.
    socket.flush();
    socket.end_writing();
}

fn mark(dirty: &mut Vec<usize>, conn: &mut Conn) {
    if !std::mem::replace(&mut conn.dirty, true) {
        dirty.push(conn.watched.token.index);
    }
}

#[cfg(test)]
mod tests;
