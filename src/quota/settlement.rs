//! Corrects the estimated units of a request by those that its response reports.

use crate::Plan;
use crate::quota::customer::Customer;

impl Customer {
    /// Accounts for the difference between the units that a response reports and those that were admitted.
    ///
    /// Under a ceiling no units are returned, since they would be spent above the ceiling. What the bucket cannot cover
    /// is taken from the lease first, so that no lease is left to spend while the bucket is overdrawn. This part is not
    /// reported, since the lease is already in the counter's total.
    pub(crate) fn settle(&mut self, true_units: f64, admitted_units: f64, plan: &Plan) {
        let min_difference = if plan.ceiling_rate > 0.0 { 0.0 } else { f64::NEG_INFINITY };
        let difference = (true_units - admitted_units).max(min_difference);
        let uncovered_units = difference - self.bucket.available_units.max(0.0);
        let covered_by_lease = uncovered_units.clamp(0.0, self.lease.units.max(0.0));
        let remaining_units = difference - covered_by_lease;
        self.lease.units -= covered_by_lease;
        self.unreported_units += remaining_units;
        self.bucket.available_units -= remaining_units;
    }
}
