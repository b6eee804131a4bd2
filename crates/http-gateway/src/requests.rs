//! The request table: for each admitted request its life cycle, the buffered part of its response, and the connections
//! of its client and its attempt. It uses neither sockets nor the client's protocol; the event loop executes its
//! [`RequestCommand`]s.

mod command;
mod in_flight;

pub(crate) use command::{AdmittedRequest, FinalResponseRecord, RequestCommand, SERVED};

use crate::backends::{AttemptEvent, BackendRequest, ConnectionId};
use crate::graphql_front::{REQUEST_ID_FIELD, Request, response_code};
use doorcourse::{AttemptEnd, Event, Idempotency, IncomingRequest, Millis, Name, RequestId};
use doorcourse_config::Config;
use doorcourse_request_lifecycle::{LifecycleAction, LifecycleEvent, RequestLifecycle};
use in_flight::{Attempt, BufferedResponse, InFlightRequest};
use std::collections::{HashMap, HashSet, VecDeque};

/// A cost that a backend claims is logged if it differs from the counted cost by more than this, in units.
const CLAIM_TOLERANCE: f64 = 1e-6;

/// All requests in flight.
#[derive(Default)]
pub(crate) struct Requests {
    requests: HashMap<RequestId, InFlightRequest>,
    /// The number of requests admitted so far, which is also the id of the last one.
    pub total: RequestId,
    /// Backends whose cost claim has been logged as a warning.
    logged_cost_claims: HashSet<Name>,
    /// The commands that the event loop has to execute, in order.
    pub commands: VecDeque<RequestCommand>,
}

impl Requests {
    /// The number of requests in flight.
    pub(crate) fn count(&self) -> usize {
        self.requests.len()
    }

    /// Whether the request is in flight.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Whether an attempt of this request is in flight.
    pub(crate) fn has_attempt(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.lifecycle.has_attempt())
    }

    /// The ids of the requests in flight.
    pub(crate) fn open_ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Adds a request. `instance_name` is the prefix of the external ids that this process makes.
    pub(crate) fn admit(
        &mut self, now: Millis, config: &Config, client: usize, instance_name: &str, request: Request,
    ) -> AdmittedRequest {
        self.total += 1;
        let id = self.total;
        let client_id = request.forwarded_fields.iter().find(|(field, _)| field == REQUEST_ID_FIELD);
        let external_id =
            client_id.map_or_else(|| format!("{instance_name}-{id}").into(), |(_, v)| v.as_str().into());
        let incoming = incoming_request(config, id, &request);
        let class = &config.decisions.classes[request.class];
        let in_flight = InFlightRequest {
            client: Some(client),
            plan: incoming.plan.clone(),
            class: incoming.class.clone(),
            received_at: now,
            external_id,
            lifecycle: RequestLifecycle::new(config.limits.held_answer),
            media: request.media,
            body: request.body,
            forwarded_fields: request.forwarded_fields,
            needs_idempotency_key: class.idempotency == Idempotency::WithKey,
            units: request.units,
            attempt: Attempt::default(),
            response: BufferedResponse::new(
                request.prepared.into_response_scanner(config.max_response_depth),
            ),
        };
        let held_bytes = in_flight.held_bytes();
        self.requests.insert(id, in_flight);
        AdmittedRequest { incoming, held_bytes }
    }

    /// Records that the decisions start an attempt at a backend. Returns the number of the attempt, from 1.
    ///
    /// # Errors
    /// The end of the attempt, if the request has ended.
    pub(crate) fn attempt_started(
        &mut self, now: Millis, id: RequestId, backend: Name,
    ) -> Result<u32, AttemptEnd> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Err(AttemptEnd::not_started(id, backend));
        };
        request.attempt.backend = backend;
        request.attempt.started_at = now;
        request.response.reset();
        request.lifecycle.handle(LifecycleEvent::AttemptStarted, &mut Vec::new());
        Ok(request.lifecycle.attempts())
    }

    /// Handles the retry deadline of an attempt: the attempt is withdrawn, which its life cycle ignores if bytes of it
    /// are written.
    pub(crate) fn handle_retry_deadline(&mut self, now: Millis, id: RequestId, attempt: u32) {
        if self.requests.get(&id).is_some_and(|request| request.has_attempt(attempt)) {
            self.handle_event(now, id, LifecycleEvent::Withdrawn);
        }
    }

    /// Withdraws the attempts at all backends except these. The life cycle of a request ignores this if bytes of the
    /// attempt are written.
    pub(crate) fn withdraw_unwritten_except(&mut self, now: Millis, backends: &HashSet<Name>) {
        let elsewhere = |request: &InFlightRequest| {
            request.lifecycle.has_attempt() && !backends.contains(&request.attempt.backend)
        };
        let ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| elsewhere(request)).map(|(id, _)| *id).collect();
        for id in ids {
            self.handle_event(now, id, LifecycleEvent::Withdrawn);
        }
    }

    /// The request as it is written to a backend.
    pub(crate) fn backend_request<'a>(&'a self, id: RequestId, path: &'a str) -> Option<BackendRequest<'a>> {
        let request = self.requests.get(&id)?;
        let mut fields: Vec<(&str, &str)> = vec![
            ("content-type", "application/json"),
            ("accept", "application/graphql-response+json, application/json;q=0.9"),
        ];
        fields.extend(request.forwarded_fields.iter().map(|(name, value)| (name.as_str(), value.as_str())));
        let has = |wanted: &str| request.forwarded_fields.iter().any(|(name, _)| name == wanted);
        if !has(REQUEST_ID_FIELD) {
            fields.push((REQUEST_ID_FIELD, &request.external_id));
        }
        if request.needs_idempotency_key && !has("idempotency-key") {
            // If the client gave no key, the external id lets the backend recognize the gateway's retries.
            fields.push(("idempotency-key", &request.external_id));
        }
        Some(BackendRequest { path, fields, body: &request.body })
    }

    /// Records the connection of the attempt in flight.
    pub(crate) fn set_connection(&mut self, id: RequestId, connection: ConnectionId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt.connection = Some(connection);
        }
    }

    /// Handles an event of a request's attempt.
    pub(crate) fn handle_attempt_event(
        &mut self, now: Millis, forward_cookies: bool, id: RequestId, event: AttemptEvent,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let event = match event {
            AttemptEvent::Connected => LifecycleEvent::Connected,
            AttemptEvent::BytesWritten => LifecycleEvent::RequestSent,
            AttemptEvent::InvalidResponse => LifecycleEvent::InvalidResponse,
            AttemptEvent::ConnectionLost => {
                request.attempt.connection = None;
                LifecycleEvent::ConnectionLost
            }
            AttemptEvent::Head(head) => {
                request.response.set_head(&head, forward_cookies);
                LifecycleEvent::ResponseHead { status: head.status }
            }
            AttemptEvent::Data(data) => {
                let bytes = data.len();
                request.response.append(data);
                LifecycleEvent::ResponseData { bytes }
            }
            AttemptEvent::End => {
                request.response.set_complete();
                request.attempt.connection = None;
                let counted = request.response.scan.cost();
                log_cost_claim(&mut self.logged_cost_claims, request, counted.reported_cost, counted.units);
                LifecycleEvent::ResponseEnd { complete: counted.complete, units: counted.units }
            }
        };
        self.handle_event(now, id, event);
    }

    /// Handles the disconnect of a request's client.
    pub(crate) fn handle_client_disconnect(&mut self, now: Millis, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.client = None;
        }
        self.handle_event(now, id, LifecycleEvent::ClientDisconnected);
        self.handle_client_ready(id);
    }

    /// Resumes reading from the backend after the client has read enough of the response, or has disconnected.
    pub(crate) fn handle_client_ready(&mut self, id: RequestId) {
        if let Some(connection) = self.requests.get(&id).and_then(|request| request.attempt.connection) {
            self.commands.push_back(RequestCommand::ResumeBackend { slot: connection.slot });
        }
    }

    /// Removes a request that is still open at the end of a drain, and closes its connections.
    pub(crate) fn abort(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if let Some(client) = request.client {
            self.commands.push_back(RequestCommand::ResetClient { client });
        }
        if let Some(connection) = request.attempt.connection {
            self.commands.push_back(RequestCommand::CloseBackendConnection { slot: connection.slot });
        }
        self.commands.push_back(RequestCommand::ReleaseBytes(request.held_bytes()));
    }

    /// Reports an event to a request's life cycle and executes the actions that follow.
    pub(crate) fn handle_event(&mut self, now: Millis, id: RequestId, event: LifecycleEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut actions = Vec::new();
        request.lifecycle.handle(event, &mut actions);
        for action in actions {
            self.execute_action(now, id, action);
        }
    }

    fn execute_action(&mut self, now: Millis, id: RequestId, action: LifecycleAction) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match action {
            LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent } => {
                request.attempt.connection = None;
                let end = request.attempt_end(now, id, outcome, true_units, final_response_sent);
                self.commands.push_back(RequestCommand::NotifyDecisions(Event::AttemptEnded(end)));
            }
            LifecycleAction::AbandonRequest => {
                let record = request.record(now, "CLIENT_LEFT");
                self.commands.push_back(RequestCommand::RecordFinalResponse(record));
                self.commands.push_back(RequestCommand::NotifyDecisions(Event::ClientDisconnected { id }));
            }
            LifecycleAction::Respond(response) => {
                let media = request.media;
                let external_id = request.external_id.clone();
                let respond = |client| RequestCommand::Respond { client, media, response, external_id };
                self.finish_client(now, id, response_code(response), respond);
            }
            LifecycleAction::ForwardResponse => self.forward_response(id),
            LifecycleAction::EndResponse => {
                self.finish_client(now, id, SERVED, |client| RequestCommand::EndResponse { client });
            }
            LifecycleAction::DiscardResponse => request.response.discard(),
            LifecycleAction::ResetClient => {
                self.finish_client(now, id, "CUT", |client| RequestCommand::ResetClient { client });
            }
            LifecycleAction::CloseBackendConnection => {
                let connection = request.attempt.connection.take();
                let close = |c: ConnectionId| RequestCommand::CloseBackendConnection { slot: c.slot };
                self.commands.extend(connection.map(close));
            }
            LifecycleAction::Finished => {
                if let Some(request) = self.requests.remove(&id) {
                    self.commands.push_back(RequestCommand::ReleaseBytes(request.held_bytes()));
                }
            }
        }
    }

    /// Records the final response of a request, and issues the command that ends it at the client.
    fn finish_client(
        &mut self, now: Millis, id: RequestId, code: &'static str,
        command: impl FnOnce(usize) -> RequestCommand,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.commands.push_back(RequestCommand::RecordFinalResponse(request.record(now, code)));
        self.commands.extend(request.client.take().map(command));
    }

    /// Forwards the buffered part of a response, with its head unless that has been forwarded.
    fn forward_response(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(client) = request.client else { return request.response.clear_buffer() };
        let Some((head, bytes)) = request.response.take_forwardable() else { return };
        let external_id = request.external_id.clone();
        let backend = request.attempt.connection.map(|connection| connection.slot);
        self.commands.push_back(RequestCommand::ForwardResponse {
            client,
            head,
            external_id,
            bytes,
            backend,
        });
    }
}

/// A request as it is reported to the decisions.
fn incoming_request(config: &Config, id: RequestId, request: &Request) -> IncomingRequest {
    let customer = &request.customer;
    IncomingRequest {
        id,
        customer: customer.name.clone(),
        plan: config.decisions.plans[customer.plan_index].name.clone(),
        class: config.decisions.classes[request.class].name.clone(),
        units: request.units,
        client_retry: false,
        timeout: request.timeout,
        first_gateway: customer.first_gateway,
        gateway_count: customer.gateway_count,
        sticky_route: request.sticky_route.clone(),
    }
}

/// Logs a backend's cost claim that differs from the counted cost, once for each backend as a warning. The claim has no
/// other effect: the customer is charged the counted cost.
fn log_cost_claim(
    logged: &mut HashSet<Name>, request: &InFlightRequest, claim: Option<f64>, counted_units: f64,
) {
    let differs = |claimed: &f64| (claimed - counted_units).abs() > CLAIM_TOLERANCE;
    let Some(claimed_units) = claim.filter(differs) else { return };
    let backend = &request.attempt.backend;
    let priced_units = request.units;
    tracing::debug!(%backend, claimed_units, counted_units, "backend claims another cost");
    if logged.insert(backend.clone()) {
        tracing::warn!(
            %backend,
            claimed_units,
            counted_units,
            priced_units,
            "backend claims another cost; logged once for each backend"
        );
    }
}
