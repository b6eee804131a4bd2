//! Restores backend state from another source: an earlier process of this gateway, or the host's outlier gossip.

use crate::{BackendStatus, Gateway};

impl Gateway {
    /// Restores concurrency limits, consecutive failures and ejections. After a restart, this avoids sending the first
    /// second's requests to backends known to be dead; later, the host uses it to apply what other gateways report
    /// about a backend. A backend that has started since then is unchanged; an ejection lasts no longer than the slow
    /// start.
    pub(crate) fn restore_backends(&mut self, statuses: Vec<BackendStatus>) {
        let max_ejection = self.settings.slow_start_duration;
        for status in statuses {
            let Some(backend) = self.backends.get_mut(&status.name) else { continue };
            if backend.start_time.reported != status.started || !status.concurrency_limit.is_finite() {
                continue;
            }
            backend.concurrency_limit.restore(status.concurrency_limit);
            let failures = status.consecutive_failures;
            backend.outlier.restore(failures, status.ejected_until, self.now, max_ejection);
        }
    }
}
