//! The state of one request: its client, and its attempt in flight.
//!
//! ```text
//! client   AwaitingResponse --response exceeds the buffer limit--> ReceivingResponse --end or reset--> Done
//!              |                                                                                      ^
//!              +--complete response, final response of the gateway, or client disconnected -----------+
//!
//! attempt  none --AttemptStarted--> Connecting --> Connected --> Sent --> Responding --ended--> none
//!                                       |              |           |                             ^
//!                                       +--------------+-----------+--ended ---------------------+
//! ```
//!
//! The request has ended once the client is `Done` and no attempt is in flight. After a failed attempt the decision
//! library starts another attempt, or rejects or fails the request. Every event may be reported in every state; an
//! event that does not apply to the current state changes nothing.

use crate::action::{FailureReason, FinalResponse, LifecycleAction};
use crate::attempt::{Attempt, WireState};
use crate::event::{BackendReply, LifecycleEvent};
use doorcourse::AttemptOutcome;

/// What the client has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// Nothing: another attempt can still provide the response.
    AwaitingResponse,
    /// A part of a backend's response: the rest must come from the same attempt, or the connection is reset.
    ReceivingResponse,
    /// Its final response, or the client has disconnected.
    Done,
}

/// The lifecycle of one request.
///
/// The host reports each event with [`handle`](Self::handle) and carries out the actions. Actions are appended to a
/// vector of the host, which it reuses.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    client: ClientState,
    /// The attempt in flight.
    attempt: Option<Attempt>,
    attempts_started: u32,
    /// How the last attempt ended, from which the reason of a failure is derived.
    last_outcome: Option<AttemptOutcome>,
    /// The longest response, in bytes, that is buffered until it is complete.
    buffer_limit: usize,
}

impl RequestLifecycle {
    /// A request that was admitted and has no attempt yet. Responses of at most `buffer_limit` bytes are buffered until
    /// they are complete; longer ones are forwarded as they arrive, once they exceed it.
    #[must_use]
    pub fn new(buffer_limit: usize) -> Self {
        Self {
            client: ClientState::AwaitingResponse,
            attempt: None,
            attempts_started: 0,
            last_outcome: None,
            buffer_limit,
        }
    }

    /// Whether an attempt is in flight.
    #[must_use]
    pub fn has_attempt(&self) -> bool {
        self.attempt.is_some()
    }

    /// Whether the client waits for a response or the rest of one.
    #[must_use]
    pub fn awaits_response(&self) -> bool {
        self.client != ClientState::Done
    }

    /// How many attempts were started.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts_started
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(&mut self, event: LifecycleEvent, actions: &mut Vec<LifecycleAction>) {
        if self.is_finished() {
            return;
        }
        match event {
            LifecycleEvent::AttemptStarted => self.start_attempt(),
            LifecycleEvent::Connected => self.advance_attempt(WireState::Connected),
            LifecycleEvent::RequestSent => self.advance_attempt(WireState::Sent),
            LifecycleEvent::ResponseHead { status } => self.handle_response_head(status),
            LifecycleEvent::ResponseData { bytes } => self.handle_response_data(bytes, actions),
            LifecycleEvent::ResponseEnd { complete, units } => {
                self.handle_response_end(complete, units, actions);
            }
            LifecycleEvent::ResponseReceived { reply, units } => {
                self.handle_response_received(reply, units, actions);
            }
            LifecycleEvent::Withdrawn => self.handle_withdrawal(actions),
            LifecycleEvent::ConnectionLost => self.handle_connection_loss(actions),
            LifecycleEvent::InvalidResponse => self.handle_invalid_response(actions),
            LifecycleEvent::Cancelled => self.handle_cancellation(actions),
            LifecycleEvent::DeadlineExpired => self.handle_deadline(actions),
            LifecycleEvent::ClientDisconnected => self.handle_client_disconnect(actions),
            LifecycleEvent::Rejected { retry_after, reason } => {
                self.respond(FinalResponse::Rejected { retry_after, reason }, actions);
            }
            LifecycleEvent::Failed => self.respond(FinalResponse::Failed(self.failure_reason()), actions),
        }
    }

    fn is_finished(&self) -> bool {
        self.client == ClientState::Done && self.attempt.is_none()
    }

    fn start_attempt(&mut self) {
        debug_assert!(self.attempt.is_none(), "an attempt is already in flight");
        self.attempts_started += 1;
        self.attempt = Some(Attempt::new());
    }

    fn advance_attempt(&mut self, wire: WireState) {
        if let Some(attempt) = &mut self.attempt {
            attempt.advance(wire);
        }
    }

    fn handle_response_head(&mut self, status: u16) {
        if let Some(attempt) = &mut self.attempt {
            attempt.response_head(status);
        }
    }

    /// A response within the buffer limit is forwarded once it is complete, so that another attempt can still replace
    /// it if the backend fails before its end. A longer response is forwarded as it arrives.
    fn handle_response_data(&mut self, bytes: usize, actions: &mut Vec<LifecycleAction>) {
        let Some(attempt) = &mut self.attempt else { return };
        let received_bytes = attempt.response_data(bytes);
        if !attempt.has_client_response() || self.client == ClientState::Done {
            actions.push(LifecycleAction::DiscardResponse);
            return;
        }
        if received_bytes > self.buffer_limit || self.client == ClientState::ReceivingResponse {
            self.client = ClientState::ReceivingResponse;
            actions.push(LifecycleAction::ForwardResponse);
        }
    }

    fn handle_response_end(&mut self, complete: bool, units: f64, actions: &mut Vec<LifecycleAction>) {
        if let Some(attempt) = self.attempt {
            self.complete_attempt(attempt.outcome_at_response_end(complete), Some(units), actions);
        }
    }

    fn handle_response_received(
        &mut self, reply: BackendReply, units: Option<f64>, actions: &mut Vec<LifecycleAction>,
    ) {
        let Some(attempt) = self.attempt else { return };
        if !attempt.awaits_response_head() {
            // Only the RESP gateway reports this event. There `Sent` means that the request was written in full, so a
            // response before that cannot belong to this request.
            self.handle_invalid_response(actions);
            return;
        }
        let outcome = match reply {
            BackendReply::Value => AttemptOutcome::Served,
            BackendReply::Failed => AttemptOutcome::Error,
            BackendReply::Rejected => AttemptOutcome::Rejected,
        };
        self.complete_attempt(outcome, units, actions);
    }

    fn handle_withdrawal(&mut self, actions: &mut Vec<LifecycleAction>) {
        if self.has_unsent_attempt() {
            actions.push(LifecycleAction::CloseBackendConnection);
            self.abort_attempt(AttemptOutcome::NeverSent, actions);
        }
    }

    fn handle_connection_loss(&mut self, actions: &mut Vec<LifecycleAction>) {
        if let Some(attempt) = self.attempt {
            self.abort_attempt(attempt.outcome_at_connection_loss(), actions);
        }
    }

    fn handle_invalid_response(&mut self, actions: &mut Vec<LifecycleAction>) {
        if self.has_attempt() {
            actions.push(LifecycleAction::CloseBackendConnection);
            self.abort_attempt(AttemptOutcome::Error, actions);
        }
    }

    fn handle_cancellation(&mut self, actions: &mut Vec<LifecycleAction>) {
        if let Some(attempt) = self.attempt {
            actions.push(LifecycleAction::CloseBackendConnection);
            self.abort_attempt(attempt.outcome_at_cancellation(), actions);
        }
    }

    /// Ends the attempt in flight; without one, fails the request.
    fn handle_deadline(&mut self, actions: &mut Vec<LifecycleAction>) {
        if let Some(attempt) = self.attempt {
            actions.push(LifecycleAction::CloseBackendConnection);
            self.abort_attempt(attempt.outcome_at_deadline(), actions);
            // An unsent attempt counts as `ConnectFailed` in its backend's health. If the request fails after this, the
            // reason that its client gets is still the deadline.
            self.last_outcome = Some(AttemptOutcome::TimedOut);
            return;
        }
        if self.client == ClientState::AwaitingResponse {
            // The decision library queues no request beyond its deadline, but at the end of a graceful shutdown the
            // host reports an expired deadline for all remaining requests. The client is still connected:
            // `AbandonRequest` only makes the decision library drop the request.
            actions.push(LifecycleAction::AbandonRequest);
            self.respond(FinalResponse::Failed(FailureReason::DeadlineExpired), actions);
        }
    }

    /// An attempt that was sent goes on, since nothing stops the backend's work, and its end is still reported. An
    /// unsent attempt is withdrawn.
    fn handle_client_disconnect(&mut self, actions: &mut Vec<LifecycleAction>) {
        let was_waiting = self.awaits_response();
        self.client = ClientState::Done;
        if self.has_unsent_attempt() {
            self.attempt = None;
            actions.push(LifecycleAction::CloseBackendConnection);
            actions.push(LifecycleAction::DiscardResponse);
            self.report_attempt_end(AttemptOutcome::NeverSent, None, actions);
        }
        if was_waiting {
            actions.push(LifecycleAction::AbandonRequest);
        }
        self.finish_if_done(actions);
    }

    /// Ends the attempt with a response that has arrived completely.
    fn complete_attempt(
        &mut self, outcome: AttemptOutcome, units: Option<f64>, actions: &mut Vec<LifecycleAction>,
    ) {
        self.attempt = None;
        let served = outcome == AttemptOutcome::Served;
        match self.client {
            ClientState::AwaitingResponse if served => {
                actions.push(LifecycleAction::ForwardResponse);
                actions.push(LifecycleAction::EndResponse);
                self.client = ClientState::Done;
            }
            ClientState::ReceivingResponse => {
                // The response has already been forwarded; if it is incomplete, the client sees that itself.
                actions.push(LifecycleAction::EndResponse);
                self.client = ClientState::Done;
            }
            ClientState::AwaitingResponse | ClientState::Done => {
                actions.push(LifecycleAction::DiscardResponse);
            }
        }
        let true_units = units.filter(|_| served);
        self.report_attempt_end(outcome, true_units, actions);
        self.finish_if_done(actions);
    }

    /// Ends the attempt without a complete response.
    fn abort_attempt(&mut self, outcome: AttemptOutcome, actions: &mut Vec<LifecycleAction>) {
        self.attempt = None;
        if self.client == ClientState::ReceivingResponse {
            actions.push(LifecycleAction::ResetClient);
            self.client = ClientState::Done;
        } else {
            actions.push(LifecycleAction::DiscardResponse);
        }
        self.report_attempt_end(outcome, None, actions);
        self.finish_if_done(actions);
    }

    /// Gives the client a final response of the gateway.
    fn respond(&mut self, response: FinalResponse, actions: &mut Vec<LifecycleAction>) {
        match self.client {
            ClientState::AwaitingResponse => actions.push(LifecycleAction::Respond(response)),
            // The decision library does not end a request whose response is already being forwarded. If it did, the
            // response could only be cut off.
            ClientState::ReceivingResponse => actions.push(LifecycleAction::ResetClient),
            ClientState::Done => {}
        }
        self.client = ClientState::Done;
        self.finish_if_done(actions);
    }

    fn report_attempt_end(
        &mut self, outcome: AttemptOutcome, true_units: Option<f64>, actions: &mut Vec<LifecycleAction>,
    ) {
        self.last_outcome = Some(outcome);
        let final_response_sent = !self.awaits_response();
        actions.push(LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent });
    }

    fn finish_if_done(&self, actions: &mut Vec<LifecycleAction>) {
        if self.is_finished() {
            actions.push(LifecycleAction::Finished);
        }
    }

    fn has_unsent_attempt(&self) -> bool {
        self.attempt.is_some_and(|attempt| attempt.is_unsent())
    }

    /// The reason that the client gets when its request fails. A request without any attempt was queued until its
    /// deadline: before the deadline the decision library rejects it instead of failing it.
    fn failure_reason(&self) -> FailureReason {
        match self.last_outcome {
            None | Some(AttemptOutcome::TimedOut) => FailureReason::DeadlineExpired,
            Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent | AttemptOutcome::Rejected) => {
                FailureReason::NoBackendReached
            }
            Some(
                AttemptOutcome::Served
                | AttemptOutcome::Error
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled,
            ) => FailureReason::BackendFailed,
        }
    }
}
