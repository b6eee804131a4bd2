//! The choice of a backend.

use crate::balancer::backend::Backend;
use crate::balancer::endpoints::{EndpointTable, Slot};
use crate::health::slow_start::COLD_MULTIPLE;
use crate::random::unit;
use crate::request::Stage;
use crate::*;

/// A backend in another zone looks this much slower for each point of price: prices are small, so is this.
pub(crate) const ZONE_BIAS: f64 = 5.0;
/// Among many gateways, backends that are not of this one's own (`Routes::own`) look this much further.
pub(crate) const STRANGE: f64 = 100.0;

impl Gateway {
    pub(crate) fn try_forward(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let left = self.attempt_deadline(request) - self.now;
        let in_time = request.attempts == 0 || left > 0.0;
        let chosen =
            if in_time && self.is_below_in_flight_limit(id) { self.select_backend(id) } else { None };
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
    pub(crate) fn select_backend(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class_index];
        let tied = request.possibly_executed.as_ref().filter(|_| class.idempotency == Idempotency::WithKey);
        let home = tied.and_then(|(_, home)| self.backends.get(home));
        let out: f64 = self.backends.values().map(|b| f64::from(b.in_flight)).sum();
        if out >= self.total_concurrency_limit().max(1.0) {
            return None;
        }
        let salt = self.random;
        let far = 1.0 + self.settings.cross_zone_price * ZONE_BIAS;
        let (many, cold_share) = (self.is_large_fleet(), COLD_MULTIPLE * self.admit_fraction());
        for backend in self.backends.values() {
            let (group, zone, cell, seat) =
                (class.deduplication_scope, &backend.zone, backend.cell, backend.slot);
            let same = |h: &Backend| {
                if group == DeduplicationScope::Zone { h.zone == *zone } else { h.cell == cell }
            };
            let luck = unit(salt ^ self.endpoints.name_hash(seat));
            let warmth = backend.slow_start_weight(self.now, &self.settings);
            // The cold budget: by chance its share of its part of the sends, from the first ms. Guards cold
            // backends with no agreement and no warm backend.
            let cold =
                warmth < 1.0 && luck * self.endpoints.inverse_weight_share(seat) >= warmth * cold_share;
            let fit = match () {
                () if !backend.ready || self.now < backend.ejected_until => Eligibility::Unavailable,
                () if group != DeduplicationScope::All && !home.is_none_or(same) => Eligibility::OutOfScope,
                () if f64::from(backend.in_flight) >= backend.concurrency_limit.ceil() => {
                    Eligibility::AtLimit
                }
                () if cold => Eligibility::SlowStart,
                () => Eligibility::Eligible,
            };
            // Among many, a draw by weight: no two gateways follow the same order.
            let draw = if many { -luck.max(1e-12).ln() } else { 1.0 + 0.1 * luck };
            let far = if *zone == self.settings.zone { 1.0 } else { far };
            let far = if self.endpoints.is_in_subset(seat) || !many { far } else { far * STRANGE };
            self.endpoints.set_candidate(
                seat,
                fit,
                warmth >= 1.0,
                far,
                draw,
                (backend.in_flight, backend.concurrency_limit),
            );
        }
        let chosen = self.endpoints.select(&request.sticky_route);
        self.draw();
        chosen
    }
}

/// Whether a backend could take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub(crate) enum Eligibility {
    /// It is out of service: the list says so, or it failed lately.
    #[default]
    Unavailable,
    /// It is cold and its part of the sends is given already.
    SlowStart,
    /// It has no room.
    AtLimit,
    /// This request must not go there.
    OutOfScope,
    /// It can.
    Eligible,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Candidate {
    pub(crate) eligibility: Eligibility,
    pub(crate) is_warm: bool,
    pub(crate) score: (f64, f64),
    pub(crate) distance_penalty: f64,
    pub(crate) in_flight: f64,
    pub(crate) concurrency_limit: f64,
}

impl EndpointTable {
    /// Takes what is known of one backend for the request at hand; `draw` is its luck, the lower the better.
    pub(crate) fn set_candidate(
        &mut self, at: usize, fit: Eligibility, warm: bool, far: f64, draw: f64, load: (u32, f64),
    ) {
        let (out, room) = (f64::from(load.0), load.1);
        let plain_score = if warm { (1.0 + out) * far * draw } else { 0.0 };
        if self.is_uniform {
            if fit == Eligibility::Eligible && self.best_candidate.is_none_or(|(s, _)| plain_score < s) {
                self.best_candidate = Some((plain_score, at));
            }
            return;
        }
        let (many, busyness) =
            (self.is_large_fleet, self.routing.load_balancing == LoadBalancing::WeightedLeastInFlight);
        let seat = &mut self.slots[at];
        let time = seat.level_index.map_or(0.0, |l| self.levels[l].2);
        let turn = seat.pass.max(time);
        let score = if !warm {
            (-1.0, draw)
        } else if !self.weighted {
            (plain_score, 0.0)
        } else if many {
            ((1.0 + out / seat.relative_weight) * far * draw / seat.subset_weight, 0.0)
        } else if busyness {
            (out / seat.relative_weight * far, turn)
        } else {
            (turn, draw)
        };
        seat.candidate = Candidate {
            eligibility: fit,
            is_warm: warm,
            score,
            distance_penalty: far,
            in_flight: out,
            concurrency_limit: room,
        };
    }

    /// The backend that takes the request; none where it has to wait.
    pub(crate) fn select(&mut self, bound: &str) -> Option<Name> {
        let chosen = if self.is_uniform {
            self.best_candidate.take().map(|(_, at)| at)
        } else {
            let levels = || (0..self.levels.len()).find_map(|level| self.select_in_level(level)).flatten();
            self.select_sticky(bound).unwrap_or_else(levels)
        }?;
        self.advance_stride(chosen);
        Some(self.slots[chosen].name.clone())
    }

    pub(crate) fn lowest_score<'a>(&self, seats: impl Iterator<Item = (usize, &'a Slot)>) -> Option<usize> {
        let free = seats.filter(|(_, s)| s.candidate.eligibility == Eligibility::Eligible);
        free.min_by(|a, b| {
            let (a, b) = (a.1.candidate.score, b.1.candidate.score);
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
        .map(|(at, _)| at)
    }
}
