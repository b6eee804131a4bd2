//! Load shedding in a large fleet, whose gateways see too little of each backend to limit requests by backend.

use crate::health::concurrency_limit::{TARGET_LATE_FRACTION, is_large_fleet};
use crate::{Gateway, RequestClass};

/// Weight of the newest response in the late fraction. With a larger weight, a few late responses by chance would shed
/// load.
const LATE_FRACTION_WEIGHT: f64 = 0.03;
/// Each arrival lowers the late fraction by this share of a response's weight, so that shedding ends when no responses
/// come any more.
const ARRIVAL_WEIGHT_SHARE: f64 = 0.1;
/// By how much the admit fraction falls for each unit of late fraction above the target.
const ADMIT_FRACTION_SLOPE: f64 = 2.0;
/// The least admit fraction: without requests the gateway would not learn that the overload is over.
const MIN_ADMIT_FRACTION: f64 = 0.05;
/// A request admitted without a total is shed as if its priority were this many times lower: it may be over quota.
const WITHOUT_TOTAL_PRIORITY_DIVISOR: f64 = 40.0;
/// The least priority weight in a ratio.
const MIN_PRIORITY_WEIGHT: f64 = 1e-9;

/// The share of late responses of all backends together.
#[derive(Default)]
pub(crate) struct LoadShedder {
    /// 0 to 1.
    late_fraction: f64,
}

impl LoadShedder {
    /// Records a response.
    pub(crate) fn record_response(&mut self, is_late: bool) {
        self.late_fraction += LATE_FRACTION_WEIGHT * (f64::from(u8::from(is_late)) - self.late_fraction);
    }

    /// Records the arrival of a request.
    fn record_arrival(&mut self) {
        self.late_fraction *= 1.0 - LATE_FRACTION_WEIGHT * ARRIVAL_WEIGHT_SHARE;
    }

    /// The share of the requests to admit, [`MIN_ADMIT_FRACTION`] to 1.
    pub(crate) fn admit_fraction(&self) -> f64 {
        admit_fraction(self.late_fraction)
    }
}

/// The share of the requests to admit: it falls linearly from 1 as the late fraction rises above
/// [`TARGET_LATE_FRACTION`].
fn admit_fraction(late_fraction: f64) -> f64 {
    (1.0 - ADMIT_FRACTION_SLOPE * (late_fraction - TARGET_LATE_FRACTION)).clamp(MIN_ADMIT_FRACTION, 1.0)
}

/// The probability of admitting one request while the fleet is overloaded. Requests of higher priority are shed last,
/// those admitted without a total first.
///
/// Inputs: `admit_fraction` in 0..=1, `relative_priority` relative to the mean of all classes.
fn admit_probability(admit_fraction: f64, relative_priority: f64, admitted_without_total: bool) -> f64 {
    let divisor = if admitted_without_total { WITHOUT_TOTAL_PRIORITY_DIVISOR } else { 1.0 };
    admit_fraction.powf(divisor / relative_priority)
}

/// The priority weight of a class relative to the mean of all classes.
fn relative_priority(classes: &[RequestClass], class_index: usize) -> f64 {
    let mean = classes.iter().map(|class| class.priority_weight).sum::<f64>() / classes.len() as f64;
    classes[class_index].priority_weight.max(MIN_PRIORITY_WEIGHT) / mean.max(MIN_PRIORITY_WEIGHT)
}

impl Gateway {
    /// The priority weight of a class relative to the mean of all classes.
    pub(crate) fn relative_priority(&self, class_index: usize) -> f64 {
        relative_priority(&self.settings.classes, class_index)
    }

    /// Whether a request's first attempt is admitted; always in a small fleet, where the limits at each backend
    /// suffice.
    pub(crate) fn admits_first_attempt(&mut self, class_index: usize, admitted_without_total: bool) -> bool {
        self.load_shedder.record_arrival();
        if !is_large_fleet(self.settings.gateway_count) {
            return true;
        }
        let admit_fraction = self.load_shedder.admit_fraction();
        let relative_priority = self.relative_priority(class_index);
        let draw = self.random.draw();
        draw < admit_probability(admit_fraction, relative_priority, admitted_without_total)
    }
}
