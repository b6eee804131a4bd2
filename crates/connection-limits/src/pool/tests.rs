use super::*;

#[test]
fn the_one_used_last_is_taken_and_the_old_ones_are_closed() {
    let (mut pool, mut old) = (ConnectionPool::default(), Vec::new());
    for at in 0..3 {
        pool.release(at as f64 * 100.0, at);
    }
    assert_eq!(
        (pool.take_idle(250.0, idle_limit(500.0), &mut old), pool.longest_idle()),
        (Some(2), Some((0, 0.0)))
    );
    pool.request_ended();
    assert_eq!(pool.release(300.0, 2), None);
    // 0.7 of 500 ms: the one of 100 ms is over at 450, that of 300 is not.
    assert_eq!(pool.take_idle(449.0, idle_limit(500.0), &mut old), Some(2));
    assert_eq!((pool.take_idle(450.0, idle_limit(500.0), &mut old), &old[..]), (None, &[1, 0][..]));
    assert!(idle_limit(0.0).is_infinite());
}

#[test]
fn dials_follow_who_waits_within_the_bound() {
    let mut pool = ConnectionPool::default();
    let mut dials = 0;
    for request in 0..10 {
        pool.enqueue(request);
        while pool.needs_connection() {
            pool.connect_started();
            dials += 1;
        }
    }
    assert_eq!((dials, pool.counts()), (4, (10, 4, 0, 0)));
    // One is up and serves who waited longest; another is made for those behind.
    pool.connect_ended();
    assert_eq!(pool.release(5.0, 0), Some(0));
    assert!(pool.needs_connection());
    pool.cancel_wait(1);
    assert_eq!(pool.pop_waiting(), Some(2));
    let (waiting, idle) = pool.withdraw_all();
    assert_eq!((waiting, idle, pool.needs_connection()), ((3..10).collect(), Vec::new(), false));
    for _ in 0..3 {
        pool.connect_ended();
    }
    pool.request_ended();
    assert!(pool.is_empty());
}
