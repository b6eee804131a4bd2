use super::*;

fn shutdown_started_at_100(max_request_timeout: Millis) -> GracefulShutdown {
    let mut shutdown = GracefulShutdown::default();
    assert!(shutdown.begin(100.0, max_request_timeout));
    shutdown
}

fn idle() -> ConnectionActivity {
    ConnectionActivity { last_request_at: Some(50.0), ..ConnectionActivity::new(0.0) }
}

#[test]
fn phases_follow_the_schedule_of_the_first_sigterm() {
    let mut shutdown = GracefulShutdown::default();
    assert_eq!(shutdown.phase(1e12), ShutdownPhase::Serving);
    assert_eq!(shutdown.next_timeout(1e12), Millis::INFINITY);
    assert!(!shutdown.is_finished(1e12, 0) && !shutdown.may_close(1e12, &idle()));
    assert!(shutdown.begin(100.0, 1000.0) && !shutdown.begin(500.0, 9000.0));
    assert_eq!(shutdown.phase(799.0), ShutdownPhase::Notice);
    assert_eq!(shutdown.next_timeout(799.0), 800.0);
    assert_eq!(shutdown.phase(800.0), ShutdownPhase::Draining);
    assert_eq!(shutdown.next_timeout(800.0), 1750.0);
    assert_eq!(shutdown.phase(1750.0), ShutdownPhase::FinalResponses);
    assert_eq!(shutdown.next_timeout(1750.0), 1800.0);
    assert!(!shutdown.is_finished(799.0, 0), "its listener is open");
    assert!(shutdown.is_finished(800.0, 0) && !shutdown.is_finished(1799.0, 1));
    assert!(shutdown.is_finished(1800.0, 1));
}

#[test]
fn a_draining_connection_closes_as_soon_as_nothing_is_open_on_it() {
    let shutdown = shutdown_started_at_100(1000.0);
    assert!(!shutdown.may_close(799.0, &idle()) && shutdown.may_close(800.0, &idle()));
    let in_use = [
        ConnectionActivity { open_requests: 1, ..idle() },
        ConnectionActivity { unread_response_since: Some(700.0), ..idle() },
        ConnectionActivity { partial_request_since: Some(700.0), ..idle() },
        ConnectionActivity { lingering_close_until: Some(900.0), ..idle() },
    ];
    for connection in in_use {
        assert!(!shutdown.may_close(3000.0, &connection), "{connection:?}");
    }
    // A connection without any request closes too, unless it was just accepted.
    let silent = ConnectionActivity { last_request_at: None, opened_at: 790.0, ..idle() };
    assert!(!shutdown.may_close(839.0, &silent) && shutdown.may_close(840.0, &silent));
}

#[test]
fn no_request_is_admitted_past_the_kill() {
    // The kill comes after SIGTERM by the longest request timeout, counted as at most 3 s, plus 0.7 s.
    for (max_request_timeout, kill_at) in [(1000.0, 1800.0), (3000.0, 3800.0), (5000.0, 3800.0)] {
        let shutdown = shutdown_started_at_100(max_request_timeout);
        let last_response_at = kill_at - EXIT_MARGIN;
        let mut now = 100.0;
        while now < kill_at + 500.0 {
            for (timeout, objective) in [(250.0, 100.0), (900.0, 400.0), (max_request_timeout, 800.0)] {
                let needed = timeout.min(objective);
                match shutdown.admit(now, timeout, objective) {
                    Admission::Admit(admitted) => {
                        let in_range = admitted <= timeout && admitted >= needed;
                        assert!(in_range && now + admitted <= last_response_at, "{now}: {admitted}");
                    }
                    Admission::Reject => {
                        assert!(now + needed > last_response_at, "{now}: it could be served");
                    }
                }
            }
            now += 1.0;
        }
        let longest = max_request_timeout.min(3000.0);
        assert_eq!(shutdown.admit(100.0, longest, 800.0), Admission::Admit(longest));
    }
    assert_eq!(GracefulShutdown::default().admit(1e12, 1500.0, 400.0), Admission::Admit(1500.0));
}
