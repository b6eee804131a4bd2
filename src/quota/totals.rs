//! Updates a customer's token bucket and lease from the counter's totals.

use crate::counter::availability::Unavailability;
use crate::counter::calls::CounterCall;
use crate::quota::UNITS_EPSILON;
use crate::quota::bucket::{initial_units, max_overflow_credit, refill_period};
use crate::quota::customer::Customer;
use crate::{Millis, Plan};

impl Customer {
    /// Updates bucket and lease from the total of a call.
    pub(crate) fn record_total(
        &mut self, call: CounterCall, total: f64, unavailability: Unavailability, now: Millis, plan: &Plan,
    ) {
        let fallback_units = self.fallback_budget.take().map(|budget| budget.units);
        let is_recent = now < unavailability.ended_at + refill_period(plan);
        let unavailable_ms = unavailability.ended_at - unavailability.started_at;
        self.bucket.limit_overflow(max_overflow_credit(
            plan,
            unavailable_ms,
            is_recent,
            self.customer_gateways,
        ));
        if plan.ceiling_rate > 0.0 && self.has_total && self.last_total_at < unavailability.ended_at {
            // The counter may have lost its totals during the outage, and what other gateways spent meanwhile may not
            // be reported yet: only this gateway's own part is guaranteed to be left.
            let guaranteed_units = fallback_units.unwrap_or(initial_units(plan));
            self.bucket.available_units = self.bucket.available_units.min(guaranteed_units);
        }
        self.last_total_at = now;
        if call.window == self.lease.window {
            self.add_lease(call, total, plan);
            self.return_overdrawn(call.new_units);
        }
    }

    /// Adds the units of a call of the current window to the lease.
    fn add_lease(&mut self, call: CounterCall, total: f64, plan: &Plan) {
        self.lease.reported_units += call.amount();
        if !self.has_total {
            self.bucket.available_units = initial_units(plan) - total;
            self.has_total = true;
        } else if total + UNITS_EPSILON < self.lease.reported_units {
            // The counter lost its totals. What this gateway had added is reported again, so that new leases are not
            // granted on top of those still held.
            self.unreported_units += self.lease.reported_units - total;
            self.bucket.available_units -= call.new_units;
        } else {
            let used_units = total - self.lease.last_total - call.report_units;
            self.bucket.settle_total(used_units, call.new_units, plan.burst);
        }
        self.lease.last_total = total;
        self.lease.units += call.new_units;
    }

    /// Returns the part of a new lease by which the bucket is overdrawn.
    fn return_overdrawn(&mut self, new_lease_units: f64) {
        if self.bucket.available_units < 0.0 {
            let overdrawn_units = (-self.bucket.available_units).ceil();
            let returned_units = self.lease.units.min(overdrawn_units).min(new_lease_units);
            self.lease.units -= returned_units;
            self.unreported_units -= returned_units;
            self.bucket.available_units += returned_units;
        }
    }

    /// Accounts for a call that the counter added after its timeout and whose total cannot be used: the lease is
    /// returned.
    pub(crate) fn return_late_lease(&mut self, call: CounterCall, plan: &Plan) {
        self.unreported_units -= call.new_units;
        if call.window == self.lease.window {
            self.lease.last_total += call.amount();
            self.lease.reported_units += call.amount();
        } else {
            let restored_units = self.bucket.available_units + call.new_units + call.report_units.max(0.0);
            self.bucket.available_units = restored_units.min(plan.burst);
        }
    }
}
