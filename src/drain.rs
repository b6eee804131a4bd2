//! Shutdown of the process: quota leases are returned, so that the other gateways can use them.

use crate::quota::UNITS_EPSILON;
use crate::{Action, Gateway, Name};

impl Gateway {
    /// Returns all leases at once. Requests that still arrive lease no more than they need.
    pub(crate) fn start_draining(&mut self, out: &mut Vec<Action>) {
        self.draining = true;
        let names: Vec<Name> = self.customers.keys().cloned().collect();
        for name in names {
            let Some(customer) = self.customers.get_mut(&name) else { continue };
            customer.advance(self.now, &self.settings.plans[customer.plan_index]);
            customer.return_lease();
            if customer.unreported_units.abs() > UNITS_EPSILON {
                self.call_counter(&name, out);
            }
        }
    }
}
