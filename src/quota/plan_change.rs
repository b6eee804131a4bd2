//! Moves a customer to a plan with another quota without granting its units again.

use crate::quota::bucket::{initial_units, refill_period, window_at};
use crate::quota::customer::Customer;
use crate::{Millis, Plan};

/// Whether two plans grant the same quota.
fn has_same_quota(a: &Plan, b: &Plan) -> bool {
    (a.rate, a.burst, a.ceiling_rate, a.ceiling_burst) == (b.rate, b.burst, b.ceiling_rate, b.ceiling_burst)
}

impl Customer {
    /// Moves to another plan. The lease is returned, and the bucket keeps what was used.
    ///
    /// A refill period of another length leads to another counter: what this gateway used is reported to that counter,
    /// and the customer is treated as new until its first total.
    pub(crate) fn change_plan(&mut self, now: Millis, old: &Plan, new: &Plan) {
        if has_same_quota(old, new) {
            return;
        }
        self.advance(now, old);
        let leased_units = std::mem::take(&mut self.lease.units);
        let available_units = self.bucket.available_units;
        let used_units = (self.lease.reported_units - leased_units)
            .min(old.burst - available_units - leased_units)
            .max(0.0);
        self.bucket.available_units = (available_units + leased_units + new.burst - old.burst).min(new.burst);
        let window = window_at(now, refill_period(new), self.name_hash).number;
        if window == self.lease.window && refill_period(old) == refill_period(new) {
            self.unreported_units -= leased_units;
        } else {
            self.unreported_units = self.unreported_units.max(0.0) + used_units;
            self.has_total = false;
            self.lease.window = window;
            self.lease.reported_units = 0.0;
            self.lease.last_total = 0.0;
        }
        if old.rate <= 0.0 {
            self.bucket.available_units = initial_units(new);
            self.unreported_units = 0.0;
        }
        if let Some(budget) = &mut self.fallback_budget {
            budget.units = budget.units.min(new.burst / self.customer_gateways.max(1.0));
        }
    }
}
