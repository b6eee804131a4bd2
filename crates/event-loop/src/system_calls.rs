//! Counts of the system calls that this thread's event loop makes, by kind. They serve to measure the cost of a
//! request.

use std::cell::Cell;

/// The number of system calls of one thread, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SystemCalls {
    /// Reads from sockets.
    pub reads: u64,
    /// Writes to sockets.
    pub writes: u64,
    /// Waits for readiness.
    pub waits: u64,
    /// Registrations with the poller, and their changes and removals.
    pub registrations: u64,
    /// Connection attempts started.
    pub connects: u64,
}

impl SystemCalls {
    /// The sum of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.waits + self.registrations + self.connects
    }
}

thread_local! {
    static COUNTS: Cell<SystemCalls> = const { Cell::new(SystemCalls { reads: 0, writes: 0, waits: 0, registrations: 0, connects: 0 }) };
}

pub(crate) fn count(add: impl FnOnce(&mut SystemCalls)) {
    COUNTS.with(|cell| {
        let mut counts = cell.get();
        add(&mut counts);
        cell.set(counts);
    });
}

/// The counts of this thread so far.
#[must_use]
pub fn system_calls() -> SystemCalls {
    COUNTS.with(Cell::get)
}
