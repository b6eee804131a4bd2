//! When a gateway that has just started is ready.

use doorcourse_discovery::Readiness;

#[test]
fn ready_with_an_endpoint_list_or_one_second_after_the_start_without_one() {
    let mut readiness = Readiness::new(500.0);
    assert!(!readiness.is_ready(1499.0) && readiness.is_ready(1500.0));
    readiness.list_received();
    assert!(readiness.is_ready(501.0));
}
