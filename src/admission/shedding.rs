//! Load shedding.

use crate::health::concurrency_limit::{ROOM_FIRST, ROOM_LATE, ROOM_LEAST};
use crate::quota::sampled::NEWEST;
use crate::*;

/// Weight of the newest answer in the share of late ones: over few answers, chance alone would shed.
pub(crate) const LATE_WEIGHT: f64 = 0.03;
/// Late answers beyond `ROOM_LATE` turn away this many times their share of the fresh requests, never all;
/// those let in without a total as if they were worth `BLIND_RANK` times less.
pub(crate) const TAKE_SLOPE: f64 = 2.0;
pub(crate) const TAKE_LEAST: f64 = 0.05;
pub(crate) const BLIND_RANK: f64 = 40.0;

impl Gateway {
    /// Whether each gateway sees too little of a backend: choice goes by chance then, and the fleet's state
    /// shows in all answers together.
    pub(crate) fn is_large_fleet(&self) -> bool {
        ROOM_FIRST < ROOM_LEAST * f64::from(self.settings.gateway_count)
    }

    /// Guards a large fleet against overload of any cause: the more answers are late, the fewer fresh
    /// requests are taken, those worth less first.
    pub(crate) fn admit_fraction(&self) -> f64 {
        (1.0 - TAKE_SLOPE * (self.late_fraction - ROOM_LATE)).clamp(TAKE_LEAST, 1.0)
    }

    pub(crate) fn admits_first_attempt(&mut self, class: usize, blind: bool) -> bool {
        self.late_fraction *= 1.0 - LATE_WEIGHT * NEWEST;
        let rank = if blind { BLIND_RANK } else { 1.0 } / self.relative_priority(class);
        let share = self.admit_fraction().powf(rank);
        !self.is_large_fleet() || self.draw() < share
    }

    /// What a class is worth beside the mean of all.
    pub(crate) fn relative_priority(&self, class: usize) -> f64 {
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|c| c.priority_weight).sum::<f64>() / classes.len() as f64;
        classes[class].priority_weight.max(1e-9) / mean.max(1e-9)
    }
}
