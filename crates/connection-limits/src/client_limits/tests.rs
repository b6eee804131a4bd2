use super::*;

fn budget() -> ClientBudget {
    ClientBudget::new(ClientLimits {
        max_connections: 2,
        max_requests: 3,
        max_buffered_bytes: 1000,
        max_customer_bytes: 300,
        max_unread_bytes: 100,
        unread_timeout: 50.0,
    })
}

#[test]
fn a_customer_s_limit_rejects_its_requests_only_and_the_common_limit_those_of_all() {
    let mut budget = budget();
    let mut first = ConnectionUsage::default();
    let mut second = ConnectionUsage::default();
    let greedy: Name = "greedy".into();
    let other: Name = "other".into();
    budget.update(0.0, &mut first, Some(&greedy), 200, 200, false);
    assert_eq!(budget.check_buffers(&greedy), Ok(()));
    budget.update(0.0, &mut second, Some(&greedy), 150, 150, false);
    assert_eq!(budget.check_buffers(&greedy), Err(LimitExceeded::CustomerBytes));
    assert_eq!(budget.check_buffers(&other), Ok(()));
    budget.remove_connection(&first);
    assert_eq!(budget.check_buffers(&greedy), Ok(()));
    assert_eq!(budget.bytes(), 150);
    // All bytes of a connection are charged to the customer of its last request.
    budget.update(0.0, &mut second, Some(&other), 400, 0, false);
    assert_eq!(budget.check_buffers(&greedy), Ok(()));
    assert_eq!(budget.check_buffers(&other), Err(LimitExceeded::CustomerBytes));
    budget.reserve(700);
    assert_eq!(budget.check_buffers(&greedy), Err(LimitExceeded::BufferedBytes));
    budget.release(700);
    budget.remove_connection(&second);
    assert!(budget.bytes() == 0 && budget.customer_bytes.is_empty());
}

#[test]
fn a_connection_is_reset_when_its_client_reads_nothing_for_the_unread_timeout() {
    let mut budget = budget();
    let mut usage = ConnectionUsage::default();
    assert_eq!(budget.reset_at(&usage), Millis::INFINITY);
    budget.update(10.0, &mut usage, None, 90, 90, false);
    assert_eq!(budget.reset_at(&usage), 60.0);
    budget.update(40.0, &mut usage, None, 120, 120, false);
    assert_eq!(budget.reset_at(&usage), 60.0, "more bytes to read do not extend it");
    budget.update(50.0, &mut usage, None, 110, 110, true);
    assert_eq!(budget.reset_at(&usage), 100.0);
    budget.update(99.0, &mut usage, None, 0, 0, true);
    assert_eq!(budget.reset_at(&usage), Millis::INFINITY);
    assert!(budget.may_start_request(100) && !budget.may_start_request(101));
}

#[test]
fn connections_and_requests_are_rejected_at_their_limits() {
    let budget = budget();
    assert_eq!(budget.check_connection(1), Ok(()));
    assert_eq!(budget.check_connection(2), Err(LimitExceeded::Connections));
    assert_eq!(budget.check_request(2), Ok(()));
    assert_eq!(budget.check_request(3), Err(LimitExceeded::Requests));
}
