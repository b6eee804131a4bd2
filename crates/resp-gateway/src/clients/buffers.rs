//! The memory of the client connections: its share of the buffer budget, and what is discarded when that runs out.

use super::connection::ClientConnection;
use super::{ClientEvent, ClientTable, schedule_flush};
use crate::reactor::Reactor;
use doorcourse_connection_limits::BufferHolder;
use doorcourse_deployment::Deployment;

/// A partially received command of fewer bytes is not discarded.
const MIN_DISCARDED_BYTES: usize = 1 << 10;

impl ClientTable {
    /// Counts what a connection buffers now.
    pub(super) fn count_buffers(&mut self, reactor: &mut Reactor, index: usize) {
        let Some(connection) = self.connections.get_mut(index) else { return };
        let bytes = connection.buffered_bytes();
        let counted = std::mem::replace(&mut connection.counted_bytes, bytes);
        self.buffered_bytes = self.buffered_bytes - counted + bytes;
        let read_ahead = connection.read_ahead_bytes();
        let counted = std::mem::replace(&mut connection.counted_read_ahead, read_ahead);
        self.read_ahead_bytes = self.read_ahead_bytes - counted + read_ahead;
        reactor.buffers.set_used(BufferHolder::Clients, self.buffered_bytes);
    }

    /// No longer counts a connection that was removed.
    pub(super) fn release_buffers(&mut self, reactor: &mut Reactor, connection: &ClientConnection) {
        self.buffered_bytes -= connection.counted_bytes;
        self.read_ahead_bytes -= connection.counted_read_ahead;
        reactor.buffers.set_used(BufferHolder::Clients, self.buffered_bytes);
    }

    /// How many bytes more may be received ahead of their turn.
    pub(super) fn available_read_ahead(&self, reactor: &Reactor) -> usize {
        reactor.buffers.read_ahead_limit().saturating_sub(self.read_ahead_bytes)
    }

    /// Discards partially received commands, the largest first, until the others fit into the budget.
    pub(super) fn limit_partial_commands(
        &mut self, reactor: &mut Reactor, deployment: &Deployment, events: &mut Vec<ClientEvent>,
    ) {
        while reactor.buffers.must_discard_partial_requests() {
            let sizes = self.connections.iter().map(|(index, c)| (c.discardable_bytes(), index));
            let Some((bytes, index)) = sizes.max() else { return };
            if bytes < MIN_DISCARDED_BYTES {
                return;
            }
            let connection = &mut self.connections[index];
            connection.begin_discarding(reactor.now, deployment, events);
            tracing::debug!(
                target: "doorcourse::clients", connection = index, bytes, "partial command discarded: out of memory"
            );
            schedule_flush(&mut self.to_flush, connection);
            self.discarded_commands += 1;
            self.count_buffers(reactor, index);
        }
    }

    /// Commands so far that were discarded because the buffers were used up.
    pub(crate) fn discarded_commands(&self) -> u64 {
        self.discarded_commands
    }

    /// Whether the counted bytes are those that the connections hold.
    pub(crate) fn is_count_exact(&self) -> bool {
        let counted: u64 = self.connections.iter().map(|(_, connection)| connection.counted_bytes).sum();
        let held: u64 = self.connections.iter().map(|(_, connection)| connection.buffered_bytes()).sum();
        counted == self.buffered_bytes && held == counted
    }
}
