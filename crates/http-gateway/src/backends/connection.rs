//! One connection to a backend: its socket, and the progress of writing a request and decoding the response.

use crate::io::{Io, Token};
use doorcourse::{Millis, Name, RequestId};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket};
use doorcourse_http::{Decoder, Head, Part};
use std::net::SocketAddr;

/// A connection in the table: its slot, and the generation that distinguishes it from earlier connections in that slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId {
    pub slot: usize,
    pub generation: u32,
}

/// The backend process that a connection was opened to. A backend that was restarted or has another address has another
/// identity, so that a connection to its former process or address is not used for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndpointIdentity {
    pub address: SocketAddr,
    /// When the backend process started, in ms of its own clock.
    pub started: Option<f64>,
}

/// An event of an attempt, as its connection reports it.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The connection is established.
    Connected,
    /// The system accepted bytes of the request: from now on it is possibly executed.
    BytesWritten,
    Head(Box<Head>),
    Data(Vec<u8>),
    /// The response is complete; the connection is idle again or closed.
    End,
    /// The connection is closed or broken.
    ConnectionLost,
    /// The response violates the protocol or exceeds a limit.
    InvalidResponse,
}

/// The result of decoding the input read so far.
pub(super) enum Decoded {
    Event(AttemptEvent),
    /// More bytes are needed; the connection is open.
    NeedsInput,
    /// The connection has ended. `response_complete`: its end is also the end of the response.
    Closed {
        response_complete: bool,
    },
}

#[derive(Debug)]
pub(super) struct BackendConnection {
    pub socket: Socket,
    pub generation: u32,
    pub backend: Name,
    pub endpoint: EndpointIdentity,
    pub decoder: Decoder,
    /// The request on the connection; `None` while it is idle in its pool.
    pub request: Option<RequestId>,
    pub connecting: bool,
    /// Whether `Connected` is reported next.
    pub connected_pending: bool,
    /// Whether the socket may accept bytes of the request.
    pub write_ready: bool,
    /// The state of the stream after the last read or write.
    pub flow: Flow,
    /// Whether input, or the end of the connection, waits to be decoded.
    pub input_pending: bool,
    /// The number of bytes of the input that are decoded and not consumed yet.
    pub decoded_bytes: usize,
    /// Whether back pressure has paused the connection, until the client has read enough.
    pub paused: bool,
    pub interest: Interest,
    /// When an idle connection is closed.
    pub idle_until: Millis,
    pub keep_alive: bool,
}

impl BackendConnection {
    /// Starts a request whose bytes are in the connection's send buffer.
    pub(super) fn start_request(&mut self, id: RequestId) {
        self.request = Some(id);
        self.idle_until = Millis::INFINITY;
        self.connected_pending = !self.connecting;
        self.write_ready = !self.connecting;
    }

    /// Reads from the socket and records its readiness. Returns whether the connection has to be closed: an idle
    /// connection cannot be used any more once it ends or bytes arrive on it.
    pub(super) fn handle_readiness(&mut self, ready: Ready) -> bool {
        if self.connecting {
            if ready.write || ready.broken {
                self.finish_connect();
            }
            return false;
        }
        self.write_ready |= ready.write;
        if !ready.read || (self.paused && !ready.broken) {
            return false;
        }
        let (count, flow) = self.socket.read();
        let has_input = count > 0 || flow != Flow::Open;
        if self.request.is_none() && has_input {
            return true;
        }
        self.flow = flow;
        self.input_pending |= has_input;
        false
    }

    fn finish_connect(&mut self) {
        if self.socket.finish_connect().is_err() {
            self.set_broken();
            return;
        }
        self.connecting = false;
        self.connected_pending = true;
        self.write_ready = true;
    }

    fn set_broken(&mut self) {
        self.flow = Flow::Broken;
        self.input_pending = true;
    }

    /// Writes the rest of the request. Returns whether the system accepted bytes.
    pub(super) fn flush_request(&mut self) -> bool {
        let before = self.socket.pending();
        if self.socket.flush() == Flow::Broken {
            self.set_broken();
        }
        self.socket.pending() < before
    }

    /// Decodes the next piece of the response.
    pub(super) fn decode(&mut self) -> Decoded {
        if !self.connecting
            && let Some(event) = self.decode_part()
        {
            return Decoded::Event(event);
        }
        self.input_pending = false;
        self.consume();
        if self.flow == Flow::Open {
            return Decoded::NeedsInput;
        }
        let has_rest = !self.socket.input.is_empty();
        let response_complete = self.flow == Flow::Ended && self.decoder.closed(has_rest).unwrap_or(false);
        Decoded::Closed { response_complete }
    }

    /// The next part of the response. The end of a message needs no input, so this is called without input as well.
    fn decode_part(&mut self) -> Option<AttemptEvent> {
        let input = &self.socket.input[self.decoded_bytes..];
        let Ok((consumed, part)) = self.decoder.decode(input) else {
            self.input_pending = false;
            return Some(AttemptEvent::InvalidResponse);
        };
        let event = match part {
            None => None,
            Some(Part::Head(head)) => {
                self.keep_alive = head.keep_alive;
                Some(AttemptEvent::Head(head))
            }
            Some(Part::Data(data)) => Some(AttemptEvent::Data(data.to_vec())),
            Some(Part::End) => Some(AttemptEvent::End),
        };
        self.decoded_bytes += consumed;
        event
    }

    /// Removes the decoded bytes from the input, once for all parts decoded after one read.
    pub(super) fn consume(&mut self) {
        let decoded_bytes = std::mem::take(&mut self.decoded_bytes);
        self.socket.consume(decoded_bytes);
    }

    /// Ends the request, whose response is complete. Returns whether the connection may carry another request.
    pub(super) fn finish_request(&mut self, idle_until: Millis) -> bool {
        self.consume();
        self.request = None;
        self.paused = false;
        self.input_pending = false;
        self.idle_until = idle_until;
        self.keep_alive
            && self.socket.pending() == 0
            && self.socket.input.is_empty()
            && self.flow == Flow::Open
    }

    /// Whether an idle connection has to be closed by now.
    pub(super) fn is_idle_timeout(&self, generation: u32, now: Millis) -> bool {
        self.generation == generation && self.request.is_none() && self.idle_until <= now
    }

    /// Registers the readiness that the connection waits for.
    pub(super) fn update_registration(&mut self, io: &Io, slot: usize) {
        let write = self.connecting || self.socket.pending() > 0;
        let interest = Interest::of(!self.paused, write);
        if interest != self.interest {
            self.interest = interest;
            let token = Token::Backend(slot, self.generation).pack();
            let _ = io.poller.change(&self.socket, token, interest);
        }
    }
}
