//! Admission without the counter, while it is unavailable or when a call took too long for the requests that waited for
//! it: each gateway spends an even part of the customer's quota.

use crate::quota::customer::Customer;
use crate::quota::sampled::is_sampled;
use crate::{Action, Gateway, Millis, Plan, RequestId};

/// This gateway's even part of a customer's token bucket.
#[derive(Clone, Copy)]
pub(crate) struct FallbackBudget {
    /// Units left.
    pub units: f64,
    filled_at: Millis,
}

impl FallbackBudget {
    /// Starts with the even part of the bucket as last known.
    fn new(available_units: f64, customer_gateways: f64, now: Millis) -> Self {
        Self { units: available_units.max(0.0) / customer_gateways, filled_at: now }
    }

    /// Refills the budget by its even part of the rate, up to its even part of the burst, then spends `units` if they
    /// fit. The limit is at least `units`, so that a request larger than the even part of the burst is admitted
    /// eventually.
    fn try_spend(&mut self, units: f64, now: Millis, plan: &Plan, customer_gateways: f64) -> bool {
        let filled_units = self.units + plan.rate * (now - self.filled_at) / 1000.0 / customer_gateways;
        self.units = filled_units.min((plan.burst / customer_gateways).max(units));
        self.filled_at = now;
        let fits = self.units >= units;
        if fits {
            self.units -= units;
        }
        fits
    }
}

impl Customer {
    /// Spends from the fallback budget, which is created by the first request after the customer's last total that is
    /// decided without the counter. Spent units are reported once the counter is available again.
    fn try_spend_fallback(&mut self, units: f64, now: Millis, plan: &Plan) -> bool {
        let available_units = self.bucket.available_units;
        let customer_gateways = self.customer_gateways;
        let budget = self
            .fallback_budget
            .get_or_insert_with(|| FallbackBudget::new(available_units, customer_gateways, now));
        let fits = budget.try_spend(units, now, plan, customer_gateways);
        if fits {
            self.unreported_units += units;
            self.bucket.available_units -= units;
        }
        fits
    }
}

impl Gateway {
    /// Admits or rejects a request without the counter.
    pub(crate) fn admit_by_fallback(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[request.plan_index];
        customer.stop_waiting(id);
        if is_sampled(plan, customer.customer_gateways) {
            return self.admit_without_total(id, out);
        }
        customer.advance(self.now, plan);
        if customer.try_spend_fallback(request.units, self.now, plan) {
            return self.forward_or_enqueue(id, out);
        }
        let missing_units = request.units - customer.fallback_budget.map_or(0.0, |budget| budget.units);
        let units_per_second = plan.rate / customer.customer_gateways;
        self.reject_over_quota(id, missing_units, units_per_second, out);
    }
}
