//! The event loop: who is ready, whose time has come, and the clients' connections.

use crate::admin::{Admin, Asker};
use crate::counter::{Own, counted, link};
use crate::front::{self, Caller, Reply};
use crate::nodes::{ListFile, Pools, entries};
use crate::serve::{NodeConnection, Request};
use crate::state::StateFile;
use anyhow::Context;
use doorcourse::{Action, Event, Name, RequestId};
use doorcourse_config::{Change, Config, Node, compare};
use doorcourse_exchange::{Accounts, Bounds, Held};
use doorcourse_http::{Decoder, Framing, Limits as HttpLimits, Part, Role};
use doorcourse_lifecycle::{Input, Life, Out, Output};
use doorcourse_net::{Clock, Flow, Interest, Poller, Ready, Socket, Timers, connect, listen};
use doorcourse_resp::{Link, LinkAction};
use slab::Slab;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::{Arc, mpsc};
use std::time::Duration;

/// What a gateway is started with.
pub struct Start<'a> {
    /// The settings.
    pub config: Config,
    /// The folder that files named in the settings are relative to.
    pub folder: &'a Path,
    /// The seed of the decisions; `None` takes one by chance.
    pub seed: Option<u64>,
    /// Reads the settings again; without it there is no reload.
    pub reread: Option<Reread>,
    /// Take the listening sockets over from the process that serves at the admin socket.
    pub take_over: bool,
}

/// Reads the settings again, or says every fault.
pub type Reread = Arc<dyn Fn() -> Result<Config, String> + Send + Sync>;

/// Settings that were read beside the loop, and the difference that they make.
type Read = Result<(Config, Change), String>;

/// What a registration belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    Listener(usize),
    Client(usize, u32),
    Node(usize, u32),
    Counter(u32),
    Signal,
    Reload,
    Admin,
    Peer(usize, u32),
}

impl Token {
    /// Slots are used again within one round of readiness; the generation tells the old from the new.
    pub(crate) fn pack(self) -> u64 {
        let (kind, slot, generation) = match self {
            Self::Listener(slot) => (1, slot, 0),
            Self::Client(slot, generation) => (2, slot, generation),
            Self::Node(slot, generation) => (3, slot, generation),
            Self::Counter(generation) => (4, 0, generation),
            Self::Signal => (5, 0, 0),
            Self::Reload => (6, 0, 0),
            Self::Admin => (7, 0, 0),
            Self::Peer(slot, generation) => (8, slot, generation),
        };
        kind << 60 | u64::from(generation & 0x0fff_ffff) << 32 | slot as u64
    }

    fn unpack(token: u64) -> Self {
        let (slot, generation) = ((token & 0xffff_ffff) as usize, (token >> 32 & 0x0fff_ffff) as u32);
        match token >> 60 {
            1 => Self::Listener(slot),
            2 => Self::Client(slot, generation),
            3 => Self::Node(slot, generation),
            4 => Self::Counter(generation),
            6 => Self::Reload,
            7 => Self::Admin,
            8 => Self::Peer(slot, generation),
            _ => Self::Signal,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Alarm {
    Decision(u64),
    TimeUp(RequestId),
    Client(usize, u32),
    NodeIdle(usize, u32),
    NodeList,
    State,
}

/// Where a client's connection stands.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Between requests, or in a head.
    Head,
    /// In a body.
    Body(Box<Caller>),
    /// A request is with the decisions, or its answer on the way.
    Answering(RequestId),
    /// Everything was said; what the client still sends is read over, so that it reads our last words.
    Lingering,
}

#[derive(Debug)]
pub(crate) struct Client {
    pub socket: Socket,
    pub generation: u32,
    decoder: Decoder,
    pub phase: Phase,
    body: Vec<u8>,
    /// When the head of the present request came.
    pub head_at: f64,
    /// Whether the connection may carry another request after this one.
    pub keep_alive: bool,
    pub minor: u8,
    /// How the answer that is being passed on is framed.
    pub framing: Framing,
    /// When the connection's patience with the client ends.
    until: f64,
    interest: Interest,
    /// What it holds, for the accounts; whose it is; whether its client took some since they were told.
    held: Held,
    customer: Option<Name>,
    taken: bool,
    /// When it is looked at whether its client still reads.
    cut_alarm: f64,
    /// Close once all is written.
    pub closing: bool,
}

pub(crate) struct CounterConnection {
    socket: Socket,
    generation: u32,
    connected: bool,
    interest: Interest,
}

pub(crate) enum CounterSide {
    Own(Own),
    Shared {
        settings: doorcourse_config::Counter,
        link: Box<Link>,
        connection: Option<CounterConnection>,
        due: f64,
    },
}

/// A running gateway.
pub struct Gateway {
    pub(crate) config: Arc<Config>,
    pub(crate) clock: Clock,
    pub(crate) poller: Poller,
    pub(crate) timers: Timers<Alarm>,
    pub(crate) decision: doorcourse::Gateway,
    pub(crate) events: VecDeque<Event>,
    pub(crate) actions: Vec<Action>,
    pub(crate) listeners: Vec<TcpListener>,
    pub(crate) clients: Slab<Client>,
    pub(crate) nodes: Slab<NodeConnection>,
    pub(crate) pools: Pools,
    list: Option<ListFile>,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) next_request: RequestId,
    pub(crate) name: String,
    pub(crate) counter: CounterSide,
    pub(crate) generation: u32,
    pub(crate) claims_told: HashSet<doorcourse::Name>,
    /// What is held for clients.
    pub(crate) accounts: Accounts,
    signal: UnixStream,
    wake: UnixStream,
    reload_signal: UnixStream,
    reload_wake: UnixStream,
    pub(crate) life: Life,
    /// When a client's byte was heard last.
    spoke_at: f64,
    /// Clients are told to go with their next answer.
    pub(crate) going: bool,
    ended: bool,
    /// Counter calls that have not ended.
    pub(crate) calls_out: usize,
    pub(crate) admin: Option<Admin>,
    reread: Option<Reread>,
    /// Settings being read; whoever asked meanwhile has them read once more behind that.
    reading: Option<mpsc::Receiver<Read>>,
    read_again: bool,
    /// What was read and waits for the life cycle's word.
    read: Option<(Config, Change)>,
    /// Who waits for this reading, and for the next: connection, the call's id, whether it only asks.
    askers: Vec<Asker>,
    next_askers: Vec<Asker>,
    /// Nodes that a person drained here, whatever the list says.
    pub(crate) drained: BTreeSet<Name>,
    listed: Vec<Node>,
    state_file: Option<(StateFile, f64)>,
    state_fails: bool,
    /// The old process, until this one serves.
    old: Option<UnixStream>,
    spare: Option<std::fs::File>,
}

/// Does what signals do, for a gateway that runs in another thread.
#[derive(Debug)]
pub struct Stopper {
    stop: UnixStream,
    reload: UnixStream,
}

impl Stopper {
    /// Stops it in order: what is out is answered first, as far as its time allows. A second time: at once.
    pub fn stop(&self) {
        let _ = std::io::Write::write(&mut &self.stop, &[1]);
    }

    /// Has it read its settings again.
    pub fn reload(&self) {
        let _ = std::io::Write::write(&mut &self.reload, &[1]);
    }
}

/// What the reading thread writes to the pipe of SIGHUP; signals and `Stopper` write other bytes.
const READ: u8 = 0xff;
/// Input of one client that is held while its request is answered: pipelining, but not without bound.
const PIPELINED: usize = 16 << 10;
/// How long a client that was told to go may still talk, in ms.
const LINGER: f64 = 1000.0;

impl Gateway {
    /// Binds the listeners and takes the first node list; nothing is served before `run`.
    ///
    /// # Errors
    /// When an address cannot be had or the node list cannot be read.
    pub fn new(start: Start) -> anyhow::Result<Self> {
        let Start { config, folder, seed, reread, take_over } = start;
        let poller = Poller::new()?;
        let clock = Clock::default();
        let seed = seed.unwrap_or_else(chance);
        let decision = doorcourse::Gateway::new(config.decisions.clone(), seed)?;
        let admin_path = config.admin.as_ref().map(|p| folder.join(p));
        let (mut listeners, mut old) = (Vec::new(), None);
        if take_over {
            let path = admin_path.as_ref().context("to take over, the settings must have admin.socket")?;
            let (passed, stream) = crate::admin::take_over(path)?;
            anyhow::ensure!(
                passed.len() == config.listen.len(),
                "the old process passed {} sockets, the settings listen at {}",
                passed.len(),
                config.listen.len()
            );
            (listeners, old) = (passed, Some(stream));
        } else {
            for address in &config.listen {
                let made =
                    listen(*address).map_err(|e| anyhow::anyhow!("cannot listen on {address}: {e}"))?;
                listeners.push(made);
            }
        }
        for (at, listener) in listeners.iter().enumerate() {
            poller.add(listener, Token::Listener(at).pack(), Interest::READ)?;
        }
        let admin = admin_path.map(|path| Admin::bind(&path, take_over)).transpose()?;
        if let Some(admin) = &admin {
            poller.add(admin.fd(), Token::Admin.pack(), Interest::READ)?;
        }
        let (reload_wake, reload_signal) = UnixStream::pair()?;
        reload_signal.set_nonblocking(true)?;
        reload_wake.set_nonblocking(true)?;
        poller.add(&reload_signal, Token::Reload.pack(), Interest::READ)?;
        let number = config.decisions.number;
        let state_file = config.state.as_ref().map(|s| {
            let (path, longest_age) = (folder.join(&s.file), s.longest_age);
            (StateFile { path, longest_age, number }, s.every)
        });
        let (wake, signal) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        poller.add(&signal, Token::Signal.pack(), Interest::READ)?;
        let counter = match &config.counter {
            None => CounterSide::Own(Own::default()),
            Some(settings) => {
                let link = Box::new(link(settings));
                CounterSide::Shared { settings: settings.clone(), link, connection: None, due: 0.0 }
            }
        };
        let name = format!("g{}-{:x}", config.decisions.number, clock.now() as u64);
        let config = Arc::new(config);
        let mut gateway = Self {
            clock,
            poller,
            timers: Timers::default(),
            decision,
            events: VecDeque::new(),
            actions: Vec::new(),
            listeners,
            clients: Slab::new(),
            nodes: Slab::new(),
            pools: Pools::default(),
            list: config.node_list.as_ref().map(|(file, poll)| ListFile::new(folder.join(file), *poll)),
            requests: HashMap::new(),
            next_request: 0,
            name,
            counter,
            generation: 0,
            claims_told: HashSet::new(),
            accounts: Accounts::new(bounds(&config)),
            signal,
            wake,
            reload_signal,
            reload_wake,
            life: Life::new(times(&config)),
            spoke_at: clock.now(),
            going: false,
            ended: false,
            calls_out: 0,
            admin,
            reread,
            reading: None,
            read_again: false,
            read: None,
            askers: Vec::new(),
            next_askers: Vec::new(),
            drained: BTreeSet::new(),
            listed: Vec::new(),
            state_file,
            state_fails: false,
            old,
            spare: std::fs::File::open("/dev/null").ok(),
            config,
        };
        if gateway.list.is_some() {
            gateway.look_at_list()?;
        } else {
            let nodes = gateway.config.nodes.clone();
            gateway.take_list(&nodes);
        }
        gateway.remember();
        Ok(gateway)
    }

    /// Stops in order at SIGTERM and SIGINT, at once at a second one; reads the settings again at SIGHUP.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn stop_at_signals(&self) -> std::io::Result<()> {
        for number in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::low_level::pipe::register(number, self.wake.try_clone()?)?;
        }
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGHUP, self.reload_wake.try_clone()?)?;
        Ok(())
    }

    /// A handle that stops the gateway in order from another thread.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn stopper(&self) -> std::io::Result<Stopper> {
        Ok(Stopper { stop: self.wake.try_clone()?, reload: self.reload_wake.try_clone()? })
    }

    /// Where clients are served.
    ///
    /// # Errors
    /// When a listener is gone.
    pub fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.listeners.iter().map(TcpListener::local_addr).collect()
    }

    /// Serves until told to stop.
    ///
    /// # Errors
    /// When waiting for readiness fails: nothing can be served then.
    pub fn run(&mut self) -> anyhow::Result<()> {
        for address in self.addresses()? {
            tracing::info!(%address, name = self.name, "serving");
        }
        self.life(Input::Ready);
        if let Some(old) = self.old.take() {
            crate::admin::taken_over(old)?;
        }
        let mut ready = Vec::new();
        loop {
            self.pump();
            while let Some(alarm) = self.timers.due(self.clock.now()) {
                self.alarm(alarm);
                self.pump();
            }
            let counter_due = self.counter_tick();
            self.pump();
            let (requests, clients) = (self.requests.len(), self.clients.len());
            let quiet = self.clock.now() - self.spoke_at;
            let out = Out { requests, clients, calls: self.calls_out, quiet };
            self.life(Input::Tick(out));
            self.pump();
            if self.ended {
                self.save_state();
                let c = doorcourse_net::counts();
                let (reads, writes, waits, changes, connects) =
                    (c.reads, c.writes, c.waits, c.changes, c.connects);
                let requests = self.next_request;
                tracing::info!(requests, reads, writes, waits, changes, connects, "stopped");
                return Ok(());
            }
            let life_due = self.life.due(self.clock.now());
            let first = self.timers.first().unwrap_or(f64::INFINITY).min(counter_due).min(life_due);
            let wait = if first.is_finite() { self.clock.until(first) } else { Duration::from_secs(3600) };
            self.poller.wait(Some(wait), &mut ready)?;
            for ready in ready.drain(..) {
                self.ready(ready);
                self.pump();
            }
        }
    }

    /// Tells the decisions all that happened, in its order, and carries out what each answers.
    pub(crate) fn pump(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            if let Event::Counted { .. } = event {
                self.calls_out = self.calls_out.saturating_sub(1);
            }
            self.decision.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            self.actions = actions;
        }
    }

    fn ready(&mut self, ready: Ready) {
        match Token::unpack(ready.token) {
            Token::Listener(at) => self.accept(at),
            Token::Client(slot, generation) => {
                if self.clients.get(slot).is_some_and(|c| c.generation & 0x0fff_ffff == generation) {
                    self.client_ready(slot, ready);
                }
            }
            Token::Node(slot, generation) => {
                if self.nodes.get(slot).is_some_and(|n| n.generation & 0x0fff_ffff == generation) {
                    self.node_ready(slot, ready);
                }
            }
            Token::Counter(generation) => self.counter_ready(generation, ready),
            Token::Signal => {
                let mut bytes = [0; 16];
                // Each signal is one byte: two that come together are two.
                while let Ok(n @ 1..) = std::io::Read::read(&mut self.signal, &mut bytes) {
                    (0..n).for_each(|_| self.life(Input::Terminate));
                }
            }
            Token::Reload => {
                let mut bytes = [0; 16];
                let mut asked = false;
                while let Ok(n @ 1..) = std::io::Read::read(&mut self.reload_signal, &mut bytes) {
                    asked |= bytes[..n].iter().any(|b| *b != READ);
                }
                if asked {
                    self.life(Input::Reload);
                }
                self.reading_over();
            }
            Token::Admin => self.admin_accept(),
            Token::Peer(slot, generation) => {
                let known = self.admin.as_ref().and_then(|a| a.peers.get(slot));
                if known.is_some_and(|p| p.generation & 0x0fff_ffff == generation) {
                    self.peer_ready(slot);
                }
            }
        }
    }

    fn alarm(&mut self, alarm: Alarm) {
        match alarm {
            Alarm::Decision(token) => self.events.push_back(Event::Timer { token }),
            Alarm::TimeUp(id) => self.tell(id, doorcourse_exchange::Input::TimeUp),
            Alarm::Client(slot, generation) => self.client_time(slot, generation),
            Alarm::NodeIdle(slot, generation) => self.node_idle_over(slot, generation),
            Alarm::NodeList => {
                if let Err(error) = self.look_at_list() {
                    tracing::error!(%error, "node list not taken, the last one holds");
                }
            }
            Alarm::State => self.save_state(),
        }
    }

    // ---- The life of the process ----

    pub(crate) fn life(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.life.handle(self.clock.now(), input, &mut outputs);
        for output in outputs {
            match output {
                Output::Ready(ready) => tracing::info!(ready, "readiness"),
                Output::ClientsGo => self.going = true,
                Output::CloseListeners => self.listeners.clear(),
                Output::Reload => self.start_reading(),
                Output::TakeSettings => self.take_settings(),
                Output::RefuseReload(why) => {
                    let mut waiting = std::mem::take(&mut self.next_askers);
                    self.askers.append(&mut waiting);
                    self.reload_over(Err(why.to_string()));
                }
                Output::Pass { peer } => self.pass_listeners(peer),
                Output::RefuseTakeover { peer, why } => self.refuse_takeover(peer, &why.to_string()),
                Output::DropPeer { peer } => self.drop_peer(peer),
                Output::Leave => self.events.push_back(Event::Leaving),
                Output::AnswerAll => self.answer_all(),
                Output::End => self.ended = true,
                Output::Changed(state) => tracing::info!(
                    state = state.name(),
                    requests = self.requests.len(),
                    clients = self.clients.len(),
                    "life"
                ),
            }
        }
    }

    /// Ends what is left by the rules: an attempt that is out ends by its time, and the decisions give the final
    /// answer. They may try again, so each round ends one attempt more.
    fn answer_all(&mut self) {
        self.listeners.clear();
        while !self.requests.is_empty() {
            let open: Vec<RequestId> = self.requests.keys().copied().collect();
            open.into_iter().for_each(|id| self.tell(id, doorcourse_exchange::Input::TimeUp));
            self.pump();
        }
        let slots: Vec<usize> = self.clients.iter().map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| self.drop_client(slot));
    }

    /// Whoever asks on the admin socket is answered when the settings are read.
    pub(crate) fn ask_reload(&mut self, asker: Asker) {
        let (dry_run, busy) = (asker.dry_run, self.reading.is_some());
        if busy {
            self.next_askers.push(asker)
        } else {
            self.askers.push(asker)
        }
        if dry_run { self.start_reading() } else { self.life(Input::Reload) }
    }

    /// Reads and compares in a thread of its own: thousands of customers must not stop the loop.
    fn start_reading(&mut self) {
        if self.reading.is_some() {
            self.read_again = true;
            return;
        }
        let Some(reread) = self.reread.clone() else {
            return self.reload_over(Err("this gateway cannot read its settings again".into()));
        };
        let (told, receiver) = mpsc::channel();
        let (old, wake) = (Arc::clone(&self.config), self.reload_wake.try_clone());
        let started = std::thread::Builder::new().name("settings".into()).spawn(move || {
            let read = reread().map(|config| {
                let change = compare(&old, &config);
                (config, change)
            });
            let _ = told.send(read);
            // An empty word: the loop looks at the channel whenever this pipe speaks.
            let _ = wake.map(|w| std::io::Write::write(&mut &w, &[READ]));
        });
        match started {
            Ok(_) => self.reading = Some(receiver),
            Err(error) => self.reload_over(Err(error.to_string())),
        }
    }

    /// The settings are read.
    fn reading_over(&mut self) {
        let Some(read) = self.reading.as_ref().and_then(|r| r.try_recv().ok()) else { return };
        self.reading = None;
        let dry = !self.askers.is_empty() && self.askers.iter().all(|a| a.dry_run);
        match read {
            Err(why) => self.reload_over(Err(why)),
            Ok((_, change)) if dry => self.reload_over(Ok(change)),
            Ok((_, change)) if !change.refused.is_empty() => self.reload_over(Err(change.refused.join("; "))),
            Ok(read) => {
                self.read = Some(read);
                self.life(Input::ReloadRead);
            }
        }
        if std::mem::take(&mut self.read_again) {
            self.askers = std::mem::take(&mut self.next_askers);
            self.start_reading();
        }
    }

    /// Takes the settings that were read. A request under way keeps the schema that it was priced with.
    fn take_settings(&mut self) {
        let Some((mut config, change)) = self.read.take() else { return };
        let start = self.clock.now();
        if let Some(routing) = self.list.as_ref().and_then(|l| l.routing.clone()) {
            config.set_routing(routing);
        }
        self.events.push_back(Event::Settings(Box::new(config.decisions.clone())));
        self.life.change(times(&config));
        if let (Some(list), Some((_, poll))) = (&mut self.list, &config.node_list) {
            list.poll = *poll;
        }
        let nodes = config.nodes.clone();
        self.accounts.set_bounds(bounds(&config));
        self.config = Arc::new(config);
        if self.list.is_none() {
            self.take_list(&nodes);
        }
        self.pump();
        let stopped_ms = self.clock.now() - start;
        tracing::info!(changes = change.lines.join("; "), stopped_ms, "settings reloaded");
        self.reload_over(Ok(change));
    }

    fn reload_over(&mut self, told: Result<Change, String>) {
        let dry = !self.askers.is_empty() && self.askers.iter().all(|a| a.dry_run);
        if let (Err(why), false) = (&told, dry) {
            tracing::error!(why, "settings not reloaded, the old ones hold");
        }
        self.read = None;
        for asker in std::mem::take(&mut self.askers) {
            self.answer_reload(&asker, &told);
        }
    }

    /// Takes up what an earlier process of this gateway had learnt.
    fn remember(&mut self) {
        let now = self.clock.now();
        let Some((file, every)) = &self.state_file else { return };
        self.timers.set(now + every, Alarm::State);
        match file.read(now) {
            Ok(Some(nodes)) => {
                tracing::info!(nodes = nodes.len(), "state file taken");
                self.events.push_back(Event::Remembered(nodes));
            }
            Ok(None) => {}
            Err(why) => tracing::warn!(file = %file.path.display(), why, "state file left aside"),
        }
    }

    fn save_state(&mut self) {
        let now = self.clock.now();
        let Some((file, every)) = &self.state_file else { return };
        self.timers.set(now + every, Alarm::State);
        let failed = file.write(now, self.decision.backends()).err();
        // Told once for each change: a full disk stops nothing but this file.
        if failed.is_some() != std::mem::replace(&mut self.state_fails, failed.is_some()) {
            match failed {
                Some(error) => tracing::error!(file = %file.path.display(), %error, "state file not written"),
                None => tracing::info!(file = %file.path.display(), "state file written again"),
            }
        }
    }

    // ---- The node list ----

    fn look_at_list(&mut self) -> anyhow::Result<()> {
        let Some(list) = &mut self.list else { return Ok(()) };
        self.timers.set(self.clock.now() + list.poll, Alarm::NodeList);
        let looked = list.look();
        match looked {
            Some(Ok(file)) => {
                tracing::info!(nodes = file.nodes.len(), "node list taken");
                if let Some(routing) = &file.routing
                    && *routing != self.config.routing
                {
                    let mut config = Config::clone(&self.config);
                    config.set_routing(routing.clone());
                    self.events.push_back(Event::Settings(Box::new(config.decisions.clone())));
                    self.config = Arc::new(config);
                }
                if let Some(list) = &mut self.list {
                    list.routing.clone_from(&file.routing);
                }
                self.take_list(&file.nodes);
                Ok(())
            }
            Some(Err(error)) => Err(anyhow::anyhow!(error)),
            None => Ok(()),
        }
    }

    fn take_list(&mut self, nodes: &[Node]) {
        for slot in self.pools.update(nodes) {
            self.drop_node(slot);
        }
        self.listed = nodes.to_vec();
        self.events.push_back(Event::BackendList(entries(nodes, &self.drained)));
    }

    /// A person's word about one node here; `false` where there is no such node.
    pub(crate) fn drain_node(&mut self, name: &str, drain: bool) -> bool {
        let Some(node) = self.listed.iter().find(|n| *n.entry.name == *name) else { return false };
        let name = node.entry.name.clone();
        let changed = if drain { self.drained.insert(name.clone()) } else { self.drained.remove(&name) };
        if changed {
            tracing::info!(node = %name, drain, "node drained by hand");
            self.events.push_back(Event::BackendList(entries(&self.listed, &self.drained)));
        }
        true
    }

    // ---- Clients ----

    fn accept(&mut self, at: usize) {
        // Bounded, so that a flood of connections does not hold up those that are open.
        for _ in 0..64 {
            let Some(listener) = self.listeners.get(at) else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.raw_os_error().is_some_and(out_of_descriptors) => {
                    // Without a descriptor the listener would stay ready for ever: one kept for this takes the
                    // connection and closes it.
                    drop(self.spare.take());
                    let _ = listener.accept();
                    self.spare = std::fs::File::open("/dev/null").ok();
                    continue;
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            let Ok(mut socket) = Socket::new(stream) else { continue };
            if let Err(full) = self.accounts.accept(self.clients.len()) {
                let reply = front::full(full.text());
                front::write(socket.output(), &reply, false, None);
                socket.flush();
                continue;
            }
            self.generation = self.generation.wrapping_add(1);
            let (generation, limits) = (self.generation, &self.config.limits);
            let (line, head, fields, body) = (limits.line, limits.head, limits.fields, limits.body);
            let decoder = Decoder::new(Role::Requests, HttpLimits { line, head, fields, body });
            let entry = self.clients.vacant_entry();
            let slot = entry.key();
            if self.poller.add(&socket, Token::Client(slot, generation).pack(), Interest::READ).is_err() {
                continue;
            }
            let until = self.clock.now() + limits.idle_time.min(limits.head_time);
            entry.insert(Client {
                socket,
                generation,
                decoder,
                phase: Phase::Head,
                body: Vec::new(),
                head_at: 0.0,
                keep_alive: true,
                minor: 1,
                framing: Framing::None,
                until,
                interest: Interest::READ,
                held: Held::default(),
                customer: None,
                taken: false,
                cut_alarm: f64::INFINITY,
                closing: false,
            });
            self.timers.set(until, Alarm::Client(slot, generation));
        }
    }

    /// Sets when the connection's patience ends. An earlier alarm finds the later time and sets itself again.
    fn client_until(&mut self, slot: usize, after: f64) {
        let until = self.clock.now() + after;
        let Some(client) = self.clients.get_mut(slot) else { return };
        let sooner = until < client.until;
        client.until = until;
        if sooner {
            self.timers.set(until, Alarm::Client(slot, client.generation));
        }
    }

    fn client_time(&mut self, slot: usize, generation: u32) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(slot).filter(|c| c.generation == generation) else { return };
        if client.cut_alarm <= now {
            client.cut_alarm = f64::INFINITY;
            let cut = self.accounts.cut_at(&client.held);
            if cut <= now {
                tracing::debug!(customer = client.customer.as_deref(), "cut: its client does not read");
                client.socket.reset_on_close();
                return self.client_gone(slot);
            }
            if cut.is_finite() {
                client.cut_alarm = cut;
                self.timers.set(cut, Alarm::Client(slot, generation));
            }
        }
        if matches!(client.phase, Phase::Answering(_)) {
            // The request's own time rules; look again when it can be over.
            client.until = now + self.config.limits.idle_time;
        }
        if client.until > now {
            return self.timers.set(client.until, Alarm::Client(slot, generation));
        }
        let begun = client.decoder.in_message(!client.socket.input.is_empty());
        match client.phase {
            Phase::Head | Phase::Body(_) if begun => self.reply(slot, &front::too_slow()),
            _ => self.drop_client(slot),
        }
    }

    fn client_ready(&mut self, slot: usize, ready: Ready) {
        if ready.read {
            let Some(client) = self.clients.get_mut(slot) else { return };
            if let Phase::Lingering = client.phase {
                client.socket.input.clear();
            }
            let idle = client.socket.input.is_empty();
            let paused = !client.interest.read;
            let (count, flow) = if paused && ready.broken { (0, Flow::Broken) } else { client.socket.read() };
            if flow != Flow::Open {
                // A client that ends its side is taken as gone: it is how a tool that gives up looks.
                return self.client_gone(slot);
            }
            if count > 0 {
                self.spoke_at = self.clock.now();
            }
            if count > 0 && idle && matches!(client.phase, Phase::Head) {
                self.client_until(slot, self.config.limits.head_time);
            }
            self.client_input(slot);
        }
        if ready.write {
            self.flush_client(slot);
            // A request that waited until its client has read on.
            self.client_input(slot);
        }
        self.settle_client(slot);
    }

    pub(crate) fn client_gone(&mut self, slot: usize) {
        let Some(client) = self.clients.get(slot) else { return };
        let request = if let Phase::Answering(id) = client.phase { Some(id) } else { None };
        self.drop_client(slot);
        if let Some(id) = request {
            if let Some(request) = self.requests.get_mut(&id) {
                request.client = None;
            }
            self.tell(id, doorcourse_exchange::Input::ClientGone);
            self.resume_node(id);
        }
    }

    pub(crate) fn drop_client(&mut self, slot: usize) {
        if let Some(client) = self.clients.try_remove(slot) {
            self.accounts.forget(&client.held);
        }
    }

    /// Reads on in what a client sent, until a request is whole or more is needed.
    pub(crate) fn client_input(&mut self, slot: usize) {
        loop {
            let Some(client) = self.clients.get_mut(slot) else { return };
            if client.closing || matches!(client.phase, Phase::Answering(_) | Phase::Lingering) {
                return;
            }
            if matches!(client.phase, Phase::Head) && !self.accounts.may_begin(client.socket.pending()) {
                return;
            }
            let (used, part) = match client.decoder.decode(&client.socket.input) {
                Ok(found) => found,
                Err(fault) => return self.reply(slot, &front::malformed(fault)),
            };
            match part {
                None => {
                    client.socket.consume(used);
                    return;
                }
                Some(Part::Data(data)) => {
                    client.body.extend_from_slice(data);
                    client.socket.consume(used);
                }
                Some(Part::Head(head)) => {
                    client.socket.consume(used);
                    client.keep_alive = head.keep_alive && !self.going;
                    (client.minor, client.head_at) = (head.minor, self.clock.now());
                    let wants_word = head.expects_continue() && head.framing != Framing::None;
                    let read_on = |caller: Caller| match self.accounts.read_on(&caller.customer.name) {
                        Ok(()) => Ok(caller),
                        Err(full) => Err(front::full(full.text())),
                    };
                    let caller = front::caller(&self.config, &head).and_then(read_on);
                    let caller = match caller {
                        Ok(caller) => caller,
                        Err(reply) => return self.reply(slot, &reply),
                    };
                    client.customer = Some(caller.customer.name.clone());
                    client.phase = Phase::Body(Box::new(caller));
                    if wants_word && client.socket.input.is_empty() {
                        client.socket.output().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        client.socket.flush();
                    }
                    self.client_until(slot, self.config.limits.body_time);
                }
                Some(Part::End) => {
                    client.socket.consume(used);
                    let body = std::mem::take(&mut client.body);
                    let Phase::Body(caller) = std::mem::replace(&mut client.phase, Phase::Head) else {
                        continue;
                    };
                    self.request(slot, *caller, body);
                }
            }
        }
    }

    /// Writes a reply of the gateway's own and makes the connection ready for what comes next.
    pub(crate) fn reply(&mut self, slot: usize, reply: &Reply) {
        self.reply_as(slot, reply, None);
    }

    pub(crate) fn reply_as(&mut self, slot: usize, reply: &Reply, name: Option<&doorcourse::Name>) {
        let going = self.going;
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.keep_alive &= !going;
        front::write(client.socket.output(), reply, client.keep_alive, name);
        client.keep_alive &= !reply.close;
        self.answered(slot);
    }

    /// A whole answer is in the connection's output.
    pub(crate) fn answered(&mut self, slot: usize) {
        let idle = self.config.limits.idle_time;
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.phase = Phase::Head;
        client.closing = !client.keep_alive;
        self.client_until(slot, idle);
        self.flush_client(slot);
        self.settle_client(slot);
    }

    /// Writes what waits; reads a node on once its client has taken enough.
    pub(crate) fn flush_client(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        let before = client.socket.pending();
        let flow = client.socket.flush();
        client.taken |= client.socket.pending() < before;
        if flow == Flow::Broken {
            return self.client_gone(slot);
        }
        let low = client.socket.pending() <= self.config.limits.client_buffer / 2;
        if let (true, Phase::Answering(id)) = (low, &client.phase) {
            let id = *id;
            self.resume_node(id);
        }
    }

    /// Brings the connection's registration and accounts in line with its state.
    pub(crate) fn settle_client(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.closing && client.socket.pending() == 0 && !matches!(client.phase, Phase::Lingering) {
            // Closing with input unread would reset the connection and could destroy our answer on its way
            // (RFC 9112 section 9.6): end our side, and read over what comes for a while.
            client.phase = Phase::Lingering;
            client.socket.end_writing();
            client.socket.input = Vec::new();
            self.client_until(slot, LINGER);
        }
        let Some(client) = self.clients.get_mut(slot) else { return };
        let unread = client.socket.pending();
        let waits = matches!(client.phase, Phase::Head) && !self.accounts.may_begin(unread);
        let answering = matches!(client.phase, Phase::Answering(_)) || client.closing || waits;
        let lingering = matches!(client.phase, Phase::Lingering);
        let read = lingering || !answering || client.socket.input.len() < PIPELINED;
        let interest = Interest { read, write: client.socket.pending() > 0 };
        let bytes = (client.socket.input.len() + client.body.len() + unread) as u64;
        let taken = std::mem::take(&mut client.taken);
        self.accounts.note(
            self.clock.now(),
            &mut client.held,
            client.customer.as_ref(),
            bytes,
            unread,
            taken,
        );
        let cut = self.accounts.cut_at(&client.held);
        if cut.is_finite() && client.cut_alarm.is_infinite() {
            client.cut_alarm = cut;
            self.timers.set(cut, Alarm::Client(slot, client.generation));
        }
        if interest != client.interest {
            client.interest = interest;
            let token = Token::Client(slot, client.generation).pack();
            let _ = self.poller.change(&client.socket, token, interest);
        }
    }

    // ---- The counter ----

    fn counter_tick(&mut self) -> f64 {
        let now = self.clock.now();
        let CounterSide::Shared { link, due, .. } = &mut self.counter else { return f64::INFINITY };
        let mut actions = Vec::new();
        *due = link.tick(now, &mut actions);
        let due = *due;
        self.counter_actions(actions);
        self.counter_flush();
        due
    }

    pub(crate) fn counter_actions(&mut self, actions: Vec<LinkAction>) {
        for action in actions {
            match action {
                LinkAction::Connect => self.counter_connect(),
                LinkAction::Close => {
                    if let CounterSide::Shared { connection, .. } = &mut self.counter {
                        *connection = None;
                    }
                }
                LinkAction::Log(line) => tracing::info!(target: "doorcourse::counter", "{line}"),
                end @ LinkAction::End { .. } => self.events.extend(counted(end)),
            }
        }
    }

    fn counter_connect(&mut self) {
        self.generation = self.generation.wrapping_add(1);
        let (generation, now) = (self.generation, self.clock.now());
        let CounterSide::Shared { settings, link, connection, .. } = &mut self.counter else { return };
        let interest = Interest { read: true, write: true };
        let made = connect(settings.address).and_then(|socket| {
            self.poller.add(&socket, Token::Counter(generation).pack(), interest)?;
            Ok(CounterConnection { socket, generation, connected: false, interest })
        });
        match made {
            Ok(made) => *connection = Some(made),
            Err(error) => {
                let mut actions = Vec::new();
                link.lost(now, &error.to_string(), &mut actions);
                self.counter_actions(actions);
            }
        }
    }

    fn counter_ready(&mut self, generation: u32, ready: Ready) {
        let now = self.clock.now();
        let CounterSide::Shared { link, connection, .. } = &mut self.counter else { return };
        let Some(made) = connection.as_mut().filter(|c| c.generation & 0x0fff_ffff == generation) else {
            return;
        };
        let (mut actions, mut lost) = (Vec::new(), None);
        if !made.connected && (ready.write || ready.broken) {
            match made.socket.finish_connect() {
                Ok(()) => {
                    made.connected = true;
                    link.connected(now);
                }
                Err(error) => lost = Some(error.to_string()),
            }
        }
        if lost.is_none() && made.connected && ready.read {
            let (_, flow) = made.socket.read();
            let input = std::mem::take(&mut made.socket.input);
            if !input.is_empty() {
                link.input(now, &input, &mut actions);
            }
            if flow != Flow::Open && !actions.contains(&LinkAction::Close) {
                lost = Some("closed by the counter".into());
            }
        }
        if let Some(why) = lost {
            *connection = None;
            link.lost(now, &why, &mut actions);
        }
        self.counter_actions(actions);
        self.counter_flush();
    }

    pub(crate) fn counter_flush(&mut self) {
        let now = self.clock.now();
        let CounterSide::Shared { link, connection, .. } = &mut self.counter else { return };
        let Some(made) = connection.as_mut().filter(|c| c.connected) else { return };
        made.socket.output().append(&mut link.output);
        if made.socket.flush() == Flow::Broken {
            *connection = None;
            let mut actions = Vec::new();
            link.lost(now, "broken while writing", &mut actions);
            return self.counter_actions(actions);
        }
        let interest = Interest { read: true, write: made.socket.pending() > 0 };
        if interest != made.interest {
            made.interest = interest;
            let _ = self.poller.change(&made.socket, Token::Counter(made.generation).pack(), interest);
        }
    }
}

impl Token {
    pub(crate) fn node(slot: usize, generation: u32) -> u64 {
        Self::Node(slot, generation).pack()
    }
}

fn times(config: &Config) -> doorcourse_lifecycle::Settings {
    let doorcourse_config::Life { notice, drain, handover, give_back, quiet } = config.life;
    doorcourse_lifecycle::Settings { notice, drain, handover, give_back, quiet }
}

fn bounds(config: &Config) -> Bounds {
    let limits = &config.limits;
    Bounds {
        connections: limits.connections,
        requests: limits.requests,
        bytes: limits.buffered,
        customer_bytes: limits.customer_bytes,
        unread: limits.client_buffer,
        unread_time: limits.unread_time,
    }
}

/// EMFILE and ENFILE.
fn out_of_descriptors(error: i32) -> bool {
    [rustix::io::Errno::MFILE, rustix::io::Errno::NFILE].iter().any(|e| e.raw_os_error() == error)
}

fn chance() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
