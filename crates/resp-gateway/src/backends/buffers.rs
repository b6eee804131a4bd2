//! The memory of the backend connections: its share of the buffer budget, and which responses are read later.

use super::Backends;
use super::connection::BackendConnection;
use crate::reactor::{Reactor, Token};
use doorcourse_connection_limits::BufferHolder;

impl Backends {
    /// Counts what a connection buffers now.
    pub(super) fn count_buffers(&mut self, reactor: &mut Reactor, index: usize) {
        if let Some(connection) = self.connections.get_mut(index) {
            let bytes = connection.buffered_bytes();
            let counted = std::mem::replace(&mut connection.counted_bytes, bytes);
            self.buffered_bytes = self.buffered_bytes - counted + bytes;
        }
        reactor.buffers.set_used(BufferHolder::Backends, self.buffered_bytes);
    }

    /// No longer counts a connection that was removed.
    pub(super) fn release_buffers(&mut self, connection: &BackendConnection) {
        self.buffered_bytes -= connection.counted_bytes;
    }

    /// Whether a response may be read. If the buffers are used up, one of which nothing has arrived has to wait: its
    /// connection is not read until [`resume_reading`](Self::resume_reading).
    pub(super) fn may_read(&mut self, reactor: &Reactor, index: usize) -> bool {
        let Some(connection) = self.connections.get_mut(index) else { return false };
        if !reactor.buffers.is_exhausted() || !connection.is_response_outstanding() {
            return true;
        }
        let has_output = connection.registered.socket.pending() > 0;
        connection.registered.set_interest(reactor, false, has_output);
        self.paused.push(connection.registered.token);
        false
    }

    /// Reads the paused connections again once buffers are free.
    pub(crate) fn resume_reading(&mut self, reactor: &mut Reactor) {
        reactor.buffers.set_used(BufferHolder::Backends, self.buffered_bytes);
        if reactor.buffers.is_exhausted() {
            return;
        }
        for token in std::mem::take(&mut self.paused) {
            self.read_again(reactor, token);
        }
    }

    fn read_again(&mut self, reactor: &Reactor, token: Token) {
        let connection = self.connections.get_mut(token.index);
        let Some(connection) = connection.filter(|connection| connection.registered.token == token) else {
            return;
        };
        let has_output = connection.registered.socket.pending() > 0;
        connection.registered.set_interest(reactor, true, has_output);
    }

    /// Whether the counted bytes are those that the connections hold.
    pub(crate) fn is_count_exact(&self) -> bool {
        let counted: u64 = self.connections.iter().map(|(_, connection)| connection.counted_bytes).sum();
        let held: u64 = self.connections.iter().map(|(_, connection)| connection.buffered_bytes()).sum();
        counted == self.buffered_bytes && held == counted
    }
}
