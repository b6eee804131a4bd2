use super::*;

#[test]
fn pauses_grow_to_a_bound() {
    assert_eq!(
        (fault_backoff(1), fault_backoff(2), fault_backoff(8), fault_backoff(9), fault_backoff(u32::MAX)),
        (5.0, 10.0, 640.0, 1000.0, 1000.0)
    );
}
