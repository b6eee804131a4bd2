//! Timers in a heap. A timer cannot be cancelled: its owner ignores it when it expires and is no longer needed.

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
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T> Timers<T> {
    /// Schedules a timer; `value` is returned when it has expired.
    pub fn schedule(&mut self, deadline: f64, value: T) {
        self.sequence += 1;
        self.heap.push(Reverse(Entry { deadline, sequence: self.sequence, value }));
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
