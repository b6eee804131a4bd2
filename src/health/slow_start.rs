//! Slow start: a backend that has just started is sent less until it has warmed up.

use crate::{Millis, Settings};

/// A backend in slow start is sent its share of all requests, times its slow-start weight, times this factor. The
/// factor is below 1, since all gateways together must stay below the multiple of its capacity at which it fails.
const SLOW_START_BUDGET: f64 = 0.8;
/// The shortest slow start, in ms.
const MIN_SLOW_START_DURATION: Millis = 1.0;

/// When a backend started.
#[derive(Clone, Copy, Default)]
pub(crate) struct StartTime {
    /// As the endpoint list states it.
    pub reported: Option<Millis>,
    /// When the endpoint list stated it first.
    pub reported_at: Millis,
    /// Without a reported time: when a backend that refused a connection is tried again, as if it had started then.
    pub assumed: Option<Millis>,
}

impl StartTime {
    /// The least share of its capacity that the backend has at `now`, up to 1. It rises linearly from the configured
    /// share.
    pub(crate) fn slow_start_weight(&self, now: Millis, settings: &Settings) -> f64 {
        // A start in the future shows that the clocks differ: a backend that is listed has started.
        let reported = self.reported.map(|reported| reported.min(self.reported_at));
        let Some(started) = reported.or(self.assumed) else { return 1.0 };
        let duration = settings.slow_start_duration.max(MIN_SLOW_START_DURATION);
        let elapsed_share = ((now - started) / duration).clamp(0.0, 1.0);
        settings.slow_start_share + (1.0 - settings.slow_start_share) * elapsed_share
    }
}

/// The fraction of its share of all requests that a backend is sent per unit of slow-start weight. While load is shed
/// it falls with the share of requests that are admitted.
pub(crate) fn slow_start_budget(admit_fraction: f64) -> f64 {
    SLOW_START_BUDGET * admit_fraction
}

/// Whether a backend has warmed up.
pub(crate) fn is_warm(slow_start_weight: f64) -> bool {
    slow_start_weight >= 1.0
}

/// Whether a backend in slow start is passed over for a request. A random draw limits it to its budget, which requires
/// neither coordination among gateways nor a warm backend.
///
/// Inputs: `slow_start_weight` and `budget` in 0..=1, `draw` in 0..1, and `inverse_weight_share`, which is n where the
/// backend's share of its priority level's requests is 1/n.
pub(crate) fn exceeds_slow_start_budget(
    slow_start_weight: f64, budget: f64, draw: f64, inverse_weight_share: f64,
) -> bool {
    !is_warm(slow_start_weight) && draw * inverse_weight_share >= slow_start_weight * budget
}
