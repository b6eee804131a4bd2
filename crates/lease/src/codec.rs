//! Messages as protobuf. What cannot be read is one fault; nothing of it is taken.

use crate::{Item, LeaseRequest, Message, Refusal, TaskId};
use prost::Message as _;

/// The most items that one message may hold.
pub const ITEMS: usize = 2048;

/// Bytes that are no message about leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no message about leases")
    }
}

impl std::error::Error for DecodeError {}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Wire {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "3")]
    highest: u64,
    #[prost(uint64, tag = "4")]
    round: u64,
    #[prost(message, repeated, tag = "5")]
    items: Vec<WireItem>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WireItem {
    #[prost(fixed32, tag = "1")]
    task: TaskId,
    /// 1 ask, 2 grant, 3 refuse, 4 release, 5 take.
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(uint64, tag = "3")]
    token: u64,
    /// Ask: its length. Refused as held: what is left.
    #[prost(uint64, tag = "4")]
    ms: u64,
    /// Refuse: 1 silent, 2 version, 3 held, 4 token, 5 length, 6 full.
    #[prost(uint32, tag = "5")]
    why: u32,
    /// Refused as held: by whom. Release: whose it is to be next.
    #[prost(uint32, optional, tag = "6")]
    gateway: Option<u32>,
}

/// A message's bytes.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let item = |item: &Item| {
        let of = |task, kind, token| WireItem { task, kind, token, ..WireItem::default() };
        match *item {
            Item::Request(LeaseRequest { task, token, duration: length }) => {
                WireItem { ms: length, ..of(task, 1, token) }
            }
            Item::Grant { task, token } => of(task, 2, token),
            Item::Refuse { task, token, reason: why } => {
                let refused = |why| WireItem { why, ..of(task, 3, token) };
                match why {
                    Refusal::NotVoting => refused(1),
                    Refusal::VersionMismatch => refused(2),
                    Refusal::HeldByOther { holder: by, remaining: left } => {
                        WireItem { ms: left, gateway: Some(by), ..refused(3) }
                    }
                    Refusal::StaleToken => refused(4),
                    Refusal::LeaseTooLong => refused(5),
                    Refusal::TooManyTasks => refused(6),
                }
            }
            Item::Release { task, token, transfer_to: to } => WireItem { gateway: to, ..of(task, 4, token) },
            Item::Transfer { task } => of(task, 5, 0),
        }
    };
    let Message { voters_version: version, highest_token: highest, round, ref items } = *message;
    Wire { version, highest, round, items: items.iter().map(item).collect() }.encode_to_vec()
}

/// Reads a message.
///
/// # Errors
/// When the bytes are none.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    let wire = Wire::decode(bytes).map_err(|_| DecodeError)?;
    if wire.items.len() > ITEMS {
        return Err(DecodeError);
    }
    let item = |item: &WireItem| {
        let WireItem { task, kind, token, ms, why, gateway } = *item;
        Ok(match kind {
            1 => Item::Request(LeaseRequest { task, token, duration: ms }),
            2 => Item::Grant { task, token },
            3 => {
                let why = match why {
                    1 => Refusal::NotVoting,
                    2 => Refusal::VersionMismatch,
                    3 => Refusal::HeldByOther { holder: gateway.ok_or(DecodeError)?, remaining: ms },
                    4 => Refusal::StaleToken,
                    5 => Refusal::LeaseTooLong,
                    6 => Refusal::TooManyTasks,
                    _ => return Err(DecodeError),
                };
                Item::Refuse { task, token, reason: why }
            }
            4 => Item::Release { task, token, transfer_to: gateway },
            5 => Item::Transfer { task },
            _ => return Err(DecodeError),
        })
    };
    let items = wire.items.iter().map(item).collect::<Result<_, _>>()?;
    let Wire { version, highest, round, .. } = wire;
    Ok(Message { voters_version: version, highest_token: highest, round, items })
}

#[cfg(test)]
mod tests;
