//! Results of counter calls.

use crate::counter::calls::{EASE_LEAST, EASE_SHARE, EASE_STEP};
use crate::quota::customer::Customer;
use crate::quota::sampled::EASE_MOST;
use crate::*;

/// The counter counts as silent after this many time-outs without an answer: one call may just be late.
pub(crate) const SILENT_AFTER: f64 = 3.0;
/// So many calls given up are remembered, in case their answers come after all.
pub(crate) const LATE_MOST: usize = 256;

impl Gateway {
    pub(crate) fn counter_call_ended(
        &mut self, count: u64, outcome: CounterOutcome, latency: Millis, out: &mut Vec<Action>,
    ) {
        if let CounterOutcome::Late { added, total } = outcome {
            return self.late_result_received(count, added, total, out);
        }
        let Some(name) = self.counter_calls.remove(&count) else { return };
        let quick = self.settings.counter_timeout * EASE_SHARE;
        let slow = if matches!(outcome, CounterOutcome::Total(_)) { latency / quick } else { f64::INFINITY };
        let step = EASE_STEP * (1.0 - slow).max(-2.0);
        self.call_rate = (self.call_rate * (1.0 + step)).clamp(EASE_LEAST, EASE_MOST);
        let CounterOutcome::Total(total) = outcome else {
            return self.counter_call_failed(count, &name, outcome == CounterOutcome::Unknown, out);
        };
        self.counter_answered(out);
        let call = self.customers.get_mut(&name).and_then(|c| c.pending_call.take());
        self.total_received(&name, call.unwrap_or_default(), total, out);
    }

    pub(crate) fn counter_answered(&mut self, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.outage_logged) {
            self.outage.1 = self.now;
            out.push(Action::Log("counter back".into()));
        }
        (self.consecutive_timeouts, self.last_total_at) = (0, self.now);
    }

    /// A total came: learn the store from it, keep what fits, give the rest back, serve who waits.
    pub(crate) fn total_received(
        &mut self, name: &Name, call: (u64, f64, f64), total: f64, out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (plan, (window, block, owed)) = (&self.settings.plans[customer.plan_index], call);
        if customer.is_sampled(plan) {
            return self.sampled_total_received(name, total - block - owed, block, out);
        }
        customer.advance(now, plan);
        let slice = customer.fallback_budget.take();
        // What others used in a silence is told at its end, all at once: their parts of what came in then
        // paid for it, but under a ceiling, which many gateways would pass together.
        let (from, back) = self.outage;
        let pays = now < back + Customer::refill_period(plan) && plan.ceiling_rate <= 0.0;
        let part = if pays { 1.0 - 1.0 / customer.gateway_count } else { 0.0 };
        customer.overflow_units = customer.overflow_units.min(plan.rate * (back - from) / 1000.0 * part);
        if plan.ceiling_rate > 0.0 && customer.has_total && customer.last_total_at < back {
            // Guards against a counter that comes back empty: what others spent in the silence is told
            // nowhere. Only the own slice (or an unknown customer's start) is sure to be left.
            customer.available_units =
                customer.available_units.min(slice.map_or(Customer::initial_units(plan), |(held, _)| held));
        }
        customer.last_total_at = now;
        if window == customer.window {
            customer.reported_units += block + owed;
            if !customer.has_total {
                customer.available_units = Customer::initial_units(plan) - total;
                customer.has_total = true;
            } else if total + 1e-6 < customer.reported_units {
                // Guards against an emptied count: what this gateway holds is told again, so that new blocks
                // do not stack on those still held.
                customer.unreported_units += customer.reported_units - total;
                customer.available_units -= block;
            } else {
                let used = total - customer.last_total - owed;
                let paid = (used - block).clamp(0.0, customer.overflow_units);
                customer.overflow_units -= paid;
                customer.available_units = (customer.available_units - (used - paid)).min(plan.burst);
            }
            (customer.last_total, customer.leased_units) = (total, customer.leased_units + block);
            if customer.available_units < 0.0 {
                let back = customer.leased_units.min((-customer.available_units).ceil()).min(block);
                customer.leased_units -= back;
                customer.unreported_units -= back;
                customer.available_units += back;
            }
        }
        let waiting = std::mem::take(&mut customer.waiting);
        let give_back = customer.unreported_units <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit_by_quota(*id, out)).count();
        if wait > 0 || give_back {
            self.call_counter(name, out);
        }
    }

    /// No answer: the silence rule decides for who waits, and a block that may have counted is let go.
    pub(crate) fn counter_call_failed(
        &mut self, count: u64, name: &Name, may_have_counted: bool, out: &mut Vec<Action>,
    ) {
        self.consecutive_timeouts += 1;
        if self.is_counter_silent() && !std::mem::replace(&mut self.outage_logged, true) {
            self.outage = (self.now, f64::NEG_INFINITY);
            out.push(Action::Log("counter silent: spending blocks and even slices".into()));
        }
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (window, block, owed) = customer.pending_call.take().unwrap_or_default();
        customer.unreported_units += if may_have_counted { owed.max(0.0) } else { owed };
        if may_have_counted {
            self.timed_out_calls.push_back((count, name.clone(), window, block, owed));
            self.timed_out_calls.drain(..self.timed_out_calls.len().saturating_sub(LATE_MOST));
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.admit_by_fallback(id, out);
        }
    }

    /// A call that was given up is heard of after all. In its window the block is granted, else goes back.
    /// Guards against a slow counter that eats up quotas: a block let go stays in the count, held by nobody.
    pub(crate) fn late_result_received(
        &mut self, count: u64, added: bool, total: Option<f64>, out: &mut Vec<Action>,
    ) {
        let Some(at) = self.timed_out_calls.iter().position(|call| call.0 == count) else { return };
        let Some((_, name, window, block, owed)) = self.timed_out_calls.remove(at) else { return };
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        customer.advance(self.now, plan);
        if !added {
            customer.unreported_units += owed.min(0.0);
        } else if !customer.is_sampled(plan) {
            customer.unreported_units -= owed.max(0.0);
            let fresh = total.filter(|t| window == customer.window && *t >= customer.last_total);
            if let Some(total) = fresh {
                self.counter_answered(out);
                return self.total_received(&name, (window, block, owed), total, out);
            }
            customer.unreported_units -= block;
            if window == customer.window {
                customer.last_total += block + owed;
                customer.reported_units += block + owed;
            } else {
                customer.available_units = (customer.available_units + block + owed.max(0.0)).min(plan.burst);
            }
        }
    }
}
