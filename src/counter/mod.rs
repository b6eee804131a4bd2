pub(crate) mod calls;
pub(crate) mod results;
