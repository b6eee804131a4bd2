//! Writing responses: the gateway's own, and those that are forwarded from a backend.

use super::connection::ConnectionPhase;
use super::{ClientEvent, Clients};
use crate::graphql_front::{self as front, Response};
use crate::io::{Io, Timer, Token};
use doorcourse::{Millis, Name};
use doorcourse_config::Config;
use doorcourse_event_loop::{Flow, Interest};
use doorcourse_http::{Framing, chunk, chunk_end, response_head};

/// How much input of a client is buffered while its request is answered (pipelining), in bytes.
const MAX_PIPELINED_BYTES: usize = 16 << 10;
/// How long a connection reads and discards input after its last response, in ms.
const LINGER_TIMEOUT: Millis = 1000.0;

/// The head of a backend's response that is forwarded.
#[derive(Debug)]
pub(crate) struct ForwardedHead {
    pub status: u16,
    pub content_type: String,
    /// The backend's framing; a length if the response was complete before it was forwarded.
    pub framing: Framing,
    pub cookies: Vec<String>,
}

impl ForwardedHead {
    /// The framing for a client of HTTP/1.`http_minor`: HTTP/1.0 does not support chunks.
    fn client_framing(&self, http_minor: u8) -> Framing {
        match self.framing {
            Framing::Length(length) => Framing::Length(length),
            _ if http_minor == 0 => Framing::Close,
            _ => Framing::Chunked,
        }
    }

    /// Appends the head to a connection's output.
    fn write(&self, output: &mut Vec<u8>, external_id: &Name, framing: Framing, keep_alive: bool) {
        let mut fields =
            vec![("content-type", self.content_type.as_str()), (front::REQUEST_ID_FIELD, external_id)];
        fields.extend(self.cookies.iter().map(|cookie| ("set-cookie", cookie.as_str())));
        if !keep_alive && framing != Framing::Close {
            fields.push(("connection", "close"));
        }
        response_head(output, self.status, &fields, framing);
    }
}

impl Clients {
    /// Writes a response of the gateway's own.
    pub(crate) fn respond(
        &mut self, io: &mut Io, config: &Config, slot: usize, response: &Response, external_id: Option<&Name>,
    ) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.keep_alive &= !self.announce_close;
        front::write_response(client.socket.output(), response, client.keep_alive, external_id);
        client.keep_alive &= !response.close;
        self.finish_response(io, config, slot);
    }

    /// Writes bytes of a forwarded response, preceded by `head` if there is one. Returns the number of bytes in the
    /// send buffer, including these, before the buffer is written to the socket.
    pub(crate) fn forward(
        &mut self, io: &mut Io, config: &Config, slot: usize, head: Option<ForwardedHead>,
        external_id: &Name, bytes: &[u8],
    ) -> usize {
        let Some(client) = self.connections.get_mut(slot) else { return 0 };
        if let Some(head) = head {
            let framing = head.client_framing(client.http_minor);
            client.response_framing = framing;
            client.keep_alive &= framing != Framing::Close && !self.announce_close;
            head.write(client.socket.output(), external_id, framing, client.keep_alive);
        }
        if client.response_framing == Framing::Chunked {
            chunk(client.socket.output(), bytes);
        } else {
            client.socket.output().extend_from_slice(bytes);
        }
        let unread = client.socket.pending();
        self.flush(config, slot);
        self.update_registration(io, slot);
        unread
    }

    /// Ends a forwarded response.
    pub(crate) fn end_response(&mut self, io: &mut Io, config: &Config, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.response_framing == Framing::Chunked {
            chunk_end(client.socket.output());
        }
        self.finish_response(io, config, slot);
    }

    /// Resets the connection, so that its client cannot mistake a partial response for a complete one.
    pub(crate) fn reset(&mut self, slot: usize) {
        if let Some(client) = self.connections.get(slot) {
            client.socket.reset_on_close();
        }
        self.remove(slot);
    }

    /// Ends a response that is completely in the send buffer: the connection waits for a request or is closed.
    fn finish_response(&mut self, io: &mut Io, config: &Config, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.phase = ConnectionPhase::ReadingHead;
        client.closing = !client.keep_alive;
        self.set_timeout(io, slot, config.limits.idle_time);
        self.flush(config, slot);
        self.update_registration(io, slot);
    }

    /// Writes buffered output, and reports when the client has read enough for more of its response.
    pub(super) fn flush(&mut self, config: &Config, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.flush() == Flow::Broken {
            return self.handle_disconnect(slot);
        }
        let ready_for_more = client.socket.pending() <= config.limits.client_buffer / 2;
        if let (true, ConnectionPhase::Responding(id)) = (ready_for_more, &client.phase) {
            self.events.push_back(ClientEvent::ReadyForMore(*id));
        }
    }

    /// Updates the connection's registration, budget and unread timeout to its state.
    pub(super) fn update_registration(&mut self, io: &mut Io, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.closing && client.socket.pending() == 0 && !client.is_lingering() {
            client.start_lingering();
            self.set_timeout(io, slot, LINGER_TIMEOUT);
        }
        let Some(client) = self.connections.get_mut(slot) else { return };
        let unread = client.socket.pending();
        let between_requests = matches!(client.phase, ConnectionPhase::ReadingHead);
        let held_back = between_requests && !self.budget.may_start_request(unread);
        // While input is only buffered and not decoded, reading stops at a limit.
        let buffers_input = client.has_request() || client.closing || held_back;
        let read = client.is_lingering() || !buffers_input || client.socket.input.len() < MAX_PIPELINED_BYTES;
        let interest = Interest::of(read, unread > 0).with_peer_close();
        let bytes = (client.socket.buffer_capacity() + client.body.capacity()) as u64;
        let progressed = std::mem::take(&mut client.progressed);
        self.budget.update(io.now(), &mut client.usage, client.customer.as_ref(), bytes, unread, progressed);
        let reset_at = self.budget.reset_at(&client.usage);
        if reset_at.is_finite() && client.unread_check_at.is_infinite() {
            client.unread_check_at = reset_at;
            io.timers.schedule(reset_at, Timer::ClientTimeout(slot, client.generation));
        }
        if interest != client.interest {
            client.interest = interest;
            let token = Token::Client(slot, client.generation).pack();
            let _ = io.poller.change(&client.socket, token, interest);
        }
    }
}
