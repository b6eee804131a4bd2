//! Quota leases: their size and renewal.

use crate::quota::customer::Customer;
use crate::request::Stage;
use crate::*;

/// A block holds the demand of this share of a turn; one unused for as long goes back, so that others can use
/// it, and what is owed is told without a block once it is this share of the burst.
pub(crate) const BLOCK_SHARE: f64 = 0.15;
/// A block takes at most this share of what is left, split over the customer's gateways, or an even part of
/// all that is left above this share of the burst: while there is plenty, blocks are large.
pub(crate) const NEAR_SHARE: f64 = 0.5;
/// A block is renewed when less than this share of it is left.
pub(crate) const RENEW_SHARE: f64 = 0.4;
/// A request waits for its block at most this share of its aim.
pub(crate) const BLOCK_WAIT: f64 = 0.12;

impl Customer {
    /// The smoothed demand of a short while, as far as an even part of what is left allows.
    pub(crate) fn demand_lease(&self, plan: &Plan) -> f64 {
        let target = self.demand * Self::refill_period(plan) * BLOCK_SHARE;
        target.min(self.available_units * NEAR_SHARE / self.gateway_count).floor()
    }

    /// The block wanted now: an even part while there is plenty (so the first is burst over gateways), else
    /// smoothed demand; near the total it falls to what waits.
    pub(crate) fn lease_size(&self, need: f64, plan: &Plan) -> f64 {
        let plenty = (self.available_units - plan.burst * NEAR_SHARE) / self.gateway_count;
        let want = if self.has_total {
            self.demand_lease(plan).max(plenty.ceil())
        } else {
            plan.burst / self.gateway_count
        };
        need.max(want.floor()).max(0.0)
    }
}

impl Gateway {
    /// The quota's gate: the block in hand, else the silence rule, else refusal once block and count are
    /// spent. True when the request has to wait.
    pub(crate) fn admit_by_quota(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let (now, silent) = (self.now, self.is_counter_silent());
        let Some(request) = self.requests.get(&id) else { return false };
        let (name, units) = (request.customer.clone(), request.units);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        let plan = &self.settings.plans[customer.plan_index];
        customer.advance(now, plan);
        let left = customer.available_units + customer.leased_units;
        if plan.rate <= 0.0 {
            self.forward_or_enqueue(id, out);
        } else if customer.is_sampled(plan) {
            return self.admit_sampled(id, out);
        } else if customer.waiting.is_empty() && customer.leased_units >= units {
            customer.leased_units -= units;
            let target = customer.demand_lease(plan);
            if !silent && target >= 1.0 && customer.leased_units < target * RENEW_SHARE {
                self.call_counter(&name, out);
            }
            self.forward_or_enqueue(id, out);
        } else if silent {
            self.admit_by_fallback(id, out);
            if self.counter_calls.is_empty() && self.draw() < self.call_rate {
                self.call_counter(&name, out);
            }
        } else if customer.has_total && left < units {
            self.reject_over_quota(id, units - left, plan.rate, out);
        } else {
            return self.wait_for_lease(id, out);
        }
        false
    }

    pub(crate) fn wait_for_lease(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.waiting.push_back(id);
        let until =
            request.arrived + self.settings.classes[request.class_index].latency_objective * BLOCK_WAIT;
        self.start_wait(id, Stage::AwaitingLease, until, out);
        true
    }

    pub(crate) fn reject_over_quota(&mut self, id: RequestId, short: f64, rate: f64, out: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.draw());
        self.reject(id, wait, RejectReason::QuotaExceeded, out);
    }
}
