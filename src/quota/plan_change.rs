//! A customer moves to a plan of other figures.

use crate::quota::customer::Customer;
use crate::*;

impl Customer {
    /// Moves to a plan of other figures: the block goes back, and the store keeps what was used. A window
    /// of another length has another count: what this gateway used is told it again, and the customer starts
    /// as an unknown one. Guards against a quota granted anew by each change.
    pub(crate) fn replan(&mut self, now: Millis, was: &Plan, is: &Plan) {
        let figures = |p: &Plan| (p.rate, p.burst, p.ceiling_rate, p.ceiling_burst);
        if figures(was) == figures(is) {
            return;
        }
        self.roll(now, was);
        let lease = std::mem::take(&mut self.lease);
        let used = (self.added - lease).min(was.burst - self.store - lease).max(0.0);
        self.store = (self.store + lease + is.burst - was.burst).min(is.burst);
        let (window, _) = self.window_at(now, is);
        if window == self.window && Self::turn(was) == Self::turn(is) {
            self.owed -= lease;
        } else {
            (self.owed, self.added, self.seen, self.known) = (self.owed.max(0.0) + used, 0.0, 0.0, false);
            self.window = window;
        }
        if was.rate <= 0.0 {
            (self.store, self.owed) = (Self::start_of(is), 0.0);
        }
        self.slice = self.slice.map(|(held, at)| (held.min(is.burst / self.spread.max(1.0)), at));
    }
}
