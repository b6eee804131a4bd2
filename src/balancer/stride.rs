//! Stride scheduling.

use crate::balancer::endpoints::EndpointTable;

/// The least weight that is told apart from nothing.
pub(crate) const WEIGHT_LEAST: f64 = 1e-6;

impl EndpointTable {
    /// Strides of the chosen: its next turn is due `1 / weight` later. The level's time is that of the turn taken
    /// last: who was away finds its turn there, and not all those that it missed.
    pub(crate) fn advance_stride(&mut self, at: usize) {
        let seat = &mut self.slots[at];
        let weight = seat.placement.weight.max(WEIGHT_LEAST);
        let Some(level) = seat.level_index.filter(|_| !self.is_uniform) else { return };
        let time = &mut self.levels[level].2;
        let from = seat.pass.max(*time);
        seat.pass = from + seat.candidate.distance_penalty / weight;
        if seat.candidate.is_warm {
            *time = from.max(*time);
        }
    }
}
