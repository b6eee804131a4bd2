//! Whether a request gets a further attempt, and until when an attempt may begin.

use crate::request::{Request, RequestStage};
use crate::{
    Action, AttemptEnd, AttemptOutcome, DeduplicationScope, Gateway, Idempotency, Millis, Name, RequestClass,
    RequestId,
};

/// The final response must leave this many ticks before the client's timeout: the end of an attempt is noticed up to
/// one tick late, and the response leaves up to one tick after that. In ticks, as the delay is the host's: see
/// [`crate::Settings::tick`].
const RESPONSE_MARGIN_TICKS: f64 = 2.0;
/// An idempotent request that may have been executed gets at most this many attempts: a request that two backends
/// could not serve is likely to be costly.
const MAX_IDEMPOTENT_ATTEMPTS: u32 = 2;

/// The first attempt of a request that may have been executed.
pub(crate) struct FirstExecution {
    pub sent_at: Millis,
    pub backend: Name,
}

/// Whether a further attempt is safe after `attempts` attempts.
fn is_retry_safe(possibly_executed: bool, idempotency: Idempotency, attempts: u32) -> bool {
    match idempotency {
        _ if !possibly_executed => true,
        Idempotency::WithKey => true,
        Idempotency::Idempotent => attempts < MAX_IDEMPOTENT_ATTEMPTS,
        Idempotency::NonIdempotent => false,
    }
}

/// Whether the client may safely retry a request that is rejected. A retry may reach any backend, so an idempotency
/// key helps only where all backends share it.
///
/// Harmless to retry is not the same as not executed: an idempotent request is rejected even if an attempt may have
/// been executed, since executing it once more changes nothing.
pub(crate) fn is_rejection_harmless(possibly_executed: bool, class: &RequestClass) -> bool {
    match class.idempotency {
        _ if !possibly_executed => true,
        Idempotency::Idempotent => true,
        Idempotency::WithKey => class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NonIdempotent => false,
    }
}

/// Until when an attempt may begin: while its response can still reach the client and, for a retry with an idempotency
/// key, while backends still deduplicate it. Time in the queue counts against both.
///
/// `client_deadline` is the time at which the client's timeout ends; `deduplicated_until` is `None` where no
/// deduplication window applies; `tick` is [`crate::Settings::tick`], in ms.
fn attempt_deadline(client_deadline: Millis, deduplicated_until: Option<Millis>, tick: Millis) -> Millis {
    client_deadline.min(deduplicated_until.unwrap_or(f64::INFINITY)) - RESPONSE_MARGIN_TICKS * tick
}

impl Request {
    /// The first possible execution of a request with an idempotency key: backends of its scope deduplicate further
    /// attempts.
    pub(crate) fn keyed_execution(&self, class: &RequestClass) -> Option<&FirstExecution> {
        self.first_execution.as_ref().filter(|_| class.idempotency == Idempotency::WithKey)
    }
}

impl Gateway {
    /// Handles the end of an attempt: settles its units, then sends a further attempt or the final response.
    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let id = end.id;
        let is_served = end.outcome == AttemptOutcome::Served;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.true_units.filter(|_| is_served) {
            customer.settle(true_units, request.units, &self.settings.plans[request.plan_index]);
        }
        if let Some(place) = request.customer_place.take() {
            customer.occupancy.release(place);
        }
        request.stage = RequestStage::Queued;
        if end.final_response_sent || is_served {
            let is_unsent = end.outcome == AttemptOutcome::NeverSent && request.attempts == 1;
            if is_unsent {
                // The client disconnected before anything was sent: a request that no backend received uses no units.
                customer.refund(request.units);
            }
            return self.remove_request(id);
        }
        if end.outcome.may_have_executed() && request.first_execution.is_none() {
            request.first_execution = Some(FirstExecution { sent_at: request.sent_at, backend: end.backend });
        }
        if self.may_retry(id) { self.forward_or_enqueue(id, out) } else { self.finish_unserved(id, out) }
    }

    /// Whether a request may get a further attempt.
    fn may_retry(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let idempotency = self.settings.classes[request.class_index].idempotency;
        is_retry_safe(request.first_execution.is_some(), idempotency, request.attempts)
            && self.now < self.attempt_deadline(request)
            && request.attempts < self.settings.max_attempts
    }

    /// Until when an attempt of a request may begin.
    pub(crate) fn attempt_deadline(&self, request: &Request) -> Millis {
        let class = &self.settings.classes[request.class_index];
        let first = request.keyed_execution(class);
        let deduplicated_until = first.map(|first| first.sent_at + class.deduplication_window);
        attempt_deadline(request.deadline, deduplicated_until, self.settings.tick)
    }
}
