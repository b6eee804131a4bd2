//! Executes the actions of the decision library, and handles the events of clients, attempts and timers.

use super::RespGateway;
use crate::backends::{AttemptEvent, AttemptTimeouts, AttemptUpdate};
use crate::clients::{ClientEvent, CommandId, RequestFailure, Response};
use crate::reactor::Timer;
use crate::request::{Request, RequestError};
use crate::requests::{RequestCommand, StartOutcome};
use doorcourse::{Action, ActionOutcome, Event, Millis, Name, RequestId};
use doorcourse_connection_limits::BufferHolder;
use doorcourse_counter::CounterCall;
use doorcourse_request_lifecycle::{LifecycleEvent, connect_timeout};

impl RespGateway {
    pub(super) fn execute_action(&mut self, action: Action) -> ActionOutcome {
        match action {
            Action::SendAttempt { id, backend, timeout, must_be_written_within } => {
                return self.start_attempt(id, &backend, timeout, must_be_written_within);
            }
            Action::Reject { id, retry_after, reason } => {
                self.handle_request_event(id, LifecycleEvent::Rejected { retry_after, reason });
            }
            Action::Fail { id } => self.handle_request_event(id, LifecycleEvent::Failed),
            Action::CancelAttempt { id, .. } => self.handle_request_event(id, LifecycleEvent::Cancelled),
            Action::SetTimer { after, token } => {
                self.reactor.timers.schedule(self.reactor.now + after, Timer::Decision { token });
            }
            Action::CheckHealth { backend } => self.start_health_check(backend),
            Action::AddToCounter { counter, amount, time_to_live } => {
                let call = CounterCall { counter, amount, time_to_live };
                self.counter.call(&mut self.reactor, call, &mut self.pending.counter);
            }
            // RESP gateways have no connections to each other, and the watch of the endpoint list always runs.
            Action::Gossip { .. } | Action::WatchBackends => {}
            Action::Log(line) => tracing::info!(target: "doorcourse::decisions", "{line}"),
        }
        ActionOutcome::Done
    }

    fn start_attempt(
        &mut self, request: RequestId, backend: &Name, timeout: Option<Millis>,
        must_be_written_within: Option<Millis>,
    ) -> ActionOutcome {
        let now = self.reactor.now;
        let outgoing = match self.requests.start_attempt(now, request, backend) {
            Ok(outgoing) => outgoing,
            Err(end) => return ActionOutcome::AttemptNotStarted(end),
        };
        if let Some(timeout) = timeout {
            self.reactor.timers.schedule(now + timeout, Timer::RequestDeadline { request });
        }
        let attempt = outgoing.attempt;
        let deadline = outgoing.deadline;
        let max_connect_timeout = self.deployment.host.connect_timeout;
        let request_timeout = deadline - outgoing.request_started_at;
        let elapsed = now - outgoing.request_started_at;
        let connect_timeout = connect_timeout(max_connect_timeout, request_timeout, elapsed);
        let updates = &mut self.pending.attempts;
        let reactor = &mut self.reactor;
        let timeouts = AttemptTimeouts { deadline, connect_timeout };
        self.backends.start_attempt(reactor, request, backend, outgoing.command, timeouts, updates);
        if self.backends.awaits_connection(request) && max_connect_timeout > 0.0 {
            self.reactor.timers.schedule(now + connect_timeout, Timer::ConnectTimeout { request, attempt });
        }
        if let Some(window) = must_be_written_within {
            self.reactor.timers.schedule(now + window, Timer::WriteDeadline { request, attempt });
        }
        ActionOutcome::Done
    }

    pub(super) fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Decision { token } => self.pending.decisions.push_back(Event::TimerExpired { token }),
            Timer::RequestDeadline { request } => {
                self.handle_request_event(request, LifecycleEvent::DeadlineExpired);
            }
            Timer::HealthCheckTimeout { check } => self.time_out_health_check(check),
            Timer::ConnectTimeout { request, attempt } => {
                if self.requests.is_in_flight(request, attempt) && self.backends.awaits_connection(request) {
                    self.backends.abandon(request);
                    let event = AttemptEvent::ConnectionLost;
                    self.pending.attempts.push(AttemptUpdate { request, event });
                }
            }
            Timer::WriteDeadline { request, attempt } => {
                if self.requests.is_in_flight(request, attempt) {
                    self.handle_request_event(request, LifecycleEvent::Withdrawn);
                }
            }
        }
    }

    pub(super) fn handle_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::PingReceived { command } => {
                let is_ready = self.readiness.is_ready(self.reactor.now);
                let response = if is_ready { Response::Pong } else { Response::Loading };
                self.clients.respond(&mut self.reactor, command, response);
            }
            ClientEvent::RequestReceived { command, request } => self.start_request(command, *request),
            ClientEvent::Disconnected { request } => {
                self.handle_request_event(request, LifecycleEvent::ClientDisconnected);
            }
        }
    }

    fn start_request(&mut self, command: CommandId, request: Request) {
        if !self.clients.is_connected(command) {
            // The client disconnected right after the request was read.
            return;
        }
        let now = self.reactor.now;
        let buffers = &self.reactor.buffers;
        let started = self.requests.start(now, &self.deployment, &self.shutdown, buffers, command, request);
        self.count_request_buffers();
        let response = match started {
            StartOutcome::Started { request, deadline, event } => {
                self.clients.request_started(command, request);
                self.reactor.timers.schedule(deadline, Timer::RequestDeadline { request });
                return self.pending.decisions.push_back(event);
            }
            StartOutcome::DuplicateId => Response::InvalidRequest(RequestError::DuplicateId),
            StartOutcome::ExecutedId => Response::InvalidRequest(RequestError::ExecutedId),
            StartOutcome::DeadlineTooShort => Response::Failed(RequestFailure::DeadlineTooShort),
            // Another gateway can accept the request at once, so the client need not wait.
            StartOutcome::ShuttingDown | StartOutcome::OutOfMemory => {
                Response::Rejected { retry_after_ms: None }
            }
        };
        self.clients.respond(&mut self.reactor, command, response);
    }

    pub(super) fn handle_attempt_update(&mut self, update: AttemptUpdate) {
        let now = self.reactor.now;
        let send_retry_after = self.deployment.host.retry_after_allowed;
        let commands = &mut self.commands;
        self.requests.handle_attempt_event(now, update.request, update.event, send_retry_after, commands);
        self.count_request_buffers();
        self.execute_commands();
    }

    pub(super) fn handle_request_event(&mut self, request: RequestId, event: LifecycleEvent) {
        let now = self.reactor.now;
        let send_retry_after = self.deployment.host.retry_after_allowed;
        self.requests.handle_event(now, request, event, send_retry_after, &mut self.commands);
        self.count_request_buffers();
        self.execute_commands();
    }

    fn count_request_buffers(&mut self) {
        self.reactor.buffers.set_used(BufferHolder::Requests, self.requests.buffered_bytes());
    }

    fn execute_commands(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            match command {
                RequestCommand::NotifyDecisions(event) => self.pending.decisions.push_back(event),
                RequestCommand::Respond { command, response } => {
                    self.clients.respond(&mut self.reactor, command, response);
                }
                RequestCommand::AbandonAttempt { request } => self.backends.abandon(request),
            }
        }
        self.commands = commands;
    }
}
