//! The limit on a customer's requests in flight.

use crate::*;

impl Gateway {
    /// The open cap, shared evenly: the gateways first in the customer's set take what does not divide.
    pub(crate) fn is_below_in_flight_limit(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let cap = self.settings.plans[request.plan_index].max_in_flight;
        let (spread, place) = (customer.gateway_count as u32, customer.gateway_rank);
        cap == 0 || customer.in_flight < (cap / spread + u32::from(place < cap % spread)).max(1)
    }
}
