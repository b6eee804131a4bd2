//! The health of backends as seen from responses and failures: concurrency limit, outlier ejection and slow start.

pub(crate) mod concurrency_limit;
pub(crate) mod outcome;
pub(crate) mod outlier;
pub(crate) mod slow_start;
