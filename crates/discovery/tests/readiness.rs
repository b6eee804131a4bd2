//! When a gateway that was just started is ready.

use doorcourse_discovery::Readiness;

#[test]
fn ready_with_the_list_or_when_it_was_waited_for() {
    let mut start = Readiness::new(500.0);
    assert!(!start.is_ready(1499.0) && start.is_ready(1500.0));
    start.list_received();
    assert!(start.is_ready(501.0));
}
