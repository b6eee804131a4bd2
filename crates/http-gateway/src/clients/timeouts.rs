//! Timeouts of client connections, and the end of all connections when a drain ends.

use super::Clients;
use super::connection::ConnectionPhase;
use crate::graphql_front as front;
use crate::io::{Io, Timer};
use doorcourse::Millis;
use doorcourse_config::Config;

impl Clients {
    /// Sets the timeout of a connection. A timer is scheduled only if the timeout becomes earlier: an earlier timer
    /// that fires is scheduled again for the present timeout, so most changes need no new timer.
    pub(super) fn set_timeout(&mut self, io: &mut Io, slot: usize, timeout: Millis) {
        let timeout_at = io.now() + timeout;
        let Some(client) = self.connections.get_mut(slot) else { return };
        let sooner = timeout_at < client.timeout_at;
        client.timeout_at = timeout_at;
        if sooner {
            io.timers.schedule(timeout_at, Timer::ClientTimeout(slot, client.generation));
        }
    }

    /// Handles a timer of a connection.
    pub(crate) fn handle_timeout(&mut self, io: &mut Io, config: &Config, slot: usize, generation: u32) {
        let now = io.now();
        let is_current = self.connections.get(slot).is_some_and(|client| client.generation == generation);
        if !is_current || self.reset_if_unread(io, slot, now) {
            return;
        }
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.has_request() {
            // The request has its own deadline; the connection is checked again after the idle timeout.
            client.timeout_at = now + config.limits.idle_time;
        }
        if client.timeout_at > now {
            io.timers.schedule(client.timeout_at, Timer::ClientTimeout(slot, generation));
        } else if client.is_in_request() {
            self.respond(io, config, slot, &front::request_timeout_response(), None);
        } else {
            self.remove(slot);
        }
    }

    /// Resets a connection whose client has not read its response for the unread timeout; returns whether it did.
    fn reset_if_unread(&mut self, io: &mut Io, slot: usize, now: Millis) -> bool {
        let Some(client) = self.connections.get_mut(slot) else { return true };
        if client.unread_check_at > now {
            return false;
        }
        client.unread_check_at = Millis::INFINITY;
        let reset_at = self.budget.reset_at(&client.usage);
        if reset_at <= now {
            let customer = client.customer.as_deref();
            tracing::debug!(customer, "client connection reset: response not read");
            client.socket.reset_on_close();
            self.handle_disconnect(slot);
            return true;
        }
        if reset_at.is_finite() {
            client.unread_check_at = reset_at;
            io.timers.schedule(reset_at, Timer::ClientTimeout(slot, client.generation));
        }
        false
    }

    /// Ends all connections at the end of a drain. Idle connections are closed, partial requests get a final response,
    /// and complete responses may still be read. A connection with a partial response is reset, so that its client
    /// cannot mistake the response for a complete one.
    pub(crate) fn finish_all(&mut self, io: &mut Io, config: &Config) {
        let slots: Vec<usize> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            self.finish_connection(io, config, slot);
        }
    }

    fn finish_connection(&mut self, io: &mut Io, config: &Config, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.has_request() {
            self.reset(slot);
        } else if client.is_in_request() {
            let response = front::gateway_full_response("the gateway is stopping");
            self.respond(io, config, slot, &response, None);
        } else if !client.is_busy() {
            self.remove(slot);
        } else if !matches!(client.phase, ConnectionPhase::Lingering) {
            client.closing = true;
            self.update_registration(io, slot);
        }
    }
}
