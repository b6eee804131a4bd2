//! The room of discovery: the watch of the list of backends. What it hears is passed on as lists; whatever cannot be
//! followed (a line that cannot be read, a version that steps back) is answered by asking for the whole list.

use crate::endpoints::EndpointList;
use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse_discovery::{DiscoveryWatch, WatchAction};
use doorcourse_event_loop::{Flow, Interest, Ready, connect};
use doorcourse_fail_points::rule_disabled;
use doorcourse_http::{Decoder, Limits, Part, Role};
use std::io::Write;
use std::net::SocketAddr;

/// The longest line in bytes: thousands of backends.
const LINE: usize = 1 << 20;

enum State {
    Closed,
    Connecting { link: RegisteredSocket },
    Open { link: RegisteredSocket, decoder: Decoder },
}

pub(crate) struct Discovery {
    address: SocketAddr,
    state: State,
    /// A call that was not answered at once, and may be yet.
    aside: Option<(RegisteredSocket, Decoder)>,
    follow: DiscoveryWatch,
    /// A line of the watch, or a whole list, as far as it has come.
    line: Vec<u8>,
    watching: bool,
}

impl Discovery {
    pub fn new(address: SocketAddr, seq: Option<u64>, grace: f64) -> Self {
        let (state, follow) = (State::Closed, DiscoveryWatch::new(seq, grace));
        Self { address, state, aside: None, follow, line: Vec::new(), watching: false }
    }

    /// How long sends to a backend that drains may go on.
    pub fn set_grace(&mut self, grace: f64) {
        self.follow.set_drain_grace(grace);
    }

    /// Another address takes over at once.
    pub fn move_to(&mut self, address: SocketAddr) {
        (self.address, self.state, self.aside) = (address, State::Closed, None);
        self.follow.address_changed();
    }

    pub fn due(&self) -> f64 {
        self.follow.next_timeout()
    }

    pub fn tick(&mut self, io: &mut Reactor) {
        while let Some(due) = self.follow.handle_timeout(io.now) {
            match due {
                WatchAction::Connect => self.dial(io),
                WatchAction::Close(why) => self.lost(io, why),
                WatchAction::CloseSuperseded => self.aside = None,
                WatchAction::Supersede => {
                    if let State::Open { link, decoder } = std::mem::replace(&mut self.state, State::Closed) {
                        self.aside = Some((link, decoder));
                    }
                }
            }
        }
    }

    fn dial(&mut self, io: &mut Reactor) {
        let token = Token { kind: TokenKind::Discovery, serial: io.next_serial(), index: 0 };
        let interest = Interest::BOTH;
        match connect(self.address).and_then(|socket| RegisteredSocket::new(io, socket, token, interest)) {
            Ok(link) => self.state = State::Connecting { link },
            Err(error) => self.lost(io, &error.to_string()),
        }
    }

    fn lost(&mut self, io: &Reactor, why: &str) {
        if self.follow.connection_lost(io.now) {
            tracing::info!(target: "doorcourse::discovery", "discovery lost: {why}");
        }
        self.state = State::Closed;
    }

    /// Begins a message on a fresh connection.
    fn ask(&mut self, io: &Reactor, mut link: RegisteredSocket) {
        let from = self.follow.request_sent(io.now);
        let _ = match from {
            Some(seq) => write!(link.socket.output(), "GET /catalog/members?watch=1&from={seq} HTTP/1.1\r\n"),
            None => write!(link.socket.output(), "GET /catalog/members HTTP/1.1\r\n"),
        };
        let _ = write!(link.socket.output(), "host: {}\r\n\r\n", self.address);
        self.watching = from.is_some();
        self.line.clear();
        // A watch has no end: only its lines are bounded.
        let limits = Limits { line: 512, head: 8 << 10, fields: 64, body: u64::MAX };
        let decoder = Decoder::new(Role::Responses, limits);
        if link.socket.flush() == Flow::Broken {
            return self.lost(io, "broken while asking");
        }
        let pending = link.socket.pending() > 0;
        link.set_interest(io, true, pending);
        self.state = State::Open { link, decoder };
    }

    /// Something is told of the call that was set aside: where it is the answer, it takes the place of the one that is out.
    fn aside(&mut self, io: &mut Reactor, ready: Ready) {
        let Some((mut link, decoder)) = self.aside.take() else { return };
        if ready.write {
            let _ = link.socket.flush();
            let pending = link.socket.pending() > 0;
            link.set_interest(io, true, pending);
        }
        if !ready.read {
            self.aside = Some((link, decoder));
            return;
        }
        let (_, flow) = link.socket.read();
        // Its head is looked at here and read where the call is the one that is out: half a head shows nothing.
        match decoder.clone().decode(&link.socket.input) {
            Ok((_, Some(Part::Head(_)))) => {
                self.watching = self.follow.superseded_response_started();
                self.line.clear();
                self.state = State::Open { link, decoder };
            }
            Ok(_) if flow == Flow::Open && rule_disabled("superseded-call-kept-apart") => {
                self.watching = self.follow.superseded_response_started();
                self.state = State::Open { link, decoder };
            }
            Ok(_) if flow == Flow::Open => self.aside = Some((link, decoder)),
            _ => self.follow.superseded_lost(),
        }
    }

    pub fn ready(&mut self, io: &mut Reactor, token: Token, ready: Ready, told: &mut Vec<EndpointList>) {
        if self.aside.as_ref().is_some_and(|(link, _)| link.token == token) {
            self.aside(io, ready);
        }
        let state = std::mem::replace(&mut self.state, State::Closed);
        match state {
            State::Connecting { link } if link.token == token => match link.socket.finish_connect() {
                Ok(()) => self.ask(io, link),
                Err(error) => self.lost(io, &error.to_string()),
            },
            State::Open { mut link, mut decoder } if link.token == token => {
                if ready.write {
                    let _ = link.socket.flush();
                    let pending = link.socket.pending() > 0;
                    link.set_interest(io, true, pending);
                }
                let (_, flow) = link.socket.read();
                let input = std::mem::take(&mut link.socket.input);
                let (mut used, mut fault, mut ended) = (0, None, false);
                while fault.is_none() && !ended {
                    match decoder.decode(&input[used..]) {
                        Err(error) => fault = Some(error.to_string()),
                        Ok((took, part)) => {
                            used += took;
                            match part {
                                None => break,
                                Some(Part::Head(head)) if head.status != 200 => {
                                    fault = Some(format!("status {}", head.status));
                                }
                                Some(Part::Head(_)) => {
                                    self.follow.response_started();
                                    self.aside = None;
                                }
                                Some(Part::Data(bytes)) => {
                                    let lines = bytes.contains(&b'\n');
                                    self.line.extend_from_slice(bytes);
                                    // Each list ends with a line: what is midway in one is not read again and again.
                                    if self.watching && lines {
                                        let before = told.len();
                                        fault = self.lists(told);
                                        // Lines of a list that is not whole show nothing: they may drip for ever.
                                        if told.len() > before || self.line.is_empty() {
                                            self.follow.message_received(io.now);
                                        }
                                    }
                                    if self.line.len() > LINE {
                                        fault = Some("a line that does not end".into());
                                    }
                                }
                                Some(Part::End) => ended = true,
                            }
                        }
                    }
                }
                let rest = used < input.len();
                link.socket.input = input;
                link.socket.consume(used);
                // A list without a length ends with its connection, if that ends in order.
                ended |= flow == Flow::Ended && fault.is_none() && decoder.closed(rest).unwrap_or(false);
                if fault.is_none() && ended && !self.watching {
                    let whole = std::mem::take(&mut self.line);
                    fault = EndpointList::read(&whole)
                        .map_err(|e| e.to_string())
                        .and_then(|list| self.take(list, told))
                        .err();
                    if fault.is_none() && flow == Flow::Open {
                        // The list is in: the watch goes on from it, on the same connection.
                        return self.ask(io, link);
                    }
                }
                if let Some(why) = fault {
                    self.follow.reset_version();
                    self.lost(io, &why);
                } else if ended || flow != Flow::Open {
                    self.lost(io, "the watch ended");
                } else {
                    self.state = State::Open { link, decoder };
                }
            }
            other => self.state = other,
        }
    }

    /// Takes the lists that are whole; a fault where one cannot be followed.
    fn lists(&mut self, told: &mut Vec<EndpointList>) -> Option<String> {
        let held = std::mem::take(&mut self.line);
        let (mut from, mut fault) = (0, None);
        while fault.is_none() {
            from += held[from..].iter().take_while(|b| b.is_ascii_whitespace()).count();
            match EndpointList::read_first(&held[from..]) {
                Ok(None) => break,
                Ok(Some((list, took))) => {
                    from += took;
                    fault = self.take(list, told).err();
                }
                Err(why) => fault = Some(why.to_string()),
            }
        }
        self.line = held[from..].to_vec();
        fault
    }

    fn take(&mut self, list: EndpointList, told: &mut Vec<EndpointList>) -> Result<(), String> {
        if self.follow.apply_version(list.version, list.complete)? {
            tracing::info!(target: "doorcourse::discovery", version = list.version, "discovery up");
        }
        told.push(list);
        Ok(())
    }
}
