//! What the decisions hold of backends, customers and requests, and where things stay when settings change. Nothing is decided here.

use crate::*;
use std::collections::VecDeque;

#[derive(Default)]
pub(crate) struct Backend {
    pub zone: Name,
    pub cell: u64,
    pub ready: bool,
    /// Since when the list does not name it any more.
    pub gone: Option<Millis>,
    pub seat: usize,
    pub started: Option<Millis>,
    /// Where starts are not told: when it is tried again after it refused a connection, as if it started then.
    pub refused: Option<Millis>,
    pub out: u32,
    /// How many this gateway keeps out here at most.
    pub room: f64,
    pub failures: u32,
    /// The class of the last error, until an answer is served.
    pub error: Option<usize>,
    pub eject_until: Millis,
}

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

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Stage {
    #[default]
    Block,
    Queue,
    Out,
}

#[derive(Default)]
pub(crate) struct Request {
    pub customer: Name,
    pub plan: usize,
    pub class: usize,
    pub units: f64,
    /// What it adds to a thin customer's count: itself and those like it that are not asked about.
    pub weight: f64,
    /// Let in without a total of its customer; the client has asked for the same before.
    pub blind: bool,
    pub repeat: bool,
    pub arrived: Millis,
    pub deadline: Millis,
    pub hold_until: Millis,
    pub stage: Stage,
    pub attempts: u32,
    pub may_have_run: Option<(Millis, Name)>,
    pub sent_at: Millis,
    pub bound: Name,
}

/// Where each old class or plan is among the new ones, by name; one that is gone and in use goes behind.
pub(crate) fn carry_over<T: Clone>(
    old: &[T], new: &mut Vec<T>, name: impl Fn(&mut T) -> &mut Name, used: impl Fn(usize) -> bool,
) -> Vec<Option<usize>> {
    let mut place = |(at, item): (usize, &T)| {
        let mut item = item.clone();
        let known = new.iter_mut().position(|n| !name(&mut item).is_empty() && *name(n) == *name(&mut item));
        known.or_else(|| {
            let kept = used(at);
            *name(&mut item) = Name::default();
            kept.then(|| new.push(item))?;
            Some(new.len() - 1)
        })
    };
    old.iter().enumerate().map(&mut place).collect()
}
