//! Which attempt may follow, and until when.

use crate::request::{Request, Stage};
use crate::*;

/// An answer must leave this many ticks before the client's patience ends.
pub(crate) const LAST_TICKS: f64 = 2.0;
/// A safe request that may have run is tried this often at most: what two backends cannot do is costly.
pub(crate) const REPEAT_MOST: u32 = 2;

impl Gateway {
    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.true_units.filter(|_| outcome == AttemptOutcome::Served) {
            // A ceiling goes by the guess: under one, nothing comes back that could be sent on above it.
            let least = if self.settings.plans[request.plan_index].ceiling_rate > 0.0 {
                0.0
            } else {
                f64::NEG_INFINITY
            };
            let more = (true_units - request.units).max(least);
            // What the store cannot bear comes out of the block in hand, which is counted already: none is
            // spent while the account is below nothing. Guards against prices that are far too low.
            let paid = (more - customer.available_units.max(0.0)).clamp(0.0, customer.leased_units.max(0.0));
            let more = more - paid;
            customer.leased_units -= paid;
            (customer.unreported_units, customer.available_units) =
                (customer.unreported_units + more, customer.available_units - more);
        }
        customer.in_flight = customer.in_flight.saturating_sub(1);
        request.stage = Stage::Queued;
        if end.final_response_sent || outcome == AttemptOutcome::Served {
            // Nothing was written before its client had gone: what no backend heard of is not used.
            request.attempts -= u32::from(outcome == AttemptOutcome::NeverSent);
            return self.remove_request(id);
        }
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        );
        if !never_ran && request.possibly_executed.is_none() {
            request.possibly_executed = Some((request.sent_at, end.backend));
        }
        if self.may_retry(id) { self.forward_or_enqueue(id, out) } else { self.finish_unserved(id, out) }
    }

    pub(crate) fn may_retry(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let allowed =
            match (&request.possibly_executed, self.settings.classes[request.class_index].idempotency) {
                (None, _) | (_, Idempotency::WithKey) => true,
                (_, Idempotency::Idempotent) => request.attempts < REPEAT_MOST,
                (Some(_), Idempotency::NonIdempotent) => false,
            };
        allowed && self.now < self.attempt_deadline(request) && request.attempts < self.settings.max_attempts
    }

    /// Until when an attempt may begin: while an answer can come, and a keyed repeat while it is dropped as
    /// such. Guards repeats that waited in line past their window.
    pub(crate) fn attempt_deadline(&self, request: &Request) -> Millis {
        let class = &self.settings.classes[request.class_index];
        let first = request.possibly_executed.as_ref().filter(|_| class.idempotency == Idempotency::WithKey);
        let dropped = first.map_or(f64::INFINITY, |(sent, _)| sent + class.deduplication_window);
        request.deadline.min(dropped) - LAST_TICKS * self.settings.tick
    }
}
