//! The records of a run of the fleet, and the checks on them.

use crate::rig::{Backend, Shared};
use crate::{CLIENTS, DRAIN_GRACE, SLACK};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An attempt started this long after its client disconnected is late: the limit is 0.1 s, and the third late one is a
/// violation.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(400);

/// A request as its client saw it.
pub struct RequestRecord {
    pub id: String,
    pub gateway: SocketAddr,
    pub outcome: Outcome,
}

pub enum Outcome {
    Answered,
    /// The connection closed without a response.
    Lost,
    /// The client disconnected at that time.
    Disconnected(Instant),
}

pub type Arrivals = Arc<Shared<Vec<(String, Instant)>>>;

/// The records of one run, and the times of its events.
pub struct RunRecords<'a> {
    pub seed: u64,
    pub requests: &'a [RequestRecord],
    pub killed_gateways: &'a HashSet<SocketAddr>,
    /// The gateway that was stopped while discovery returned, and when it resumed.
    pub stopped_gateway: SocketAddr,
    pub resumed_at: Instant,
    /// The arrivals at the backend that hangs.
    pub hanging_arrivals: &'a Arrivals,
    /// The other backends: when discovery returns, the first drains and the second moves to the address of the last.
    pub responding: &'a [(Backend, Arrivals)],
    pub discovery_returned_at: Instant,
}

impl RunRecords<'_> {
    /// Returns requests without a response, late attempts, and attempts at a backend that must not receive them.
    pub fn violations(&self) -> Vec<String> {
        let seed = self.seed;
        let mut violations = Vec::new();
        let mut disconnected: HashMap<&str, Instant> = HashMap::new();
        let mut answered = 0;
        let mut lost = 0;
        for request in self.requests {
            match request.outcome {
                Outcome::Answered => answered += 1,
                Outcome::Lost if self.killed_gateways.contains(&request.gateway) => lost += 1,
                Outcome::Lost => violations.push(format!("seed {seed}: no response to {}", request.id)),
                Outcome::Disconnected(at) => drop(disconnected.insert(&request.id, at)),
            }
        }
        let mut late = self.attempts_after_the_disconnect(&disconnected);
        let started_late = late.len();
        if started_late > 2 {
            violations.append(&mut late);
        }
        violations.extend(self.attempts_after_the_drain_or_move());
        let moved_to = self.responding[4].0.command_count();
        assert!(moved_to > 0, "nothing was sent to the new address of the second");
        eprintln!(
            "seed {seed}: {} requests, {answered} answered, {lost} lost with killed gateways, {} of clients that \
             disconnected, {started_late} started late, {} violations",
            self.requests.len(),
            disconnected.len(),
            violations.len()
        );
        assert!(answered > CLIENTS * 20 && disconnected.len() > CLIENTS * 4, "hardly any request was sent");
        violations
    }

    fn attempts_after_the_disconnect(&self, disconnected: &HashMap<&str, Instant>) -> Vec<String> {
        let seed = self.seed;
        let mut late = Vec::new();
        for arrivals in self.responding.iter().map(|(_, arrivals)| arrivals).chain([self.hanging_arrivals]) {
            arrivals.update(|arrivals| {
                for (id, arrived_at) in arrivals.iter() {
                    let disconnected_at = disconnected.get(id.as_str());
                    let after = disconnected_at.map_or(Duration::ZERO, |at| arrived_at.duration_since(*at));
                    if after > DISCONNECT_LIMIT {
                        late.push(format!(
                            "seed {seed}: attempt of {id} started {after:?} after its client had disconnected"
                        ));
                    }
                }
            });
        }
        late
    }

    /// The first backend drains, the second has moved: neither may receive any more attempts. The gateway that was
    /// stopped is notified when it resumes.
    fn attempts_after_the_drain_or_move(&self) -> Vec<String> {
        let seed = self.seed;
        let returned_at = self.discovery_returned_at;
        let by_stopped_gateway =
            |id: &str| self.requests.iter().any(|r| r.id == id && r.gateway == self.stopped_gateway);
        let mut violations = Vec::new();
        for (what, (_, arrivals)) in ["drained", "moved"].iter().zip(self.responding) {
            arrivals.update(|arrivals| {
                let is_late = |at: Instant| at > returned_at + DRAIN_GRACE + SLACK;
                for (id, arrived_at) in arrivals.iter().filter(|(_, at)| is_late(*at)) {
                    let after = arrived_at.duration_since(returned_at);
                    let is_late_after_resume = *arrived_at > self.resumed_at + DRAIN_GRACE + SLACK;
                    if is_late_after_resume || !by_stopped_gateway(id) {
                        violations.push(format!(
                            "seed {seed}: {id} was sent to a backend {after:?} after it {what}"
                        ));
                    }
                }
            });
        }
        violations
    }
}
