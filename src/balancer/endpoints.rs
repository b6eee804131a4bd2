//! The endpoint list and the values derived from it: scoring, priority levels, weights and subset.

use crate::balancer::backend::Backend;
use crate::balancer::priority_levels::{LevelKey, PriorityLevel};
use crate::balancer::select::{Candidate, Score, Scoring};
use crate::balancer::subset::{SUBSET_SIZE, is_in_equal_subset};
use crate::health::concurrency_limit::{ConcurrencyLimit, is_large_fleet};
use crate::health::outlier::OutlierState;
use crate::health::slow_start::StartTime;
use crate::random::{Random, hash_text, mix_bits};
use crate::{
    Action, BackendEntry, BackendRole, BackendState, Gateway, LoadBalancing, Millis, Name, Placement,
    Routing, Settings,
};

/// The least weight of a backend.
const MIN_WEIGHT: f64 = 1e-6;
/// Weights that differ by no more than this are equal.
const WEIGHT_EPSILON: f64 = 1e-9;

/// One backend in the endpoint table.
#[derive(Debug)]
pub(crate) struct Slot {
    pub name: Name,
    pub name_hash: u64,
    pub placement: Placement,
    /// Whether the endpoint list names it.
    pub listed: bool,
    /// Whether the endpoint list states it as ready.
    pub ready: bool,
    /// The priority level in which it takes requests; `None` where it takes only those with its sticky route, or none.
    pub level_index: Option<usize>,
    /// Whether it belongs to this gateway's subset, see [`crate::balancer::subset`].
    pub in_subset: bool,
    /// The inverse of its share of its level's requests: it gets one in this many.
    pub inverse_weight_share: f64,
    /// Its weight relative to the mean of its level.
    pub relative_weight: f64,
    /// Its weight in a random draw of a large fleet, relative to the mean of its level. Where weights differ, a backend
    /// of this gateway's subset has only the part that the subset covers.
    pub subset_weight: f64,
    /// Its pass in stride scheduling, comparable to the passes of its level; `None` until it enters a level.
    pub pass: Option<f64>,
    /// Its state with regard to the request being forwarded.
    pub candidate: Candidate,
    pub score: Score,
}

impl Slot {
    fn new(name: Name) -> Self {
        Self {
            name_hash: hash_text(&name),
            name,
            placement: Placement::default(),
            listed: false,
            ready: false,
            level_index: None,
            in_subset: false,
            inverse_weight_share: 1.0,
            relative_weight: 1.0,
            subset_weight: 1.0,
            pass: None,
            candidate: Candidate::default(),
            score: Score::default(),
        }
    }

    /// Its stated weight, above 0.
    pub(crate) fn weight(&self) -> f64 {
        self.placement.weight.max(MIN_WEIGHT)
    }

    /// Whether it takes requests without a sticky route.
    fn takes_unbound_requests(&self) -> bool {
        self.listed && self.placement.role != BackendRole::StickyOnly
    }
}

/// All backends of the endpoint list, with the values that the choice among them depends on.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub slots: Vec<Slot>,
    pub scoring: Scoring,
    pub routing: Routing,
    pub gateway_index: u32,
    pub gateway_count: u32,
    /// Draws the first pass of each slot, so that gateways begin stride scheduling at different points.
    random: Random,
    /// In the order in which they are tried.
    pub levels: Vec<PriorityLevel>,
    /// The lowest score so far and its slot, where the scoring is uniform.
    pub best_candidate: Option<(f64, usize)>,
    /// Slots of forgotten backends, to be reused.
    free_slots: Vec<usize>,
}

impl EndpointTable {
    /// Applies changed settings.
    pub(crate) fn configure(&mut self, settings: &Settings, random: Random) {
        self.routing = settings.routing;
        self.gateway_index = settings.gateway_index;
        self.gateway_count = settings.gateway_count;
        self.random = random;
        self.rebuild();
    }

    /// Prepares for a complete list: a backend that the new list does not name is no longer listed.
    fn clear_list(&mut self) {
        for slot in &mut self.slots {
            slot.listed = false;
            slot.ready = false;
        }
    }

    /// Frees the slot of a backend that is forgotten, so that the table does not grow where backends are replaced
    /// under new names.
    pub(crate) fn release_slot(&mut self, slot: usize) {
        self.free_slots.push(slot);
    }

    /// Stores one entry of the list in the backend's slot or a new one. Returns the slot.
    fn upsert(&mut self, known_slot: Option<usize>, entry: &BackendEntry) -> usize {
        let index = known_slot.or_else(|| self.free_slots.pop()).unwrap_or(self.slots.len());
        if known_slot.is_none() {
            let new = Slot::new(entry.name.clone());
            match self.slots.get_mut(index) {
                Some(free) => *free = new,
                None => self.slots.push(new),
            }
        }
        let slot = &mut self.slots[index];
        slot.placement = entry.placement.clone();
        slot.listed = entry.state != BackendState::Removed;
        slot.ready = entry.state == BackendState::Ready;
        index
    }

    /// Recomputes all values that depend only on the list and the settings.
    fn rebuild(&mut self) {
        let is_weighted = self.is_weighted();
        self.scoring = self.choose_scoring(is_weighted);
        self.rebuild_levels();
        for level_index in 0..self.levels.len() {
            self.update_level_weights(level_index, is_weighted);
        }
    }

    /// Whether backends are chosen by weight: the settings require it, or listed backends have unequal weights.
    fn is_weighted(&self) -> bool {
        let mut weights = self.slots.iter().filter(|slot| slot.listed).map(|slot| slot.placement.weight);
        let first = weights.next().unwrap_or(1.0);
        self.routing.load_balancing != LoadBalancing::LeastInFlight
            || weights.any(|weight| (weight - first).abs() > WEIGHT_EPSILON)
    }

    /// How candidates are scored, by the list, the configuration and the size of the fleet.
    fn choose_scoring(&self, is_weighted: bool) -> Scoring {
        let default = Placement::default();
        let mut listed = self.slots.iter().filter(|slot| slot.listed);
        let is_uniform = self.routing == Routing::default() && listed.all(|slot| slot.placement == default);
        if is_uniform {
            Scoring::Uniform
        } else if !is_weighted {
            Scoring::LeastInFlight
        } else if is_large_fleet(self.gateway_count) {
            Scoring::WeightedDraw
        } else if self.routing.load_balancing == LoadBalancing::WeightedLeastInFlight {
            Scoring::WeightedLeastInFlight
        } else {
            Scoring::Stride
        }
    }

    /// Sorts the listed backends into priority levels. A level that existed before keeps its pass.
    fn rebuild_levels(&mut self) {
        let unbound = self.slots.iter().filter(|slot| slot.takes_unbound_requests());
        let mut keys: Vec<LevelKey> = unbound.map(|slot| LevelKey::of(&slot.placement)).collect();
        keys.sort_unstable();
        keys.dedup();
        let old = std::mem::take(&mut self.levels);
        let pass_of =
            |key: LevelKey| old.iter().find(|level| level.key == key).map_or(0.0, |level| level.pass);
        self.levels = keys.iter().map(|key| PriorityLevel { key: *key, pass: pass_of(*key) }).collect();
        for slot in &mut self.slots {
            let key = LevelKey::of(&slot.placement);
            let position = keys.iter().position(|known| *known == key);
            slot.level_index = position.filter(|_| slot.takes_unbound_requests());
        }
    }

    /// Computes the weights of a level's backends relative to those that are ready, and this gateway's subset.
    fn update_level_weights(&mut self, level_index: usize, is_weighted: bool) {
        let mut total_weight = 0.0;
        let mut count = 0.0_f64;
        for slot in self.slots.iter().filter(|slot| slot.level_index == Some(level_index) && slot.ready) {
            total_weight += slot.weight();
            count += 1.0;
        }
        let subset_salt = mix_bits(u64::from(self.gateway_index) + 1);
        let level_pass = self.levels[level_index].pass;
        for slot in self.slots.iter_mut().filter(|slot| slot.level_index == Some(level_index)) {
            let weight = slot.weight();
            slot.inverse_weight_share =
                if is_weighted { (total_weight / weight).max(1.0) } else { count.max(1.0) };
            slot.relative_weight = if count > 0.0 { weight * count / total_weight } else { 1.0 };
            slot.subset_weight = slot.relative_weight;
            slot.in_subset =
                slot.ready && (is_weighted || is_in_equal_subset(slot.name_hash, subset_salt, count));
            // Gateways begin at different points, so that not all of them choose the same backend at once.
            let first_pass = level_pass + self.random.draw_for(slot.name_hash) / weight;
            slot.pass = slot.pass.or(Some(first_pass));
        }
        if is_weighted && is_large_fleet(self.gateway_count) && count > SUBSET_SIZE {
            self.assign_subset_by_weight(level_index, total_weight, count);
        }
    }
}

impl Gateway {
    /// Applies a complete endpoint list; a backend that it does not name is gone.
    pub(crate) fn replace_endpoints(&mut self, entries: Vec<BackendEntry>, out: &mut Vec<Action>) {
        for backend in self.backends.values_mut() {
            backend.ready = false;
            backend.removed_at = backend.removed_at.or(Some(self.now));
        }
        self.endpoints.clear_list();
        self.change_endpoints(entries, out);
    }

    /// Applies changes to the endpoint list.
    pub(crate) fn change_endpoints(&mut self, entries: Vec<BackendEntry>, out: &mut Vec<Action>) {
        for entry in entries {
            self.change_endpoint(entry);
        }
        self.endpoints.rebuild();
        self.forward_queued(out);
    }

    /// Applies one entry. A backend that has restarted keeps only its requests in flight.
    fn change_endpoint(&mut self, entry: BackendEntry) {
        let mut known = self.backends.get_mut(&entry.name);
        let slot = self.endpoints.upsert(known.as_ref().map(|backend| backend.slot), &entry);
        let ready = entry.state == BackendState::Ready;
        let removed_at: Option<Millis> = (entry.state == BackendState::Removed).then_some(self.now);
        let same_start = |backend: &&mut &mut Backend| backend.start_time.reported == entry.started;
        if let Some(known) = known.as_mut().filter(same_start) {
            known.ready = ready;
            known.removed_at = removed_at;
            return;
        }
        let occupancy = known.map(|backend| std::mem::take(&mut backend.occupancy)).unwrap_or_default();
        let backend = Backend {
            zone: entry.zone,
            cell: entry.cell,
            ready,
            removed_at,
            slot,
            start_time: StartTime { reported: entry.started, reported_at: self.now, assumed: None },
            occupancy,
            concurrency_limit: ConcurrencyLimit::new(self.settings.gateway_count),
            outlier: OutlierState::default(),
        };
        self.backends.insert(entry.name, backend);
    }
}
