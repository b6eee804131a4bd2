//! Calls to the shared counter and their results.

pub(crate) mod availability;
pub(crate) mod call_rate;
pub(crate) mod calls;
pub(crate) mod results;
