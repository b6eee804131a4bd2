//! Shares the outlier reports of a fleet's gateways: one gateway probes the reported nodes and gossips its verdicts.
//!
//! Each gateway reports the nodes that fail its requests (SWIM's suspicion). The holder of the lease `suspects` alone probes
//! them, at a bounded rate, and broadcasts verdicts. A verdict is a hint with an age and evidence: no node is an outlier by
//! the report of a single gateway, at most a fraction of the nodes are outliers, and every verdict expires by itself.
//!
//! A state machine without I/O and without a clock. `docs/leases.md` describes it for operators.
//!
//! | file | concern |
//! | --- | --- |
//! | `gossip` | the state machine: what one input changes and what is sent |
//! | `reports` | failure reports by node and gateway; which of its own a gateway sends |
//! | `probes` | which node is probed when |
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

/// The most reports, and the most verdicts, of one message that are processed.
const MAX_MESSAGE_ENTRIES: usize = 1024;
/// A node is an outlier only where so many gateways say so, the one that probed it among them.
const MIN_REPORTING_GATEWAYS: usize = 2;
