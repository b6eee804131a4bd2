//! The state of one request, its arrival and its final response.

use crate::balancer::attempts::Place;
use crate::quota::admit::QuotaAdmission;
use crate::quota::bucket::refill_period;
use crate::quota::customer::{Customer, gateway_rank};
use crate::retry::{FirstExecution, is_rejection_harmless};
use crate::{Action, Gateway, IncomingRequest, Millis, Name, RejectReason, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// The least `Retry-After` of a request rejected for lack of capacity, as a share of the longest one.
const MIN_RETRY_AFTER_SHARE: f64 = 0.3;
/// The width of the range above [`MIN_RETRY_AFTER_SHARE`] from which this `Retry-After` is drawn uniformly, as a share
/// of the longest one: without it all clients would return at once.
const RETRY_AFTER_SPREAD: f64 = 0.4;
/// The units of a request whose estimate is not a number.
const DEFAULT_UNITS: f64 = 1.0;

/// The stage of a request that has no final response yet.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum RequestStage {
    /// It waits for the counter's response.
    #[default]
    AwaitingCounter,
    /// Its quota has admitted it; it waits for a backend.
    Queued,
    /// An attempt is in flight.
    InFlight,
}

/// A request without its final response.
#[derive(Default)]
pub(crate) struct Request {
    pub customer: Name,
    /// The index of its plan in the settings.
    pub plan_index: usize,
    /// The index of its class in the settings.
    pub class_index: usize,
    /// The units it uses, or an estimate.
    pub units: f64,
    /// The units it adds to the counter of a sampled quota: its own over its sampling probability.
    pub weighted_units: f64,
    /// Whether a sampled quota admitted it without a total.
    pub admitted_without_total: bool,
    /// Whether the client marks it as a retry.
    pub client_retry: bool,
    pub arrived_at: Millis,
    /// When the client's timeout ends.
    pub deadline: Millis,
    /// When its wait in the present stage ends.
    pub waits_until: Millis,
    pub stage: RequestStage,
    /// Its place among its customer's requests in flight, while an attempt is in flight.
    pub customer_place: Option<Place>,
    /// Attempts sent.
    pub attempts: u32,
    /// The first attempt that may have been executed.
    pub first_execution: Option<FirstExecution>,
    /// When the last attempt was sent.
    pub sent_at: Millis,
    /// The route that it is bound to; empty for none.
    pub sticky_route: Name,
}

impl Gateway {
    /// Handles a request from a client. One of an unknown class or plan is rejected.
    pub(crate) fn receive_request(&mut self, incoming: IncomingRequest, out: &mut Vec<Action>) {
        let id = incoming.id;
        let class = self.settings.classes.iter().position(|class| class.name == incoming.class);
        let plan = self.settings.plans.iter().position(|plan| plan.name == incoming.plan);
        let (Some(class_index), Some(plan_index)) = (class, plan) else {
            return reject_unknown_class_or_plan(id, out);
        };
        let units = if incoming.units.is_finite() { incoming.units.max(0.0) } else { DEFAULT_UNITS };
        let name = incoming.customer.clone();
        if !self.customers.contains_key(&name) && !self.make_room_for_customer() {
            return self.reject_without_room(id, out);
        }
        self.update_customer(&incoming, plan_index, units);
        let request = Request {
            customer: incoming.customer,
            plan_index,
            class_index,
            units,
            client_retry: incoming.client_retry,
            arrived_at: self.now,
            deadline: self.now + incoming.timeout,
            sticky_route: incoming.sticky_route,
            ..Request::default()
        };
        self.requests.insert(id, request);
        if self.admit_by_quota(id, out) == QuotaAdmission::AwaitsCounter {
            self.call_counter(&name, out);
        }
    }

    /// Rejects a request of a customer for which there is no room.
    fn reject_without_room(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let retry_after = self.settings.max_retry_after * MIN_RETRY_AFTER_SHARE;
        self.reject(id, retry_after, RejectReason::Overloaded, out);
    }

    /// Updates the plan, gateways and demand of a customer from a new request.
    fn update_customer(&mut self, incoming: &IncomingRequest, plan_index: usize, units: f64) {
        let now = self.now;
        let plans = &self.settings.plans;
        let plan = &plans[plan_index];
        let name = &incoming.customer;
        let customer =
            self.customers.entry(name.clone()).or_insert_with(|| Customer::new(name, plan_index, plan, now));
        if customer.plan_index != plan_index {
            customer.change_plan(now, &plans[customer.plan_index], plan);
            customer.plan_index = plan_index;
        }
        let gateway_count = self.settings.gateway_count;
        let customer_gateways = f64::from(incoming.gateway_count.clamp(1, gateway_count));
        let rank = gateway_rank(self.settings.gateway_index, incoming.first_gateway, gateway_count);
        customer.set_gateways(customer_gateways, rank);
        customer.demand.record(units, now, refill_period(plan));
        customer.open_requests += 1;
    }

    /// Sends the final response to a request that gets no further attempt: rejected where a retry by the client is
    /// harmless and the response can still reach it in time, else failed. "Rejected" does not mean that no backend
    /// executed the request, see [`is_rejection_harmless`].
    pub(crate) fn finish_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class_index];
        let is_harmless = is_rejection_harmless(request.first_execution.is_some(), class);
        if is_harmless && self.now < request.deadline {
            let draw = self.random.draw();
            let share = MIN_RETRY_AFTER_SHARE + RETRY_AFTER_SPREAD * draw;
            self.reject(id, self.settings.max_retry_after * share, RejectReason::Overloaded, out);
        } else {
            self.remove_request(id);
            out.push(Action::Fail { id });
        }
    }

    /// Rejects a request; `retry_after`, in ms, is limited to the longest one that clients follow.
    pub(crate) fn reject(
        &mut self, id: RequestId, retry_after: Millis, reason: RejectReason, out: &mut Vec<Action>,
    ) {
        self.remove_request(id);
        let retry_after = retry_after.clamp(0.0, self.settings.max_retry_after);
        out.push(Action::Reject { id, retry_after, reason });
    }

    /// Removes a request. Units of one that was never sent are refunded to its customer's lease.
    ///
    /// The refund also applies to units that were spent from the fallback budget or by a sampled quota, and to units
    /// that a plan without a rate never counted, since a request does not record where its units came from. The error
    /// is bounded: the lease ends with its window, and the bucket then takes back no more than fills it to the burst.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.open_requests = customer.open_requests.saturating_sub(1);
        if let Some(place) = request.customer_place {
            customer.occupancy.release(place);
        }
        match request.stage {
            RequestStage::AwaitingCounter => customer.stop_waiting(id),
            RequestStage::Queued if request.attempts == 0 => customer.refund(request.units),
            RequestStage::Queued | RequestStage::InFlight => {}
        }
    }
}

/// Rejects a request whose class or plan the settings do not name, as after a change of settings that removed it.
///
/// The reason is `Overloaded` because there is no third reason and the customer is not over its quota; the
/// `Retry-After` is 0 because no time is known after which a retry would be admitted. Hosts send both to clients, so
/// neither may change.
fn reject_unknown_class_or_plan(id: RequestId, out: &mut Vec<Action>) {
    out.push(Action::Reject { id, retry_after: 0.0, reason: RejectReason::Overloaded });
}

/// The sum of a value over requests; requests that have ended are skipped.
pub(crate) fn sum_over(
    ids: &VecDeque<RequestId>, requests: &BTreeMap<RequestId, Request>, value: impl Fn(&Request) -> f64,
) -> f64 {
    ids.iter().filter_map(|id| requests.get(id)).map(value).sum()
}
