//! Whether and when an admitted request is forwarded: load shedding, the queue and the limit on requests in flight.

pub(crate) mod in_flight_limit;
pub(crate) mod queue;
pub(crate) mod shedding;
