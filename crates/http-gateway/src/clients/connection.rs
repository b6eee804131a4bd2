//! One client connection: its phase, buffers and timeouts.

use crate::graphql_front::RequestHead;
use doorcourse::{Millis, Name, RequestId};
use doorcourse_connection_limits::ConnectionUsage;
use doorcourse_event_loop::{Interest, Socket};
use doorcourse_http::{Decoder, Framing};

/// The phase of a connection.
#[derive(Debug)]
pub(super) enum ConnectionPhase {
    /// Waiting for a request, or receiving its head.
    ReadingHead,
    /// Receiving the body of a request.
    ReadingBody(Box<RequestHead>),
    /// A complete request has been reported, but is not admitted or answered yet.
    AwaitingAdmission,
    /// The request with this id is admitted; its response has not ended.
    Responding(RequestId),
    /// All output is written and the sending side is closed. Input is read and discarded, so that the client can read
    /// the last response (RFC 9112 section 9.6).
    Lingering,
}

#[derive(Debug)]
pub(super) struct ClientConnection {
    pub socket: Socket,
    pub generation: u32,
    pub decoder: Decoder,
    pub phase: ConnectionPhase,
    pub body: Vec<u8>,
    /// When the head of the present request was received.
    pub head_received_at: Millis,
    /// Whether the connection may carry another request after this one.
    pub keep_alive: bool,
    /// The minor version of the client's HTTP/1.
    pub http_minor: u8,
    /// The framing of the response that is being forwarded.
    pub response_framing: Framing,
    /// When the connection times out in its present phase.
    pub timeout_at: Millis,
    pub interest: Interest,
    /// How much the connection's buffers use of the budget.
    pub usage: ConnectionUsage,
    /// The customer whose budget the buffers use; known from the first request on.
    pub customer: Option<Name>,
    /// Whether the client has read some of its response since the budget was last updated.
    pub progressed: bool,
    /// When the next check is due whether the client reads its response; infinite if none is needed.
    pub unread_check_at: Millis,
    /// Whether the connection is closed once all output is written.
    pub closing: bool,
}

impl ClientConnection {
    /// A connection that waits for its first request head until `timeout_at`.
    pub(super) fn new(
        socket: Socket, generation: u32, decoder: Decoder, interest: Interest, timeout_at: Millis,
    ) -> Self {
        Self {
            socket,
            generation,
            decoder,
            phase: ConnectionPhase::ReadingHead,
            body: Vec::new(),
            head_received_at: 0.0,
            keep_alive: true,
            http_minor: 1,
            response_framing: Framing::None,
            timeout_at,
            interest,
            usage: ConnectionUsage::default(),
            customer: None,
            progressed: false,
            unread_check_at: Millis::INFINITY,
            closing: false,
        }
    }

    /// Whether a request is partially received.
    pub(super) fn is_in_request(&self) -> bool {
        match self.phase {
            ConnectionPhase::ReadingHead => {
                !self.closing && self.decoder.in_message(!self.socket.input.is_empty())
            }
            ConnectionPhase::ReadingBody(_) => true,
            ConnectionPhase::AwaitingAdmission
            | ConnectionPhase::Responding(_)
            | ConnectionPhase::Lingering => false,
        }
    }

    /// Whether a complete request waits for admission or for the end of its response.
    pub(super) fn has_request(&self) -> bool {
        matches!(self.phase, ConnectionPhase::AwaitingAdmission | ConnectionPhase::Responding(_))
    }

    /// Whether the gateway has closed its sending side and only waits for the client to close.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Lingering)
    }

    /// Whether the rest of a request or of a response is outstanding. A closing connection counts as busy while its
    /// client may read the last response: closing the socket while its input is unread could destroy that response.
    pub(super) fn is_busy(&self) -> bool {
        self.is_lingering() || self.closing || self.socket.pending() > 0 || self.is_in_request()
    }

    /// Writes buffered output and records whether the system accepted some of it. Returns the state of the connection.
    pub(super) fn flush(&mut self) -> doorcourse_event_loop::Flow {
        let before = self.socket.pending();
        let flow = self.socket.flush();
        self.progressed |= self.socket.pending() < before;
        flow
    }

    /// Closes the sending side and continues to read for a while: closing the socket with unread input would reset the
    /// connection and could destroy the last response on its way (RFC 9112 section 9.6).
    pub(super) fn start_lingering(&mut self) {
        self.phase = ConnectionPhase::Lingering;
        self.socket.shutdown_write();
        self.socket.input = Vec::new();
    }
}
