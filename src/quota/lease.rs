//! Quota leases: units that a gateway takes from the shared counter at once and spends without further calls.

use crate::quota::MIN_CALL_UNITS;
use crate::quota::bucket::refill_period;
use crate::quota::customer::Customer;
use crate::quota::sampled::is_sampled;
use crate::request::RequestStage;
use crate::{Action, Gateway, Millis, Plan, RejectReason, RequestId};

/// A lease covers the demand of this share of a refill period.
pub(crate) const LEASE_SHARE: f64 = 0.15;
/// Units are scarce while less than this share of the burst is available. While they are not, a lease takes its even
/// part of all above this share.
pub(crate) const SCARCE_SHARE: f64 = 0.5;
/// A lease that follows demand takes at most its even part of this share of what is available. Equal by choice to the
/// share at which units become scarce: one figure says how much is kept for the other gateways.
const MAX_DEMAND_LEASE_SHARE: f64 = SCARCE_SHARE;
/// A lease is renewed when less than this share of it is left.
const RENEWAL_SHARE: f64 = 0.4;
/// Demand is smoothed over this share of a refill period.
const DEMAND_SMOOTHING_SHARE: f64 = 0.5;
/// A request waits for the counter at most this share of its latency objective.
const LEASE_WAIT_SHARE: f64 = 0.12;
/// `Retry-After` of a request over quota is lengthened by up to this share, so that clients do not return all at once.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// The least refill rate that a `Retry-After` is computed from, in units per second.
const MIN_UNITS_PER_SECOND: f64 = 1e-9;

/// The units leased for one window of the counter.
#[derive(Default)]
pub(crate) struct QuotaLease {
    /// The window's number.
    pub window: u64,
    /// Units leased and not spent yet; they expire with the window.
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

/// The lease that smoothed demand asks for, rounded down to units: the demand of a part of the refill period, at most
/// an even part of what is available.
fn demand_lease_units(
    demand_units_per_ms: f64, refill_period: Millis, available_units: f64, customer_gateways: f64,
) -> f64 {
    let demand_units = demand_units_per_ms * refill_period * LEASE_SHARE;
    demand_units.min(available_units * MAX_DEMAND_LEASE_SHARE / customer_gateways).floor()
}

/// The lease taken while units are not scarce, rounded up to units: an even part of all above the scarce share. Large
/// leases save calls while no gateway can run short; below zero while units are scarce.
fn plentiful_lease_units(available_units: f64, burst: f64, customer_gateways: f64) -> f64 {
    ((available_units - burst * SCARCE_SHARE) / customer_gateways).ceil()
}

impl Customer {
    /// The lease that smoothed demand asks for, rounded down to units.
    fn demand_lease_units(&self, plan: &Plan) -> f64 {
        let demand = self.demand.units_per_ms;
        demand_lease_units(demand, refill_period(plan), self.bucket.available_units, self.customer_gateways)
    }

    /// The units to lease when requests wait for `needed_units`: the even part of the burst at first, later what
    /// demand or plenty allow. Near the end of the quota it falls to what the waiting requests need.
    fn lease_units(&self, needed_units: f64, plan: &Plan) -> f64 {
        let wanted_units = if self.has_total {
            let available_units = self.bucket.available_units;
            let plentiful = plentiful_lease_units(available_units, plan.burst, self.customer_gateways);
            self.demand_lease_units(plan).max(plentiful)
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
    fn should_renew_lease(&self, plan: &Plan) -> bool {
        let target_units = self.demand_lease_units(plan);
        target_units >= MIN_CALL_UNITS && self.lease.units < target_units * RENEWAL_SHARE
    }

    /// Whether the lease covers a request. Requests that wait go first.
    fn lease_covers(&self, units: f64) -> bool {
        self.waiting.is_empty() && self.lease.units >= units
    }
}

impl Gateway {
    /// Admits a request by its customer's quota: from the lease, without the counter during an outage, or after the
    /// counter's answer; rejects it once lease and bucket are spent. Returns whether the request waits for the
    /// counter.
    pub(crate) fn admit_by_quota(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let is_unavailable = self.is_counter_silent();
        let Some(request) = self.requests.get(&id) else { return false };
        let name = request.customer.clone();
        let units = request.units;
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        let plan = &self.settings.plans[customer.plan_index];
        customer.advance(self.now, plan);
        let usable_units = customer.bucket.available_units + customer.lease.units;
        if plan.rate <= 0.0 {
            self.forward_or_enqueue(id, out);
        } else if is_sampled(plan, customer.customer_gateways) {
            return self.admit_sampled(id, out);
        } else if customer.lease_covers(units) {
            customer.lease.units -= units;
            if !is_unavailable && customer.should_renew_lease(plan) {
                self.call_counter(&name, out);
            }
            self.forward_or_enqueue(id, out);
        } else if is_unavailable {
            self.admit_by_fallback(id, out);
            self.probe_counter(&name, out);
        } else if customer.has_total && usable_units < units {
            let units_per_second = plan.rate;
            self.reject_over_quota(id, units - usable_units, units_per_second, out);
        } else {
            return self.wait_for_counter(id, out);
        }
        false
    }

    /// Lets a request wait for the answer of the counter. Returns whether it waits.
    pub(crate) fn wait_for_counter(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.waiting.push_back(id);
        let objective = self.settings.classes[request.class_index].latency_objective;
        let until = request.arrived_at + objective * LEASE_WAIT_SHARE;
        self.start_wait(id, RequestStage::AwaitingCounter, until, out);
        true
    }

    /// Rejects a request that lacks `missing_units`, with the time in which they come in as `Retry-After`.
    pub(crate) fn reject_over_quota(
        &mut self, id: RequestId, missing_units: f64, units_per_second: f64, out: &mut Vec<Action>,
    ) {
        let draw = self.random.draw();
        let retry_after = over_quota_retry_after(missing_units, units_per_second, draw);
        self.reject(id, retry_after, RejectReason::QuotaExceeded, out);
    }
}

/// How long a client over quota should wait, in ms: until the missing units have come in, and by `draw` in 0..1 a
/// little longer.
fn over_quota_retry_after(missing_units: f64, units_per_second: f64, draw: f64) -> Millis {
    missing_units / units_per_second.max(MIN_UNITS_PER_SECOND) * 1000.0 * (1.0 + RETRY_AFTER_JITTER * draw)
}
