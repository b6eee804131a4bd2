//! Accepts client connections, and evicts old ones where the table or the descriptors are exhausted.

use super::connection::{ClientConnection, reject_connection};
use super::{ClientEvent, ClientTable};
use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse_connection_limits::ConnectionActivity;
use doorcourse_deployment::Deployment;
use doorcourse_event_loop::{Interest, Socket, is_out_of_descriptors};
use doorcourse_fail_points::rule_disabled;

/// Connections accepted in one iteration, so that a burst of new ones does not delay those that are open.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// The length of the system's accept queue.
const ACCEPT_QUEUE_LENGTH: usize = 1024;

pub(super) const LISTENER_TOKEN: Token = Token { kind: TokenKind::Listener, serial: 0, index: 0 };

/// What a new connection is registered for. The client's close is reported apart from reading, so that it is processed
/// while reading is held back and ahead of unread bytes.
fn client_interest() -> Interest {
    if rule_disabled("poll-peer-close") { Interest::READ } else { Interest::READ.with_peer_close() }
}

/// Whether the accept queue may hold more.
#[derive(PartialEq)]
enum AcceptQueue {
    Drained,
    MayHoldMore,
}

impl ClientTable {
    /// Accepts connections from the listener. One that exceeds the table is rejected and closed at once: left in the
    /// accept queue it would wake the loop for ever.
    pub(crate) fn accept(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) {
        self.accept_up_to(MAX_ACCEPTS_PER_ITERATION, reactor, deployment, events);
    }

    /// Begins to drain: accepts what is in the accept queue, closes the listener and has the next flush examine each
    /// connection, which ends the idle ones.
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
                // The system reports this before it looks at the queue, which may be empty: evicting for it could hit a
                // connection that was just accepted. A queue that is not empty is reported again.
                Err(error) if is_out_of_descriptors(&error) && accepted > 0 => return AcceptQueue::Drained,
                Err(error) if is_out_of_descriptors(&error) => {
                    if !self.evict_connection(reactor, deployment, events) {
                        // The queue stays as it is and would wake the loop for ever.
                        self.set_listening(reactor, false);
                        return AcceptQueue::Drained;
                    }
                    continue;
                }
                // The client has closed already.
                Err(_) => continue,
            };
            let Ok(socket) = Socket::new(stream) else { continue };
            if self.connections.len() >= self.max_connections
                && !self.evict_connection(reactor, deployment, events)
            {
                reject_connection(socket);
                continue;
            }
            self.insert(socket, reactor, deployment, events);
        }
        AcceptQueue::MayHoldMore
    }

    fn insert(
        &mut self, socket: Socket, reactor: &mut Reactor, deployment: &Deployment,
        events: &mut Vec<ClientEvent>,
    ) {
        let index = self.connections.vacant_key();
        let token = Token { kind: TokenKind::Client, serial: reactor.next_serial(), index };
        let Ok(registered) = RegisteredSocket::new(reactor, socket, token, client_interest()) else { return };
        let index = self.connections.insert(ClientConnection::new(registered, reactor.now));
        // The first command mostly follows its connection closely; so does the close of a client that gave up while it
        // was in the accept queue, which the second read shows.
        self.read(reactor, deployment, index, events);
        if self.connections.get(index).is_some_and(ClientConnection::accepts_commands) {
            self.read(reactor, deployment, index, events);
        }
    }

    /// Closes the connection with the lowest eviction rank; false where none may be evicted. One on which a last read
    /// finds a command stays, and another is evicted.
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
            if self.close_after_last_read(reactor, deployment, index, may_evict, events) {
                // Its descriptor is needed now; the client has received its last response long ago.
                self.remove(index, events);
                return true;
            }
        }
    }
}
