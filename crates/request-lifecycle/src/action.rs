//! What the host is to do.

use doorcourse::{AttemptOutcome, RejectReason};

/// Why a request failed, as far as the wire tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No answer came in time.
    DeadlineExpired,
    /// A node broke off or answered with an error.
    BackendFailed,
    /// No node took it: it never ran.
    NoBackendReached,
}

/// A final answer that the gateway gives itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalResponse {
    /// Refused: to try again is harmless.
    Rejected {
        /// The advice, in ms.
        retry_after: f64,
        /// Why.
        reason: RejectReason,
    },
    /// Failed, with no promise.
    Failed(FailureReason),
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LifecycleAction {
    /// Tell the decisions how the attempt ended.
    AttemptEnded {
        /// How.
        outcome: AttemptOutcome,
        /// The true units, where the answer told them.
        true_units: Option<f64>,
        /// Whether the request has had its final answer.
        final_response_sent: bool,
    },
    /// Tell the decisions that the client left.
    ClientDisconnected,
    /// Give the client this answer.
    Respond(FinalResponse),
    /// Pass on what is held of the node's answer, and what follows as it comes.
    ForwardResponse,
    /// The passed answer is at its end.
    EndResponse,
    /// Forget what is held of the node's answer.
    DiscardResponse,
    /// Break the client's connection, so that it cannot take what it has for the whole.
    ResetClient,
    /// Close the node's connection: whatever still comes on it is of no use.
    CloseBackendConnection,
    /// The exchange is over.
    Finished,
}
