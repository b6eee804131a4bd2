//! Shutdown of the process.

use crate::*;

impl Gateway {
    /// Blocks in hand go back at once, so that the others can use them; what still comes is paid singly.
    pub(crate) fn start_draining(&mut self, out: &mut Vec<Action>) {
        self.draining = true;
        let names: Vec<Name> = self.customers.keys().cloned().collect();
        for name in names {
            let Some(customer) = self.customers.get_mut(&name) else { continue };
            customer.advance(self.now, &self.settings.plans[customer.plan_index]);
            let lease = std::mem::take(&mut customer.leased_units);
            (customer.unreported_units, customer.available_units) =
                (customer.unreported_units - lease, customer.available_units + lease);
            if customer.unreported_units.abs() > 1e-6 {
                self.call_counter(&name, out);
            }
        }
    }
}
