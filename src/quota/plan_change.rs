//! A customer moves to a plan of other figures.

use crate::quota::customer::Customer;
use crate::*;

impl Customer {
    /// Moves to a plan of other figures: the block goes back, and the store keeps what was used. A window
    /// of another length has another count: what this gateway used is told it again, and the customer starts
    /// as an unknown one. Guards against a quota granted anew by each change.
    pub(crate) fn change_plan(&mut self, now: Millis, was: &Plan, is: &Plan) {
        let figures = |p: &Plan| (p.rate, p.burst, p.ceiling_rate, p.ceiling_burst);
        if figures(was) == figures(is) {
            return;
        }
        self.advance(now, was);
        let lease = std::mem::take(&mut self.leased_units);
        let used = (self.reported_units - lease).min(was.burst - self.available_units - lease).max(0.0);
        self.available_units = (self.available_units + lease + is.burst - was.burst).min(is.burst);
        let (window, _) = self.window_at(now, is);
        if window == self.window && Self::refill_period(was) == Self::refill_period(is) {
            self.unreported_units -= lease;
        } else {
            (self.unreported_units, self.reported_units, self.last_total, self.has_total) =
                (self.unreported_units.max(0.0) + used, 0.0, 0.0, false);
            self.window = window;
        }
        if was.rate <= 0.0 {
            (self.available_units, self.unreported_units) = (Self::initial_units(is), 0.0);
        }
        self.fallback_budget =
            self.fallback_budget.map(|(held, at)| (held.min(is.burst / self.gateway_count.max(1.0)), at));
    }
}
