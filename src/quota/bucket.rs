//! The token bucket of a customer, by all totals heard.

use crate::quota::customer::Customer;
use crate::*;

/// A plan without a rate is remembered as if its quota turned over in this many ms.
pub(crate) const RATELESS_TURN: Millis = 1000.0;
/// Under a ceiling an unknown customer starts with this share of its burst (see `Customer::start_of`).
pub(crate) const CEILING_START: f64 = 0.5;

impl Customer {
    /// What an unknown customer's store is taken to hold. Under a ceiling (at least 1.6 times rate and burst
    /// by its plan) only half the burst: a gateway may come back to an emptied count while the others have
    /// just granted a full burst, and burst + half a burst + rate x time stays within the ceiling.
    pub(crate) fn initial_units(plan: &Plan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_START } else { plan.burst }
    }

    pub(crate) fn refill_period(plan: &Plan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { RATELESS_TURN }
    }

    /// The number of a window and when it began, staggered by hash: customers do not all renew at once.
    pub(crate) fn window_at(&self, now: Millis, plan: &Plan) -> (u64, Millis) {
        let length = Self::refill_period(plan);
        let shift = (self.name_hash % 1024) as f64 / 1024.0 * length;
        let number = ((now + shift) / length).floor();
        (number as u64, number * length - shift)
    }

    /// Fills the store and moves to the present window: blocks end with theirs, unused.
    pub(crate) fn advance(&mut self, now: Millis, plan: &Plan) {
        let filled = self.available_units + plan.rate * (now - self.filled_at) / 1000.0;
        (self.available_units, self.filled_at) = (filled.min(plan.burst), now);
        self.overflow_units += (filled - plan.burst).max(0.0);
        let (window, _) = self.window_at(now, plan);
        if window != self.window {
            self.available_units = (self.available_units + self.leased_units).min(plan.burst);
            (self.window, self.leased_units, self.reported_units, self.last_total) = (window, 0.0, 0.0, 0.0);
        }
    }
}
