//! State of an earlier process.

use crate::health::concurrency_limit::{ROOM_FIRST, ROOM_LEAST};
use crate::*;

impl Gateway {
    /// What was learnt of a backend holds while it is the same start of it, and no longer than it could have
    /// been left alone. Guards the first second after a restart against nodes that were known to be dead.
    pub(crate) fn restore_backends(&mut self, views: Vec<BackendStatus>) {
        for view in views {
            let Some(backend) = self.backends.get_mut(&view.name) else { continue };
            if backend.started == view.started && view.concurrency_limit.is_finite() {
                backend.concurrency_limit =
                    view.concurrency_limit.clamp(ROOM_LEAST, ROOM_FIRST.max(backend.concurrency_limit));
                (backend.consecutive_failures, backend.ejected_until) =
                    (view.consecutive_failures, view.ejected_until);
                backend.ejected_until =
                    backend.ejected_until.min(self.now + self.settings.slow_start_duration);
            }
        }
    }
}
