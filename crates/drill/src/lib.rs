//! Drills: a small fleet of gateway processes with stand-ins on loopback, a script of troubles, and a verdict from
//! the traffic that crossed the sockets.

mod clients;
mod compare;
mod fleet;
mod fleet_server;
mod format;
mod lease_drill;
mod runner;
mod script;
mod view;

pub use compare::compare;
pub use fleet::Fleet;
pub use fleet_server::{FleetServerOptions, call_fleet, run_fleet};
pub use format::{format_recoveries, format_report};
pub use lease_drill::{
    LEASE_MS, LeaseCost, LeaseDrillOptions, LeaseDrillOutcome, measure_failover_times, measure_lease_cost,
    run_lease_drill,
};
pub use runner::{DrillOptions, DrillOutcome, run_drill};
pub use script::{DRILLS, Drill, parse_drill};
pub use view::View;
