//! Compares the resident memory of the process with its limit, and logs when it comes close.

use doorcourse::Millis;
use doorcourse_event_loop::process_memory;

/// How often the memory is read, in ms.
const INTERVAL_MS: Millis = 1000.0;
/// The share of the limit, in percent, from which on the memory counts as close to it.
const CLOSE_PERCENT: u64 = 75;
const MIB: u64 = 1 << 20;

/// Watches the resident memory.
pub(super) struct MemoryWatch {
    limit_bytes: u64,
    checked_at: Millis,
    is_close: bool,
}

impl MemoryWatch {
    pub(super) fn new(now: Millis, limit_bytes: u64) -> Self {
        Self { limit_bytes, checked_at: now, is_close: false }
    }

    /// Logs once when the memory comes close to the limit, and once when it no longer is. `client_connections` and
    /// `open_requests` are logged beside it.
    pub(super) fn check(&mut self, now: Millis, client_connections: usize, open_requests: usize) {
        if now < self.checked_at + INTERVAL_MS {
            return;
        }
        self.checked_at = now;
        let Some(memory) = process_memory() else { return };
        let is_close = memory.resident * 100 >= self.limit_bytes * CLOSE_PERCENT;
        if std::mem::replace(&mut self.is_close, is_close) == is_close {
            return;
        }
        let resident_mib = memory.resident / MIB;
        let peak_mib = memory.peak / MIB;
        let limit_mib = self.limit_bytes / MIB;
        if is_close {
            tracing::warn!(
                resident_mib,
                peak_mib,
                limit_mib,
                client_connections,
                open_requests,
                "memory is close to its limit"
            );
        } else {
            tracing::info!(resident_mib, peak_mib, limit_mib, "memory is no longer close to its limit");
        }
    }
}
