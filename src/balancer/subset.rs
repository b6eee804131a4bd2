//! The backends that one of many gateways prefers.

use crate::balancer::endpoints::EndpointTable;
use crate::balancer::stride::WEIGHT_LEAST;

/// One of many gateways keeps to about this many backends of its own in each tier: guards against full
/// connection tables, and it hears more of each.
pub(crate) const OWN_BACKENDS: f64 = 5.0;

impl EndpointTable {
    /// All weights of a level laid round a circle, in an order that is the same at all gateways: each gateway's
    /// own backends are those on an arc of it, and they are drawn by how much of them lies there. Arcs begin at
    /// even distances and are as long as a whole number of these, so every point is in as many arcs: over the
    /// fleet each backend has exactly its weight's part.
    pub(crate) fn assign_subset_by_weight(&mut self, level: usize, total: f64, count: f64) {
        let gateways = f64::from(self.gateway_count);
        let length = (gateways * OWN_BACKENDS / count).ceil() / gateways;
        let from = f64::from(self.gateway_index) / gateways;
        let mut order: Vec<usize> = (0..self.slots.len()).collect();
        order.retain(|at| self.slots[*at].level_index == Some(level) && self.slots[*at].ready);
        order.sort_unstable_by_key(|at| self.slots[*at].name_hash);
        let mut low = 0.0;
        for at in order {
            let seat = &mut self.slots[at];
            let high = low + seat.placement.weight.max(WEIGHT_LEAST) / total;
            let over = |from: f64| (high.min(from + length) - low.max(from)).max(0.0);
            let lies = over(from) + over(from - 1.0);
            seat.in_subset = lies > 1e-12;
            seat.subset_weight = if seat.in_subset { lies * count } else { seat.relative_weight };
            low = high;
        }
    }
}
