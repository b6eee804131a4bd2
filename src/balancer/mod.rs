//! The choice of a backend for each attempt.
//!
//! [`select`] finds out which backends are eligible and scores them. A list that states no placement is *uniform*:
//! the lowest score is chosen. Else [`priority_levels`], [`sticky`] routes and weights ([`stride`], [`subset`])
//! decide among the eligible. Each gateway decides by what it knows itself.

pub(crate) mod backend;
pub(crate) mod endpoints;
pub(crate) mod forward;
pub(crate) mod priority_levels;
pub(crate) mod select;
pub(crate) mod sticky;
pub(crate) mod stride;
pub(crate) mod subset;
