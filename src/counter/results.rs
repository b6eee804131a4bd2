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
    pub(crate) fn on_counted(
        &mut self, count: u64, outcome: CounterOutcome, latency: Millis, out: &mut Vec<Action>,
    ) {
        if let CounterOutcome::Late { added, total } = outcome {
            return self.on_late(count, added, total, out);
        }
        let Some(name) = self.calls.remove(&count) else { return };
        let quick = self.settings.counter_timeout * EASE_SHARE;
        let slow = if matches!(outcome, CounterOutcome::Total(_)) { latency / quick } else { f64::INFINITY };
        let step = EASE_STEP * (1.0 - slow).max(-2.0);
        self.ease = (self.ease * (1.0 + step)).clamp(EASE_LEAST, EASE_MOST);
        let CounterOutcome::Total(total) = outcome else {
            return self.silent(count, &name, outcome == CounterOutcome::Unknown, out);
        };
        self.counter_speaks(out);
        let call = self.customers.get_mut(&name).and_then(|c| c.call.take());
        self.granted(&name, call.unwrap_or_default(), total, out);
    }

    pub(crate) fn counter_speaks(&mut self, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.told_silent) {
            self.silence.1 = self.now;
            out.push(Action::Log("counter back".into()));
        }
        (self.silences, self.counter_heard) = (0, self.now);
    }

    /// A total came: learn the store from it, keep what fits, give the rest back, serve who waits.
    pub(crate) fn granted(&mut self, name: &Name, call: (u64, f64, f64), total: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (plan, (window, block, owed)) = (&self.settings.plans[customer.plan], call);
        if customer.thin(plan) {
            return self.granted_thin(name, total - block - owed, block, out);
        }
        customer.roll(now, plan);
        let slice = customer.slice.take();
        // What others used in a silence is told at its end, all at once: their parts of what came in then
        // paid for it, but under a ceiling, which many gateways would pass together.
        let (from, back) = self.silence;
        let pays = now < back + Customer::turn(plan) && plan.ceiling_rate <= 0.0;
        let part = if pays { 1.0 - 1.0 / customer.spread } else { 0.0 };
        customer.spilt = customer.spilt.min(plan.rate * (back - from) / 1000.0 * part);
        if plan.ceiling_rate > 0.0 && customer.known && customer.heard < back {
            // Guards against a counter that comes back empty: what others spent in the silence is told
            // nowhere. Only the own slice (or an unknown customer's start) is sure to be left.
            customer.store = customer.store.min(slice.map_or(Customer::start_of(plan), |(held, _)| held));
        }
        customer.heard = now;
        if window == customer.window {
            customer.added += block + owed;
            if !customer.known {
                customer.store = Customer::start_of(plan) - total;
                customer.known = true;
            } else if total + 1e-6 < customer.added {
                // Guards against an emptied count: what this gateway holds is told again, so that new blocks
                // do not stack on those still held.
                customer.owed += customer.added - total;
                customer.store -= block;
            } else {
                let used = total - customer.seen - owed;
                let paid = (used - block).clamp(0.0, customer.spilt);
                customer.spilt -= paid;
                customer.store = (customer.store - (used - paid)).min(plan.burst);
            }
            (customer.seen, customer.lease) = (total, customer.lease + block);
            if customer.store < 0.0 {
                let back = customer.lease.min((-customer.store).ceil()).min(block);
                customer.lease -= back;
                customer.owed -= back;
                customer.store += back;
            }
        }
        let waiting = std::mem::take(&mut customer.waiting);
        let give_back = customer.owed <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit(*id, out)).count();
        if wait > 0 || give_back {
            self.ask(name, out);
        }
    }

    /// No answer: the silence rule decides for who waits, and a block that may have counted is let go.
    pub(crate) fn silent(&mut self, count: u64, name: &Name, may_have_counted: bool, out: &mut Vec<Action>) {
        self.silences += 1;
        if self.is_counter_silent() && !std::mem::replace(&mut self.told_silent, true) {
            self.silence = (self.now, f64::NEG_INFINITY);
            out.push(Action::Log("counter silent: spending blocks and even slices".into()));
        }
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (window, block, owed) = customer.call.take().unwrap_or_default();
        customer.owed += if may_have_counted { owed.max(0.0) } else { owed };
        if may_have_counted {
            self.given_up.push_back((count, name.clone(), window, block, owed));
            self.given_up.drain(..self.given_up.len().saturating_sub(LATE_MOST));
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.by_slice(id, out);
        }
    }

    /// A call that was given up is heard of after all. In its window the block is granted, else goes back.
    /// Guards against a slow counter that eats up quotas: a block let go stays in the count, held by nobody.
    pub(crate) fn on_late(&mut self, count: u64, added: bool, total: Option<f64>, out: &mut Vec<Action>) {
        let Some(at) = self.given_up.iter().position(|call| call.0 == count) else { return };
        let Some((_, name, window, block, owed)) = self.given_up.remove(at) else { return };
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.roll(self.now, plan);
        if !added {
            customer.owed += owed.min(0.0);
        } else if !customer.thin(plan) {
            customer.owed -= owed.max(0.0);
            let fresh = total.filter(|t| window == customer.window && *t >= customer.seen);
            if let Some(total) = fresh {
                self.counter_speaks(out);
                return self.granted(&name, (window, block, owed), total, out);
            }
            customer.owed -= block;
            if window == customer.window {
                customer.seen += block + owed;
                customer.added += block + owed;
            } else {
                customer.store = (customer.store + block + owed.max(0.0)).min(plan.burst);
            }
        }
    }
}
