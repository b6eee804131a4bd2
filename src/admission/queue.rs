//! The queue of requests that wait for a backend or for their customer's limit, and the timers of requests that wait.

use crate::request::RequestStage;
use crate::{Action, Gateway, Millis, RequestId};

/// A request waits in the queue at most this share of its latency objective.
const QUEUE_TIMEOUT_SHARE: f64 = 0.3;
/// A timer may expire this much before its time, in ms: the limit of the clock's precision.
const TIMER_EPSILON: Millis = 1e-6;
/// Timers of requests have the token `id * 2`; odd tokens are left for timers of the gateway.
const TIMER_TOKENS_PER_REQUEST: u64 = 2;

/// The request that a timer's token belongs to.
pub(crate) fn request_of_token(token: u64) -> RequestId {
    token / TIMER_TOKENS_PER_REQUEST
}

impl Gateway {
    /// Forwards a request or puts it into the queue. A request without an attempt so far gets its final response at
    /// once if it is shed, or if the queue already holds as many requests as can be in flight, since it would not be
    /// served in time. So does any request whose time in the queue is already over.
    pub(crate) fn forward_or_enqueue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = RequestStage::Queued;
        let is_first_attempt = request.attempts == 0;
        let class_index = request.class_index;
        let admitted_without_total = request.admitted_without_total;
        if is_first_attempt && !self.admits_first_attempt(class_index, admitted_without_total) {
            return self.finish_unserved(id, out);
        }
        if self.try_forward(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let waits_since = if is_first_attempt { request.arrived_at } else { self.now };
        let until = waits_since + self.settings.classes[class_index].latency_objective * QUEUE_TIMEOUT_SHARE;
        if until <= self.now || is_first_attempt && self.is_queue_full() {
            return self.finish_unserved(id, out);
        }
        self.queue.insert(self.queue_position(class_index), id);
        self.start_wait(id, RequestStage::Queued, until, out);
    }

    /// Whether the queue is as long as what may be in flight at all backends.
    fn is_queue_full(&self) -> bool {
        self.queue.len() as f64 >= self.total_concurrency_limit().max(1.0)
    }

    /// Where a request of a class enters the queue: before all of lower priority, behind all others.
    fn queue_position(&self, class_index: usize) -> usize {
        let priority_of = |class_index: usize| self.settings.classes[class_index].priority_weight;
        let priority = priority_of(class_index);
        let has_lower_priority = |queued: &RequestId| {
            self.requests.get(queued).is_some_and(|request| priority_of(request.class_index) < priority)
        };
        self.queue.iter().position(has_lower_priority).unwrap_or(self.queue.len())
    }

    /// Forwards all queued requests that can be forwarded now, in their order.
    pub(crate) fn forward_queued(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            let is_queued =
                self.requests.get(&id).is_some_and(|request| request.stage == RequestStage::Queued);
            if is_queued && !self.try_forward(id, out) {
                self.queue.push_back(id);
            }
        }
    }

    /// Lets a request wait in a stage until a given time, but not beyond the last time at which an attempt may begin.
    pub(crate) fn start_wait(
        &mut self, id: RequestId, stage: RequestStage, until: Millis, out: &mut Vec<Action>,
    ) {
        let Some(last) = self.requests.get(&id).map(|request| self.attempt_deadline(request)) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.waits_until = until.min(last);
        let after = (request.waits_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * TIMER_TOKENS_PER_REQUEST });
    }

    /// Handles the timer of a waiting request: one in the queue gets its final response, one that waits for the counter
    /// is admitted or rejected without a total. Timers of earlier waits are ignored.
    pub(crate) fn wait_expired(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_over = self.now + TIMER_EPSILON >= request.waits_until;
        if !is_over {
            return;
        }
        match request.stage {
            RequestStage::Queued => self.finish_unserved(id, out),
            RequestStage::AwaitingCounter => self.admit_by_fallback(id, out),
            RequestStage::InFlight => {}
        }
    }
}
