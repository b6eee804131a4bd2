//! Reading and decoding requests.

use super::connection::ConnectionPhase;
use super::{ClientEvent, Clients};
use crate::graphql_front::{self as front, Response};
use crate::io::Io;
use doorcourse::RequestId;
use doorcourse_config::Config;
use doorcourse_event_loop::{Flow, Ready};
use doorcourse_http::{Framing, Head, Part};

/// How decoding continues after one part of a request.
enum Progress {
    Continue,
    NeedsInput,
    Reject(Response),
}

/// A part of a request that does not borrow the input.
enum RequestPart {
    Head(Box<Head>),
    Data,
    End,
}

impl Clients {
    /// Handles the readiness of a connection: a disconnect first, then input, then output.
    pub(crate) fn handle_readiness(
        &mut self, io: &mut Io, config: &Config, slot: usize, generation: u32, ready: Ready,
    ) {
        let current_connection = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        if current_connection.is_none() {
            return;
        }
        if ready.peer_closed {
            // A client that closes its sending side counts as disconnected: a client that gives up looks the same.
            return self.handle_disconnect(slot);
        }
        if ready.read && !self.read(io, config, slot) {
            return;
        }
        if ready.write {
            self.flush(config, slot);
            // A pipelined request may have waited until the client had read earlier responses.
            self.decode_input(io, config, slot);
        }
        self.update_registration(io, slot);
        self.limit_partial_requests(io, config, slot);
    }

    /// Reads and decodes input. Returns `false` if the connection has ended.
    fn read(&mut self, io: &mut Io, config: &Config, slot: usize) -> bool {
        let Some(client) = self.connections.get_mut(slot) else { return false };
        if client.is_lingering() {
            client.socket.input.clear();
        }
        let was_empty = client.socket.input.is_empty();
        let (count, flow) = client.socket.read();
        if flow != Flow::Open {
            self.handle_disconnect(slot);
            return false;
        }
        if count > 0 {
            self.last_input_at = io.now();
            if was_empty && matches!(client.phase, ConnectionPhase::ReadingHead) {
                self.set_timeout(io, slot, config.limits.head_time);
            }
        }
        self.decode_input(io, config, slot);
        true
    }

    /// Removes the connection of a client that has disconnected, and reports the disconnect of its open request.
    pub(super) fn handle_disconnect(&mut self, slot: usize) {
        let Some(client) = self.connections.get(slot) else { return };
        if let ConnectionPhase::Responding(id) = client.phase {
            self.events.push_back(ClientEvent::Disconnected(id));
        }
        self.remove(slot);
    }

    /// Decodes input until a request is complete or more input is needed.
    fn decode_input(&mut self, io: &mut Io, config: &Config, slot: usize) {
        loop {
            match self.decode_part(io, config, slot) {
                Progress::Continue => {}
                Progress::NeedsInput => return,
                Progress::Reject(response) => return self.respond(io, config, slot, &response, None),
            }
        }
    }

    fn decode_part(&mut self, io: &mut Io, config: &Config, slot: usize) -> Progress {
        let Some(client) = self.connections.get_mut(slot) else { return Progress::NeedsInput };
        if client.closing || client.has_request() || client.is_lingering() {
            return Progress::NeedsInput;
        }
        let between_requests = matches!(client.phase, ConnectionPhase::ReadingHead);
        if between_requests && !self.budget.may_start_request(client.socket.pending()) {
            return Progress::NeedsInput;
        }
        let (consumed, part) = match client.decoder.decode(&client.socket.input) {
            Ok(decoded) => decoded,
            Err(error) => return Progress::Reject(front::bad_http_response(error)),
        };
        let part = match part {
            None => None,
            Some(Part::Head(head)) => Some(RequestPart::Head(head)),
            Some(Part::Data(data)) => {
                client.body.extend_from_slice(data);
                Some(RequestPart::Data)
            }
            Some(Part::End) => Some(RequestPart::End),
        };
        client.socket.consume(consumed);
        match part {
            None => Progress::NeedsInput,
            Some(RequestPart::Data) => Progress::Continue,
            Some(RequestPart::Head(head)) => self.handle_head(io, config, slot, &head),
            Some(RequestPart::End) => self.handle_request_end(slot),
        }
    }

    /// Checks a request's head before its body is read.
    fn handle_head(&mut self, io: &mut Io, config: &Config, slot: usize, head: &Head) -> Progress {
        let Some(client) = self.connections.get_mut(slot) else { return Progress::NeedsInput };
        client.keep_alive = head.keep_alive && !self.announce_close;
        client.http_minor = head.minor;
        client.head_received_at = io.now();
        let request_head = match front::check_head(config, head) {
            Ok(request_head) => request_head,
            Err(response) => return Progress::Reject(response),
        };
        if let Err(limit) = self.budget.check_buffers(&request_head.customer.name) {
            return Progress::Reject(front::gateway_full_response(limit.message()));
        }
        client.customer = Some(request_head.customer.name.clone());
        client.phase = ConnectionPhase::ReadingBody(Box::new(request_head));
        let wants_continue = head.expects_continue() && head.framing != Framing::None;
        if wants_continue && client.socket.input.is_empty() {
            client.socket.output().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            client.socket.flush();
        }
        self.set_timeout(io, slot, config.limits.body_time);
        Progress::Continue
    }

    /// Reports a complete request.
    fn handle_request_end(&mut self, slot: usize) -> Progress {
        let Some(client) = self.connections.get_mut(slot) else { return Progress::NeedsInput };
        let body = std::mem::take(&mut client.body);
        let phase = std::mem::replace(&mut client.phase, ConnectionPhase::AwaitingAdmission);
        let ConnectionPhase::ReadingBody(head) = phase else {
            client.phase = ConnectionPhase::ReadingHead;
            return Progress::Continue;
        };
        let head_received_at = client.head_received_at;
        self.events.push_back(ClientEvent::RequestReceived { client: slot, head, body, head_received_at });
        Progress::Continue
    }

    /// Records that the reported request is admitted with this id.
    pub(crate) fn request_admitted(&mut self, slot: usize, id: RequestId) {
        if let Some(client) = self.connections.get_mut(slot) {
            client.phase = ConnectionPhase::Responding(id);
        }
    }

    /// Decodes the input after an answered request (pipelining).
    pub(crate) fn resume_input(&mut self, io: &mut Io, config: &Config, slot: usize) {
        self.decode_input(io, config, slot);
        self.update_registration(io, slot);
    }
}
