//! One client connection: its phase, and what is buffered on it.

use crate::graphql_front::RequestHead;
use doorcourse::{Millis, Name, RequestId};
use doorcourse_connection_limits::ConnectionUsage;
use doorcourse_event_loop::{Interest, Socket};
use doorcourse_http::{Decoder, Framing};

/// What a connection is doing.
#[derive(Debug)]
pub(super) enum ConnectionPhase {
    /// Between requests, or in the head of one.
    ReadingHead,
    /// In the body of a request.
    ReadingBody(Box<RequestHead>),
    /// A complete request is reported, and not admitted or answered yet.
    AwaitingAdmission,
    /// A request is admitted; its response has not ended.
    Responding(RequestId),
    /// All is written and our side is closed; what the client still sends is discarded, so that it can read the last
    /// response (RFC 9112 section 9.6).
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
    /// When the connection times out, in the phase that it is in.
    pub timeout_at: Millis,
    pub interest: Interest,
    /// What the connection's buffers count in the budget.
    pub usage: ConnectionUsage,
    /// Whose buffers they are; known from the first request on.
    pub customer: Option<Name>,
    /// Whether the client has read some of its response since the budget was last updated.
    pub progressed: bool,
    /// When it is checked next whether the client still reads; infinite where no check is due.
    pub unread_check_at: Millis,
    /// Close once all is written.
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

    /// Whether a request is with the decisions, or its response not ended.
    pub(super) fn has_request(&self) -> bool {
        matches!(self.phase, ConnectionPhase::AwaitingAdmission | ConnectionPhase::Responding(_))
    }

    /// Whether the gateway has ended its side and only waits for the client to close.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Lingering)
    }

    /// Whether the rest of a request or of a response is outstanding. A connection that is closing counts until its
    /// client has had the time to read the last response: a close while bytes are unread would destroy it.
    pub(super) fn is_busy(&self) -> bool {
        self.is_lingering() || self.closing || self.socket.pending() > 0 || self.is_in_request()
    }

    /// Writes buffered output and notes whether the client took some; returns how the write ended.
    pub(super) fn flush(&mut self) -> doorcourse_event_loop::Flow {
        let before = self.socket.pending();
        let flow = self.socket.flush();
        self.progressed |= self.socket.pending() < before;
        flow
    }

    /// Ends our side, and reads on for a while: closing with unread input would reset the connection, and could destroy
    /// the last response on its way (RFC 9112 section 9.6).
    pub(super) fn start_lingering(&mut self) {
        self.phase = ConnectionPhase::Lingering;
        self.socket.shutdown_write();
        self.socket.input = Vec::new();
    }
}
