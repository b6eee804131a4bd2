//! What responses and failures tell about a backend: its concurrency limit, ejection and slow start.

pub(crate) mod concurrency_limit;
pub(crate) mod outcome;
pub(crate) mod outlier;
pub(crate) mod slow_start;
