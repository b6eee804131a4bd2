use super::*;
use proptest::prelude::*;

fn any_item() -> impl Strategy<Value = Item> {
    let reason = prop_oneof![
        Just(Refusal::NotVoting),
        Just(Refusal::VersionMismatch),
        (any::<u32>(), any::<u64>())
            .prop_map(|(by, left)| Refusal::HeldByOther { holder: by, remaining: left }),
        Just(Refusal::StaleToken),
        Just(Refusal::LeaseTooLong),
        Just(Refusal::TooManyTasks),
    ];
    let pair = (any::<u32>(), any::<u64>());
    prop_oneof![
        (pair, any::<u64>()).prop_map(|((task, token), duration)| Item::Request(LeaseRequest {
            task,
            token,
            duration
        })),
        pair.prop_map(|(task, token)| Item::Grant { task, token }),
        (pair, reason).prop_map(|((task, token), reason)| Item::Refuse { task, token, reason }),
        (pair, any::<Option<u32>>()).prop_map(|((task, token), to)| Item::Release {
            task,
            token,
            transfer_to: to
        }),
        any::<u32>().prop_map(|task| Item::Transfer { task }),
    ]
}

proptest! {
    #[test]
    fn an_encoded_message_decodes_to_itself(
        version in any::<u64>(), highest in any::<u64>(), round in any::<u64>(),
        items in prop::collection::vec(any_item(), 0..20),
    ) {
        let message = Message { voters_version: version, highest_token: highest, round, items };
        prop_assert_eq!(decode(&encode(&message)), Ok(message));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
    }
}

#[test]
fn a_thousand_renewals_fit_one_datagram() {
    let items = (0..1000)
        .map(|task| Item::Request(LeaseRequest { task, token: 1 << 55, duration: 600_000 }))
        .collect();
    let message = Message { voters_version: 9, highest_token: 1 << 55, round: 1 << 40, items };
    assert!(encode(&message).len() < 30_000, "{}", encode(&message).len());
}
