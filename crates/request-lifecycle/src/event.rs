//! What the host tells.

use doorcourse::RejectReason;

/// Where an attempt is on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireState {
    /// The connection is not made yet.
    Connecting,
    /// The connection is there, and no byte of the request was taken by the system.
    Connected,
    /// Bytes were taken. The node may run the request from now on, whatever happens to the connection: a pooled
    /// connection closed just as the request was written tells nothing.
    Sent,
    /// The head of an answer came.
    Responding,
}

/// What the host tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LifecycleEvent {
    /// The decisions sent the request to a node.
    AttemptStarted,
    /// The attempt's connection is made.
    Connected,
    /// The system took bytes of the request.
    BytesWritten,
    /// The node answers with this status.
    ResponseHead {
        /// The status.
        status: u16,
    },
    /// So many bytes of the answer's body came.
    ResponseData {
        /// How many.
        bytes: usize,
    },
    /// The answer is at its end.
    ResponseEnd {
        /// Whether it is a whole GraphQL response.
        complete: bool,
        /// What it came to, by the answer's data.
        units: f64,
    },
    /// The answer came whole and at once, in a protocol where nothing of it is passed on before.
    ResponseReceived {
        /// What it says.
        reply: BackendReply,
        /// What it came to, where the answer tells.
        units: Option<f64>,
    },
    /// The node drains, is gone or was started anew before a byte of the request was written: it must not have it.
    Withdrawn,
    /// The attempt's connection broke or could not be made.
    ConnectionLost,
    /// The answer breaks a limit or the protocol.
    InvalidResponse,
    /// The decisions call the attempt off.
    Cancelled,
    /// The time for the answer is up.
    DeadlineExpired,
    /// The client is gone.
    ClientDisconnected,
    /// The decisions refuse the request.
    Rejected {
        /// The advice, in ms.
        retry_after: f64,
        /// Why.
        reason: RejectReason,
    },
    /// The decisions fail the request.
    Failed,
}

/// What a node's whole answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendReply {
    /// The value made for this request.
    Value,
    /// It failed, and may have run.
    Failed,
    /// Turned away unseen.
    Rejected,
}
