//! A request's arrival and its final response.

use crate::quota::customer::Customer;
use crate::random::hash;
use crate::*;

/// Demand is smoothed over this share of a turn.
pub(crate) const DEMAND_SHARE: f64 = 0.5;

impl Gateway {
    pub(crate) fn receive_request(&mut self, arrival: IncomingRequest, out: &mut Vec<Action>) {
        let IncomingRequest { id, customer: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(Action::Reject { id, retry_after: 0.0, reason: RejectReason::Overloaded });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let (arrived, deadline) = (now, now + arrival.timeout);
        let (customer, repeat, bound) = (name.clone(), arrival.client_retry, arrival.sticky_route);
        let rest = Request { arrived, deadline, sticky_route: bound, ..Request::default() };
        self.requests.insert(
            id,
            Request { customer, plan_index: plan, class_index: class, units, client_retry: repeat, ..rest },
        );
        let customer = self.customers.entry(name.clone()).or_insert_with(|| {
            let (salt, store) = (hash(&name) >> 8, Customer::initial_units(&self.settings.plans[plan]));
            Customer {
                plan_index: plan,
                name_hash: salt,
                available_units: store,
                filled_at: now,
                demand_at: now,
                ..Customer::default()
            }
        });
        if customer.plan_index != plan {
            customer.change_plan(now, &self.settings.plans[customer.plan_index], &self.settings.plans[plan]);
            customer.plan_index = plan;
        }
        let gateways = self.settings.gateway_count;
        let spread = f64::from(arrival.gateway_count.clamp(1, gateways));
        // More gateways share what is left of the slice; fewer let it grow by the rate alone.
        let share =
            if customer.gateway_count > 0.0 { (customer.gateway_count / spread).min(1.0) } else { 1.0 };
        customer.fallback_budget = customer.fallback_budget.map(|(held, at)| (held * share, at));
        customer.gateway_count = spread;
        customer.gateway_rank =
            (self.settings.gateway_index + gateways - arrival.first_gateway % gateways) % gateways;
        let span = Customer::refill_period(&self.settings.plans[plan]) * DEMAND_SHARE;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit_by_quota(id, out) {
            self.call_counter(&name, out);
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is harmless.
    pub(crate) fn finish_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class_index];
        let harmless = request.possibly_executed.is_none()
            || class.idempotency == Idempotency::Idempotent
            || (class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.draw());
            self.reject(id, wait, RejectReason::Overloaded, out);
        } else {
            self.remove_request(id);
            out.push(Action::Fail { id });
        }
    }

    pub(crate) fn reject(&mut self, id: RequestId, wait: Millis, why: RejectReason, out: &mut Vec<Action>) {
        self.remove_request(id);
        out.push(Action::Reject {
            id,
            retry_after: wait.clamp(0.0, self.settings.max_retry_after),
            reason: why,
        });
    }

    /// Units of a request that was never sent go back to its customer's block.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::AwaitingLease => customer.waiting.retain(|w| *w != id),
            Stage::InFlight => customer.in_flight = customer.in_flight.saturating_sub(1),
            Stage::Queued if request.attempts == 0 => customer.leased_units += request.units,
            Stage::Queued => {}
        }
    }
}

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Stage {
    #[default]
    AwaitingLease,
    Queued,
    InFlight,
}

#[derive(Default)]
pub(crate) struct Request {
    pub customer: Name,
    pub plan_index: usize,
    pub class_index: usize,
    pub units: f64,
    /// What it adds to a thin customer's count: itself and those like it that are not asked about.
    pub weighted_units: f64,
    /// Let in without a total of its customer; the client has asked for the same before.
    pub admitted_without_total: bool,
    pub client_retry: bool,
    pub arrived: Millis,
    pub deadline: Millis,
    pub waits_until: Millis,
    pub stage: Stage,
    pub attempts: u32,
    pub possibly_executed: Option<(Millis, Name)>,
    pub sent_at: Millis,
    pub sticky_route: Name,
}
