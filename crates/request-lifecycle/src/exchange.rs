//! The state of one request. Every input is allowed in every state: what cannot matter any more changes nothing.

use doorcourse::{AttemptOutcome, RejectReason};

/// Where an attempt is on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    /// The connection is not made yet.
    Connecting,
    /// The connection is there, and no byte of the request was taken by the system.
    Unsent,
    /// Bytes were taken. The node may run the request from now on, whatever happens to the connection: a pooled
    /// connection closed just as the request was written tells nothing.
    Sent,
    /// The head of an answer came.
    Answering,
}

/// What the host tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// The decisions sent the request to a node.
    Sent,
    /// The attempt's connection is made.
    Connected,
    /// The system took bytes of the request.
    Written,
    /// The node answers with this status.
    Head {
        /// The status.
        status: u16,
    },
    /// So many bytes of the answer's body came.
    Data {
        /// How many.
        bytes: usize,
    },
    /// The answer is at its end.
    End {
        /// Whether it is a whole GraphQL response.
        whole: bool,
        /// What it came to, by the answer's data.
        units: f64,
    },
    /// The answer came whole and at once, in a protocol where nothing of it is passed on before.
    Answered {
        /// What it says.
        reply: Reply,
        /// What it came to, where the answer tells.
        units: Option<f64>,
    },
    /// The node drains, is gone or was started anew before a byte of the request was written: it must not have it.
    Withdrawn,
    /// The attempt's connection broke or could not be made.
    Lost,
    /// The answer breaks a limit or the protocol.
    Broken,
    /// The decisions call the attempt off.
    CalledOff,
    /// The time for the answer is up.
    TimeUp,
    /// The client is gone.
    ClientGone,
    /// The decisions refuse the request.
    Refused {
        /// The advice, in ms.
        retry_after: f64,
        /// Why.
        why: RejectReason,
    },
    /// The decisions fail the request.
    Failed,
}

/// What a node's whole answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value made for this request.
    Value,
    /// It failed, and may have run.
    Failed,
    /// Turned away unseen.
    TurnedAway,
}

/// Why a request failed, as far as the wire tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer came in time.
    Time,
    /// A node broke off or answered with an error.
    Node,
    /// No node took it: it never ran.
    NoNode,
}

/// A final answer that the gateway gives itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final {
    /// Refused: to try again is harmless.
    Refused {
        /// The advice, in ms.
        retry_after: f64,
        /// Why.
        why: RejectReason,
    },
    /// Failed, with no promise.
    Failed(Failure),
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Tell the decisions how the attempt ended.
    Ended {
        /// How.
        outcome: AttemptOutcome,
        /// The true units, where the answer told them.
        true_units: Option<f64>,
        /// Whether the request has had its final answer.
        finished: bool,
    },
    /// Tell the decisions that the client left.
    Left,
    /// Give the client this answer.
    Answer(Final),
    /// Pass on what is held of the node's answer, and what follows as it comes.
    Pass,
    /// The passed answer is at its end.
    PassEnd,
    /// Forget what is held of the node's answer.
    Forget,
    /// Break the client's connection, so that it cannot take what it has for the whole.
    Cut,
    /// Close the node's connection: whatever still comes on it is of no use.
    Abandon,
    /// The exchange is over.
    Over,
}

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
    wire: Wire,
    status: u16,
    held: usize,
}

/// One request's exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    client: Client,
    attempt: Option<Attempt>,
    attempts: u32,
    /// What the last attempt ended by, to tell a client why its request failed.
    last: Option<AttemptOutcome>,
    hold: usize,
    over: bool,
}

impl Exchange {
    /// A request that was taken. Answers up to `hold` bytes are held until they are whole.
    #[must_use]
    pub fn new(hold: usize) -> Self {
        Self { client: Client::Waits, attempt: None, attempts: 0, last: None, hold, over: false }
    }

    /// Whether an attempt is out.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.attempt.is_some()
    }

    /// Whether the client waits for an answer or the rest of one.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.client != Client::Done
    }

    /// How many attempts were made.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Takes what happened and appends what is to be done.
    pub fn handle(&mut self, input: Input, out: &mut Vec<Output>) {
        if self.over {
            return;
        }
        match input {
            Input::Sent => {
                debug_assert!(self.attempt.is_none(), "never two attempts at once");
                self.attempts += 1;
                self.attempt = Some(Attempt { wire: Wire::Connecting, status: 0, held: 0 });
            }
            Input::Connected => self.advance(Wire::Unsent),
            Input::Written => self.advance(Wire::Sent),
            Input::Head { status } => {
                self.advance(Wire::Answering);
                if let Some(attempt) = &mut self.attempt {
                    attempt.status = status;
                }
            }
            Input::Data { bytes } => self.data(bytes, out),
            Input::End { whole, units } => {
                let outcome = match self.attempt.map(|a| a.status) {
                    // Turned away unseen: RFC 6585 section 4, before any work. 503 says less: it may come after work.
                    Some(429) => AttemptOutcome::Rejected,
                    Some(status) if Self::is_answer(status) && whole => AttemptOutcome::Served,
                    _ => AttemptOutcome::Error,
                };
                self.end(outcome, Some(units), out);
            }
            Input::Answered { reply, units } => {
                // An answer to what was not asked in full answers something else.
                if self.attempt.is_some_and(|a| a.wire != Wire::Sent) {
                    return self.handle(Input::Broken, out);
                }
                let outcome = match reply {
                    Reply::Value => AttemptOutcome::Served,
                    Reply::Failed => AttemptOutcome::Error,
                    Reply::TurnedAway => AttemptOutcome::Rejected,
                };
                self.end(outcome, units, out);
            }
            Input::Withdrawn => {
                if self.is_unsent() {
                    out.push(Output::Abandon);
                    self.break_off(AttemptOutcome::NeverSent, out);
                }
            }
            Input::Lost => self.lost(out),
            Input::Broken if self.attempt.is_some() => {
                out.push(Output::Abandon);
                self.break_off(AttemptOutcome::Error, out);
            }
            Input::Broken => {}
            Input::CalledOff => {
                if let Some(attempt) = self.attempt {
                    out.push(Output::Abandon);
                    let sent = matches!(attempt.wire, Wire::Sent | Wire::Answering);
                    self.break_off(
                        if sent { AttemptOutcome::Cancelled } else { AttemptOutcome::NeverSent },
                        out,
                    );
                }
            }
            Input::TimeUp => self.time_up(out),
            Input::ClientGone => self.client_gone(out),
            Input::Refused { retry_after, why } => self.finish(Final::Refused { retry_after, why }, out),
            Input::Failed => {
                let failure = match self.last {
                    // What was never sent is refused while there is time: without an attempt its time was over.
                    None | Some(AttemptOutcome::TimedOut) => Failure::Time,
                    Some(
                        AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent | AttemptOutcome::Rejected,
                    ) => Failure::NoNode,
                    Some(_) => Failure::Node,
                };
                self.finish(Final::Failed(failure), out);
            }
        }
    }

    /// An attempt that is written goes on: nothing stops the node's work, and its end is still told. One that is not
    /// written is withdrawn at once: nobody waits for it.
    fn client_gone(&mut self, out: &mut Vec<Output>) {
        let waited = std::mem::replace(&mut self.client, Client::Done) != Client::Done;
        if self.is_unsent() {
            self.attempt = None;
            self.last = Some(AttemptOutcome::NeverSent);
            let ended =
                Output::Ended { outcome: AttemptOutcome::NeverSent, true_units: None, finished: true };
            out.extend([Output::Abandon, Output::Forget, ended]);
        }
        if waited {
            out.push(Output::Left);
        }
        self.over(out);
    }

    /// Whether an attempt is out of which nothing can have reached the node.
    fn is_unsent(&self) -> bool {
        self.attempt.is_some_and(|a| matches!(a.wire, Wire::Connecting | Wire::Unsent))
    }

    fn advance(&mut self, wire: Wire) {
        if let Some(attempt) = &mut self.attempt {
            attempt.wire = wire;
        }
    }

    fn over(&mut self, out: &mut Vec<Output>) {
        if self.client == Client::Done && self.attempt.is_none() {
            self.over = true;
            out.push(Output::Over);
        }
    }

    fn finish(&mut self, answer: Final, out: &mut Vec<Output>) {
        match self.client {
            Client::Waits => out.push(Output::Answer(answer)),
            // The decisions never end a request whose answer has begun; were it so, it could only be cut.
            Client::HasPart => out.push(Output::Cut),
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

    fn data(&mut self, bytes: usize, out: &mut Vec<Output>) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.held = attempt.held.saturating_add(bytes);
        if !Self::is_answer(attempt.status) || self.client == Client::Done {
            return out.push(Output::Forget);
        }
        // Held until whole where it is small, so that a node that breaks midway can still be made good; a
        // large answer goes on as it comes, and from then on it can only be finished or cut.
        if attempt.held > self.hold || self.client == Client::HasPart {
            self.client = Client::HasPart;
            out.push(Output::Pass);
        }
    }

    fn end(&mut self, outcome: AttemptOutcome, units: Option<f64>, out: &mut Vec<Output>) {
        if self.attempt.take().is_none() {
            return;
        }
        let served = outcome == AttemptOutcome::Served;
        let true_units = units.filter(|_| served);
        match self.client {
            Client::Waits if served => out.extend([Output::Pass, Output::PassEnd]),
            // Its bytes are with the client already: what is wrong with them the client sees itself.
            Client::HasPart => out.push(Output::PassEnd),
            Client::Waits | Client::Done => out.push(Output::Forget),
        }
        let finished = served || self.client != Client::Waits;
        if finished {
            self.client = Client::Done;
        }
        self.last = Some(outcome);
        out.push(Output::Ended { outcome, true_units, finished });
        self.over(out);
    }

    /// What a broken connection means: only before the first byte was taken it is sure that nothing ran.
    fn lost(&mut self, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempt else { return };
        let outcome = match attempt.wire {
            Wire::Connecting => AttemptOutcome::ConnectFailed,
            Wire::Unsent => AttemptOutcome::NeverSent,
            Wire::Sent | Wire::Answering => AttemptOutcome::ConnectionLost,
        };
        self.break_off(outcome, out);
    }

    fn break_off(&mut self, outcome: AttemptOutcome, out: &mut Vec<Output>) {
        if self.attempt.take().is_none() {
            return;
        }
        let finished = self.client != Client::Waits;
        if self.client == Client::HasPart {
            out.push(Output::Cut);
            self.client = Client::Done;
        } else {
            out.push(Output::Forget);
        }
        self.last = Some(outcome);
        out.push(Output::Ended { outcome, true_units: None, finished });
        self.over(out);
    }

    fn time_up(&mut self, out: &mut Vec<Output>) {
        if self.attempt.is_some() {
            out.push(Output::Abandon);
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
            out.push(Output::Left);
            self.finish(Final::Failed(Failure::Time), out);
        }
    }
}
