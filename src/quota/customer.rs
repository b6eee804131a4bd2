//! The state that a gateway keeps of one customer.

use crate::balancer::attempts::Occupancy;
use crate::counter::calls::CounterCall;
use crate::quota::bucket::{TokenBucket, initial_units, refill_period, window_at};
use crate::quota::fallback::FallbackBudget;
use crate::quota::lease::{Demand, QuotaLease};
use crate::random::hash_text;
use crate::{Millis, Name, Plan, RequestId};
use std::collections::VecDeque;

/// Bits dropped from the hash of a customer's name: a gossip message carries the hash in seven bytes.
const HASH_BITS_CUT: u32 = 8;

/// One customer as this gateway knows it.
#[derive(Default)]
pub(crate) struct Customer {
    /// The index of its plan in the settings.
    pub plan_index: usize,
    /// How many gateways its requests come in through, a whole number, at least 1 from the first request on. At most
    /// [`crate::Settings::gateway_count`], the number of all gateways.
    pub customer_gateways: f64,
    /// This gateway's rank among them, from 0.
    pub gateway_rank: u32,
    /// Its name as a hash of 56 bits, used in counter names and gossip.
    pub name_hash: u64,
    pub bucket: TokenBucket,
    pub lease: QuotaLease,
    pub demand: Demand,
    /// Whether a total has been received since the customer became known or changed its window.
    pub has_total: bool,
    /// When the last total was received.
    pub last_total_at: Millis,
    /// Units used and not yet added to the counter; negative where units are to be returned.
    pub unreported_units: f64,
    /// The counter call in flight.
    pub pending_call: Option<CounterCall>,
    /// Requests that wait for the counter, in order of arrival.
    pub waiting: VecDeque<RequestId>,
    /// Set from the first request that is decided without the counter until the customer's next total.
    pub fallback_budget: Option<FallbackBudget>,
    /// The customer's requests without a final response.
    pub open_requests: usize,
    /// The places of the customer's requests that are in flight at backends.
    pub occupancy: Occupancy,
}

impl Customer {
    /// A customer that is new to this gateway.
    pub(crate) fn new(name: &Name, plan_index: usize, plan: &Plan, now: Millis) -> Self {
        Self {
            plan_index,
            name_hash: hash_text(name) >> HASH_BITS_CUT,
            bucket: TokenBucket::new(initial_units(plan), now),
            demand: Demand::new(now),
            ..Self::default()
        }
    }

    /// Fills the bucket and enters the current window. Units leased for an earlier window expire and go back to the
    /// bucket.
    pub(crate) fn advance(&mut self, now: Millis, plan: &Plan) {
        self.bucket.fill(now, plan);
        let window = window_at(now, refill_period(plan), self.name_hash);
        if window.number != self.lease.window {
            self.bucket.put_back(self.lease.units, plan.burst);
            self.drop_returns_under_ceiling(plan);
            self.lease = QuotaLease::for_window(window.number);
        }
    }

    /// Drops units that were to be returned to the window that has ended: under a ceiling they are returned to the count
    /// that they were taken from, or not at all. Returned to the next window, they would be granted once more, because
    /// other gateways may never have seen them in a total.
    fn drop_returns_under_ceiling(&mut self, plan: &Plan) {
        if plan.ceiling_rate > 0.0 {
            self.unreported_units = self.unreported_units.max(0.0);
        }
    }

    /// Reports the units of a call that was not added once more.
    pub(crate) fn report_again(&mut self, call: CounterCall, plan: &Plan) {
        self.unreported_units += call.report_units;
        if call.window != self.lease.window {
            self.drop_returns_under_ceiling(plan);
        }
    }

    /// Applies a change in the number of the customer's gateways. With more gateways the fallback budget shrinks in
    /// proportion; with fewer it grows by the rate alone, so that no change grants units again.
    pub(crate) fn set_gateways(&mut self, customer_gateways: f64, gateway_rank: u32) {
        let is_known = self.customer_gateways > 0.0;
        let share = if is_known { (self.customer_gateways / customer_gateways).min(1.0) } else { 1.0 };
        if let Some(budget) = &mut self.fallback_budget {
            budget.units *= share;
        }
        self.customer_gateways = customer_gateways;
        self.gateway_rank = gateway_rank;
    }

    /// Returns the unspent units of the lease with the next counter call.
    pub(crate) fn return_lease(&mut self) {
        let units = std::mem::take(&mut self.lease.units);
        self.unreported_units -= units;
        self.bucket.available_units += units;
    }

    /// Adds the units of a request that was never sent to the lease, whatever they were spent from.
    pub(crate) fn refund(&mut self, units: f64) {
        self.lease.units += units;
    }

    /// Removes a request from those that wait for the counter.
    pub(crate) fn stop_waiting(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| *waiting != id);
    }
}

/// The rank of a gateway among those of a customer, which begin at `first_gateway` and wrap around after
/// `gateway_count` gateways.
pub(crate) fn gateway_rank(gateway_index: u32, first_gateway: u32, gateway_count: u32) -> u32 {
    (gateway_index + gateway_count - first_gateway % gateway_count) % gateway_count
}
