//! Stride scheduling: backends are chosen by weight; each is at most one request off its share.
//!
//! Each slot has a pass, the slot with the lowest pass is chosen, and its pass then advances by its stride, `1 /
//! weight`.

use crate::balancer::endpoints::{EndpointTable, Slot};
use crate::balancer::select::Scoring;

impl Slot {
    /// The slot's pass, at least that of its level: a backend that was unavailable does not make up for what it
    /// missed.
    pub(crate) fn effective_pass(&self, level_pass: f64) -> f64 {
        self.pass.map_or(level_pass, |pass| pass.max(level_pass))
    }
}

impl EndpointTable {
    /// Advances the pass of the chosen slot. A distant backend's stride is longer by its penalty. The level's pass
    /// follows that of the last warm backend chosen.
    pub(crate) fn advance_stride(&mut self, index: usize) {
        if self.scoring == Scoring::Uniform {
            return;
        }
        let slot = &mut self.slots[index];
        let Some(level_index) = slot.level_index else { return };
        let level_pass = &mut self.levels[level_index].pass;
        let pass = slot.effective_pass(*level_pass);
        slot.pass = Some(pass + slot.candidate.distance_penalty / slot.weight());
        if slot.candidate.is_warm {
            *level_pass = pass;
        }
    }
}
