//! The periodic maintenance tick: drops idle customers and removed backends, returns unused leases, reports used units,
//! forwards queued requests.

use crate::balancer::backend::Backend;
use crate::quota::bucket::{idle_retention, refill_period};
use crate::quota::customer::Customer;
use crate::quota::customer_limit::names_after;
use crate::quota::lease::{LEASE_SHARE, SCARCE_SHARE};
use crate::quota::sampled::is_sampled;
use crate::quota::{MIN_CALL_UNITS, UNITS_EPSILON};
use crate::{Action, Gateway, Millis, Name, Plan};

/// No counter, admit estimate or removed backend is kept for longer than this, in ms.
pub(crate) const MAX_RETENTION: Millis = 60_000.0;
/// The time between maintenance ticks, in ms: short compared with any latency objective.
const MAINTENANCE_INTERVAL: Millis = 25.0;
/// While units are scarce, a lease is returned when no request of the customer arrived for this share of a refill
/// period. Equal to the share whose demand a lease covers, since the lease should be spent by then.
const EARLY_RETURN_SHARE: f64 = LEASE_SHARE;
/// Units are reported without a new lease once they reach this share of the burst. Equal to the share of a refill
/// period that a lease covers: the rate refills this many units in that time.
const REPORT_SHARE: f64 = LEASE_SHARE;
/// The most customers that one maintenance tick visits.
const MAX_CUSTOMERS_PER_TICK: usize = 4096;
/// The token of the maintenance timer; tokens of requests are even.
pub(crate) const MAINTENANCE_TOKEN: u64 = 1;

/// The least unreported units, used or to be returned, that are worth a counter call of their own.
fn min_reported_units(burst: f64, returns_leases: bool) -> f64 {
    if returns_leases { UNITS_EPSILON } else { (burst * REPORT_SHARE).max(MIN_CALL_UNITS) }
}

impl Backend {
    /// Whether the backend has been off the endpoint list for so long that no open request may have been executed on
    /// it. Until then it is kept, since it identifies the zone and cell in which such a request may be retried.
    fn is_forgettable(&self, now: Millis) -> bool {
        self.occupancy.count() == 0
            && self.removed_at.is_some_and(|removed_at| now - removed_at > MAX_RETENTION)
    }
}

impl Customer {
    /// Whether the lease is to be returned: it has been unused for a while and units are scarce, or the gateway returns
    /// all leases.
    fn should_return_lease(&self, now: Millis, plan: &Plan, returns_leases: bool) -> bool {
        let idle = now - self.demand.updated_at;
        let is_scarce = self.bucket.available_units < plan.burst * SCARCE_SHARE;
        let is_idle = idle > refill_period(plan) * EARLY_RETURN_SHARE;
        is_scarce && is_idle && self.lease.units >= MIN_CALL_UNITS || returns_leases
    }

    /// Whether the customer has waiting requests or units to report, and no call in flight.
    fn needs_counter_call(&self, plan: &Plan, returns_leases: bool) -> bool {
        let min_units = min_reported_units(plan.burst, returns_leases);
        let has_report =
            !is_sampled(plan, self.customer_gateways) && self.unreported_units.abs() >= min_units;
        self.pending_call.is_none() && (has_report || !self.waiting.is_empty())
    }

    /// Whether a request or a counter call of the customer is open.
    pub(crate) fn is_busy(&self) -> bool {
        self.pending_call.is_some() || self.open_requests > 0
    }

    /// Whether the customer's state has to be kept.
    fn is_in_use(&self, now: Millis, plan: &Plan) -> bool {
        self.is_busy() || now - self.demand.updated_at < idle_retention(plan)
    }
}

impl Gateway {
    /// Starts the maintenance timer with the first event.
    pub(crate) fn start_maintenance(&mut self, out: &mut Vec<Action>) {
        if std::mem::replace(&mut self.maintenance_started, true) {
            return;
        }
        set_maintenance_timer(out);
        if self.settings.watch_on_request {
            out.push(Action::WatchBackends);
        }
    }

    /// Runs one maintenance tick and sets the timer for the next.
    pub(crate) fn run_maintenance(&mut self, out: &mut Vec<Action>) {
        set_maintenance_timer(out);
        self.admit_estimates.expire(self.now, MAX_RETENTION);
        self.forget_backends();
        let to_call = self.maintain_customers();
        if !self.is_counter_unavailable() {
            for name in to_call {
                self.call_counter(&name, out);
            }
        }
        self.forward_queued(out);
    }

    /// Forgets removed backends and frees their slots.
    fn forget_backends(&mut self) {
        let now = self.now;
        let endpoints = &mut self.endpoints;
        self.backends.retain(|_, backend| {
            let is_forgettable = backend.is_forgettable(now);
            if is_forgettable {
                endpoints.release_slot(backend.slot);
            }
            !is_forgettable
        });
    }

    /// Returns unused leases and forgets idle customers. Returns the customers to call the counter for.
    ///
    /// A tick visits [`MAX_CUSTOMERS_PER_TICK`] customers, so that its cost has a bound; the next one continues there.
    fn maintain_customers(&mut self) -> Vec<Name> {
        let mut to_call = Vec::new();
        let mut to_forget = Vec::new();
        let mut visited = 0;
        let mut last = None;
        let now = self.now;
        let plans = &self.settings.plans;
        let returns_leases = self.returns_leases;
        let next = self.customers.range_mut(names_after(self.last_maintained.take()));
        for (name, customer) in next.take(MAX_CUSTOMERS_PER_TICK) {
            visited += 1;
            last = Some(name);
            let plan = &plans[customer.plan_index];
            customer.advance(now, plan);
            if customer.should_return_lease(now, plan, returns_leases) {
                customer.return_lease();
            }
            if customer.needs_counter_call(plan, returns_leases) {
                to_call.push(name.clone());
            }
            if !customer.is_in_use(now, plan) {
                to_forget.push(name.clone());
            }
        }
        if visited == MAX_CUSTOMERS_PER_TICK {
            self.last_maintained = last.cloned();
        }
        for name in to_forget {
            self.customers.remove(&name);
        }
        to_call
    }
}

fn set_maintenance_timer(out: &mut Vec<Action>) {
    out.push(Action::SetTimer { after: MAINTENANCE_INTERVAL, token: MAINTENANCE_TOKEN });
}
