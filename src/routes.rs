//! Which backend among those that could serve: tiers, standbys, spares, weights, bound requests. A list that
//! states none of these is plain, and the choice is then the lowest score alone.
//!
//! Each gateway decides by what it knows itself. With few gateways weights are kept by strides (each backend's
//! next turn comes `1 / weight` after its last), with many by a draw, since all would follow the same order.

use crate::random::{hash, mix, unit};
use crate::*;

/// One of many gateways keeps to about this many backends of its own in each tier: guards against full
/// connection tables, and it hears more of each.
const OWN_BACKENDS: f64 = 5.0;
/// The least weight that is told apart from nothing.
const WEIGHT_LEAST: f64 = 1e-6;

/// Whether a backend could take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub(crate) enum Fit {
    /// It is out of service: the list says so, or it failed lately.
    #[default]
    Down,
    /// It is cold and its part of the sends is given already.
    Cold,
    /// It has no room.
    Full,
    /// This request must not go there.
    Barred,
    /// It can.
    Free,
}

#[derive(Clone, Copy, Debug, Default)]
struct Offer {
    fit: Fit,
    warm: bool,
    score: (f64, f64),
    far: f64,
    out: f64,
    room: f64,
}

#[derive(Debug)]
struct Seat {
    name: Name,
    hash: u64,
    place: Placement,
    listed: bool,
    ready: bool,
    /// The level it is chosen in; none where it takes bound requests alone.
    level: Option<usize>,
    /// This gateway's own backends come first where there are many gateways.
    own: bool,
    /// The part of its level's weight, as one in so many.
    parts: f64,
    /// Its weight beside the mean of its level, and what it weighs in a draw among many gateways.
    relative: f64,
    pull: f64,
    /// When its next turn is due, on its level's own time.
    turn: f64,
    offer: Offer,
}

/// The seats of all backends and what is due to each.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    seats: Vec<Seat>,
    plain: bool,
    weighted: bool,
    routing: Routing,
    number: u32,
    gateways: u32,
    many: bool,
    seed: u64,
    /// (tier, whether it is the tier's standbys, its time), in the order they are tried.
    levels: Vec<(u32, bool, f64)>,
    best: Option<(f64, usize)>,
    /// Seats of backends that were forgotten, for the next ones.
    free: Vec<usize>,
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

    /// All weights of a level laid round a circle, in an order that is the same at all gateways: each gateway's
    /// own backends are those on an arc of it, and they are drawn by how much of them lies there. Arcs begin at
    /// even distances and are as long as a whole number of these, so every point is in as many arcs: over the
    /// fleet each backend has exactly its weight's part.
    fn own_by_weight(&mut self, level: usize, total: f64, count: f64) {
        let gateways = f64::from(self.gateways);
        let length = (gateways * OWN_BACKENDS / count).ceil() / gateways;
        let from = f64::from(self.number) / gateways;
        let mut order: Vec<usize> = (0..self.seats.len()).collect();
        order.retain(|at| self.seats[*at].level == Some(level) && self.seats[*at].ready);
        order.sort_unstable_by_key(|at| self.seats[*at].hash);
        let mut low = 0.0;
        for at in order {
            let seat = &mut self.seats[at];
            let high = low + seat.place.weight.max(WEIGHT_LEAST) / total;
            let over = |from: f64| (high.min(from + length) - low.max(from)).max(0.0);
            let lies = over(from) + over(from - 1.0);
            seat.own = lies > 1e-12;
            seat.pull = if seat.own { lies * count } else { seat.relative };
            low = high;
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

    /// Takes what is known of one backend for the request at hand; `draw` is its luck, the lower the better.
    pub(crate) fn offer(&mut self, at: usize, fit: Fit, warm: bool, far: f64, draw: f64, load: (u32, f64)) {
        let (out, room) = (f64::from(load.0), load.1);
        let plain_score = if warm { (1.0 + out) * far * draw } else { 0.0 };
        if self.plain {
            if fit == Fit::Free && self.best.is_none_or(|(s, _)| plain_score < s) {
                self.best = Some((plain_score, at));
            }
            return;
        }
        let (many, busyness) =
            (self.many, self.routing.load_balancing == LoadBalancing::WeightedLeastInFlight);
        let seat = &mut self.seats[at];
        let time = seat.level.map_or(0.0, |l| self.levels[l].2);
        let turn = seat.turn.max(time);
        let score = if !warm {
            (-1.0, draw)
        } else if !self.weighted {
            (plain_score, 0.0)
        } else if many {
            ((1.0 + out / seat.relative) * far * draw / seat.pull, 0.0)
        } else if busyness {
            (out / seat.relative * far, turn)
        } else {
            (turn, draw)
        };
        seat.offer = Offer { fit, warm, score, far, out, room };
    }

    /// The backend that takes the request; none where it has to wait.
    pub(crate) fn choose(&mut self, bound: &str) -> Option<Name> {
        let chosen = if self.plain {
            self.best.take().map(|(_, at)| at)
        } else {
            let levels = || (0..self.levels.len()).find_map(|level| self.in_level(level)).flatten();
            self.follow(bound).unwrap_or_else(levels)
        }?;
        self.take(chosen);
        Some(self.seats[chosen].name.clone())
    }

    /// Strides of the chosen: its next turn is due `1 / weight` later. The level's time is that of the turn taken
    /// last: who was away finds its turn there, and not all those that it missed.
    fn take(&mut self, at: usize) {
        let seat = &mut self.seats[at];
        let weight = seat.place.weight.max(WEIGHT_LEAST);
        let Some(level) = seat.level.filter(|_| !self.plain) else { return };
        let time = &mut self.levels[level].2;
        let from = seat.turn.max(*time);
        seat.turn = from + seat.offer.far / weight;
        if seat.offer.warm {
            *time = from.max(*time);
        }
    }

    fn lowest<'a>(&self, seats: impl Iterator<Item = (usize, &'a Seat)>) -> Option<usize> {
        let free = seats.filter(|(_, s)| s.offer.fit == Fit::Free);
        free.min_by(|a, b| {
            let (a, b) = (a.1.offer.score, b.1.offer.score);
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
        .map(|(at, _)| at)
    }

    /// One level: `Some(Some)` is the choice, `Some(None)` to wait here, `None` to go on to the next.
    ///
    /// A level keeps its requests while it is whole. One that is short (something of it is down or cold) lets
    /// on what it has no room for: what is left of it is not pushed over, nor is what comes back cold.
    fn in_level(&self, level: usize) -> Option<Option<usize>> {
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

    /// A request bound to a route: its backend, else the successor that it names, else the rest of its group,
    /// else any other unless the binding is strict. `None`: choose as for any other request.
    fn follow(&self, route: &str) -> Option<Option<usize>> {
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
