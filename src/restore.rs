//! State of backends that is learnt elsewhere: by an earlier process of this gateway, or by the host's outlier gossip.

use crate::{BackendStatus, Gateway};

impl Gateway {
    /// Restores concurrency limits and ejections. After a restart, this keeps the first second from being spent on
    /// backends known to be dead; at any later time, the host applies verdicts of other gateways on a backend by it.
    /// A backend that has started since is left as it is; an ejection lasts no longer than the slow start.
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
