//! The ids of requests that may have been executed and must not be executed again.

use doorcourse::Millis;
use std::collections::{HashSet, VecDeque};

/// How long an id is remembered, in ms. A client that comes again after its connection has closed does so within its
/// deadlines, which are a few seconds.
const RETENTION_MS: Millis = 60_000.0;
/// The most ids that are remembered; beyond it the oldest is forgotten.
const MAX_IDS: usize = 16_384;

/// The ids of the last requests that may have been executed.
#[derive(Clone, Debug, Default)]
pub struct ExecutedIds {
    ids: HashSet<u64>,
    /// The ids and when they were recorded, the oldest first.
    by_age: VecDeque<(Millis, u64)>,
}

impl ExecutedIds {
    /// Records that the request with this id may have been executed.
    pub fn record(&mut self, now: Millis, id: u64) {
        self.forget_old(now);
        if !self.ids.insert(id) {
            return;
        }
        self.by_age.push_back((now, id));
        if self.by_age.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Whether a request with this id may have been executed lately.
    pub fn contains(&mut self, now: Millis, id: u64) -> bool {
        self.forget_old(now);
        self.ids.contains(&id)
    }

    fn forget_old(&mut self, now: Millis) {
        while self.by_age.front().is_some_and(|(recorded_at, _)| is_old(now, *recorded_at)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.ids.remove(&id);
        }
    }
}

fn is_old(now: Millis, recorded_at: Millis) -> bool {
    now >= recorded_at + RETENTION_MS
}

#[cfg(test)]
mod tests;
