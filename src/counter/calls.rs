//! Calls to the shared counter.

use crate::maintenance::{IDLE_TURNS, KEEP_MOST};
use crate::quota::customer::Customer;
use crate::random::mix;
use crate::*;

/// The most counter calls out at once from one gateway while the counter is at ease.
pub(crate) const CALLS_MOST: f64 = 12.0;
/// Counter calls should be answered within this share of their time-out: slower, and fewer are made.
pub(crate) const EASE_SHARE: f64 = 0.3;
/// By how much an instant answer raises the share of calls made; a late one lowers it by up to twice that.
pub(crate) const EASE_STEP: f64 = 0.2;
/// The least share of calls still made: who never asks never learns that the counter is back.
pub(crate) const EASE_LEAST: f64 = 0.1;

impl Gateway {
    /// Adds a block to the customer's count: one call out for each name, and a bound on all.
    pub(crate) fn call_counter(&mut self, name: &Name, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let full = self.counter_calls.len() as f64 >= (CALLS_MOST * self.call_rate.min(1.0)).max(1.0)
            && !self.draining;
        if customer.pending_call.is_some() || !self.settings.has_counter || full {
            return;
        }
        let plan = &self.settings.plans[customer.plan_index];
        customer.advance(self.now, plan);
        let waiting = customer.waiting.iter().filter_map(|id| self.requests.get(id));
        let block = if customer.is_sampled(plan) {
            waiting.map(|r| r.weighted_units).sum()
        } else {
            let need: f64 = waiting.map(|r| r.units).sum();
            let need = need.min(customer.available_units.max(1.0));
            let block = if self.draining { need } else { customer.lease_size(need, plan) };
            (block - customer.leased_units).max(0.0)
        };
        let owed = std::mem::take(&mut customer.unreported_units);
        let count = mix(customer.name_hash ^ customer.window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1;
        customer.pending_call = Some((customer.window, block, owed));
        self.counter_calls.insert(count, name.clone());
        let keep = (Customer::refill_period(plan) * IDLE_TURNS).min(KEEP_MOST);
        out.push(Action::AddToCounter { counter: count, amount: block + owed, time_to_live: keep });
    }
}
