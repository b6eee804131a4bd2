//! Timers in a heap. They are not withdrawn: whoever set one disregards it when it is of no use any more.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Debug)]
struct Entry<T> {
    at: f64,
    order: u64,
    what: T,
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
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// Timers by time, those of one time in the order they were set.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    order: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), order: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: f64, what: T) {
        self.order += 1;
        self.heap.push(Reverse(Entry { at, order: self.order, what }));
    }

    /// When the first is due.
    #[must_use]
    pub fn first(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.0.at)
    }

    /// Takes the first if it is due.
    pub fn due(&mut self, now: f64) -> Option<T> {
        if self.first()? <= now { self.heap.pop().map(|e| e.0.what) } else { None }
    }
}
