//! What a datagram looks like: protobuf, an envelope and a tag over its bytes.

use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;

/// The version of the envelope. A newer one is dropped and counted.
pub const ENVELOPE_VERSION: u32 = 1;
/// The longest datagram in bytes, sent or taken.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A datagram: the bytes of an envelope, and HMAC-SHA-256 over them.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Datagram {
    #[prost(bytes = "vec", tag = "1")]
    pub envelope: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub tag: Vec<u8>,
}

/// What is told beside the payload.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Envelope {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(fixed64, tag = "2")]
    pub fleet: u64,
    #[prost(uint32, tag = "3")]
    pub sender: u32,
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    #[prost(uint32, tag = "5")]
    pub receiver: u32,
    /// The start of the receiver that this is for; 0 where it is not known.
    #[prost(fixed64, tag = "6")]
    pub receiver_incarnation: u64,
    /// Counts the datagrams of this sender's start to this receiver, from 1.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
    /// The sender's monotonic and wall clock, in ms.
    #[prost(uint64, tag = "8")]
    pub sent_at: u64,
    #[prost(uint64, tag = "9")]
    pub wall_clock: u64,
    /// `sent` of the newest datagram that came from the receiver, and how long ago that was, in ms; none had come if
    /// `echo` is 0.
    #[prost(uint64, tag = "10")]
    pub echoed_sent_at: u64,
    #[prost(uint64, tag = "11")]
    pub echo_held_for: u64,
    /// Whose payload this is; 0: none, a hello.
    #[prost(uint32, tag = "12")]
    pub channel: u32,
    #[prost(bytes = "vec", tag = "13")]
    pub payload: Vec<u8>,
}

fn mac(secret: &[u8], bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(bytes);
    Some(mac)
}

/// The bytes of a datagram.
pub(crate) fn seal(envelope: &Envelope, secret: &[u8]) -> Vec<u8> {
    let envelope = envelope.encode_to_vec();
    let tag = mac(secret, &envelope).map(|m| m.finalize().into_bytes().to_vec()).unwrap_or_default();
    Datagram { envelope, tag }.encode_to_vec()
}

/// Whether one of the secrets made the tag; compared in constant time.
pub(crate) fn is_ours(datagram: &Datagram, secrets: &[Vec<u8>]) -> bool {
    secrets.iter().any(|s| mac(s, &datagram.envelope).is_some_and(|m| m.verify_slice(&datagram.tag).is_ok()))
}
