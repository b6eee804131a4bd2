//! Quotas too small to lease.

use crate::counter::calls::EASE_LEAST;
use crate::quota::customer::Customer;
use crate::quota::lease::NEAR_SHARE;
use crate::request::Request;
use crate::*;

/// All first tries of thin customers are asked about at 1, all repeats of clients at this.
pub(crate) const EASE_MOST: f64 = 2.0;
/// A customer is thin where its burst leaves each of its gateways less than this part of a unit: a block in
/// hand everywhere would be its whole quota many times over.
pub(crate) const THIN: f64 = 0.5;
/// What a thin customer's window grants at once, as a share of the burst; the rest comes with the rate.
pub(crate) const THIN_START: f64 = 0.75;
/// How far a thin customer is beyond its quota is told by what the rate and this share of the burst grant ...
pub(crate) const THIN_ODDS: f64 = 0.25;
/// ... and fades over this many turns.
pub(crate) const THIN_FADE: f64 = 4.0;
/// Gateways that may talk tell of customers of whom less than this share fits, and again when it falls so.
pub(crate) const THIN_NEWS: f64 = 0.7;
/// Weight of the newest first total in a plan's odds.
pub(crate) const NEWEST: f64 = 0.1;

impl Customer {
    /// Whether the quota is too small for blocks at each gateway; chance decides then, but under no ceiling.
    pub(crate) fn is_sampled(&self, plan: &Plan) -> bool {
        plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < THIN * self.gateway_count
    }
}

impl Gateway {
    /// The gate of a thin customer. Its count sums what is asked: a try is added by chance, as far as the
    /// counter bears, and weighs the more; without an add the odds last heard decide.
    pub(crate) fn admit_sampled(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chance = self.draw();
        let Some(request) = self.requests.get(&id) else { return false };
        let (asked, repeat) = (self.sampling_probability(request), f64::from(request.client_retry));
        let calls = self.settings.has_counter && chance < asked - repeat;
        let weight = (1.0 - repeat) * request.units / asked.min(1.0);
        let Some(customer) = self.customers.get(&request.customer) else { return false };
        if calls && customer.pending_call.is_none() {
            self.requests.entry(id).and_modify(|r| r.weighted_units = weight);
            return self.wait_for_lease(id, out);
        }
        self.admit_without_total(id, out);
        false
    }

    /// How likely a thin customer's first try is asked about: while calls are scarce, less likely where a
    /// wrong guess costs less.
    pub(crate) fn sampling_probability(&self, request: &Request) -> f64 {
        let loss = |p: &Plan| p.priority_factor * (p.over_quota_cost - p.over_quota_value).clamp(0.0, 1.0);
        let plans = &self.settings.plans;
        let mean = plans.iter().map(loss).sum::<f64>() / plans.len() as f64;
        let plan = loss(&plans[request.plan_index]) / mean.max(1e-9);
        (self.call_rate * plan * self.relative_priority(request.class_index))
            .clamp(EASE_LEAST * EASE_LEAST, EASE_MOST)
    }

    /// Decides for a thin customer's try without a total: by the odds last heard, fading to its plan's. Of
    /// unknown customers all is let in where that gains more than it costs, else nothing.
    pub(crate) fn admit_without_total(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let chance = self.draw();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        let usual = self.plan_admit_probability[customer.plan_index][usize::from(request.client_retry)];
        let pays = usual > (1.0 - usual) * (plan.over_quota_cost - plan.over_quota_value);
        let usual = f64::from(pays);
        let (odds, at) = self.admit_probabilities.get(&customer.name_hash).copied().unwrap_or_default();
        let age = (self.now - at) / Customer::refill_period(plan);
        if chance < usual + (-age / THIN_FADE).exp() * (odds - usual) {
            self.requests.entry(id).and_modify(|r| r.admitted_without_total = true);
            return self.forward_or_enqueue(id, out);
        }
        self.reject_over_quota(id, request.units, plan.rate, out);
    }

    /// A thin customer's total came: what is asked fits as far as the window has granted by now.
    pub(crate) fn sampled_total_received(
        &mut self, name: &Name, mut asked: f64, block: f64, out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        let (rate, turn) = (plan.rate, Customer::refill_period(plan));
        let since = rate * (now - customer.window_at(now, plan).1) / 1000.0;
        // A try that weighs more than itself stands for others by chance: one such is let by.
        let own: f64 = customer.waiting.iter().filter_map(|id| Some(self.requests.get(id)?.units)).sum();
        let luck = (block - own).max(0.0);
        let granted = (plan.burst * THIN_START + since).min(plan.burst) + luck;
        let even = (plan.burst * THIN_ODDS + since + luck) / (asked + block);
        let odds = if asked + block > granted { even.min(1.0) } else { 1.0 };
        let (told, at) = self
            .admit_probabilities
            .insert(customer.name_hash, (odds, now))
            .unwrap_or((1.0, f64::NEG_INFINITY));
        if self.settings.gossip_allowed && odds < THIN_NEWS && (odds < told * THIN_NEWS || now > at + turn) {
            let mut bytes = customer.name_hash.to_le_bytes();
            bytes[7] = (odds * 255.0) as u8;
            out.push(Action::Gossip { bytes: bytes.to_vec() });
        }
        let waiting = std::mem::take(&mut customer.waiting);
        if !std::mem::replace(&mut customer.has_total, true) {
            let repeat = waiting.iter().any(|id| self.requests.get(id).is_some_and(|r| r.client_retry));
            let usual = &mut self.plan_admit_probability[customer.plan_index][usize::from(repeat)];
            *usual += NEWEST * (f64::from(asked < granted * NEAR_SHARE) - *usual);
        }
        for id in waiting {
            asked += self.requests.get(&id).filter(|r| !r.client_retry).map_or(0.0, |r| r.units);
            let over = asked - granted;
            if over <= 0.0 {
                self.forward_or_enqueue(id, out)
            } else {
                self.reject_over_quota(id, over, rate, out)
            }
        }
    }
}
