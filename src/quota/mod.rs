//! The quota of each customer, which all gateways enforce together by means of a shared counter.
//!
//! A request is admitted by one of six rules ([`admit`]). A gateway leases units from the counter and spends them
//! without further calls ([`lease`]). What a customer may still use follows from the counter's totals ([`bucket`]).
//! While the counter is unavailable, a gateway spends its even part ([`fallback`]). Quotas too small to be leased are
//! enforced by sampled counter calls ([`sampled`]).

pub(crate) mod admit;
pub(crate) mod bucket;
pub(crate) mod customer;
pub(crate) mod customer_limit;
pub(crate) mod fallback;
pub(crate) mod lease;
pub(crate) mod lease_return;
pub(crate) mod plan_change;
pub(crate) mod sampled;
pub(crate) mod settlement;
pub(crate) mod totals;

/// Amounts of units below this count as zero: the rounding error of the sums.
pub(crate) const UNITS_EPSILON: f64 = 1e-6;
/// Fewer units than this are neither leased nor returned nor reported by a counter call of their own.
pub(crate) const MIN_CALL_UNITS: f64 = 1.0;
