//! The endpoint list in force, from the settings or a list file, and the backends that an operator drained at this
//! gateway.

use super::Gateway;
use crate::endpoint_list::EndpointList;
use crate::io::Timer;
use doorcourse::{BackendState, Event, Name};
use doorcourse_config::{Config, Node, Routing};
use doorcourse_fail_points::rule_disabled;
use doorcourse_graceful_shutdown::ManualDrains;
use std::collections::HashSet;
use std::path::Path;
use std::sync::Arc;

/// The source of the endpoint list, the list in force, and the manual drains.
pub(super) struct Endpoints {
    /// The list file; `None` if the settings contain the endpoints.
    file: Option<EndpointList>,
    listed: Vec<Node>,
    manual_drains: ManualDrains,
}

impl Endpoints {
    /// The endpoints before the first list is applied. The path of a list file is relative to `directory`.
    pub(super) fn new(config: &Config, directory: &Path) -> Self {
        let open =
            |(file, poll_interval): &(String, f64)| EndpointList::new(directory.join(file), *poll_interval);
        let file = config.node_list.as_ref().map(open);
        Self { file, listed: Vec::new(), manual_drains: ManualDrains::default() }
    }

    /// Whether the endpoints come from a list file; otherwise from the settings.
    pub(super) fn has_list_file(&self) -> bool {
        self.file.is_some()
    }

    /// The routing that the list file states, if any.
    pub(super) fn listed_routing(&self) -> Option<Routing> {
        self.file.as_ref().and_then(|file| file.routing.clone())
    }

    /// The list in force.
    pub(super) fn listed(&self) -> &[Node] {
        &self.listed
    }

    /// Whether an operator drained this backend at this gateway.
    pub(super) fn is_manually_drained(&self, name: &Name) -> bool {
        self.manual_drains.is_drained(name)
    }

    /// Applies a changed poll interval. The path of the list file does not change after the start.
    pub(super) fn update_settings(&mut self, config: &Config) {
        if let (Some(file), Some((_, poll_interval))) = (&mut self.file, &config.node_list) {
            file.poll_interval = *poll_interval;
        }
    }
}

impl Gateway {
    /// Applies the first list, from the list file or the settings.
    ///
    /// # Errors
    /// When the list file cannot be used.
    pub(super) fn apply_first_endpoints(&mut self) -> anyhow::Result<()> {
        if self.endpoints.has_list_file() {
            return self.poll_endpoint_list();
        }
        let endpoints = self.config.nodes.clone();
        self.apply_endpoints(&endpoints);
        Ok(())
    }

    /// Applies the list file if it has changed, and sets the timer of the next poll.
    pub(super) fn poll_endpoint_list(&mut self) -> anyhow::Result<()> {
        let Some(list) = &mut self.endpoints.file else { return Ok(()) };
        self.io.timers.schedule(self.io.clock.now() + list.poll_interval, Timer::EndpointListPoll);
        let file = match list.read_if_changed() {
            None => return Ok(()),
            Some(read) => read.map_err(|e| anyhow::anyhow!(e))?,
        };
        tracing::info!(nodes = file.nodes.len(), "node list taken");
        list.routing.clone_from(&file.routing);
        if let Some(routing) = file.routing.filter(|routing| *routing != self.config.routing) {
            let mut config = Config::clone(&self.config);
            config.set_routing(routing);
            self.io.events.push_back(Event::SettingsChanged(Box::new(config.decision_settings.clone())));
            self.config = Arc::new(config);
        }
        self.apply_endpoints(&file.nodes);
        Ok(())
    }

    /// Replaces the list, and reports it to the decisions.
    pub(super) fn apply_endpoints(&mut self, endpoints: &[Node]) {
        let unchanged = self.backends.update_endpoints(endpoints);
        self.endpoints.listed = endpoints.to_vec();
        self.notify_endpoints(|name| unchanged.contains(name));
    }

    /// Reports the list to the decisions, then withdraws the unwritten attempts at backends that must not get them any
    /// more, so that they are placed by the new list. `is_unchanged` says whether a backend has the same address and
    /// start time as before.
    fn notify_endpoints(&mut self, is_unchanged: impl Fn(&Name) -> bool) {
        let listed = self.endpoints.listed.iter().map(|node| node.entry.clone());
        let list = self.endpoints.manual_drains.apply(listed);
        let usable: HashSet<Name> = list
            .iter()
            .filter(|entry| entry.state == BackendState::Ready && is_unchanged(&entry.name))
            .map(|entry| entry.name.clone())
            .collect();
        self.io.events.push_back(Event::BackendList(list));
        if !rule_disabled("withdraw-unwritten-attempts") {
            self.requests.withdraw_unwritten_except(self.io.now(), &usable);
        }
    }

    /// Drains a backend at this gateway, or ends that drain. Returns `false` if no such backend is listed.
    pub(super) fn set_manual_drain(&mut self, name: &str, drain: bool) -> bool {
        let Some(node) = self.endpoints.listed.iter().find(|node| *node.entry.name == *name) else {
            return false;
        };
        let name = node.entry.name.clone();
        if self.endpoints.manual_drains.set_drained(&name, drain) {
            tracing::info!(node = %name, drain, "manual drain changed");
            self.notify_endpoints(|_| true);
        }
        true
    }
}
