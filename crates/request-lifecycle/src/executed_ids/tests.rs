use super::*;

#[test]
fn ids_are_remembered_for_their_retention() {
    let mut ids = ExecutedIds::default();
    ids.record(0.0, 7);
    ids.record(10.0, 7);
    ids.record(20_000.0, 8);
    assert!(ids.contains(RETENTION_MS - 1.0, 7) && ids.contains(RETENTION_MS, 8));
    assert!(!ids.contains(RETENTION_MS, 7) && !ids.contains(RETENTION_MS, 9));
    ids.record(RETENTION_MS + 20_000.0, 9);
    assert_eq!((ids.ids.len(), ids.by_age.len()), (1, 1));
}

#[test]
fn the_oldest_of_too_many_ids_are_forgotten() {
    let mut ids = ExecutedIds::default();
    for id in 0..3 * MAX_IDS as u64 {
        ids.record(id as Millis / 1000.0, id);
    }
    assert_eq!((ids.ids.len(), ids.by_age.len()), (MAX_IDS, MAX_IDS));
    assert!(ids.contains(100.0, 3 * MAX_IDS as u64 - 1) && !ids.contains(100.0, 0));
}
