//! The room of discovery: the watch of the list of backends. What it hears is passed on as lists; whatever cannot be
//! followed (a line that cannot be read, a version that steps back) is answered by asking for the whole list.

use crate::io::{Io, Kind, Token, Watched};
use crate::members::Members;
use doorcourse_http::{Decoder, Limits, Part, Role};
use doorcourse_net::{Flow, Interest, Ready, connect};
use std::io::Write;
use std::net::SocketAddr;

/// A watch without a line for this long in ms is dead: an empty one comes every 2 s.
const SILENT: f64 = 3500.0;
/// A connection that is not up by then is given up.
const DIAL: f64 = 1000.0;
/// The waits before connecting again; doubled with each failure.
const FIRST_WAIT: f64 = 50.0;
const LONGEST_WAIT: f64 = 1000.0;
/// The longest line in bytes: thousands of backends.
const LINE: usize = 1 << 20;

enum State {
    Waiting { until: f64 },
    Connecting { until: f64, link: Watched },
    Open { until: f64, link: Watched, decoder: Decoder },
}

pub(crate) struct Discovery {
    address: SocketAddr,
    state: State,
    wait: f64,
    /// The version in hand; none asks for the whole list first.
    seq: Option<u64>,
    /// A line of the watch, or a whole list, as far as it has come.
    line: Vec<u8>,
    watching: bool,
    up: bool,
}

impl Discovery {
    pub fn new(address: SocketAddr, seq: Option<u64>) -> Self {
        let (state, line) = (State::Waiting { until: f64::NEG_INFINITY }, Vec::new());
        Self { address, state, wait: FIRST_WAIT, seq, line, watching: false, up: false }
    }

    /// Another address takes over at once.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.wait = FIRST_WAIT;
        self.state = State::Waiting { until: f64::NEG_INFINITY };
    }

    pub fn due(&self) -> f64 {
        match self.state {
            State::Waiting { until } | State::Connecting { until, .. } | State::Open { until, .. } => until,
        }
    }

    pub fn tick(&mut self, io: &mut Io) {
        if io.now < self.due() {
            return;
        }
        match self.state {
            State::Waiting { .. } => self.dial(io),
            State::Connecting { .. } => self.lost(io, "no connection"),
            State::Open { .. } => self.lost(io, "no line in time"),
        }
    }

    fn dial(&mut self, io: &mut Io) {
        let token = Token { kind: Kind::Discovery, serial: io.serial(), at: 0 };
        let interest = Interest { read: true, write: true };
        match connect(self.address).and_then(|socket| Watched::new(io, socket, token, interest)) {
            Ok(link) => self.state = State::Connecting { until: io.now + DIAL, link },
            Err(error) => self.lost(io, &error.to_string()),
        }
    }

    fn lost(&mut self, io: &Io, why: &str) {
        if std::mem::take(&mut self.up) || self.wait == FIRST_WAIT {
            tracing::info!(target: "doorcourse::discovery", "discovery lost: {why}");
        }
        self.state = State::Waiting { until: io.now + self.wait };
        self.wait = (self.wait * 2.0).min(LONGEST_WAIT);
    }

    /// Begins a message on a fresh connection.
    fn ask(&mut self, io: &Io, mut link: Watched) {
        let _ = match self.seq {
            Some(seq) => write!(link.socket.output(), "GET /catalog/members?watch=1&from={seq} HTTP/1.1\r\n"),
            None => write!(link.socket.output(), "GET /catalog/members HTTP/1.1\r\n"),
        };
        let _ = write!(link.socket.output(), "host: {}\r\n\r\n", self.address);
        self.watching = self.seq.is_some();
        self.line.clear();
        // A watch has no end: only its lines are bounded.
        let limits = Limits { line: 512, head: 8 << 10, fields: 64, body: u64::MAX };
        let decoder = Decoder::new(Role::Responses, limits);
        if link.socket.flush() == Flow::Broken {
            return self.lost(io, "broken while asking");
        }
        let pending = link.socket.pending() > 0;
        link.want(io, true, pending);
        self.state = State::Open { until: io.now + SILENT, link, decoder };
    }

    pub fn ready(&mut self, io: &mut Io, token: Token, ready: Ready, told: &mut Vec<Members>) {
        let state = std::mem::replace(&mut self.state, State::Waiting { until: io.now });
        match state {
            State::Connecting { link, .. } if link.token == token => match link.socket.finish_connect() {
                Ok(()) => self.ask(io, link),
                Err(error) => self.lost(io, &error.to_string()),
            },
            State::Open { mut link, mut decoder, mut until } if link.token == token => {
                if ready.write {
                    let _ = link.socket.flush();
                    let pending = link.socket.pending() > 0;
                    link.want(io, true, pending);
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
                                Some(Part::Head(_)) => until = io.now + SILENT,
                                Some(Part::Data(bytes)) => {
                                    let lines = bytes.contains(&b'\n');
                                    self.line.extend_from_slice(bytes);
                                    if self.watching {
                                        fault = self.lines(told);
                                    }
                                    if lines {
                                        until = io.now + SILENT;
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
                link.socket.input = input;
                link.socket.consume(used);
                if fault.is_none() && ended && !self.watching {
                    let whole = std::mem::take(&mut self.line);
                    fault = self.list(&whole, told).err();
                    if fault.is_none() {
                        // The list is in: the watch goes on from it, on the same connection.
                        return self.ask(io, link);
                    }
                }
                if let Some(why) = fault {
                    self.seq = None;
                    self.lost(io, &why);
                } else if ended || flow != Flow::Open {
                    self.lost(io, "the watch ended");
                } else {
                    self.state = State::Open { until, link, decoder };
                }
            }
            other => self.state = other,
        }
    }

    /// Takes the whole lines; a fault where one cannot be followed.
    fn lines(&mut self, told: &mut Vec<Members>) -> Option<String> {
        let mut from = 0;
        let mut fault = None;
        let held = std::mem::take(&mut self.line);
        while let Some(end) = held[from..].iter().position(|b| *b == b'\n').filter(|_| fault.is_none()) {
            let line = held[from..from + end].trim_ascii();
            if !line.is_empty() {
                fault = self.list(line, told).err();
            }
            from += end + 1;
        }
        self.line = held[from..].to_vec();
        fault
    }

    fn list(&mut self, bytes: &[u8], told: &mut Vec<Members>) -> Result<(), String> {
        let list = Members::read(bytes)?;
        if !list.whole && self.seq.is_none_or(|seq| list.seq < seq) {
            return Err(format!("changes of version {} without the list before them", list.seq));
        }
        self.seq = Some(list.seq);
        self.wait = FIRST_WAIT;
        if !std::mem::replace(&mut self.up, true) {
            tracing::info!(target: "doorcourse::discovery", version = list.seq, "discovery up");
        }
        told.push(list);
        Ok(())
    }
}
