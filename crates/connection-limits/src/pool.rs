//! The connections of one node as its requests see them: which one is taken, how many are on their way, who waits, and
//! which are closed. It opens and closes nothing; connections are numbers of the host's.

use doorcourse::{Millis, RequestId};
use std::collections::VecDeque;

/// An idle connection is closed after this share of the time after which the node would: a request written to one
/// that was just closed may have run.
const RETIRE: f64 = 0.7;
/// Connections to one node that are on their way at once: each costs it work.
const DIALS: usize = 4;

/// How long a connection may stand idle before it is closed here, where the node closes it after `keepalive`; a node
/// that states no time keeps it.
#[must_use]
pub fn idle_limit(keepalive: Millis) -> Millis {
    if keepalive > 0.0 { keepalive * RETIRE } else { f64::INFINITY }
}

/// The connections of one start of one node at one address. Another start, or the same at another address, has another
/// pool: what was made for the one before carries nothing for it, and is not what its requests wait for.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    /// Which of the starts and addresses that the host has heard of, in all.
    incarnation: u64,
    /// Those that stand idle and since when, the one used last behind.
    idle: Vec<(usize, Millis)>,
    waiting: VecDeque<RequestId>,
    dialing: usize,
    busy: usize,
}

impl ConnectionPool {
    /// The pool of this incarnation, whose number no other has.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Which incarnation its connections are made for.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// A connection for a request: the one used last, so that those not needed age and go. Such as stood idle for too
    /// long are given as `old`, to be closed. It counts as busy from here on.
    pub fn take_idle(&mut self, now: Millis, keep: Millis, old: &mut Vec<usize>) -> Option<usize> {
        while let Some((at, since)) = self.idle.pop() {
            if now < since + keep {
                self.busy += 1;
                return Some(at);
            }
            old.push(at);
        }
        None
    }

    /// A request waits for a connection.
    pub fn enqueue(&mut self, request: RequestId) {
        self.waiting.push_back(request);
    }

    /// A request waits no more.
    pub fn cancel_wait(&mut self, request: RequestId) {
        self.waiting.retain(|w| *w != request);
    }

    /// The request that has waited longest, which cannot be served here.
    pub fn pop_waiting(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }

    /// All that waits and all that is idle, which is given up: the node must not have it, or is another now.
    pub fn withdraw_all(&mut self) -> (Vec<RequestId>, Vec<usize>) {
        (self.waiting.drain(..).collect(), self.idle.drain(..).map(|(at, _)| at).collect())
    }

    /// Whether one more connection is to be made: as many as requests wait for, within the bound.
    #[must_use]
    pub fn needs_connection(&self) -> bool {
        self.dialing < self.waiting.len().min(DIALS)
    }

    /// A connection is on its way.
    pub fn connect_started(&mut self) {
        self.dialing += 1;
    }

    /// It is up or will not be.
    pub fn connect_ended(&mut self) {
        self.dialing -= 1;
    }

    /// A connection is free, after a request or fresh: for the request that has waited longest, which it then carries,
    /// else it stands idle.
    pub fn release(&mut self, now: Millis, at: usize) -> Option<RequestId> {
        let next = self.waiting.pop_front();
        match next {
            Some(_) => self.busy += 1,
            None => self.idle.push((at, now)),
        }
        next
    }

    /// A connection's request is over, and it is free or gone.
    pub fn request_ended(&mut self) {
        self.busy -= 1;
    }

    /// An idle connection is gone.
    pub fn remove_idle(&mut self, at: usize) {
        self.idle.retain(|(idle, _)| *idle != at);
    }

    /// The connection that has stood idle longest, and since when.
    #[must_use]
    pub fn longest_idle(&self) -> Option<(usize, Millis)> {
        self.idle.first().copied()
    }

    /// Requests that wait, connections on their way, busy and idle.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        (self.waiting.len(), self.dialing, self.busy, self.idle.len())
    }

    /// Whether nothing of the node is left here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts() == (0, 0, 0, 0)
    }
}

#[cfg(test)]
mod tests;
