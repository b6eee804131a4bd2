//! Outlier detection across the gateways of a fleet: gateways share their failure reports, and one of them probes the
//! reported nodes and broadcasts its verdicts. A node is a backend in the endpoint list.
//!
//! Each gateway reports the nodes that fail its requests (the suspicion of the SWIM protocol). Only the holder of the
//! lease `suspects` probes them, at a bounded rate, and broadcasts verdicts. A verdict is a hint with an age and
//! evidence: the reports of a single gateway make no node an outlier, at most a fraction of the nodes are outliers, and
//! every verdict expires.
//!
//! The package is a state machine that does no I/O and reads no clock. `docs/leases.md` describes it for operators.
//!
//! | file | concern |
//! | --- | --- |
//! | `gossip` | the state machine: what each input changes, and which messages and probes follow |
//! | `reports` | failure reports by node and gateway, and which reports a gateway sends itself |
//! | `probes` | when each node is probed |
//! | `verdicts` | which verdicts are accepted, and their effect on the decisions |
//! | `events` | settings, inputs and outputs |
//! | `message` | the messages and their encoding |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod events;
mod gossip;
mod message;
mod probes;
mod reports;
mod verdicts;

pub use events::{Input, NodeStatus, Output, Settings};
pub use gossip::OutlierGossip;
pub use message::{FailureReport, Message, Verdict, decode, encode};
pub use probes::is_well;
pub use verdicts::{VerdictEffect, verdict_effect};

/// A gateway's number in the fleet.
pub type GatewayNumber = u32;
/// Milliseconds: a duration, or a point in time on this gateway's monotonic clock.
pub type Millis = u64;

/// The most reports or verdicts of one message that are processed.
const MAX_MESSAGE_ENTRIES: usize = 1024;
/// The fewest gateways whose evidence makes a node an outlier, including the gateway that probed it.
const MIN_REPORTING_GATEWAYS: usize = 2;
