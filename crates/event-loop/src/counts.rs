//! How many system calls the loop of this thread made, by kind: what a request costs is measured, not guessed.

use std::cell::Cell;

/// System calls of one thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads from sockets.
    pub reads: u64,
    /// Writes to sockets.
    pub writes: u64,
    /// Waits for readiness.
    pub waits: u64,
    /// Registrations, their changes and ends.
    pub changes: u64,
    /// Connections begun.
    pub connects: u64,
}

impl Counts {
    /// All of them.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.waits + self.changes + self.connects
    }
}

thread_local! {
    static COUNTS: Cell<Counts> = const { Cell::new(Counts { reads: 0, writes: 0, waits: 0, changes: 0, connects: 0 }) };
}

pub(crate) fn count(add: impl FnOnce(&mut Counts)) {
    COUNTS.with(|cell| {
        let mut counts = cell.get();
        add(&mut counts);
        cell.set(counts);
    });
}

/// The counts of this thread so far.
#[must_use]
pub fn counts() -> Counts {
    COUNTS.with(Cell::get)
}
