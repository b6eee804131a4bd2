//! Timers in a heap. A timer is not cancelled: its owner ignores it when it expires and is no longer needed. Those that
//! are no longer needed are removed together, once there are many of them.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Debug)]
struct Entry<T> {
    deadline: f64,
    sequence: u64,
    value: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.deadline.total_cmp(&other.deadline).then(self.sequence.cmp(&other.sequence))
    }
}

/// Timers in order of their deadlines; timers with the same deadline in the order in which they were scheduled.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    sequence: u64,
    /// How many timers were left when those not needed were last removed.
    needed: usize,
}

/// Fewer timers than this are never examined.
const MIN_EXAMINED: usize = 1024;

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0, needed: 0 }
    }
}

impl<T> Timers<T> {
    /// Schedules a timer; `value` is returned when it has expired.
    pub fn schedule(&mut self, deadline: f64, value: T) {
        self.sequence += 1;
        self.heap.push(Reverse(Entry { deadline, sequence: self.sequence, value }));
    }

    /// Removes the timers that are not needed, if their number may have doubled since the last time. So the timers of
    /// requests that have ended take no more memory than those of open ones, however far their deadlines are.
    pub fn remove_unneeded(&mut self, is_needed: impl Fn(&T) -> bool) {
        if self.heap.len() < (2 * self.needed).max(MIN_EXAMINED) {
            return;
        }
        self.heap.retain(|entry| is_needed(&entry.0.value));
        self.heap.shrink_to(2 * self.heap.len());
        self.needed = self.heap.len();
    }

    /// How many timers are scheduled.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is scheduled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// The earliest deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.0.deadline)
    }

    /// Removes the earliest timer if its deadline has passed, and returns its value.
    pub fn pop_expired(&mut self, now: f64) -> Option<T> {
        if self.next_deadline()? <= now { self.heap.pop().map(|e| e.0.value) } else { None }
    }
}

#[cfg(test)]
mod tests;
