//! HTTP connections of calls and probes. Each carries one request; of the response only the status is used.

use super::Fleet;
use super::calls::CallFailure;
use crate::io::{Io, Token};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, boot_time_ms, connect};
use doorcourse_http::{Decoder, Limits, Part, Role};
use doorcourse_lease::{Millis, TaskId};
use std::net::SocketAddr;

/// The limits of a response: a short head, and a body that is read and discarded.
const RESPONSE_LIMITS: Limits = Limits { line: 1024, head: 8192, fields: 64, body: 1 << 20 };

/// The purpose of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A call of a task.
    Call(TaskId),
    /// A probe of a suspected node; it fails at the deadline.
    Probe {
        /// The node's name.
        node: String,
        deadline: Millis,
    },
}

enum ConnectionState {
    /// The connection is not established, or its request is not written yet.
    Connecting,
    /// The request is written.
    AwaitingResponse(ResponseReader),
}

/// Decodes a response up to its end.
struct ResponseReader {
    decoder: Decoder,
    status: u16,
}

/// How decoding continues after one part of a response.
enum Progress {
    Continue,
    NeedsInput,
    Complete,
}

/// A connection with one request.
pub(super) struct Connection {
    pub(super) purpose: Purpose,
    socket: Socket,
    generation: u32,
    state: ConnectionState,
}

impl ResponseReader {
    fn new() -> Self {
        Self { decoder: Decoder::new(Role::Responses, RESPONSE_LIMITS), status: 0 }
    }

    /// Decodes the received bytes. Returns the status once the response is complete.
    fn read(&mut self, socket: &mut Socket) -> Result<Option<u16>, CallFailure> {
        loop {
            let decoded = self.decoder.decode(&socket.input);
            let (consumed, part) = decoded.map_err(|_| CallFailure::MalformedResponse)?;
            let progress = match part {
                Some(Part::Head(head)) => {
                    self.status = head.status;
                    Progress::Continue
                }
                Some(Part::Data(_)) => Progress::Continue,
                Some(Part::End) => Progress::Complete,
                None => Progress::NeedsInput,
            };
            socket.consume(consumed);
            match progress {
                Progress::Continue => {}
                Progress::NeedsInput => return Ok(None),
                Progress::Complete => return Ok(Some(self.status)),
            }
        }
    }
}

impl Connection {
    /// Sets the request, which [`Connection::flush_request`] writes.
    pub(super) fn set_request(&mut self, request: &str) {
        self.state = ConnectionState::AwaitingResponse(ResponseReader::new());
        self.socket.output().extend_from_slice(request.as_bytes());
    }

    /// Writes the request completely, or fails, because the rest could be written after the lease has expired. Then
    /// registers for the response.
    pub(super) fn flush_request(&mut self, io: &Io, slot: usize) -> Result<(), CallFailure> {
        if self.socket.flush() != Flow::Open || self.socket.pending() > 0 {
            return Err(CallFailure::RequestNotWritten);
        }
        let token = Token::Fleet(slot, self.generation).pack();
        let _ = io.poller.change(&self.socket, token, Interest::READ);
        Ok(())
    }

    /// Distinguishes this connection from others in the same slot.
    #[cfg(feature = "pause-before-write")]
    pub(super) fn generation(&self) -> u32 {
        self.generation
    }

    /// Reads from the socket. Returns the status once the response is complete.
    fn read_response(&mut self) -> Result<Option<u16>, CallFailure> {
        let ConnectionState::AwaitingResponse(reader) = &mut self.state else { return Ok(None) };
        let (_, flow) = self.socket.read();
        match reader.read(&mut self.socket)? {
            None if flow != Flow::Open => Err(CallFailure::ConnectionClosed),
            status => Ok(status),
        }
    }
}

impl Fleet {
    /// Starts a connection attempt.
    pub(super) fn connect(
        &mut self, io: &mut Io, address: SocketAddr, purpose: Purpose,
    ) -> Result<(), CallFailure> {
        let generation = io.generation();
        let entry = self.connections.vacant_entry();
        let token = Token::Fleet(entry.key(), generation).pack();
        let socket = connect(address).map_err(|_| CallFailure::ConnectFailed)?;
        io.poller.add(&socket, token, Interest::BOTH).map_err(|_| CallFailure::ConnectFailed)?;
        entry.insert(Connection { purpose, socket, generation, state: ConnectionState::Connecting });
        Ok(())
    }

    /// Handles the readiness of a connection: writes its request, or reads its response.
    pub(crate) fn connection_ready(&mut self, io: &mut Io, slot: usize, generation: u32, ready: Ready) {
        let now = boot_time_ms();
        let connection = self.connections.get_mut(slot).filter(|found| found.generation == generation);
        let Some(connection) = connection else { return };
        let purpose = connection.purpose.clone();
        match connection.state {
            ConnectionState::Connecting if ready.write || ready.broken => {
                if connection.socket.finish_connect().is_err() {
                    return self.end_exchange(now, &purpose, Err(CallFailure::ConnectFailed));
                }
                match &purpose {
                    Purpose::Call(task) => self.write_call(io, now, slot, *task),
                    Purpose::Probe { node, .. } => self.write_probe(io, now, slot, node),
                }
            }
            ConnectionState::Connecting => {}
            ConnectionState::AwaitingResponse(_) => match connection.read_response() {
                Ok(None) => {}
                Ok(Some(status)) => self.end_exchange(now, &purpose, Ok(status)),
                Err(failure) => self.end_exchange(now, &purpose, Err(failure)),
            },
        }
    }

    /// Ends a call or a probe with the status of its response, or with the reason why there is none.
    fn end_exchange(&mut self, now: Millis, purpose: &Purpose, status: Result<u16, CallFailure>) {
        match purpose {
            Purpose::Call(task) => {
                let result = status.and_then(|status| {
                    if (200..300).contains(&status) { Ok(()) } else { Err(CallFailure::UnexpectedStatus) }
                });
                self.end_call(now, *task, result);
            }
            Purpose::Probe { node, .. } => {
                let result = status.and_then(|status| {
                    let is_well = doorcourse_outlier_gossip::is_well(status);
                    if is_well { Ok(()) } else { Err(CallFailure::UnexpectedStatus) }
                });
                self.end_probe(now, node, result);
            }
        }
    }

    /// The slot of the first connection with a wanted purpose.
    pub(super) fn find_connection(&self, is_wanted: impl Fn(&Purpose) -> bool) -> Option<usize> {
        self.connections.iter().find(|(_, found)| is_wanted(&found.purpose)).map(|(slot, _)| slot)
    }
}
