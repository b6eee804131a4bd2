//! Leases for fleet-wide tasks: at most one gateway regards itself as the holder of a task at any moment of real time.
//!
//! The package is a state machine that does no I/O and reads no clock: [`Leases::handle`] takes an [`Input`] with the
//! current time and appends [`Output`]s; [`Leases::next_timeout`] says when to call it next. `docs/leases.md` describes
//! the design, the proof and the alternatives that were considered.
//!
//! A voter grants a task to one holder at a time, for a duration counted on its own clock from the arrival of the
//! request. A candidate with the grants of a majority for one request holds the lease for that duration, less the
//! allowed clock drift, counted on its own clock from before the request was sent. Two majorities share a voter. That
//! voter made its second grant only after its first grant had expired, and by then the first holder's lease had expired
//! as well. Nothing is written to disk: after a restart a voter does not vote for as long as the longest lease lasts
//! (times 1 plus the clock drift), in which every grant of its previous start expires.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod calls;
mod codec;
mod events;
mod fault_injection;
mod leases;
mod message;
mod permit;
mod settings;
mod status;
mod voter;
mod voter_configuration;

pub use calls::{AuthorizedCall, CallSchedule, CallSettings};
pub use codec::{DecodeError, MAX_MESSAGE_ITEMS, decode, encode};
pub use events::{AcquiredLease, Input, LostLease, Output};
pub use fault_injection::DisabledRule;
pub use leases::{ActEnd, Leases};
pub use message::{Item, LeaseRequest, Message, Refusal};
pub use permit::{GuardError, Permit};
pub use settings::{Settings, SettingsError};
pub use status::{LastRefusal, LeaseStage, LeaseStatus};
pub use voter::{ActiveGrant, Voter};
pub use voter_configuration::VoterConfiguration;

/// A gateway's number in the fleet.
pub type GatewayNumber = u32;
/// A task's number: a hash of its name, so that gateways agree on it without a list.
pub type TaskId = u32;
/// Milliseconds: a duration, or a point in time on one gateway's monotonic clock. Points on different clocks are never
/// compared.
pub type Millis = u64;
/// A fencing token; `docs/leases.md` describes how it grows.
pub type FencingToken = u64;

/// One start of a gateway's process. Two starts of a gateway are two holders: the second start knows nothing of the
/// leases of the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HolderId {
    /// The gateway.
    pub gateway: GatewayNumber,
    /// Identifies the start of its process.
    pub incarnation: u64,
}

/// The id of the task with this name.
#[must_use]
pub fn task_of(name: &str) -> TaskId {
    xxhash_rust::xxh32::xxh32(name.as_bytes(), 0)
}
