//! The state of one request. Every input is allowed in every state: what cannot matter any more changes nothing.

use crate::action::{FailureReason, FinalResponse, LifecycleAction};
use crate::event::{BackendReply, LifecycleEvent, WireState};
use doorcourse::AttemptOutcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    /// It waits; nothing was answered.
    Waits,
    /// A part of the node's answer has gone to it.
    HasPart,
    /// It has its final answer, or is gone.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    wire: WireState,
    status: u16,
    held: usize,
}

/// One request's exchange.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    client: Client,
    attempt: Option<Attempt>,
    attempts: u32,
    /// What the last attempt ended by, to tell a client why its request failed.
    last: Option<AttemptOutcome>,
    hold: usize,
    over: bool,
}

impl RequestLifecycle {
    /// A request that was taken. Answers up to `hold` bytes are held until they are whole.
    #[must_use]
    pub fn new(hold: usize) -> Self {
        Self { client: Client::Waits, attempt: None, attempts: 0, last: None, hold, over: false }
    }

    /// Whether an attempt is out.
    #[must_use]
    pub fn has_attempt(&self) -> bool {
        self.attempt.is_some()
    }

    /// Whether the client waits for an answer or the rest of one.
    #[must_use]
    pub fn awaits_response(&self) -> bool {
        self.client != Client::Done
    }

    /// How many attempts were made.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Takes what happened and appends what is to be done.
    pub fn handle(&mut self, input: LifecycleEvent, out: &mut Vec<LifecycleAction>) {
        if self.over {
            return;
        }
        match input {
            LifecycleEvent::AttemptStarted => {
                debug_assert!(self.attempt.is_none(), "never two attempts at once");
                self.attempts += 1;
                self.attempt = Some(Attempt { wire: WireState::Connecting, status: 0, held: 0 });
            }
            LifecycleEvent::Connected => self.advance(WireState::Connected),
            LifecycleEvent::BytesWritten => self.advance(WireState::Sent),
            LifecycleEvent::ResponseHead { status } => {
                self.advance(WireState::Responding);
                if let Some(attempt) = &mut self.attempt {
                    attempt.status = status;
                }
            }
            LifecycleEvent::ResponseData { bytes } => self.data(bytes, out),
            LifecycleEvent::ResponseEnd { complete: whole, units } => {
                let outcome = match self.attempt.map(|a| a.status) {
                    // Turned away unseen: RFC 6585 section 4, before any work. 503 says less: it may come after work.
                    Some(429) => AttemptOutcome::Rejected,
                    Some(status) if Self::is_answer(status) && whole => AttemptOutcome::Served,
                    _ => AttemptOutcome::Error,
                };
                self.end(outcome, Some(units), out);
            }
            LifecycleEvent::ResponseReceived { reply, units } => {
                // An answer to what was not asked in full answers something else.
                if self.attempt.is_some_and(|a| a.wire != WireState::Sent) {
                    return self.handle(LifecycleEvent::InvalidResponse, out);
                }
                let outcome = match reply {
                    BackendReply::Value => AttemptOutcome::Served,
                    BackendReply::Failed => AttemptOutcome::Error,
                    BackendReply::Rejected => AttemptOutcome::Rejected,
                };
                self.end(outcome, units, out);
            }
            LifecycleEvent::Withdrawn => {
                if self.is_unsent() {
                    out.push(LifecycleAction::CloseBackendConnection);
                    self.break_off(AttemptOutcome::NeverSent, out);
                }
            }
            LifecycleEvent::ConnectionLost => self.lost(out),
            LifecycleEvent::InvalidResponse if self.attempt.is_some() => {
                out.push(LifecycleAction::CloseBackendConnection);
                self.break_off(AttemptOutcome::Error, out);
            }
            LifecycleEvent::InvalidResponse => {}
            LifecycleEvent::Cancelled => {
                if let Some(attempt) = self.attempt {
                    out.push(LifecycleAction::CloseBackendConnection);
                    let sent = matches!(attempt.wire, WireState::Sent | WireState::Responding);
                    self.break_off(
                        if sent { AttemptOutcome::Cancelled } else { AttemptOutcome::NeverSent },
                        out,
                    );
                }
            }
            LifecycleEvent::DeadlineExpired => self.time_up(out),
            LifecycleEvent::ClientDisconnected => self.client_gone(out),
            LifecycleEvent::Rejected { retry_after, reason: why } => {
                self.finish(FinalResponse::Rejected { retry_after, reason: why }, out)
            }
            LifecycleEvent::Failed => {
                let failure = match self.last {
                    // What was never sent is refused while there is time: without an attempt its time was over.
                    None | Some(AttemptOutcome::TimedOut) => FailureReason::DeadlineExpired,
                    Some(
                        AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent | AttemptOutcome::Rejected,
                    ) => FailureReason::NoBackendReached,
                    Some(_) => FailureReason::BackendFailed,
                };
                self.finish(FinalResponse::Failed(failure), out);
            }
        }
    }

    /// An attempt that is written goes on: nothing stops the node's work, and its end is still told. One that is not
    /// written is withdrawn at once: nobody waits for it.
    fn client_gone(&mut self, out: &mut Vec<LifecycleAction>) {
        let waited = std::mem::replace(&mut self.client, Client::Done) != Client::Done;
        if self.is_unsent() {
            self.attempt = None;
            self.last = Some(AttemptOutcome::NeverSent);
            let ended = LifecycleAction::AttemptEnded {
                outcome: AttemptOutcome::NeverSent,
                true_units: None,
                final_response_sent: true,
            };
            out.extend([LifecycleAction::CloseBackendConnection, LifecycleAction::DiscardResponse, ended]);
        }
        if waited {
            out.push(LifecycleAction::ClientDisconnected);
        }
        self.over(out);
    }

    /// Whether an attempt is out of which nothing can have reached the node.
    fn is_unsent(&self) -> bool {
        self.attempt.is_some_and(|a| matches!(a.wire, WireState::Connecting | WireState::Connected))
    }

    fn advance(&mut self, wire: WireState) {
        if let Some(attempt) = &mut self.attempt {
            attempt.wire = wire;
        }
    }

    fn over(&mut self, out: &mut Vec<LifecycleAction>) {
        if self.client == Client::Done && self.attempt.is_none() {
            self.over = true;
            out.push(LifecycleAction::Finished);
        }
    }

    fn finish(&mut self, answer: FinalResponse, out: &mut Vec<LifecycleAction>) {
        match self.client {
            Client::Waits => out.push(LifecycleAction::Respond(answer)),
            // The decisions never end a request whose answer has begun; were it so, it could only be cut.
            Client::HasPart => out.push(LifecycleAction::ResetClient),
            Client::Done => {}
        }
        self.client = Client::Done;
        self.over(out);
    }

    /// Whether a status belongs to an answer of the GraphQL service, that is to the client.
    fn is_answer(status: u16) -> bool {
        // 400 and 422 refuse the operation itself: another node would say the same.
        matches!(status, 200 | 400 | 422)
    }

    fn data(&mut self, bytes: usize, out: &mut Vec<LifecycleAction>) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.held = attempt.held.saturating_add(bytes);
        if !Self::is_answer(attempt.status) || self.client == Client::Done {
            return out.push(LifecycleAction::DiscardResponse);
        }
        // Held until whole where it is small, so that a node that breaks midway can still be made good; a
        // large answer goes on as it comes, and from then on it can only be finished or cut.
        if attempt.held > self.hold || self.client == Client::HasPart {
            self.client = Client::HasPart;
            out.push(LifecycleAction::ForwardResponse);
        }
    }

    fn end(&mut self, outcome: AttemptOutcome, units: Option<f64>, out: &mut Vec<LifecycleAction>) {
        if self.attempt.take().is_none() {
            return;
        }
        let served = outcome == AttemptOutcome::Served;
        let true_units = units.filter(|_| served);
        match self.client {
            Client::Waits if served => {
                out.extend([LifecycleAction::ForwardResponse, LifecycleAction::EndResponse])
            }
            // Its bytes are with the client already: what is wrong with them the client sees itself.
            Client::HasPart => out.push(LifecycleAction::EndResponse),
            Client::Waits | Client::Done => out.push(LifecycleAction::DiscardResponse),
        }
        let finished = served || self.client != Client::Waits;
        if finished {
            self.client = Client::Done;
        }
        self.last = Some(outcome);
        out.push(LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent: finished });
        self.over(out);
    }

    /// What a broken connection means: only before the first byte was taken it is sure that nothing ran.
    fn lost(&mut self, out: &mut Vec<LifecycleAction>) {
        let Some(attempt) = self.attempt else { return };
        let outcome = match attempt.wire {
            WireState::Connecting => AttemptOutcome::ConnectFailed,
            WireState::Connected => AttemptOutcome::NeverSent,
            WireState::Sent | WireState::Responding => AttemptOutcome::ConnectionLost,
        };
        self.break_off(outcome, out);
    }

    fn break_off(&mut self, outcome: AttemptOutcome, out: &mut Vec<LifecycleAction>) {
        if self.attempt.take().is_none() {
            return;
        }
        let finished = self.client != Client::Waits;
        if self.client == Client::HasPart {
            out.push(LifecycleAction::ResetClient);
            self.client = Client::Done;
        } else {
            out.push(LifecycleAction::DiscardResponse);
        }
        self.last = Some(outcome);
        out.push(LifecycleAction::AttemptEnded { outcome, true_units: None, final_response_sent: finished });
        self.over(out);
    }

    fn time_up(&mut self, out: &mut Vec<LifecycleAction>) {
        if self.attempt.is_some() {
            out.push(LifecycleAction::CloseBackendConnection);
            // Nothing was written: it never ran, also when time ran out over it.
            self.break_off(
                if self.is_unsent() { AttemptOutcome::ConnectFailed } else { AttemptOutcome::TimedOut },
                out,
            );
            // Whatever the decisions make of it, the client is told of its time and not of a node.
            self.last = Some(AttemptOutcome::TimedOut);
            return;
        }
        if self.client == Client::Waits {
            // The decisions hold a request no longer than its time; this is the net under them (rule 1).
            out.push(LifecycleAction::ClientDisconnected);
            self.finish(FinalResponse::Failed(FailureReason::DeadlineExpired), out);
        }
    }
}
