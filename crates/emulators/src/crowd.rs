//! Scripted clients on sockets: each shot is one request, sent when its time has come whatever became of the
//! others, and followed to its end.

use crate::record::Recorder;
use doorcourse_conformance::{Event, Kind};
use doorcourse_event_loop::{Clock, Flow, Interest, Poller, Socket, Timers, connect};
use doorcourse_http::{Decoder, Limits as HttpLimits, Part, Role, request};
use slab::Slab;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Shot {
    /// Its name, never used twice.
    pub id: String,
    /// When it was due, in ms on the crowd's clock.
    pub at: f64,
    /// To which gateway.
    pub gateway: usize,
    /// The body, JSON.
    pub body: String,
    /// The client's key.
    pub key: String,
    /// What a repeat is known by.
    pub idempotency: Option<String>,
    /// How long the client waits, in ms; told to the gateway.
    pub patience: f64,
    /// It leaves after this, in ms, answer or not.
    pub leave: Option<f64>,
    /// What is written to the record when it goes out.
    pub ask: Option<Event>,
}

/// How a shot ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With a final answer.
    Answer {
        /// How it read.
        kind: Kind,
        /// The status.
        status: u16,
        /// The error's code, or nothing.
        code: String,
        /// The advice, in ms.
        retry_after: Option<f64>,
    },
    /// The answer broke off.
    Cut,
    /// The connection ended before any answer or was never made.
    Lost,
    /// The client's time was up.
    GaveUp,
    /// The client left.
    Left,
}

/// What clients ask for, and when.
pub trait Source: Send {
    /// When the next shots are due; `None` when there will be none unless another one ends.
    fn due(&mut self) -> Option<f64>;
    /// The shots that are due now.
    fn take(&mut self, now: f64) -> Vec<Shot>;
    /// A shot ended; it may be followed by others.
    fn ended(&mut self, now: f64, shot: &Shot, end: &End);
}

struct Open {
    shot: Shot,
    until: f64,
    leaves: bool,
}

struct Connection {
    socket: Socket,
    generation: u64,
    gateway: usize,
    address: SocketAddr,
    decoder: Decoder,
    connecting: bool,
    open: Option<Open>,
    /// The request answered last, for what comes behind its answer.
    last: Option<String>,
    status: u16,
    retry_after: Option<f64>,
    body: Vec<u8>,
    keep_alive: bool,
    writing: bool,
}

/// The clients' event loop.
pub struct Crowd {
    clock: Clock,
    recorder: Option<Recorder>,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    poller: Poller,
    timers: Timers<(usize, u64)>,
    connections: Slab<Connection>,
    idle: Vec<Vec<usize>>,
    generation: u64,
    /// How long after its patience a client still reads an answer, to tell a late one from none; in ms.
    slack: f64,
}

/// How much of an answer is kept to tell its kind.
const KEPT: usize = 2048;

impl Crowd {
    /// A crowd of clients for gateways, whose addresses may change while it runs.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn new(
        clock: Clock, addresses: Arc<Mutex<Vec<SocketAddr>>>, recorder: Option<Recorder>, slack: f64,
    ) -> std::io::Result<Self> {
        let (timers, connections, idle) = (Timers::default(), Slab::new(), Vec::new());
        let poller = Poller::new()?;
        Ok(Self { clock, recorder, addresses, poller, timers, connections, idle, generation: 0, slack })
    }

    /// Plays a source to its end, until every shot has one.
    ///
    /// # Errors
    /// When waiting for readiness fails.
    pub fn run(&mut self, source: &mut dyn Source) -> std::io::Result<()> {
        let mut ready = Vec::new();
        loop {
            let now = self.clock.now();
            while source.due().is_some_and(|due| due <= now) {
                for shot in source.take(now) {
                    self.shoot(shot, source);
                }
            }
            while let Some((slot, generation)) = self.timers.pop_expired(self.clock.now()) {
                self.time(slot, generation, source);
            }
            let open = self.connections.iter().any(|(_, c)| c.open.is_some());
            let first = source.due();
            if first.is_none() && !open {
                return Ok(());
            }
            let first = first.into_iter().chain(self.timers.next_deadline()).reduce(f64::min);
            self.poller
                .wait(first.map(|t| self.clock.until(t)).or(Some(Duration::from_secs(1))), &mut ready)?;
            for event in ready.drain(..) {
                let slot = (event.token & 0xffff_ffff) as usize;
                if self.connections.get(slot).is_some_and(|c| c.generation & 0xffff_ffff == event.token >> 32)
                {
                    self.connection_ready(slot, event.write, event.broken, source);
                }
            }
        }
    }

    fn write(&self, event: Event) {
        if let Some(recorder) = &self.recorder {
            recorder.write(event);
        }
    }

    fn shoot(&mut self, mut shot: Shot, source: &mut dyn Source) {
        let now = self.clock.now();
        if let Some(ask) = shot.ask.take() {
            self.write(ask);
        }
        let addresses = self.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let address = addresses[shot.gateway];
        drop(addresses);
        if self.idle.len() <= shot.gateway {
            self.idle.resize_with(shot.gateway + 1, Vec::new);
        }
        let kept = loop {
            match self.idle[shot.gateway].pop() {
                Some(slot) if self.connections.get(slot).is_some_and(|c| c.address == address) => {
                    break Some(slot);
                }
                Some(slot) => drop(self.connections.try_remove(slot)),
                None => break None,
            }
        };
        let slot = match kept.map_or_else(|| self.open(shot.gateway, address), Ok) {
            Ok(slot) => slot,
            Err(_) => {
                self.write(Event::Lost { id: shot.id.clone() });
                return source.ended(now, &shot, &End::Lost);
            }
        };
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (bearer, patience) = (format!("Bearer {}", shot.key), format!("{:.3}", shot.patience));
        let mut fields = vec![
            ("host", "gateway"),
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
            ("accept", "application/graphql-response+json"),
            ("x-request-id", shot.id.as_str()),
            ("doorcourse-deadline-ms", patience.as_str()),
        ];
        if let Some(key) = &shot.idempotency {
            fields.push(("idempotency-key", key));
        }
        request(connection.socket.output(), "POST", "/graphql", &fields, shot.body.as_bytes());
        let leave = shot.leave.filter(|l| *l < shot.patience);
        let until = now + leave.unwrap_or(shot.patience + self.slack);
        self.timers.schedule(until, (slot, connection.generation));
        (connection.status, connection.retry_after) = (0, None);
        connection.body.clear();
        connection.open = Some(Open { shot, until, leaves: leave.is_some() });
        if !connection.connecting {
            self.flush(slot, source);
        }
    }

    fn open(&mut self, gateway: usize, address: SocketAddr) -> std::io::Result<usize> {
        let socket = connect(address)?;
        self.generation += 1;
        let generation = self.generation;
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let token = (generation & 0xffff_ffff) << 32 | slot as u64;
        self.poller.add(&socket, token, Interest::BOTH)?;
        let limits = HttpLimits { body: 1 << 40, ..HttpLimits::default() };
        entry.insert(Connection {
            socket,
            generation,
            gateway,
            address,
            decoder: Decoder::new(Role::Responses, limits),
            connecting: true,
            open: None,
            last: None,
            status: 0,
            retry_after: None,
            body: Vec::new(),
            keep_alive: false,
            writing: true,
        });
        Ok(slot)
    }

    fn time(&mut self, slot: usize, generation: u64, source: &mut dyn Source) {
        let now = self.clock.now();
        let due = |c: &&mut Connection| {
            c.generation == generation && c.open.as_ref().is_some_and(|o| o.until <= now)
        };
        let Some(connection) = self.connections.get_mut(slot).filter(due) else { return };
        let leaves = connection.open.as_ref().is_some_and(|o| o.leaves);
        self.end(slot, if leaves { End::Left } else { End::GaveUp }, source);
        drop(self.connections.try_remove(slot));
    }

    fn end(&mut self, slot: usize, end: End, source: &mut dyn Source) {
        let Some(open) = self.connections.get_mut(slot).and_then(|c| c.open.take()) else { return };
        let id = open.shot.id.clone();
        let event = match &end {
            End::Answer { kind, status, code, .. } => {
                Event::Answer { id: id.clone(), kind: *kind, status: *status, code: code.clone() }
            }
            End::Cut => Event::Cut { id: id.clone() },
            End::Lost => Event::Lost { id: id.clone() },
            End::GaveUp => Event::GaveUp { id: id.clone() },
            End::Left => Event::Left { id: id.clone() },
        };
        self.write(event);
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.last = Some(id);
        }
        source.ended(self.clock.now(), &open.shot, &end);
    }

    fn flush(&mut self, slot: usize, source: &mut dyn Source) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.socket.flush() == Flow::Broken {
            return self.broken(slot, source);
        }
        let writing = connection.socket.pending() > 0;
        if writing != connection.writing {
            connection.writing = writing;
            let token = (connection.generation & 0xffff_ffff) << 32 | slot as u64;
            let _ = self.poller.change(&connection.socket, token, Interest::of(true, writing));
        }
    }

    /// The connection is over: what was open on it got nothing, or a part.
    fn broken(&mut self, slot: usize, source: &mut dyn Source) {
        let Some(connection) = self.connections.get(slot) else { return };
        let end = if connection.status == 0 { End::Lost } else { End::Cut };
        let gateway = connection.gateway;
        self.end(slot, end, source);
        drop(self.connections.try_remove(slot));
        if let Some(idle) = self.idle.get_mut(gateway) {
            idle.retain(|s| *s != slot);
        }
    }

    fn connection_ready(&mut self, slot: usize, write: bool, broken: bool, source: &mut dyn Source) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.connecting {
            if !write && !broken {
                return;
            }
            if connection.socket.finish_connect().is_err() {
                return self.broken(slot, source);
            }
            connection.connecting = false;
            return self.flush(slot, source);
        }
        if write {
            self.flush(slot, source);
        }
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (_, flow) = connection.socket.read();
        self.read(slot, source);
        if flow != Flow::Open {
            let whole = self.connections.get_mut(slot).is_some_and(|c| {
                flow == Flow::Ended && c.decoder.closed(!c.socket.input.is_empty()).unwrap_or(false)
            });
            if whole {
                self.answered(slot, source);
            }
            self.broken(slot, source);
        }
    }

    fn read(&mut self, slot: usize, source: &mut dyn Source) {
        loop {
            let Some(connection) = self.connections.get_mut(slot) else { return };
            if connection.open.is_none() && !connection.socket.input.is_empty() {
                let extra = connection.last.clone().map(|id| Event::Extra { id });
                connection.socket.input.clear();
                if let Some(extra) = extra {
                    self.write(extra);
                }
                return;
            }
            let Ok((used, part)) = connection.decoder.decode(&connection.socket.input) else {
                return self.broken(slot, source);
            };
            match part {
                None => return connection.socket.consume(used),
                Some(Part::Head(head)) => {
                    connection.status = head.status;
                    connection.keep_alive = head.keep_alive;
                    let seconds = head.field("retry-after").and_then(|v| v.parse::<f64>().ok());
                    connection.retry_after = seconds.map(|s| s * 1000.0);
                    connection.socket.consume(used);
                }
                Some(Part::Data(data)) => {
                    let room = KEPT.saturating_sub(connection.body.len()).min(data.len());
                    connection.body.extend_from_slice(&data[..room]);
                    connection.socket.consume(used);
                }
                Some(Part::End) => {
                    connection.socket.consume(used);
                    self.answered(slot, source);
                }
            }
        }
    }

    fn answered(&mut self, slot: usize, source: &mut dyn Source) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (status, retry_after) = (connection.status, connection.retry_after);
        let (kind, code) = kind(status, &connection.body);
        let (keep, gateway) = (connection.keep_alive, connection.gateway);
        self.end(slot, End::Answer { kind, status, code, retry_after }, source);
        if keep {
            self.idle[gateway].push(slot);
        }
    }
}

/// How an answer reads to a client: by its status, its data and its error's code.
fn kind(status: u16, body: &[u8]) -> (Kind, String) {
    if status == 200 && body.starts_with(b"{\"data\":{") {
        return (Kind::Served, String::new());
    }
    let json: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let code = json["errors"][0]["extensions"]["code"].as_str().unwrap_or("").to_owned();
    let refused = ["QUOTA_EXCEEDED", "BUSY", "COST_EXCEEDS_PLAN", "GATEWAY_FULL"];
    if refused.contains(&code.as_str()) { (Kind::Refused, code) } else { (Kind::Failed, code) }
}
