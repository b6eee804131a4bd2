//! One connection to a backend, with one attempt at a time.

use super::attempt::{AttemptEvent, BackendResponse, is_health_check};
use crate::reactor::RegisteredSocket;
use doorcourse::{Millis, Name, RequestId};
use doorcourse_event_loop::Flow;
use doorcourse_resp::ReplyReader;

pub(super) enum ConnectionState {
    Connecting {
        since: Millis,
    },
    Idle {
        since: Millis,
    },
    /// An attempt is in flight; `written` is set once its last byte is written.
    Busy {
        request: RequestId,
        written: bool,
    },
}

pub(super) struct BackendConnection {
    pub registered: RegisteredSocket,
    pub backend: Name,
    /// The incarnation of the backend for which the connection was opened.
    pub incarnation: u64,
    pub state: ConnectionState,
    replies: ReplyReader,
    /// Whether the next flush handles this connection.
    pub flush_scheduled: bool,
    /// What the table has counted of the socket's buffers.
    pub counted_bytes: u64,
    usage: Usage,
}

/// How a connection was used, for the log.
#[derive(Default)]
struct Usage {
    /// How long it was idle before the current attempt, in ms.
    idle_before: Millis,
    /// Attempts so far, including the current one.
    attempts: u32,
    /// When the current attempt started.
    attempt_started_at: Millis,
}

impl BackendConnection {
    pub(super) fn connecting(
        registered: RegisteredSocket, backend: Name, incarnation: u64, now: Millis,
    ) -> Self {
        Self {
            registered,
            backend,
            incarnation,
            state: ConnectionState::Connecting { since: now },
            replies: ReplyReader::default(),
            flush_scheduled: false,
            counted_bytes: 0,
            usage: Usage::default(),
        }
    }

    /// Returns the attempt on this connection unless its last byte was written.
    pub(super) fn unwritten_attempt(&self) -> Option<RequestId> {
        match self.state {
            ConnectionState::Busy { request, written: false } => Some(request),
            _ => None,
        }
    }

    /// Records that an attempt starts on this connection. The caller appends its bytes to the output.
    pub(super) fn start_attempt(&mut self, request: RequestId, now: Millis) {
        self.usage.idle_before = match self.state {
            ConnectionState::Idle { since } => now - since,
            _ => 0.0,
        };
        self.usage.attempts += 1;
        self.usage.attempt_started_at = now;
        self.state = ConnectionState::Busy { request, written: false };
    }

    /// Reads once, and returns the response to the current attempt or how it failed; `None` while more input is needed.
    pub(super) fn read_response(&mut self, request: RequestId) -> Option<ReadResponse> {
        let (_, flow) = self.registered.socket.read();
        let input = &self.registered.socket.input;
        let result = match self.replies.read(input) {
            Ok(None) if flow == Flow::Open => return None,
            Ok(None) => Err(AttemptEvent::ConnectionLost),
            Err(_) => Err(AttemptEvent::InvalidResponse),
            Ok(Some((reply, length))) => {
                let response = BackendResponse::from_reply(reply, input, is_health_check(request));
                self.registered.socket.consume(length);
                response.ok_or(AttemptEvent::InvalidResponse)
            }
        };
        let is_written = matches!(self.state, ConnectionState::Busy { written: true, .. });
        let is_reusable = is_written && flow == Flow::Open && self.registered.socket.input.is_empty();
        Some(ReadResponse { result, is_reusable })
    }

    /// The memory of the connection's buffers, in bytes.
    pub(super) fn buffered_bytes(&self) -> u64 {
        self.registered.socket.buffer_capacity() as u64
    }

    /// Whether nothing has been received of a response.
    pub(super) fn is_response_outstanding(&self) -> bool {
        self.registered.socket.input.is_empty()
    }

    /// Logs that the connection failed during an attempt.
    pub(super) fn log_failed_attempt(&self, now: Millis, event: &AttemptEvent) {
        tracing::trace!(
            target: "doorcourse::sockets",
            backend = &*self.backend,
            idle_before_ms = self.usage.idle_before,
            attempts = self.usage.attempts,
            elapsed_ms = now - self.usage.attempt_started_at,
            unreadable = *event == AttemptEvent::InvalidResponse,
            "backend connection failed during an attempt"
        );
    }
}

/// The end of an attempt: its response, or how it failed.
pub(super) struct ReadResponse {
    /// The response, or the event that reports its failure.
    pub result: Result<BackendResponse, AttemptEvent>,
    /// Whether another attempt may use the connection: it is open, no input follows the response, and the response came
    /// after the last byte of the attempt was written.
    pub is_reusable: bool,
}
