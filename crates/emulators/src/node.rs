//! State machine of an emulated node, without I/O: cores, a queue, cold start, idempotency keys per cell, and faults.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};

/// Properties of an emulated node.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Name of the node.
    pub name: String,
    /// Cell of the node.
    pub cell: u64,
    /// Number of requests that are processed concurrently.
    pub cores: usize,
    /// Maximum number of waiting requests; further ones are rejected with status 429.
    pub queue: usize,
    /// Share of its capacity that a cold node starts with, 0 to 1.
    pub cold_share: f64,
    /// Time from a cold start until the node is warm.
    pub warm_up_ms: f64,
    /// A cold node crashes when it is sent more than this multiple of its current capacity within `fall_window_ms`.
    pub fall_multiple: f64,
    /// Window over which the work sent to a cold node is summed.
    pub fall_window_ms: f64,
    /// How long the cell remembers an idempotency key.
    pub key_retention_ms: f64,
}

/// A fault to inject into a node, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeFault {
    /// The node stops: its connections are reset and new ones are refused.
    Kill,
    /// The node starts again, without `Stall`, `Refuse` and `Slow`.
    Start {
        /// Whether it starts cold.
        cold: bool,
    },
    /// The node accepts and reads requests but processes none, while set.
    Stall(bool),
    /// The node rejects every request with status 429, while set.
    Refuse(bool),
    /// Factor on the service time.
    Slow(f64),
    /// Probability that the connection is closed in the middle of a response, 0 to 1.
    Reset(f64),
    /// Probability that a response is not valid JSON, 0 to 1.
    Malformed(f64),
    /// Factor between the cost that a response reports and the actual cost of its data.
    MisreportCost(f64),
    /// Number of bytes that are appended to each text of a response; a number from 1 to 63 counts as 64. 0 ends the
    /// fault: then 64 bytes are appended to the field `waveform` only.
    Oversize(usize),
}

/// A request that waits for a core or is being processed.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the attempt.
    pub attempt: u64,
    /// Identifier of the request.
    pub id: String,
    /// Idempotency key of the request, if it has one.
    pub idempotency_key: Option<String>,
    /// Time that one core of a warm node takes at normal speed.
    pub work_ms: f64,
}

/// How a reply is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// In full.
    Complete,
    /// In part, then the connection is closed.
    Reset,
    /// As invalid JSON.
    Malformed,
}

/// Expiry times of idempotency keys, by cell and key.
pub type IdempotencyKeys = HashMap<(u64, String), f64>;

/// An action that the caller carries out for the node.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Processing began: call `request_finished` after `duration_ms`. `dropped` tells whether the effect of the request
    /// was dropped as a duplicate.
    Started { job: Job, dropped: bool, duration_ms: f64 },
    /// The request was rejected without processing.
    Rejected { attempt: u64 },
    /// The node was overloaded while cold and is down from now on.
    Crashed,
}

/// The state of a node.
#[derive(Debug)]
pub struct Node {
    pub spec: NodeSpec,
    pub up: bool,
    started: f64,
    cold: bool,
    running: usize,
    queue: VecDeque<Job>,
    stalled: bool,
    refusing: bool,
    slowdown: f64,
    reset_share: f64,
    malformed_share: f64,
    pub cost_factor: f64,
    pub extra_text_bytes: usize,
    /// Arrival time and work, in ms, of each request in the last `fall_window_ms`, if the node was started cold.
    recent_work: VecDeque<(f64, f64)>,
}

impl Node {
    pub fn new(spec: NodeSpec) -> Self {
        let (queue, recent_work) = Default::default();
        let (up, cold, running, stalled, refusing) = (true, false, 0, false, false);
        let (slowdown, reset_share, malformed_share, cost_factor, extra_text_bytes) = (1.0, 0.0, 0.0, 1.0, 0);
        Self {
            spec,
            up,
            started: 0.0,
            cold,
            running,
            queue,
            stalled,
            refusing,
            slowdown,
            reset_share,
            malformed_share,
            cost_factor,
            extra_text_bytes,
            recent_work,
        }
    }

    /// Returns the share of its capacity that the node has now, 0 to 1.
    fn capacity_share(&self, now: f64) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = ((now - self.started) / self.spec.warm_up_ms).clamp(0.0, 1.0);
        self.spec.cold_share + (1.0 - self.spec.cold_share) * age
    }

    /// Applies a fault. `Kill` and `Start` discard all requests; the caller closes the connections.
    pub fn apply_fault(
        &mut self, now: f64, fault: NodeFault, idempotency_keys: &mut IdempotencyKeys,
        out: &mut Vec<NodeAction>,
    ) {
        match fault {
            NodeFault::Kill => self.clear_work(false),
            NodeFault::Start { cold } => {
                self.clear_work(true);
                (self.started, self.cold) = (now, cold);
                (self.stalled, self.refusing, self.slowdown) = (false, false, 1.0);
            }
            NodeFault::Stall(on) => self.stalled = on,
            NodeFault::Refuse(on) => self.refusing = on,
            NodeFault::Slow(times) => self.slowdown = times,
            NodeFault::Reset(share) => self.reset_share = share,
            NodeFault::Malformed(share) => self.malformed_share = share,
            NodeFault::MisreportCost(times) => self.cost_factor = times,
            NodeFault::Oversize(bytes) => self.extra_text_bytes = bytes,
        }
        self.start_waiting(now, idempotency_keys, out);
    }

    fn clear_work(&mut self, up: bool) {
        self.up = up;
        self.running = 0;
        self.queue.clear();
        self.recent_work.clear();
    }

    /// Handles a request that has been read completely.
    pub fn request_received(
        &mut self, now: f64, job: Job, idempotency_keys: &mut IdempotencyKeys, out: &mut Vec<NodeAction>,
    ) {
        if self.cold {
            self.recent_work.push_back((now, job.work_ms));
            while self.recent_work.front().is_some_and(|(at, _)| *at <= now - self.spec.fall_window_ms) {
                self.recent_work.pop_front();
            }
            let sent: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
            let present = self.capacity_share(now) * self.spec.cores as f64;
            let warm = now >= self.started + self.spec.warm_up_ms;
            if !warm && sent > self.spec.fall_multiple * present * self.spec.fall_window_ms {
                self.clear_work(false);
                return out.push(NodeAction::Crashed);
            }
        }
        if self.refusing || self.queue.len() >= self.spec.queue {
            return out.push(NodeAction::Rejected { attempt: job.attempt });
        }
        self.queue.push_back(job);
        self.start_waiting(now, idempotency_keys, out);
    }

    fn start_waiting(&mut self, now: f64, idempotency_keys: &mut IdempotencyKeys, out: &mut Vec<NodeAction>) {
        while self.up && !self.stalled && self.running < self.spec.cores {
            let Some(job) = self.queue.pop_front() else { return };
            self.running += 1;
            let duration_ms = job.work_ms * self.slowdown / self.capacity_share(now);
            let dropped = job.idempotency_key.as_ref().is_some_and(|key| {
                let until =
                    idempotency_keys.entry((self.spec.cell, key.clone())).or_insert(f64::NEG_INFINITY);
                let duplicate = *until > now;
                if !duplicate {
                    *until = now + self.spec.key_retention_ms;
                }
                duplicate
            });
            out.push(NodeAction::Started { job, dropped, duration_ms });
        }
    }

    /// Frees the core of a finished request and returns how its reply is sent.
    pub fn request_finished(
        &mut self, now: f64, rng: &mut ChaCha8Rng, idempotency_keys: &mut IdempotencyKeys,
        out: &mut Vec<NodeAction>,
    ) -> ReplyOutcome {
        self.running = self.running.saturating_sub(1);
        self.start_waiting(now, idempotency_keys, out);
        let draw: f64 = rng.random();
        if draw < self.reset_share {
            ReplyOutcome::Reset
        } else if draw < self.reset_share + self.malformed_share {
            ReplyOutcome::Malformed
        } else {
            ReplyOutcome::Complete
        }
    }
}
