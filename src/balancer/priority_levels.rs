//! Priority levels, standbys and spares.

use crate::balancer::endpoints::{EndpointTable, Slot};
use crate::balancer::select::Eligibility;
use crate::*;

impl EndpointTable {
    /// One level: `Some(Some)` is the choice, `Some(None)` to wait here, `None` to go on to the next.
    ///
    /// A level keeps its requests while it is whole. One that is short (something of it is down or cold) lets
    /// on what it has no room for: what is left of it is not pushed over, nor is what comes back cold.
    pub(crate) fn select_in_level(&self, level: usize) -> Option<Option<usize>> {
        let (tier, standby, _) = self.levels[level];
        let tier_of = |s: &&Slot| s.listed && s.placement.priority_level == tier;
        // A spare stands in for each that is out of service or not warm yet, in the order of the list.
        let away = |s: &&Slot| {
            matches!(s.placement.role, BackendRole::Active | BackendRole::StickyOnly)
                && (s.placement.role == BackendRole::StickyOnly
                    || s.candidate.eligibility == Eligibility::Unavailable
                    || !s.candidate.is_warm)
        };
        let mut spares = if standby { 0 } else { self.slots.iter().filter(tier_of).filter(away).count() };
        let mut members: Vec<(usize, &Slot)> = Vec::new();
        let mut short = false;
        for (at, seat) in self.slots.iter().enumerate().filter(|(_, s)| s.level_index == Some(level)) {
            let down = seat.candidate.eligibility == Eligibility::Unavailable;
            if seat.placement.role == BackendRole::Spare {
                if spares == 0 || down {
                    continue;
                }
                spares -= 1;
            }
            short |= seat.ready && (down || !seat.candidate.is_warm);
            members.push((at, seat));
        }
        let up = || members.iter().filter(|(_, s)| s.candidate.eligibility != Eligibility::Unavailable);
        let (out, room) = up().fold((0.0, 0.0), |(o, r), (_, s)| {
            (o + s.candidate.in_flight, r + s.candidate.concurrency_limit)
        });
        let best = if out < room.max(1.0) { self.lowest_score(members.iter().copied()) } else { None };
        let serves =
            up().any(|(_, s)| s.candidate.is_warm && s.candidate.eligibility != Eligibility::OutOfScope);
        match best {
            Some(_) => Some(best),
            None if serves && !short => Some(None),
            None => None,
        }
    }
}
