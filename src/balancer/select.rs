//! The choice of a backend.

use crate::balancer::backend::Backend;
use crate::balancer::endpoints::{Routes, Seat};
use crate::health::slow_start::COLD_MULTIPLE;
use crate::random::unit;
use crate::request::Stage;
use crate::*;

/// A backend in another zone looks this much slower for each point of price: prices are small, so is this.
pub(crate) const ZONE_BIAS: f64 = 5.0;
/// Among many gateways, backends that are not of this one's own (`Routes::own`) look this much further.
pub(crate) const STRANGE: f64 = 100.0;

impl Gateway {
    pub(crate) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let left = self.send_by(request) - self.now;
        let in_time = request.attempts == 0 || left > 0.0;
        let chosen = if in_time && self.open_allowed(id) { self.pick(id) } else { None };
        let Some(name) = chosen else { return false };
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return false };
        backend.in_flight += 1;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.in_flight += 1;
        }
        (request.stage, request.sent_at, request.attempts) =
            (Stage::InFlight, self.now, request.attempts + 1);
        let keyed = self.settings.classes[request.class_index].idempotency == Idempotency::WithKey;
        let window = (keyed && request.possibly_executed.is_some()).then_some(left);
        out.push(Action::SendAttempt { id, backend: name, timeout: None, must_be_written_within: window });
        true
    }

    /// The backend that should answer first: the one with the fewest requests of this gateway, near if equal.
    pub(crate) fn pick(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class_index];
        let tied = request.possibly_executed.as_ref().filter(|_| class.idempotency == Idempotency::WithKey);
        let home = tied.and_then(|(_, home)| self.backends.get(home));
        let out: f64 = self.backends.values().map(|b| f64::from(b.in_flight)).sum();
        if out >= self.room().max(1.0) {
            return None;
        }
        let salt = self.random;
        let far = 1.0 + self.settings.cross_zone_price * ZONE_BIAS;
        let (many, cold_share) = (self.many(), COLD_MULTIPLE * self.take());
        for backend in self.backends.values() {
            let (group, zone, cell, seat) =
                (class.deduplication_scope, &backend.zone, backend.cell, backend.slot);
            let same = |h: &Backend| {
                if group == DeduplicationScope::Zone { h.zone == *zone } else { h.cell == cell }
            };
            let luck = unit(salt ^ self.routes.hash_of(seat));
            let warmth = backend.warmth(self.now, &self.settings);
            // The cold budget: by chance its share of its part of the sends, from the first ms. Guards cold
            // backends with no agreement and no warm backend.
            let cold = warmth < 1.0 && luck * self.routes.parts(seat) >= warmth * cold_share;
            let fit = match () {
                () if !backend.ready || self.now < backend.ejected_until => Fit::Down,
                () if group != DeduplicationScope::All && !home.is_none_or(same) => Fit::Barred,
                () if f64::from(backend.in_flight) >= backend.concurrency_limit.ceil() => Fit::Full,
                () if cold => Fit::Cold,
                () => Fit::Free,
            };
            // Among many, a draw by weight: no two gateways follow the same order.
            let draw = if many { -luck.max(1e-12).ln() } else { 1.0 + 0.1 * luck };
            let far = if *zone == self.settings.zone { 1.0 } else { far };
            let far = if self.routes.own(seat) || !many { far } else { far * STRANGE };
            self.routes.offer(
                seat,
                fit,
                warmth >= 1.0,
                far,
                draw,
                (backend.in_flight, backend.concurrency_limit),
            );
        }
        let chosen = self.routes.choose(&request.sticky_route);
        self.chance();
        chosen
    }
}

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
pub(crate) struct Offer {
    pub(crate) fit: Fit,
    pub(crate) warm: bool,
    pub(crate) score: (f64, f64),
    pub(crate) far: f64,
    pub(crate) out: f64,
    pub(crate) room: f64,
}

impl Routes {
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

    pub(crate) fn lowest<'a>(&self, seats: impl Iterator<Item = (usize, &'a Seat)>) -> Option<usize> {
        let free = seats.filter(|(_, s)| s.offer.fit == Fit::Free);
        free.min_by(|a, b| {
            let (a, b) = (a.1.offer.score, b.1.offer.score);
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
        .map(|(at, _)| at)
    }
}
