//! A counter in this process, whose entries expire as in the shared counter.

use doorcourse::Millis;
use doorcourse_counter::CounterCall;
use std::collections::HashMap;

/// The interval at which expired entries are removed, in ms.
const REMOVE_EXPIRED_INTERVAL_MS: Millis = 1000.0;

/// A total that expires.
#[derive(Debug)]
struct Entry {
    total: f64,
    expires_at: Millis,
}

impl Entry {
    fn new(now: Millis, time_to_live: Millis) -> Self {
        Self { total: 0.0, expires_at: now + time_to_live }
    }
}

/// Counts in this process.
#[derive(Debug, Default)]
pub(crate) struct InProcessCounter {
    entries: HashMap<u64, Entry>,
    /// When expired entries were last removed.
    expired_removed_at: Millis,
}

impl InProcessCounter {
    /// Adds the amount of a call. Returns the new total.
    ///
    /// The time to live is set by the call that creates an entry and not extended by later ones, as in the shared
    /// counter.
    pub(crate) fn add(&mut self, now: Millis, call: CounterCall) -> f64 {
        if now >= self.expired_removed_at + REMOVE_EXPIRED_INTERVAL_MS {
            self.remove_expired(now);
        }
        let new_entry = || Entry::new(now, call.time_to_live);
        let entry = self.entries.entry(call.counter).or_insert_with(new_entry);
        if entry.expires_at <= now {
            *entry = new_entry();
        }
        entry.total += call.amount;
        entry.total
    }

    fn remove_expired(&mut self, now: Millis) {
        self.entries.retain(|_, entry| entry.expires_at > now);
        self.expired_removed_at = now;
    }
}
