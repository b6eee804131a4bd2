pub(crate) mod bucket;
pub(crate) mod customer;
pub(crate) mod fallback;
pub(crate) mod lease;
pub(crate) mod plan_change;
pub(crate) mod sampled;
