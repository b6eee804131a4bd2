//! Samples of the wire format, made before any rename of the code: each message encodes to exactly these bytes and
//! decodes from them.

use doorcourse_lease::{Ask, Item, Message, Refusal, decode, encode};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_encoding(items: Vec<Item>, expected: &str) {
    let message = Message { version: 3, highest: 0x0012_3456_789a, round: 300, items };
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
        vec![Item::Ask(Ask { task: 7, token: 1 << 40, length: 3_000 })],
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
        (Refusal::Silent, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2801"),
        (Refusal::Version, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2802"),
        (
            Refusal::Held { by: 2, left: 1_234 },
            "0803189af1d9a2a30220ac022a100defbeedfe1003184d20d20928033002",
        ),
        (Refusal::Held { by: 0, left: 0 }, "0803189af1d9a2a30220ac022a0d0defbeedfe1003184d28033000"),
        (Refusal::Token, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2804"),
        (Refusal::Length, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2805"),
        (Refusal::Full, "0803189af1d9a2a30220ac022a0b0defbeedfe1003184d2806"),
    ];
    for (why, expected) in refusals {
        assert_encoding(vec![Item::Refuse { task: 0xfeed_beef, token: 77, why }], expected);
    }
}

#[test]
fn a_release_keeps_its_encoding() {
    assert_encoding(
        vec![Item::Release { task: 7, token: 1 << 40, to: None }],
        "0803189af1d9a2a30220ac022a0e0d07000000100418808080808020",
    );
}

#[test]
fn a_release_for_a_transfer_keeps_its_encoding() {
    assert_encoding(
        vec![Item::Release { task: 7, token: 1 << 40, to: Some(0) }],
        "0803189af1d9a2a30220ac022a100d070000001004188080808080203000",
    );
}

#[test]
fn a_transfer_keeps_its_encoding() {
    assert_encoding(vec![Item::Take { task: 7 }], "0803189af1d9a2a30220ac022a070d070000001005");
}

#[test]
fn several_items_of_one_message_keep_their_order() {
    let items =
        vec![Item::Grant { task: 1, token: 5 }, Item::Take { task: 2 }, Item::Grant { task: 1, token: 5 }];
    assert_encoding(
        items,
        "0803189af1d9a2a30220ac022a090d01000000100218052a070d0200000010052a090d0100000010021805",
    );
}
