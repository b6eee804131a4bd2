//! The gateway's event loop: passes messages between the components and the decision library.
//!
//! Order of an iteration:
//!
//! 1. Wait for readiness or the next timeout, and read the clock once. After a wait that ended far too late, re-poll so
//!    that input which arrived in the meantime is processed before timeouts.
//! 2. Handle clients that have disconnected, before anything that could start an attempt for them.
//! 3. Handle input: signals, endpoint lists, counter replies, responses of backends.
//! 4. Handle timeouts of the components, then timers.
//! 5. Accept connections and read the commands of clients; handle timeouts of client connections.
//! 6. While draining: stop accepting, and examine every client connection.
//! 7. At the final-response deadline: respond to every open request.
//! 8. Write to the sockets, in at most [`MAX_FLUSH_ROUNDS`] rounds.
//!
//! After each step, messages are processed until none is pending ([`RespGateway::process_pending_events`]).

mod actions;
mod configuration;
mod health_checks;
mod lost_attempts;
mod ready_order;
mod signals;
mod upkeep;

pub use signals::{GatewayHandle, SignalHandlers};

use crate::backends::{AttemptUpdate, Backends, is_health_check};
use crate::clients::{ClientEvent, ClientTable};
use crate::config::{Config, MachineLimits};
use crate::counter::CounterPool;
use crate::diagnostics::Diagnostics;
use crate::discovery::DiscoveryClient;
use crate::reactor::{Reactor, Token, TokenKind};
use crate::requests::{RequestCommand, RequestTable};
use configuration::ReservedDescriptor;
use doorcourse::{AccountingCheck, Action, ActionOutcome, Event, Gateway, Millis, RequestId};
use doorcourse_connection_limits::{BufferBudget, DescriptorBudget, max_list_bytes};
use doorcourse_deployment::Deployment;
use doorcourse_discovery::Readiness;
use doorcourse_event_loop::{Ready, listen, max_descriptors};
use doorcourse_graceful_shutdown::{FinalRound, FinalRounds, GracefulShutdown, ShutdownPhase, needs_repoll};
use doorcourse_request_lifecycle::LifecycleEvent;
use health_checks::HealthChecks;
use ready_order::ReadyOrder;
use signals::SignalPipes;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Rounds of writing in one iteration. A failed write ends an attempt, and its retry or response has to be written too;
/// what is left after the last round is written in the next iteration.
const MAX_FLUSH_ROUNDS: usize = 4;

/// A running gateway.
pub struct RespGateway {
    reactor: Reactor,
    config_path: PathBuf,
    reserved_descriptor: ReservedDescriptor,
    deployment: Deployment,
    /// The decision library.
    decisions: Gateway,
    accounting: AccountingCheck,
    clients: ClientTable,
    backends: Backends,
    requests: RequestTable,
    counter: CounterPool,
    discovery: DiscoveryClient,
    health_checks: HealthChecks,
    diagnostics: Diagnostics,
    /// Whether `PING` is answered with `PONG`; not the readiness of sockets.
    readiness: Readiness,
    shutdown: GracefulShutdown,
    /// Whether the listener was closed because draining began.
    stopped_accepting: bool,
    address: SocketAddr,
    signals: SignalPipes,
    pending: PendingEvents,
    /// Reused buffer for the actions of the decision library.
    actions: Vec<Action>,
    /// Reused buffer for the commands of the request table.
    commands: Vec<RequestCommand>,
}

/// Events that the components reported and that are not processed yet.
#[derive(Default)]
struct PendingEvents {
    /// Events for the decision library, in order.
    decisions: VecDeque<Event>,
    attempts: Vec<AttemptUpdate>,
    clients: Vec<ClientEvent>,
    /// Events for the decision library from the counter.
    counter: Vec<Event>,
}

impl PendingEvents {
    /// Whether no component has reported anything.
    fn components_are_quiet(&self) -> bool {
        self.attempts.is_empty() && self.clients.is_empty() && self.counter.is_empty()
    }
}

impl RespGateway {
    /// Binds the configured address; clients are served from [`run`](Self::run) on. A reload reads the file at
    /// `config_path` again.
    ///
    /// # Errors
    /// When the settings cannot be used or the address cannot be bound.
    pub fn new(config_path: PathBuf, config: Config) -> anyhow::Result<Self> {
        let mut reactor = Reactor::new(BufferBudget::for_memory(config.limits.memory_bytes))?;
        let deployment = config.deployment;
        let decisions = Gateway::new(deployment.settings.clone(), config.seed)?;
        let listener = listen(config.listen)
            .map_err(|error| anyhow::anyhow!("cannot listen on {}: {error}", config.listen))?;
        let address = listener.local_addr()?;
        // The file may state more descriptors than the system allows.
        let budget = DescriptorBudget::for_limit(config.limits.descriptors.min(max_descriptors()));
        let clients = ClientTable::new(&mut reactor, listener, budget.clients)?;
        let host = &deployment.host;
        let max_list_bytes = max_list_bytes(config.limits.memory_bytes);
        tracing::debug!(settings = ?deployment.settings, ?host, "settings");
        let known = config.known_endpoints;
        let known_version = known.as_ref().map(|list| list.version);
        let known_backends = known.as_ref().map(|list| list.endpoints.len());
        let mut gateway = Self {
            backends: Backends::new(budget.backends, host.connect_timeout, host.backend_idle_timeout),
            counter: CounterPool::new(config.counter, deployment.settings.counter_timeout),
            discovery: DiscoveryClient::new(
                reactor.now,
                config.discovery,
                known_version,
                host.drain_grace,
                max_list_bytes,
            ),
            signals: SignalPipes::new(&mut reactor)?,
            diagnostics: Diagnostics::new(reactor.now, config.limits.memory_bytes),
            readiness: Readiness::new(reactor.now),
            reactor,
            config_path,
            reserved_descriptor: ReservedDescriptor::default(),
            deployment,
            decisions,
            accounting: AccountingCheck::default(),
            clients,
            requests: RequestTable::default(),
            health_checks: HealthChecks::default(),
            shutdown: GracefulShutdown::default(),
            stopped_accepting: false,
            address,
            pending: PendingEvents::default(),
            actions: Vec::new(),
            commands: Vec::new(),
        };
        gateway.log_started(&config.name, config.limits, budget, known_backends);
        if let Some(mut list) = known {
            // No other list is in use yet, so this one is complete whatever the file states.
            list.complete = true;
            gateway.apply_endpoints(list);
            gateway.process_pending_events();
        }
        Ok(gateway)
    }

    fn log_started(
        &self, name: &str, limits: MachineLimits, budget: DescriptorBudget, known_backends: Option<usize>,
    ) {
        tracing::info!(
            name,
            address = %self.address,
            client_connections = budget.clients,
            backend_connections = budget.backends,
            known_backends,
            memory_mib = limits.memory_bytes >> 20,
            buffers_mib = self.reactor.buffers.limit() >> 20,
            keepalive_ms = self.deployment.host.backend_idle_timeout,
            connect_timeout_ms = self.deployment.host.connect_timeout,
            "started"
        );
    }

    /// The address on which the gateway listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets these signals wake the loop; those received already are processed in its first iteration.
    ///
    /// # Errors
    /// When the poller cannot register them.
    pub fn attach_signals(&mut self, handlers: SignalHandlers) -> std::io::Result<()> {
        self.signals.attach(&mut self.reactor, handlers)
    }

    /// A handle that stops the gateway or reloads its configuration from another thread.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn handle(&self) -> std::io::Result<GatewayHandle> {
        self.signals.handle()
    }

    /// Serves until the graceful shutdown is complete.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn run(&mut self) -> anyhow::Result<()> {
        let mut ready = Vec::new();
        while !self.shutdown.is_finished(self.reactor.now, self.clients.connection_count()) {
            self.wait(&mut ready)?;
            self.run_iteration(&mut ready);
        }
        tracing::info!("stopped");
        Ok(())
    }

    fn wait(&mut self, ready: &mut Vec<Ready>) -> anyhow::Result<()> {
        let next_timeout = self.next_timeout();
        let max_wait = (next_timeout < f64::INFINITY).then(|| self.reactor.clock.until(next_timeout));
        self.reactor.poller.wait(max_wait, ready)?;
        self.reactor.now = self.reactor.clock.now();
        if needs_repoll(self.reactor.now - next_timeout) {
            // Readiness is level-triggered: what was reported before is reported again.
            self.reactor.poller.wait(Some(Duration::ZERO), ready)?;
        }
        Ok(())
    }

    fn next_timeout(&self) -> Millis {
        let timeouts = [
            self.discovery.next_timeout(),
            self.counter.next_timeout(),
            self.backends.next_timeout(),
            self.clients.next_timeout(),
            self.reactor.timers.next_deadline().unwrap_or(f64::INFINITY),
            self.shutdown.next_timeout(self.reactor.now),
        ];
        timeouts.into_iter().fold(f64::INFINITY, f64::min)
    }

    fn run_iteration(&mut self, ready: &mut [Ready]) {
        let order = ReadyOrder::sort(ready);
        for ready in order.before_timers {
            self.handle_readiness(*ready);
        }
        self.handle_component_timeouts();
        self.handle_timers();
        for ready in order.after_timers {
            self.handle_readiness(*ready);
        }
        self.clients.handle_timeout(&mut self.reactor, &self.deployment, &mut self.pending.clients);
        if self.shutdown.is_draining(self.reactor.now) {
            self.drain_clients();
        }
        self.process_pending_events();
        if self.shutdown.phase(self.reactor.now) == ShutdownPhase::FinalResponses {
            self.respond_to_all();
        }
        self.flush();
        self.backends.resume_reading(&mut self.reactor);
        self.check_buffer_counts();
        self.remove_unneeded_timers();
        self.recover_lost_attempts();
        self.log_diagnostics();
    }

    fn handle_readiness(&mut self, ready: Ready) {
        let Some(token) = Token::unpack(ready.token) else { return };
        let reactor = &mut self.reactor;
        let pending = &mut self.pending;
        match token.kind {
            TokenKind::Signal => self.handle_signals(token.index),
            TokenKind::Discovery => self.handle_discovery_readiness(token, ready),
            TokenKind::Counter => {
                self.counter.handle_readiness(reactor, token, ready, &mut pending.counter);
            }
            TokenKind::Backend => {
                self.backends.handle_readiness(reactor, token, ready, &mut pending.attempts);
            }
            TokenKind::Listener => self.clients.accept(reactor, &self.deployment, &mut pending.clients),
            TokenKind::Client => {
                self.clients.handle_readiness(reactor, &self.deployment, token, ready, &mut pending.clients);
            }
        }
        self.process_pending_events();
    }

    fn handle_component_timeouts(&mut self) {
        self.discovery.handle_timeout(&mut self.reactor);
        self.counter.handle_timeout(&mut self.reactor, &mut self.pending.counter);
        self.backends.handle_timeout(&mut self.reactor, &mut self.pending.attempts);
        self.process_pending_events();
    }

    fn handle_timers(&mut self) {
        while let Some(timer) = self.reactor.timers.pop_expired(self.reactor.now) {
            self.handle_timer(timer);
            self.process_pending_events();
        }
    }

    /// Processes the events of the components, passes events to the decision library and executes its actions, until no
    /// event is pending.
    fn process_pending_events(&mut self) {
        loop {
            self.process_component_events();
            match self.pending.decisions.pop_front() {
                Some(event) => self.notify_decisions(event),
                None if self.pending.components_are_quiet() => return,
                None => {}
            }
        }
    }

    fn process_component_events(&mut self) {
        self.pending.decisions.extend(self.pending.counter.drain(..));
        for update in std::mem::take(&mut self.pending.attempts) {
            if is_health_check(update.request) {
                self.handle_health_check_event(update);
            } else {
                self.handle_attempt_update(update);
            }
        }
        for event in std::mem::take(&mut self.pending.clients) {
            self.handle_client_event(event);
        }
    }

    fn notify_decisions(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let mut not_started = Vec::new();
        self.diagnostics.record_event(self.reactor.now, &event);
        self.decisions.handle(self.reactor.now, event, &mut actions);
        for action in actions.drain(..) {
            self.diagnostics.record_action(self.reactor.now, &action, &self.decisions);
            if let ActionOutcome::AttemptNotStarted(end) = self.execute_action(action) {
                not_started.push(end);
            }
        }
        // Before all other events: the place at the backend is free, and the request is known until its own end is
        // reported.
        for end in not_started.into_iter().rev() {
            self.pending.decisions.push_front(Event::AttemptEnded(end));
        }
        self.actions = actions;
    }

    /// Stops accepting in the first iteration of draining, and has every client connection examined in each.
    fn drain_clients(&mut self) {
        if std::mem::replace(&mut self.stopped_accepting, true) {
            self.clients.schedule_flush_of_all();
        } else {
            self.clients.stop_accepting(&mut self.reactor, &self.deployment, &mut self.pending.clients);
        }
    }

    /// Responds to every open request: the deadlines of the attempts in flight expire, and the decision library chooses
    /// the final response. Retries that it starts here reach no socket: a later round ends them, and nothing is written
    /// before all rounds are over.
    fn respond_to_all(&mut self) {
        let mut rounds = FinalRounds::new(self.deployment.settings.max_attempts);
        loop {
            match rounds.next(self.requests.awaiting_response()) {
                FinalRound::ExpireAttempts(open) => {
                    self.handle_events_of(&open, LifecycleEvent::DeadlineExpired);
                }
                FinalRound::ResetClients(open) => {
                    return self.handle_events_of(&open, LifecycleEvent::Failed);
                }
                FinalRound::Finished => return,
            }
        }
    }

    fn handle_events_of(&mut self, requests: &[RequestId], event: LifecycleEvent) {
        for request in requests {
            self.handle_request_event(*request, event);
        }
        self.process_pending_events();
    }

    fn flush(&mut self) {
        for _ in 0..MAX_FLUSH_ROUNDS {
            self.backends.flush(&mut self.reactor, &mut self.pending.attempts);
            self.counter.flush(&mut self.reactor, &mut self.pending.counter);
            let client_events = &mut self.pending.clients;
            self.clients.flush(&mut self.reactor, &self.deployment, &self.shutdown, client_events);
            if self.pending.components_are_quiet() {
                return;
            }
            self.process_pending_events();
        }
    }
}
