//! One request to the discovery service and its response, decoded into endpoint lists.

use super::DiscoveryError;
use super::list_reader::ListReader;
use crate::endpoints::EndpointList;
use crate::reactor::{Reactor, RegisteredSocket};
use doorcourse_discovery::{CallId, DiscoveryRequest};
use doorcourse_event_loop::Flow;
use doorcourse_http::{Decoder, Limits, Part, Role};
use std::io::Write;
use std::net::SocketAddr;

/// A request whose response is being read.
pub(super) struct Exchange {
    pub call: CallId,
    pub registered: RegisteredSocket,
    is_watch: bool,
    decoder: Decoder,
    lists: ListReader,
}

/// What one read of a response delivered.
pub(super) struct Received {
    /// Whether any bytes arrived.
    pub any_bytes: bool,
    /// Whether the response head is complete with this read.
    pub head_received: bool,
    /// The complete lists, in order.
    pub lists: Vec<EndpointList>,
    /// Whether an empty line of a watch arrived, outside a list.
    pub empty_line: bool,
    /// Whether the response has ended.
    pub is_ended: bool,
    /// Whether the connection is still open.
    pub flow: Flow,
    /// Why the rest of the response cannot be used.
    pub result: Result<(), DiscoveryError>,
}

impl Exchange {
    /// Writes a request to a connection, as far as the system accepts it.
    ///
    /// # Errors
    /// When the connection is broken.
    pub(super) fn begin(
        reactor: &Reactor, mut registered: RegisteredSocket, request: DiscoveryRequest, host: SocketAddr,
    ) -> Result<Self, DiscoveryError> {
        let output = registered.socket.output();
        // Writing to a Vec cannot fail.
        let _ = match request.from_version {
            Some(version) => write!(output, "GET /catalog/members?watch=1&from={version} HTTP/1.1\r\n"),
            None => write!(output, "GET /catalog/members HTTP/1.1\r\n"),
        };
        let _ = write!(output, "host: {host}\r\n\r\n");
        if registered.socket.flush() == Flow::Broken {
            return Err(DiscoveryError::BrokenWhileSending);
        }
        let is_pending = registered.socket.pending() > 0;
        registered.set_interest(reactor, true, is_pending);
        // The body of a watch does not end, so the decoder does not limit it. The client limits how much is buffered of
        // all lists.
        let limits = Limits { line: 512, head: 8 << 10, fields: 64, body: u64::MAX };
        let decoder = Decoder::new(Role::Responses, limits);
        Ok(Self {
            call: request.call,
            registered,
            is_watch: request.is_watch(),
            decoder,
            lists: ListReader::default(),
        })
    }

    /// Whether the response is a watch, which does not end; otherwise it is the full list.
    pub(super) fn is_watch(&self) -> bool {
        self.is_watch
    }

    /// The bytes that are buffered of a list.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.lists.len()
    }

    pub(super) fn flush(&mut self, reactor: &Reactor) {
        // A broken connection is detected by the next read.
        let _ = self.registered.socket.flush();
        let is_pending = self.registered.socket.pending() > 0;
        self.registered.set_interest(reactor, true, is_pending);
    }

    /// Reads and decodes what has arrived of the response.
    pub(super) fn read(&mut self) -> Received {
        let (length, flow) = self.registered.socket.read();
        let mut received = Received {
            any_bytes: length > 0,
            head_received: false,
            lists: Vec::new(),
            empty_line: false,
            is_ended: false,
            flow,
            result: Ok(()),
        };
        let input = std::mem::take(&mut self.registered.socket.input);
        let consumed = self.decode(&input, &mut received);
        let has_unconsumed_input = consumed < input.len();
        self.registered.socket.input = input;
        self.registered.socket.consume(consumed);
        // A body without a length ends with its connection, but only if that is closed without a reset.
        received.is_ended |= flow == Flow::Ended
            && received.result.is_ok()
            && self.decoder.closed(has_unconsumed_input).unwrap_or(false);
        if received.is_ended && received.result.is_ok() && !self.is_watch {
            let list = self.lists.take_whole();
            received.result = list.map(|list| received.lists.push(list)).map_err(DiscoveryError::List);
        }
        received
    }

    /// Decodes input and returns how many bytes of it were consumed.
    fn decode(&mut self, input: &[u8], received: &mut Received) -> usize {
        let mut consumed = 0;
        while received.result.is_ok() && !received.is_ended {
            let (length, part) = match self.decoder.decode(&input[consumed..]) {
                Ok(next) => next,
                Err(error) => {
                    received.result = Err(DiscoveryError::Http(error.to_string()));
                    break;
                }
            };
            consumed += length;
            match part {
                None => break,
                Some(Part::Head(head)) if head.status != 200 => {
                    received.result = Err(DiscoveryError::Status(head.status));
                }
                Some(Part::Head(_)) => received.head_received = true,
                Some(Part::Data(bytes)) => received.result = self.receive_body(bytes, received),
                Some(Part::End) => received.is_ended = true,
            }
        }
        consumed
    }

    fn receive_body(&mut self, bytes: &[u8], received: &mut Received) -> Result<(), DiscoveryError> {
        self.lists.push(bytes);
        // Each list of a watch ends at a line end.
        if self.is_watch && bytes.contains(&b'\n') {
            while let Some(list) = self.lists.next_list()? {
                received.lists.push(list);
            }
            received.empty_line |= self.lists.is_empty();
        }
        Ok(())
    }
}
