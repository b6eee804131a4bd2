//! The endpoint list.

use crate::balancer::backend::Backend;
use crate::balancer::select::Offer;
use crate::balancer::stride::WEIGHT_LEAST;
use crate::balancer::subset::OWN_BACKENDS;
use crate::health::concurrency_limit::ROOM_FIRST;
use crate::random::{hash, mix, unit};
use crate::*;

impl Gateway {
    pub(crate) fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            let now = self.now;
            self.backends
                .values_mut()
                .for_each(|b| (b.ready, b.removed_at) = (false, b.removed_at.or(Some(now))));
            self.routes.clear_list();
        }
        for entry in list {
            let (ready, known) = (entry.state == BackendState::Ready, self.backends.get_mut(&entry.name));
            let out = known.as_ref().map_or(0, |b| b.in_flight);
            let gone = (entry.state == BackendState::Removed).then_some(self.now);
            let seat = self.routes.seat(known.as_ref().map(|b| b.slot), &entry);
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
        self.routes.arrange();
        self.drain_queue(out);
    }
}

#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) name: Name,
    pub(crate) hash: u64,
    pub(crate) place: Placement,
    pub(crate) listed: bool,
    pub(crate) ready: bool,
    /// The level it is chosen in; none where it takes bound requests alone.
    pub(crate) level: Option<usize>,
    /// This gateway's own backends come first where there are many gateways.
    pub(crate) own: bool,
    /// The part of its level's weight, as one in so many.
    pub(crate) parts: f64,
    /// Its weight beside the mean of its level, and what it weighs in a draw among many gateways.
    pub(crate) relative: f64,
    pub(crate) pull: f64,
    /// When its next turn is due, on its level's own time.
    pub(crate) turn: f64,
    pub(crate) offer: Offer,
}

/// The seats of all backends and what is due to each.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    pub(crate) seats: Vec<Seat>,
    pub(crate) plain: bool,
    pub(crate) weighted: bool,
    pub(crate) routing: Routing,
    pub(crate) number: u32,
    pub(crate) gateways: u32,
    pub(crate) many: bool,
    pub(crate) seed: u64,
    /// (tier, whether it is the tier's standbys, its time), in the order they are tried.
    pub(crate) levels: Vec<(u32, bool, f64)>,
    pub(crate) best: Option<(f64, usize)>,
    /// Seats of backends that were forgotten, for the next ones.
    pub(crate) free: Vec<usize>,
}

impl Routes {
    pub(crate) fn configure(&mut self, settings: &Settings, many: bool, seed: u64) {
        (self.routing, self.number, self.gateways) =
            (settings.routing, settings.gateway_index, settings.gateway_count);
        (self.many, self.seed) = (many, seed);
        self.arrange();
    }

    /// Before a whole list: what it does not name is gone.
    pub(crate) fn clear_list(&mut self) {
        self.seats.iter_mut().for_each(|s| (s.listed, s.ready) = (false, false));
    }

    /// A backend that is long gone is forgotten; its seat is for another. Guards against growth where backends are
    /// replaced under new names.
    pub(crate) fn leave(&mut self, seat: usize) {
        self.free.push(seat);
    }

    /// Takes one line of the list; gives the backend's seat.
    pub(crate) fn seat(&mut self, known: Option<usize>, entry: &BackendEntry) -> usize {
        let at = known.or_else(|| self.free.pop()).unwrap_or(self.seats.len());
        if known.is_none() {
            let (hash, place, offer) = (hash(&entry.name), Placement::default(), Offer::default());
            let (level, listed, ready, own) = (None, false, false, false);
            let (name, parts, relative, pull, turn) = (entry.name.clone(), 1.0, 1.0, 1.0, f64::NAN);
            let new =
                Seat { name, hash, place, listed, ready, level, own, parts, relative, pull, turn, offer };
            match self.seats.get_mut(at) {
                Some(free) => *free = new,
                None => self.seats.push(new),
            }
        }
        let seat = &mut self.seats[at];
        seat.place = entry.placement.clone();
        (seat.listed, seat.ready) =
            (entry.state != BackendState::Removed, entry.state == BackendState::Ready);
        at
    }

    /// After a list: works out what does not change until the next one.
    pub(crate) fn arrange(&mut self) {
        let usual = Placement::default();
        let listed = || self.seats.iter().filter(|s| s.listed);
        self.plain = self.routing == Routing::default() && listed().all(|s| s.place == usual);
        let mut weights = listed().map(|s| s.place.weight);
        let first = weights.next().unwrap_or(1.0);
        self.weighted = self.routing.load_balancing != LoadBalancing::LeastInFlight
            || weights.any(|w| (w - first).abs() > 1e-9);
        let of = |seat: &Seat| (seat.place.priority_level, seat.place.role == BackendRole::Standby);
        let chosen = |seat: &&Seat| seat.listed && (self.plain || seat.place.role != BackendRole::StickyOnly);
        let mut keys: Vec<(u32, bool)> = self.seats.iter().filter(chosen).map(of).collect();
        keys.sort_unstable();
        keys.dedup();
        let was = std::mem::take(&mut self.levels);
        let time = |key: (u32, bool)| was.iter().find(|l| (l.0, l.1) == key).map_or(0.0, |l| l.2);
        self.levels = keys.iter().map(|k| (k.0, k.1, time(*k))).collect();
        for seat in &mut self.seats {
            let bound = seat.place.role == BackendRole::StickyOnly || !seat.listed;
            seat.level = if bound { None } else { keys.iter().position(|k| *k == of(seat)) };
        }
        let salt = mix(u64::from(self.number) + 1);
        for level in 0..self.levels.len() {
            let time = self.levels[level].2;
            let members = || self.seats.iter().filter(|s| s.level == Some(level) && s.ready);
            let (total, count) = members().fold((0.0, 0.0_f64), |(w, n): (f64, f64), s| {
                (w + s.place.weight.max(WEIGHT_LEAST), n + 1.0)
            });
            let (weighted, seed) = (self.weighted, self.seed);
            // Few gateways start at different points of the turns; each is then off by one request at most.
            for seat in self.seats.iter_mut().filter(|s| s.level == Some(level)) {
                let weight = seat.place.weight.max(WEIGHT_LEAST);
                seat.parts = if weighted { (total / weight).max(1.0) } else { count.max(1.0) };
                seat.relative = if count > 0.0 { weight * count / total } else { 1.0 };
                if seat.turn.is_nan() {
                    seat.turn = time + unit(seed ^ seat.hash) / weight;
                }
                seat.pull = seat.relative;
                seat.own = seat.ready && (weighted || unit(seat.hash ^ salt) * count < OWN_BACKENDS);
            }
            if weighted && self.many && count > OWN_BACKENDS {
                self.own_by_weight(level, total, count);
            }
        }
    }

    pub(crate) fn hash_of(&self, seat: usize) -> u64 {
        self.seats[seat].hash
    }

    pub(crate) fn own(&self, seat: usize) -> bool {
        self.seats[seat].own
    }

    /// One in how many sends of its level is this backend's by its weight.
    pub(crate) fn parts(&self, seat: usize) -> f64 {
        self.seats[seat].parts
    }
}
