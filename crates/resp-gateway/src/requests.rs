//! The table of open requests: one `RequestLifecycle` for each, between the decision library and the sockets.
//!
//! `doorcourse_request_lifecycle` decides how each event changes a request. The table owns the data of a request (its
//! client, its command, its deadline, the buffered response) and returns [`RequestCommand`]s to execute.

use crate::backends::AttemptEvent;
use crate::clients::{CommandId, RequestFailure, Response};
use crate::request::{ForwardedCommand, Request};
use doorcourse::{
    AttemptEnd, AttemptOutcome, Event, Idempotency, IncomingRequest, LoadReport, Millis, Name, RequestId,
};
use doorcourse_connection_limits::BufferBudget;
use doorcourse_deployment::Deployment;
use doorcourse_graceful_shutdown::{Admission, GracefulShutdown};
use doorcourse_request_lifecycle::{
    ExecutedIds, FailureReason, FinalResponse, LifecycleAction, LifecycleEvent, RequestLifecycle,
    request_timeout,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Time for a response to reach its client, in ms. The gateway's deadline is up to this much earlier than the client's.
const RESPONSE_TRANSIT_MS: Millis = 4.0;

/// Log target for the steps of each request, at the level `trace`; the first message holds the id that the client gave.
const LOG_TARGET: &str = "doorcourse::requests";

/// Memory of an open request beside its command and its response, here, in the decision library and in timers.
const REQUEST_OVERHEAD_BYTES: usize = 2 << 10;

/// What the event loop has to do for a request.
pub(crate) enum RequestCommand {
    /// Pass an event to the decision library.
    NotifyDecisions(Event),
    /// Send the response to the client.
    Respond { command: CommandId, response: Response },
    /// End the attempt in flight without waiting for its response.
    AbandonAttempt { request: RequestId },
}

/// Whether a received request was opened, or why not.
pub(crate) enum StartOutcome {
    /// The request is open until its deadline; the event goes to the decision library.
    Started { request: RequestId, deadline: Millis, event: Event },
    /// Another request with the same id is open.
    DuplicateId,
    /// Another request with the same id, which must not run twice, may have been executed.
    ExecutedId,
    /// No response could reach the client in time.
    DeadlineTooShort,
    /// The request could not finish before the process has to exit.
    ShuttingDown,
    /// There is no memory to hold it.
    OutOfMemory,
}

struct OpenRequest {
    lifecycle: RequestLifecycle,
    client_id: u64,
    command: CommandId,
    forwarded: Arc<ForwardedCommand>,
    started_at: Millis,
    deadline: Millis,
    /// Whether executing the request twice does no harm.
    may_run_again: bool,
    /// Whether an attempt that has ended may have been executed.
    is_possibly_executed: bool,
    /// The backend of the last attempt.
    backend: Name,
    attempt_started_at: Millis,
    /// The value of the buffered response.
    value: Vec<u8>,
    load_report: Option<LoadReport>,
}

/// An attempt to send.
pub(crate) struct OutgoingAttempt {
    pub command: Arc<ForwardedCommand>,
    pub request_started_at: Millis,
    pub deadline: Millis,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}

/// The open requests.
#[derive(Default)]
pub(crate) struct RequestTable {
    open: HashMap<RequestId, OpenRequest>,
    /// The ids that clients gave to open requests; a second request with such an id is an error.
    by_client_id: HashMap<u64, RequestId>,
    /// The ids that clients gave to requests that may have been executed and must not run twice.
    executed: ExecutedIds,
    last_id: RequestId,
    /// Bytes that the open requests hold.
    buffered_bytes: u64,
    /// Requests so far that were rejected for want of memory.
    rejected_for_memory: u64,
    /// Reused buffer for the actions of a lifecycle.
    actions: Vec<LifecycleAction>,
}

impl RequestTable {
    /// Opens a request, unless its id is in use, its deadline is too short, the shutdown rejects it or there is no memory
    /// for it.
    pub(crate) fn start(
        &mut self, now: Millis, deployment: &Deployment, shutdown: &GracefulShutdown, buffers: &BufferBudget,
        command: CommandId, request: Request,
    ) -> StartOutcome {
        if self.by_client_id.contains_key(&request.id) {
            return StartOutcome::DuplicateId;
        }
        if self.executed.contains(now, request.id) {
            return StartOutcome::ExecutedId;
        }
        let max_timeout =
            deployment.host.client_timeouts.get(request.class).copied().filter(|timeout| *timeout > 0.0);
        let max_timeout = max_timeout.unwrap_or(f64::INFINITY);
        // The first argument is for requests that state no timeout; by this protocol, every request states one.
        let timeout = request_timeout(max_timeout, Some(request.timeout), max_timeout, RESPONSE_TRANSIT_MS);
        let Some(timeout) = timeout else {
            tracing::trace!(target: LOG_TARGET, id = format_args!("{:016x}", request.id), "request deadline too short");
            return StartOutcome::DeadlineTooShort;
        };
        let latency_objective = deployment.settings.classes[request.class].latency_objective;
        let Admission::Admit(timeout) = shutdown.admit(now, timeout, latency_objective) else {
            tracing::trace!(target: LOG_TARGET, id = format_args!("{:016x}", request.id), "request rejected by shutdown");
            return StartOutcome::ShuttingDown;
        };
        let size = request.forwarded.size() + REQUEST_OVERHEAD_BYTES;
        if !buffers.admits(size) {
            tracing::trace!(target: LOG_TARGET, id = format_args!("{:016x}", request.id), size, "request rejected: out of memory");
            self.rejected_for_memory += 1;
            return StartOutcome::OutOfMemory;
        }
        self.buffered_bytes += size as u64;
        self.last_id += 1;
        let id = self.last_id;
        tracing::trace!(target: LOG_TARGET, id = format_args!("{:016x}", request.id), number = id, timeout_ms = timeout, "request accepted");
        let deadline = now + timeout;
        let incoming = IncomingRequest {
            id,
            customer: request.customer,
            plan: deployment.settings.plans[request.plan].name.clone(),
            class: deployment.settings.classes[request.class].name.clone(),
            units: request.units,
            client_retry: request.client_retry,
            timeout,
            first_gateway: request.first_gateway,
            gateway_count: request.gateway_count,
            sticky_route: Name::default(),
        };
        let forwarded = Arc::new(request.forwarded);
        let mut open = OpenRequest::new(now, deadline, command, request.id, forwarded);
        open.may_run_again =
            deployment.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        self.open.insert(id, open);
        self.by_client_id.insert(request.id, id);
        StartOutcome::Started { request: id, deadline, event: Event::RequestReceived(incoming) }
    }

    /// Starts an attempt that the decision library sends to a backend.
    ///
    /// # Errors
    /// The end of the attempt, if the request has finished.
    pub(crate) fn start_attempt(
        &mut self, now: Millis, id: RequestId, backend: &Name,
    ) -> Result<OutgoingAttempt, AttemptEnd> {
        let Some(open) = self.open.get_mut(&id) else {
            tracing::trace!(target: LOG_TARGET, number = id, backend = &**backend, "attempt of a finished request");
            return Err(AttemptEnd::not_started(id, backend.clone()));
        };
        open.lifecycle.handle(LifecycleEvent::AttemptStarted, &mut self.actions);
        self.actions.clear();
        open.backend = backend.clone();
        open.attempt_started_at = now;
        open.load_report = None;
        let elapsed_ms = now - open.started_at;
        tracing::trace!(target: LOG_TARGET, number = id, backend = &**backend, elapsed_ms, "attempt started");
        Ok(OutgoingAttempt {
            command: open.forwarded.clone(),
            request_started_at: open.started_at,
            deadline: open.deadline,
            attempt: open.lifecycle.attempts(),
        })
    }

    /// Whether the request is open.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    /// Whether an attempt of this request is in flight.
    pub(crate) fn has_attempt(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| open.lifecycle.has_attempt())
    }

    /// Whether this attempt is in flight.
    pub(crate) fn is_in_flight(&self, id: RequestId, attempt: u32) -> bool {
        self.open
            .get(&id)
            .is_some_and(|open| open.lifecycle.has_attempt() && open.lifecycle.attempts() == attempt)
    }

    /// Handles an event of a request's attempt.
    pub(crate) fn handle_attempt_event(
        &mut self, now: Millis, id: RequestId, event: AttemptEvent, send_retry_after: bool,
        commands: &mut Vec<RequestCommand>,
    ) {
        let event = match event {
            AttemptEvent::Connected => LifecycleEvent::Connected,
            AttemptEvent::Written => LifecycleEvent::RequestSent,
            AttemptEvent::Responded(response) => {
                if let Some(open) = self.open.get_mut(&id) {
                    self.buffered_bytes += response.value.capacity() as u64;
                    self.buffered_bytes -= open.value.capacity() as u64;
                    open.value = response.value;
                    open.load_report = response.load_report;
                }
                LifecycleEvent::ResponseReceived { reply: response.reply, units: response.units }
            }
            AttemptEvent::InvalidResponse => LifecycleEvent::InvalidResponse,
            AttemptEvent::ConnectionLost => LifecycleEvent::ConnectionLost,
            AttemptEvent::Withdrawn => LifecycleEvent::Withdrawn,
        };
        self.handle_event(now, id, event, send_retry_after, commands);
    }

    /// Handles an event of a request.
    pub(crate) fn handle_event(
        &mut self, now: Millis, id: RequestId, event: LifecycleEvent, send_retry_after: bool,
        commands: &mut Vec<RequestCommand>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        match event {
            LifecycleEvent::RequestSent => {
                tracing::trace!(target: LOG_TARGET, number = id, "attempt written");
            }
            LifecycleEvent::ClientDisconnected => {
                tracing::trace!(target: LOG_TARGET, number = id, "client disconnected");
            }
            _ => {}
        }
        open.lifecycle.handle(event, &mut self.actions);
        let mut is_finished = false;
        self.buffered_bytes -= open.size() as u64;
        for action in self.actions.drain(..) {
            is_finished |= action == LifecycleAction::Finished;
            commands.extend(open.execute(now, id, action, send_retry_after));
        }
        self.buffered_bytes += open.size() as u64;
        if is_finished && let Some(open) = self.open.remove(&id) {
            self.buffered_bytes -= open.size() as u64;
            self.by_client_id.remove(&open.client_id);
            if open.is_possibly_executed && !open.may_run_again {
                self.executed.record(now, open.client_id);
            }
            let elapsed_ms = now - open.started_at;
            tracing::trace!(target: LOG_TARGET, number = id, elapsed_ms, "request finished");
        }
    }

    /// The bytes that the open requests hold.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes
    }

    /// Requests so far that were rejected for want of memory.
    pub(crate) fn rejected_for_memory(&self) -> u64 {
        self.rejected_for_memory
    }

    /// Whether the counted bytes are those that the open requests hold.
    pub(crate) fn is_count_exact(&self) -> bool {
        self.buffered_bytes == self.open.values().map(|open| open.size() as u64).sum::<u64>()
    }

    /// The requests whose clients wait for a response.
    pub(crate) fn awaiting_response(&self) -> Vec<RequestId> {
        let waiting = self.open.iter().filter(|(_, open)| open.lifecycle.awaits_response());
        waiting.map(|(id, _)| *id).collect()
    }

    /// The number of open requests, including those whose clients have disconnected while an attempt is in flight.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}

impl OpenRequest {
    fn new(
        now: Millis, deadline: Millis, command: CommandId, client_id: u64, forwarded: Arc<ForwardedCommand>,
    ) -> Self {
        Self {
            // Every response is buffered until it is complete; `doorcourse_resp` limits its size.
            lifecycle: RequestLifecycle::new(usize::MAX),
            client_id,
            command,
            forwarded,
            started_at: now,
            deadline,
            may_run_again: false,
            is_possibly_executed: false,
            backend: Name::default(),
            attempt_started_at: now,
            value: Vec::new(),
            load_report: None,
        }
    }

    /// The memory that the request takes, in bytes.
    fn size(&self) -> usize {
        self.forwarded.size() + REQUEST_OVERHEAD_BYTES + self.value.capacity()
    }

    /// Applies an action of the lifecycle to this request's state; returns the command for the event loop, if any.
    fn execute(
        &mut self, now: Millis, id: RequestId, action: LifecycleAction, send_retry_after: bool,
    ) -> Option<RequestCommand> {
        match action {
            LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent } => {
                let end = self.attempt_end(now, id, outcome, true_units, final_response_sent);
                Some(RequestCommand::NotifyDecisions(Event::AttemptEnded(end)))
            }
            LifecycleAction::AbandonRequest => {
                Some(RequestCommand::NotifyDecisions(Event::ClientDisconnected { id }))
            }
            LifecycleAction::Respond(response) => {
                Some(self.respond(final_response(response, send_retry_after)))
            }
            LifecycleAction::ForwardResponse => {
                let value = std::mem::take(&mut self.value);
                Some(self.respond(Response::Value(value)))
            }
            LifecycleAction::DiscardResponse => {
                self.value = Vec::new();
                None
            }
            LifecycleAction::CloseBackendConnection => Some(RequestCommand::AbandonAttempt { request: id }),
            // A response is buffered until it is complete, so no client has received a part of one.
            LifecycleAction::EndResponse | LifecycleAction::ResetClient | LifecycleAction::Finished => None,
        }
    }

    fn respond(&self, response: Response) -> RequestCommand {
        RequestCommand::Respond { command: self.command, response }
    }

    fn attempt_end(
        &mut self, now: Millis, id: RequestId, outcome: AttemptOutcome, true_units: Option<f64>,
        final_response_sent: bool,
    ) -> AttemptEnd {
        let latency = now - self.attempt_started_at;
        self.is_possibly_executed |= outcome.may_have_executed();
        tracing::trace!(target: LOG_TARGET, number = id, ?outcome, latency_ms = latency, "attempt ended");
        AttemptEnd {
            id,
            attempt: self.lifecycle.attempts(),
            backend: self.backend.clone(),
            outcome,
            latency,
            true_units,
            final_response_sent,
            load_report: self.load_report.take(),
        }
    }
}

/// Builds a response of the gateway itself. A rejection tells when to retry only if the settings allow it.
fn final_response(response: FinalResponse, send_retry_after: bool) -> Response {
    match response {
        FinalResponse::Rejected { retry_after, .. } => {
            let has_advice = send_retry_after && retry_after > 0.0;
            Response::Rejected { retry_after_ms: has_advice.then(|| retry_after.ceil() as u64) }
        }
        FinalResponse::Failed(reason) => Response::Failed(match reason {
            FailureReason::DeadlineExpired => RequestFailure::DeadlineExpired,
            FailureReason::BackendFailed => RequestFailure::BackendFailed,
            FailureReason::NoBackendReached => RequestFailure::NoBackendReached,
        }),
    }
}
