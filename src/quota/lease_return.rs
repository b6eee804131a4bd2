//! Returns quota leases when the process shuts down, so that the other gateways can use them.

use crate::quota::UNITS_EPSILON;
use crate::{Action, Gateway, Name};

impl Gateway {
    /// Returns all leases at once, and from now on any new ones at each maintenance tick. Requests that still arrive
    /// lease no more than they need.
    pub(crate) fn start_returning_leases(&mut self, out: &mut Vec<Action>) {
        self.returns_leases = true;
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
