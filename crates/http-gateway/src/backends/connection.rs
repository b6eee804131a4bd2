//! One connection to a backend: its socket, what of a request is written and what of the response is decoded.

use crate::io::{Io, Token};
use doorcourse::{Millis, Name, RequestId};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket};
use doorcourse_http::{Decoder, Head, Part};
use std::net::SocketAddr;

/// A connection in the table: its slot, and the generation that distinguishes it from an earlier one of that slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId {
    pub slot: usize,
    pub generation: u32,
}

/// What a connection was opened for. A backend that was restarted or has moved has another identity, so that a connection
/// to the process or address before is not used for it.
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
    /// The system took bytes of the request: from now on it may be executed.
    BytesWritten,
    Head(Box<Head>),
    Data(Vec<u8>),
    /// The response is complete; the connection is idle again or closed.
    End,
    /// The connection is closed or broken.
    ConnectionLost,
    /// The response breaks the protocol or a limit.
    InvalidResponse,
}

/// What the input read so far decodes to.
pub(super) enum Decoded {
    Event(AttemptEvent),
    /// More bytes are needed; the connection is open.
    NeedsInput,
    /// The peer has closed the connection; whether the response is complete by that.
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
    /// The request on it; `None` while it is idle in its pool.
    pub request: Option<RequestId>,
    pub connecting: bool,
    /// `Connected` is to be reported next.
    pub connected_pending: bool,
    /// The socket may take bytes of the request.
    pub write_ready: bool,
    /// How the last read or write ended.
    pub flow: Flow,
    /// Bytes, or the end of the connection, wait to be decoded.
    pub input_pending: bool,
    /// How many bytes of the input are decoded.
    pub decoded_bytes: usize,
    /// Back pressure: the client has to read on first.
    pub paused: bool,
    pub interest: Interest,
    /// When an idle connection is closed.
    pub idle_until: Millis,
    pub keep_alive: bool,
}

impl BackendConnection {
    /// Starts a request on the connection, whose bytes are in its output.
    pub(super) fn start_request(&mut self, id: RequestId) {
        self.request = Some(id);
        self.idle_until = Millis::INFINITY;
        self.connected_pending = !self.connecting;
        self.write_ready = !self.connecting;
    }

    /// Reads and records what the socket is ready for. Returns whether the connection has to be closed: an idle one that
    /// ends, or on which unrequested bytes arrive, is of no further use.
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

    /// Writes what is left of the request; returns whether the system took bytes.
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

    /// One part of the response; also without a byte of input, since a message may be at its end.
    fn decode_part(&mut self) -> Option<AttemptEvent> {
        let input = &self.socket.input[self.decoded_bytes..];
        let Ok((used, part)) = self.decoder.decode(input) else {
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
        self.decoded_bytes += used;
        event
    }

    /// Drops the decoded input, once for all that one read decoded.
    pub(super) fn consume(&mut self) {
        let decoded_bytes = std::mem::take(&mut self.decoded_bytes);
        self.socket.consume(decoded_bytes);
    }

    /// Ends the request whose response is complete. Returns whether the connection may carry another request.
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

    /// Brings the registration in line with what the connection waits for.
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
