//! The encoding of messages as protobuf. A message with any invalid field is rejected.

use crate::{Item, LeaseRequest, Message, Refusal, TaskId};
use prost::Message as _;
use thiserror::Error;

/// The most items in one message.
pub const MAX_MESSAGE_ITEMS: usize = 2048;

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are not such a protobuf message.
    #[error("not a lease message")]
    Malformed,
    /// The message has more items than allowed.
    #[error("a lease message with {0} items, more than {MAX_MESSAGE_ITEMS}")]
    TooManyItems(usize),
    /// An item is of an unknown kind.
    #[error("a lease message with an item of unknown kind {0}")]
    UnknownItemKind(u32),
    /// A refusal has an unknown reason.
    #[error("a lease message with a refusal for unknown reason {0}")]
    UnknownRefusalReason(u32),
    /// A refusal because of another holder does not name that holder.
    #[error("a lease message with a refusal that does not name the holder")]
    MissingHolder,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WireMessage {
    #[prost(uint64, tag = "1")]
    voters_version: u64,
    #[prost(uint64, tag = "3")]
    highest_token: u64,
    #[prost(uint64, tag = "4")]
    round: u64,
    #[prost(message, repeated, tag = "5")]
    items: Vec<WireItem>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WireItem {
    #[prost(fixed32, tag = "1")]
    task: TaskId,
    /// One of `item_kind`.
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(uint64, tag = "3")]
    token: u64,
    /// In ms. Request: the duration of the lease. Refusal because of another holder: how long the holder's grant lasts.
    #[prost(uint64, tag = "4")]
    duration_ms: u64,
    /// Refusal: one of `refusal_reason`.
    #[prost(uint32, tag = "5")]
    reason: u32,
    /// Refusal because of another holder: that holder. Release: the gateway to which the lease is transferred.
    #[prost(uint32, optional, tag = "6")]
    gateway: Option<u32>,
}

/// The numbers of the kinds of items.
mod item_kind {
    pub(super) const REQUEST: u32 = 1;
    pub(super) const GRANT: u32 = 2;
    pub(super) const REFUSE: u32 = 3;
    pub(super) const RELEASE: u32 = 4;
    pub(super) const TRANSFER: u32 = 5;
}

/// The numbers of the reasons of a refusal.
mod refusal_reason {
    pub(super) const NOT_VOTING: u32 = 1;
    pub(super) const VERSION_MISMATCH: u32 = 2;
    pub(super) const HELD_BY_OTHER: u32 = 3;
    pub(super) const STALE_TOKEN: u32 = 4;
    pub(super) const LEASE_TOO_LONG: u32 = 5;
    pub(super) const TOO_MANY_TASKS: u32 = 6;
}

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    WireMessage {
        voters_version: message.voters_version,
        highest_token: message.highest_token,
        round: message.round,
        items: message.items.iter().map(encode_item).collect(),
    }
    .encode_to_vec()
}

fn encode_item(item: &Item) -> WireItem {
    let wire = |kind, task, token| WireItem { task, kind, token, ..WireItem::default() };
    match *item {
        Item::Request(LeaseRequest { task, token, duration }) => {
            WireItem { duration_ms: duration, ..wire(item_kind::REQUEST, task, token) }
        }
        Item::Grant { task, token } => wire(item_kind::GRANT, task, token),
        Item::Refuse { task, token, reason } => encode_refusal(reason, wire(item_kind::REFUSE, task, token)),
        Item::Release { task, token, transfer_to } => {
            WireItem { gateway: transfer_to, ..wire(item_kind::RELEASE, task, token) }
        }
        Item::Transfer { task } => wire(item_kind::TRANSFER, task, 0),
    }
}

/// Adds the reason of a refusal to its item.
fn encode_refusal(refusal: Refusal, item: WireItem) -> WireItem {
    match refusal {
        Refusal::NotVoting => WireItem { reason: refusal_reason::NOT_VOTING, ..item },
        Refusal::VersionMismatch => WireItem { reason: refusal_reason::VERSION_MISMATCH, ..item },
        Refusal::HeldByOther { holder, remaining } => WireItem {
            reason: refusal_reason::HELD_BY_OTHER,
            duration_ms: remaining,
            gateway: Some(holder),
            ..item
        },
        Refusal::StaleToken => WireItem { reason: refusal_reason::STALE_TOKEN, ..item },
        Refusal::LeaseTooLong => WireItem { reason: refusal_reason::LEASE_TOO_LONG, ..item },
        Refusal::TooManyTasks => WireItem { reason: refusal_reason::TOO_MANY_TASKS, ..item },
    }
}

/// Decodes a message.
///
/// # Errors
/// The first part of the bytes that is invalid.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    let wire = WireMessage::decode(bytes).map_err(|_| DecodeError::Malformed)?;
    if wire.items.len() > MAX_MESSAGE_ITEMS {
        return Err(DecodeError::TooManyItems(wire.items.len()));
    }
    Ok(Message {
        voters_version: wire.voters_version,
        highest_token: wire.highest_token,
        round: wire.round,
        items: wire.items.iter().map(decode_item).collect::<Result<_, _>>()?,
    })
}

fn decode_item(wire: &WireItem) -> Result<Item, DecodeError> {
    let task = wire.task;
    let token = wire.token;
    match wire.kind {
        item_kind::REQUEST => Ok(Item::Request(LeaseRequest { task, token, duration: wire.duration_ms })),
        item_kind::GRANT => Ok(Item::Grant { task, token }),
        item_kind::REFUSE => Ok(Item::Refuse { task, token, reason: decode_refusal(wire)? }),
        item_kind::RELEASE => Ok(Item::Release { task, token, transfer_to: wire.gateway }),
        item_kind::TRANSFER => Ok(Item::Transfer { task }),
        unknown => Err(DecodeError::UnknownItemKind(unknown)),
    }
}

fn decode_refusal(wire: &WireItem) -> Result<Refusal, DecodeError> {
    match wire.reason {
        refusal_reason::NOT_VOTING => Ok(Refusal::NotVoting),
        refusal_reason::VERSION_MISMATCH => Ok(Refusal::VersionMismatch),
        refusal_reason::HELD_BY_OTHER => {
            let holder = wire.gateway.ok_or(DecodeError::MissingHolder)?;
            Ok(Refusal::HeldByOther { holder, remaining: wire.duration_ms })
        }
        refusal_reason::STALE_TOKEN => Ok(Refusal::StaleToken),
        refusal_reason::LEASE_TOO_LONG => Ok(Refusal::LeaseTooLong),
        refusal_reason::TOO_MANY_TASKS => Ok(Refusal::TooManyTasks),
        unknown => Err(DecodeError::UnknownRefusalReason(unknown)),
    }
}

#[cfg(test)]
mod tests;
