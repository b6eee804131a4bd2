//! Sampled admission: quotas so small that a lease at each gateway would exceed them.
//!
//! A sample of the requests is added to the counter, each weighted by the inverse of its sampling probability, so that
//! the total is on average the units requested from all gateways. Requests outside the sample are admitted with the
//! probability derived from the last total.

use crate::counter::call_rate::{MAX_CALL_RATE, MIN_CALL_RATE};
use crate::counter::calls::CounterCall;
use crate::gossip::AdmitReport;
use crate::quota::admit::QuotaAdmission;
use crate::quota::bucket::{refill_period, window_at};
use crate::quota::lease::SCARCE_SHARE;
use crate::request::sum_over;
use crate::{Action, Gateway, Millis, Name, Plan, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// A quota is sampled where its burst leaves each gateway less than this part of a unit.
const MIN_LEASABLE_UNITS: f64 = 0.5;
/// A window grants this share of the burst at once; the rest is refilled at the rate.
const WINDOW_INITIAL_SHARE: f64 = 0.75;
/// Once a total is over quota, the admit probability is the part of the requested units that this share of the burst
/// and the units refilled since the window began cover.
const ADMIT_BURST_SHARE: f64 = 0.25;
/// An admit probability decays exponentially to the plan's default, with a time constant of this many refill periods.
const ADMIT_FADE_PERIODS: f64 = 4.0;
/// Only an admit probability below this is gossiped: when it is below this share of the last one recorded, or when that
/// one is older than a refill period.
const GOSSIP_THRESHOLD: f64 = 0.7;
/// A customer's first total at this gateway counts as within quota if the requests before those of its call asked for
/// less than this share of the granted units. Equal to the share at which units of a leased quota become scarce.
const PRIOR_WITHIN_QUOTA_SHARE: f64 = SCARCE_SHARE;
/// The least sampling probability. Where a plan or class has little weight, the least call rate is lowered by at most
/// the same factor once more, so that some requests of each customer are counted even while calls are scarce.
const MIN_SAMPLING_PROBABILITY: f64 = MIN_CALL_RATE * MIN_CALL_RATE;
/// Weight of the newest first total in a plan's prior.
const PRIOR_WEIGHT: f64 = 0.1;
/// The most customers with an admit estimate: each takes some 50 bytes, and all are visited by each maintenance tick.
const MAX_ESTIMATES: usize = 16_384;
/// The least mean loss that losses are compared with.
const MIN_MEAN_LOSS: f64 = 1e-9;

/// Whether a quota is too small to be leased. Never under a ceiling, which sampling could exceed.
pub(crate) fn is_sampled(plan: &Plan, customer_gateways: f64) -> bool {
    plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < MIN_LEASABLE_UNITS * customer_gateways
}

/// What one wrongly admitted request of a plan costs, relative to the value of a response.
fn over_quota_loss(plan: &Plan) -> f64 {
    plan.priority_factor * (plan.over_quota_cost - plan.over_quota_value).clamp(0.0, 1.0)
}

/// The loss of a wrong decision for a plan relative to the mean of all plans.
fn relative_loss(plans: &[Plan], plan_index: usize) -> f64 {
    let mean = plans.iter().map(over_quota_loss).sum::<f64>() / plans.len() as f64;
    over_quota_loss(&plans[plan_index]) / mean.max(MIN_MEAN_LOSS)
}

/// The probability that a request is added to the counter; above 1, retries of clients are added too. While calls are
/// scarce, requests are sampled less where a wrong decision costs less.
///
/// Inputs: `call_rate` as in [`crate::counter::call_rate`], `relative_loss` and `relative_priority` relative to the
/// means of all plans and classes.
fn sampling_probability(call_rate: f64, relative_loss: f64, relative_priority: f64) -> f64 {
    (call_rate * relative_loss * relative_priority).clamp(MIN_SAMPLING_PROBABILITY, MAX_CALL_RATE)
}

/// Whether a request is in the sample, by `draw` in 0..1. A client's retry is in it with the part of the sampling
/// probability that exceeds 1, hence never where that is 1 or less.
fn is_in_sample(draw: f64, sampling_probability: f64, client_retry: bool) -> bool {
    let retry_offset = if client_retry { 1.0 } else { 0.0 };
    draw < sampling_probability - retry_offset
}

/// The units that a request in the sample adds to the counter: its own over its sampling probability, so that it
/// stands for those outside the sample too. A client's retry adds nothing: it is in the counter since its first
/// request.
fn weigh_units(units: f64, sampling_probability: f64, client_retry: bool) -> f64 {
    if client_retry { 0.0 } else { units / sampling_probability.min(1.0) }
}

/// The probability of admitting a request without a total of its own.
///
/// The customer's last probability decays to the default of its plan. The default is 1 where admitting all customers
/// without a total gains more than the wrongly admitted requests cost, else 0; `prior_within_quota`, the share of first
/// totals within quota, is the probability that such a customer is within quota.
fn admit_probability(prior_within_quota: f64, plan: &Plan, last: AdmitEstimate, now: Millis) -> f64 {
    let admits_unknown =
        prior_within_quota > (1.0 - prior_within_quota) * (plan.over_quota_cost - plan.over_quota_value);
    let default_probability = f64::from(admits_unknown);
    let age_periods = (now - last.estimated_at) / refill_period(plan);
    default_probability + (-age_periods / ADMIT_FADE_PERIODS).exp() * (last.probability - default_probability)
}

/// The probability of admitting requests of one customer, from a total received here or by another gateway.
#[derive(Clone, Copy, Default)]
pub(crate) struct AdmitEstimate {
    probability: f64,
    estimated_at: Millis,
}

/// The last estimate for each customer, by the hash of its name.
#[derive(Default)]
pub(crate) struct AdmitEstimates(BTreeMap<u64, AdmitEstimate>);

impl AdmitEstimates {
    /// Records an estimate and returns the one before. Where too many customers have one, that of a further customer is
    /// not kept: the default of its plan applies.
    pub(crate) fn record(&mut self, name_hash: u64, probability: f64, now: Millis) -> Option<AdmitEstimate> {
        if self.0.len() >= MAX_ESTIMATES && !self.0.contains_key(&name_hash) {
            return None;
        }
        self.0.insert(name_hash, AdmitEstimate { probability, estimated_at: now })
    }

    /// Drops estimates that are as old as `retention` ms.
    pub(crate) fn expire(&mut self, now: Millis, retention: Millis) {
        self.0.retain(|_, estimate| now - estimate.estimated_at < retention);
    }

    /// The last estimate; for an unknown customer, probability 0 at time 0. That has decayed to the plan's default once
    /// the clock is a few refill periods past 0.
    fn get(&self, name_hash: u64) -> AdmitEstimate {
        self.0.get(&name_hash).copied().unwrap_or_default()
    }
}

/// The smoothed share of first totals of a plan's customers that were within quota: of totals that only first requests
/// waited for, and of totals that a client's retry waited for. The plan's default admit probability follows from it.
#[derive(Clone, Copy)]
pub(crate) struct PlanPrior {
    first_request_within_quota: f64,
    client_retry_within_quota: f64,
}

impl Default for PlanPrior {
    fn default() -> Self {
        Self { first_request_within_quota: 1.0, client_retry_within_quota: 0.0 }
    }
}

impl PlanPrior {
    /// The share for first requests or for clients' retries.
    fn within_quota(&self, client_retry: bool) -> f64 {
        if client_retry { self.client_retry_within_quota } else { self.first_request_within_quota }
    }

    /// Records whether a first total was within quota.
    fn record(&mut self, client_retry: bool, is_within_quota: bool) {
        let within_quota = if client_retry {
            &mut self.client_retry_within_quota
        } else {
            &mut self.first_request_within_quota
        };
        *within_quota += PRIOR_WEIGHT * (f64::from(is_within_quota) - *within_quota);
    }
}

/// The units and the admit probability of one window of a sampled quota.
struct SampledWindow {
    /// Units granted so far.
    granted_units: f64,
    /// The share of the requests that can be admitted, 0 to 1.
    admit_probability: f64,
}

impl SampledWindow {
    /// Inputs: `elapsed`, in ms, since the window began; `requested_units`, the total without the last call;
    /// `call_units`, the weighted units of the last call's requests; `excess_units`, by how much these exceed the units
    /// of the requests themselves.
    ///
    /// The weight of a sampled request above its own units represents requests that were admitted by draw, without a
    /// total: this excess is granted.
    fn new(plan: &Plan, elapsed: Millis, requested_units: f64, call_units: f64, excess_units: f64) -> Self {
        let refilled_units = plan.rate * elapsed / 1000.0;
        let granted_units =
            (plan.burst * WINDOW_INITIAL_SHARE + refilled_units).min(plan.burst) + excess_units;
        let sustainable_units = plan.burst * ADMIT_BURST_SHARE + refilled_units + excess_units;
        let is_over_quota = requested_units + call_units > granted_units;
        let sustainable_share = sustainable_units / (requested_units + call_units);
        let admit_probability = if is_over_quota { sustainable_share.min(1.0) } else { 1.0 };
        Self { granted_units, admit_probability }
    }
}

impl Gateway {
    /// Handles a request of a sampled quota: adds it to the counter if a random draw selects it, else decides without a
    /// total.
    pub(crate) fn admit_sampled(&mut self, id: RequestId, out: &mut Vec<Action>) -> QuotaAdmission {
        let draw = self.random.draw();
        let Some(request) = self.requests.get(&id) else { return QuotaAdmission::Decided };
        let probability = sampling_probability(
            self.call_rate.get(),
            relative_loss(&self.settings.plans, request.plan_index),
            self.relative_priority(request.class_index),
        );
        let is_counted = self.settings.has_counter && is_in_sample(draw, probability, request.client_retry);
        let weighted_units = weigh_units(request.units, probability, request.client_retry);
        let Some(customer) = self.customers.get(&request.customer) else { return QuotaAdmission::Decided };
        if is_counted && customer.pending_call.is_none() {
            self.requests.entry(id).and_modify(|request| request.weighted_units = weighted_units);
            return self.wait_for_counter(id, out);
        }
        self.admit_without_total(id, out);
        QuotaAdmission::Decided
    }

    /// Admits or rejects a request of a sampled quota by the customer's admit probability.
    pub(crate) fn admit_without_total(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let draw = self.random.draw();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        let prior_within_quota = self.plan_priors[customer.plan_index].within_quota(request.client_retry);
        let last = self.admit_estimates.get(customer.name_hash);
        if draw < admit_probability(prior_within_quota, plan, last, self.now) {
            self.requests.entry(id).and_modify(|request| request.admitted_without_total = true);
            return self.forward_or_enqueue(id, out);
        }
        self.reject_over_quota(id, request.units, plan.rate, out);
    }

    /// Handles the counter's total for a sampled quota: updates the admit probability and admits or rejects the waiting
    /// requests.
    pub(crate) fn sampled_total_received(
        &mut self, name: &Name, call: CounterCall, total: f64, out: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        let requested_units = total - call.new_units - call.report_units;
        let own_units = sum_over(&customer.waiting, &self.requests, |request| request.units);
        let excess_units = (call.new_units - own_units).max(0.0);
        let period = refill_period(plan);
        let elapsed = self.now - window_at(self.now, period, customer.name_hash).started_at;
        let window = SampledWindow::new(plan, elapsed, requested_units, call.new_units, excess_units);
        let units_per_second = plan.rate;
        let name_hash = customer.name_hash;
        let waiting = std::mem::take(&mut customer.waiting);
        if !std::mem::replace(&mut customer.has_total, true) {
            let is_retry =
                waiting.iter().any(|id| self.requests.get(id).is_some_and(|request| request.client_retry));
            let is_within_quota = requested_units < window.granted_units * PRIOR_WITHIN_QUOTA_SHARE;
            self.plan_priors[customer.plan_index].record(is_retry, is_within_quota);
        }
        self.record_admit_probability(name_hash, window.admit_probability, period, out);
        self.decide_sampled(waiting, requested_units, window.granted_units, units_per_second, out);
    }

    /// Records an admit probability, and gossips it where [`GOSSIP_THRESHOLD`] requires it.
    fn record_admit_probability(
        &mut self, name_hash: u64, probability: f64, refill_period: Millis, out: &mut Vec<Action>,
    ) {
        let unknown = AdmitEstimate { probability: 1.0, estimated_at: f64::NEG_INFINITY };
        let last = self.admit_estimates.record(name_hash, probability, self.now).unwrap_or(unknown);
        let has_fallen = probability < last.probability * GOSSIP_THRESHOLD;
        let is_outdated = self.now > last.estimated_at + refill_period;
        if self.settings.gossip_allowed && probability < GOSSIP_THRESHOLD && (has_fallen || is_outdated) {
            let report = AdmitReport { name_hash, probability };
            out.push(Action::Gossip { bytes: report.encode() });
        }
    }

    /// Admits the requests that waited, in order, as long as the granted units last. The total already includes
    /// clients' retries.
    fn decide_sampled(
        &mut self, waiting: VecDeque<RequestId>, mut requested_units: f64, granted_units: f64,
        units_per_second: f64, out: &mut Vec<Action>,
    ) {
        for id in waiting {
            let first = self.requests.get(&id).filter(|request| !request.client_retry);
            requested_units += first.map_or(0.0, |request| request.units);
            let missing_units = requested_units - granted_units;
            if missing_units <= 0.0 {
                self.forward_or_enqueue(id, out);
            } else {
                self.reject_over_quota(id, missing_units, units_per_second, out);
            }
        }
    }
}
