//! The endpoint list.

use crate::balancer::backend::Backend;
use crate::balancer::select::Candidate;
use crate::balancer::stride::WEIGHT_LEAST;
use crate::balancer::subset::OWN_BACKENDS;
use crate::health::concurrency_limit::ROOM_FIRST;
use crate::random::{hash, mix, unit};
use crate::*;

impl Gateway {
    pub(crate) fn update_endpoints(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            let now = self.now;
            self.backends
                .values_mut()
                .for_each(|b| (b.ready, b.removed_at) = (false, b.removed_at.or(Some(now))));
            self.endpoints.clear_list();
        }
        for entry in list {
            let (ready, known) = (entry.state == BackendState::Ready, self.backends.get_mut(&entry.name));
            let out = known.as_ref().map_or(0, |b| b.in_flight);
            let gone = (entry.state == BackendState::Removed).then_some(self.now);
            let seat = self.endpoints.upsert(known.as_ref().map(|b| b.slot), &entry);
            if let Some(known) = known.filter(|b| b.started == entry.started) {
                (known.ready, known.removed_at) = (ready, gone);
                continue;
            }
            let room = ROOM_FIRST / f64::from(self.settings.gateway_count);
            let BackendEntry { name, zone, cell, started, .. } = entry;
            let rest = Backend {
                slot: seat,
                started,
                in_flight: out,
                concurrency_limit: room,
                ..Default::default()
            };
            self.backends.insert(name, Backend { zone, cell, ready, removed_at: gone, ..rest });
        }
        self.endpoints.rebuild();
        self.forward_queued(out);
    }
}

#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) name: Name,
    pub(crate) name_hash: u64,
    pub(crate) placement: Placement,
    pub(crate) listed: bool,
    pub(crate) ready: bool,
    /// The level it is chosen in; none where it takes bound requests alone.
    pub(crate) level_index: Option<usize>,
    /// This gateway's own backends come first where there are many gateways.
    pub(crate) in_subset: bool,
    /// The part of its level's weight, as one in so many.
    pub(crate) inverse_weight_share: f64,
    /// Its weight beside the mean of its level, and what it weighs in a draw among many gateways.
    pub(crate) relative_weight: f64,
    pub(crate) subset_weight: f64,
    /// When its next turn is due, on its level's own time.
    pub(crate) pass: f64,
    pub(crate) candidate: Candidate,
}

/// The seats of all backends and what is due to each.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) slots: Vec<Slot>,
    pub(crate) is_uniform: bool,
    pub(crate) weighted: bool,
    pub(crate) routing: Routing,
    pub(crate) gateway_index: u32,
    pub(crate) gateway_count: u32,
    pub(crate) is_large_fleet: bool,
    pub(crate) seed: u64,
    /// (tier, whether it is the tier's standbys, its time), in the order they are tried.
    pub(crate) levels: Vec<(u32, bool, f64)>,
    pub(crate) best_candidate: Option<(f64, usize)>,
    /// Seats of backends that were forgotten, for the next ones.
    pub(crate) free_slots: Vec<usize>,
}

impl EndpointTable {
    pub(crate) fn configure(&mut self, settings: &Settings, many: bool, seed: u64) {
        (self.routing, self.gateway_index, self.gateway_count) =
            (settings.routing, settings.gateway_index, settings.gateway_count);
        (self.is_large_fleet, self.seed) = (many, seed);
        self.rebuild();
    }

    /// Before a whole list: what it does not name is gone.
    pub(crate) fn clear_list(&mut self) {
        self.slots.iter_mut().for_each(|s| (s.listed, s.ready) = (false, false));
    }

    /// A backend that is long gone is forgotten; its seat is for another. Guards against growth where backends are
    /// replaced under new names.
    pub(crate) fn release_slot(&mut self, seat: usize) {
        self.free_slots.push(seat);
    }

    /// Takes one line of the list; gives the backend's seat.
    pub(crate) fn upsert(&mut self, known: Option<usize>, entry: &BackendEntry) -> usize {
        let at = known.or_else(|| self.free_slots.pop()).unwrap_or(self.slots.len());
        if known.is_none() {
            let (hash, place, offer) = (hash(&entry.name), Placement::default(), Candidate::default());
            let (level, listed, ready, own) = (None, false, false, false);
            let (name, parts, relative, pull, turn) = (entry.name.clone(), 1.0, 1.0, 1.0, f64::NAN);
            let new = Slot {
                name,
                name_hash: hash,
                placement: place,
                listed,
                ready,
                level_index: level,
                in_subset: own,
                inverse_weight_share: parts,
                relative_weight: relative,
                subset_weight: pull,
                pass: turn,
                candidate: offer,
            };
            match self.slots.get_mut(at) {
                Some(free) => *free = new,
                None => self.slots.push(new),
            }
        }
        let seat = &mut self.slots[at];
        seat.placement = entry.placement.clone();
        (seat.listed, seat.ready) =
            (entry.state != BackendState::Removed, entry.state == BackendState::Ready);
        at
    }

    /// After a list: works out what does not change until the next one.
    pub(crate) fn rebuild(&mut self) {
        let usual = Placement::default();
        let listed = || self.slots.iter().filter(|s| s.listed);
        self.is_uniform = self.routing == Routing::default() && listed().all(|s| s.placement == usual);
        let mut weights = listed().map(|s| s.placement.weight);
        let first = weights.next().unwrap_or(1.0);
        self.weighted = self.routing.load_balancing != LoadBalancing::LeastInFlight
            || weights.any(|w| (w - first).abs() > 1e-9);
        let of = |seat: &Slot| (seat.placement.priority_level, seat.placement.role == BackendRole::Standby);
        let chosen =
            |seat: &&Slot| seat.listed && (self.is_uniform || seat.placement.role != BackendRole::StickyOnly);
        let mut keys: Vec<(u32, bool)> = self.slots.iter().filter(chosen).map(of).collect();
        keys.sort_unstable();
        keys.dedup();
        let was = std::mem::take(&mut self.levels);
        let time = |key: (u32, bool)| was.iter().find(|l| (l.0, l.1) == key).map_or(0.0, |l| l.2);
        self.levels = keys.iter().map(|k| (k.0, k.1, time(*k))).collect();
        for seat in &mut self.slots {
            let bound = seat.placement.role == BackendRole::StickyOnly || !seat.listed;
            seat.level_index = if bound { None } else { keys.iter().position(|k| *k == of(seat)) };
        }
        let salt = mix(u64::from(self.gateway_index) + 1);
        for level in 0..self.levels.len() {
            let time = self.levels[level].2;
            let members = || self.slots.iter().filter(|s| s.level_index == Some(level) && s.ready);
            let (total, count) = members().fold((0.0, 0.0_f64), |(w, n): (f64, f64), s| {
                (w + s.placement.weight.max(WEIGHT_LEAST), n + 1.0)
            });
            let (weighted, seed) = (self.weighted, self.seed);
            // Few gateways start at different points of the turns; each is then off by one request at most.
            for seat in self.slots.iter_mut().filter(|s| s.level_index == Some(level)) {
                let weight = seat.placement.weight.max(WEIGHT_LEAST);
                seat.inverse_weight_share = if weighted { (total / weight).max(1.0) } else { count.max(1.0) };
                seat.relative_weight = if count > 0.0 { weight * count / total } else { 1.0 };
                if seat.pass.is_nan() {
                    seat.pass = time + unit(seed ^ seat.name_hash) / weight;
                }
                seat.subset_weight = seat.relative_weight;
                seat.in_subset =
                    seat.ready && (weighted || unit(seat.name_hash ^ salt) * count < OWN_BACKENDS);
            }
            if weighted && self.is_large_fleet && count > OWN_BACKENDS {
                self.assign_subset_by_weight(level, total, count);
            }
        }
    }

    pub(crate) fn name_hash(&self, seat: usize) -> u64 {
        self.slots[seat].name_hash
    }

    pub(crate) fn is_in_subset(&self, seat: usize) -> bool {
        self.slots[seat].in_subset
    }

    /// One in how many sends of its level is this backend's by its weight.
    pub(crate) fn inverse_weight_share(&self, seat: usize) -> f64 {
        self.slots[seat].inverse_weight_share
    }
}
