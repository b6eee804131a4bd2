//! Accepts client connections, and evicts others when the table is full or no descriptor is left.

use super::close_reason::CloseReason;
use super::connection::{ClientConnection, reject_connection};
use super::{ClientEvent, ClientTable};
use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse_connection_limits::ConnectionActivity;
use doorcourse_deployment::Deployment;
use doorcourse_event_loop::{Interest, Socket, is_out_of_descriptors};
use doorcourse_fail_points::rule_disabled;

/// Connections accepted in one event-loop iteration, so that a burst of new ones does not delay those that are open.
/// When draining begins, the whole accept queue is accepted in one iteration.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// The length of the accept queue in the kernel.
const ACCEPT_QUEUE_LENGTH: usize = 1024;

pub(super) const LISTENER_TOKEN: Token = Token { kind: TokenKind::Listener, serial: 0, index: 0 };

/// The interest with which a new connection is registered. The client's close is reported separately from input, so
/// that it is processed before unread bytes, also while the gateway does not read from the connection.
fn client_interest() -> Interest {
    if rule_disabled("poll-peer-close") { Interest::READ } else { Interest::READ.with_peer_close() }
}

/// Whether the accept queue may contain more connections.
#[derive(PartialEq)]
enum AcceptQueue {
    Drained,
    MayHoldMore,
}

impl ClientTable {
    /// Accepts connections from the listener. If the table is full and no connection can be evicted, the new one is
    /// rejected and closed: left in the accept queue, it would wake the event loop again and again.
    pub(crate) fn accept(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) {
        self.accept_up_to(MAX_ACCEPTS_PER_ITERATION, reactor, deployment, events);
    }

    /// Begins draining: accepts the connections in the accept queue, closes the listener and schedules every connection
    /// for the next flush, which closes the idle ones.
    pub(crate) fn stop_accepting(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) {
        let batches = if rule_disabled("drain-accept-queue") {
            0
        } else {
            ACCEPT_QUEUE_LENGTH.div_ceil(MAX_ACCEPTS_PER_ITERATION)
        };
        for _ in 0..batches {
            if self.accept_up_to(MAX_ACCEPTS_PER_ITERATION, reactor, deployment, events)
                == AcceptQueue::Drained
            {
                break;
            }
        }
        self.listener = None;
        self.schedule_flush_of_all();
    }

    /// Sets whether the poller reports the listener.
    pub(super) fn set_listening(&mut self, reactor: &Reactor, listening: bool) {
        if let Some(listener) = self.listener.as_ref().filter(|_| self.listening != listening) {
            let _ = reactor.poller.change(listener, LISTENER_TOKEN.pack(), Interest::of(listening, false));
            self.listening = listening;
        }
    }

    fn accept_up_to(
        &mut self, max: usize, reactor: &mut Reactor, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) -> AcceptQueue {
        for accepted in 0..max {
            let Some(listener) = &self.listener else { return AcceptQueue::Drained };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return AcceptQueue::Drained,
                // The kernel reports this before it looks at the queue, which may be empty: an eviction could close a
                // connection that was just accepted. A queue that is not empty is reported again.
                Err(error) if is_out_of_descriptors(&error) && accepted > 0 => return AcceptQueue::Drained,
                Err(error) if is_out_of_descriptors(&error) => {
                    if !self.evict_connection(reactor, deployment, events) {
                        // The queue does not shrink and would wake the event loop again and again.
                        self.set_listening(reactor, false);
                        return AcceptQueue::Drained;
                    }
                    continue;
                }
                // The client has already closed the connection.
                Err(_) => continue,
            };
            let Ok(socket) = Socket::new(stream) else { continue };
            if self.connections.len() >= self.max_connections
                && !self.evict_connection(reactor, deployment, events)
            {
                self.closed.record(CloseReason::TableFull);
                reject_connection(socket);
                continue;
            }
            self.insert(socket, reactor);
        }
        AcceptQueue::MayHoldMore
    }

    /// Adds a connection. It is read once the next poll has reported it: only the poller tells that a client has closed
    /// its connection behind more bytes than one read takes.
    fn insert(&mut self, socket: Socket, reactor: &mut Reactor) {
        let index = self.connections.vacant_key();
        let token = Token { kind: TokenKind::Client, serial: reactor.next_serial(), index };
        let Ok(registered) = RegisteredSocket::new(reactor, socket, token, client_interest()) else { return };
        self.connections.insert(ClientConnection::new(registered, reactor.now));
    }

    /// Closes the connection with the lowest eviction rank; returns false if none may be evicted. A connection stays
    /// open if a last read finds a command on it, and the next one is tried.
    pub(super) fn evict_connection(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) -> bool {
        let may_evict = |activity: &ConnectionActivity| activity.eviction_rank().is_some();
        loop {
            let ranked = self.connections.iter();
            let ranked =
                ranked.filter_map(|(index, connection)| Some((connection.activity.eviction_rank()?, index)));
            let lowest = ranked.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((_, index)) = lowest else { return false };
            if self.close_after_last_read(reactor, deployment, index, CloseReason::Evicted, may_evict, events)
            {
                // Removed without waiting for the lingering close, since its descriptor is needed now. A connection
                // with an unwritten response has no eviction rank unless its unread timeout has passed.
                self.remove(reactor, index, CloseReason::Evicted, events);
                return true;
            }
        }
    }
}
