//! Admission of a request by its customer's quota: which of six cases applies, and how each is handled.

use crate::quota::customer::Customer;
use crate::quota::sampled::is_sampled;
use crate::request::RequestStage;
use crate::{Action, Gateway, Millis, Plan, RejectReason, RequestId};

/// A request waits for the counter at most this share of its latency objective.
const LEASE_WAIT_SHARE: f64 = 0.12;
/// `Retry-After` of a request over quota is lengthened by up to this share, so that clients do not return all at once.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// The least refill rate that a `Retry-After` is computed from, in units per second.
const MIN_UNITS_PER_SECOND: f64 = 1e-9;

/// The result of admission by quota.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaAdmission {
    /// The request is admitted or rejected, or has ended.
    Decided,
    /// The request waits for the counter: the caller has to make the call.
    AwaitsCounter,
}

/// Which rule admits or rejects a request. The first case that holds, in this order.
enum QuotaCase {
    /// The plan has neither a rate nor a ceiling.
    Unlimited,
    /// The quota is too small to be leased.
    Sampled,
    /// The lease covers the request.
    Leased,
    /// The lease does not cover it, and the counter is unavailable.
    Fallback,
    /// According to the last total, lease and bucket together lack `missing_units` for it.
    OverQuota { missing_units: f64 },
    /// The counter may grant it a lease.
    NeedsLease,
}

impl Customer {
    /// Which rule decides on a request of `units`.
    fn quota_case(&self, units: f64, plan: &Plan, is_counter_unavailable: bool) -> QuotaCase {
        // Units are debited from the bucket when they are leased, so the usable units are the sum of both.
        let usable_units = self.bucket.available_units + self.lease.units;
        if plan.rate <= 0.0 {
            QuotaCase::Unlimited
        } else if is_sampled(plan, self.customer_gateways) {
            QuotaCase::Sampled
        } else if self.lease_covers(units) {
            QuotaCase::Leased
        } else if is_counter_unavailable {
            QuotaCase::Fallback
        } else if self.has_total && usable_units < units {
            QuotaCase::OverQuota { missing_units: units - usable_units }
        } else {
            QuotaCase::NeedsLease
        }
    }

    /// Whether the lease covers a request. Requests that wait go first.
    fn lease_covers(&self, units: f64) -> bool {
        self.waiting.is_empty() && self.lease.units >= units
    }
}

impl Gateway {
    /// Admits a request by its customer's quota, or rejects it once lease and bucket are spent, or lets it wait for the
    /// counter.
    pub(crate) fn admit_by_quota(&mut self, id: RequestId, out: &mut Vec<Action>) -> QuotaAdmission {
        let is_counter_unavailable = self.is_counter_unavailable();
        let Some(request) = self.requests.get(&id) else { return QuotaAdmission::Decided };
        let units = request.units;
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return QuotaAdmission::Decided;
        };
        let plan = &self.settings.plans[customer.plan_index];
        customer.advance(self.now, plan);
        match customer.quota_case(units, plan, is_counter_unavailable) {
            QuotaCase::Unlimited => self.forward_or_enqueue(id, out),
            QuotaCase::Sampled => return self.admit_sampled(id, out),
            QuotaCase::Leased => self.admit_from_lease(id, !is_counter_unavailable, out),
            QuotaCase::Fallback => {
                let name = request.customer.clone();
                self.admit_by_fallback(id, out);
                self.probe_counter(&name, out);
            }
            QuotaCase::OverQuota { missing_units } => {
                let units_per_second = plan.rate;
                self.reject_over_quota(id, missing_units, units_per_second, out);
            }
            QuotaCase::NeedsLease => return self.wait_for_counter(id, out),
        }
        QuotaAdmission::Decided
    }

    /// Spends the units of a request from the lease that covers it. Renews the lease where it runs low and
    /// `may_renew_lease`.
    fn admit_from_lease(&mut self, id: RequestId, may_renew_lease: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        customer.lease.units -= request.units;
        if may_renew_lease && customer.should_renew_lease(plan) {
            let name = request.customer.clone();
            self.call_counter(&name, out);
        }
        self.forward_or_enqueue(id, out);
    }

    /// Lets a request wait for the response of the counter.
    pub(crate) fn wait_for_counter(&mut self, id: RequestId, out: &mut Vec<Action>) -> QuotaAdmission {
        let Some(request) = self.requests.get(&id) else { return QuotaAdmission::Decided };
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return QuotaAdmission::Decided;
        };
        customer.waiting.push_back(id);
        let objective = self.settings.classes[request.class_index].latency_objective;
        let until = request.arrived_at + objective * LEASE_WAIT_SHARE;
        self.start_wait(id, RequestStage::AwaitingCounter, until, out);
        QuotaAdmission::AwaitsCounter
    }

    /// Rejects a request that lacks `missing_units`; `Retry-After` is the time in which the rate refills them.
    pub(crate) fn reject_over_quota(
        &mut self, id: RequestId, missing_units: f64, units_per_second: f64, out: &mut Vec<Action>,
    ) {
        let draw = self.random.draw();
        let retry_after = over_quota_retry_after(missing_units, units_per_second, draw);
        self.reject(id, retry_after, RejectReason::QuotaExceeded, out);
    }
}

/// How long a client over quota should wait, in ms: until the missing units are refilled, lengthened by jitter from
/// `draw` in 0..1.
fn over_quota_retry_after(missing_units: f64, units_per_second: f64, draw: f64) -> Millis {
    missing_units / units_per_second.max(MIN_UNITS_PER_SECOND) * 1000.0 * (1.0 + RETRY_AFTER_JITTER * draw)
}
