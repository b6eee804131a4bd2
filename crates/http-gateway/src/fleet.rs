//! The room of the fleet: the UDP socket to the other gateways, and the calls of tasks that this gateway holds. What a
//! datagram counts for is `doorcourse_peers`' word; who holds what and which call may leave is `doorcourse_lease`'s.

use crate::io::{Io, Token};
use doorcourse_config::{Config, FleetLeases, FleetLink, FleetSuspects, FleetTask, Node, SUSPECTS};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, awake_or_not, connect};
use doorcourse_http::{Decoder, Limits, Part, Role};
use doorcourse_lease::{
    AuthorizedCall, CallSchedule, CallSettings, Input, LeaseStage, LeaseStatus, Leases, LostLease, Message,
    Millis, Output, Refusal, Settings as LeaseSettings, TaskId, decode, encode, task_of,
};
use doorcourse_outlier_gossip::{NodeStatus, OutlierGossip, Verdict};
use doorcourse_peers::{
    GatewayNumber, Link, MAX_DATAGRAM_BYTES, OutgoingDatagram, PeerEvent, PeerStatus,
    Settings as LinkSettings, fleet_of,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::UdpSocket;
use std::time::{SystemTime, UNIX_EPOCH};

/// Whose payload a datagram holds.
const LEASES: u32 = 1;
const SUSPECT: u32 = 2;
/// Datagrams read in one turn, so that peers do not hold up clients.
const TURN: usize = 64;
/// How often the socket is tried for while a process that hands over still has it, in ms.
const RETRY: Millis = 50;
/// An answer to a call has a short head; its body is read past.
const ANSWER: Limits = Limits { line: 1024, head: 8192, fields: 64, body: 1 << 20 };

/// What a connection is for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum What {
    Task(TaskId),
    /// A suspect node is tried, until then.
    Trial(String, Millis),
}

struct Call {
    what: What,
    socket: Socket,
    generation: u32,
    written: bool,
    decoder: Decoder,
    status: u16,
}

/// A peer as metrics show it. Times in ms.
#[derive(Debug)]
pub(crate) struct PeerMetrics {
    pub number: GatewayNumber,
    /// How long ago a datagram was accepted from it.
    pub heard: Option<Millis>,
    pub round_trip: Option<f64>,
    /// By how much its wall clock is ahead of this gateway's.
    pub clock: Option<f64>,
    /// Datagrams accepted from it, and those that were lost.
    pub taken: u64,
    pub lost: u64,
}

/// What the link and the leases hold for people and metrics.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub peers: Vec<PeerMetrics>,
    pub drops: Vec<(&'static str, u64)>,
    /// Each task: whether it is held here.
    pub held: Vec<(String, bool)>,
    pub calls: Vec<(String, [u64; 3])>,
}

pub(crate) struct Fleet {
    settings: FleetLink,
    number: GatewayNumber,
    /// The path of the endpoint, where nodes are tried.
    path: String,
    socket: Option<UdpSocket>,
    retry: Millis,
    link: Link,
    leases: Option<Leases>,
    tasks: BTreeMap<TaskId, FleetTask>,
    calls: CallSchedule,
    out: slab::Slab<Call>,
    /// By task: calls answered with 2xx, answered otherwise or not at all, and not made because the lease was too short.
    tally: BTreeMap<TaskId, [u64; 3]>,
    suspects: Option<(OutlierGossip, FleetSuspects)>,
    next_look: Millis,
    /// Words on nodes, for the choice of nodes where the settings say so.
    pub hints: VecDeque<Verdict>,
    buffer: Vec<u8>,
    left: bool,
}

impl Fleet {
    /// Binds the socket. `waits`: another process of this gateway still has it and will let it go.
    ///
    /// # Errors
    /// When the address cannot be had or the settings cannot be used.
    pub fn new(io: &Io, config: &Config, seed: u64, waits: bool) -> anyhow::Result<Option<Self>> {
        let Some(settings) = config.link.clone() else { return Ok(None) };
        let (now, number) = (awake_or_not(), config.decisions.gateway_index);
        let incarnation = seed | 1;
        let link = Link::new(now, link_settings(&settings, number, incarnation))?;
        let mut new = Self {
            number,
            path: config.path.clone(),
            socket: None,
            retry: now,
            link,
            leases: None,
            tasks: BTreeMap::new(),
            calls: CallSchedule::default(),
            out: slab::Slab::new(),
            tally: BTreeMap::new(),
            suspects: None,
            next_look: now,
            hints: VecDeque::new(),
            buffer: vec![0; MAX_DATAGRAM_BYTES + 1],
            left: false,
            settings,
        };
        if let Err(error) = new.bind(io)
            && !waits
        {
            anyhow::bail!("fleet.link.listen: cannot listen on {}: {error}", new.settings.listen);
        }
        if let Some(leases) = &config.leases {
            new.leases = Some(Leases::new(now, lease_settings(leases, &new.settings, number, incarnation))?);
            new.take_tasks(now, leases);
        }
        Ok(Some(new))
    }

    fn bind(&mut self, io: &Io) -> std::io::Result<()> {
        let socket = UdpSocket::bind(self.settings.listen)?;
        socket.set_nonblocking(true)?;
        io.poller.add(&socket, Token::Link.pack(), Interest::READ)?;
        tracing::info!(target: "doorcourse::fleet", address = %socket.local_addr()?, "link up");
        self.socket = Some(socket);
        Ok(())
    }

    fn take_tasks(&mut self, now: Millis, leases: &FleetLeases) {
        self.tasks = leases.tasks.iter().map(|t| (task_of(&t.name), t.clone())).collect();
        let calls =
            |(task, t): (&TaskId, &FleetTask)| (*task, CallSettings { interval: t.every, duration: t.needs });
        self.calls.configure(now, &self.tasks.iter().map(calls).collect());
        self.tally.retain(|task, _| self.tasks.contains_key(task));
        let number = self.number;
        self.suspects = leases.suspects.map(|s| {
            let FleetSuspects { every, share, keep, .. } = s;
            let settings = doorcourse_outlier_gossip::Settings {
                gateway: number,
                probe_interval: every,
                max_outlier_fraction: share,
                retention: keep,
            };
            let mut suspects =
                self.suspects.take().map_or_else(|| OutlierGossip::new(settings), |(old, _)| old);
            suspects.configure(settings);
            (suspects, s)
        });
    }

    /// Changed settings: peers, secrets, voters, tasks.
    pub fn configure(&mut self, io: &mut Io, config: &Config) {
        let (now, Some(settings)) = (awake_or_not(), config.link.clone()) else { return };
        if let Err(fault) = self.link.configure(now, link_settings(&settings, self.number, 1)) {
            return tracing::error!(target: "doorcourse::fleet", %fault, "the old link stays");
        }
        self.settings = settings;
        if let Some(leases) = &config.leases {
            self.take_tasks(now, leases);
            let fleet = fleet(&self.settings, self.number);
            let tasks = tasks(leases);
            self.tell(io, now, Input::TasksChanged { tasks, gateways: fleet });
            self.tell(io, now, Input::VotersChanged(leases.voters.clone()));
        }
    }

    /// The gateway leaves: what it holds is given back, and the socket is let go for who takes over.
    pub fn leave(&mut self, io: &mut Io) {
        if !std::mem::replace(&mut self.left, true) {
            self.tell(io, awake_or_not(), Input::ShutdownStarted);
            self.out.clear();
            self.socket = None;
        }
    }

    /// How long until something is due, in ms.
    pub fn due(&self) -> f64 {
        if self.left {
            return f64::INFINITY;
        }
        let now = awake_or_not();
        let retry = if self.socket.is_none() { self.retry } else { Millis::MAX };
        let leases = self
            .leases
            .as_ref()
            .map_or(Millis::MAX, |l| l.next_timeout().min(self.calls.next_timeout(now, l)));
        let look = if self.suspects.is_some() { self.next_look } else { Millis::MAX };
        let trial = self.out.iter().filter_map(|(_, c)| match c.what {
            What::Trial(_, until) => Some(until),
            What::Task(_) => None,
        });
        let due =
            self.link.next_timeout().min(retry).min(leases).min(look).min(trial.min().unwrap_or(Millis::MAX));
        if due == Millis::MAX { f64::INFINITY } else { due.saturating_sub(now) as f64 }
    }

    pub fn tick(&mut self, io: &mut Io) {
        if self.left {
            return;
        }
        let now = awake_or_not();
        if self.socket.is_none() && now >= self.retry {
            self.retry = now + RETRY;
            let _ = self.bind(io);
        }
        let mut told = Vec::new();
        self.link.tick(now, &mut told);
        told.into_iter().for_each(log);
        if self.leases.as_ref().is_some_and(|l| l.next_timeout() <= now) {
            self.tell(io, now, Input::Tick);
        }
        for task in self.calls.overdue(now) {
            self.end(now, task, "not answered in time");
        }
        self.late_trials(now);
        let begin = self.leases.as_ref().map(|l| self.calls.start_due(now, l)).unwrap_or_default();
        for permit in begin {
            self.begin(io, now, permit.task);
        }
    }

    fn tell(&mut self, io: &mut Io, now: Millis, input: Input) {
        let Some(leases) = &mut self.leases else { return };
        let mut outputs = Vec::new();
        leases.handle(now, io.now() as u64, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(io, now, to, &message),
                Output::Acquired(gain) => {
                    let (task, token) = (self.name(gain.task), gain.token);
                    tracing::info!(target: "doorcourse::fleet", task, token, "lease gained");
                }
                Output::Lost(LostLease { task, token, released: given_back }) => {
                    let name = self.name(task);
                    tracing::info!(target: "doorcourse::fleet", task = name, token, given_back, "lease lost");
                    self.end(now, task, "the lease is lost");
                }
                Output::AcquisitionFailed { task, last_refusal: last } => {
                    let (task, by, why) = (self.name(task), last.map(|l| l.voter), last.map(|l| l.reason));
                    // That another has it is how things are.
                    if matches!(why, Some(Refusal::HeldByOther { .. })) {
                        tracing::debug!(target: "doorcourse::fleet", task, by, ?why, "lease refused");
                    } else {
                        tracing::info!(target: "doorcourse::fleet", task, by, ?why, "lease refused");
                    }
                }
                Output::VotersInForce(version) => {
                    tracing::info!(target: "doorcourse::fleet", version, "voters in force")
                }
                Output::VotersRejected(fault) => {
                    tracing::error!(target: "doorcourse::fleet", %fault, "the old voters stay")
                }
            }
        }
    }

    fn name(&self, task: TaskId) -> &str {
        let own = if task == task_of(SUSPECTS) { SUSPECTS } else { "" };
        self.tasks.get(&task).map_or(own, |t| &t.name)
    }

    fn send(&mut self, io: &Io, now: Millis, to: GatewayNumber, message: &Message) {
        let out = self.link.send(now, io.now() as u64, to, LEASES, encode(message));
        out.into_iter().for_each(|out| self.put(&out));
    }

    /// A datagram that does not leave at once is one that was lost.
    fn put(&self, out: &OutgoingDatagram) {
        if let Some(socket) = &self.socket {
            let _ = socket.send_to(&out.bytes, out.to);
        }
    }

    /// Datagrams came.
    pub fn ready(&mut self, io: &mut Io) {
        for _ in 0..TURN {
            let Some(socket) = &self.socket else { return };
            // The clock is read after the datagram: what it says is older than `now`.
            let Ok((length, _)) = socket.recv_from(&mut self.buffer) else { return };
            let now = awake_or_not();
            let (mut hellos, mut told) = (Vec::new(), Vec::new());
            let bytes = &self.buffer[..length];
            let heard = self.link.receive(now, io.now() as u64, bytes, &mut hellos, &mut told);
            hellos.iter().for_each(|out| self.put(out));
            told.into_iter().for_each(log);
            let Some(heard) = heard else { continue };
            if heard.channel == SUSPECT {
                if let (Some(message), Some((suspects, _))) =
                    (doorcourse_outlier_gossip::decode(&heard.payload), &mut self.suspects)
                {
                    let mut outputs = Vec::new();
                    let from = heard.sender;
                    suspects.handle(
                        now,
                        doorcourse_outlier_gossip::Input::MessageReceived { from, message },
                        &mut outputs,
                    );
                    self.suspected(io, now, outputs, &[]);
                }
            } else if heard.channel == LEASES {
                match decode(&heard.payload) {
                    Ok(message) => {
                        let (from, incarnation) = (heard.sender, heard.incarnation);
                        self.tell(io, now, Input::MessageReceived { from, incarnation, message });
                    }
                    Err(fault) => {
                        tracing::debug!(target: "doorcourse::fleet", from = heard.sender, %fault, "dropped")
                    }
                }
            }
        }
    }

    // ---- Calls ----

    fn begin(&mut self, io: &mut Io, now: Millis, task: TaskId) {
        let Some(address) = self.tasks.get(&task).map(|t| t.address) else { return };
        if !self.connect(io, address, What::Task(task)) {
            self.ended(now, task, "no connection");
        }
    }

    fn connect(&mut self, io: &mut Io, address: std::net::SocketAddr, what: What) -> bool {
        let generation = io.generation();
        let entry = self.out.vacant_entry();
        let token = Token::Call(entry.key(), generation).pack();
        let made = connect(address).and_then(|socket| {
            io.poller.add(&socket, token, Interest::BOTH)?;
            Ok(socket)
        });
        match made {
            Ok(socket) => {
                let decoder = Decoder::new(Role::Responses, ANSWER);
                entry.insert(Call { what, socket, generation, written: false, decoder, status: 0 });
                true
            }
            Err(_) => false,
        }
    }

    pub fn call_ready(&mut self, io: &mut Io, slot: usize, generation: u32, ready: Ready) {
        let now = awake_or_not();
        let Some(call) = self.out.get_mut(slot).filter(|c| c.generation == generation) else { return };
        let what = call.what.clone();
        if !call.written {
            if !ready.write && !ready.broken {
                return;
            }
            if call.socket.finish_connect().is_err() {
                return self.over(now, &what, "no connection");
            }
            let task = match &what {
                What::Task(task) => *task,
                What::Trial(..) => return self.write_trial(io, now, slot, generation, &what),
            };
            let leaves = self.leases.as_ref().and_then(|l| self.calls.authorize_write(now, l, task));
            let Some(AuthorizedCall { permit, deadline: until }) = leaves else {
                self.tally.entry(task).or_default()[2] += 1;
                return self.end(now, task, "the lease is too short");
            };
            let Some(wanted) = self.tasks.get(&task) else { return };
            // For a receiver that knows no tokens: by when, on the clock that machines agree on.
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            let head = format!(
                "POST {} HTTP/1.1\r\nhost: {}\r\ncontent-length: 0\r\nconnection: close\r\ntask: {}\r\ngateway: {}\r\n\
                 fencing-token: {}\r\nact-deadline: {}\r\n\r\n",
                wanted.path,
                wanted.address,
                wanted.name,
                self.number,
                permit.token,
                wall + (until - now)
            );
            call.written = true;
            call.socket.output().extend_from_slice(head.as_bytes());
            #[cfg(feature = "pause-before-write")]
            if permit.token.wrapping_add(u64::from(generation)).is_multiple_of(40) {
                let _ =
                    rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::STOP);
            }
            if call.socket.flush() != Flow::Open || call.socket.pending() > 0 {
                return self.end(now, task, "cannot be written");
            }
            let _ = io.poller.change(&call.socket, Token::Call(slot, generation).pack(), Interest::READ);
            return;
        }
        let (_, flow) = call.socket.read();
        loop {
            let (took, part) = match call.decoder.decode(&call.socket.input) {
                Ok(read) => read,
                Err(_) => return self.over(now, &what, "an answer that cannot be read"),
            };
            let (status, over) = match part {
                Some(Part::Head(head)) => (head.status, false),
                Some(Part::End) => (call.status, true),
                Some(Part::Data(_)) => (call.status, false),
                None => {
                    call.socket.consume(took);
                    break;
                }
            };
            call.status = status;
            call.socket.consume(took);
            if over {
                let good = match what {
                    What::Task(_) => (200..300).contains(&status),
                    What::Trial(..) => doorcourse_outlier_gossip::is_well(status),
                };
                return self.over(now, &what, if good { "" } else { "answered otherwise" });
            }
        }
        if flow != Flow::Open {
            self.over(now, &what, "broken");
        }
    }

    fn over(&mut self, now: Millis, what: &What, why: &str) {
        match what {
            What::Task(task) => self.end(now, *task, why),
            What::Trial(node, _) => self.tried(now, node, why),
        }
    }

    // ---- Suspect nodes ----

    /// Whether the suspects are to be told how the decisions see the nodes.
    pub fn wants_view(&self) -> bool {
        !self.left && self.suspects.is_some() && awake_or_not() >= self.next_look
    }

    /// The decisions see the nodes so.
    pub fn view(&mut self, io: &mut Io, seen: Vec<NodeStatus>, nodes: &[Node]) {
        let now = awake_or_not();
        let Some((suspects, settings)) = &mut self.suspects else { return };
        self.next_look = now + (settings.every / 2).max(10);
        let needs = settings.timeout;
        let held = self.leases.as_ref().and_then(|l| l.may_act(now, task_of(SUSPECTS), needs).ok());
        let (mut outputs, held) = (Vec::new(), held.map(|p| p.token));
        suspects.handle(
            now,
            doorcourse_outlier_gossip::Input::Tick { nodes: seen, lease_token: held },
            &mut outputs,
        );
        self.suspected(io, now, outputs, nodes);
    }

    fn suspected(
        &mut self, io: &mut Io, now: Millis, outputs: Vec<doorcourse_outlier_gossip::Output>, nodes: &[Node],
    ) {
        for output in outputs {
            match output {
                doorcourse_outlier_gossip::Output::Broadcast(message) => {
                    let payload = doorcourse_outlier_gossip::encode(&message);
                    for to in self.link.peer_numbers() {
                        let out = self.link.send(now, io.now() as u64, to, SUSPECT, payload.clone());
                        out.into_iter().for_each(|out| self.put(&out));
                    }
                }
                doorcourse_outlier_gossip::Output::SendProbe(node) => {
                    let address = nodes.iter().find(|n| *n.entry.name == *node).map(|n| n.address);
                    let until = now + self.suspects.as_ref().map_or(0, |(_, s)| s.timeout);
                    let made =
                        address.is_some_and(|to| self.connect(io, to, What::Trial(node.clone(), until)));
                    if !made {
                        self.tried(now, &node, "no connection");
                    }
                }
                doorcourse_outlier_gossip::Output::VerdictChanged(word) => {
                    let Verdict { node, is_outlier: bad, age_ms: age, reporting_gateways: gateways, .. } =
                        &word;
                    tracing::info!(target: "doorcourse::fleet", node, bad, age, gateways, "word on a node");
                    if self.suspects.as_ref().is_some_and(|(_, s)| s.apply) {
                        self.hints.push_back(word);
                    }
                }
            }
        }
    }

    /// A request that asks for nothing: whoever speaks HTTP answers it, and nothing is done.
    fn write_trial(&mut self, io: &mut Io, now: Millis, slot: usize, generation: u32, what: &What) {
        let Some(call) = self.out.get_mut(slot) else { return };
        call.written = true;
        let body = "{\"query\":\"{__typename}\"}";
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n{body}",
            self.path,
            body.len()
        );
        call.socket.output().extend_from_slice(head.as_bytes());
        if call.socket.flush() != Flow::Open || call.socket.pending() > 0 {
            return self.over(now, what, "cannot be written");
        }
        let _ = io.poller.change(&call.socket, Token::Call(slot, generation).pack(), Interest::READ);
    }

    fn tried(&mut self, now: Millis, node: &str, why: &str) {
        let slot =
            self.out.iter().find(|(_, c)| matches!(&c.what, What::Trial(n, _) if n == node)).map(|(s, _)| s);
        slot.into_iter().for_each(|slot| drop(self.out.remove(slot)));
        let good = why.is_empty();
        tracing::info!(target: "doorcourse::fleet", node, good, why, "suspect node tried");
        if let Some((suspects, _)) = &mut self.suspects {
            let tried =
                doorcourse_outlier_gossip::Input::ProbeFinished { node: node.to_owned(), succeeded: good };
            suspects.handle(now, tried, &mut Vec::new());
        }
        // What was found is told at the next look, which comes at once.
        self.next_look = now;
    }

    fn late_trials(&mut self, now: Millis) {
        let late = |c: &Call| matches!(c.what, What::Trial(_, until) if until <= now);
        let late: Vec<What> = self.out.iter().filter(|(_, c)| late(c)).map(|(_, c)| c.what.clone()).collect();
        late.iter().for_each(|what| self.over(now, what, "no answer in time"));
    }

    /// A call is over; without a cause it was good.
    fn end(&mut self, now: Millis, task: TaskId, why: &str) {
        let slot = self.out.iter().find(|(_, c)| c.what == What::Task(task)).map(|(slot, _)| slot);
        if let Some(slot) = slot {
            self.out.remove(slot);
            self.ended(now, task, why);
        }
    }

    fn ended(&mut self, now: Millis, task: TaskId, why: &str) {
        self.calls.finish(now, task);
        self.tally.entry(task).or_default()[usize::from(!why.is_empty())] += 1;
        if !why.is_empty() {
            tracing::info!(target: "doorcourse::fleet", task = self.name(task), why, "call failed");
        }
    }

    // ---- For people ----

    /// A task goes to another gateway; why not, if not.
    pub fn hand_over(&mut self, io: &mut Io, name: &str, to: GatewayNumber) -> Result<(), String> {
        let now = awake_or_not();
        let task = task_of(name);
        let held = self.leases.iter().flat_map(|l| l.statuses(now)).find(|v| v.task == task);
        match held.map(|v| v.stage) {
            None => return Err(format!("`{name}` is no task of the settings")),
            Some(LeaseStage::Held(_)) => {}
            Some(_) => {
                return Err(format!("`{name}` is not held by this gateway: ask its holder (ctl leases)"));
            }
        }
        if !self.settings.peers.contains_key(&to) {
            return Err(format!("gateway {to} is not among fleet.link.peers"));
        }
        self.tell(io, now, Input::TransferRequested { task, to });
        Ok(())
    }

    pub fn peers(&self) -> Value {
        let one = |v: doorcourse_peers::PeerStatus| {
            json!({"gateway": v.gateway, "address": self.settings.peers.get(&v.gateway).map(ToString::to_string),
                "heard_ms_ago": v.last_received_ago, "silent": v.unreachable, "round_trip_ms": v.round_trip.map(round),
                "clock_ahead_ms": v.clock_offset.map(round), "taken": v.received, "lost": v.lost, "sent": v.sent})
        };
        let drops: BTreeMap<_, _> = self.link.drops().by_name().collect();
        let address = self.socket.as_ref().and_then(|s| s.local_addr().ok()).map(|a| a.to_string());
        json!({"address": address, "peers": self.link.statuses(awake_or_not()).map(one).collect::<Vec<_>>(), "dropped": drops})
    }

    pub fn leases(&self) -> Value {
        let now = awake_or_not();
        let Some(leases) = &self.leases else { return Value::Null };
        let one = |view: LeaseStatus| {
            let name = self.name(view.task);
            let (stage, ms) = match view.stage {
                LeaseStage::Waiting(ms) => ("waiting", ms),
                LeaseStage::Acquiring(_) => ("asking", 0),
                LeaseStage::Held(ms) => ("held", ms),
            };
            let [good, failed, kept_back] = self.tally.get(&view.task).copied().unwrap_or_default();
            // Tokens are beyond what JSON readers take for a whole number.
            json!({"task": name, "here": stage, "ms": ms, "token": view.token.map(|t| t.to_string()),
                "granted_to": view.granted.map(|g| g.holder), "granted_token": view.granted.map(|g| g.token.to_string()),
                "granted_ms": view.granted.map(|g| g.remaining),
                "refused_by": view.last_refusal.map(|r| r.voter), "refused": view.last_refusal.map(|r| refusal_text(r.reason)),
                "calls_good": good, "calls_failed": failed, "calls_kept_back": kept_back})
        };
        json!({"gateway": self.number, "votes": leases.is_voting(now), "voters_version": leases.voters_version(),
            "tasks": leases.statuses(now).map(one).collect::<Vec<_>>()})
    }

    pub fn seen(&self) -> Seen {
        let now = awake_or_not();
        let held = |v: LeaseStatus| (self.name(v.task).to_owned(), matches!(v.stage, LeaseStage::Held(_)));
        Seen {
            peers: self.link.statuses(now).map(PeerMetrics::from).collect(),
            drops: self.link.drops().by_name().collect(),
            held: self.leases.iter().flat_map(|l| l.statuses(now)).map(held).collect(),
            calls: self.tally.iter().map(|(task, tally)| (self.name(*task).to_owned(), *tally)).collect(),
        }
    }
}

/// A refusal as admin replies spell it.
fn refusal_text(refusal: Refusal) -> String {
    match refusal {
        Refusal::NotVoting => "Silent".into(),
        Refusal::VersionMismatch => "Version".into(),
        Refusal::HeldByOther { holder: by, remaining: left } => format!("Held {{ by: {by}, left: {left} }}"),
        Refusal::StaleToken => "Token".into(),
        Refusal::LeaseTooLong => "Length".into(),
        Refusal::TooManyTasks => "Full".into(),
    }
}

impl From<PeerStatus> for PeerMetrics {
    fn from(status: PeerStatus) -> Self {
        Self {
            number: status.gateway,
            heard: status.last_received_ago,
            round_trip: status.round_trip,
            clock: status.clock_offset,
            taken: status.received,
            lost: status.lost,
        }
    }
}

fn round(ms: f64) -> f64 {
    (ms * 10.0).round() / 10.0
}

fn log(told: PeerEvent) {
    match told {
        PeerEvent::Up(peer) => tracing::info!(target: "doorcourse::fleet", peer, "peer heard"),
        PeerEvent::Restarted(peer) => {
            tracing::info!(target: "doorcourse::fleet", peer, "peer was started again")
        }
        PeerEvent::Unreachable(peer) => tracing::warn!(target: "doorcourse::fleet", peer, "peer silent"),
    }
}

fn fleet(settings: &FleetLink, number: GatewayNumber) -> BTreeSet<GatewayNumber> {
    settings.peers.keys().copied().chain([number]).collect()
}

fn tasks(leases: &FleetLeases) -> Vec<TaskId> {
    let own = leases.suspects.map(|_| task_of(SUSPECTS));
    leases.tasks.iter().map(|t| task_of(&t.name)).chain(own).collect()
}

fn link_settings(settings: &FleetLink, number: GatewayNumber, incarnation: u64) -> LinkSettings {
    let FleetLink { peers, secrets, fleet, silence, .. } = settings.clone();
    LinkSettings {
        fleet: fleet_of(&fleet),
        gateway: number,
        incarnation,
        peers,
        secrets,
        unreachable_after: silence,
    }
}

fn lease_settings(
    leases: &FleetLeases, link: &FleetLink, number: GatewayNumber, incarnation: u64,
) -> LeaseSettings {
    LeaseSettings {
        gateway: number,
        incarnation,
        seed: incarnation,
        lease_duration: leases.length,
        max_lease_duration: leases.length,
        clock_drift_ppm: leases.drift,
        gateways: fleet(link, number),
        voters: leases.voters.clone(),
        tasks: tasks(leases),
    }
}

#[cfg(test)]
mod tests;
