//! The room of the requests: each one's exchange, what is held of its answer, and where its client and its attempt are.
//! It knows neither sockets nor fronts' bytes: what is to be done goes out as `RequestCommand`, in order.

use crate::backends::{AttemptEvent, BackendRequest};
use crate::clients::ForwardedHead;
use crate::graphql_front::{MediaType, REQUEST_ID_FIELD, Request, response_code};
use doorcourse::{AttemptEnd, Event, Idempotency, IncomingRequest, Name, RequestId};
use doorcourse_config::Config;
use doorcourse_graphql::Scan;
use doorcourse_http::Framing;
use doorcourse_request_lifecycle::{FinalResponse, LifecycleAction, LifecycleEvent, RequestLifecycle};
use std::collections::{HashMap, HashSet, VecDeque};

/// The head of a node's answer, as far as it is passed on.
#[derive(Debug)]
struct AnswerHead {
    status: u16,
    content_type: String,
    framing: Framing,
    /// Set-Cookie fields, passed on where sessions keep to nodes.
    cookies: Vec<String>,
}

/// One request that is with the decisions or whose attempt is still out.
#[derive(Debug)]
struct InFlightRequest {
    client: Option<usize>,
    plan: Name,
    class: Name,
    received_at: f64,
    name: Name,
    lifecycle: RequestLifecycle,
    media: MediaType,
    body: Vec<u8>,
    forwarded_fields: Vec<(String, String)>,
    needs_idempotency_key: bool,
    units: f64,
    scan: Scan,
    /// The connection of the attempt that is out, its node, and when it was sent.
    connection: Option<(usize, u32)>,
    backend: Name,
    sent_at: f64,
    head: Option<AnswerHead>,
    /// What of the answer is not passed on yet.
    held: Vec<u8>,
    /// Whether the held bytes are the whole answer.
    response_complete: bool,
    forwarding: bool,
}

impl InFlightRequest {
    fn done(&self, now: f64, code: &'static str) -> RequestCommand {
        RequestCommand::RecordFinalResponse {
            code,
            plan: self.plan.clone(),
            class: self.class.clone(),
            time: now - self.received_at,
        }
    }
}

/// What is to be done for a request.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Tell the decisions.
    NotifyDecisions(Event),
    /// Give a client this answer.
    Respond { client: usize, media: MediaType, answer: FinalResponse, name: Name },
    /// Pass bytes of a node's answer on to a client, behind a head where one is given.
    ForwardResponse {
        client: usize,
        head: Option<ForwardedHead>,
        name: Name,
        bytes: Vec<u8>,
        node: Option<usize>,
    },
    /// The answer that is passed on is at its end.
    EndResponse { client: usize },
    /// Break a client's connection.
    ResetClient { client: usize },
    /// Close a node's connection.
    CloseBackendConnection { node: usize },
    /// Read a node on that was stopped for its client.
    ResumeBackend { node: usize },
    /// A request has its final answer, after so many ms.
    RecordFinalResponse { code: &'static str, plan: Name, class: Name, time: f64 },
    /// The request is over; so many bytes are let go.
    ReleaseBytes { bytes: u64 },
}

#[derive(Default)]
pub(crate) struct Requests {
    requests: HashMap<RequestId, InFlightRequest>,
    /// How many there were so far.
    pub total: RequestId,
    logged_cost_claims: HashSet<Name>,
    pub commands: VecDeque<RequestCommand>,
}

impl Requests {
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    pub fn open_ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Takes a request on: its number, what the decisions are told, and how many bytes it holds.
    pub fn admit(
        &mut self, now: f64, config: &Config, client: usize, process: &str, ask: Request,
    ) -> (IncomingRequest, u64) {
        let Request {
            customer,
            media,
            class,
            units,
            timeout: patience,
            body,
            forwarded_fields: pass,
            prepared,
            sticky_route: bound,
        } = ask;
        self.total += 1;
        let id = self.total;
        let told = pass.iter().find(|(n, _)| n == REQUEST_ID_FIELD).map(|(_, v)| v.as_str());
        let name = told.map_or_else(|| format!("{process}-{id}").into(), Name::from);
        let decisions = &config.decisions;
        let (class, plan) = (&decisions.classes[class], decisions.plans[customer.plan].name.clone());
        let arrival = IncomingRequest {
            id,
            customer: customer.name.clone(),
            plan,
            class: class.name.clone(),
            units,
            client_retry: false,
            timeout: patience,
            first_gateway: customer.first,
            gateway_count: customer.spread,
            sticky_route: bound,
        };
        let bytes = body.len() as u64;
        let request = InFlightRequest {
            client: Some(client),
            plan: arrival.plan.clone(),
            class: arrival.class.clone(),
            received_at: now,
            name,
            lifecycle: RequestLifecycle::new(config.limits.held_answer),
            media,
            body,
            forwarded_fields: pass,
            needs_idempotency_key: class.idempotency == Idempotency::WithKey,
            units,
            scan: prepared.scan(config.answer_depth),
            connection: None,
            backend: Name::default(),
            sent_at: 0.0,
            head: None,
            held: Vec::new(),
            response_complete: false,
            forwarding: false,
        };
        self.requests.insert(id, request);
        (arrival, bytes)
    }

    /// The decisions send a request to a node; the number of the attempt.
    pub fn attempt_started(&mut self, now: f64, id: RequestId, backend: Name) -> u32 {
        let Some(request) = self.requests.get_mut(&id) else { return 0 };
        (request.backend, request.sent_at) = (backend, now);
        // Nothing of an earlier attempt's answer may colour this one's.
        (request.head, request.response_complete) = (None, false);
        request.held.clear();
        request.scan.reset();
        request.lifecycle.handle(LifecycleEvent::AttemptStarted, &mut Vec::new());
        request.lifecycle.attempts()
    }

    /// The time is over in which an attempt is dropped as a repeat: it is withdrawn unless it is written.
    pub fn handle_retry_deadline(&mut self, now: f64, id: RequestId, attempt: u32) {
        let out = |r: &InFlightRequest| r.lifecycle.has_attempt() && r.lifecycle.attempts() == attempt;
        if self.requests.get(&id).is_some_and(out) {
            self.handle_event(now, id, LifecycleEvent::Withdrawn);
        }
    }

    /// Only these nodes may still get what is not written yet; other attempts that are not are withdrawn.
    pub fn withdraw_unwritten_except(&mut self, now: f64, nodes: &HashSet<Name>) {
        let out = |r: &InFlightRequest| r.lifecycle.has_attempt() && !nodes.contains(&r.backend);
        let ids: Vec<_> = self.requests.iter().filter(|(_, r)| out(r)).map(|(id, _)| *id).collect();
        for id in ids {
            self.handle_event(now, id, LifecycleEvent::Withdrawn);
        }
    }

    pub fn backend_request<'a>(&'a self, id: RequestId, path: &'a str) -> Option<BackendRequest<'a>> {
        let request = self.requests.get(&id)?;
        let mut fields: Vec<(&str, &str)> = vec![
            ("content-type", "application/json"),
            ("accept", "application/graphql-response+json, application/json;q=0.9"),
        ];
        fields.extend(request.forwarded_fields.iter().map(|(n, v)| (n.as_str(), v.as_str())));
        let has = |name: &str| request.forwarded_fields.iter().any(|(n, _)| n == name);
        if !has(REQUEST_ID_FIELD) {
            fields.push((REQUEST_ID_FIELD, &request.name));
        }
        if request.needs_idempotency_key && !has("idempotency-key") {
            // Without a key of the client's the request's own name makes our repeats known as such.
            fields.push(("idempotency-key", &request.name));
        }
        Some(BackendRequest { path, fields, body: &request.body })
    }

    /// The attempt is out on this connection.
    pub fn set_connection(&mut self, id: RequestId, connection: (usize, u32)) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.connection = Some(connection);
        }
    }

    /// Something was heard of a request's attempt.
    pub fn handle_attempt_event(&mut self, now: f64, sticky: bool, id: RequestId, heard: AttemptEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let input = match heard {
            AttemptEvent::Connected => LifecycleEvent::Connected,
            AttemptEvent::BytesWritten => LifecycleEvent::BytesWritten,
            AttemptEvent::InvalidResponse => LifecycleEvent::InvalidResponse,
            AttemptEvent::ConnectionLost => {
                request.connection = None;
                LifecycleEvent::ConnectionLost
            }
            AttemptEvent::Head(head) => {
                let content_type = head.field("content-type").unwrap_or("application/json").to_owned();
                let set = head.fields.iter().filter(|(n, _)| sticky && n == "set-cookie");
                let cookies = set.map(|(_, v)| v.clone()).collect();
                let (status, framing) = (head.status, head.framing);
                request.head = Some(AnswerHead { status, content_type, framing, cookies });
                LifecycleEvent::ResponseHead { status }
            }
            AttemptEvent::Data(mut data) => {
                request.scan.feed(&data);
                let bytes = data.len();
                if request.held.is_empty() {
                    request.held = data;
                } else {
                    request.held.append(&mut data);
                }
                LifecycleEvent::ResponseData { bytes }
            }
            AttemptEvent::End => {
                let counted = request.scan.counted();
                (request.response_complete, request.connection) = (true, None);
                if let Some(claim) = counted.claim.filter(|c| (c - counted.units).abs() > 1e-6) {
                    // Compared and told, never believed: what the account ends with is counted here.
                    let (node, counted, priced) = (&request.backend, counted.units, request.units);
                    tracing::debug!(%node, claim, counted, "node claims another cost");
                    if self.logged_cost_claims.insert(node.clone()) {
                        tracing::warn!(%node, claim, counted, priced, "node claims another cost; told once");
                    }
                }
                LifecycleEvent::ResponseEnd { complete: counted.whole, units: counted.units }
            }
        };
        self.handle_event(now, id, input);
    }

    /// The client of a request is gone.
    pub fn handle_client_disconnect(&mut self, now: f64, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.client = None;
        }
        self.handle_event(now, id, LifecycleEvent::ClientDisconnected);
        self.handle_client_ready(id);
    }

    /// The client of a request has read enough.
    pub fn handle_client_ready(&mut self, id: RequestId) {
        if let Some((node, _)) = self.requests.get(&id).and_then(|r| r.connection) {
            self.commands.push_back(RequestCommand::ResumeBackend { node });
        }
    }

    /// What is left of a request's client is cut, and the request forgotten: at a stop that would not end else.
    pub fn abort(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.commands.extend(request.client.map(|client| RequestCommand::ResetClient { client }));
        self.commands
            .extend(request.connection.map(|(node, _)| RequestCommand::CloseBackendConnection { node }));
        self.commands.push_back(RequestCommand::ReleaseBytes { bytes: request.body.len() as u64 });
    }

    /// Tells a request's exchange, and gives out what follows.
    pub fn handle_event(&mut self, now: f64, id: RequestId, input: LifecycleEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut outputs = Vec::new();
        request.lifecycle.handle(input, &mut outputs);
        for output in outputs {
            self.execute_action(now, id, output);
        }
    }

    fn execute_action(&mut self, now: f64, id: RequestId, output: LifecycleAction) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match output {
            LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent: finished } => {
                request.connection = None;
                self.commands.push_back(RequestCommand::NotifyDecisions(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt: request.lifecycle.attempts() - 1,
                    backend: request.backend.clone(),
                    outcome,
                    latency: now - request.sent_at,
                    true_units,
                    final_response_sent: finished,
                    load_report: None,
                })));
            }
            LifecycleAction::ClientDisconnected => {
                self.commands.push_back(request.done(now, "CLIENT_LEFT"));
                self.commands.push_back(RequestCommand::NotifyDecisions(Event::ClientDisconnected { id }));
            }
            LifecycleAction::Respond(answer) => {
                let (media, name) = (request.media, request.name.clone());
                self.commands.push_back(request.done(now, response_code(answer)));
                let client = request.client.take();
                self.commands.extend(client.map(|client| RequestCommand::Respond {
                    client,
                    media,
                    answer,
                    name,
                }));
            }
            LifecycleAction::ForwardResponse => self.forward_held(id),
            LifecycleAction::EndResponse => {
                self.commands.push_back(request.done(now, "SERVED"));
                self.commands
                    .extend(request.client.take().map(|client| RequestCommand::EndResponse { client }));
            }
            LifecycleAction::DiscardResponse => {
                request.held.clear();
                request.head = None;
            }
            LifecycleAction::ResetClient => {
                self.commands.push_back(request.done(now, "CUT"));
                self.commands
                    .extend(request.client.take().map(|client| RequestCommand::ResetClient { client }));
            }
            LifecycleAction::CloseBackendConnection => {
                self.commands.extend(
                    request
                        .connection
                        .take()
                        .map(|(node, _)| RequestCommand::CloseBackendConnection { node }),
                );
            }
            LifecycleAction::Finished => {
                if let Some(request) = self.requests.remove(&id) {
                    self.commands
                        .push_back(RequestCommand::ReleaseBytes { bytes: request.body.len() as u64 });
                }
            }
        }
    }

    /// Passes on what is held of an answer, with its head where that has not gone yet.
    fn forward_held(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(client) = request.client else { return request.held.clear() };
        let mut head = None;
        if !request.forwarding {
            let Some(known) = &request.head else { return };
            let framing = if request.response_complete {
                Framing::Length(request.held.len() as u64)
            } else {
                known.framing
            };
            let (status, content_type, cookies) =
                (known.status, known.content_type.clone(), known.cookies.clone());
            head = Some(ForwardedHead { status, content_type, framing, cookies });
            request.forwarding = true;
        }
        let (bytes, name) = (std::mem::take(&mut request.held), request.name.clone());
        let node = request.connection.map(|(node, _)| node);
        self.commands.push_back(RequestCommand::ForwardResponse { client, head, name, bytes, node });
    }
}
