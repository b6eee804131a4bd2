pub(crate) mod backend;
pub(crate) mod endpoints;
pub(crate) mod priority_levels;
pub(crate) mod select;
pub(crate) mod sticky;
pub(crate) mod stride;
pub(crate) mod subset;
