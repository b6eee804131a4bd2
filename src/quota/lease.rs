//! Quota leases: units that a gateway takes from the shared counter at once and spends without further calls.

use crate::quota::MIN_CALL_UNITS;
use crate::quota::bucket::refill_period;
use crate::quota::customer::Customer;
use crate::{Millis, Plan};

/// A lease covers the demand of this share of a refill period.
pub(crate) const LEASE_SHARE: f64 = 0.15;
/// Units are scarce while less than this share of the burst is available. Otherwise a lease takes its even part of the
/// units above this share.
pub(crate) const SCARCE_SHARE: f64 = 0.5;
/// A lease that follows demand takes at most its even part of this share of the available units. Equal to the share at
/// which units become scarce, so that one value determines how much is kept for the other gateways.
const MAX_DEMAND_LEASE_SHARE: f64 = SCARCE_SHARE;
/// A lease is renewed when less than this share of it is left.
const RENEWAL_SHARE: f64 = 0.4;
/// Demand is smoothed over this share of a refill period.
const DEMAND_SMOOTHING_SHARE: f64 = 0.5;

/// The units leased for one window of the counter.
#[derive(Default)]
pub(crate) struct QuotaLease {
    /// The window's number.
    pub window: u64,
    /// Units leased and not spent yet; at the end of the window they go back to the bucket.
    pub units: f64,
    /// Units that this gateway has added to the window's counter.
    pub reported_units: f64,
    /// The last total received of the window's counter.
    pub last_total: f64,
}

impl QuotaLease {
    /// Nothing leased yet.
    pub(crate) fn for_window(window: u64) -> Self {
        Self { window, ..Self::default() }
    }
}

/// The smoothed demand of a customer at this gateway.
#[derive(Default)]
pub(crate) struct Demand {
    units_per_ms: f64,
    /// When the last request arrived.
    pub updated_at: Millis,
}

impl Demand {
    pub(crate) fn new(now: Millis) -> Self {
        Self { units_per_ms: 0.0, updated_at: now }
    }

    /// Adds a request to the exponential mean.
    pub(crate) fn record(&mut self, units: f64, now: Millis, refill_period: Millis) {
        let span = refill_period * DEMAND_SMOOTHING_SHARE;
        self.units_per_ms = self.units_per_ms * (-(now - self.updated_at) / span).exp() + units / span;
        self.updated_at = now;
    }
}

/// The lease that smoothed demand asks for, in whole units rounded down: the demand of a part of the refill period, at
/// most an even part of what is available.
fn demand_lease_units(
    demand_units_per_ms: f64, refill_period: Millis, available_units: f64, customer_gateways: f64,
) -> f64 {
    let demand_units = demand_units_per_ms * refill_period * LEASE_SHARE;
    demand_units.min(available_units * MAX_DEMAND_LEASE_SHARE / customer_gateways).floor()
}

/// The lease taken while units are not scarce, in whole units rounded up: an even part of the units above the scarce
/// share. Large leases save calls while no gateway can run short. Negative while units are scarce.
fn surplus_lease_units(available_units: f64, burst: f64, customer_gateways: f64) -> f64 {
    ((available_units - burst * SCARCE_SHARE) / customer_gateways).ceil()
}

impl Customer {
    /// The lease that smoothed demand asks for, in whole units rounded down.
    fn demand_lease_units(&self, plan: &Plan) -> f64 {
        let demand = self.demand.units_per_ms;
        demand_lease_units(demand, refill_period(plan), self.bucket.available_units, self.customer_gateways)
    }

    /// The units to lease when requests wait for `needed_units`: the even part of the burst before the first total,
    /// later the larger of the lease by demand and the lease by surplus. As the quota runs out, this falls to what the
    /// waiting requests need.
    fn lease_units(&self, needed_units: f64, plan: &Plan) -> f64 {
        let wanted_units = if self.has_total {
            let available_units = self.bucket.available_units;
            let surplus = surplus_lease_units(available_units, plan.burst, self.customer_gateways);
            self.demand_lease_units(plan).max(surplus)
        } else {
            plan.burst / self.customer_gateways
        };
        needed_units.max(wanted_units.floor()).max(0.0)
    }

    /// The units to lease beyond those leased already. Waiting requests need at most what is available, or one unit of
    /// an empty bucket; a gateway that returns its leases takes no more than they need.
    pub(crate) fn units_to_lease(&self, waiting_units: f64, plan: &Plan, returns_leases: bool) -> f64 {
        let needed_units = waiting_units.min(self.bucket.available_units.max(MIN_CALL_UNITS));
        let lease_units = if returns_leases { needed_units } else { self.lease_units(needed_units, plan) };
        (lease_units - self.lease.units).max(0.0)
    }

    /// Whether the lease has fallen so low that it should be renewed before it is spent.
    pub(crate) fn should_renew_lease(&self, plan: &Plan) -> bool {
        let target_units = self.demand_lease_units(plan);
        target_units >= MIN_CALL_UNITS && self.lease.units < target_units * RENEWAL_SHARE
    }
}
