//! The written form of traffic records, which drills keep and other versions of the program read.

use doorcourse_conformance::parse_records;

/// A traffic record with every kind of event.
const RECORDED: &str = include_str!("recorded/traffic.jsonl");

/// Guards against a renamed field or variant that changes the written name: an optional field would be lost without an
/// error.
#[test]
fn recorded_events_are_read_and_written_back_unchanged() {
    let records = parse_records(RECORDED).unwrap();
    let written: Vec<_> = records.iter().map(|record| serde_json::to_string(record).unwrap()).collect();
    assert_eq!(written, RECORDED.lines().collect::<Vec<_>>());
}
