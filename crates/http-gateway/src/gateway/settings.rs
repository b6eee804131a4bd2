//! Applying changed settings while serving.

use super::Gateway;
use doorcourse::Event;
use doorcourse_config::Config;
use doorcourse_lifecycle::LifecycleSettings;
use std::sync::Arc;

impl Gateway {
    /// Applies the settings that were read. A request in flight keeps the schema with which its cost was computed.
    pub(super) fn apply_settings(&mut self) {
        let Some((mut config, diff)) = self.reload.take_settings() else { return };
        let started_at = self.io.now();
        // The routing in the list file takes precedence over that in the settings.
        if let Some(routing) = self.endpoints.listed_routing() {
            config.set_routing(routing);
        }
        self.io.events.push_back(Event::SettingsChanged(Box::new(config.decision_settings.clone())));
        self.lifecycle.update_settings(lifecycle_settings(&config));
        self.endpoints.update_settings(&config);
        self.clients.update_limits(&config);
        if let Some(fleet) = &mut self.fleet {
            fleet.configure(&mut self.io, &config);
        }
        self.config = Arc::new(config);
        if !self.endpoints.has_list_file() {
            let endpoints = self.config.nodes.clone();
            self.apply_endpoints(&endpoints);
        }
        self.process_pending();
        let stopped_ms = self.io.now() - started_at;
        tracing::info!(changes = diff.changes.join("; "), stopped_ms, "settings reloaded");
        self.reload.finish(Ok(diff));
    }
}

/// The settings of the process's life cycle. Times in ms.
pub(super) fn lifecycle_settings(config: &Config) -> LifecycleSettings {
    LifecycleSettings {
        readiness_notice: config.life.notice,
        drain_timeout: config.life.drain,
        takeover_timeout: config.life.handover,
        release_timeout: config.life.give_back,
        idle_period: config.life.quiet,
    }
}
