use super::*;

const AGES: ConnectionTimeouts =
    ConnectionTimeouts { silent_timeout: 2000.0, idle_timeout: 5000.0, unread_timeout: 2500.0 };

fn held() -> ConnectionActivity {
    ConnectionActivity::new(100.0)
}

#[test]
fn ages() {
    assert!(!held().is_expired(2099.0, &AGES) && held().is_expired(2100.0, &AGES));
    let spoke = ConnectionActivity { last_request_at: Some(1000.0), ..held() };
    assert!(!spoke.is_expired(5999.0, &AGES) && spoke.is_expired(6000.0, &AGES));
    let answered = ConnectionActivity { last_response_at: Some(5500.0), ..spoke };
    assert!(
        !answered.is_expired(10_499.0, &AGES) && answered.is_expired(10_500.0, &AGES),
        "idle since its answer"
    );
    assert_eq!(answered.eviction_rank(), Some((1, 5500.0)));
    let midway = ConnectionActivity { partial_request_since: Some(1500.0), ..spoke };
    assert!(!midway.is_expired(3499.0, &AGES) && midway.is_expired(3500.0, &AGES));
    let open = ConnectionActivity { open_requests: 1, ..midway };
    assert!(!open.is_expired(1e9, &AGES), "a request is open");
    let unread = ConnectionActivity { unread_response_since: Some(2000.0), ..open };
    assert!(!unread.is_expired(4499.0, &AGES) && unread.is_expired(4500.0, &AGES));
    let ending = ConnectionActivity { lingering_close_until: Some(300.0), ..open };
    assert!(!ending.is_expired(299.0, &AGES) && ending.is_expired(300.0, &AGES));
}

#[test]
fn who_goes_first() {
    let silent = ConnectionActivity { opened_at: 5000.0, ..held() };
    let (used, held_on) = (
        ConnectionActivity { last_request_at: Some(4900.0), ..held() },
        ConnectionActivity { last_request_at: Some(4000.0), ..held() },
    );
    let ending = ConnectionActivity { lingering_close_until: Some(9e9), open_requests: 1, ..held() };
    let mut all = [used, silent, held_on, ending];
    all.sort_by(|a, b| a.eviction_rank().partial_cmp(&b.eviction_rank()).unwrap());
    // One that has just come goes before one in use, and behind one that has held on for long.
    assert_eq!(all, [ending, held_on, silent, used]);
    assert_eq!(ConnectionActivity { open_requests: 1, ..used }.eviction_rank(), None);
    assert_eq!(AGES.for_occupancy(74, 100).idle_timeout, 5000.0);
    assert_eq!(AGES.for_occupancy(75, 100), ConnectionTimeouts { idle_timeout: 2000.0, ..AGES });
}
