//! Which idle connection carries an attempt, and when.
//!
//! A response does not name its request: the first complete one after a command is taken for that command's. A backend
//! may send a second copy of a response some milliseconds late. Were the next command written before the copy arrives,
//! the copy would be taken for its response, and each later response on the connection for that of the command after.
//! So a connection rests after a response. Bytes that arrive in that time close it.

use super::attempt::AttemptUpdate;
use super::{Backends, ConnectionState};
use crate::reactor::Reactor;
use doorcourse::{Millis, Name};
use doorcourse_connection_limits::idle_limit;
use doorcourse_event_loop::Flow;

/// How long a connection rests after a response. Longer: later copies are detected, and attempts that find no other
/// connection wait longer.
pub(super) const REST_AFTER_RESPONSE_MS: Millis = 10.0;

impl Backends {
    /// Assigns idle connections that do not rest to the attempts that wait, the longest waiting first. Where attempts
    /// are left and a connection rests, this is done again at the end of its rest.
    pub(super) fn use_idle_connections(
        &mut self, reactor: &mut Reactor, name: &Name, updates: &mut Vec<AttemptUpdate>,
    ) {
        while self.backends.get(name).is_some_and(|backend| backend.pool.has_waiting()) {
            let Some(index) = self.take_idle(reactor, name) else { break };
            let request = self.backends.get_mut(name).and_then(|backend| backend.pool.pop_waiting());
            if let Some(request) = request {
                self.write_attempt(reactor, index, request, updates);
            }
        }
        self.schedule_rest_end(reactor.now, name);
    }

    /// Schedules the next end of a rest at a backend for which attempts wait, unless one is scheduled: rests end in the
    /// order in which they began.
    pub(super) fn schedule_rest_end(&mut self, now: Millis, name: &Name) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        if backend.rest_end_scheduled {
            return;
        }
        if let Some(rest_end) = backend.pool.next_rest_end(now) {
            backend.rest_end_scheduled = true;
            self.rest_ends.schedule(rest_end, name.clone());
        }
    }

    /// Assigns the connections whose rest has ended to the attempts that wait for them. Some may have closed meanwhile:
    /// for the attempts that are left, connections are opened.
    pub(super) fn use_rested_connections(&mut self, reactor: &mut Reactor, updates: &mut Vec<AttemptUpdate>) {
        while let Some(name) = self.rest_ends.pop_expired(reactor.now) {
            if let Some(backend) = self.backends.get_mut(&name) {
                backend.rest_end_scheduled = false;
            }
            self.use_idle_connections(reactor, &name, updates);
            self.open_connections(reactor, &name, Millis::INFINITY, updates);
        }
    }

    /// Takes a usable idle connection of a backend, which counts as busy from then on. Those that have been idle for too
    /// long, or on which something has happened, are closed.
    fn take_idle(&mut self, reactor: &Reactor, name: &Name) -> Option<usize> {
        let idle_timeout = idle_limit(self.backend_idle_timeout);
        loop {
            let mut expired = Vec::new();
            let pool = &mut self.backends.get_mut(name)?.pool;
            let idle = pool.take_idle(reactor.now, idle_timeout, &mut expired);
            for index in expired {
                // Not `close`: the pool has removed it already.
                self.remove_connection(index);
            }
            let index = idle?;
            let connection = self.connections.get_mut(index)?;
            debug_assert!(matches!(connection.state, ConnectionState::Idle { .. }));
            // Detects that the backend has closed the connection or sent unexpected bytes, which must not be read as
            // the next response.
            if connection.registered.socket.read() == (0, Flow::Open) {
                return Some(index);
            }
            // Not `close`: the connection's state is still idle, but the pool counts it as busy.
            self.remove_connection(index);
            self.backends.get_mut(name)?.pool.request_ended();
        }
    }
}
