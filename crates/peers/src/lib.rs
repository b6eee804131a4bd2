//! The link between the gateways of a fleet: authenticated datagrams, and what is known of each peer by them.
//!
//! A state machine without a socket and without a clock. Datagrams may be lost, duplicated, delayed, replayed or forged.
//! One is accepted only if it carries a tag made with a secret of the fleet, is addressed to this gateway and this start of
//! it (its incarnation, a random number), and was not accepted before. A gateway that does not know a peer's incarnation
//! sends a hello; the reply has it. So nothing that was recorded before a start is accepted after it. `docs/leases.md`
//! describes the envelope.
//!
//! | file | concern |
//! | --- | --- |
//! | `link` | datagrams in and out, events of peers |
//! | `peer` | the state of one peer |
//! | `replay_window` | which sequence numbers were accepted |
//! | `rate_limit` | what one peer may cost |
//! | `envelope` | the datagram's format and its authentication |
//! | `drops` | why datagrams are dropped, counted |
//! | `settings` | settings and their validation |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod drops;
mod envelope;
mod link;
mod peer;
mod rate_limit;
mod replay_window;
mod settings;

pub use drops::{DropCounters, DropReason};
pub use envelope::{ENVELOPE_VERSION, MAX_DATAGRAM_BYTES};
pub use link::{Link, OutgoingDatagram, PeerEvent, ReceivedPayload};
pub use peer::PeerStatus;
pub use settings::{Settings, SettingsError};

/// A gateway's number in the fleet.
pub type GatewayNumber = u32;
/// Milliseconds: a duration, or a point in time on this gateway's monotonic clock.
pub type Millis = u64;

/// The id of a fleet by its name: datagrams of other fleets are dropped before their tags are verified.
#[must_use]
pub fn fleet_of(name: &str) -> u64 {
    xxhash_rust::xxh64::xxh64(name.as_bytes(), 0)
}
