//! Calls to the shared counter: at most one in flight for each customer, and a limit on all together.

use crate::maintenance::MAX_RETENTION;
use crate::quota::bucket::idle_retention;
use crate::quota::sampled::is_sampled;
use crate::random::{GOLDEN_GAMMA, mix_bits};
use crate::request::sum_over;
use crate::{Action, Gateway, Name};

/// The most counter calls in flight from one gateway, at a call rate of 1 or more.
const MAX_CALLS_IN_FLIGHT: f64 = 12.0;

/// The most counter calls in flight at the present call rate; at least one.
fn max_calls_in_flight(call_rate: f64) -> f64 {
    (MAX_CALLS_IN_FLIGHT * call_rate.min(1.0)).max(1.0)
}

/// The name of the counter for one window of a customer, below 2^63 and the same at all gateways.
fn counter_name(name_hash: u64, window: u64) -> u64 {
    mix_bits(name_hash ^ window.wrapping_mul(GOLDEN_GAMMA)) >> 1
}

/// One call to a customer's counter.
#[derive(Clone, Copy, Default)]
pub(crate) struct CounterCall {
    /// The window whose counter was called.
    pub window: u64,
    /// The units of the new lease, which cover waiting and later requests. For a sampled quota, which has no lease, the
    /// weighted units of the waiting requests.
    pub new_units: f64,
    /// Units used earlier that the call reports; negative where it returns units.
    pub report_units: f64,
}

impl CounterCall {
    /// What the call adds to the counter.
    pub(crate) fn amount(&self) -> f64 {
        self.new_units + self.report_units
    }
}

impl Gateway {
    /// Adds to the customer's counter what it needs and what it has not reported yet. Does nothing while a call of the
    /// customer or too many calls are in flight.
    pub(crate) fn call_counter(&mut self, name: &Name, out: &mut Vec<Action>) {
        let call_limit = max_calls_in_flight(self.call_rate.get());
        let is_at_limit = self.counter_calls.len() as f64 >= call_limit && !self.returns_leases;
        let Some(customer) = self.customers.get_mut(name) else { return };
        if customer.pending_call.is_some() || !self.settings.has_counter || is_at_limit {
            return;
        }
        let plan = &self.settings.plans[customer.plan_index];
        customer.advance(self.now, plan);
        let new_units = if is_sampled(plan, customer.customer_gateways) {
            sum_over(&customer.waiting, &self.requests, |request| request.weighted_units)
        } else {
            let needed_units = sum_over(&customer.waiting, &self.requests, |request| request.units);
            customer.units_to_lease(needed_units, plan, self.returns_leases)
        };
        let report_units = std::mem::take(&mut customer.unreported_units);
        let call = CounterCall { window: customer.lease.window, new_units, report_units };
        let counter = counter_name(customer.name_hash, call.window);
        customer.pending_call = Some(call);
        self.counter_calls.insert(counter, name.clone());
        let time_to_live = idle_retention(plan).min(MAX_RETENTION);
        out.push(Action::AddToCounter { counter, amount: call.amount(), time_to_live });
    }

    /// While the counter is unavailable, calls it now and then to learn whether it responds again.
    pub(crate) fn probe_counter(&mut self, name: &Name, out: &mut Vec<Action>) {
        if self.counter_calls.is_empty() && self.random.draw() < self.call_rate.get() {
            self.call_counter(name, out);
        }
    }
}
