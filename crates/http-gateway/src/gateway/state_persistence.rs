//! Saving and restoring the state file, so that a restarted gateway keeps the learnt state of its backends.

use super::Gateway;
use crate::io::Timer;
use crate::state_file::StateFile;
use doorcourse::{Event, Millis};
use std::path::Path;

/// The state file, its save interval and the result of the last save.
pub(super) struct StatePersistence {
    file: StateFile,
    save_interval: Millis,
    /// Whether the last save failed. Only a change is logged, not each failed save.
    last_save_failed: bool,
}

impl StatePersistence {
    /// The state file that the settings name. Its path is relative to `directory`.
    pub(super) fn new(
        settings: &doorcourse_config::StateFileConfig, directory: &Path, gateway_index: u32,
    ) -> Self {
        let path = directory.join(&settings.file);
        let file = StateFile { path, max_age: settings.max_age, gateway_index };
        Self { file, save_interval: settings.save_interval, last_save_failed: false }
    }

    /// Logs the result of a save if it differs from the result of the previous one.
    fn record_save(&mut self, result: std::io::Result<()>) {
        let failed = result.is_err();
        if std::mem::replace(&mut self.last_save_failed, failed) == failed {
            return;
        }
        let file = self.file.path.display();
        match result {
            Err(error) => tracing::error!(%file, %error, "state file not written"),
            Ok(()) => tracing::info!(%file, "state file written again"),
        }
    }
}

impl Gateway {
    /// Restores the state that an earlier process of this gateway saved, and sets the timer of the first save.
    pub(super) fn restore_state(&mut self) {
        let now = self.io.now();
        let Some(state) = &self.state else { return };
        self.io.timers.schedule(now + state.save_interval, Timer::StateFileSave);
        match state.file.read(now) {
            Ok(Some(backends)) => {
                tracing::info!(nodes = backends.len(), "state file taken");
                self.io.events.push_back(Event::StateRestored(backends));
            }
            Ok(None) => {}
            Err(error) => {
                let file = state.file.path.display();
                tracing::warn!(%file, why = %error, "state file left aside");
            }
        }
    }

    /// Saves the state file and sets the timer of the next save. A failure, such as a full disk, affects only the file.
    pub(super) fn save_state(&mut self) {
        let now = self.io.now();
        let Some(state) = &mut self.state else { return };
        self.io.timers.schedule(now + state.save_interval, Timer::StateFileSave);
        let result = state.file.write(now, self.decisions.backends());
        state.record_save(result);
    }
}
