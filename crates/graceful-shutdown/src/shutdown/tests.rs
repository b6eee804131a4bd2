use super::*;

fn told(longest: Millis) -> GracefulShutdown {
    let mut leave = GracefulShutdown::default();
    assert!(leave.begin(100.0, longest));
    leave
}

fn idle() -> ConnectionActivity {
    ConnectionActivity { last_request_at: Some(50.0), ..ConnectionActivity::new(0.0) }
}

#[test]
fn phases_follow_the_first_word() {
    let mut leave = GracefulShutdown::default();
    assert_eq!((leave.phase(1e12), leave.next_timeout(1e12)), (ShutdownPhase::Serving, Millis::INFINITY));
    assert!(!leave.is_finished(1e12, 0) && !leave.may_close(1e12, &idle()));
    assert!(leave.begin(100.0, 1000.0) && !leave.begin(500.0, 9000.0));
    assert_eq!((leave.phase(799.0), leave.next_timeout(799.0)), (ShutdownPhase::Notice, 800.0));
    assert_eq!((leave.phase(800.0), leave.next_timeout(800.0)), (ShutdownPhase::Draining, 1750.0));
    assert_eq!((leave.phase(1750.0), leave.next_timeout(1750.0)), (ShutdownPhase::FinalResponses, 1800.0));
    assert!(!leave.is_finished(799.0, 0), "its doors are open");
    assert!(leave.is_finished(800.0, 0) && !leave.is_finished(1799.0, 1) && leave.is_finished(1800.0, 1));
}

#[test]
fn a_connection_ends_when_it_owes_nothing_whatever_it_had_open_at_the_last_call() {
    let leave = told(1000.0);
    assert!(!leave.may_close(799.0, &idle()) && leave.may_close(800.0, &idle()));
    let owing = [
        ConnectionActivity { open_requests: 1, ..idle() },
        ConnectionActivity { unread_response_since: Some(700.0), ..idle() },
        ConnectionActivity { partial_request_since: Some(700.0), ..idle() },
        ConnectionActivity { lingering_close_until: Some(900.0), ..idle() },
    ];
    for held in owing {
        assert!(!leave.may_close(3000.0, &held), "{held:?}");
    }
    // One that never spoke owes nothing either, unless it has only just come.
    let silent = ConnectionActivity { last_request_at: None, opened_at: 790.0, ..idle() };
    assert!(!leave.may_close(839.0, &silent) && leave.may_close(840.0, &silent));
}

#[test]
fn no_request_is_taken_past_the_kill() {
    // The kill comes the longest time and 0.7 s after the word, and 3.7 s after it where that time is longer.
    for (longest, kill) in [(1000.0, 1800.0), (3000.0, 3800.0), (5000.0, 3800.0)] {
        let leave = told(longest);
        let mut now = 100.0;
        while now < kill + 500.0 {
            for (patience, aim) in [(250.0, 100.0), (900.0, 400.0), (longest, 800.0)] {
                match leave.admit(now, patience, aim) {
                    Admission::Admit(time) => {
                        let whole = time <= patience && time >= patience.min(aim);
                        assert!(whole && now + time <= kill - MARGIN, "{now}: {time}");
                    }
                    Admission::Reject => {
                        assert!(now + patience.min(aim) > kill - MARGIN, "{now}: it could be served");
                    }
                }
            }
            now += 1.0;
        }
        assert_eq!(leave.admit(100.0, longest.min(3000.0), 800.0), Admission::Admit(longest.min(3000.0)));
    }
    assert_eq!(GracefulShutdown::default().admit(1e12, 1500.0, 400.0), Admission::Admit(1500.0));
}
