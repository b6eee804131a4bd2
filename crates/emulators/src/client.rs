//! Emulated clients on sockets. Each request is sent when it is due, whatever the state of the others, and followed
//! until its outcome is known.

use crate::recorder::Recorder;
use doorcourse_conformance::{Event, Kind};
use doorcourse_event_loop::{Clock, Flow, Interest, Poller, Socket, Timers, connect};
use doorcourse_http::{Decoder, Limits as HttpLimits, Part, Role, request};
use slab::Slab;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that a client is to send.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Unique identifier of the request.
    pub id: String,
    /// When the request is due, in ms on the emulator's clock.
    pub due_at: f64,
    /// Index of the gateway to which it is sent.
    pub gateway: usize,
    /// JSON body.
    pub body: String,
    /// API key of the client.
    pub key: String,
    /// Idempotency key, the same for all repeats of an operation.
    pub idempotency_key: Option<String>,
    /// How long the client waits for a response; sent to the gateway as the deadline.
    pub timeout_ms: f64,
    /// Time after which the client disconnects without waiting any longer, if shorter than the timeout.
    pub cancel_after_ms: Option<f64>,
    /// Event to record when the request is sent.
    pub sent_event: Option<Event>,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The final response was read.
    Response {
        /// Classification of the response.
        kind: Kind,
        /// HTTP status code.
        status: u16,
        /// Code of the first error, or empty.
        code: String,
        /// Value of the `retry-after` field, in ms.
        retry_after: Option<f64>,
    },
    /// The connection ended in the middle of the response.
    Truncated,
    /// The connection ended before the response or was never established.
    ConnectionLost,
    /// The client gave up after its timeout.
    TimedOut,
    /// The client disconnected early.
    Cancelled,
}

/// Supplies the requests that clients send.
pub trait RequestSource: Send {
    /// Returns when the next request is due; `None` if there is none unless a request in flight ends.
    fn next_due(&mut self) -> Option<f64>;
    /// Returns the requests that are due now.
    fn take_due(&mut self, now: f64) -> Vec<ScheduledRequest>;
    /// Handles the outcome of a request, which may cause further requests.
    fn request_ended(&mut self, now: f64, scheduled: &ScheduledRequest, outcome: &RequestOutcome);
}

struct InFlight {
    scheduled: ScheduledRequest,
    /// When the client stops to read: at its early disconnect, or when the late window after its timeout has passed.
    deadline: f64,
    /// Whether the client disconnects early at the deadline.
    cancels: bool,
}

struct Connection {
    socket: Socket,
    generation: u64,
    gateway: usize,
    address: SocketAddr,
    decoder: Decoder,
    connecting: bool,
    in_flight: Option<InFlight>,
    /// The request that ended last on this connection; further input is recorded as extra data of it.
    last_request: Option<String>,
    status: u16,
    retry_after: Option<f64>,
    body: Vec<u8>,
    keep_alive: bool,
    writing: bool,
}

/// Event loop of the emulated clients.
pub struct ClientEmulator {
    clock: Clock,
    recorder: Option<Recorder>,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    poller: Poller,
    timers: Timers<(usize, u64)>,
    connections: Slab<Connection>,
    idle: Vec<Vec<usize>>,
    generation: u64,
    /// How long after its timeout a client still reads a response, to tell a late response from a missing one.
    late_window_ms: f64,
}

/// Number of bytes of a response body that are kept to classify it.
const MAX_KEPT_BODY: usize = 2048;

impl ClientEmulator {
    /// Creates clients of the gateways at `addresses`, which may change while the clients run.
    ///
    /// # Errors
    /// Fails when the poller cannot be created.
    pub fn new(
        clock: Clock, addresses: Arc<Mutex<Vec<SocketAddr>>>, recorder: Option<Recorder>, late_window_ms: f64,
    ) -> std::io::Result<Self> {
        let (timers, connections, idle) = (Timers::default(), Slab::new(), Vec::new());
        let poller = Poller::new()?;
        Ok(Self {
            clock,
            recorder,
            addresses,
            poller,
            timers,
            connections,
            idle,
            generation: 0,
            late_window_ms,
        })
    }

    /// Sends all requests of a source and returns when every one has ended.
    ///
    /// # Errors
    /// Fails when waiting for readiness fails.
    pub fn run(&mut self, source: &mut dyn RequestSource) -> std::io::Result<()> {
        let mut ready = Vec::new();
        loop {
            let now = self.clock.now();
            while source.next_due().is_some_and(|due| due <= now) {
                for scheduled in source.take_due(now) {
                    self.send(scheduled, source);
                }
            }
            while let Some((slot, generation)) = self.timers.pop_expired(self.clock.now()) {
                self.expire(slot, generation, source);
            }
            let in_flight = self.connections.iter().any(|(_, c)| c.in_flight.is_some());
            let next = source.next_due();
            if next.is_none() && !in_flight {
                return Ok(());
            }
            let next = next.into_iter().chain(self.timers.next_deadline()).reduce(f64::min);
            self.poller
                .wait(next.map(|t| self.clock.until(t)).or(Some(Duration::from_secs(1))), &mut ready)?;
            for event in ready.drain(..) {
                let slot = (event.token & 0xffff_ffff) as usize;
                if self.connections.get(slot).is_some_and(|c| c.generation & 0xffff_ffff == event.token >> 32)
                {
                    self.connection_ready(slot, event.write, event.broken, source);
                }
            }
        }
    }

    fn record(&self, event: Event) {
        if let Some(recorder) = &self.recorder {
            recorder.record(event);
        }
    }

    fn send(&mut self, mut scheduled: ScheduledRequest, source: &mut dyn RequestSource) {
        let now = self.clock.now();
        if let Some(event) = scheduled.sent_event.take() {
            self.record(event);
        }
        let addresses = self.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let address = addresses[scheduled.gateway];
        drop(addresses);
        if self.idle.len() <= scheduled.gateway {
            self.idle.resize_with(scheduled.gateway + 1, Vec::new);
        }
        let reused = loop {
            match self.idle[scheduled.gateway].pop() {
                Some(slot) if self.connections.get(slot).is_some_and(|c| c.address == address) => {
                    break Some(slot);
                }
                Some(slot) => drop(self.connections.try_remove(slot)),
                None => break None,
            }
        };
        let slot = match reused.map_or_else(|| self.open_connection(scheduled.gateway, address), Ok) {
            Ok(slot) => slot,
            Err(_) => {
                self.record(Event::ConnectionLost { id: scheduled.id.clone() });
                return source.request_ended(now, &scheduled, &RequestOutcome::ConnectionLost);
            }
        };
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (bearer, timeout) = (format!("Bearer {}", scheduled.key), format!("{:.3}", scheduled.timeout_ms));
        let mut fields = vec![
            ("host", "gateway"),
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
            ("accept", "application/graphql-response+json"),
            ("x-request-id", scheduled.id.as_str()),
            ("doorcourse-deadline-ms", timeout.as_str()),
        ];
        if let Some(key) = &scheduled.idempotency_key {
            fields.push(("idempotency-key", key));
        }
        request(connection.socket.output(), "POST", "/graphql", &fields, scheduled.body.as_bytes());
        let cancel_after = scheduled.cancel_after_ms.filter(|l| *l < scheduled.timeout_ms);
        let deadline = now + cancel_after.unwrap_or(scheduled.timeout_ms + self.late_window_ms);
        self.timers.schedule(deadline, (slot, connection.generation));
        (connection.status, connection.retry_after) = (0, None);
        connection.body.clear();
        connection.in_flight = Some(InFlight { scheduled, deadline, cancels: cancel_after.is_some() });
        if !connection.connecting {
            self.flush(slot, source);
        }
    }

    fn open_connection(&mut self, gateway: usize, address: SocketAddr) -> std::io::Result<usize> {
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
            in_flight: None,
            last_request: None,
            status: 0,
            retry_after: None,
            body: Vec::new(),
            keep_alive: false,
            writing: true,
        });
        Ok(slot)
    }

    fn expire(&mut self, slot: usize, generation: u64, source: &mut dyn RequestSource) {
        let now = self.clock.now();
        let due = |c: &&mut Connection| {
            c.generation == generation && c.in_flight.as_ref().is_some_and(|o| o.deadline <= now)
        };
        let Some(connection) = self.connections.get_mut(slot).filter(due) else { return };
        let cancels = connection.in_flight.as_ref().is_some_and(|o| o.cancels);
        self.finish(slot, if cancels { RequestOutcome::Cancelled } else { RequestOutcome::TimedOut }, source);
        drop(self.connections.try_remove(slot));
    }

    fn finish(&mut self, slot: usize, outcome: RequestOutcome, source: &mut dyn RequestSource) {
        let Some(in_flight) = self.connections.get_mut(slot).and_then(|c| c.in_flight.take()) else { return };
        let id = in_flight.scheduled.id.clone();
        let event = match &outcome {
            RequestOutcome::Response { kind, status, code, .. } => {
                Event::ResponseReceived { id: id.clone(), kind: *kind, status: *status, code: code.clone() }
            }
            RequestOutcome::Truncated => Event::ResponseTruncated { id: id.clone() },
            RequestOutcome::ConnectionLost => Event::ConnectionLost { id: id.clone() },
            RequestOutcome::TimedOut => Event::TimedOut { id: id.clone() },
            RequestOutcome::Cancelled => Event::Cancelled { id: id.clone() },
        };
        self.record(event);
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.last_request = Some(id);
        }
        source.request_ended(self.clock.now(), &in_flight.scheduled, &outcome);
    }

    fn flush(&mut self, slot: usize, source: &mut dyn RequestSource) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.socket.flush() == Flow::Broken {
            return self.connection_broken(slot, source);
        }
        let writing = connection.socket.pending() > 0;
        if writing != connection.writing {
            connection.writing = writing;
            let token = (connection.generation & 0xffff_ffff) << 32 | slot as u64;
            let _ = self.poller.change(&connection.socket, token, Interest::of(true, writing));
        }
    }

    /// Removes a connection that ended; a request in flight on it is lost or truncated.
    fn connection_broken(&mut self, slot: usize, source: &mut dyn RequestSource) {
        let Some(connection) = self.connections.get(slot) else { return };
        let outcome =
            if connection.status == 0 { RequestOutcome::ConnectionLost } else { RequestOutcome::Truncated };
        let gateway = connection.gateway;
        self.finish(slot, outcome, source);
        drop(self.connections.try_remove(slot));
        if let Some(idle) = self.idle.get_mut(gateway) {
            idle.retain(|s| *s != slot);
        }
    }

    fn connection_ready(&mut self, slot: usize, write: bool, broken: bool, source: &mut dyn RequestSource) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.connecting {
            if !write && !broken {
                return;
            }
            if connection.socket.finish_connect().is_err() {
                return self.connection_broken(slot, source);
            }
            connection.connecting = false;
            return self.flush(slot, source);
        }
        if write {
            self.flush(slot, source);
        }
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (_, flow) = connection.socket.read();
        self.read_responses(slot, source);
        if flow != Flow::Open {
            let complete = self.connections.get_mut(slot).is_some_and(|c| {
                flow == Flow::Ended && c.decoder.closed(!c.socket.input.is_empty()).unwrap_or(false)
            });
            if complete {
                self.response_complete(slot, source);
            }
            self.connection_broken(slot, source);
        }
    }

    fn read_responses(&mut self, slot: usize, source: &mut dyn RequestSource) {
        loop {
            let Some(connection) = self.connections.get_mut(slot) else { return };
            if connection.in_flight.is_none() && !connection.socket.input.is_empty() {
                let extra = connection.last_request.clone().map(|id| Event::DataAfterResponse { id });
                connection.socket.input.clear();
                if let Some(extra) = extra {
                    self.record(extra);
                }
                return;
            }
            let Ok((used, part)) = connection.decoder.decode(&connection.socket.input) else {
                return self.connection_broken(slot, source);
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
                    let kept = MAX_KEPT_BODY.saturating_sub(connection.body.len()).min(data.len());
                    connection.body.extend_from_slice(&data[..kept]);
                    connection.socket.consume(used);
                }
                Some(Part::End) => {
                    connection.socket.consume(used);
                    self.response_complete(slot, source);
                }
            }
        }
    }

    fn response_complete(&mut self, slot: usize, source: &mut dyn RequestSource) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (status, retry_after) = (connection.status, connection.retry_after);
        let (kind, code) = classify(status, &connection.body);
        let (reusable, gateway) = (connection.keep_alive, connection.gateway);
        self.finish(slot, RequestOutcome::Response { kind, status, code, retry_after }, source);
        if reusable {
            self.idle[gateway].push(slot);
        }
    }
}

/// Classifies a response by its status, its data and the code of its first error.
fn classify(status: u16, body: &[u8]) -> (Kind, String) {
    if status == 200 && body.starts_with(b"{\"data\":{") {
        return (Kind::Served, String::new());
    }
    let json: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let code = json["errors"][0]["extensions"]["code"].as_str().unwrap_or("").to_owned();
    let refused = ["QUOTA_EXCEEDED", "BUSY", "COST_EXCEEDS_PLAN", "GATEWAY_FULL"];
    if refused.contains(&code.as_str()) { (Kind::Refused, code) } else { (Kind::Failed, code) }
}
