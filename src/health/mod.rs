pub(crate) mod concurrency_limit;
pub(crate) mod outlier;
pub(crate) mod slow_start;
