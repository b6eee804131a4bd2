pub(crate) mod open_cap;
pub(crate) mod queue;
pub(crate) mod shedding;
