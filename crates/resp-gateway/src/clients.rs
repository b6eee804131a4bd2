//! The table of client connections: reads commands, and writes responses in the order of the commands.
//!
//! The table owns every client connection and the listener. `doorcourse_connection_limits` decides when a connection
//! expires and which one is evicted; `doorcourse_graceful_shutdown` decides when one may close after SIGTERM.

mod accept;
mod buffers;
mod close_reason;
mod connection;
mod response;

pub(crate) use close_reason::CloseCounts;
pub(crate) use connection::CommandId;
pub(crate) use response::{RequestFailure, Response};

use crate::reactor::{Reactor, Token};
use crate::request::Request;
use accept::LISTENER_TOKEN;
use close_reason::CloseReason;
use connection::{ClientConnection, ResponseSlot};
use doorcourse::{Millis, RequestId};
use doorcourse_connection_limits::{ConnectionActivity, ConnectionTimeouts};
use doorcourse_deployment::Deployment;
use doorcourse_event_loop::{Flow, Interest, Ready};
use doorcourse_fail_points::rule_disabled;
use doorcourse_graceful_shutdown::GracefulShutdown;
use slab::Slab;
use std::net::TcpListener;

/// Timeouts of connections, in ms. A faulty client must receive an error or the close of its connection within 3 s.
const CONNECTION_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { silent_timeout: 2000.0, idle_timeout: 5000.0, unread_timeout: 2500.0 };
/// How often connection timeouts are checked, in ms.
const TIMEOUT_CHECK_INTERVAL_MS: Millis = 100.0;

/// An event of a client connection.
pub(crate) enum ClientEvent {
    PingReceived {
        command: CommandId,
    },
    RequestReceived {
        command: CommandId,
        request: Box<Request>,
    },
    /// The client of this request has disconnected.
    Disconnected {
        request: RequestId,
    },
}

/// The client connections and their listener.
pub(crate) struct ClientTable {
    listener: Option<TcpListener>,
    /// Whether the poller reports the listener; false while no descriptor is left for a connection.
    listening: bool,
    connections: Slab<ClientConnection>,
    max_connections: usize,
    /// Connections that the next flush handles.
    to_flush: Vec<usize>,
    timeouts_checked_at: Millis,
    /// Connections closed so far, by reason.
    closed: CloseCounts,
    /// Bytes buffered for all connections.
    buffered_bytes: u64,
    /// Bytes of commands that were received ahead of their turn.
    read_ahead_bytes: usize,
    /// Commands so far that were discarded because the buffers were used up.
    discarded_commands: u64,
}

impl ClientTable {
    pub(crate) fn new(
        reactor: &mut Reactor, listener: TcpListener, max_connections: usize,
    ) -> std::io::Result<Self> {
        reactor.poller.add(&listener, LISTENER_TOKEN.pack(), Interest::READ)?;
        Ok(Self {
            listener: Some(listener),
            listening: true,
            connections: Slab::new(),
            max_connections,
            to_flush: Vec::new(),
            timeouts_checked_at: reactor.now,
            closed: CloseCounts::default(),
            buffered_bytes: 0,
            read_ahead_bytes: 0,
            discarded_commands: 0,
        })
    }

    /// Handles the readiness of a connection.
    pub(crate) fn handle_readiness(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, token: Token, ready: Ready,
        events: &mut Vec<ClientEvent>,
    ) {
        let read_ahead = self.available_read_ahead(reactor);
        let connection = self.connections.get_mut(token.index);
        let Some(connection) = connection.filter(|connection| connection.registered.token == token) else {
            return;
        };
        if ready.peer_closed {
            // By the protocol, a client that closes its side has disconnected, even if commands of it are unread.
            return self.remove(reactor, token.index, CloseReason::ClientDisconnected, events);
        }
        if ready.write {
            schedule_flush(&mut self.to_flush, connection);
        }
        if ready.read && connection.receives(reactor, read_ahead) {
            self.read(reactor, deployment, token.index, events);
        } else {
            connection.update_interest(reactor, read_ahead);
        }
    }

    fn read(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, index: usize,
        events: &mut Vec<ClientEvent>,
    ) {
        let read_ahead = self.available_read_ahead(reactor);
        let Some(connection) = self.connections.get_mut(index) else { return };
        let flow = connection.read(read_ahead);
        if flow != Flow::Open {
            // By the protocol, a client that closes its side has disconnected: what it wrote before is not processed.
            return self.remove(reactor, index, CloseReason::ClientDisconnected, events);
        }
        if connection.activity.lingering_close_until.is_none() {
            self.process_commands(reactor, deployment, index, events);
        }
        self.count_buffers(reactor, index);
        self.limit_partial_commands(reactor, deployment, events);
    }

    fn process_commands(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, index: usize,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(index) else { return };
        if connection.process_commands(reactor.now, deployment, events) {
            schedule_flush(&mut self.to_flush, connection);
        }
        self.count_buffers(reactor, index);
    }

    /// Reads once more, and closes the connection if `may_close` holds after that: a command that was written before
    /// the close is still processed. Bytes that arrive later are discarded; the client sees the end of the connection
    /// and sends its request to another gateway. Returns false if the connection stays in use, and true if it was removed
    /// or lingers.
    fn close_after_last_read(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, index: usize, reason: CloseReason,
        may_close: impl Fn(&ConnectionActivity) -> bool, events: &mut Vec<ClientEvent>,
    ) -> bool {
        if !rule_disabled("last-read-before-close") {
            self.read(reactor, deployment, index, events);
        }
        let Some(connection) = self.connections.get_mut(index) else { return true };
        if !may_close(&connection.activity) {
            return false;
        }
        let activity = &connection.activity;
        // Lingering lets the client receive the last response: not needed once it is over, or without any response.
        if activity.lingering_close_until.is_some() || activity.last_response_at.is_none() {
            self.remove(reactor, index, reason, events);
        } else {
            connection.begin_lingering_close(reactor.now);
            connection.close_reason.get_or_insert(reason);
            self.count_buffers(reactor, index);
            self.update_interest(reactor, index);
        }
        true
    }

    /// Whether the client of a command is connected and the response is still due.
    pub(crate) fn is_connected(&mut self, command: CommandId) -> bool {
        self.slot_mut(command).is_some()
    }

    /// Records the request that was started for a command.
    pub(crate) fn request_started(&mut self, command: CommandId, request: RequestId) {
        if let Some(slot) = self.slot_mut(command) {
            *slot = ResponseSlot::Pending(Some(request));
        }
    }

    /// Sends the response to a command; drops it if the client has disconnected.
    pub(crate) fn respond(&mut self, reactor: &mut Reactor, command: CommandId, response: Response) {
        let is_invalid = matches!(response, Response::InvalidRequest(_));
        let Some(connection) = self.connection_mut(command) else { return };
        if !connection.set_response(command.sequence, response) {
            return;
        }
        if is_invalid {
            connection.record_invalid_command(reactor.now);
        }
        connection.encode_ready_responses(reactor.now);
        schedule_flush(&mut self.to_flush, &mut self.connections[command.connection]);
        self.count_buffers(reactor, command.connection);
    }

    fn connection_mut(&mut self, command: CommandId) -> Option<&mut ClientConnection> {
        let connection = self.connections.get_mut(command.connection)?;
        (connection.registered.token.serial == command.serial).then_some(connection)
    }

    fn slot_mut(&mut self, command: CommandId) -> Option<&mut ResponseSlot> {
        self.connection_mut(command)?.slot_mut(command.sequence)
    }

    /// Closes a connection. `reason` is counted unless its lingering close has begun for another one.
    fn remove(
        &mut self, reactor: &mut Reactor, index: usize, reason: CloseReason, events: &mut Vec<ClientEvent>,
    ) {
        let Some(connection) = self.connections.try_remove(index) else { return };
        self.release_buffers(reactor, &connection);
        let reason = connection.close_reason.unwrap_or(reason);
        self.closed.record(reason);
        let open_requests = connection.activity.open_requests;
        tracing::trace!(target: "doorcourse::requests", connection = index, ?reason, open_requests, "client connection closed");
        let requests = connection.into_open_requests();
        events.extend(requests.map(|request| ClientEvent::Disconnected { request }));
    }

    /// Writes the responses of this event-loop iteration. Then processes commands that had to wait until responses were
    /// written, and closes connections that may close because of the graceful shutdown.
    pub(crate) fn flush(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, shutdown: &GracefulShutdown,
        events: &mut Vec<ClientEvent>,
    ) {
        let now = reactor.now;
        let may_close = |activity: &ConnectionActivity| shutdown.may_close(now, activity);
        // A command that is processed here may be answered at once, which schedules its connection again. The loop ends
        // because each round consumes input.
        while let Some(index) = self.to_flush.pop() {
            let connection = self.connections.get_mut(index);
            let Some(connection) = connection.filter(|connection| connection.flush_scheduled) else {
                continue;
            };
            connection.flush_scheduled = false;
            if connection.flush(now) == Flow::Broken {
                self.remove(reactor, index, CloseReason::ClientDisconnected, events);
                continue;
            }
            if connection.registered.socket.input.is_empty() {
                self.count_buffers(reactor, index);
            } else {
                self.process_commands(reactor, deployment, index, events);
            }
            if self.connections.get(index).is_some_and(|connection| may_close(&connection.activity)) {
                self.close_after_last_read(
                    reactor,
                    deployment,
                    index,
                    CloseReason::Draining,
                    may_close,
                    events,
                );
            }
            self.update_interest(reactor, index);
        }
    }

    fn update_interest(&mut self, reactor: &Reactor, index: usize) {
        let read_ahead = self.available_read_ahead(reactor);
        if let Some(connection) = self.connections.get_mut(index) {
            connection.update_interest(reactor, read_ahead);
        }
    }

    /// When [`handle_timeout`](Self::handle_timeout) is due.
    pub(crate) fn next_timeout(&self) -> Millis {
        if self.connections.is_empty() && self.listening {
            f64::INFINITY
        } else {
            self.timeouts_checked_at + TIMEOUT_CHECK_INTERVAL_MS
        }
    }

    /// Closes connections that have expired, and resumes processing on those whose backoff is over.
    pub(crate) fn handle_timeout(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) {
        if reactor.now < self.timeouts_checked_at + TIMEOUT_CHECK_INTERVAL_MS {
            return;
        }
        self.timeouts_checked_at = reactor.now;
        // A descriptor may be available again: see `listening`.
        self.set_listening(reactor, true);
        let now = reactor.now;
        let timeouts = CONNECTION_TIMEOUTS.for_occupancy(self.connections.len(), self.max_connections);
        let is_expired = |activity: &ConnectionActivity| activity.is_expired(now, &timeouts);
        for index in 0..self.connections.capacity() {
            let Some(connection) = self.connections.get(index) else { continue };
            if is_expired(&connection.activity) {
                self.close_after_last_read(
                    reactor,
                    deployment,
                    index,
                    CloseReason::Expired,
                    is_expired,
                    events,
                );
            } else if connection.has_invalid_commands() && connection.processes_commands(now) {
                self.process_commands(reactor, deployment, index, events);
                self.update_interest(reactor, index);
            }
        }
    }

    /// Schedules every connection for the next flush.
    pub(crate) fn schedule_flush_of_all(&mut self) {
        for (_, connection) in &mut self.connections {
            schedule_flush(&mut self.to_flush, connection);
        }
    }

    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Connections closed so far, by reason.
    pub(crate) fn closed(&self) -> CloseCounts {
        self.closed
    }
}

fn schedule_flush(to_flush: &mut Vec<usize>, connection: &mut ClientConnection) {
    if !std::mem::replace(&mut connection.flush_scheduled, true) {
        to_flush.push(connection.index());
    }
}

#[cfg(test)]
mod tests;
