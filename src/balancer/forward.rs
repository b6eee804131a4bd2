//! Forwards a request to a backend.

use crate::request::RequestStage;
use crate::{Action, Gateway, Idempotency, RequestId};

impl Gateway {
    /// Sends an attempt of a request where time, its customer's limit and a backend allow. Returns whether it was
    /// sent.
    pub(crate) fn try_forward(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let time_left = self.attempt_deadline(request) - self.now;
        let is_in_time = request.attempts == 0 || time_left > 0.0;
        if !is_in_time || !self.is_below_in_flight_limit(id) {
            return false;
        }
        let Some(name) = self.select_backend(id) else { return false };
        if !self.begin_attempt(id, &name) {
            return false;
        }
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let customer = self.customers.get_mut(&request.customer);
        request.customer_place = customer.map(|customer| customer.occupancy.take());
        request.stage = RequestStage::InFlight;
        request.sent_at = self.now;
        request.attempts += 1;
        let has_key = self.settings.classes[request.class_index].idempotency == Idempotency::WithKey;
        let must_be_written_within = (has_key && request.first_execution.is_some()).then_some(time_left);
        out.push(Action::SendAttempt { id, backend: name, timeout: None, must_be_written_within });
        true
    }
}
