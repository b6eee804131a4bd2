//! Priority levels, standbys and spares.

use crate::balancer::endpoints::{Routes, Seat};
use crate::balancer::select::Fit;
use crate::*;

impl Routes {
    /// One level: `Some(Some)` is the choice, `Some(None)` to wait here, `None` to go on to the next.
    ///
    /// A level keeps its requests while it is whole. One that is short (something of it is down or cold) lets
    /// on what it has no room for: what is left of it is not pushed over, nor is what comes back cold.
    pub(crate) fn in_level(&self, level: usize) -> Option<Option<usize>> {
        let (tier, standby, _) = self.levels[level];
        let tier_of = |s: &&Seat| s.listed && s.place.priority_level == tier;
        // A spare stands in for each that is out of service or not warm yet, in the order of the list.
        let away = |s: &&Seat| {
            matches!(s.place.role, BackendRole::Active | BackendRole::StickyOnly)
                && (s.place.role == BackendRole::StickyOnly || s.offer.fit == Fit::Down || !s.offer.warm)
        };
        let mut spares = if standby { 0 } else { self.seats.iter().filter(tier_of).filter(away).count() };
        let mut members: Vec<(usize, &Seat)> = Vec::new();
        let mut short = false;
        for (at, seat) in self.seats.iter().enumerate().filter(|(_, s)| s.level == Some(level)) {
            let down = seat.offer.fit == Fit::Down;
            if seat.place.role == BackendRole::Spare {
                if spares == 0 || down {
                    continue;
                }
                spares -= 1;
            }
            short |= seat.ready && (down || !seat.offer.warm);
            members.push((at, seat));
        }
        let up = || members.iter().filter(|(_, s)| s.offer.fit != Fit::Down);
        let (out, room) = up().fold((0.0, 0.0), |(o, r), (_, s)| (o + s.offer.out, r + s.offer.room));
        let best = if out < room.max(1.0) { self.lowest(members.iter().copied()) } else { None };
        let serves = up().any(|(_, s)| s.offer.warm && s.offer.fit != Fit::Barred);
        match best {
            Some(_) => Some(best),
            None if serves && !short => Some(None),
            None => None,
        }
    }
}
