//! Partially received requests whose buffers exceed a limit: they are rejected before they are complete.

use super::Clients;
use crate::graphql_front as front;
use crate::io::Io;
use doorcourse_config::Config;
use doorcourse_connection_limits::LimitExceeded;

/// A partially received request of fewer buffered bytes is not rejected in favour of others.
const MIN_REJECTED_BYTES: u64 = 1 << 10;

impl Clients {
    /// Rejects the request that a connection receives if its customer holds too much, and the largest partially received
    /// requests while all clients together hold too much.
    pub(super) fn limit_partial_requests(&mut self, io: &mut Io, config: &Config, slot: usize) {
        if let Some(client) = self.connections.get(slot).filter(|client| client.is_in_request())
            && let Err(limit) = self.budget.check_partial_request(&client.usage)
        {
            self.reject_partial_request(io, config, slot, limit);
        }
        while self.budget.must_reject_partial_requests() {
            let receiving = self.connections.iter().filter(|(_, client)| client.is_in_request());
            let largest = receiving
                .map(|(slot, client)| (client.usage.buffered_bytes(), slot))
                .max()
                .unwrap_or_default();
            if largest.0 < MIN_REJECTED_BYTES {
                return;
            }
            self.reject_partial_request(io, config, largest.1, LimitExceeded::BufferedBytes);
        }
    }

    fn reject_partial_request(&mut self, io: &mut Io, config: &Config, slot: usize, limit: LimitExceeded) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        let customer = client.customer.as_deref();
        let bytes = client.usage.buffered_bytes();
        tracing::debug!(customer, bytes, ?limit, "partial request rejected: too much is buffered");
        client.body = Vec::new();
        client.socket.input = Vec::new();
        self.respond(io, config, slot, &front::gateway_full_response(limit.message()), None);
    }
}
