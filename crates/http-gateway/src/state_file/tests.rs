//! Tests of the state file: round trip, damaged files, files of other gateways and versions, and the recorded format.

use super::*;

fn backend(name: &str) -> BackendStatus {
    BackendStatus {
        name: Name::from(name),
        ready: true,
        in_flight: 0,
        concurrency_limit: 2.5,
        started: Some(5.0),
        consecutive_failures: 3,
        ejected_until: 99.0,
    }
}

/// A state file of gateway 2 that accepts files up to 60 s old, in a directory for this test.
fn file(name: &str) -> StateFile {
    let directory = std::env::temp_dir().join(format!("doorcourse-state-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    StateFile { path: directory.join("state"), max_age: 60_000.0, gateway_index: 2 }
}

#[test]
fn a_written_file_is_read_back_and_a_missing_file_is_no_error() {
    let file = file("good");
    assert_eq!(file.read(0.0), Ok(None));
    file.write(1000.0, [backend("a"), backend("b")].into_iter()).expect("written");
    assert_eq!(file.read(2000.0), Ok(Some(vec![backend("a"), backend("b")])));
}

#[test]
fn a_file_truncated_at_any_byte_or_with_any_byte_of_its_body_changed_is_rejected() {
    let file = file("torn");
    file.write(1000.0, [backend("a")].into_iter()).expect("written");
    let complete = std::fs::read(&file.path).expect("read");
    for cut in 0..complete.len() {
        std::fs::write(&file.path, &complete[..cut]).expect("cut");
        assert!(file.read(2000.0).is_err(), "cut at {cut}");
    }
    let end = complete.iter().position(|b| *b == b'\n').expect("a head");
    for at in end + 1..complete.len() {
        let mut changed = complete.clone();
        changed[at] ^= 1;
        std::fs::write(&file.path, &changed).expect("changed");
        assert!(file.read(2000.0).is_err(), "changed at {at}");
    }
}

#[test]
fn old_future_and_foreign_files_are_rejected_with_the_reason() {
    let file = file("foreign");
    file.write(1000.0, [backend("a")].into_iter()).expect("written");
    let error = |file: &StateFile, now| file.read(now).expect_err("not usable").to_string();
    assert!(error(&file, 62_000.0).contains("61 s old, at most 60"));
    assert!(error(&file, -5000.0).contains("clock that is ahead"));
    assert!(
        error(&StateFile { gateway_index: 1, ..file.clone() }, 2000.0).contains("of gateway 2, this is 1")
    );
    let text = std::fs::read_to_string(&file.path).expect("read");
    std::fs::write(&file.path, text.replace("\"doorcourse_state\":1", "\"doorcourse_state\":9"))
        .expect("write");
    assert!(error(&file, 2000.0).contains("of version 9, this is 1"));
    // A process that died before the rename leaves a temporary file: the old one is still used.
    file.write(1000.0, [backend("a")].into_iter()).expect("written");
    std::fs::write(temporary_path(&file.path), "half").expect("write");
    assert!(file.read(2000.0).is_ok_and(|v| v.is_some()));
}

#[test]
fn a_failed_write_keeps_the_old_file() {
    let file = file("full");
    file.write(1000.0, [backend("a")].into_iter()).expect("written");
    // The temporary file cannot be created, as on a full disk.
    std::fs::create_dir_all(temporary_path(&file.path)).expect("a directory in its place");
    assert!(file.write(2000.0, [backend("b")].into_iter()).is_err());
    assert_eq!(file.read(2000.0), Ok(Some(vec![backend("a")])));
    std::fs::remove_dir(temporary_path(&file.path)).expect("removed");
}

#[test]
fn a_recorded_file_is_read_and_written_back_byte_for_byte() {
    let file = file("recorded");
    let recorded = include_str!("../../tests/recorded/state-file-1.txt");
    std::fs::write(&file.path, recorded).expect("write");
    let backends = file.read(6000.0).expect("usable").expect("present");
    let first = backend("node-1");
    let second = BackendStatus {
        concurrency_limit: 1.75,
        consecutive_failures: 0,
        ejected_until: 0.0,
        started: None,
        ..backend("node-2")
    };
    assert_eq!(backends, [first, second]);
    file.write(5000.5, backends.into_iter()).expect("written");
    assert_eq!(std::fs::read_to_string(&file.path).expect("read"), recorded);
}
