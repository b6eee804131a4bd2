//! Messages as protobuf. What cannot be read is one fault; nothing of it is taken.

use crate::{Ask, Item, Message, Refusal, Task};
use prost::Message as _;

/// The most items that one message may hold.
pub const ITEMS: usize = 2048;

/// Bytes that are no message about leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no message about leases")
    }
}

impl std::error::Error for Unreadable {}

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
    task: Task,
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
            Item::Ask(Ask { task, token, length }) => WireItem { ms: length, ..of(task, 1, token) },
            Item::Grant { task, token } => of(task, 2, token),
            Item::Refuse { task, token, why } => {
                let refused = |why| WireItem { why, ..of(task, 3, token) };
                match why {
                    Refusal::Silent => refused(1),
                    Refusal::Version => refused(2),
                    Refusal::Held { by, left } => WireItem { ms: left, gateway: Some(by), ..refused(3) },
                    Refusal::Token => refused(4),
                    Refusal::Length => refused(5),
                    Refusal::Full => refused(6),
                }
            }
            Item::Release { task, token, to } => WireItem { gateway: to, ..of(task, 4, token) },
            Item::Take { task } => of(task, 5, 0),
        }
    };
    let Message { version, highest, round, ref items } = *message;
    Wire { version, highest, round, items: items.iter().map(item).collect() }.encode_to_vec()
}

/// Reads a message.
///
/// # Errors
/// When the bytes are none.
pub fn decode(bytes: &[u8]) -> Result<Message, Unreadable> {
    let wire = Wire::decode(bytes).map_err(|_| Unreadable)?;
    if wire.items.len() > ITEMS {
        return Err(Unreadable);
    }
    let item = |item: &WireItem| {
        let WireItem { task, kind, token, ms, why, gateway } = *item;
        Ok(match kind {
            1 => Item::Ask(Ask { task, token, length: ms }),
            2 => Item::Grant { task, token },
            3 => {
                let why = match why {
                    1 => Refusal::Silent,
                    2 => Refusal::Version,
                    3 => Refusal::Held { by: gateway.ok_or(Unreadable)?, left: ms },
                    4 => Refusal::Token,
                    5 => Refusal::Length,
                    6 => Refusal::Full,
                    _ => return Err(Unreadable),
                };
                Item::Refuse { task, token, why }
            }
            4 => Item::Release { task, token, to: gateway },
            5 => Item::Take { task },
            _ => return Err(Unreadable),
        })
    };
    let items = wire.items.iter().map(item).collect::<Result<_, _>>()?;
    let Wire { version, highest, round, .. } = wire;
    Ok(Message { version, highest, round, items })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn any_item() -> impl Strategy<Value = Item> {
        let why = prop_oneof![
            Just(Refusal::Silent),
            Just(Refusal::Version),
            (any::<u32>(), any::<u64>()).prop_map(|(by, left)| Refusal::Held { by, left }),
            Just(Refusal::Token),
            Just(Refusal::Length),
            Just(Refusal::Full),
        ];
        let pair = (any::<u32>(), any::<u64>());
        prop_oneof![
            (pair, any::<u64>()).prop_map(|((task, token), length)| Item::Ask(Ask { task, token, length })),
            pair.prop_map(|(task, token)| Item::Grant { task, token }),
            (pair, why).prop_map(|((task, token), why)| Item::Refuse { task, token, why }),
            (pair, any::<Option<u32>>()).prop_map(|((task, token), to)| Item::Release { task, token, to }),
            any::<u32>().prop_map(|task| Item::Take { task }),
        ]
    }

    proptest! {
        #[test]
        fn what_is_written_is_read(
            version in any::<u64>(), highest in any::<u64>(), round in any::<u64>(),
            items in prop::collection::vec(any_item(), 0..20),
        ) {
            let message = Message { version, highest, round, items };
            prop_assert_eq!(decode(&encode(&message)), Ok(message));
        }

        #[test]
        fn no_bytes_break_it(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = decode(&bytes);
        }
    }

    #[test]
    fn a_thousand_renewals_fit_one_datagram() {
        let items = (0..1000).map(|task| Item::Ask(Ask { task, token: 1 << 55, length: 600_000 })).collect();
        let message = Message { version: 9, highest: 1 << 55, round: 1 << 40, items };
        assert!(encode(&message).len() < 30_000, "{}", encode(&message).len());
    }
}
