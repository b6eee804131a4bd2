//! The traffic record: events seen by all emulators, timestamped by one clock.

use doorcourse_conformance::{Event, Record};
use doorcourse_event_loop::Clock;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Collects the events of the emulators. Clones share one record.
#[derive(Clone, Debug)]
pub struct Recorder {
    records: Arc<Mutex<Vec<Record>>>,
    clock: Clock,
    start_ms: f64,
    disabled: bool,
}

impl Recorder {
    /// Creates an empty record; timestamps count from now.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self { records: Arc::default(), clock, start_ms: clock.now(), disabled: false }
    }

    /// Creates a recorder that discards all events.
    #[must_use]
    pub fn disabled(clock: Clock) -> Self {
        Self { disabled: true, ..Self::new(clock) }
    }

    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        if self.disabled {
            return;
        }
        let t = self.clock.now() - self.start_ms;
        self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(Record { t, event });
    }

    /// Returns a copy of all events recorded so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Writes the record to a file as JSON Lines.
    ///
    /// # Errors
    /// Fails when the file cannot be written.
    pub fn save(&self, path: &Path) -> anyhow::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for record in self.records() {
            serde_json::to_writer(&mut file, &record)?;
            file.write_all(b"\n")?;
        }
        Ok(file.flush()?)
    }
}
