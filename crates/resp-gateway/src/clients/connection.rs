//! A client connection: its commands, and its responses in the order of the commands.

use super::ClientEvent;
use super::close_reason::CloseReason;
use super::response::Response;
use crate::reactor::{Reactor, RegisteredSocket};
use crate::request::{self, ClientCommand, RequestError};
use doorcourse::{Millis, RequestId};
use doorcourse_connection_limits::{ConnectionActivity, fault_backoff};
use doorcourse_deployment::Deployment;
use doorcourse_event_loop::{Flow, Socket};
use doorcourse_fail_points::rule_disabled;
use doorcourse_resp::{CommandError, CommandLimits, CommandReader};
use std::collections::VecDeque;

/// A value has at most 64 KiB; the other arguments are short.
pub(super) const COMMAND_LIMITS: CommandLimits =
    CommandLimits { arguments: 8, argument_bytes: 64 << 10, bytes: 66 << 10 };
/// Maximum number of commands of one connection whose responses are due; at this number, reading pauses.
const MAX_PIPELINED_COMMANDS: usize = 64;
/// Maximum bytes of responses of one connection that are not written yet; above this, reading pauses. The kernel's send
/// buffer is full by then.
const MAX_UNWRITTEN_BYTES: usize = 16 << 10;
/// Maximum bytes that are received of one connection before their commands are processed.
const MAX_READ_AHEAD_BYTES: usize = 512 << 10;
/// How long a connection stays open after its last response, in ms. A close while received bytes are unread resets the
/// connection, and the client may lose the response (RFC 9112 section 9.6 describes this for HTTP).
const LINGER_MS: Millis = 250.0;
/// Maximum bytes that are read and discarded during the lingering close; beyond this, nothing more is read.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Identifies a command of a connection, so that its response can be assigned to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CommandId {
    /// Index of the connection in the client table.
    pub(super) connection: usize,
    /// Serial number of the connection's descriptor.
    pub(super) serial: u32,
    /// Number of the command on its connection.
    pub(super) sequence: u64,
}

/// The response to one command, in the order of the commands.
pub(super) enum ResponseSlot {
    /// It is due. Holds the request that was started for the command, if any.
    Pending(Option<RequestId>),
    Ready(Response),
}

/// The state of one client connection.
pub(super) struct ClientConnection {
    pub registered: RegisteredSocket,
    commands: CommandReader,
    slots: VecDeque<ResponseSlot>,
    /// Sequence number of the first slot.
    first_sequence: u64,
    pub activity: ConnectionActivity,
    /// Why the lingering close began.
    pub close_reason: Option<CloseReason>,
    /// Commands so far that were invalid.
    invalid_commands: u32,
    /// When reading resumes after an invalid command.
    read_resumes_at: Millis,
    /// No further command is read: the framing was invalid, or the gateway has closed its side.
    input_closed: bool,
    /// Whether the command that is being received is discarded, and rejected at its end.
    is_discarding: bool,
    /// Bytes of the values in `slots`.
    ready_value_bytes: usize,
    /// What the table has counted of [`buffered_bytes`](Self::buffered_bytes).
    pub counted_bytes: u64,
    /// What the table has counted of [`read_ahead_bytes`](Self::read_ahead_bytes).
    pub counted_read_ahead: usize,
    /// Bytes that were discarded during the lingering close.
    discarded_bytes: usize,
    /// Whether the table's next flush handles this connection.
    pub flush_scheduled: bool,
}

impl ClientConnection {
    pub(super) fn new(registered: RegisteredSocket, now: Millis) -> Self {
        Self {
            registered,
            commands: CommandReader::new(COMMAND_LIMITS),
            slots: VecDeque::new(),
            first_sequence: 0,
            activity: ConnectionActivity::new(now),
            close_reason: None,
            invalid_commands: 0,
            read_resumes_at: f64::NEG_INFINITY,
            input_closed: false,
            is_discarding: false,
            ready_value_bytes: 0,
            counted_bytes: 0,
            counted_read_ahead: 0,
            discarded_bytes: 0,
            flush_scheduled: false,
        }
    }

    pub(super) fn index(&self) -> usize {
        self.registered.token.index
    }

    /// Whether bytes are currently received from the client. `read_ahead_bytes` may be received ahead of their turn, on
    /// this connection or others.
    pub(super) fn receives(&self, reactor: &Reactor, read_ahead_bytes: usize) -> bool {
        if self.activity.lingering_close_until.is_some() {
            return self.discarded_bytes < MAX_DISCARDED_BYTES;
        }
        // What follows a partially received command is not ahead of its turn: the command itself grows.
        let may_read_ahead = !self.commands.is_partial()
            && self.registered.socket.input.len() < MAX_READ_AHEAD_BYTES
            && read_ahead_bytes > 0;
        !self.input_closed && (self.processes_commands(reactor.now) || may_read_ahead)
    }

    /// Whether received commands are currently processed.
    pub(super) fn processes_commands(&self, now: Millis) -> bool {
        let unwritten_bytes = self.registered.socket.pending() + self.ready_value_bytes;
        let has_capacity =
            self.slots.len() < MAX_PIPELINED_COMMANDS && unwritten_bytes <= MAX_UNWRITTEN_BYTES;
        has_capacity && !self.input_closed && now >= self.read_resumes_at
    }

    /// Whether the client has sent invalid commands, after which reading backs off.
    pub(super) fn has_invalid_commands(&self) -> bool {
        self.invalid_commands > 0
    }

    /// Reads once; where that receives as much as a read can, goes on until nothing is left, up to `read_ahead_bytes`: the
    /// client may have closed the connection behind what it wrote. Bytes that arrive during the lingering close are
    /// discarded.
    pub(super) fn read(&mut self, read_ahead_bytes: usize) -> Flow {
        let (mut count, mut flow) = self.registered.socket.read();
        if self.activity.lingering_close_until.is_some() {
            self.discarded_bytes += count;
            self.registered.socket.input = Vec::new();
            return flow;
        }
        if count == Socket::MAX_READ_BYTES {
            let max_bytes = MAX_READ_AHEAD_BYTES.min(read_ahead_bytes);
            while count > 0 && flow == Flow::Open && self.registered.socket.input.len() < max_bytes {
                (count, flow) = self.registered.socket.read();
            }
        }
        flow
    }

    /// The bytes of commands that were received ahead of their turn.
    pub(super) fn read_ahead_bytes(&self) -> usize {
        if self.commands.is_partial() { 0 } else { self.registered.socket.input.len() }
    }

    /// Processes the commands that have been received completely; returns whether bytes were consumed.
    pub(super) fn process_commands(
        &mut self, now: Millis, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) -> bool {
        let input = std::mem::take(&mut self.registered.socket.input);
        let mut consumed = 0;
        while consumed < input.len() && self.processes_commands(now) {
            let rest = &input[consumed..];
            let read = if self.is_discarding {
                self.discard_command(rest)
            } else {
                self.read_command(now, deployment, rest, events)
            };
            match read {
                Ok(0) => break,
                Ok(length) => consumed += length,
                Err(error) => {
                    // The error is written after the responses that are still due, and is the last response.
                    self.input_closed = true;
                    self.is_discarding = false;
                    self.push_slot(ResponseSlot::Ready(Response::InvalidFraming(error)));
                    consumed = input.len();
                }
            }
        }
        self.registered.socket.input = input;
        self.registered.socket.consume(consumed);
        if self.registered.socket.input.is_empty() && !self.is_discarding {
            self.activity.partial_request_since = None;
        } else {
            self.activity.partial_request_since.get_or_insert(now);
        }
        if consumed > 0 {
            self.encode_ready_responses(now);
        }
        consumed > 0
    }

    /// Reads one command, and returns how many bytes of the input it consumed: 0 where it is incomplete.
    fn read_command(
        &mut self, now: Millis, deployment: &Deployment, input: &[u8], events: &mut Vec<ClientEvent>,
    ) -> Result<usize, CommandError> {
        let Some((arguments, length)) = self.commands.read(input)? else { return Ok(0) };
        self.activity.partial_request_since = None;
        self.process_command(now, request::parse(deployment, input, &arguments), events);
        Ok(length)
    }

    /// Discards what has arrived of the current command, and rejects it at its end. Returns how many bytes of the input
    /// were consumed.
    fn discard_command(&mut self, input: &[u8]) -> Result<usize, CommandError> {
        let discarded = self.commands.discard(input)?;
        if discarded.is_complete {
            self.is_discarding = false;
            self.activity.partial_request_since = None;
            self.push_slot(ResponseSlot::Ready(Response::Rejected { retry_after_ms: None }));
        }
        Ok(discarded.consumed)
    }

    /// The buffered bytes of a command that is being received and may be discarded.
    pub(super) fn discardable_bytes(&self) -> usize {
        let is_partial = self.commands.is_partial() && !self.is_discarding && !self.input_closed;
        if is_partial { self.registered.socket.input.capacity() } else { 0 }
    }

    /// From now on, discards the command that is being received.
    pub(super) fn begin_discarding(
        &mut self, now: Millis, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) {
        self.is_discarding = true;
        self.process_commands(now, deployment, events);
    }

    /// The memory of the connection's buffers and of the responses that are not encoded yet, in bytes.
    pub(super) fn buffered_bytes(&self) -> u64 {
        (self.registered.socket.buffer_capacity() + self.ready_value_bytes) as u64
    }

    fn process_command(
        &mut self, now: Millis, command: Result<ClientCommand, RequestError>, events: &mut Vec<ClientEvent>,
    ) {
        if command.is_ok() {
            self.activity.last_request_at = Some(now);
        }
        match command {
            Ok(ClientCommand::Ping) => {
                let command = self.push_slot(ResponseSlot::Pending(None));
                events.push(ClientEvent::PingReceived { command });
            }
            Ok(ClientCommand::Request(request)) => {
                let command = self.push_slot(ResponseSlot::Pending(None));
                events.push(ClientEvent::RequestReceived { command, request });
            }
            Err(error) => {
                self.push_slot(ResponseSlot::Ready(Response::InvalidRequest(error)));
                self.record_invalid_command(now);
            }
        }
    }

    fn push_slot(&mut self, slot: ResponseSlot) -> CommandId {
        self.slots.push_back(slot);
        self.activity.open_requests = self.slots.len();
        CommandId {
            connection: self.index(),
            serial: self.registered.token.serial,
            sequence: self.first_sequence + self.slots.len() as u64 - 1,
        }
    }

    /// Returns the slot of a command whose response is not encoded yet.
    pub(super) fn slot_mut(&mut self, sequence: u64) -> Option<&mut ResponseSlot> {
        let offset = sequence.checked_sub(self.first_sequence)?;
        self.slots.get_mut(usize::try_from(offset).ok()?)
    }

    /// Stores the response to a command; returns whether it is still due.
    pub(super) fn set_response(&mut self, sequence: u64, response: Response) -> bool {
        let bytes = response.value_bytes();
        let Some(slot) = self.slot_mut(sequence) else { return false };
        *slot = ResponseSlot::Ready(response);
        self.ready_value_bytes += bytes;
        true
    }

    /// Backs off from reading after an invalid command.
    pub(super) fn record_invalid_command(&mut self, now: Millis) {
        self.invalid_commands += 1;
        self.read_resumes_at = now + fault_backoff(self.invalid_commands);
    }

    /// Moves the responses that are next in order to the output. From then on they count as unread, even before they
    /// are written, so that a timeout or eviction before the next flush does not treat the connection as idle.
    pub(super) fn encode_ready_responses(&mut self, now: Millis) {
        while let Some(ResponseSlot::Ready(response)) = self.slots.front() {
            response.encode(self.registered.socket.output());
            self.ready_value_bytes -= response.value_bytes();
            self.slots.pop_front();
            self.first_sequence += 1;
            if !rule_disabled("track-written-responses") {
                self.activity.last_response_at = Some(now);
            }
        }
        self.activity.open_requests = self.slots.len();
        if self.registered.socket.pending() > 0 && !rule_disabled("track-written-responses") {
            self.activity.unread_response_since.get_or_insert(now);
        }
    }

    /// Writes as much as the socket accepts. After the error about invalid framing, begins the lingering close.
    pub(super) fn flush(&mut self, now: Millis) -> Flow {
        let pending_before = self.registered.socket.pending();
        if self.registered.socket.flush() == Flow::Broken {
            return Flow::Broken;
        }
        let pending = self.registered.socket.pending();
        if pending == 0 {
            self.activity.unread_response_since = None;
        } else if pending < pending_before || self.activity.unread_response_since.is_none() {
            self.activity.unread_response_since = Some(now);
        }
        let is_lingering = self.activity.lingering_close_until.is_some();
        if self.input_closed && pending == 0 && self.slots.is_empty() && !is_lingering {
            self.close_reason = Some(CloseReason::InvalidFraming);
            self.begin_lingering_close(now);
        }
        Flow::Open
    }

    /// Closes the gateway's side after the last response. Bytes that still arrive are read and discarded, so that none
    /// are unread when the connection closes.
    pub(super) fn begin_lingering_close(&mut self, now: Millis) {
        self.registered.socket.shutdown_write();
        self.registered.socket.input = Vec::new();
        self.is_discarding = false;
        self.input_closed = true;
        self.activity.lingering_close_until = Some(now + LINGER_MS);
    }

    /// Registers for the readiness that the connection currently needs.
    pub(super) fn update_interest(&mut self, reactor: &Reactor, read_ahead_bytes: usize) {
        let read = self.receives(reactor, read_ahead_bytes);
        let write = self.registered.socket.pending() > 0;
        self.registered.set_interest(reactor, read, write);
    }

    /// Returns the requests whose responses are due.
    pub(super) fn into_open_requests(self) -> impl Iterator<Item = RequestId> {
        self.slots.into_iter().filter_map(|slot| match slot {
            ResponseSlot::Pending(request) => request,
            ResponseSlot::Ready(_) => None,
        })
    }
}

/// Rejects the commands on a connection for which the table has no room, and closes it. The client can retry a rejected
/// command at another gateway; after a close without a response it would not know whether the command was executed.
pub(super) fn reject_connection(mut socket: Socket) {
    socket.read();
    let input = std::mem::take(&mut socket.input);
    let mut consumed = 0;
    let mut commands = CommandReader::new(COMMAND_LIMITS);
    while let Ok(Some((_, length))) = commands.read(&input[consumed..]) {
        consumed += length;
        Response::Rejected { retry_after_ms: None }.encode(socket.output());
    }
    // The responses to the commands of one read are few enough to fit into the send buffer of a new connection.
    socket.flush();
    socket.shutdown_write();
}
