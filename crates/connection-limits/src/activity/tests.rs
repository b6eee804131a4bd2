use super::*;

const TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { silent_timeout: 2000.0, idle_timeout: 5000.0, unread_timeout: 2500.0 };

fn accepted_at_100() -> ConnectionActivity {
    ConnectionActivity::new(100.0)
}

#[test]
fn a_connection_expires_by_the_timeout_of_its_state() {
    let silent = accepted_at_100();
    assert!(!silent.is_expired(2099.0, &TIMEOUTS));
    assert!(silent.is_expired(2100.0, &TIMEOUTS));
    let idle = ConnectionActivity { last_request_at: Some(1000.0), ..accepted_at_100() };
    assert!(!idle.is_expired(5999.0, &TIMEOUTS));
    assert!(idle.is_expired(6000.0, &TIMEOUTS));
    let answered = ConnectionActivity { last_response_at: Some(5500.0), ..idle };
    assert!(!answered.is_expired(10_499.0, &TIMEOUTS));
    assert!(answered.is_expired(10_500.0, &TIMEOUTS));
    assert_eq!(answered.eviction_rank(), Some((1, 5500.0)), "idle since its response");
    let partial_request = ConnectionActivity { partial_request_since: Some(1500.0), ..idle };
    assert!(!partial_request.is_expired(3499.0, &TIMEOUTS));
    assert!(partial_request.is_expired(3500.0, &TIMEOUTS));
    let in_use = ConnectionActivity { open_requests: 1, ..partial_request };
    assert!(!in_use.is_expired(1e9, &TIMEOUTS), "a request is open");
    let unread = ConnectionActivity { unread_response_since: Some(2000.0), ..in_use };
    assert!(!unread.is_expired(4499.0, &TIMEOUTS));
    assert!(unread.is_expired(4500.0, &TIMEOUTS));
    let lingering = ConnectionActivity { lingering_close_until: Some(300.0), ..in_use };
    assert!(!lingering.is_expired(299.0, &TIMEOUTS));
    assert!(lingering.is_expired(300.0, &TIMEOUTS));
}

#[test]
fn lingering_connections_are_evicted_first_then_the_longest_idle_and_none_in_use() {
    let just_accepted = ConnectionActivity { opened_at: 5000.0, ..accepted_at_100() };
    let recently_used = ConnectionActivity { last_request_at: Some(4900.0), ..accepted_at_100() };
    let long_idle = ConnectionActivity { last_request_at: Some(4000.0), ..accepted_at_100() };
    let lingering =
        ConnectionActivity { lingering_close_until: Some(9e9), open_requests: 1, ..accepted_at_100() };
    let mut all = [recently_used, just_accepted, long_idle, lingering];
    all.sort_by(|a, b| a.eviction_rank().partial_cmp(&b.eviction_rank()).unwrap());
    // A connection that was just accepted is evicted before one that was used recently, and after a long idle one.
    assert_eq!(all, [lingering, long_idle, just_accepted, recently_used]);
    assert_eq!(ConnectionActivity { open_requests: 1, ..recently_used }.eviction_rank(), None);
}

#[test]
fn idle_connections_expire_as_silent_ones_from_three_quarters_of_the_table_on() {
    assert_eq!(TIMEOUTS.for_occupancy(74, 100).idle_timeout, 5000.0);
    assert_eq!(TIMEOUTS.for_occupancy(75, 100), ConnectionTimeouts { idle_timeout: 2000.0, ..TIMEOUTS });
}
