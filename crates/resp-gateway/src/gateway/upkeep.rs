//! What each iteration does beside serving: it drops what is no longer needed, checks its own counts and logs them.

use super::RespGateway;
use crate::diagnostics::Components;
use crate::reactor::Timer;

impl RespGateway {
    /// Removes the timers of requests, attempts and health checks that have ended.
    pub(super) fn remove_unneeded_timers(&mut self) {
        let Self { requests, decisions, health_checks, .. } = self;
        self.reactor.timers.remove_unneeded(|timer| match timer {
            Timer::Decision { token } => decisions.needs_timer(*token),
            Timer::RequestDeadline { request } => requests.contains(*request),
            Timer::ConnectTimeout { request, attempt } | Timer::WriteDeadline { request, attempt } => {
                requests.is_in_flight(*request, *attempt)
            }
            Timer::HealthCheckTimeout { check } => health_checks.contains(*check),
        });
    }

    /// Compares the counted buffers with those that the components hold.
    pub(super) fn check_buffer_counts(&self) {
        debug_assert!(self.clients.is_count_exact(), "buffers of clients");
        debug_assert!(self.requests.is_count_exact(), "buffers of requests");
        debug_assert!(self.backends.is_count_exact(), "buffers of backends");
    }

    pub(super) fn log_diagnostics(&mut self) {
        let components = Components {
            gateway: &self.decisions,
            backends: &self.backends,
            clients: &self.clients,
            counter: &self.counter,
            requests: &self.requests,
        };
        self.diagnostics.handle_timeout(&self.reactor, &components);
    }
}
