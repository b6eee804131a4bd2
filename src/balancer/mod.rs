pub(crate) mod endpoints;
pub(crate) mod select;
