//! Deterministic subsetting: each gateway of a large fleet prefers a few backends, which bounds its connections and
//! lets it observe more responses of each.

use crate::balancer::endpoints::EndpointTable;
use crate::random::unit_interval;

/// The size of a gateway's subset in each priority level, on average.
pub(crate) const SUBSET_SIZE: f64 = 5.0;
/// An overlap shorter than this counts as none: the rounding error of the sums.
const ARC_EPSILON: f64 = 1e-12;

/// Whether a backend belongs to the subset of a gateway, where weights are equal. Each gateway draws its subset by the
/// backend's hash and its own salt; `count` backends are ready.
pub(crate) fn is_in_equal_subset(name_hash: u64, gateway_salt: u64, count: f64) -> bool {
    unit_interval(name_hash ^ gateway_salt) * count < SUBSET_SIZE
}

/// A gateway's arc of the weight ring, which has the length 1.
struct RingArc {
    start: f64,
    length: f64,
}

impl RingArc {
    /// Arcs start at equal distances, and their length is a multiple of that distance: every point of the ring lies in
    /// the same number of arcs, so that over the fleet each backend gets exactly its weight's share.
    fn of_gateway(gateway_index: u32, gateway_count: u32, backend_count: f64) -> Self {
        let gateways = f64::from(gateway_count);
        let length = (gateways * SUBSET_SIZE / backend_count).ceil() / gateways;
        Self { start: f64::from(gateway_index) / gateways, length }
    }

    /// The length that the arc shares with `from..to`, both in 0..=1.
    fn overlap(&self, from: f64, to: f64) -> f64 {
        let overlap_at = |start: f64| (to.min(start + self.length) - from.max(start)).max(0.0);
        overlap_at(self.start) + overlap_at(self.start - 1.0)
    }
}

impl EndpointTable {
    /// Assigns the subset where weights differ: the backends of a level are placed on a ring by their weights, in an
    /// order that is the same at all gateways. A gateway's subset consists of the backends that its arc overlaps, each
    /// weighted by the length of the overlap (weighted consistent hashing).
    pub(crate) fn assign_subset_by_weight(&mut self, level_index: usize, total_weight: f64, count: f64) {
        let arc = RingArc::of_gateway(self.gateway_index, self.gateway_count, count);
        let mut order: Vec<usize> = (0..self.slots.len()).collect();
        order.retain(|index| {
            let slot = &self.slots[*index];
            slot.level_index == Some(level_index) && slot.ready
        });
        order.sort_unstable_by_key(|index| self.slots[*index].name_hash);
        let mut from = 0.0;
        for index in order {
            let slot = &mut self.slots[index];
            let to = from + slot.weight() / total_weight;
            let overlap = arc.overlap(from, to);
            slot.in_subset = overlap > ARC_EPSILON;
            slot.subset_weight = if slot.in_subset { overlap * count } else { slot.relative_weight };
            from = to;
        }
    }
}
