//! The choice of a backend for each attempt.
//!
//! [`select`] determines which backends are eligible and scores them. If the endpoint list states no placements and the
//! routing settings are the default, scoring is *uniform*: the lowest score is chosen. Otherwise [`priority_levels`],
//! [`sticky`] routes and weights ([`stride`], [`subset`]) decide among the eligible backends. Each gateway decides from
//! its own state alone. [`attempts`] counts the attempts in flight at each backend.

pub(crate) mod attempts;
pub(crate) mod backend;
pub(crate) mod endpoints;
pub(crate) mod forward;
pub(crate) mod priority_levels;
pub(crate) mod select;
pub(crate) mod sticky;
pub(crate) mod stride;
pub(crate) mod subset;
