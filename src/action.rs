//! What a gateway asks its host to do.

use crate::event::AttemptEnd;
use crate::types::{Millis, Name, RequestId};

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The customer has used up its quota.
    QuotaExceeded,
    /// No backend could take the request in time: the limits of the backends or the customer's own `max_in_flight` were
    /// reached, or the gateway sheds load. Also used for a class or plan that the settings do not have.
    Overloaded,
}

/// What became of an action at the host.
#[must_use = "an attempt that was not started must be reported to the decisions, which count it as in flight"]
#[derive(Debug)]
pub enum ActionOutcome {
    /// The action is carried out, or has no effect because its request has ended. The end of an attempt that was started
    /// is reported later.
    Done,
    /// The attempt was not started. This end is to be reported as [`crate::Event::AttemptEnded`], before other events.
    AttemptNotStarted(AttemptEnd),
}

/// An action that the host executes at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a backend. If the host cannot start it, for example since the request has ended in
    /// the meantime, the outcome is [`ActionOutcome::AttemptNotStarted`].
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The backend.
        backend: Name,
        /// The attempt's timeout in ms; `None` for the client's own. Not used yet: the gateway always sets `None`.
        timeout: Option<Millis>,
        /// For a retry that backends deduplicate for a limited time only: the rest of that time, in ms. The host
        /// withdraws the attempt unless it counts as sent by then: in the HTTP gateway with its first bytes, in the
        /// RESP gateway with its last byte.
        must_be_written_within: Option<Millis>,
    },
    /// Final response: rejected. The client may safely retry. This does not mean that no backend executed the request:
    /// an idempotent request, or one whose idempotency key all backends share, is rejected after a possible execution
    /// too.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries, in ms.
        retry_after: Millis,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Final response: failed. The request may have been executed, or there is no time left to reject it.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt. Not used yet: the gateway never emits it.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// How long from now, in ms.
        after: Millis,
        /// The token that [`crate::Event::TimerExpired`] carries back.
        token: u64,
    },
    /// Send a health check to a backend. Not used yet: the gateway never emits it.
    CheckHealth {
        /// The backend.
        backend: Name,
    },
    /// Add to a shared counter and report its total.
    AddToCounter {
        /// The counter's name, below 2^63.
        counter: u64,
        /// What to add; may be negative.
        amount: f64,
        /// How long a new counter is kept, in ms.
        time_to_live: Millis,
    },
    /// Send a message to all other gateways.
    Gossip {
        /// The message.
        bytes: Vec<u8>,
    },
    /// Ask for changes to the endpoint list from now on.
    WatchBackends,
    /// Write a line to the log.
    Log(String),
}
