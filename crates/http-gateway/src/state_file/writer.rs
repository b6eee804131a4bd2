//! The thread that writes the state file, so that a slow disk never delays the event loop.
//!
//! Creating, syncing and renaming a file may each take seconds on a busy disk, or never return. The thread writes one
//! snapshot at a time; a snapshot that waits behind it is replaced by a newer one, so memory stays bounded.

use super::StateFile;
use doorcourse::{BackendStatus, Millis};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The state of the backends at one moment.
struct Snapshot {
    taken_at: Millis,
    backends: Vec<BackendStatus>,
}

/// How far the writer is with the snapshots it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriterProgress {
    /// Every snapshot is written.
    Idle,
    /// The last snapshot is being written.
    Writing,
    /// A snapshot waits until an earlier write returns.
    Behind,
}

/// What the event loop and the writing thread share.
#[derive(Default)]
struct Queue {
    /// The newest snapshot that is not being written yet.
    pending: Option<Snapshot>,
    /// Whether the thread is writing a snapshot.
    writing: bool,
    /// Whether the thread must end; a pending snapshot is then dropped.
    closed: bool,
}

impl Queue {
    fn is_idle(&self) -> bool {
        self.progress() == WriterProgress::Idle
    }

    fn progress(&self) -> WriterProgress {
        match (&self.pending, self.writing) {
            (Some(_), _) => WriterProgress::Behind,
            (None, true) => WriterProgress::Writing,
            (None, false) => WriterProgress::Idle,
        }
    }
}

#[derive(Default)]
struct SharedQueue {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl SharedQueue {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a snapshot and marks it as being written. `None` once the queue is closed.
    fn take(&self) -> Option<Snapshot> {
        let mut queue = self
            .changed
            .wait_while(self.lock(), |queue| queue.pending.is_none() && !queue.closed)
            .unwrap_or_else(PoisonError::into_inner);
        if queue.closed {
            return None;
        }
        let snapshot = queue.pending.take();
        queue.writing = snapshot.is_some();
        snapshot
    }

    fn finish_write(&self) {
        self.lock().writing = false;
        self.changed.notify_all();
    }
}

/// Writes snapshots to a state file in a thread of its own. Dropping the writer ends the thread after the write that is
/// in progress, without waiting for it.
pub(crate) struct StateFileWriter {
    shared: Arc<SharedQueue>,
}

impl StateFileWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the system refuses another thread.
    pub(crate) fn start(file: StateFile) -> std::io::Result<Self> {
        let shared = Arc::<SharedQueue>::default();
        let queue = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("state-file".into())
            .spawn(move || write_snapshots(&queue, &file))?;
        Ok(Self { shared })
    }

    /// Hands over the state of the backends, as of `now`. It replaces a snapshot whose write has not begun.
    ///
    /// Returns how far the writer was before.
    pub(crate) fn save(&self, now: Millis, backends: impl Iterator<Item = BackendStatus>) -> WriterProgress {
        let snapshot = Snapshot { taken_at: now, backends: backends.collect() };
        let mut queue = self.shared.lock();
        let progress = queue.progress();
        queue.pending = Some(snapshot);
        self.shared.changed.notify_all();
        progress
    }

    /// Waits until every snapshot has been handled, at most for `timeout`. Returns whether it has.
    pub(crate) fn flush(&self, timeout: Duration) -> bool {
        let wait =
            self.shared.changed.wait_timeout_while(self.shared.lock(), timeout, |queue| !queue.is_idle());
        wait.unwrap_or_else(PoisonError::into_inner).0.is_idle()
    }
}

impl Drop for StateFileWriter {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.changed.notify_all();
    }
}

/// Writes what the queue holds until it is closed. A failure, such as a full disk, affects only the file.
fn write_snapshots(queue: &SharedQueue, file: &StateFile) {
    let mut last_write_failed = false;
    while let Some(snapshot) = queue.take() {
        let result = file.write(snapshot.taken_at, snapshot.backends.into_iter());
        let failed = result.is_err();
        if failed != last_write_failed {
            log_change(file, result);
        }
        last_write_failed = failed;
        queue.finish_write();
    }
}

/// Logs that writes have begun to fail, or succeed again.
fn log_change(file: &StateFile, result: std::io::Result<()>) {
    let file = file.path.display();
    match result {
        Err(error) => tracing::error!(%file, %error, "state file not written"),
        Ok(()) => tracing::info!(%file, "state file written again"),
    }
}
