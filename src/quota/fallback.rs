//! The quota while the counter does not answer.

use crate::quota::customer::Customer;
use crate::*;

impl Customer {
    /// Spends from the even slice, which starts from the store as last known: the silence rule.
    pub(crate) fn spend_fallback_budget(&mut self, units: f64, now: Millis, plan: &Plan) -> bool {
        let (held, at) =
            self.fallback_budget.unwrap_or((self.available_units.max(0.0) / self.gateway_count, now));
        let filled = held + plan.rate * (now - at) / 1000.0 / self.gateway_count;
        let held = filled.min((plan.burst / self.gateway_count).max(units));
        let fits = held >= units;
        let used = if fits { units } else { 0.0 };
        self.fallback_budget = Some((held - used, now));
        (self.unreported_units, self.available_units) =
            (self.unreported_units + used, self.available_units - used);
        fits
    }
}

impl Gateway {
    /// The silence rule for one request: the even slice or refusal.
    pub(crate) fn admit_by_fallback(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[request.plan_index];
        customer.waiting.retain(|w| *w != id);
        if customer.is_sampled(plan) {
            return self.admit_without_total(id, out);
        }
        customer.advance(self.now, plan);
        if customer.spend_fallback_budget(request.units, self.now, plan) {
            return self.forward_or_enqueue(id, out);
        }
        let short = request.units - customer.fallback_budget.map_or(0.0, |s| s.0);
        let rate = plan.rate / customer.gateway_count;
        self.reject_over_quota(id, short, rate, out);
    }
}
