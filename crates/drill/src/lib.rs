//! Drills: a small fleet of gateway processes with stand-ins on loopback, a script of troubles, and a verdict from
//! the traffic that crossed the sockets.

mod clients;
mod compare;
mod fleet;
mod kit;
mod lease_drill;
mod play;
mod script;
mod show;
mod view;

pub use compare::compare;
pub use fleet::Fleet;
pub use kit::{KitOptions, call, up};
pub use lease_drill::{
    LEASE_MS, LeaseCost, LeaseDrillOptions, LeaseDrillOutcome, measure_failover_times, measure_lease_cost,
    run_lease_drill,
};
pub use play::{Options, Outcome, play};
pub use script::{DRILLS, Drill, read};
pub use show::{show, show_recoveries};
pub use view::View;
