//! Requests bound to a route.

use crate::balancer::endpoints::{Routes, Seat};
use crate::balancer::select::Fit;

impl Routes {
    /// A request bound to a route: its backend, else the successor that it names, else the rest of its group,
    /// else any other unless the binding is strict. `None`: choose as for any other request.
    pub(crate) fn follow(&self, route: &str) -> Option<Option<usize>> {
        if route.is_empty() {
            return None;
        }
        let of = |route: &str| -> Vec<(usize, &Seat)> {
            let all = self.seats.iter().enumerate().filter(|(_, s)| s.listed);
            all.filter(|(_, s)| *s.place.sticky_route == *route).collect()
        };
        let home = of(route);
        let waits = |seats: &[(usize, &Seat)]| seats.iter().any(|(_, s)| s.offer.fit == Fit::Full);
        let try_seats = |seats: &[(usize, &Seat)]| match self.lowest(seats.iter().copied()) {
            Some(at) => Some(Some(at)),
            None => waits(seats).then_some(None),
        };
        if let Some(done) = try_seats(&home) {
            return Some(done);
        }
        let successor = home.iter().map(|(_, s)| &s.place.failover_route).find(|r| !r.is_empty());
        if let Some(done) = successor.and_then(|r| try_seats(&of(r))) {
            return Some(done);
        }
        if let Some(group) = home.iter().map(|(_, s)| &s.place.failover_group).find(|g| !g.is_empty()) {
            let all = self.seats.iter().enumerate();
            let group: Vec<(usize, &Seat)> =
                all.filter(|(_, s)| s.level.is_some() && s.place.failover_group == *group).collect();
            if let Some(done) = try_seats(&group) {
                return Some(done);
            }
        }
        (self.routing.strict_affinity && !home.is_empty()).then_some(None)
    }
}
