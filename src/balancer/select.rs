//! Which backends are eligible for a request, and which of them has the lowest score.

use crate::balancer::backend::Backend;
use crate::balancer::endpoints::{EndpointTable, Slot};
use crate::health::concurrency_limit::is_large_fleet;
use crate::health::slow_start::{exceeds_slow_start_budget, is_warm, slow_start_budget};
use crate::{DeduplicationScope, Gateway, Millis, Name, RequestId, Settings};

/// A backend in another zone counts as slower by the factor 1 plus this times [`Settings::cross_zone_price`]. It is
/// large because prices are small.
const CROSS_ZONE_PRICE_FACTOR: f64 = 5.0;
/// In a large fleet a backend outside the gateway's subset counts as this much slower.
const OUT_OF_SUBSET_PENALTY: f64 = 100.0;
/// In a small fleet, draws change the score of a backend by up to this share: they decide among equals.
const TIE_BREAK_SHARE: f64 = 0.1;
/// The least draw that a logarithm is taken of.
const MIN_DRAW: f64 = 1e-12;

/// Whether a backend can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub(crate) enum Eligibility {
    /// It is out of service: the endpoint list says so, or it is ejected.
    #[default]
    Unavailable,
    /// It is outside the deduplication scope of the backend that may have executed the request.
    OutOfScope,
    /// As many requests are in flight there as its concurrency limit allows.
    AtLimit,
    /// It is in slow start and has received its share of the requests.
    SlowStart,
    /// It can take the request.
    Eligible,
}

/// The state of a backend with regard to the request being forwarded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Candidate {
    pub eligibility: Eligibility,
    /// Whether it has warmed up.
    pub is_warm: bool,
    /// The factor by which it counts as slower because of its zone and this gateway's subset, at least 1.
    pub distance_penalty: f64,
    /// A random factor of its score, see [`random_factor`].
    pub random_factor: f64,
    /// Requests of this gateway in flight there.
    pub in_flight: f64,
    /// How many may be in flight there.
    pub concurrency_limit: f64,
}

/// The rank of a candidate; the lowest is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score {
    primary: f64,
    tie_break: f64,
}

impl Score {
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        self.primary.total_cmp(&other.primary).then(self.tie_break.total_cmp(&other.tie_break))
    }
}

/// How candidates are scored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Scoring {
    /// No backend states a placement: all are of one level and weight.
    #[default]
    Uniform,
    /// Fewest requests in flight.
    LeastInFlight,
    /// Fewest requests in flight relative to weight; in stride order among equals.
    WeightedLeastInFlight,
    /// In stride order.
    Stride,
    /// By a weighted random draw: without it, the gateways of a large fleet would choose the same backends at the same
    /// time.
    WeightedDraw,
}

/// The outcome of a rule that selects among some backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// The slot of the backend that takes the request.
    Selected(usize),
    /// The request waits for one of these backends.
    Wait,
    /// These backends cannot serve the request; other rules decide.
    Continue,
}

impl Selection {
    /// This selection, or that of the next rule where this one does not decide.
    pub(crate) fn or_else(self, next: impl FnOnce() -> Self) -> Self {
        if self == Self::Continue { next() } else { self }
    }
}

/// What the eligibility of all backends for one request depends on.
struct SelectionContext<'a> {
    now: Millis,
    settings: &'a Settings,
    deduplication_scope: DeduplicationScope,
    /// The backend that may have executed the request, where its idempotency key matters.
    executed_on: Option<&'a Backend>,
    /// See [`slow_start_budget`].
    slow_start_budget: f64,
    cross_zone_penalty: f64,
    is_large_fleet: bool,
}

// Candidates are built and scored for every backend at every attempt: the functions marked `#[inline]` are the body of
// that loop.
impl SelectionContext<'_> {
    /// Builds the candidate for a backend. `draw` is in 0..1 and differs by backend.
    #[inline]
    fn candidate(&self, backend: &Backend, slot: &Slot, draw: f64) -> Candidate {
        let weight = backend.start_time.slow_start_weight(self.now, self.settings);
        let budget = self.slow_start_budget;
        let exceeds_budget = exceeds_slow_start_budget(weight, budget, draw, slot.inverse_weight_share);
        Candidate {
            eligibility: self.eligibility(backend, exceeds_budget),
            is_warm: is_warm(weight),
            distance_penalty: self.distance_penalty(&backend.zone, slot.in_subset),
            random_factor: random_factor(draw, self.is_large_fleet),
            in_flight: f64::from(backend.occupancy.count()),
            concurrency_limit: backend.concurrency_limit.get(),
        }
    }

    #[inline]
    fn eligibility(&self, backend: &Backend, exceeds_slow_start_budget: bool) -> Eligibility {
        let scope = self.deduplication_scope;
        if !backend.ready || backend.outlier.is_ejected(self.now) {
            Eligibility::Unavailable
        } else if self.executed_on.is_some_and(|executed_on| !backend.is_in_same_scope(executed_on, scope)) {
            Eligibility::OutOfScope
        } else if backend.concurrency_limit.is_reached(backend.occupancy.count()) {
            Eligibility::AtLimit
        } else if exceeds_slow_start_budget {
            Eligibility::SlowStart
        } else {
            Eligibility::Eligible
        }
    }

    /// By how much a backend counts as slower because of its zone and this gateway's subset.
    fn distance_penalty(&self, zone: &Name, in_subset: bool) -> f64 {
        let zone_penalty = if *zone == self.settings.zone { 1.0 } else { self.cross_zone_penalty };
        if in_subset || !self.is_large_fleet { zone_penalty } else { zone_penalty * OUT_OF_SUBSET_PENALTY }
    }
}

/// The random factor of a backend's score; `draw` is in 0..1. In a small fleet it decides among equals. In a large one
/// it is exponentially distributed, so that choosing the lowest product draws backends by weight and gateways do not
/// follow the same order.
fn random_factor(draw: f64, is_large_fleet: bool) -> f64 {
    if is_large_fleet { -draw.max(MIN_DRAW).ln() } else { 1.0 + TIE_BREAK_SHARE * draw }
}

/// The score by requests in flight. A backend in slow start that has not received its share goes first.
fn least_in_flight_score(candidate: &Candidate) -> f64 {
    if !candidate.is_warm {
        return 0.0;
    }
    (1.0 + candidate.in_flight) * candidate.distance_penalty * candidate.random_factor
}

/// The score of a slot for a candidate; `level_pass` is the pass of its level.
fn score(scoring: Scoring, slot: &Slot, candidate: &Candidate, level_pass: f64) -> Score {
    let Candidate { in_flight, distance_penalty, random_factor, .. } = *candidate;
    let pass = slot.effective_pass(level_pass);
    match scoring {
        _ if !candidate.is_warm => Score { primary: -1.0, tie_break: random_factor },
        Scoring::Uniform | Scoring::LeastInFlight => {
            Score { primary: least_in_flight_score(candidate), tie_break: 0.0 }
        }
        Scoring::WeightedDraw => {
            let load = 1.0 + in_flight / slot.relative_weight;
            Score { primary: load * distance_penalty * random_factor / slot.subset_weight, tie_break: 0.0 }
        }
        Scoring::WeightedLeastInFlight => {
            Score { primary: in_flight / slot.relative_weight * distance_penalty, tie_break: pass }
        }
        Scoring::Stride => Score { primary: pass, tie_break: random_factor },
    }
}

impl EndpointTable {
    /// Records the candidate for one backend and its score.
    #[inline]
    fn set_candidate(&mut self, index: usize, candidate: Candidate) {
        if self.scoring == Scoring::Uniform {
            let score = least_in_flight_score(&candidate);
            let is_eligible = candidate.eligibility == Eligibility::Eligible;
            if is_eligible && self.best_candidate.is_none_or(|(best, _)| score < best) {
                self.best_candidate = Some((score, index));
            }
            return;
        }
        let slot = &mut self.slots[index];
        let level_pass = slot.level_index.map_or(0.0, |level_index| self.levels[level_index].pass);
        slot.score = score(self.scoring, slot, &candidate, level_pass);
        slot.candidate = candidate;
    }

    /// Selects the backend that takes the request; `None` where it has to wait.
    fn select(&mut self, sticky_route: &str) -> Option<Name> {
        let selected = if self.scoring == Scoring::Uniform {
            self.best_candidate.take().map(|(_, index)| index)
        } else {
            match self.select_sticky(sticky_route) {
                Selection::Selected(index) => Some(index),
                Selection::Wait => None,
                Selection::Continue => self.select_by_level(),
            }
        }?;
        self.advance_stride(selected);
        Some(self.slots[selected].name.clone())
    }

    /// The eligible slot with the lowest score, the first of equals.
    pub(crate) fn lowest_score(&self, slots: &[(usize, &Slot)]) -> Option<usize> {
        let eligible = slots.iter().filter(|(_, slot)| slot.candidate.eligibility == Eligibility::Eligible);
        eligible.min_by(|(_, a), (_, b)| a.score.compare(&b.score)).map(|(index, _)| *index)
    }
}

impl Gateway {
    /// Selects the backend for a request's next attempt; `None` where the request has to wait.
    pub(crate) fn select_backend(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let in_flight: f64 = self.backends.values().map(|backend| f64::from(backend.occupancy.count())).sum();
        if in_flight >= self.total_concurrency_limit().max(1.0) {
            return None;
        }
        let class = &self.settings.classes[request.class_index];
        let keyed = request.keyed_execution(class);
        let context = SelectionContext {
            now: self.now,
            settings: &self.settings,
            deduplication_scope: class.deduplication_scope,
            executed_on: keyed.and_then(|execution| self.backends.get(&execution.backend)),
            slow_start_budget: slow_start_budget(self.load_shedder.admit_fraction()),
            cross_zone_penalty: 1.0 + self.settings.cross_zone_price * CROSS_ZONE_PRICE_FACTOR,
            is_large_fleet: is_large_fleet(self.settings.gateway_count),
        };
        for backend in self.backends.values() {
            let slot = &self.endpoints.slots[backend.slot];
            let draw = self.random.draw_for(slot.name_hash);
            let candidate = context.candidate(backend, slot, draw);
            self.endpoints.set_candidate(backend.slot, candidate);
        }
        let selected = self.endpoints.select(&request.sticky_route);
        // `draw_for` left the generator's state unchanged: advance it, so that the next selection draws other numbers.
        self.random.draw();
        selected
    }
}
