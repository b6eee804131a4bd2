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
    pub warm: f64,
    /// Sent more than this multiple of its present capacity over `fall_time`, a cold one falls over.
    pub fall_multiple: f64,
    /// In ms.
    pub fall_time: f64,
    /// For how long a key is remembered in the cell, in ms.
    pub memory: f64,
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
    Claim(f64),
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
    pub key: Option<String>,
    /// In ms of one core.
    pub work: f64,
}

/// What happens to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It is written whole.
    Whole,
    /// It breaks off.
    Reset,
    /// It is no JSON.
    Malformed,
}

/// Keys seen in each cell, and until when they are remembered.
pub type Memory = HashMap<(u64, String), f64>;

/// What the host carries out.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Work began; whether its effect was dropped as a repeat; tell `finished` after so many ms.
    Began { job: Job, dropped: bool, after: f64 },
    /// It was turned away unseen.
    Full { attempt: u64 },
    /// Too much was sent to it while cold: it is down from now on.
    Fell,
}

/// The state of a node.
#[derive(Debug)]
pub struct Node {
    pub spec: NodeSpec,
    pub up: bool,
    started: f64,
    cold: bool,
    running: usize,
    waiting: VecDeque<Job>,
    stalled: bool,
    refusing: bool,
    slow: f64,
    reset: f64,
    malformed: f64,
    pub claim: f64,
    pub oversize: usize,
    got: VecDeque<(f64, f64)>,
}

impl Node {
    pub fn new(spec: NodeSpec) -> Self {
        let (waiting, got) = Default::default();
        let (up, cold, running, stalled, refusing) = (true, false, 0, false, false);
        let (slow, reset, malformed, claim, oversize) = (1.0, 0.0, 0.0, 1.0, 0);
        Self {
            spec,
            up,
            started: 0.0,
            cold,
            running,
            waiting,
            stalled,
            refusing,
            slow,
            reset,
            malformed,
            claim,
            oversize,
            got,
        }
    }

    /// The share of its capacity that it has.
    fn warmth(&self, now: f64) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = ((now - self.started) / self.spec.warm).clamp(0.0, 1.0);
        self.spec.cold_share + (1.0 - self.spec.cold_share) * age
    }

    /// Orders a fault. Killing and starting empty the node; the host sees to its connections.
    pub fn fault(&mut self, now: f64, fault: NodeFault, memory: &mut Memory, out: &mut Vec<NodeAction>) {
        match fault {
            NodeFault::Kill => self.clear(false),
            NodeFault::Start { cold } => {
                self.clear(true);
                (self.started, self.cold) = (now, cold);
                (self.stalled, self.refusing, self.slow) = (false, false, 1.0);
            }
            NodeFault::Stall(on) => self.stalled = on,
            NodeFault::Refuse(on) => self.refusing = on,
            NodeFault::Slow(times) => self.slow = times,
            NodeFault::Reset(share) => self.reset = share,
            NodeFault::Malformed(share) => self.malformed = share,
            NodeFault::Claim(times) => self.claim = times,
            NodeFault::Oversize(bytes) => self.oversize = bytes,
        }
        self.begin(now, memory, out);
    }

    fn clear(&mut self, up: bool) {
        self.up = up;
        self.running = 0;
        self.waiting.clear();
        self.got.clear();
    }

    /// A request came in whole.
    pub fn got(&mut self, now: f64, job: Job, memory: &mut Memory, out: &mut Vec<NodeAction>) {
        if self.cold {
            self.got.push_back((now, job.work));
            while self.got.front().is_some_and(|(at, _)| *at <= now - self.spec.fall_time) {
                self.got.pop_front();
            }
            let sent: f64 = self.got.iter().map(|(_, work)| work).sum();
            let present = self.warmth(now) * self.spec.cores as f64;
            let warm = now >= self.started + self.spec.warm;
            if !warm && sent > self.spec.fall_multiple * present * self.spec.fall_time {
                self.clear(false);
                return out.push(NodeAction::Fell);
            }
        }
        if self.refusing || self.waiting.len() >= self.spec.queue {
            return out.push(NodeAction::Full { attempt: job.attempt });
        }
        self.waiting.push_back(job);
        self.begin(now, memory, out);
    }

    fn begin(&mut self, now: f64, memory: &mut Memory, out: &mut Vec<NodeAction>) {
        while self.up && !self.stalled && self.running < self.spec.cores {
            let Some(job) = self.waiting.pop_front() else { return };
            self.running += 1;
            let after = job.work * self.slow / self.warmth(now);
            let dropped = job.key.as_ref().is_some_and(|key| {
                let until = memory.entry((self.spec.cell, key.clone())).or_insert(f64::NEG_INFINITY);
                let known = *until > now;
                if !known {
                    *until = now + self.spec.memory;
                }
                known
            });
            out.push(NodeAction::Began { job, dropped, after });
        }
    }

    /// Work is done: how its answer goes out.
    pub fn finished(
        &mut self, now: f64, random: &mut ChaCha8Rng, memory: &mut Memory, out: &mut Vec<NodeAction>,
    ) -> Manner {
        self.running = self.running.saturating_sub(1);
        self.begin(now, memory, out);
        let chance: f64 = random.random();
        if chance < self.reset {
            Manner::Reset
        } else if chance < self.reset + self.malformed {
            Manner::Malformed
        } else {
            Manner::Whole
        }
    }
}
