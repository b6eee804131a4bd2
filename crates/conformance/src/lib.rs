//! Checks the five rules from traffic records alone. The checks don't use any internals of the gateway, only what the
//! emulated clients and nodes recorded on both sides of it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acts;
mod record;
mod recovery;
mod report;
mod rules;
mod summary;

pub use acts::{Act, check_acts};
pub use record::{Bounds, Event, Kind, PlanBounds, Record, RetrySafety, Rule, parse_records};
pub use recovery::{Recovery, measure_recoveries};
pub use report::{Report, ResponseCounts};
pub use rules::{Violation, check_rules};
pub use summary::summarize;
