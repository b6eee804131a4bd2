//! Sticky routes: requests that are bound to a backend.

use crate::Name;
use crate::balancer::endpoints::{EndpointTable, Slot};
use crate::balancer::select::{Eligibility, Selection};

impl EndpointTable {
    /// Selects for a request with a sticky route: a backend of that route, else of the failover route that it names,
    /// else of its failover group, else any other backend unless affinity is strict. The request waits for a backend at
    /// its limit, since a session that moves would be lost or have to be rebuilt.
    pub(crate) fn select_sticky(&self, route: &str) -> Selection {
        if route.is_empty() {
            return Selection::Continue;
        }
        let route_slots = self.slots_of_route(route);
        let selection = self
            .select_among(&route_slots)
            .or_else(|| self.select_failover_route(&route_slots))
            .or_else(|| self.select_failover_group(&route_slots));
        if selection == Selection::Continue && self.routing.strict_affinity && !route_slots.is_empty() {
            return Selection::Wait;
        }
        selection
    }

    /// Selects from the backends of the failover route that the route's own backends name.
    fn select_failover_route(&self, route_slots: &[(usize, &Slot)]) -> Selection {
        match first_stated(route_slots, |slot| &slot.placement.failover_route) {
            Some(route) => self.select_among(&self.slots_of_route(route)),
            None => Selection::Continue,
        }
    }

    /// Selects from the failover group of the route's own backends.
    fn select_failover_group(&self, route_slots: &[(usize, &Slot)]) -> Selection {
        match first_stated(route_slots, |slot| &slot.placement.failover_group) {
            Some(group) => self.select_among(&self.slots_of_group(group)),
            None => Selection::Continue,
        }
    }

    /// Selects the lowest score, or waits where one of the backends is at its limit.
    fn select_among(&self, slots: &[(usize, &Slot)]) -> Selection {
        if let Some(index) = self.lowest_score(slots) {
            return Selection::Selected(index);
        }
        let is_at_limit = |slot: &Slot| slot.candidate.eligibility == Eligibility::AtLimit;
        if slots.iter().any(|(_, slot)| is_at_limit(slot)) { Selection::Wait } else { Selection::Continue }
    }

    fn slots_of_route(&self, route: &str) -> Vec<(usize, &Slot)> {
        let listed = self.slots.iter().enumerate().filter(|(_, slot)| slot.listed);
        listed.filter(|(_, slot)| *slot.placement.sticky_route == *route).collect()
    }

    fn slots_of_group(&self, group: &str) -> Vec<(usize, &Slot)> {
        let unbound = self.slots.iter().enumerate().filter(|(_, slot)| slot.level_index.is_some());
        unbound.filter(|(_, slot)| *slot.placement.failover_group == *group).collect()
    }
}

/// The first name that is not empty.
fn first_stated<'a>(slots: &[(usize, &'a Slot)], name: impl Fn(&'a Slot) -> &'a Name) -> Option<&'a Name> {
    slots.iter().map(|(_, slot)| name(slot)).find(|name| !name.is_empty())
}
