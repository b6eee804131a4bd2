//! The limit on customers whose state is kept: each costs memory and time for as long as it is kept, and clients may name
//! any number of them.

use crate::quota::UNITS_EPSILON;
use crate::quota::customer::Customer;
use crate::{Gateway, Millis, Name};
use std::ops::Bound;

/// How many customers are looked at to find the one to forget.
const EVICTION_CANDIDATES: usize = 16;

/// Names after `last` in their order; all where `last` is `None`.
pub(crate) fn names_after(last: Option<Name>) -> (Bound<Name>, Bound<Name>) {
    (last.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded)
}

impl Customer {
    /// The order in which idle customers are forgotten, lowest first: those without units to report, the one longest
    /// without a request. `None` for a customer that is in use.
    fn eviction_rank(&self) -> Option<(bool, Millis)> {
        let has_units_to_report = self.unreported_units > UNITS_EPSILON;
        (!self.is_busy()).then_some((has_units_to_report, self.demand.updated_at))
    }
}

impl Gateway {
    /// Makes room for a customer that is not known. Returns false where none of the customers looked at is idle.
    pub(crate) fn make_room_for_customer(&mut self) -> bool {
        let is_full = self.settings.max_customers.is_some_and(|max| self.customers.len() >= max);
        !is_full || self.forget_idle_customer()
    }

    /// Forgets the first in the order of eviction of the next few customers. What it used in the present window stays in
    /// the shared counter, whose total is debited again if it comes back.
    fn forget_idle_customer(&mut self) -> bool {
        let candidates = self.customers.range(names_after(self.last_eviction_candidate.take()));
        let candidates: Vec<_> = candidates.chain(&self.customers).take(EVICTION_CANDIDATES).collect();
        self.last_eviction_candidate = candidates.last().map(|(name, _)| Name::clone(name));
        let ranked =
            candidates.iter().filter_map(|(name, customer)| Some((customer.eviction_rank()?, *name)));
        let first = ranked.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some(name) = first.map(|(_, name)| name.clone()) else { return false };
        self.customers.remove(&name);
        true
    }
}
