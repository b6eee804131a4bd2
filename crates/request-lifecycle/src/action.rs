//! What the host carries out for the lifecycle of a request.

use doorcourse::{AttemptOutcome, RejectReason};

/// An action that the host carries out at once, in the order in which the actions were appended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LifecycleAction {
    /// Report the end of the attempt to the decision library.
    AttemptEnded {
        /// How it ended.
        outcome: AttemptOutcome,
        /// The true cost in units, where a served response names it.
        true_units: Option<f64>,
        /// Whether the client has had its final response, or is gone.
        final_response_sent: bool,
    },
    /// Report to the decision library that the client no longer waits, so that it drops the request and starts no
    /// attempt for it.
    ///
    /// The client may still be connected: where the deadline of a queued request expires,
    /// [`Respond`](Self::Respond) follows.
    AbandonRequest,
    /// Send the client this final response.
    Respond(FinalResponse),
    /// Forward the buffered part of the backend's response to the client, and the rest as it arrives.
    ForwardResponse,
    /// End the forwarded response: all of it has arrived.
    EndResponse,
    /// Discard the buffered part of the backend's response.
    DiscardResponse,
    /// Reset the client's connection, so that the client cannot mistake the part that it received for the complete
    /// response.
    ResetClient,
    /// Close the attempt's connection: whatever still arrives on it is not needed.
    CloseBackendConnection,
    /// The request has ended: remove its state.
    Finished,
}

/// A final response made by the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalResponse {
    /// The request was rejected, and a retry by the client is harmless: no backend executed the request, or its
    /// idempotency allows that it is executed again.
    Rejected {
        /// After how many ms the client may retry.
        retry_after: f64,
        /// Why.
        reason: RejectReason,
    },
    /// The request failed. It may have been executed even where the reason, which is that of the last attempt, says
    /// otherwise: an earlier attempt may have reached a backend.
    Failed(FailureReason),
}

/// Why a request failed, by its last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No response arrived before the deadline.
    DeadlineExpired,
    /// The connection to a backend was lost, or the backend responded with an error.
    BackendFailed,
    /// The last attempt reached no backend, or its backend rejected it.
    NoBackendReached,
}
