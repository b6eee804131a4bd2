//! Drills: a small fleet of gateway processes with emulated clients, nodes and counter on loopback, a schedule of faults,
//! and a check of the rules from the traffic on the sockets.

mod clients;
mod compare;
mod fleet;
mod lease_drill;
mod local_fleet;
mod runner;
mod script;
mod text_report;
mod view;

pub use compare::compare;
pub use fleet::Fleet;
pub use lease_drill::{
    LEASE_MS, LeaseCost, LeaseDrillOptions, LeaseDrillOutcome, measure_failover_times, measure_lease_cost,
    run_lease_drill,
};
pub use local_fleet::{LocalFleetOptions, call_fleet, run_local_fleet};
pub use runner::{DrillOptions, DrillOutcome, run_drill};
pub use script::{DRILLS, Drill, parse_drill};
pub use text_report::{format_recoveries, format_report};
pub use view::TerminalView;
