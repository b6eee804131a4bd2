use super::*;

fn accounts() -> ClientBudget {
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
fn one_customer_s_bound_lies_within_that_of_all() {
    let (mut accounts, mut a, mut b) = (accounts(), ConnectionUsage::default(), ConnectionUsage::default());
    let (greedy, other): (Name, Name) = ("greedy".into(), "other".into());
    accounts.update(0.0, &mut a, Some(&greedy), 200, 200, false);
    assert_eq!(accounts.check_buffers(&greedy), Ok(()));
    accounts.update(0.0, &mut b, Some(&greedy), 150, 150, false);
    assert_eq!(accounts.check_buffers(&greedy), Err(LimitExceeded::CustomerBytes));
    assert_eq!(accounts.check_buffers(&other), Ok(()));
    accounts.remove_connection(&a);
    assert_eq!((accounts.check_buffers(&greedy), accounts.bytes()), (Ok(()), 150));
    // A connection that changes hands takes its bytes along.
    accounts.update(0.0, &mut b, Some(&other), 400, 0, false);
    assert_eq!(
        (accounts.check_buffers(&greedy), accounts.check_buffers(&other)),
        (Ok(()), Err(LimitExceeded::CustomerBytes))
    );
    accounts.reserve(700);
    assert_eq!(accounts.check_buffers(&greedy), Err(LimitExceeded::BufferedBytes));
    accounts.release(700);
    accounts.remove_connection(&b);
    assert!(accounts.bytes() == 0 && accounts.customers.is_empty());
}

#[test]
fn a_connection_is_cut_only_when_its_client_takes_nothing_for_the_whole_time() {
    let (mut accounts, mut held) = (accounts(), ConnectionUsage::default());
    assert_eq!(accounts.reset_at(&held), Millis::INFINITY);
    accounts.update(10.0, &mut held, None, 90, 90, false);
    assert_eq!(accounts.reset_at(&held), 60.0);
    accounts.update(40.0, &mut held, None, 120, 120, false);
    assert_eq!(accounts.reset_at(&held), 60.0, "more to read is not read");
    accounts.update(50.0, &mut held, None, 110, 110, true);
    assert_eq!(accounts.reset_at(&held), 100.0);
    accounts.update(99.0, &mut held, None, 0, 0, true);
    assert_eq!(accounts.reset_at(&held), Millis::INFINITY);
    assert!(accounts.may_start_request(100) && !accounts.may_start_request(101));
}

#[test]
fn counts() {
    let accounts = accounts();
    assert_eq!(
        (accounts.check_connection(1), accounts.check_connection(2)),
        (Ok(()), Err(LimitExceeded::Connections))
    );
    assert_eq!(
        (accounts.check_request(2), accounts.check_request(3)),
        (Ok(()), Err(LimitExceeded::Requests))
    );
}
