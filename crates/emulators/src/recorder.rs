//! The traffic record: what each stand-in saw, on one clock.

use doorcourse_conformance::{Event, Record};
use doorcourse_event_loop::Clock;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Where stand-ins write; clones write to the same record.
#[derive(Clone, Debug)]
pub struct Recorder {
    records: Arc<Mutex<Vec<Record>>>,
    clock: Clock,
    start_ms: f64,
    disabled: bool,
}

impl Recorder {
    /// An empty record whose time starts now.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self { records: Arc::default(), clock, start_ms: clock.now(), disabled: false }
    }

    /// A record that keeps nothing.
    #[must_use]
    pub fn disabled(clock: Clock) -> Self {
        Self { disabled: true, ..Self::new(clock) }
    }

    /// Writes what happened just now.
    pub fn record(&self, event: Event) {
        if self.disabled {
            return;
        }
        let t = self.clock.now() - self.start_ms;
        self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(Record { t, event });
    }

    /// All that was written so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Writes the record to a file, one JSON object a line.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn save(&self, path: &Path) -> anyhow::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for record in self.records() {
            serde_json::to_writer(&mut file, &record)?;
            file.write_all(b"\n")?;
        }
        Ok(file.flush()?)
    }
}
