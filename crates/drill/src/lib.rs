//! Drills: a small fleet of gateway processes with stand-ins on loopback, a script of troubles, and a verdict from
//! the traffic that crossed the sockets.

mod bad_day;
mod clients;
mod compare;
mod fleet;
mod show;

pub use bad_day::{Options, Outcome, bad_day};
pub use compare::compare;
pub use show::show;
