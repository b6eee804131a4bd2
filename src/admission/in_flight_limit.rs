//! The limit on a customer's requests in flight.

use crate::{Gateway, RequestId};

/// This gateway's even part of a limit on requests in flight. The first gateways of the customer's set take the
/// remainder; each has at least one, else a limit below the number of gateways would block some of them.
///
/// `gateway_rank` counts from 0, `customer_gateways` is at least 1.
fn in_flight_limit(max_in_flight: u32, gateway_rank: u32, customer_gateways: u32) -> u32 {
    let remainder = max_in_flight % customer_gateways;
    (max_in_flight / customer_gateways + u32::from(gateway_rank < remainder)).max(1)
}

impl Gateway {
    /// Whether the request's customer may have one more request in flight at this gateway.
    pub(crate) fn is_below_in_flight_limit(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let max_in_flight = self.settings.plans[request.plan_index].max_in_flight;
        if max_in_flight == 0 {
            return true;
        }
        let customer_gateways = customer.customer_gateways as u32;
        customer.occupancy.count() < in_flight_limit(max_in_flight, customer.gateway_rank, customer_gateways)
    }
}
