//! The token bucket of a customer and the windows of its shared counter.

use crate::{Millis, Plan};

/// The refill period of a plan without a rate or ceiling, in ms; only determines how long its idle customers are kept.
const UNLIMITED_REFILL_PERIOD: Millis = 1000.0;
/// Under a ceiling an unknown customer's bucket starts with this share of its burst.
const CEILING_INITIAL_SHARE: f64 = 0.5;
/// A customer idle for this many refill periods is forgotten, see [`idle_retention`].
const IDLE_PERIODS: f64 = 2.0;
/// Windows of customers are staggered in this many steps.
const WINDOW_OFFSETS: u64 = 1024;

/// The units that a customer may still use, according to all counter totals received. Between totals the bucket fills
/// at the plan's rate.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// Units that may be used; negative where more was used than the quota allows.
    pub available_units: f64,
    /// When the bucket was last filled.
    filled_at: Millis,
    /// Units refilled while the bucket was full, since the last total.
    pub overflow_units: f64,
}

impl TokenBucket {
    pub(crate) fn new(available_units: f64, now: Millis) -> Self {
        Self { available_units, filled_at: now, overflow_units: 0.0 }
    }

    /// Adds the units that the rate refilled since the last call, up to the burst.
    pub(crate) fn fill(&mut self, now: Millis, plan: &Plan) {
        let filled_units = self.available_units + plan.rate * (now - self.filled_at) / 1000.0;
        self.available_units = filled_units.min(plan.burst);
        self.filled_at = now;
        self.overflow_units += (filled_units - plan.burst).max(0.0);
    }

    /// Puts units back that were not used, up to `burst`.
    pub(crate) fn put_back(&mut self, units: f64, burst: f64) {
        self.available_units = (self.available_units + units).min(burst);
    }

    /// Limits the overflow to what may be credited against the use of other gateways, see [`max_overflow_credit`].
    pub(crate) fn limit_overflow(&mut self, max_units: f64) {
        self.overflow_units = self.overflow_units.min(max_units);
    }

    /// Debits the units counted since the last total: `used_units` in all, of which `leased_units` are this gateway's
    /// new lease. Overflow is credited against the use of other gateways only, never against this gateway's lease.
    pub(crate) fn settle_total(&mut self, used_units: f64, leased_units: f64, burst: f64) {
        let credited_units = (used_units - leased_units).clamp(0.0, self.overflow_units);
        self.overflow_units -= credited_units;
        self.available_units = (self.available_units - (used_units - credited_units)).min(burst);
    }
}

/// The units in the bucket of a customer that is new to this gateway.
///
/// Under a ceiling (at least 1.6 times rate and burst) only half the burst: a gateway may return to an emptied counter
/// when the others have just granted a full burst, and 1.5 bursts and the rate stay within the ceiling.
pub(crate) fn initial_units(plan: &Plan) -> f64 {
    if plan.ceiling_rate > 0.0 { plan.burst * CEILING_INITIAL_SHARE } else { plan.burst }
}

/// The time in which the rate fills an empty bucket, in ms.
pub(crate) fn refill_period(plan: &Plan) -> Millis {
    if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { UNLIMITED_REFILL_PERIOD }
}

/// How long an idle customer and its counters are kept, in ms. By then its bucket is full again, so nothing is lost by
/// dropping it, and memory stays bounded when many customers are seen once.
pub(crate) fn idle_retention(plan: &Plan) -> Millis {
    refill_period(plan) * IDLE_PERIODS
}

/// One window of a shared counter; it is one refill period long.
pub(crate) struct Window {
    /// Its number, the same at all gateways.
    pub number: u64,
    /// When it began, on the host's clock.
    pub started_at: Millis,
}

/// The window at `now`. Windows are staggered by the customer's hash, so that customers do not renew all at once.
pub(crate) fn window_at(now: Millis, refill_period: Millis, name_hash: u64) -> Window {
    let offset = (name_hash % WINDOW_OFFSETS) as f64 / WINDOW_OFFSETS as f64 * refill_period;
    let number = ((now + offset) / refill_period).floor();
    Window { number: number as u64, started_at: number * refill_period - offset }
}

/// The most overflow, in units, that may be credited against what other gateways used while the counter was unavailable
/// for `unavailable_ms`. `is_recent` says whether that ended less than a refill period ago.
///
/// After the outage all gateways report what they used during it at once, but a full bucket could not store the units
/// refilled in that time. The other gateways' even share of these units is credited against their reports. Not under a
/// ceiling, which many gateways would exceed together.
pub(crate) fn max_overflow_credit(
    plan: &Plan, unavailable_ms: Millis, is_recent: bool, customer_gateways: f64,
) -> f64 {
    let is_credited = is_recent && plan.ceiling_rate <= 0.0;
    let others_share = if is_credited { 1.0 - 1.0 / customer_gateways } else { 0.0 };
    plan.rate * unavailable_ms / 1000.0 * others_share
}
