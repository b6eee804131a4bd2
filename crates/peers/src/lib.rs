//! The link between the gateways of a fleet: datagrams that may be lost, doubled, late, replayed or forged, and what is
//! known of each peer by them. It holds no socket and reads no clock; `docs/leases.md` describes the envelope.
//!
//! A datagram counts only if it carries a tag made with a secret of the fleet, names this gateway and this start of it
//! (its incarnation, a number by chance), and was not taken before. Who does not know a peer's incarnation yet says
//! hello; the answer tells it. So nothing that was recorded before a start can be of use after it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod envelope;
mod link;
mod peer;

pub use envelope::{ENVELOPE_VERSION, MAX_DATAGRAM_BYTES};
pub use link::{
    DropCounters, DropReason, Link, OutgoingDatagram, PeerEvent, ReceivedPayload, Settings, SettingsError,
};
pub use peer::PeerStatus;

/// A gateway's number.
pub type GatewayNumber = u32;
/// Ms on this gateway's monotonic clock.
pub type Millis = u64;

/// A number for a fleet's name: datagrams of another fleet are told apart before their tags are looked at.
#[must_use]
pub fn fleet_of(name: &str) -> u64 {
    xxhash_rust::xxh64::xxh64(name.as_bytes(), 0)
}
