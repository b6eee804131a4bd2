//! Saving and restoring the state file, so that a restarted gateway keeps the learnt state of its backends.

use super::Gateway;
use crate::io::Timer;
use crate::state_file::{StateFile, StateFileWriter, WriterProgress};
use doorcourse::{Event, Millis};
use std::path::Path;
use std::time::Duration;

/// How long the exit waits for the last save. If the disk takes longer, the file of the previous save remains.
const FINAL_SAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The state file, its save interval and its writer.
pub(super) struct StatePersistence {
    file: StateFile,
    save_interval: Millis,
    writer: StateFileWriter,
    /// Whether it was logged that the writer is behind.
    is_behind: bool,
}

impl StatePersistence {
    /// The state file that the settings name. Its path is relative to `directory`.
    ///
    /// # Errors
    /// When the thread that writes the file cannot be started.
    pub(super) fn new(
        settings: &doorcourse_config::StateFileConfig, directory: &Path, gateway_index: u32,
    ) -> std::io::Result<Self> {
        let path = directory.join(&settings.file);
        let file = StateFile { path, max_age: settings.max_age, gateway_index };
        let writer = StateFileWriter::start(file.clone())?;
        Ok(Self { file, save_interval: settings.save_interval, writer, is_behind: false })
    }

    /// Logs once that the writer is behind, until a save finds it idle: a write that never returns reports no error.
    fn report_progress(&mut self, progress: WriterProgress) {
        match progress {
            WriterProgress::Behind if !self.is_behind => {
                let file = self.file.path.display();
                tracing::warn!(%file, "writing the state file takes longer than its save interval");
                self.is_behind = true;
            }
            WriterProgress::Idle => self.is_behind = false,
            WriterProgress::Behind | WriterProgress::Writing => {}
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

    /// Hands the present state to the writer and sets the timer of the next save. Once a new process has taken over, the
    /// file is the new process's and nothing is saved.
    pub(super) fn save_state(&mut self) {
        if self.lifecycle.is_replaced() {
            return;
        }
        let now = self.io.now();
        let Some(state) = &mut self.state else { return };
        self.io.timers.schedule(now + state.save_interval, Timer::StateFileSave);
        let progress = state.writer.save(now, self.decisions.backends());
        state.report_progress(progress);
    }

    /// Saves the state a last time, before the process exits.
    pub(super) fn save_final_state(&mut self) {
        self.save_state();
        let Some(state) = &self.state else { return };
        if !state.writer.flush(FINAL_SAVE_TIMEOUT) {
            let file = state.file.path.display();
            tracing::warn!(%file, "state file not written at the exit, the disk is slow");
        }
    }
}
