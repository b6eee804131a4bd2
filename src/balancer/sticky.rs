//! Requests bound to a route.

use crate::balancer::endpoints::{EndpointTable, Slot};
use crate::balancer::select::Eligibility;

impl EndpointTable {
    /// A request bound to a route: its backend, else the successor that it names, else the rest of its group,
    /// else any other unless the binding is strict. `None`: choose as for any other request.
    pub(crate) fn select_sticky(&self, route: &str) -> Option<Option<usize>> {
        if route.is_empty() {
            return None;
        }
        let of = |route: &str| -> Vec<(usize, &Slot)> {
            let all = self.slots.iter().enumerate().filter(|(_, s)| s.listed);
            all.filter(|(_, s)| *s.placement.sticky_route == *route).collect()
        };
        let home = of(route);
        let waits = |seats: &[(usize, &Slot)]| {
            seats.iter().any(|(_, s)| s.candidate.eligibility == Eligibility::AtLimit)
        };
        let try_seats = |seats: &[(usize, &Slot)]| match self.lowest_score(seats.iter().copied()) {
            Some(at) => Some(Some(at)),
            None => waits(seats).then_some(None),
        };
        if let Some(done) = try_seats(&home) {
            return Some(done);
        }
        let successor = home.iter().map(|(_, s)| &s.placement.failover_route).find(|r| !r.is_empty());
        if let Some(done) = successor.and_then(|r| try_seats(&of(r))) {
            return Some(done);
        }
        if let Some(group) = home.iter().map(|(_, s)| &s.placement.failover_group).find(|g| !g.is_empty()) {
            let all = self.slots.iter().enumerate();
            let group: Vec<(usize, &Slot)> = all
                .filter(|(_, s)| s.level_index.is_some() && s.placement.failover_group == *group)
                .collect();
            if let Some(done) = try_seats(&group) {
                return Some(done);
            }
        }
        (self.routing.strict_affinity && !home.is_empty()).then_some(None)
    }
}
