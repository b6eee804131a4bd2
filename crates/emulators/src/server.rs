//! Serves the emulated nodes and the emulated counter on sockets, with one thread and one event loop. Faults are
//! injected by commands.

use crate::catalogue::{CATALOGUE, operations};
use crate::counter::{Counter, CounterFault, Session};
use crate::node::{IdempotencyKeys, Job, Node, NodeAction, NodeFault, NodeSpec, ReplyOutcome};
use crate::recorder::Recorder;
use doorcourse_conformance::Event;
use doorcourse_event_loop::{Clock, Flow, Interest, Poller, Socket, Timers, Waker, listen};
use doorcourse_graphql::{Limits, PreparedOperation, Schema, StubData};
use doorcourse_http::{
    Decoder, Framing, Head, Limits as HttpLimits, Part, Role, chunk, chunk_end, response_head,
};
use doorcourse_resp::{decode, encode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, mpsc};

/// Configuration of an emulator server.
#[derive(Clone, Debug)]
pub struct EmulatorServerSpec {
    /// The emulated nodes.
    pub nodes: Vec<NodeSpec>,
    /// Address on which each node listens; a free port on loopback by default.
    pub listen: Option<SocketAddr>,
    /// Whether a counter is emulated.
    pub counter: bool,
    /// Password that the counter requires, if any.
    pub password: Option<String>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Standard deviation of the logarithm of the service times, which are log-normal; 0 for constant ones.
    pub service_time_spread: f64,
    /// Factor by which the nodes are faster than the work in the catalogue.
    pub speed: f64,
    /// Discard the traffic record, which would grow without bound in a server that runs on.
    pub discard_records: bool,
}

/// A command to an emulator server.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Apply a fault to the node with this index.
    Node(usize, NodeFault),
    /// Apply a fault to the counter.
    Counter(CounterFault),
    /// Stop the server.
    Stop,
}

/// A running emulator server; it stops when dropped.
#[derive(Debug)]
pub struct EmulatorServer {
    /// Address of each node, also while it is down.
    pub node_addresses: Vec<SocketAddr>,
    /// Address of the counter, if there is one.
    pub counter_address: Option<SocketAddr>,
    sender: mpsc::Sender<Command>,
    waker: Waker,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl EmulatorServer {
    /// Binds all listeners and starts the thread.
    ///
    /// # Errors
    /// Fails when a socket, the poller or the thread cannot be created.
    pub fn start(spec: &EmulatorServerSpec, clock: Clock, recorder: Recorder) -> anyhow::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let (waker, wake_receiver) = Waker::pair()?;
        let (start_sender, started) = mpsc::channel();
        let spec = spec.clone();
        let recorder = if spec.discard_records { Recorder::disabled(clock) } else { recorder };
        let thread =
            std::thread::Builder::new().name("world".into()).spawn(move || {
                match EventLoop::new(&spec, clock, recorder, receiver, wake_receiver) {
                    Ok(mut event_loop) => {
                        let _ =
                            start_sender.send(Ok((event_loop.addresses.clone(), event_loop.counter_address)));
                        event_loop.run();
                    }
                    Err(error) => drop(start_sender.send(Err(error))),
                }
            })?;
        let (node_addresses, counter_address) = started.recv()??;
        Ok(Self { node_addresses, counter_address, sender, waker, thread: Some(thread) })
    }

    /// Sends a command to the event loop.
    pub fn send(&self, command: Command) {
        let _ = self.sender.send(command);
        self.waker.wake();
    }

    /// Blocks until the event loop ends, which happens only after an error of the poller.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for EmulatorServer {
    fn drop(&mut self) {
        self.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What a connection belongs to, with the state of its protocol.
enum Owner {
    Node { node: usize, incarnation: u32, decoder: Box<Decoder>, head: Option<Head>, body: Vec<u8> },
    Counter { session: Session, pending_replies: Vec<u8> },
}

struct Connection {
    socket: Socket,
    owner: Owner,
    /// Attempts that were received on the connection and are not answered yet.
    attempts: Vec<u64>,
    /// Whether the connection waits until its output can be written.
    writing: bool,
    /// Close the connection once the output is flushed.
    closing: bool,
    keep_alive: bool,
}

/// An attempt that a node has read and not finished. It stays if its connection ends, because the node finishes it all the
/// same.
struct PendingRequest {
    connection: usize,
    node: usize,
    incarnation: u32,
    prepared: PreparedOperation,
}

enum TimerEvent {
    /// A node finishes the processing of this attempt.
    Finished(u64),
    /// The counter sends these delayed replies on this connection.
    Counter(usize, Vec<u8>),
}

struct EventLoop {
    clock: Clock,
    recorder: Recorder,
    poller: Poller,
    timers: Timers<TimerEvent>,
    receiver: mpsc::Receiver<Command>,
    wake_receiver: UnixStream,
    nodes: Vec<Node>,
    /// Idempotency keys that the cells remember.
    idempotency_keys: IdempotencyKeys,
    /// Number of starts of each node; requests of an earlier incarnation are discarded.
    incarnations: Vec<u32>,
    listeners: Vec<Option<TcpListener>>,
    addresses: Vec<SocketAddr>,
    counter: Counter,
    counter_listener: Option<TcpListener>,
    counter_address: Option<SocketAddr>,
    connections: Slab<Connection>,
    pending: HashMap<u64, PendingRequest>,
    attempts: u64,
    schema: Arc<Schema>,
    work_by_query: HashMap<String, f64>,
    rng: ChaCha8Rng,
    service_time_spread: f64,
    speed: f64,
}

/// The query with which a gateway probes a node: every GraphQL server answers it, and it has no effect.
const PROBE_QUERY: &str = "{__typename}";
const WAKER_TOKEN: u64 = 1;
const COUNTER_LISTENER: u64 = 2;
const NODE_LISTENERS: u64 = 1 << 32;
const CONNECTIONS: u64 = 1 << 33;

impl EventLoop {
    fn new(
        spec: &EmulatorServerSpec, clock: Clock, recorder: Recorder, receiver: mpsc::Receiver<Command>,
        wake_receiver: UnixStream,
    ) -> anyhow::Result<Self> {
        let poller = Poller::new()?;
        poller.add(&wake_receiver, WAKER_TOKEN, Interest::READ)?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (mut nodes, mut listeners, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for (index, node) in spec.nodes.iter().enumerate() {
            let listener = listen(spec.listen.unwrap_or(any))?;
            poller.add(&listener, NODE_LISTENERS + index as u64, Interest::READ)?;
            addresses.push(listener.local_addr()?);
            listeners.push(Some(listener));
            nodes.push(Node::new(node.clone()));
        }
        let counter_listener = if spec.counter { Some(listen(any)?) } else { None };
        if let Some(listener) = &counter_listener {
            poller.add(listener, COUNTER_LISTENER, Interest::READ)?;
        }
        let counter_address = counter_listener.as_ref().map(TcpListener::local_addr).transpose()?;
        let schema = Schema::parse(CATALOGUE).map_err(|e| anyhow::anyhow!("catalogue: {e:?}"))?;
        let work_by_query = operations().into_iter().map(|o| (o.query, o.work_ms)).collect();
        let event_loop = Self {
            clock,
            recorder,
            poller,
            timers: Timers::default(),
            receiver,
            wake_receiver,
            incarnations: vec![0; nodes.len()],
            nodes,
            idempotency_keys: IdempotencyKeys::new(),
            listeners,
            addresses,
            counter: Counter::new(spec.password.clone()),
            counter_listener,
            counter_address,
            connections: Slab::new(),
            pending: HashMap::new(),
            attempts: 0,
            schema: schema.into(),
            work_by_query,
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            service_time_spread: spec.service_time_spread,
            speed: spec.speed.max(1e-6),
        };
        (0..event_loop.nodes.len()).for_each(|index| event_loop.record_node_up(index, false));
        Ok(event_loop)
    }

    fn record_node_up(&self, index: usize, cold: bool) {
        let spec = &self.nodes[index].spec;
        let (node, cell, cold_share, warm_up_ms) =
            (spec.name.clone(), spec.cell, spec.cold_share, spec.warm_up_ms);
        let capacity = spec.cores as f64;
        self.recorder.record(Event::NodeUp { node, cell, cold, cold_share, warm_up_ms, capacity });
    }

    fn run(&mut self) {
        let mut ready = Vec::new();
        loop {
            while let Some(event) = self.timers.pop_expired(self.clock.now()) {
                match event {
                    TimerEvent::Finished(attempt) => self.finish_request(attempt),
                    TimerEvent::Counter(slot, bytes) => {
                        if let Some(connection) = self.connections.get_mut(slot) {
                            connection.socket.output().extend_from_slice(&bytes);
                            self.flush(slot);
                        }
                    }
                }
            }
            let wait = self.timers.next_deadline().map(|t| self.clock.until(t));
            if self.poller.wait(wait, &mut ready).is_err() {
                return;
            }
            for event in ready.drain(..) {
                match event.token {
                    WAKER_TOKEN => {
                        let mut bytes = [0; 64];
                        while std::io::Read::read(&mut self.wake_receiver, &mut bytes).is_ok_and(|n| n > 0) {}
                        while let Ok(command) = self.receiver.try_recv() {
                            match command {
                                Command::Stop => return,
                                Command::Counter(fault) => self.apply_counter_fault(fault),
                                Command::Node(node, fault) => self.apply_node_fault(node, fault),
                            }
                        }
                    }
                    COUNTER_LISTENER => self.accept(None),
                    token if token >= CONNECTIONS => {
                        self.connection_ready((token - CONNECTIONS) as usize, event.write)
                    }
                    token => self.accept(Some((token - NODE_LISTENERS) as usize)),
                }
            }
        }
    }

    fn apply_node_fault(&mut self, index: usize, fault: NodeFault) {
        let mut out = Vec::new();
        let now = self.clock.now();
        match fault {
            NodeFault::Kill => self.stop_node(index),
            NodeFault::Start { cold } => {
                self.incarnations[index] += 1;
                if let Ok(listener) = listen(self.addresses[index]) {
                    let _ = self.poller.add(&listener, NODE_LISTENERS + index as u64, Interest::READ);
                    self.listeners[index] = Some(listener);
                }
                self.record_node_up(index, cold);
            }
            _ => {}
        }
        self.nodes[index].apply_fault(now, fault, &mut self.idempotency_keys, &mut out);
        self.apply_actions(index, out);
    }

    /// Stops a node: closes its listener and resets its connections.
    fn stop_node(&mut self, index: usize) {
        self.listeners[index] = None;
        let node = self.nodes[index].spec.name.clone();
        self.recorder.record(Event::NodeDown { node });
        let belongs = |c: &Connection| matches!(c.owner, Owner::Node { node, .. } if node == index);
        let slots: Vec<usize> = self.connections.iter().filter(|(_, c)| belongs(c)).map(|(s, _)| s).collect();
        for slot in slots {
            let connection = self.connections.remove(slot);
            connection.socket.reset_on_close();
            connection.attempts.iter().for_each(|a| drop(self.pending.remove(a)));
        }
    }

    fn accept(&mut self, node: Option<usize>) {
        let listener = match node {
            Some(index) => self.listeners.get(index).and_then(Option::as_ref),
            None => self.counter_listener.as_ref(),
        };
        let Some(listener) = listener else { return };
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            streams.push(stream);
        }
        for stream in streams {
            let Ok(socket) = Socket::new(stream) else { continue };
            if let Some(node) = node {
                self.recorder.record(Event::Connected { node: self.nodes[node].spec.name.clone() });
            }
            let owner = match node {
                Some(node) => {
                    let limits = HttpLimits { body: 64 << 20, ..HttpLimits::default() };
                    let decoder = Box::new(Decoder::new(Role::Requests, limits));
                    Owner::Node {
                        node,
                        incarnation: self.incarnations[node],
                        decoder,
                        head: None,
                        body: Vec::new(),
                    }
                }
                None => Owner::Counter { session: Session::default(), pending_replies: Vec::new() },
            };
            let entry = self.connections.vacant_entry();
            if self.poller.add(&socket, CONNECTIONS + entry.key() as u64, Interest::READ).is_ok() {
                let attempts = Vec::new();
                entry.insert(Connection {
                    socket,
                    owner,
                    attempts,
                    writing: false,
                    closing: false,
                    keep_alive: true,
                });
            }
        }
    }

    fn connection_ready(&mut self, slot: usize, write: bool) {
        if write {
            self.flush(slot);
        }
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let (_, flow) = connection.socket.read();
        match connection.owner {
            Owner::Node { .. } => self.node_input(slot),
            Owner::Counter { .. } => self.counter_input(slot),
        }
        if flow != Flow::Open {
            self.close(slot);
        }
    }

    fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.try_remove(slot) else { return };
        for attempt in connection.attempts {
            self.recorder.record(Event::AttemptClosed { attempt });
        }
    }

    fn flush(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.socket.flush() == Flow::Broken {
            return self.close(slot);
        }
        let writing = connection.socket.pending() > 0;
        if !writing && connection.closing {
            return self.close(slot);
        }
        if writing != connection.writing {
            connection.writing = writing;
            let interest = Interest::of(true, writing);
            let _ = self.poller.change(&connection.socket, CONNECTIONS + slot as u64, interest);
        }
    }

    // ---- Nodes ----

    fn node_input(&mut self, slot: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(slot) else { return };
            let Owner::Node { node, incarnation, decoder, head, body } = &mut connection.owner else {
                return;
            };
            let (node, incarnation) = (*node, *incarnation);
            let Ok((used, part)) = decoder.decode(&connection.socket.input) else { return self.close(slot) };
            match part {
                None => return connection.socket.consume(used),
                Some(Part::Head(found)) => {
                    connection.keep_alive = found.keep_alive;
                    *head = Some(*found);
                }
                Some(Part::Data(data)) => body.extend_from_slice(data),
                Some(Part::End) => {
                    let (head, body) = (head.take(), std::mem::take(body));
                    connection.socket.consume(used);
                    if let Some(head) = head {
                        self.request_received(slot, node, incarnation, &head, &body);
                    }
                    continue;
                }
            }
            connection.socket.consume(used);
        }
    }

    fn request_received(&mut self, slot: usize, node: usize, incarnation: u32, head: &Head, body: &[u8]) {
        self.attempts += 1;
        let attempt = self.attempts;
        let id = head.field("x-request-id").unwrap_or("").to_owned();
        let request: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let query = request["query"].as_str().unwrap_or("");
        let work = self.work_by_query.get(query).copied().unwrap_or(10.0);
        // Log-normal with a mean near 1; the sum of twelve uniform numbers approximates a normal distribution.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let work = work / self.speed
            * (self.service_time_spread * normal - self.service_time_spread * self.service_time_spread / 2.0)
                .exp();
        let name = self.nodes[node].spec.name.clone();
        // A probe query without a request id is sent by a gateway on its own behalf.
        let probe = id.is_empty() && query == PROBE_QUERY;
        let work = if probe { 0.0 } else { work };
        self.recorder.record(if probe {
            Event::ProbeRead { node: name }
        } else {
            Event::RequestRead { id: id.clone(), node: name, attempt, work_ms: work }
        });
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.attempts.push(attempt);
        }
        let limits = Limits { tokens: 100_000, aliases: 10_000, expansion: 1_000_000, ..Limits::default() };
        let variables = request["variables"].as_object();
        let operation = request["operationName"].as_str();
        let prepared =
            match PreparedOperation::new(Arc::clone(&self.schema), query, operation, variables, limits) {
                Ok(prepared) => prepared,
                Err(errors) => {
                    let message = errors.first().map_or(String::new(), ToString::to_string);
                    let answer = serde_json::json!({"errors": [{"message": message}]}).to_string();
                    return self.reply(slot, attempt, 400, &answer, 0.0);
                }
            };
        self.pending.insert(attempt, PendingRequest { connection: slot, node, incarnation, prepared });
        let idempotency_key = head.field("idempotency-key").map(str::to_owned);
        let mut out = Vec::new();
        self.nodes[node].request_received(
            self.clock.now(),
            Job { attempt, id, idempotency_key, work_ms: work },
            &mut self.idempotency_keys,
            &mut out,
        );
        self.apply_actions(node, out);
    }

    fn apply_actions(&mut self, node: usize, out: Vec<NodeAction>) {
        for action in out {
            let name = self.nodes[node].spec.name.clone();
            match action {
                NodeAction::Started { job, dropped, duration_ms } => {
                    self.recorder.record(Event::RequestExecuted { id: job.id, node: name, dropped });
                    self.timers.schedule(self.clock.now() + duration_ms, TimerEvent::Finished(job.attempt));
                }
                NodeAction::Rejected { attempt } => {
                    if let Some(pending) = self.pending.remove(&attempt) {
                        let answer = r#"{"errors":[{"message":"full"}]}"#;
                        self.reply(pending.connection, attempt, 429, answer, 0.0);
                    }
                }
                NodeAction::Crashed => {
                    self.recorder.record(Event::NodeCrashed { node: name });
                    self.stop_node(node);
                }
            }
        }
    }

    fn finish_request(&mut self, attempt: u64) {
        let Some(mut pending) = self.pending.remove(&attempt) else { return };
        if self.incarnations[pending.node] != pending.incarnation {
            return;
        }
        let (mut out, node) = (Vec::new(), &mut self.nodes[pending.node]);
        let outcome =
            node.request_finished(self.clock.now(), &mut self.rng, &mut self.idempotency_keys, &mut out);
        let mut answer = String::from("{\"data\":");
        pending
            .prepared
            .write_data(&mut ResponseShape { extra_text_bytes: node.extra_text_bytes }, &mut answer);
        let mut scan = pending.prepared.into_response_scanner(100);
        scan.feed(answer.as_bytes());
        scan.feed(b"}");
        let units = scan.cost().units;
        let reported_cost = units * node.cost_factor;
        answer += &format!(",\"extensions\":{{\"cost\":{{\"actualCost\":{reported_cost}}}}}}}");
        let index = pending.node;
        match outcome {
            ReplyOutcome::Complete => self.reply(pending.connection, attempt, 200, &answer, units),
            ReplyOutcome::Malformed => {
                let half = answer.len() / 2;
                self.reply(pending.connection, attempt, 200, &answer[..half], 0.0);
            }
            ReplyOutcome::Reset => {
                if let Some(connection) = self.connections.get_mut(pending.connection) {
                    let out = connection.socket.output();
                    response_head(out, 200, &[("content-type", JSON)], Framing::Length(answer.len() as u64));
                    out.extend_from_slice(&answer.as_bytes()[..answer.len() / 2]);
                    connection.socket.flush();
                    self.close(pending.connection);
                }
            }
        }
        self.apply_actions(index, out);
    }

    fn reply(&mut self, slot: usize, attempt: u64, status: u16, answer: &str, units: f64) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.attempts.retain(|a| *a != attempt);
        self.recorder.record(Event::ResponseSent { attempt, status, units });
        let mut fields = vec![("content-type", JSON)];
        if !connection.keep_alive {
            fields.push(("connection", "close"));
            connection.closing = true;
        }
        let out = connection.socket.output();
        if answer.len() > CHUNK_SIZE {
            response_head(out, status, &fields, Framing::Chunked);
            answer.as_bytes().chunks(CHUNK_SIZE).for_each(|piece| chunk(out, piece));
            chunk_end(out);
        } else {
            response_head(out, status, &fields, Framing::Length(answer.len() as u64));
            out.extend_from_slice(answer.as_bytes());
        }
        self.flush(slot);
    }

    // ---- The counter ----

    fn apply_counter_fault(&mut self, fault: CounterFault) {
        self.counter.apply_fault(fault);
        let belongs = |c: &Connection| matches!(c.owner, Owner::Counter { .. });
        let slots: Vec<usize> = self.connections.iter().filter(|(_, c)| belongs(c)).map(|(s, _)| s).collect();
        for slot in slots {
            // Input that was read while the counter was silent is processed now; a restart closes the connections.
            if fault == CounterFault::Restart { self.close(slot) } else { self.counter_input(slot) }
        }
    }

    fn counter_input(&mut self, slot: usize) {
        if self.counter.silent {
            return;
        }
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let Owner::Counter { session, pending_replies } = &mut connection.owner else { return };
        let input = std::mem::take(&mut connection.socket.input);
        let mut consumed = 0;
        loop {
            match decode(&input[consumed..]) {
                Ok(Some((words, used))) => {
                    consumed += used;
                    self.recorder.record(Event::CounterCall);
                    encode(pending_replies, &self.counter.command(now, session, &words));
                }
                Ok(None) => break,
                Err(_) => return self.close(slot),
            }
        }
        connection.socket.input.extend_from_slice(&input[consumed..]);
        let replies = std::mem::take(pending_replies);
        if self.counter.reply_delay_ms > 0.0 && !replies.is_empty() {
            return self
                .timers
                .schedule(now + self.counter.reply_delay_ms, TimerEvent::Counter(slot, replies));
        }
        connection.socket.output().extend_from_slice(&replies);
        self.flush(slot);
    }
}

const JSON: &str = "application/graphql-response+json; charset=utf-8";
/// Responses above this size are sent in chunks of this size.
const CHUNK_SIZE: usize = 32 << 10;

/// Shape of the response data: `similar` returns five times the items it is priced as, `shelf` a fifth of them.
struct ResponseShape {
    extra_text_bytes: usize,
}

impl StubData for ResponseShape {
    fn list_length(&mut self, field: &str, sized: f64) -> usize {
        match field {
            "similar" => sized as usize * 5,
            "shelf" => sized as usize / 5,
            _ => sized as usize,
        }
    }

    fn write_text(&mut self, field: &str, out: &mut String) {
        out.push_str(field);
        if field == "waveform" || self.extra_text_bytes > 0 {
            out.extend(std::iter::repeat_n('~', self.extra_text_bytes.max(64)));
        }
    }
}
