use super::*;

#[test]
fn the_backoff_doubles_with_each_fault_up_to_one_second() {
    assert_eq!(fault_backoff(1), 5.0);
    assert_eq!(fault_backoff(2), 10.0);
    assert_eq!(fault_backoff(8), 640.0);
    assert_eq!(fault_backoff(9), 1000.0);
    assert_eq!(fault_backoff(u32::MAX), 1000.0);
}
