//! The room for whoever watches: `/live`, `/ready` and `/metrics` on a listener of their own, never counted as requests. A
//! balancer in front asks `/ready`; a metrics system reads `/metrics` in the OpenMetrics text format.

use crate::fleet::Seen;
use crate::io::{Io, Token};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket};
use doorcourse_http::{Decoder, Framing, Limits, Part, Role, response_head};
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram};
use prometheus_client::registry::Registry;
use slab::Slab;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};

/// Watchers at once: a balancer and a metrics system need a few.
const CONNECTIONS: usize = 64;
/// A watcher's request has no body, and no long head.
const LIMITS: Limits = Limits { line: 1024, head: 8192, fields: 64, body: 0 };
/// Upper bounds of the buckets of times, in seconds.
const BUCKETS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByClass {
    class: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByCode {
    code: String,
    plan: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByNode {
    node: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByPlan {
    plan: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByPeer {
    peer: u32,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByCause {
    cause: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByTask {
    task: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByCall {
    task: String,
    end: &'static str,
}

/// What is measured as it happens, and what is looked up when somebody reads.
struct Metrics {
    registry: Registry,
    served: Family<ByClass, Histogram, fn() -> Histogram>,
    answers: Family<ByCode, Counter>,
    requests: Gauge,
    clients: Gauge,
    bytes: Gauge,
    silent: Gauge,
    ready: Gauge,
    leases: Family<ByPlan, Gauge<f64, std::sync::atomic::AtomicU64>>,
    room: Family<ByNode, Gauge<f64, std::sync::atomic::AtomicU64>>,
    out: Family<ByNode, Gauge>,
    usable: Family<ByNode, Gauge>,
    peer_heard: Family<ByPeer, Gauge>,
    peer_round_trip: Family<ByPeer, Gauge<f64, std::sync::atomic::AtomicU64>>,
    peer_datagrams: Family<ByPeer, Gauge>,
    peer_lost: Family<ByPeer, Gauge>,
    peer_clock: Family<ByPeer, Gauge<f64, std::sync::atomic::AtomicU64>>,
    dropped: Family<ByCause, Gauge>,
    task_held: Family<ByTask, Gauge>,
    task_calls: Family<ByCall, Gauge>,
}

/// What is looked up when somebody reads.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub ready: bool,
    pub requests: usize,
    pub clients: usize,
    pub bytes: u64,
    pub silent: bool,
    /// Units of the blocks in hand, by plan.
    pub leases: Vec<(String, f64)>,
    /// Each node: how many attempts it is given at most, how many are out, whether it is used.
    pub nodes: Vec<(String, f64, u32, bool)>,
    /// The link to the other gateways and the tasks.
    pub fleet: Seen,
}

impl Metrics {
    fn new() -> Self {
        let times: fn() -> Histogram = || Histogram::new(BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("doorcourse"),
            served: Family::new_with_constructor(times),
            answers: Family::default(),
            requests: Gauge::default(),
            clients: Gauge::default(),
            bytes: Gauge::default(),
            silent: Gauge::default(),
            ready: Gauge::default(),
            leases: Family::default(),
            room: Family::default(),
            out: Family::default(),
            usable: Family::default(),
            peer_heard: Family::default(),
            peer_round_trip: Family::default(),
            peer_datagrams: Family::default(),
            peer_lost: Family::default(),
            peer_clock: Family::default(),
            dropped: Family::default(),
            task_held: Family::default(),
            task_calls: Family::default(),
        };
        let r = &mut metrics.registry;
        r.register("served_seconds", "Time to a node's whole answer, by class", metrics.served.clone());
        r.register(
            "answers",
            "Final answers, by code (SERVED, or the error's) and plan",
            metrics.answers.clone(),
        );
        r.register("requests_open", "Requests not answered yet", metrics.requests.clone());
        r.register("client_connections", "Client connections", metrics.clients.clone());
        r.register("held_bytes", "Bytes held for clients", metrics.bytes.clone());
        r.register("counter_silent", "1 while the shared counter is silent", metrics.silent.clone());
        r.register("ready", "1 while new clients are wanted", metrics.ready.clone());
        r.register("lease_units", "Units of blocks in hand, by plan", metrics.leases.clone());
        r.register("node_room", "Attempts that a node is given at most", metrics.room.clone());
        r.register("node_attempts", "Attempts out at a node", metrics.out.clone());
        r.register("node_usable", "1 while a node is listed and not left alone", metrics.usable.clone());
        r.register(
            "peer_heard_ms",
            "Since a peer gateway was heard last; -1 if never",
            metrics.peer_heard.clone(),
        );
        r.register("peer_round_trip_ms", "Round trip to a peer gateway", metrics.peer_round_trip.clone());
        r.register("peer_datagrams", "Datagrams taken from a peer gateway", metrics.peer_datagrams.clone());
        r.register(
            "peer_datagrams_lost",
            "Datagrams that a peer numbered and that did not come",
            metrics.peer_lost.clone(),
        );
        r.register(
            "peer_clock_ahead_ms",
            "A peer gateway's wall clock beside this one's",
            metrics.peer_clock.clone(),
        );
        r.register("link_dropped", "Datagrams dropped, by cause", metrics.dropped.clone());
        r.register("task_held", "1 while this gateway holds a task's lease", metrics.task_held.clone());
        r.register(
            "task_calls",
            "Calls of tasks, by end: good, failed, kept_back",
            metrics.task_calls.clone(),
        );
        metrics
    }

    fn fleet(&self, seen: &Seen) {
        let whole = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.peer_heard.clear();
        self.peer_round_trip.clear();
        self.peer_datagrams.clear();
        self.peer_lost.clear();
        self.peer_clock.clear();
        self.task_held.clear();
        self.task_calls.clear();
        for peer in &seen.peers {
            let by = ByPeer { peer: peer.number };
            self.peer_heard.get_or_create(&by).set(peer.heard.map_or(-1, whole));
            self.peer_datagrams.get_or_create(&by).set(whole(peer.taken));
            self.peer_lost.get_or_create(&by).set(whole(peer.lost));
            if let Some(ms) = peer.clock {
                self.peer_clock.get_or_create(&by).set(ms);
            }
            if let Some(ms) = peer.round_trip {
                self.peer_round_trip.get_or_create(&by).set(ms);
            }
        }
        for (cause, count) in &seen.drops {
            self.dropped.get_or_create(&ByCause { cause }).set(whole(*count));
        }
        for (task, held) in &seen.held {
            self.task_held.get_or_create(&ByTask { task: task.clone() }).set((*held).into());
        }
        for (task, calls) in &seen.calls {
            for (end, count) in ["good", "failed", "kept_back"].into_iter().zip(calls) {
                self.task_calls.get_or_create(&ByCall { task: task.clone(), end }).set(whole(*count));
            }
        }
    }

    fn text(&self, now: &Snapshot) -> String {
        let whole = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.requests.set(whole(now.requests));
        self.clients.set(whole(now.clients));
        self.bytes.set(i64::try_from(now.bytes).unwrap_or(i64::MAX));
        self.silent.set(now.silent.into());
        self.ready.set(now.ready.into());
        // Plans and nodes that are gone are not told any more.
        self.leases.clear();
        self.room.clear();
        self.out.clear();
        self.usable.clear();
        for (plan, units) in &now.leases {
            self.leases.get_or_create(&ByPlan { plan: plan.clone() }).inc_by(*units);
        }
        for (node, room, out, usable) in &now.nodes {
            let by = ByNode { node: node.clone() };
            self.room.get_or_create(&by).set(*room);
            self.out.get_or_create(&by).set((*out).into());
            self.usable.get_or_create(&by).set((*usable).into());
        }
        self.fleet(&now.fleet);
        let mut text = String::new();
        // Writing into a text does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

struct MonitoringConnection {
    socket: Socket,
    generation: u32,
    decoder: Decoder,
    interest: Interest,
    closing: bool,
    /// When it was heard last.
    spoke: f64,
}

/// What a watcher wants to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Page {
    Live,
    Ready,
    Metrics,
}

/// A question that waits for `answer`.
#[derive(Debug)]
pub(crate) struct PageRequest {
    slot: usize,
    wants: Page,
    keep_alive: bool,
}

pub(crate) struct Monitoring {
    listener: TcpListener,
    connections: Slab<MonitoringConnection>,
    metrics: Metrics,
    pub page_requests: VecDeque<PageRequest>,
}

impl Monitoring {
    pub fn new(io: &Io, listener: TcpListener) -> std::io::Result<Self> {
        io.poller.add(&listener, Token::MonitoringListener.pack(), Interest::READ)?;
        Ok(Self {
            listener,
            connections: Slab::new(),
            metrics: Metrics::new(),
            page_requests: VecDeque::new(),
        })
    }

    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// A request has its final answer: which, of which plan and class, and after how long in ms.
    pub fn record_final_response(&self, code: &str, plan: &str, class: &str, time: f64) {
        let (code, plan, class) = (code.to_owned(), plan.to_owned(), class.to_owned());
        if code == "SERVED" {
            self.metrics.served.get_or_create(&ByClass { class }).observe(time / 1000.0);
        }
        self.metrics.answers.get_or_create(&ByCode { code, plan }).inc();
    }

    pub fn accept(&mut self, io: &mut Io) {
        let Ok((stream, _)) = self.listener.accept() else { return };
        let Ok(socket) = Socket::new(stream) else { return };
        if self.connections.len() >= CONNECTIONS {
            // Whoever was silent for longest goes: connections left open must not shut out who asks now.
            let oldest =
                self.connections.iter().min_by(|a, b| a.1.spoke.total_cmp(&b.1.spoke)).map(|(slot, _)| slot);
            oldest.into_iter().for_each(|slot| drop(self.connections.remove(slot)));
        }
        let generation = io.generation();
        let entry = self.connections.vacant_entry();
        let token = Token::Monitoring(entry.key(), generation).pack();
        if io.poller.add(&socket, token, Interest::READ).is_ok() {
            let decoder = Decoder::new(Role::Requests, LIMITS);
            let (interest, closing, spoke) = (Interest::READ, false, io.now());
            entry.insert(MonitoringConnection { socket, generation, decoder, interest, closing, spoke });
        }
    }

    pub fn handle_readiness(&mut self, io: &Io, slot: usize, generation: u32, ready: Ready) {
        let known = self.connections.get_mut(slot).filter(|w| w.generation == generation);
        let Some(watcher) = known else { return };
        watcher.spoke = io.now();
        if ready.read && watcher.socket.read().1 != Flow::Open {
            drop(self.connections.remove(slot));
            return;
        }
        self.input(slot);
        self.flush(io, slot);
    }

    fn input(&mut self, slot: usize) {
        let Some(watcher) = self.connections.get_mut(slot) else { return };
        if watcher.closing {
            return watcher.socket.input.clear();
        }
        loop {
            let (used, part) = match watcher.decoder.decode(&watcher.socket.input) {
                Ok(found) => found,
                Err(fault) => {
                    respond(
                        watcher,
                        fault.status(),
                        "text/plain; charset=utf-8",
                        "this is no request here\n",
                        false,
                    );
                    return;
                }
            };
            let head = match part {
                Some(Part::Head(head)) => Some((head.method.clone(), head.target.clone(), head.keep_alive)),
                Some(_) => None,
                None => return watcher.socket.consume(used),
            };
            watcher.socket.consume(used);
            let Some((method, target, keep_alive)) = head else { continue };
            let path = target.split('?').next().unwrap_or("");
            let wants = match path {
                "/live" => Page::Live,
                "/ready" => Page::Ready,
                "/metrics" => Page::Metrics,
                _ => {
                    respond(
                        watcher,
                        404,
                        "text/plain; charset=utf-8",
                        "there are /live, /ready and /metrics\n",
                        keep_alive,
                    );
                    continue;
                }
            };
            if method == "GET" {
                self.page_requests.push_back(PageRequest { slot, wants, keep_alive });
            } else {
                respond(watcher, 405, "text/plain; charset=utf-8", "GET is allowed\n", keep_alive);
            }
        }
    }

    /// Answers a question with what is so now.
    pub fn respond(&mut self, io: &Io, question: &PageRequest, now: &Snapshot) {
        let Some(watcher) = self.connections.get_mut(question.slot) else { return };
        let plain = "text/plain; charset=utf-8";
        match question.wants {
            Page::Live => respond(watcher, 200, plain, "live\n", question.keep_alive),
            Page::Ready if now.ready => respond(watcher, 200, plain, "ready\n", question.keep_alive),
            Page::Ready => {
                respond(watcher, 503, plain, "not ready: send no new clients\n", question.keep_alive)
            }
            Page::Metrics => {
                let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                respond(watcher, 200, kind, &self.metrics.text(now), question.keep_alive);
            }
        }
        self.flush(io, question.slot);
    }

    fn flush(&mut self, io: &Io, slot: usize) {
        let Some(watcher) = self.connections.get_mut(slot) else { return };
        let broken = watcher.socket.flush() == Flow::Broken;
        let pending = watcher.socket.pending() > 0;
        if broken || watcher.closing && !pending {
            drop(self.connections.remove(slot));
            return;
        }
        let interest = Interest::of(!pending, pending);
        if interest != watcher.interest {
            watcher.interest = interest;
            let token = Token::Monitoring(slot, watcher.generation).pack();
            let _ = io.poller.change(&watcher.socket, token, interest);
        }
    }
}

fn respond(watcher: &mut MonitoringConnection, status: u16, kind: &str, body: &str, keep_alive: bool) {
    let mut fields = vec![("content-type", kind)];
    if !keep_alive {
        fields.push(("connection", "close"));
        watcher.closing = true;
    }
    response_head(watcher.socket.output(), status, &fields, Framing::Length(body.len() as u64));
    watcher.socket.output().extend_from_slice(body.as_bytes());
}
