//! The state of one attempt on the wire, and what its end means for the request.
//!
//! | ended by | connecting | connected, unsent | sent, or a response head received |
//! | --- | --- | --- | --- |
//! | `ConnectionLost` | `ConnectFailed` | `NeverSent` | `ConnectionLost` |
//! | `DeadlineExpired` | `ConnectFailed` | `ConnectFailed` | `TimedOut` |
//! | `Cancelled` | `NeverSent` | `NeverSent` | `Cancelled` |
//! | `Withdrawn`, `ClientDisconnected` | `NeverSent` | `NeverSent` | the attempt goes on |
//! | `InvalidResponse` | `Error` | `Error` | `Error` |
//!
//! An attempt is sent from [`LifecycleEvent::RequestSent`](crate::LifecycleEvent::RequestSent) on, which the HTTP
//! gateway reports at the first bytes that the operating system accepts and the RESP gateway at the last.
//!
//! `ConnectFailed`, `NeverSent` and `Rejected` say that the request was not executed; after every other outcome it may
//! have been.

use doorcourse::AttemptOutcome;

/// The HTTP status with which a backend rejects a request before any work (RFC 6585, section 4). A backend may send 503
/// after it has begun the work, so 503 does not count as a rejection.
const TOO_MANY_REQUESTS: u16 = 429;

/// How much of an attempt's request and response has been transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireState {
    /// It has no connection yet.
    Connecting,
    /// It has a connection, and the host has not reported
    /// [`LifecycleEvent::RequestSent`](crate::LifecycleEvent::RequestSent).
    Connected,
    /// The operating system accepted the bytes after which the backend may execute the request: the first bytes in the
    /// HTTP gateway, all bytes in the RESP gateway. The backend may execute it even if the connection is lost: when a
    /// pooled connection closes just as the request is written, nothing shows whether the backend read it.
    Sent,
    /// The response head arrived.
    Responding,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    wire: WireState,
    /// The HTTP status of the response; `None` before its head.
    status: Option<u16>,
    /// Response body bytes received so far.
    received_bytes: usize,
}

impl Attempt {
    pub(crate) fn new() -> Self {
        Self { wire: WireState::Connecting, status: None, received_bytes: 0 }
    }

    pub(crate) fn advance(&mut self, wire: WireState) {
        self.wire = wire;
    }

    pub(crate) fn response_head(&mut self, status: u16) {
        self.wire = WireState::Responding;
        self.status = Some(status);
    }

    /// Records received body bytes. Returns the total received so far.
    pub(crate) fn response_data(&mut self, bytes: usize) -> usize {
        self.received_bytes = self.received_bytes.saturating_add(bytes);
        self.received_bytes
    }

    /// Whether the backend cannot have executed the request, since it was not [`Sent`](WireState::Sent).
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.wire, WireState::Connecting | WireState::Connected)
    }

    /// Whether the request was [`Sent`](WireState::Sent) and no response head arrived, so that a complete response can
    /// belong to it.
    pub(crate) fn awaits_response_head(&self) -> bool {
        self.wire == WireState::Sent
    }

    /// Whether the received response may be forwarded to the client. Statuses 400 and 422 reject the operation itself:
    /// every other backend would respond with the same.
    pub(crate) fn has_client_response(&self) -> bool {
        matches!(self.status, Some(200 | 400 | 422))
    }

    /// The outcome where the response body ended; `complete` says whether it is a complete GraphQL response.
    pub(crate) fn outcome_at_response_end(&self, complete: bool) -> AttemptOutcome {
        if self.status == Some(TOO_MANY_REQUESTS) {
            AttemptOutcome::Rejected
        } else if complete && self.has_client_response() {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Error
        }
    }

    /// The outcome where the connection is lost: only before the request was [`Sent`](WireState::Sent) is it certain
    /// that it was not executed.
    pub(crate) fn outcome_at_connection_loss(&self) -> AttemptOutcome {
        match self.wire {
            WireState::Connecting => AttemptOutcome::ConnectFailed,
            WireState::Connected => AttemptOutcome::NeverSent,
            WireState::Sent | WireState::Responding => AttemptOutcome::ConnectionLost,
        }
    }

    /// The outcome where the decision library cancels the attempt.
    pub(crate) fn outcome_at_cancellation(&self) -> AttemptOutcome {
        if self.is_unsent() { AttemptOutcome::NeverSent } else { AttemptOutcome::Cancelled }
    }

    /// The outcome where the deadline expires: a request that was not [`Sent`](WireState::Sent) was not executed.
    ///
    /// An unsent attempt ends as `ConnectFailed` even where the connection was made: unlike `NeverSent`, this outcome
    /// counts as a failure in the backend's health.
    pub(crate) fn outcome_at_deadline(&self) -> AttemptOutcome {
        if self.is_unsent() { AttemptOutcome::ConnectFailed } else { AttemptOutcome::TimedOut }
    }
}
