//! The five rules, checked from traffic records alone. It knows nothing of the gateway's insides: what crossed
//! the sockets, as the stand-ins on both sides wrote it down, must be enough.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acts;
mod record;
mod recovery;
mod report;
mod rules;

pub use acts::{Act, check_acts};
pub use record::{Bounds, Event, Kind, PlanBounds, Record, RetrySafety, Rule, parse_records};
pub use recovery::{Recovery, measure_recoveries};
pub use report::{Report, ResponseCounts, summarize};
pub use rules::{Violation, check_rules};
