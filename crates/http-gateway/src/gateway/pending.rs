//! Pending messages between the components: commands of the request table, events of clients, events and actions of the
//! decisions, admin calls and monitoring pages.

use super::Gateway;
use crate::backends::AttemptEvent;
use crate::clients::ClientEvent;
use crate::graphql_front as front;
use crate::io::Timer;
use crate::requests::RequestCommand;
use doorcourse::{Action, ActionOutcome, AttemptEnd, Event, Millis, Name, RequestId};
use doorcourse_counter::CounterCall;
use doorcourse_request_lifecycle::LifecycleEvent;

impl Gateway {
    /// Processes messages until none is left.
    ///
    /// Commands are executed before new events, and the decisions get events in the order in which they happened.
    pub(super) fn process_pending(&mut self) {
        loop {
            if let Some(command) = self.requests.commands.pop_front() {
                self.execute_command(command);
            } else if let Some(event) = self.clients.events.pop_front() {
                self.handle_client_event(event);
            } else if let Some(event) = self.io.events.pop_front() {
                self.decide(event);
            } else if let Some(call) = self.admin.as_mut().and_then(|a| a.calls.pop_front()) {
                self.handle_admin_call(call);
            } else if let Some(page) = self.monitoring.as_mut().and_then(|m| m.page_requests.pop_front()) {
                let snapshot = self.snapshot();
                if let Some(monitoring) = &mut self.monitoring {
                    monitoring.respond(&self.io, &page, &snapshot);
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

    /// Passes one event to the decisions and executes the actions that follow.
    fn decide(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.decisions.handle(self.io.now(), event, &mut actions);
        let mut not_started = Vec::new();
        for action in actions.drain(..) {
            if let ActionOutcome::AttemptNotStarted(end) = self.execute_action(action) {
                not_started.push(end);
            }
        }
        // Before all other events: the place at the backend is free, and the request is known until its own end is
        // reported.
        for end in not_started.into_iter().rev() {
            self.io.events.push_front(Event::AttemptEnded(end));
        }
        self.actions = actions;
    }

    fn execute_action(&mut self, action: Action) -> ActionOutcome {
        let now = self.io.now();
        match action {
            Action::SendAttempt { id, backend, timeout: _, must_be_written_within } => {
                return self.send_attempt(id, &backend, must_be_written_within);
            }
            Action::Reject { id, retry_after, reason } => {
                self.requests.handle_event(now, id, LifecycleEvent::Rejected { retry_after, reason });
            }
            Action::Fail { id } => self.requests.handle_event(now, id, LifecycleEvent::Failed),
            Action::SetTimer { after, token } => self.io.timers.schedule(now + after, Timer::Decision(token)),
            Action::AddToCounter { counter, amount, time_to_live } => {
                self.counter.call(&mut self.io, CounterCall { counter, amount, time_to_live });
            }
            Action::Log(line) => tracing::info!(target: "doorcourse::decisions", "{line}"),
            // The settings of this gateway enable none of these actions: decisions neither gossip, check the health of
            // backends nor cancel attempts, and they are notified of each endpoint list.
            Action::CancelAttempt { .. }
            | Action::CheckHealth { .. }
            | Action::Gossip { .. }
            | Action::WatchBackends => {}
        }
        ActionOutcome::Done
    }

    /// Starts an attempt. With a `write_window` (`must_be_written_within` of the action), it is withdrawn unless its
    /// first bytes are written within this time.
    fn send_attempt(&mut self, id: RequestId, backend: &Name, write_window: Option<Millis>) -> ActionOutcome {
        let attempt = match self.requests.attempt_started(self.io.now(), id, backend.clone()) {
            Ok(attempt) => attempt,
            Err(end) => return ActionOutcome::AttemptNotStarted(end),
        };
        if let Some(window) = write_window {
            self.io.timers.schedule(self.io.now() + window, Timer::RetryDeadline(id, attempt));
        }
        let Some(request) = self.requests.backend_request(id, &self.config.endpoint_path) else {
            return ActionOutcome::AttemptNotStarted(AttemptEnd::not_started(id, backend.clone()));
        };
        match self.backends.send_request(&mut self.io, &self.config.limits, id, backend, &request) {
            Some(connection) => {
                self.requests.set_connection(id, connection);
                self.process_attempt_events(connection.slot, connection.generation);
            }
            // There is no connection: the backend is not listed any more, or none could be opened.
            None => {
                self.requests.handle_attempt_event(self.io.now(), false, id, AttemptEvent::ConnectionLost);
            }
        }
        ActionOutcome::Done
    }

    /// Processes the events of a backend connection. The commands that result from an event are executed before the
    /// next event is read, because they may close the connection.
    pub(super) fn process_attempt_events(&mut self, slot: usize, generation: u32) {
        let forward_cookies = !self.config.routing.cookie.is_empty();
        while let Some((id, event)) =
            self.backends.next_event(&mut self.io, &self.config.limits, slot, generation)
        {
            self.requests.handle_attempt_event(self.io.now(), forward_cookies, id, event);
            while let Some(command) = self.requests.commands.pop_front() {
                self.execute_command(command);
            }
        }
    }

    fn execute_command(&mut self, command: RequestCommand) {
        let io = &mut self.io;
        let config = &self.config;
        match command {
            RequestCommand::NotifyDecisions(event) => io.events.push_back(event),
            RequestCommand::Respond { client, media, response, external_id } => {
                let response = front::final_response(media, response);
                self.clients.respond(io, config, client, &response, Some(&external_id));
                self.clients.resume_input(io, config, client);
            }
            RequestCommand::ForwardResponse { client, head, external_id, bytes, backend } => {
                let unread = self.clients.forward(io, config, client, head, &external_id, &bytes);
                // Back pressure: while a client reads slowly, its backend connection is paused, which bounds the
                // buffer.
                if let Some(slot) = backend.filter(|_| unread > config.limits.client_buffer) {
                    self.backends.set_paused(io, slot, true);
                }
            }
            RequestCommand::EndResponse { client } => {
                self.clients.end_response(io, config, client);
                self.clients.resume_input(io, config, client);
            }
            RequestCommand::ResetClient { client } => self.clients.reset(client),
            RequestCommand::CloseBackendConnection { slot } => self.backends.close(slot),
            RequestCommand::ResumeBackend { slot } => self.backends.set_paused(io, slot, false),
            RequestCommand::RecordFinalResponse(record) => {
                if let Some(monitoring) = &self.monitoring {
                    monitoring.record_final_response(&record);
                }
            }
            RequestCommand::ReleaseBytes(bytes) => self.clients.budget.release(bytes),
        }
    }

    fn handle_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::RequestReceived { client, head, body, head_received_at } => {
                let elapsed = self.io.now() - head_received_at;
                let request = match self.clients.budget.check_request(self.requests.count()) {
                    Ok(()) => front::prepare_request(&self.config, *head, body, elapsed),
                    Err(limit) => Err(front::gateway_full_response(limit.message())),
                };
                match request {
                    Ok(request) => self.admit(client, request),
                    Err(response) => {
                        self.clients.respond(&mut self.io, &self.config, client, &response, None);
                        self.clients.resume_input(&mut self.io, &self.config, client);
                    }
                }
            }
            ClientEvent::Disconnected(id) => self.requests.handle_client_disconnect(self.io.now(), id),
            ClientEvent::ReadyForMore(id) => self.requests.handle_client_ready(id),
        }
    }

    /// Admits a request to the request table and reports it to the decisions.
    fn admit(&mut self, client: usize, request: front::Request) {
        let now = self.io.now();
        let admitted = self.requests.admit(now, &self.config, client, &self.instance_name, request);
        let incoming = admitted.incoming;
        self.clients.budget.reserve(admitted.held_bytes);
        self.clients.request_admitted(client, incoming.id);
        let deadline = self.io.now() + incoming.timeout;
        self.io.timers.schedule(deadline, Timer::RequestDeadline(incoming.id));
        self.io.events.push_back(Event::RequestReceived(incoming));
    }
}
