//! The link between the gateways of a fleet: authenticated datagrams, and the state of each peer that is known from
//! them.
//!
//! The package is a state machine without a socket and without a clock. Datagrams may be lost, duplicated, delayed,
//! replayed or forged. A datagram is accepted only if it has a tag made with a secret of the fleet, is addressed to
//! this gateway and to this start of its process (its incarnation, a random number), and was not accepted before. A
//! gateway that does not know a peer's incarnation sends a hello; the reply carries the incarnation. So a datagram that
//! was recorded before a start of the receiver is not accepted after it. `docs/leases.md` describes the envelope.
//!
//! | file | concern |
//! | --- | --- |
//! | `link` | receives and sends datagrams, and reports events of peers |
//! | `peer` | the state of one peer |
//! | `replay_window` | which sequence numbers were accepted |
//! | `rate_limit` | limits the datagrams from and to one peer |
//! | `envelope` | the format of a datagram and its authentication |
//! | `drops` | why datagrams are dropped, and counts of them |
//! | `settings` | the settings and their validation |

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

/// The id of the fleet with this name. Datagrams of other fleets are dropped before their tags are verified.
#[must_use]
pub fn fleet_of(name: &str) -> u64 {
    xxhash_rust::xxh64::xxh64(name.as_bytes(), 0)
}
