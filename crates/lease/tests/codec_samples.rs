//! Recorded samples of the wire format, so that a rename in the code cannot change it: each message encodes to exactly
//! these bytes and decodes from them.

use doorcourse_lease::{Item, LeaseRequest, Message, Refusal, decode, encode};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_encoding(items: Vec<Item>, expected: &str) {
    let message = Message { voters_version: 3, highest_token: 0x0012_3456_789a, round: 300, items };
    let bytes = encode(&message);
    assert_eq!(hex(&bytes), expected, "{message:?}");
    assert_eq!(decode(&bytes), Ok(message));
}

#[test]
fn a_message_without_items_keeps_its_encoding() {
    assert_encoding(Vec::new(), "0803189af1d9a2a30220ac02");
}

#[test]
fn a_lease_request_keeps_its_encoding() {
    assert_encoding(
        vec![Item::Request(LeaseRequest { task: 7, token: 1 << 40, duration: 3_000 })],
        "0803189af1d9a2a30220ac022a110d0700000010011880808080802020b817",
    );
}

#[test]
fn a_grant_keeps_its_encoding() {
    assert_encoding(
        vec![Item::Grant { task: 7, token: 1 << 40 }],
        "0803189af1d9a2a30220ac022a0e0d07000000100218808080808020",
    );
}

#[test]
fn each_refusal_keeps_its_encoding() {
    let refusals = [
        (Refusal::NotVoting, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2801"),
        (Refusal::VersionMismatch, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2802"),
        (
            Refusal::HeldByOther { holder: 2, remaining: 1_234 },
            "0803189af1d9a2a30220ac022a100defbeedfe1003184d20d20928033002",
        ),
        (
            Refusal::HeldByOther { holder: 0, remaining: 0 },
            "0803189af1d9a2a30220ac022a0d0defbeedfe1003184d28033000",
        ),
        (Refusal::StaleToken, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2804"),
        (Refusal::LeaseTooLong, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2805"),
        (Refusal::TooManyTasks, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2806"),
    ];
    for (why, expected) in refusals {
        assert_encoding(vec![Item::Refuse { task: 0xfeed_beef, token: 77, reason: why }], expected);
    }
}

#[test]
fn a_release_keeps_its_encoding() {
    assert_encoding(
        vec![Item::Release { task: 7, token: 1 << 40, transfer_to: None }],
        "0803189af1d9a2a30220ac022a0e0d07000000100418808080808020",
    );
}

#[test]
fn a_release_for_a_transfer_keeps_its_encoding() {
    assert_encoding(
        vec![Item::Release { task: 7, token: 1 << 40, transfer_to: Some(0) }],
        "0803189af1d9a2a30220ac022a100d070000001004188080808080203000",
    );
}

#[test]
fn a_transfer_keeps_its_encoding() {
    assert_encoding(vec![Item::Transfer { task: 7 }], "0803189af1d9a2a30220ac022a070d070000001005");
}

#[test]
fn several_items_of_one_message_keep_their_order() {
    let items = vec![
        Item::Grant { task: 1, token: 5 },
        Item::Transfer { task: 2 },
        Item::Grant { task: 1, token: 5 },
    ];
    assert_encoding(
        items,
        "0803189af1d9a2a30220ac022a090d01000000100218052a070d0200000010052a090d0100000010021805",
    );
}
