//! What is held of one customer.

use crate::*;
use std::collections::VecDeque;

/// One customer as this gateway knows it.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan: usize,
    pub spread: f64,
    pub place: u32,
    pub salt: u64,
    pub window: u64,
    /// Units of the block in hand; they end with the window.
    pub lease: f64,
    /// What this gateway has added to the window's count in all, and the last total heard of it.
    pub added: f64,
    pub seen: f64,
    /// What the customer's store holds by all totals heard; between them it fills at the rate.
    pub store: f64,
    pub store_at: Millis,
    pub known: bool,
    pub heard: Millis,
    /// Used but not yet added, or to be given back (negative).
    pub owed: f64,
    /// What its store could not take because it was full, since the last total.
    pub spilt: f64,
    /// The call out: its window, block, and what was owed.
    pub call: Option<(u64, f64, f64)>,
    pub waiting: VecDeque<RequestId>,
    pub demand: f64,
    pub demand_at: Millis,
    /// This gateway's even slice of the store, spent while the counter is silent.
    pub slice: Option<(f64, Millis)>,
    pub open: u32,
}
