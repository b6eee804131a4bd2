//! Suspect nodes. Each gateway tells the others which nodes fail it; the holder of the lease `suspects` tries those alone,
//! at a small rate, and tells all what it found. Its word is a hint with an age and evidence: no node is called bad that one
//! gateway alone says is bad, never more than a share of the nodes are, and each word runs out by itself.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod events;
mod gossip;
mod message;

pub use events::{Input, Output, Seen, Settings};
pub use gossip::{OutlierGossip, is_well, remembered};
pub use message::{FailureReport, Message, Verdict, decode, encode};

/// A gateway's number.
pub type GatewayNumber = u32;
/// Ms on this gateway's monotonic clock.
pub type Millis = u64;
