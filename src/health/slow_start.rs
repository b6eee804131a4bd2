//! Backends that have just started.

use crate::balancer::backend::Backend;
use crate::*;

/// A cold backend gets this part of its capacity's share of an even part of all sends. Warm ones are not sent
/// more than they can do, so all gateways together stay under the multiple that fells it.
pub(crate) const COLD_MULTIPLE: f64 = 0.8;

impl Backend {
    /// The share of its capacity that a backend surely has by now: it rises at least evenly.
    pub(crate) fn slow_start_weight(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(started) = self.started.or(self.assumed_start) else { return 1.0 };
        let age = ((now - started) / settings.slow_start_duration.max(1.0)).clamp(0.0, 1.0);
        settings.slow_start_share + (1.0 - settings.slow_start_share) * age
    }
}
