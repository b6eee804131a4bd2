//! Stride scheduling.

use crate::balancer::endpoints::Routes;

/// The least weight that is told apart from nothing.
pub(crate) const WEIGHT_LEAST: f64 = 1e-6;

impl Routes {
    /// Strides of the chosen: its next turn is due `1 / weight` later. The level's time is that of the turn taken
    /// last: who was away finds its turn there, and not all those that it missed.
    pub(crate) fn take(&mut self, at: usize) {
        let seat = &mut self.seats[at];
        let weight = seat.place.weight.max(WEIGHT_LEAST);
        let Some(level) = seat.level.filter(|_| !self.plain) else { return };
        let time = &mut self.levels[level].2;
        let from = seat.turn.max(*time);
        seat.turn = from + seat.offer.far / weight;
        if seat.offer.warm {
            *time = from.max(*time);
        }
    }
}
