//! Logs when the resident memory of the process comes close to its limit, and when requests are refused because the
//! buffers are used up.

use doorcourse::Millis;
use doorcourse_event_loop::process_memory;

/// How often the memory is read, in ms.
const INTERVAL_MS: Millis = 1000.0;
/// The share of the limit, in percent, from which on the memory counts as close to it.
const CLOSE_PERCENT: u64 = 75;
const MIB: u64 = 1 << 20;

/// What is logged beside the memory.
pub(super) struct BufferUse {
    pub buffered_bytes: u64,
    pub client_connections: usize,
    pub open_requests: usize,
    /// Requests so far that were rejected for want of memory.
    pub rejected_requests: u64,
    /// Partially received commands so far that were discarded for want of memory.
    pub discarded_commands: u64,
}

/// Watches the resident memory and the buffers.
pub(super) struct MemoryWatch {
    limit_bytes: u64,
    checked_at: Millis,
    is_close: bool,
    is_refusing: bool,
    /// Refusals until the last check.
    refusals: u64,
}

impl MemoryWatch {
    pub(super) fn new(now: Millis, limit_bytes: u64) -> Self {
        Self { limit_bytes, checked_at: now, is_close: false, is_refusing: false, refusals: 0 }
    }

    /// Logs each state once, when it begins and when it ends.
    pub(super) fn check(&mut self, now: Millis, usage: &BufferUse) {
        if now < self.checked_at + INTERVAL_MS {
            return;
        }
        self.checked_at = now;
        self.check_refusals(usage);
        self.check_resident_memory(usage);
    }

    fn check_refusals(&mut self, usage: &BufferUse) {
        let refusals = usage.rejected_requests + usage.discarded_commands;
        let is_refusing = refusals > std::mem::replace(&mut self.refusals, refusals);
        if std::mem::replace(&mut self.is_refusing, is_refusing) == is_refusing {
            return;
        }
        let BufferUse { buffered_bytes, rejected_requests, discarded_commands, .. } = usage;
        if is_refusing {
            tracing::warn!(
                buffered_bytes,
                rejected_requests,
                discarded_commands,
                "buffers are used up, requests are refused"
            );
        } else {
            tracing::info!(buffered_bytes, rejected_requests, discarded_commands, "buffers are free again");
        }
    }

    fn check_resident_memory(&mut self, usage: &BufferUse) {
        let Some(memory) = process_memory() else { return };
        let is_close = memory.resident * 100 >= self.limit_bytes * CLOSE_PERCENT;
        if std::mem::replace(&mut self.is_close, is_close) == is_close {
            return;
        }
        let resident_mib = memory.resident / MIB;
        let peak_mib = memory.peak / MIB;
        let limit_mib = self.limit_bytes / MIB;
        let BufferUse { buffered_bytes, client_connections, open_requests, .. } = usage;
        if is_close {
            tracing::warn!(
                resident_mib,
                peak_mib,
                limit_mib,
                buffered_bytes,
                client_connections,
                open_requests,
                "memory is close to its limit"
            );
        } else {
            tracing::info!(resident_mib, peak_mib, limit_mib, "memory is no longer close to its limit");
        }
    }
}
