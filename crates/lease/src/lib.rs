//! Leases for fleet-wide tasks: at most one gateway believes that it holds a task at any moment of real time. Decisions
//! without I/O and without a clock; `docs/leases.md` has the design, the proof and the options that were weighed.
//!
//! A voter grants a task to one gateway at a time, for a length counted on its own clock from when the ask arrived. Who
//! has a majority's grants of one ask holds the task for that length, less what clocks may run apart, counted on its own
//! clock from before the ask was sent. Two majorities share a voter, and that voter's second grant came after its first
//! had run out: so did the first holder's belief. Nothing is written to disk: a voter that was started again stays silent
//! for the longest lease, in which all that it promised runs out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod calls;
mod codec;
mod events;
mod leases;
mod message;
mod permit;
mod settings;
mod status;
mod voter;
mod voter_configuration;

pub use calls::{CallSchedule, CallSettings};
pub use codec::{DecodeError, ITEMS, decode, encode};
pub use events::{AcquiredLease, Input, LostLease, Output};
pub use leases::Leases;
pub use message::{Item, LeaseRequest, Message, Refusal};
pub use permit::{GuardError, Needs, Permit};
pub use settings::{DisabledRule, Settings, SettingsError};
pub use status::{LeaseStage, LeaseStatus};
pub use voter::Voter;
pub use voter_configuration::VoterConfiguration;

/// A gateway's number.
pub type GatewayNumber = u32;
/// A task's number: a hash of its name, so that gateways agree without a list.
pub type TaskId = u32;
/// Ms on a gateway's monotonic clock. Only differences on one clock mean anything.
pub type Millis = u64;
/// A fencing token; see `docs/leases.md` for what it grows by.
pub type FencingToken = u64;

/// The number of a task by its name.
#[must_use]
pub fn task_of(name: &str) -> TaskId {
    xxhash_rust::xxh32::xxh32(name.as_bytes(), 0)
}
