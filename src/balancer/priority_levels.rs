//! Priority levels, their standby backends and their spares.

use crate::balancer::endpoints::{EndpointTable, Slot};
use crate::balancer::select::{Eligibility, Selection};
use crate::{BackendRole, Placement};

/// The sort key of the priority levels: the standbys of a level are tried between it and the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LevelKey {
    number: u32,
    is_standby: bool,
}

impl LevelKey {
    /// The level that a backend belongs to.
    pub(crate) fn of(placement: &Placement) -> Self {
        Self { number: placement.priority_level, is_standby: placement.role == BackendRole::Standby }
    }
}

/// A priority level, or the standbys of one.
#[derive(Debug)]
pub(crate) struct PriorityLevel {
    pub key: LevelKey,
    /// The pass of the last warm backend chosen, see [`crate::balancer::stride`].
    pub pass: f64,
}

/// The backends of a level that may serve now, spares in use included.
struct LevelMembers<'a> {
    slots: Vec<(usize, &'a Slot)>,
    /// Whether a backend of the level that the endpoint list states as ready is ejected or in slow start.
    is_degraded: bool,
}

impl LevelMembers<'_> {
    /// Whether the level has as many requests in flight as its backends may take.
    fn is_at_limit(&self) -> bool {
        let available = self.slots.iter().filter(|(_, slot)| slot.is_available());
        let (in_flight, limit) = available.fold((0.0, 0.0), |(in_flight, limit), (_, slot)| {
            (in_flight + slot.candidate.in_flight, limit + slot.candidate.concurrency_limit)
        });
        in_flight >= limit.max(1.0)
    }

    /// Whether a warm backend could serve the request, now or once other requests have ended.
    fn can_serve(&self) -> bool {
        let mut available = self.slots.iter().filter(|(_, slot)| slot.is_available());
        available
            .any(|(_, slot)| slot.candidate.is_warm && slot.candidate.eligibility != Eligibility::OutOfScope)
    }
}

impl Slot {
    /// Whether it is in service and not ejected.
    fn is_available(&self) -> bool {
        self.candidate.eligibility != Eligibility::Unavailable
    }

    /// Whether a spare replaces this backend: it is out of service or still in slow start. If the spare were withdrawn
    /// at the first response of a backend in slow start, that backend would be overloaded. A sticky-only backend always
    /// needs a spare for the requests that it does not take.
    fn needs_spare(&self) -> bool {
        match self.placement.role {
            BackendRole::Active => !self.is_available() || !self.candidate.is_warm,
            BackendRole::StickyOnly => true,
            BackendRole::Standby | BackendRole::Spare => false,
        }
    }
}

impl EndpointTable {
    /// Selects from the first priority level that does not pass the request on to the next.
    pub(crate) fn select_by_level(&self) -> Option<usize> {
        for level_index in 0..self.levels.len() {
            match self.select_in_level(level_index) {
                Selection::Selected(index) => return Some(index),
                Selection::Wait => return None,
                Selection::Continue => {}
            }
        }
        None
    }

    /// Selects from one level. Requests wait for a level that is not degraded. A degraded level passes on the requests
    /// that it has no capacity for, so that neither its remaining backends nor those in slow start are overloaded.
    fn select_in_level(&self, level_index: usize) -> Selection {
        let members = self.members(level_index);
        let best = if members.is_at_limit() { None } else { self.lowest_score(&members.slots) };
        match best {
            Some(index) => Selection::Selected(index),
            None if members.can_serve() && !members.is_degraded => Selection::Wait,
            None => Selection::Continue,
        }
    }

    /// The backends of a level that may serve now. One spare is used for each backend that needs one, in the order of
    /// the list.
    fn members(&self, level_index: usize) -> LevelMembers<'_> {
        let mut unused_spares = self.spares_needed(self.levels[level_index].key);
        let mut members = LevelMembers { slots: Vec::new(), is_degraded: false };
        let in_level = |slot: &Slot| slot.level_index == Some(level_index);
        for (index, slot) in self.slots.iter().enumerate().filter(|(_, slot)| in_level(slot)) {
            if slot.placement.role == BackendRole::Spare {
                if unused_spares == 0 || !slot.is_available() {
                    continue;
                }
                unused_spares -= 1;
            }
            members.is_degraded |= slot.ready && (!slot.is_available() || !slot.candidate.is_warm);
            members.slots.push((index, slot));
        }
        members
    }

    /// How many spares replace other backends of a level; standbys have none.
    fn spares_needed(&self, key: LevelKey) -> usize {
        if key.is_standby {
            return 0;
        }
        let listed = self.slots.iter().filter(|slot| slot.listed);
        listed.filter(|slot| slot.placement.priority_level == key.number && slot.needs_spare()).count()
    }
}
