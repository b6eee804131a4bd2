//! The format of a datagram: protobuf, with an envelope and an authentication tag over its bytes.

use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;

/// The version of the envelope. Datagrams of another version are dropped and counted.
pub const ENVELOPE_VERSION: u32 = 1;
/// The longest datagram that is sent or accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// The channel of a hello, which has no payload.
pub(crate) const HELLO_CHANNEL: u32 = 0;

/// A datagram: the bytes of an envelope, and the HMAC-SHA-256 of these bytes as the tag.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Datagram {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) envelope: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) tag: Vec<u8>,
}

/// A payload with the addresses, sequence number and clocks of its datagram.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Envelope {
    #[prost(uint32, tag = "1")]
    pub(crate) version: u32,
    /// The fleet's id.
    #[prost(fixed64, tag = "2")]
    pub(crate) fleet: u64,
    #[prost(uint32, tag = "3")]
    pub(crate) sender: u32,
    /// Identifies the start of the sender's process.
    #[prost(fixed64, tag = "4")]
    pub(crate) incarnation: u64,
    #[prost(uint32, tag = "5")]
    pub(crate) receiver: u32,
    /// Identifies the start of the receiver to which the datagram is addressed; 0 where the sender does not know it.
    #[prost(fixed64, tag = "6")]
    pub(crate) receiver_incarnation: u64,
    /// Counts the datagrams of this start of the sender to this receiver, from 1.
    #[prost(uint64, tag = "7")]
    pub(crate) sequence: u64,
    /// The sender's monotonic clock when the datagram was sent, in ms.
    #[prost(uint64, tag = "8")]
    pub(crate) sent_at: u64,
    /// The sender's wall clock when the datagram was sent, in ms since the Unix epoch.
    #[prost(uint64, tag = "9")]
    pub(crate) wall_clock: u64,
    /// `sent_at` of the newest datagram that the sender has received from the receiver; 0 where there is none.
    #[prost(uint64, tag = "10")]
    pub(crate) echoed_sent_at: u64,
    /// How long before `sent_at` the sender had received that datagram, in ms.
    #[prost(uint64, tag = "11")]
    pub(crate) echo_held_for: u64,
    /// Which part of the program the payload is for; `HELLO_CHANNEL` for a hello.
    #[prost(uint32, tag = "12")]
    pub(crate) channel: u32,
    #[prost(bytes = "vec", tag = "13")]
    pub(crate) payload: Vec<u8>,
}

fn hmac(secret: &[u8], bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut hmac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    hmac.update(bytes);
    Some(hmac)
}

/// Encodes an envelope and authenticates it with a secret.
pub(crate) fn seal(envelope: &Envelope, secret: &[u8]) -> Vec<u8> {
    let envelope = envelope.encode_to_vec();
    let tag = hmac(secret, &envelope).map(|hmac| hmac.finalize().into_bytes().to_vec()).unwrap_or_default();
    Datagram { envelope, tag }.encode_to_vec()
}

/// Whether the tag was made with one of the secrets. The tags are compared in constant time.
pub(crate) fn is_authentic(datagram: &Datagram, secrets: &[Vec<u8>]) -> bool {
    let made_tag = |secret: &Vec<u8>| {
        hmac(secret, &datagram.envelope).is_some_and(|hmac| hmac.verify_slice(&datagram.tag).is_ok())
    };
    secrets.iter().any(made_tag)
}
