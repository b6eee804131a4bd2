//! A stand-in node, without I/O: cores, a queue, warming after a start, keyed memory by cell, and faults.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};

/// What a node is like.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Its name.
    pub name: String,
    /// Its cell.
    pub cell: u64,
    /// How many requests it works on at once.
    pub cores: usize,
    /// How many may wait; more are turned away with 429.
    pub queue: usize,
    /// The share of its capacity that a cold one starts with.
    pub cold_share: f64,
    /// It is warm after this, in ms.
    pub warm_up_ms: f64,
    /// Sent more than this multiple of its present capacity over `fall_time`, a cold one falls over.
    pub fall_multiple: f64,
    /// In ms.
    pub fall_window_ms: f64,
    /// For how long a key is remembered in the cell, in ms.
    pub key_retention_ms: f64,
}

/// What a node may be made to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeFault {
    /// It dies: its connections break and none is taken.
    Kill,
    /// It starts again, cold or warm.
    Start {
        /// Whether it is cold.
        cold: bool,
    },
    /// It accepts and reads and works on nothing, until told otherwise.
    Stall(bool),
    /// It turns everything away with 429.
    Refuse(bool),
    /// Its work takes this many times as long.
    Slow(f64),
    /// This share of its answers breaks off in the middle.
    Reset(f64),
    /// This share of its answers is no JSON.
    Malformed(f64),
    /// Its claim of the cost is this many times what it returned.
    MisreportCost(f64),
    /// Texts in its answers are this many bytes longer.
    Oversize(usize),
}

/// Work that a node has.
#[derive(Clone, Debug)]
pub struct Job {
    /// The attempt's number.
    pub attempt: u64,
    /// The request's name.
    pub id: String,
    /// The client's key, where it has one.
    pub idempotency_key: Option<String>,
    /// In ms of one core.
    pub work_ms: f64,
}

/// What happens to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// It is written whole.
    Complete,
    /// It breaks off.
    Reset,
    /// It is no JSON.
    Malformed,
}

/// Keys seen in each cell, and until when they are remembered.
pub type IdempotencyKeys = HashMap<(u64, String), f64>;

/// What the host carries out.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Work began; whether its effect was dropped as a repeat; tell `finished` after so many ms.
    Started { job: Job, dropped: bool, duration_ms: f64 },
    /// It was turned away unseen.
    Rejected { attempt: u64 },
    /// Too much was sent to it while cold: it is down from now on.
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

    /// The share of its capacity that it has.
    fn capacity_share(&self, now: f64) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = ((now - self.started) / self.spec.warm_up_ms).clamp(0.0, 1.0);
        self.spec.cold_share + (1.0 - self.spec.cold_share) * age
    }

    /// Orders a fault. Killing and starting empty the node; the host sees to its connections.
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

    /// A request came in whole.
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

    /// Work is done: how its answer goes out.
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
