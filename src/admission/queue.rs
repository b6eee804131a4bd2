//! The queue of requests that wait for a backend.

use crate::request::{Request, Stage};
use crate::*;

/// A request is held (for its open cap, for a backend with room) at most this share of its aim.
pub(crate) const HOLD_SHARE: f64 = 0.3;

impl Gateway {
    pub(crate) fn start_wait(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let Some(last) = self.requests.get(&id).map(|r| self.attempt_deadline(r)) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.waits_until = until.min(last);
        let after = (request.waits_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Sends a request on, or has it wait in line: those worth more first. Refuses early in overload: a line
    /// longer than what is out would not be served in time.
    pub(crate) fn forward_or_enqueue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        let (fresh, class, blind) =
            (request.attempts == 0, request.class_index, request.admitted_without_total);
        if fresh && !self.admits_first_attempt(class, blind) {
            return self.finish_unserved(id, out);
        }
        if self.try_forward(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let hold = self.settings.classes[request.class_index].latency_objective * HOLD_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.total_concurrency_limit().max(1.0) {
            return self.finish_unserved(id, out);
        }
        let worth = |r: &Request| self.settings.classes[r.class_index].priority_weight;
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.start_wait(id, Stage::Queued, until, out);
    }

    pub(crate) fn forward_queued(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queued) && !self.try_forward(id, out)
            {
                self.queue.push_back(id);
            }
        }
    }

    pub(crate) fn wait_expired(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let over = self.now + 1e-6 >= request.waits_until;
        match request.stage {
            Stage::Queued if over => self.finish_unserved(id, out),
            Stage::AwaitingLease if over => self.admit_by_fallback(id, out),
            _ => {}
        }
    }
}
