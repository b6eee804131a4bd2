//! Recorded samples of the wire format, so that a rename in the code cannot change it: each message encodes to exactly
//! these bytes and decodes from them.

use doorcourse_outlier_gossip::{FailureReport, Message, Verdict, decode, encode};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_encoding(message: Message, expected: &str) {
    let bytes = encode(&message);
    assert_eq!(hex(&bytes), expected, "{message:?}");
    assert_eq!(decode(&bytes), Some(message));
}

#[test]
fn a_message_without_reports_keeps_its_encoding() {
    assert_encoding(Message::Reports(Vec::new()), "");
}

#[test]
fn reports_keep_their_encoding() {
    let reports = vec![
        FailureReport { node: "n1".into(), started: 1_700_000_000_123 },
        FailureReport { node: "backend-2".into(), started: 0 },
    ];
    assert_encoding(Message::Reports(reports), "120b0a026e3110fbd095ffbc31120b0a096261636b656e642d32");
}

#[test]
fn verdicts_keep_their_encoding() {
    let verdicts = vec![
        Verdict {
            node: "n1".into(),
            started: 1_700_000_000_123,
            is_outlier: true,
            age_ms: 250,
            reporting_gateways: 2,
        },
        Verdict { node: "n2".into(), started: 0, is_outlier: false, age_ms: 0, reporting_gateways: 1 },
    ];
    assert_encoding(
        Message::Verdicts { token: 1 << 50, verdicts },
        "08808080808080800212120a026e3110fbd095ffbc31180120fa01280212060a026e322801",
    );
}

#[test]
fn a_message_without_verdicts_keeps_its_token() {
    assert_encoding(Message::Verdicts { token: 0, verdicts: Vec::new() }, "0800");
}
