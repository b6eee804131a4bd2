//! What is held of one customer.

use crate::*;
use std::collections::VecDeque;

/// One customer as this gateway knows it.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan_index: usize,
    pub gateway_count: f64,
    pub gateway_rank: u32,
    pub name_hash: u64,
    pub window: u64,
    /// Units of the block in hand; they end with the window.
    pub leased_units: f64,
    /// What this gateway has added to the window's count in all, and the last total heard of it.
    pub reported_units: f64,
    pub last_total: f64,
    /// What the customer's store holds by all totals heard; between them it fills at the rate.
    pub available_units: f64,
    pub filled_at: Millis,
    pub has_total: bool,
    pub last_total_at: Millis,
    /// Used but not yet added, or to be given back (negative).
    pub unreported_units: f64,
    /// What its store could not take because it was full, since the last total.
    pub overflow_units: f64,
    /// The call out: its window, block, and what was owed.
    pub pending_call: Option<(u64, f64, f64)>,
    pub waiting: VecDeque<RequestId>,
    pub demand: f64,
    pub demand_at: Millis,
    /// This gateway's even slice of the store, spent while the counter is silent.
    pub fallback_budget: Option<(f64, Millis)>,
    pub in_flight: u32,
}
