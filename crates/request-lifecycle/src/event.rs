//! What the host reports to the lifecycle of a request.

use doorcourse::RejectReason;

/// An event of a request. The host reports events in the order in which they happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LifecycleEvent {
    /// The decision library sent an attempt to a backend. No other attempt of the request is in flight.
    AttemptStarted,
    /// The attempt has a connection.
    Connected,
    /// The operating system accepted bytes of the request for sending: from now on a backend may execute it.
    ///
    /// Which byte makes this possible depends on the protocol, so the host decides when it reports this event. The HTTP
    /// gateway reports it at the first bytes: a backend may act on a part of a request. The RESP gateway reports it at
    /// the last byte: a backend executes a command only once it has received all of it.
    RequestSent,
    /// The response head arrived.
    ResponseHead {
        /// The HTTP status.
        status: u16,
    },
    /// A part of the response body arrived.
    ResponseData {
        /// Its length.
        bytes: usize,
    },
    /// The response body ended.
    ResponseEnd {
        /// Whether it is a complete GraphQL response.
        complete: bool,
        /// The cost of the operation, computed from the data of the response, in units.
        units: f64,
    },
    /// The complete response arrived, in a protocol where none of it is forwarded before its end.
    ResponseReceived {
        /// The result that the response reports.
        reply: BackendReply,
        /// The cost in units, where the response states it.
        units: Option<f64>,
    },
    /// The backend is draining, was removed or has another incarnation: the attempt must not be sent to it any more. An
    /// attempt for which [`RequestSent`](Self::RequestSent) was reported goes on.
    Withdrawn,
    /// The attempt's connection was lost or could not be made.
    ConnectionLost,
    /// The response violates a limit or the protocol.
    InvalidResponse,
    /// The decision library cancels the attempt.
    Cancelled,
    /// The deadline of the attempt expired, or that of the request where no attempt is in flight. At the end of a
    /// graceful shutdown the host reports this for all remaining requests, even before their deadlines.
    DeadlineExpired,
    /// The client closed its connection.
    ClientDisconnected,
    /// The decision library rejects the request.
    Rejected {
        /// After how many ms the client may retry.
        retry_after: f64,
        /// Why.
        reason: RejectReason,
    },
    /// The decision library fails the request.
    Failed,
}

/// What a backend's complete response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendReply {
    /// The value of the request.
    Value,
    /// An error; the request may have been executed.
    Failed,
    /// The backend rejected the request before any work: a retry is harmless.
    Rejected,
}
