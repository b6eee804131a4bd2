//! The loop: a thin room over the others. It waits, hands each descriptor and alarm to the room that it belongs to, and
//! carries what one room has to say to the next.

use crate::admin::{Admin, AdminCall, AdminRequest};
use crate::backends::{AttemptEvent, Backends};
use crate::clients::{ClientEvent, Clients};
use crate::counter::Counter;
use crate::endpoint_list::EndpointList;
use crate::fleet::Fleet;
use crate::graphql_front as front;
use crate::io::{Io, Timer, Token};
use crate::monitoring::{Monitoring, Snapshot};
use crate::requests::{RequestCommand, Requests};
use crate::settings_reload::{ReadSettings, SettingsReload};
use crate::state_file::StateFile;
use anyhow::Context;
use doorcourse::{Action, BackendState, Event, Name, RequestId};
use doorcourse_config::{Change, Config, Node};
use doorcourse_counter::Call;
use doorcourse_event_loop::{Interest, Ready, listen};
use doorcourse_fail_points::rule_disabled;
use doorcourse_graceful_shutdown::{FinalRound, FinalRounds, ManualDrains, needs_repoll};
use doorcourse_lifecycle::{LifecycleSettings, PendingWork, ProcessAction, ProcessEvent, ProcessLifecycle};
use doorcourse_request_lifecycle::LifecycleEvent as Tell;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
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
    pub reread: Option<ReadSettings>,
    /// Take the listening sockets over from the process that serves at the admin socket.
    pub take_over: bool,
}

/// A running gateway.
pub struct Gateway {
    config: Arc<Config>,
    io: Io,
    clients: Clients,
    nodes: Backends,
    exchanges: Requests,
    counter: Counter,
    fleet: Option<Fleet>,
    admin: Option<Admin>,
    health: Option<Monitoring>,
    reload: SettingsReload,
    list: Option<EndpointList>,
    listed: Vec<Node>,
    drained: ManualDrains,
    decision: doorcourse::Gateway,
    life: ProcessLifecycle,
    /// What the decisions answer, kept for its room.
    actions: Vec<Action>,
    /// This process's name in the names of requests.
    name: String,
    signal: UnixStream,
    wake: UnixStream,
    state_file: Option<(StateFile, f64)>,
    state_fails: bool,
    ended: bool,
    /// When the poller was asked last.
    looked: f64,
    /// The old process, until this one serves.
    old: Option<UnixStream>,
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

impl Gateway {
    /// Binds the listeners and takes the first node list; nothing is served before `run`.
    ///
    /// # Errors
    /// When an address cannot be had or the node list cannot be read.
    pub fn new(start: Start) -> anyhow::Result<Self> {
        let Start { config, folder, seed, reread, take_over } = start;
        let io = Io::new()?;
        let decision = doorcourse::Gateway::new(config.decisions.clone(), seed.unwrap_or_else(chance))?;
        let admin_path = config.admin.as_ref().map(|p| folder.join(p));
        let (mut listeners, mut watched, mut old) = (Vec::new(), None, None);
        if take_over {
            let path = admin_path.as_ref().context("to take over, the settings must have admin.socket")?;
            let (mut passed, stream) = crate::takeover::request_listeners(path)?;
            let wanted = config.listen.len() + usize::from(config.health.is_some());
            anyhow::ensure!(
                passed.len() == wanted,
                "the old process passed {} sockets, the settings listen at {wanted}",
                passed.len()
            );
            // The watchers' listener comes last.
            watched = config.health.and_then(|_| passed.pop());
            (listeners, old) = (passed, Some(stream));
        } else {
            for address in &config.listen {
                let made =
                    listen(*address).map_err(|e| anyhow::anyhow!("cannot listen on {address}: {e}"))?;
                listeners.push(made);
            }
        }
        let clients = Clients::new(&io, &config, listeners)?;
        let health = match (watched, config.health) {
            (Some(passed), _) => Some(Monitoring::new(&io, passed)?),
            (None, None) => None,
            (None, Some(address)) => {
                let made = listen(address)
                    .map_err(|e| anyhow::anyhow!("health.listen: cannot listen on {address}: {e}"))?;
                Some(Monitoring::new(&io, made)?)
            }
        };
        let admin = admin_path.map(|path| Admin::bind(&path, take_over)).transpose()?;
        if let Some(admin) = &admin {
            io.poller.add(admin.listener(), Token::Admin.pack(), Interest::READ)?;
        }
        let reload = SettingsReload::new(reread)?;
        io.poller.add(reload.receiver(), Token::Reload.pack(), Interest::READ)?;
        let (wake, signal) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        io.poller.add(&signal, Token::Signal.pack(), Interest::READ)?;
        let number = config.decisions.gateway_index;
        let state_file = config.state.as_ref().map(|s| {
            let (path, longest_age) = (folder.join(&s.file), s.longest_age);
            (StateFile { path, max_age: longest_age, gateway_index: number }, s.every)
        });
        let mut gateway = Self {
            clients,
            nodes: Backends::default(),
            exchanges: Requests::default(),
            counter: Counter::new(config.counter.as_ref()),
            // Never the seed of the decisions: two starts must not look like one.
            fleet: Fleet::new(&io, &config, chance(), old.is_some())?,
            admin,
            health,
            reload,
            list: config.node_list.as_ref().map(|(file, poll)| EndpointList::new(folder.join(file), *poll)),
            listed: Vec::new(),
            drained: ManualDrains::default(),
            decision,
            life: ProcessLifecycle::new(times(&config)),
            actions: Vec::new(),
            name: format!("g{number}-{:x}", io.now() as u64),
            signal,
            wake,
            state_file,
            state_fails: false,
            ended: false,
            looked: f64::NEG_INFINITY,
            old,
            config: Arc::new(config),
            io,
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
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGHUP, self.reload.sender()?)?;
        Ok(())
    }

    /// A handle that stops the gateway in order from another thread.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn stopper(&self) -> std::io::Result<Stopper> {
        Ok(Stopper { stop: self.wake.try_clone()?, reload: self.reload.sender()? })
    }

    /// Where clients are served.
    ///
    /// # Errors
    /// When a listener is gone.
    pub fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.clients.addresses()
    }

    /// Where who watches asks, if anywhere.
    #[must_use]
    pub fn health_address(&self) -> Option<SocketAddr> {
        self.health.as_ref().and_then(|h| h.address().ok())
    }

    /// Serves until told to stop.
    ///
    /// # Errors
    /// When waiting for readiness fails: nothing can be served then.
    pub fn run(&mut self) -> anyhow::Result<()> {
        for address in self.addresses()? {
            tracing::info!(%address, name = self.name, "serving");
        }
        if let Some(address) = self.health_address() {
            tracing::info!(%address, "watchers are answered");
        }
        self.life(ProcessEvent::Started);
        if let Some(old) = self.old.take() {
            crate::takeover::confirm(old)?;
        }
        let mut ready = Vec::new();
        loop {
            self.pump();
            self.alarms()?;
            let counter_due = self.counter.tick(&mut self.io);
            if let Some(fleet) = &mut self.fleet {
                fleet.tick(&mut self.io);
            }
            self.suspects();
            self.pump();
            let (requests, clients, calls) = (self.exchanges.count(), self.clients.count(), self.counter.out);
            let quiet = self.io.now() - self.clients.last_input_at;
            // All connections are looked through only where an end waits for them.
            let midway = if self.life.is_ready() { 0 } else { self.clients.busy_count() };
            self.life(ProcessEvent::Tick(PendingWork {
                requests,
                connections: clients,
                busy_connections: midway,
                counter_calls: calls,
                idle_for: quiet,
            }));
            self.pump();
            if self.ended {
                self.save_state();
                let c = doorcourse_event_loop::counts();
                let (reads, writes, waits, changes, connects) =
                    (c.reads, c.writes, c.waits, c.changes, c.connects);
                let requests = self.exchanges.total;
                tracing::info!(requests, reads, writes, waits, changes, connects, "stopped");
                return Ok(());
            }
            let life_due = self.life.next_timeout(self.io.now());
            let first = self.io.timers.first().unwrap_or(f64::INFINITY).min(counter_due).min(life_due);
            let fleet = self.fleet.as_ref().map_or(f64::INFINITY, Fleet::due);
            let wait = if first.is_finite() { self.io.clock.until(first) } else { Duration::from_secs(3600) };
            let wait = wait.min(Duration::from_secs_f64(fleet.min(3.6e6) / 1000.0));
            self.io.poller.wait(Some(wait), &mut ready)?;
            self.looked = self.io.now();
            if needs_repoll(self.looked - first) {
                // Readiness is by level: nothing that was told before is lost.
                self.io.poller.wait(Some(Duration::ZERO), &mut ready)?;
            }
            // Clients that have gone come first, then what is due: no attempt begins for who has gone.
            ready.sort_by_key(|r| !is_end_of_client(r));
            let gone = ready.iter().take_while(|r| is_end_of_client(r)).count();
            for (at, ready) in ready.drain(..).enumerate() {
                if at == gone {
                    self.alarms()?;
                }
                self.look_for_ends()?;
                self.ready(ready);
                self.pump();
            }
        }
    }

    fn alarms(&mut self) -> anyhow::Result<()> {
        while let Some(alarm) = self.io.timers.due(self.io.now()) {
            self.look_for_ends()?;
            self.alarm(alarm);
            self.pump();
        }
        Ok(())
    }

    /// An iteration that stood still since its last look (on a disk, or with the whole process) looks again before it
    /// goes on: clients that went meanwhile went before whatever it begins next.
    fn look_for_ends(&mut self) -> anyhow::Result<()> {
        if !needs_repoll(self.io.now() - self.looked) || rule_disabled("re-poll-stalled-iteration") {
            return Ok(());
        }
        self.looked = self.io.now();
        let mut ready = Vec::new();
        self.io.poller.wait(Some(Duration::ZERO), &mut ready)?;
        for ready in ready.into_iter().filter(is_end_of_client) {
            self.ready(ready);
            self.pump();
        }
        Ok(())
    }

    fn ready(&mut self, ready: Ready) {
        match Token::unpack(ready.token) {
            Token::Listener(at) => drop(self.clients.accept(&mut self.io, &self.config, at)),
            Token::Client(slot, generation) => {
                self.clients.handle_readiness(&mut self.io, &self.config, slot, generation, ready);
            }
            Token::Backend(slot, generation) => {
                self.nodes.handle_readiness(slot, generation, ready);
                self.hear(slot, generation);
            }
            Token::Link => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.ready(&mut self.io);
                }
            }
            Token::Call(slot, generation) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.call_ready(&mut self.io, slot, generation, ready);
                }
            }
            Token::Counter(generation) => self.counter.ready(&mut self.io, generation, ready),
            Token::Signal => {
                let mut bytes = [0; 16];
                // Each signal is one byte: two that come together are two.
                while let Ok(n @ 1..) = std::io::Read::read(&mut self.signal, &mut bytes) {
                    (0..n).for_each(|_| self.life(ProcessEvent::TerminateSignal));
                }
            }
            Token::Reload => {
                let heard = self.reload.handle_readiness(&self.config);
                if heard.requested {
                    self.life(ProcessEvent::ReloadRequested);
                }
                if heard.settings_read {
                    self.life(ProcessEvent::SettingsRead);
                    self.reload.restart_if_requested(&self.config);
                }
            }
            Token::MonitoringListener => {
                if let Some(health) = &mut self.health {
                    health.accept(&mut self.io);
                }
            }
            Token::Monitoring(slot, generation) => {
                if let Some(health) = &mut self.health {
                    health.handle_readiness(&self.io, slot, generation, ready);
                }
            }
            Token::Admin => {
                if let Some(admin) = &mut self.admin {
                    admin.accept(&mut self.io);
                }
            }
            Token::AdminConnection(slot, generation) => {
                if let Some(admin) = &mut self.admin {
                    admin.handle_readiness(slot, generation);
                }
            }
        }
    }

    fn alarm(&mut self, alarm: Timer) {
        match alarm {
            Timer::Decision(token) => self.io.events.push_back(Event::TimerExpired { token }),
            Timer::RequestDeadline(id) => {
                self.exchanges.handle_event(self.io.now(), id, Tell::DeadlineExpired)
            }
            Timer::RetryDeadline(id, attempt) => {
                self.exchanges.handle_retry_deadline(self.io.now(), id, attempt)
            }
            Timer::ClientTimeout(slot, generation) => {
                self.clients.handle_timeout(&mut self.io, &self.config, slot, generation);
            }
            Timer::BackendIdle(slot, generation) => {
                self.nodes.handle_idle_timeout(&self.io, slot, generation)
            }
            Timer::EndpointListPoll => {
                if let Err(error) = self.look_at_list() {
                    tracing::error!(%error, "node list not taken, the last one holds");
                }
            }
            Timer::StateFileSave => self.save_state(),
        }
    }

    // ---- From room to room ----

    /// Carries on what the rooms have to say until all are silent. What is to be done comes before what is new, and the
    /// decisions are told all that happened in its order.
    fn pump(&mut self) {
        loop {
            if let Some(todo) = self.exchanges.commands.pop_front() {
                self.carry_out(todo);
            } else if let Some(said) = self.clients.events.pop_front() {
                self.said(said);
            } else if let Some(event) = self.io.events.pop_front() {
                self.decide(event);
            } else if let Some(called) = self.admin.as_mut().and_then(|a| a.calls.pop_front()) {
                self.called(called);
            } else if let Some(question) = self.health.as_mut().and_then(|h| h.page_requests.pop_front()) {
                let now = self.now();
                if let Some(health) = &mut self.health {
                    health.respond(&self.io, &question, &now);
                }
            } else if let Some(reply) = self.reload.replies.pop_front() {
                if let Some(admin) = &mut self.admin {
                    admin.reply_reload(&reply);
                }
            } else {
                return;
            }
        }
    }

    fn decide(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.decision.handle(self.io.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        let now = self.io.now();
        match action {
            Action::SendAttempt { id, backend, timeout: _, must_be_written_within: window } => {
                self.send(id, &backend, window)
            }
            Action::Reject { id, retry_after, reason: why } => {
                self.exchanges.handle_event(now, id, Tell::Rejected { retry_after, reason: why });
            }
            Action::Fail { id } => self.exchanges.handle_event(now, id, Tell::Failed),
            Action::SetTimer { after, token } => self.io.timers.set(now + after, Timer::Decision(token)),
            Action::AddToCounter { counter: name, amount, time_to_live: keep } => {
                self.counter.call(&mut self.io, Call { name, amount, keep });
            }
            Action::Log(line) => tracing::info!(target: "doorcourse::decisions", "{line}"),
            // The settings allow none of these: no peers, no probes, no calling off, a list that is pushed.
            Action::CancelAttempt { .. }
            | Action::CheckHealth { .. }
            | Action::Gossip { .. }
            | Action::WatchBackends => {}
        }
    }

    fn send(&mut self, id: RequestId, backend: &Name, window: Option<f64>) {
        let attempt = self.exchanges.attempt_started(self.io.now(), id, backend.clone());
        if let Some(window) = window {
            self.io.timers.set(self.io.now() + window, Timer::RetryDeadline(id, attempt));
        }
        let Some(wire) = self.exchanges.backend_request(id, &self.config.path) else { return };
        match self.nodes.send_request(&mut self.io, &self.config.limits, id, backend, &wire) {
            Some(connection) => {
                self.exchanges.set_connection(id, connection);
                self.hear(connection.0, connection.1);
            }
            // Gone from the list since, or no descriptor left: no connection was made.
            None => {
                self.exchanges.handle_attempt_event(self.io.now(), false, id, AttemptEvent::ConnectionLost)
            }
        }
    }

    /// Hears a node's connection out. What follows of a piece is done before the next one is heard: it may let go.
    fn hear(&mut self, slot: usize, generation: u32) {
        let sticky = !self.config.routing.cookie.is_empty();
        while let Some((id, heard)) =
            self.nodes.next_event(&mut self.io, &self.config.limits, slot, generation)
        {
            self.exchanges.handle_attempt_event(self.io.now(), sticky, id, heard);
            while let Some(todo) = self.exchanges.commands.pop_front() {
                self.carry_out(todo);
            }
        }
    }

    fn carry_out(&mut self, todo: RequestCommand) {
        let (io, config) = (&mut self.io, &self.config);
        match todo {
            RequestCommand::NotifyDecisions(event) => io.events.push_back(event),
            RequestCommand::Respond { client, media, answer, name } => {
                self.clients.respond(io, config, client, &front::final_response(media, answer), Some(&name));
                self.clients.resume_input(io, config, client);
            }
            RequestCommand::ForwardResponse { client, head, name, bytes, node } => {
                let pending = self.clients.forward(io, config, client, head, &name, &bytes);
                // Back pressure: a client that reads slowly stops its node, not this process's memory.
                if let Some(node) = node.filter(|_| pending > config.limits.client_buffer) {
                    self.nodes.set_paused(io, node, true);
                }
            }
            RequestCommand::EndResponse { client } => {
                self.clients.end_response(io, config, client);
                self.clients.resume_input(io, config, client);
            }
            RequestCommand::ResetClient { client } => self.clients.reset(client),
            RequestCommand::CloseBackendConnection { node } => self.nodes.close(node),
            RequestCommand::ResumeBackend { node } => self.nodes.set_paused(io, node, false),
            RequestCommand::RecordFinalResponse { code, plan, class, time } => {
                if let Some(health) = &self.health {
                    health.record_final_response(code, &plan, &class, time);
                }
            }
            RequestCommand::ReleaseBytes { bytes } => self.clients.budget.release(bytes),
        }
    }

    fn said(&mut self, said: ClientEvent) {
        let (io, config) = (&mut self.io, &self.config);
        match said {
            ClientEvent::RequestReceived { client: slot, head: caller, body, head_received_at: head_at } => {
                let spent = io.now() - head_at;
                let ask = match self.clients.budget.check_request(self.exchanges.count()) {
                    Ok(()) => front::request(config, *caller, body, spent),
                    Err(full) => Err(front::gateway_full(full.message())),
                };
                match ask {
                    Ok(ask) => {
                        let (arrival, bytes) = self.exchanges.admit(io.now(), config, slot, &self.name, ask);
                        self.clients.budget.reserve(bytes);
                        self.clients.request_admitted(slot, arrival.id);
                        io.timers.set(io.clock.now() + arrival.timeout, Timer::RequestDeadline(arrival.id));
                        io.events.push_back(Event::RequestReceived(arrival));
                    }
                    Err(reply) => {
                        self.clients.respond(io, config, slot, &reply, None);
                        self.clients.resume_input(io, config, slot);
                    }
                }
            }
            ClientEvent::Disconnected(id) => self.exchanges.handle_client_disconnect(io.now(), id),
            ClientEvent::ReadyForMore(id) => self.exchanges.handle_client_ready(id),
        }
    }

    // ---- The life of the process ----

    fn life(&mut self, input: ProcessEvent) {
        let mut outputs = Vec::new();
        self.life.handle_event(self.io.now(), input, &mut outputs);
        for output in outputs {
            match output {
                ProcessAction::SetReady(ready) => tracing::info!(ready, "readiness"),
                ProcessAction::AnnounceClose => {
                    self.clients.announce_close = true;
                    if let Some(fleet) = &mut self.fleet {
                        fleet.leave(&mut self.io);
                    }
                }
                ProcessAction::CloseListeners => self.clients.drain_accept_queues(&mut self.io, &self.config),
                ProcessAction::ReadSettings => self.reload.start(&self.config),
                ProcessAction::ApplySettings => self.take_settings(),
                ProcessAction::RefuseReload(why) => self.reload.refuse(why.to_string()),
                ProcessAction::PassListeners { peer } => {
                    if let Some(admin) = &mut self.admin {
                        let watched = self.health.as_ref().map(Monitoring::listener);
                        let all: Vec<_> = self.clients.listeners().iter().chain(watched).collect();
                        admin.pass_listeners(peer, &all);
                    }
                }
                ProcessAction::RefuseTakeover { peer, reason: why } => {
                    if let Some(admin) = &mut self.admin {
                        admin.refuse_takeover(peer, &why.to_string());
                    }
                }
                ProcessAction::DisconnectPeer { peer } => {
                    if let Some(admin) = &mut self.admin {
                        admin.disconnect(peer);
                    }
                }
                ProcessAction::ReleaseLeases => self.io.events.push_back(Event::ShutdownStarted),
                ProcessAction::FinishRequests => self.answer_all(),
                ProcessAction::Exit => self.ended = true,
                ProcessAction::StateChanged(state) => tracing::info!(
                    state = state.name(),
                    requests = self.exchanges.count(),
                    clients = self.clients.count(),
                    "life"
                ),
            }
        }
    }

    /// Ends what is left by the rules: an attempt that is out ends by its time, and the decisions give the final answer.
    fn answer_all(&mut self) {
        self.clients.close_listeners();
        let mut rounds = FinalRounds::new(self.config.decisions.max_attempts);
        loop {
            match rounds.next(self.exchanges.open_ids()) {
                FinalRound::ExpireAttempts(open) => {
                    let now = self.io.now();
                    open.into_iter()
                        .for_each(|id| self.exchanges.handle_event(now, id, Tell::DeadlineExpired));
                }
                FinalRound::ResetClients(left) => left.into_iter().for_each(|id| self.exchanges.abort(id)),
                FinalRound::Finished => break,
            }
            self.pump();
        }
        self.clients.finish_all(&mut self.io, &self.config);
    }

    /// Takes the settings that were read. A request under way keeps the schema that it was priced with.
    fn take_settings(&mut self) {
        let Some((mut config, change)) = self.reload.take_settings() else { return };
        let start = self.io.now();
        if let Some(routing) = self.list.as_ref().and_then(|l| l.routing.clone()) {
            config.set_routing(routing);
        }
        self.io.events.push_back(Event::SettingsChanged(Box::new(config.decisions.clone())));
        self.life.update_settings(times(&config));
        if let (Some(list), Some((_, poll))) = (&mut self.list, &config.node_list) {
            list.poll_interval = *poll;
        }
        let nodes = config.nodes.clone();
        self.clients.update_limits(&config);
        if let Some(fleet) = &mut self.fleet {
            fleet.configure(&mut self.io, &config);
        }
        self.config = Arc::new(config);
        if self.list.is_none() {
            self.take_list(&nodes);
        }
        self.pump();
        let stopped_ms = self.io.now() - start;
        let Change { lines, .. } = &change;
        tracing::info!(changes = lines.join("; "), stopped_ms, "settings reloaded");
        self.reload.finish(Ok(change));
    }

    /// Takes up what an earlier process of this gateway had learnt.
    fn remember(&mut self) {
        let now = self.io.now();
        let Some((file, every)) = &self.state_file else { return };
        self.io.timers.set(now + every, Timer::StateFileSave);
        match file.read(now) {
            Ok(Some(nodes)) => {
                tracing::info!(nodes = nodes.len(), "state file taken");
                self.io.events.push_back(Event::StateRestored(nodes));
            }
            Ok(None) => {}
            Err(why) => tracing::warn!(file = %file.path.display(), %why, "state file left aside"),
        }
    }

    fn save_state(&mut self) {
        let now = self.io.now();
        let Some((file, every)) = &self.state_file else { return };
        self.io.timers.set(now + every, Timer::StateFileSave);
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
        self.io.timers.set(self.io.clock.now() + list.poll_interval, Timer::EndpointListPoll);
        let file = match list.read_if_changed() {
            None => return Ok(()),
            Some(read) => read.map_err(|e| anyhow::anyhow!(e))?,
        };
        tracing::info!(nodes = file.nodes.len(), "node list taken");
        list.routing.clone_from(&file.routing);
        if let Some(routing) = file.routing.filter(|r| *r != self.config.routing) {
            let mut config = Config::clone(&self.config);
            config.set_routing(routing);
            self.io.events.push_back(Event::SettingsChanged(Box::new(config.decisions.clone())));
            self.config = Arc::new(config);
        }
        self.take_list(&file.nodes);
        Ok(())
    }

    fn take_list(&mut self, nodes: &[Node]) {
        let same = self.nodes.update_endpoints(nodes);
        self.listed = nodes.to_vec();
        self.tell_list(|name| same.contains(name));
    }

    /// Tells the decisions of the list; then what is not written yet to a node that must not have it is taken back, so
    /// that it is placed by the new list. `same` are those that are where they were.
    fn tell_list(&mut self, same: impl Fn(&Name) -> bool) {
        let list = self.drained.apply(self.listed.iter().map(|n| n.entry.clone()));
        let fit = list.iter().filter(|e| e.state == BackendState::Ready && same(&e.name));
        let fit = fit.map(|e| e.name.clone()).collect();
        self.io.events.push_back(Event::BackendList(list));
        if !rule_disabled("withdraw-unwritten-attempts") {
            self.exchanges.withdraw_unwritten_except(self.io.now(), &fit);
        }
    }

    /// A person's word about one node here; `false` where there is no such node.
    fn drain_node(&mut self, name: &str, drain: bool) -> bool {
        let Some(node) = self.listed.iter().find(|n| *n.entry.name == *name) else { return false };
        let name = node.entry.name.clone();
        if self.drained.set_drained(&name, drain) {
            tracing::info!(node = %name, drain, "node drained by hand");
            self.tell_list(|_| true);
        }
        true
    }

    // ---- Suspect nodes ----

    /// How the decisions see the nodes, for the fleet's trials; and the fleet's words, as what is remembered of nodes.
    fn suspects(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        if fleet.wants_view() {
            let one = |b: doorcourse::BackendStatus| doorcourse_outlier_gossip::Seen {
                node: b.name.to_string(),
                started: b.started.unwrap_or_default() as u64,
                failures: b.consecutive_failures,
                ready: b.ready,
            };
            fleet.view(&mut self.io, self.decision.backends().map(one).collect(), &self.listed);
        }
        let (now, mut views) = (self.io.now(), Vec::new());
        while let Some(word) = fleet.hints.pop_front() {
            let Some(view) = self.decision.backends().find(|b| *b.name == *word.node) else { continue };
            let keep = self.config.leases.as_ref().and_then(|l| l.suspects).map_or(0, |s| s.keep);
            let (failures, left) =
                doorcourse_outlier_gossip::remembered(&word, keep, view.consecutive_failures);
            views.push(doorcourse::BackendStatus {
                consecutive_failures: failures,
                ejected_until: now + left as f64,
                ..view
            });
        }
        if !views.is_empty() {
            self.io.events.push_back(Event::StateRestored(views));
            self.pump();
        }
    }

    // ---- The admin socket's calls ----

    fn called(&mut self, called: AdminCall) {
        let AdminCall { slot, id, request: asked } = called;
        let answer = match asked {
            AdminRequest::Status => self.status(),
            AdminRequest::Nodes => self.node_views(),
            AdminRequest::Customers => self.customer_views(),
            AdminRequest::Peers => self.fleet.as_ref().map_or(Value::Null, Fleet::peers),
            AdminRequest::Leases => self.fleet.as_ref().map_or(Value::Null, Fleet::leases),
            AdminRequest::HandOver { task, to } => {
                let none = || Err("the settings have no fleet.link".to_owned());
                let done = self.fleet.as_mut().map_or_else(none, |f| f.hand_over(&mut self.io, &task, to));
                if let Err(why) = done {
                    if let Some(admin) = &mut self.admin {
                        admin.reply_invalid_params(slot, &id, &why);
                    }
                    return;
                }
                json!({"task": task, "to": to})
            }
            AdminRequest::SetManualDrain { name, drain } => {
                if !self.drain_node(&name, drain) {
                    let why = format!("`{name}` is no node of the list");
                    if let Some(admin) = &mut self.admin {
                        admin.reply_invalid_params(slot, &id, &why);
                    }
                    return;
                }
                json!({"node": name})
            }
            AdminRequest::Drain => {
                self.life(ProcessEvent::DrainRequested);
                json!({"state": self.life.state().name()})
            }
            AdminRequest::Reload { dry_run } => {
                let asker = self.admin.as_ref().and_then(|a| a.reload_waiter(slot, id, dry_run));
                let Some(asker) = asker else { return };
                self.reload.add_waiter(asker);
                if dry_run {
                    self.reload.start(&self.config)
                } else {
                    self.life(ProcessEvent::ReloadRequested)
                }
                return;
            }
            AdminRequest::TakeOver => {
                return self.life(ProcessEvent::TakeoverRequested { peer: slot as u64 });
            }
            AdminRequest::TakeoverReady => {
                self.life(ProcessEvent::TakeoverReady { peer: slot as u64 });
                json!({"state": self.life.state().name()})
            }
            AdminRequest::TakeoverFailed => {
                return self.life(ProcessEvent::TakeoverFailed { peer: slot as u64 });
            }
        };
        if let Some(admin) = &mut self.admin {
            admin.reply(slot, &id, answer);
        }
    }

    /// What is so now, for who watches.
    fn now(&self) -> Snapshot {
        let time = self.io.now();
        let mut leases = std::collections::BTreeMap::<String, f64>::new();
        for customer in self.decision.customers() {
            *leases.entry(customer.plan.to_string()).or_default() += customer.leased_units;
        }
        let node = |b: doorcourse::BackendStatus| {
            (b.name.to_string(), b.concurrency_limit, b.in_flight, b.ready && b.ejected_until <= time)
        };
        Snapshot {
            ready: self.life.is_ready(),
            requests: self.exchanges.count(),
            clients: self.clients.count(),
            bytes: self.clients.budget.bytes(),
            silent: self.decision.is_counter_silent(),
            leases: leases.into_iter().collect(),
            nodes: self.decision.backends().map(node).collect(),
            fleet: self.fleet.as_ref().map(Fleet::seen).unwrap_or_default(),
        }
    }

    fn status(&self) -> Value {
        json!({
            "state": self.life.state().name(),
            "ready": self.life.is_ready(),
            "name": self.name,
            "number": self.config.decisions.gateway_index,
            "gateways": self.config.decisions.gateway_count,
            "listeners": self.addresses().unwrap_or_default().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "requests": self.exchanges.count(),
            "clients": self.clients.count(),
            "counter_calls": self.counter.out,
            "counter_silent": self.decision.is_counter_silent(),
            "requests_so_far": self.exchanges.total,
            "buffered_bytes": self.clients.budget.bytes(),
        })
    }

    fn node_views(&self) -> Value {
        let now = self.io.now();
        let one = |b: doorcourse::BackendStatus| {
            json!({"name": &*b.name, "ready": b.ready, "drained_here": self.drained.is_drained(&b.name), "out": b.in_flight,
                "room": b.concurrency_limit, "failures": b.consecutive_failures, "ejected_for_ms": (b.ejected_until - now).max(0.0),
                "started_ms": b.started})
        };
        self.decision.backends().map(one).collect()
    }

    fn customer_views(&self) -> Value {
        let one = |c: doorcourse::CustomerStatus| {
            json!({"name": &*c.name, "plan": &*c.plan, "lease": c.leased_units, "store": c.available_units, "owed": c.unreported_units,
                "waiting": c.waiting, "open": c.in_flight})
        };
        self.decision.customers().map(one).collect()
    }
}

fn is_end_of_client(ready: &Ready) -> bool {
    ready.ended && matches!(Token::unpack(ready.token), Token::Client(..))
}

fn times(config: &Config) -> LifecycleSettings {
    let doorcourse_config::Life { notice, drain, handover, give_back, quiet } = config.life;
    LifecycleSettings {
        readiness_notice: notice,
        drain_timeout: drain,
        takeover_timeout: handover,
        release_timeout: give_back,
        idle_period: quiet,
    }
}

fn chance() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
