//! Applies reloaded configurations and endpoint lists.

use super::RespGateway;
use crate::config::Config;
use crate::endpoints::{EndpointList, remove_displaced};
use crate::reactor::Token;
use doorcourse::Event;
use doorcourse_event_loop::Ready;
use std::fs::File;

/// A descriptor that is released while the configuration file is read, so that the file can be opened when no other
/// descriptor is left.
pub(super) struct ReservedDescriptor(Option<File>);

impl Default for ReservedDescriptor {
    fn default() -> Self {
        Self(File::open("/dev/null").ok())
    }
}

impl ReservedDescriptor {
    /// Runs `read` with the descriptor released.
    fn released_for<T>(&mut self, read: impl FnOnce() -> T) -> T {
        self.0 = None;
        let result = read();
        *self = Self::default();
        result
    }
}

impl RespGateway {
    /// Reads the configuration file again. A file that cannot be read or is invalid changes nothing.
    pub(super) fn reload_configuration(&mut self) {
        let path = &self.config_path;
        let config = match self.reserved_descriptor.released_for(|| Config::open(path)) {
            Ok(config) => config,
            // The error names the file and the invalid field.
            Err(error) => {
                let error = format!("{error:#}");
                return tracing::error!(
                    error,
                    "configuration reload failed, the previous one stays in force"
                );
            }
        };
        let deployment = config.deployment;
        let counter = config.counter.map(|address| address.to_string());
        tracing::info!(discovery = %config.discovery, counter, "configuration reloaded");
        self.discovery.set_address(config.discovery);
        self.discovery.set_drain_grace(deployment.host.drain_grace);
        self.counter.configure(self.reactor.now, config.counter, deployment.settings.counter_timeout);
        self.backends.configure(deployment.host.connect_timeout, deployment.host.backend_idle_timeout);
        if deployment.settings != self.deployment.settings {
            let settings = Box::new(deployment.settings.clone());
            self.pending.decisions.push_back(Event::SettingsChanged(settings));
        }
        self.deployment = deployment;
    }

    pub(super) fn handle_discovery_readiness(&mut self, token: Token, ready: Ready) {
        let mut lists = Vec::new();
        self.discovery.handle_readiness(&mut self.reactor, token, ready, &mut lists);
        if !lists.is_empty() {
            self.readiness.list_received();
        }
        for list in lists {
            self.apply_endpoints(list);
        }
    }

    /// Applies an endpoint list to the backends and the decision library.
    ///
    /// The backends receive the addresses first, since the decision library may send an attempt as soon as it has the
    /// list. Withdrawn attempts are reported last: they are retried, and not at a backend that the list drains.
    pub(super) fn apply_endpoints(&mut self, mut list: EndpointList) {
        remove_displaced(&mut list, self.backends.listed());
        let entries = list.endpoints.iter().map(|endpoint| endpoint.entry.clone()).collect();
        let event = if list.complete { Event::BackendList(entries) } else { Event::BackendChanges(entries) };
        self.pending.decisions.push_back(event);
        let mut withdrawn = Vec::new();
        self.backends.apply_endpoints(&list, &mut withdrawn);
        self.process_pending_events();
        self.pending.attempts.extend(withdrawn);
        self.process_pending_events();
    }
}
