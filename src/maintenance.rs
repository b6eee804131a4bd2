//! The periodic tick.

use crate::balancer::backend::Backend;
use crate::quota::customer::Customer;
use crate::quota::lease::{BLOCK_SHARE, NEAR_SHARE};
use crate::*;

/// A customer idle for this many turns has a full store again: it and its count are forgotten, which loses
/// nothing and bounds the memory when many are seen once.
pub(crate) const IDLE_TURNS: f64 = 2.0;
/// No count and no word of a customer is kept for more than this many ms.
pub(crate) const KEEP_MOST: Millis = 60_000.0;
/// Time between housekeeping rounds, in ms: short beside any aim.
pub(crate) const SWEEP: Millis = 25.0;
pub(crate) const SWEEP_TOKEN: u64 = 1;

impl Gateway {
    pub(crate) fn run_maintenance(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
        let now = self.now;
        let mut asking = Vec::new();
        let plans = &self.settings.plans;
        self.admit_probabilities.retain(|_, (_, at)| now - *at < KEEP_MOST);
        // A backend that is gone still tells the cell of requests that may have run there, while any lives.
        let (routes, left) =
            (&mut self.endpoints, |b: &Backend| b.removed_at.is_some_and(|at| now - at > KEEP_MOST));
        let mut forget = |b: &Backend| b.in_flight == 0 && left(b) && (routes.release_slot(b.slot), true).1;
        self.backends.retain(|_, backend| !forget(backend));
        self.customers.retain(|name, customer| {
            let plan = &plans[customer.plan_index];
            let (idle, turn) = (now - customer.demand_at, Customer::refill_period(plan));
            customer.advance(now, plan);
            let scarce = customer.available_units < plan.burst * NEAR_SHARE;
            if scarce && idle > turn * BLOCK_SHARE && customer.leased_units >= 1.0 || self.draining {
                let lease = std::mem::take(&mut customer.leased_units);
                (customer.unreported_units, customer.available_units) =
                    (customer.unreported_units - lease, customer.available_units + lease);
            }
            let least = if self.draining { 1e-6 } else { (plan.burst * BLOCK_SHARE).max(1.0) };
            let owes = !customer.is_sampled(plan) && customer.unreported_units.abs() >= least;
            if customer.pending_call.is_none() && (owes || !customer.waiting.is_empty()) {
                asking.push(name.clone());
            }
            let busy =
                customer.pending_call.is_some() || customer.in_flight > 0 || !customer.waiting.is_empty();
            busy || idle < turn * IDLE_TURNS
        });
        if !self.is_counter_silent() {
            for name in asking {
                self.call_counter(&name, out);
            }
        }
        self.forward_queued(out);
    }
}
