//! The loop: a thin room over the others. Each turn takes in what was told (discovery, counter, ended attempts) before
//! timers and clients, carries out what the decisions answer, and writes each socket once.

use crate::backends::{AttemptEvent, AttemptUpdate, Backends, is_health_check};
use crate::clients::{ClientEvent, ClientTable, RequestFailure, Response};
use crate::config::Config;
use crate::counter::CounterPool;
use crate::diagnostics::{Components, Diagnostics};
use crate::discovery::DiscoveryClient;
use crate::endpoints::EndpointList;
use crate::reactor::{Reactor, Timer, Token, TokenKind};
use crate::requests::{RequestCommand, RequestTable, StartOutcome};
use doorcourse::{Action, AttemptOutcome, Event, Gateway, LoadReport, Name, RequestId};
use doorcourse_connection_limits::DescriptorBudget;
use doorcourse_counter::CounterCall;
use doorcourse_deployment::Site;
use doorcourse_discovery::Readiness;
use doorcourse_event_loop::{Interest, Ready, listen, most_descriptors};
use doorcourse_graceful_shutdown::{FinalRound, FinalRounds, GracefulShutdown, ShutdownPhase, needs_repoll};
use doorcourse_request_lifecycle::{BackendReply, LifecycleEvent, connect_timeout};
use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

const STOP: u8 = 1;
const RELOAD: u8 = 2;

/// A running gateway.
pub struct Platform {
    io: Reactor,
    path: PathBuf,
    site: Site,
    gateway: Gateway,
    clients: ClientTable,
    backends: Backends,
    requests: RequestTable,
    counter: CounterPool,
    discovery: DiscoveryClient,
    watch: Diagnostics,
    leave: GracefulShutdown,
    closed: bool,
    address: SocketAddr,
    start: Readiness,
    /// Probes that are out: where to, and since when.
    probes: HashMap<RequestId, (Name, f64)>,
    /// Pipes that wake the loop, and what a byte on each means; on the first, bytes speak for themselves.
    signals: Vec<(UnixStream, Option<u8>)>,
    wake: UnixStream,
    /// A descriptor kept for the file: it can be read again also when there is no other.
    spare: Option<File>,
    /// What the decisions are still to hear, in order.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    said: Vec<AttemptUpdate>,
    told: Vec<ClientEvent>,
    counted: Vec<Event>,
    doing: Vec<RequestCommand>,
}

/// Does what signals do, for a gateway that runs in another thread.
#[derive(Debug)]
pub struct Stopper(UnixStream);

impl Stopper {
    /// Tells it to leave: SIGTERM.
    pub fn stop(&self) {
        let _ = std::io::Write::write(&mut &self.0, &[STOP]);
    }

    /// Has it read its file again: SIGHUP.
    pub fn reload(&self) {
        let _ = std::io::Write::write(&mut &self.0, &[RELOAD]);
    }
}

/// SIGTERM, SIGINT and SIGHUP as bytes on pipes. Taken before anything listens: from then on a signal that would end
/// the process on the spot waits instead, and with it whatever the system has let in at the door.
#[derive(Debug)]
pub struct Signals(Vec<(UnixStream, u8)>);

impl Signals {
    /// Takes them over.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn take() -> std::io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let mut pipes = Vec::new();
        for (number, byte) in [(SIGTERM, STOP), (SIGINT, STOP), (SIGHUP, RELOAD)] {
            let (wake, ours) = UnixStream::pair()?;
            ours.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(number, wake)?;
            pipes.push((ours, byte));
        }
        Ok(Self(pipes))
    }
}

impl Platform {
    /// Takes the file in and listens; nothing is served before `run`.
    ///
    /// # Errors
    /// When the settings cannot be used or the address cannot be had.
    pub fn new(path: PathBuf, config: Config) -> anyhow::Result<Self> {
        let mut io = Reactor::new()?;
        let Config { listen: address, discovery, counter, seed, limits, known_endpoints: known, site, name } =
            config;
        let gateway = Gateway::new(site.settings.clone(), seed)?;
        let listener = listen(address).map_err(|e| anyhow::anyhow!("cannot listen on {address}: {e}"))?;
        let address = listener.local_addr()?;
        // The file may promise more than the system allows.
        let shares = DescriptorBudget::for_limit(limits.descriptors.min(most_descriptors()));
        let clients = ClientTable::new(&mut io, listener, shares.clients)?;
        let host = &site.host;
        tracing::debug!(settings = ?site.settings, ?host, "settings");
        let backends = Backends::new(shares.backends, host.dial_timeout, host.keepalive);
        let counter = CounterPool::new(counter, site.settings.counter_timeout);
        let discovery = DiscoveryClient::new(discovery, known.as_ref().map(|k| k.version), host.drain_grace);
        let (wake, signal) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        let token = Token { kind: TokenKind::Signal, serial: io.next_serial(), index: 0 };
        io.poller.add(&signal, token.pack(), Interest::READ)?;
        let (start, watch) = (Readiness::new(io.now), Diagnostics::new(io.now));
        tracing::info!(%name, %address, ?shares, known = known.as_ref().map(|k| k.endpoints.len()),
            keepalive = host.keepalive, dial_timeout = host.dial_timeout, "started");
        let mut new = Self {
            io,
            path,
            site,
            gateway,
            clients,
            backends,
            requests: RequestTable::default(),
            counter,
            discovery,
            watch,
            leave: GracefulShutdown::default(),
            closed: false,
            address,
            start,
            probes: HashMap::new(),
            signals: vec![(signal, None)],
            wake,
            spare: File::open("/dev/null").ok(),
            events: VecDeque::new(),
            actions: Vec::new(),
            said: Vec::new(),
            told: Vec::new(),
            counted: Vec::new(),
            doing: Vec::new(),
        };
        if let Some(mut known) = known {
            known.complete = true;
            new.take_list(known);
            new.settle();
        }
        Ok(new)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has these signals wake the loop; such as came already are taken in by its first turn.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn heed(&mut self, signals: Signals) -> std::io::Result<()> {
        for (ours, byte) in signals.0 {
            let token =
                Token { kind: TokenKind::Signal, serial: self.io.next_serial(), index: self.signals.len() };
            self.io.poller.add(&ours, token.pack(), Interest::READ)?;
            self.signals.push((ours, Some(byte)));
        }
        Ok(())
    }

    /// Stops it or has it read its file again from another thread.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn stopper(&self) -> std::io::Result<Stopper> {
        Ok(Stopper(self.wake.try_clone()?))
    }

    /// Serves until it was told to leave and all that was open is answered.
    ///
    /// # Errors
    /// When the system fails.
    pub fn run(&mut self) -> anyhow::Result<()> {
        let mut ready = Vec::new();
        while !self.leave.is_finished(self.io.now, self.clients.connection_count()) {
            let due = self.due();
            let wait = (due < f64::INFINITY).then(|| self.io.clock.until(due));
            self.io.poller.wait(wait, &mut ready)?;
            self.io.now = self.io.clock.now();
            if needs_repoll(self.io.now - due) {
                // Readiness is by level: nothing that was told before is lost.
                self.io.poller.wait(Some(Duration::ZERO), &mut ready)?;
            }
            self.turn(&mut ready);
        }
        tracing::info!("left");
        Ok(())
    }

    fn due(&self) -> f64 {
        let rooms = [
            self.discovery.next_timeout(),
            self.counter.next_timeout(),
            self.backends.next_timeout(),
            self.clients.next_timeout(),
            self.io.timers.first().unwrap_or(f64::INFINITY),
            self.leave.next_timeout(self.io.now),
        ];
        rooms.into_iter().fold(f64::INFINITY, f64::min)
    }

    fn turn(&mut self, ready: &mut [Ready]) {
        // ClientTable that have gone come before all that could begin an attempt for them.
        let client = |r: &Ready| r.token >> 56 == TokenKind::Client as u64;
        ready.sort_unstable_by_key(|r| (!(r.ended && client(r)), r.token));
        let gone = ready.iter().take_while(|r| r.ended && client(r)).count();
        let (gone, ready) = ready.split_at(gone);
        let inside = ready.iter().take_while(|r| r.token >> 56 < TokenKind::Listener as u64).count();
        let (inside, clients) = ready.split_at(inside);
        for ready in gone.iter().chain(inside) {
            self.one(*ready);
        }
        self.tick();
        for ready in clients {
            self.one(*ready);
        }
        self.clients.handle_timeout(&mut self.io, &self.site, &mut self.told);
        if self.leave.is_draining(self.io.now) {
            if std::mem::replace(&mut self.closed, true) {
                self.clients.schedule_flush_of_all();
            } else {
                self.clients.stop_accepting(&mut self.io, &self.site, &mut self.told);
            }
        }
        self.settle();
        if self.leave.phase(self.io.now) == ShutdownPhase::FinalResponses {
            self.answer_all();
        }
        self.flush();
        let components = Components {
            gateway: &self.gateway,
            backends: &self.backends,
            clients: &self.clients,
            counter: &self.counter,
            requests: &self.requests,
        };
        self.watch.handle_timeout(&self.io, &components);
    }

    fn one(&mut self, ready: Ready) {
        let Some(token) = Token::unpack(ready.token) else { return };
        match token.kind {
            TokenKind::Signal => self.signalled(token.index),
            TokenKind::Discovery => {
                let mut lists = Vec::new();
                self.discovery.handle_readiness(&mut self.io, token, ready, &mut lists);
                if !lists.is_empty() {
                    self.start.list_received();
                }
                lists.into_iter().for_each(|list| self.take_list(list));
            }
            TokenKind::Counter => {
                self.counter.handle_readiness(&mut self.io, token, ready, &mut self.counted)
            }
            TokenKind::Backend => self.backends.handle_readiness(&mut self.io, token, ready, &mut self.said),
            TokenKind::Listener => self.clients.accept(&mut self.io, &self.site, &mut self.told),
            TokenKind::Client => {
                self.clients.handle_readiness(&mut self.io, &self.site, token, ready, &mut self.told)
            }
        }
        self.settle();
    }

    fn tick(&mut self) {
        self.discovery.handle_timeout(&mut self.io);
        self.counter.handle_timeout(&mut self.io, &mut self.counted);
        self.backends.handle_timeout(&self.io);
        self.settle();
        while let Some(alarm) = self.io.timers.due(self.io.now) {
            match alarm {
                Timer::Decision { token } => self.events.push_back(Event::TimerExpired { token }),
                Timer::RequestDeadline { request: id } => self.input(id, LifecycleEvent::DeadlineExpired),
                Timer::HealthCheckTimeout { check: id } => {
                    self.backends.abandon(id);
                    self.probed(id, AttemptOutcome::TimedOut, None);
                }
                Timer::ConnectTimeout { request: id, attempt } => {
                    if self.requests.is_in_flight(id, attempt) && self.backends.awaits_connection(id) {
                        self.backends.abandon(id);
                        self.said.push(AttemptUpdate { request: id, event: AttemptEvent::ConnectionLost });
                    }
                }
                Timer::WriteDeadline { request: id, attempt } => {
                    if self.requests.is_in_flight(id, attempt) {
                        self.input(id, LifecycleEvent::Withdrawn);
                    }
                }
            }
            self.settle();
        }
    }

    /// Carries what one room has to say to the next until nobody has more to say.
    fn settle(&mut self) {
        loop {
            self.events.extend(self.counted.drain(..));
            for AttemptUpdate { request: id, event: heard } in std::mem::take(&mut self.said) {
                if is_health_check(id) {
                    self.heard_of_probe(id, heard);
                    continue;
                }
                let (now, advice) = (self.io.now, self.site.host.advice);
                self.requests.handle_attempt_event(now, id, heard, advice, &mut self.doing);
                self.carry_out();
            }
            for told in std::mem::take(&mut self.told) {
                self.take(told);
            }
            let Some(event) = self.events.pop_front() else {
                if self.said.is_empty() && self.told.is_empty() && self.counted.is_empty() {
                    return;
                }
                continue;
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.watch.record_event(self.io.now, &event);
            self.gateway.handle(self.io.now, event, &mut actions);
            for action in actions.drain(..) {
                self.watch.record_action(self.io.now, &action, &self.gateway);
                self.act(action);
            }
            self.actions = actions;
        }
    }

    /// Answers all that is open, by the rules: attempts that are out end by their time, and the decisions give the final
    /// answer. What they send anew goes no further than a buffer, since nothing is written before the last round.
    fn answer_all(&mut self) {
        let mut rounds = FinalRounds::new(self.site.settings.max_attempts);
        loop {
            let (open, input) = match rounds.next(self.requests.awaiting_response()) {
                FinalRound::ExpireAttempts(open) => (open, LifecycleEvent::DeadlineExpired),
                FinalRound::ResetClients(left) => (left, LifecycleEvent::Failed),
                FinalRound::Finished => return,
            };
            for id in open {
                self.input(id, input);
            }
            self.settle();
            if input == LifecycleEvent::Failed {
                return;
            }
        }
    }

    fn heard_of_probe(&mut self, id: RequestId, heard: AttemptEvent) {
        let (outcome, load) = match heard {
            AttemptEvent::Connected | AttemptEvent::Written => return,
            AttemptEvent::Responded(r) if r.reply == BackendReply::Value => {
                (AttemptOutcome::Served, r.load_report)
            }
            AttemptEvent::Responded(r) if r.reply == BackendReply::Rejected => {
                (AttemptOutcome::Rejected, r.load_report)
            }
            AttemptEvent::Responded(r) => (AttemptOutcome::Error, r.load_report),
            AttemptEvent::InvalidResponse => (AttemptOutcome::Error, None),
            AttemptEvent::ConnectionLost => (AttemptOutcome::ConnectFailed, None),
            AttemptEvent::Withdrawn => {
                self.backends.abandon(id);
                (AttemptOutcome::NeverSent, None)
            }
        };
        self.probed(id, outcome, load);
    }

    fn probed(&mut self, id: RequestId, outcome: AttemptOutcome, load: Option<LoadReport>) {
        let Some((backend, since)) = self.probes.remove(&id) else { return };
        let latency = self.io.now - since;
        self.events.push_back(Event::HealthCheckEnded { backend, outcome, latency, load_report: load });
    }

    fn input(&mut self, id: RequestId, input: LifecycleEvent) {
        let (now, advice) = (self.io.now, self.site.host.advice);
        self.requests.handle_event(now, id, input, advice, &mut self.doing);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut doing = std::mem::take(&mut self.doing);
        for what in doing.drain(..) {
            match what {
                RequestCommand::NotifyDecisions(event) => self.events.push_back(event),
                RequestCommand::Respond { command, response } => {
                    self.clients.respond(self.io.now, command, response)
                }
                RequestCommand::AbandonAttempt { request: id } => self.backends.abandon(id),
            }
        }
        self.doing = doing;
    }

    fn take(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::PingReceived { command: place } => {
                let given = if self.start.is_ready(self.io.now) { Response::Pong } else { Response::Loading };
                self.clients.respond(self.io.now, place, given);
            }
            // Its client has gone in the moment in which it was read.
            ClientEvent::RequestReceived { command: place, .. } if !self.clients.is_connected(place) => {}
            ClientEvent::RequestReceived { command: place, request: ask } => {
                let given = match self.requests.start(self.io.now, &self.site, &self.leave, place, *ask) {
                    StartOutcome::Started { request: id, deadline: until, event } => {
                        self.clients.request_started(place, id);
                        self.io.timers.set(until, Timer::RequestDeadline { request: id });
                        return self.events.push_back(event);
                    }
                    StartOutcome::DuplicateId => {
                        Response::InvalidRequest(crate::request::RequestError::DuplicateId)
                    }
                    StartOutcome::DeadlineTooShort => Response::Failed(RequestFailure::DeadlineTooShort),
                    // Another gateway takes it at once: there is nothing to wait for.
                    StartOutcome::ShuttingDown => Response::Rejected { retry_after_ms: None },
                };
                self.clients.respond(self.io.now, place, given);
            }
            ClientEvent::Disconnected { request: id } => self.input(id, LifecycleEvent::ClientDisconnected),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, backend, timeout, must_be_written_within: window } => {
                let Some(out) = self.requests.start_attempt(self.io.now, id, &backend) else { return };
                if let Some(timeout) = timeout {
                    self.io.timers.set(self.io.now + timeout, Timer::RequestDeadline { request: id });
                }
                let (limit, until) = (self.site.host.dial_timeout, out.deadline);
                let dial = connect_timeout(
                    limit,
                    until - out.request_started_at,
                    self.io.now - out.request_started_at,
                );
                self.backends.start_attempt(&mut self.io, id, &backend, out.command, until, &mut self.said);
                if self.backends.awaits_connection(id) && limit > 0.0 {
                    self.io
                        .timers
                        .set(self.io.now + dial, Timer::ConnectTimeout { request: id, attempt: out.attempt });
                }
                if let Some(window) = window {
                    self.io.timers.set(
                        self.io.now + window,
                        Timer::WriteDeadline { request: id, attempt: out.attempt },
                    );
                }
            }
            Action::Reject { id, retry_after, reason: why } => {
                self.input(id, LifecycleEvent::Rejected { retry_after, reason: why })
            }
            Action::Fail { id } => self.input(id, LifecycleEvent::Failed),
            Action::CancelAttempt { id, .. } => self.input(id, LifecycleEvent::Cancelled),
            Action::SetTimer { after, token } => {
                self.io.timers.set(self.io.now + after, Timer::Decision { token });
            }
            Action::CheckHealth { backend } => {
                let id = self.backends.start_health_check(&mut self.io, &backend, &mut self.said);
                self.probes.insert(id, (backend, self.io.now));
                let wait = self.site.host.dial_timeout.max(self.site.settings.tick);
                self.io.timers.set(self.io.now + wait, Timer::HealthCheckTimeout { check: id });
            }
            Action::AddToCounter { counter, amount, time_to_live } => {
                self.counter.call(
                    &mut self.io,
                    CounterCall { counter, amount, time_to_live },
                    &mut self.counted,
                );
            }
            // Gateways have no way to each other here, and the watch is always on.
            Action::Gossip { .. } | Action::WatchBackends => {}
            Action::Log(line) => tracing::info!(target: "doorcourse::decisions", "{line}"),
        }
    }

    fn take_list(&mut self, list: EndpointList) {
        let entries = list.endpoints.iter().map(|m| m.entry.clone()).collect();
        self.events.push_back(if list.complete {
            Event::BackendList(entries)
        } else {
            Event::BackendChanges(entries)
        });
        // An address must be known before the decisions send there, and the decisions must know of a drain before what
        // it takes back is placed anew: what was said of attempts is carried after the list.
        let mut withdrawn = Vec::new();
        self.backends.apply_endpoints(&list, &mut withdrawn);
        self.settle();
        self.said.extend(withdrawn);
        self.settle();
    }

    fn flush(&mut self) {
        // Writing may tell of ends, and ends may bring more to write: a few rounds, the rest has the next turn.
        for _ in 0..4 {
            self.backends.flush(&mut self.io, &mut self.said);
            self.counter.flush(&mut self.io, &mut self.counted);
            self.clients.flush(&mut self.io, &self.site, &self.leave, &mut self.told);
            if self.said.is_empty() && self.told.is_empty() && self.counted.is_empty() {
                return;
            }
            self.settle();
        }
    }

    fn signalled(&mut self, at: usize) {
        let mut bytes = [0; 16];
        let Some((pipe, means)) = self.signals.get_mut(at) else { return };
        let Ok(count @ 1..) = std::io::Read::read(pipe, &mut bytes) else { return };
        let means = *means;
        for byte in &bytes[..count] {
            match means.unwrap_or(*byte) {
                STOP => {
                    let longest = self.site.host.patience.iter().copied().fold(0.0, f64::max);
                    if self.leave.begin(self.io.now, longest) {
                        tracing::info!(open = self.requests.len(), "leaving");
                        self.events.push_back(Event::ShutdownStarted);
                    }
                }
                RELOAD => self.reload(),
                _ => {}
            }
        }
    }

    /// Takes the file in again. One that cannot be used changes nothing.
    fn reload(&mut self) {
        drop(self.spare.take());
        let config = Config::open(&self.path);
        self.spare = File::open("/dev/null").ok();
        let config = match config {
            Ok(config) => config,
            Err(error) => return tracing::error!("the old configuration stays: {error:#}"),
        };
        let Config { discovery, counter, site, .. } = config;
        tracing::info!(%discovery, counter = counter.map(|c| c.to_string()), "configuration read");
        self.discovery.set_address(discovery);
        self.discovery.set_drain_grace(site.host.drain_grace);
        self.counter.configure(self.io.now, counter, site.settings.counter_timeout);
        self.backends.configure(site.host.dial_timeout, site.host.keepalive);
        if site.settings != self.site.settings {
            self.events.push_back(Event::SettingsChanged(Box::new(site.settings.clone())));
        }
        self.site = site;
    }
}
