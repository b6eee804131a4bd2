//! When discovery is asked, given up and asked again; and that no order of failures makes a change late.

use doorcourse_discovery::{DiscoveryWatch, WatchAction};
use proptest::prelude::*;

const GRACE: f64 = 200.0;

/// Does what is due as long as nothing is answered: the time of each dial until then.
fn dials(
    follow: &mut DiscoveryWatch, mut now: f64, until: f64, answered: impl Fn(&mut DiscoveryWatch, f64),
) -> Vec<f64> {
    let mut dials = Vec::new();
    while now < until {
        match follow.handle_timeout(now) {
            Some(WatchAction::Connect) => {
                dials.push(now);
                answered(follow, now);
            }
            Some(WatchAction::Close(_)) => drop(follow.connection_lost(now)),
            Some(WatchAction::Supersede | WatchAction::CloseSuperseded) => {}
            None => now = follow.next_timeout().max(now),
        }
    }
    dials
}

#[test]
fn a_source_that_stays_away_is_asked_a_bounded_number_of_times_and_told_of_once() {
    let (mut follow, told) = (DiscoveryWatch::new(Some(7), GRACE), std::cell::Cell::new(0));
    let refused = dials(&mut follow, 0.0, 10_000.0, |follow, now| {
        told.set(told.get() + u32::from(follow.connection_lost(now)));
    });
    let gaps: Vec<f64> = refused.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        gaps.iter().all(|gap| *gap == GRACE / 4.0) && told.get() == 1,
        "{gaps:?}, told {} times",
        told.get()
    );
    // It is back: the version in hand still holds, and the next loss is news again.
    let now = follow.next_timeout();
    assert_eq!(follow.handle_timeout(now), Some(WatchAction::Connect));
    assert_eq!(follow.request_sent(now), Some(7));
    assert_eq!(follow.apply_version(8, false), Ok(true));
    follow.message_received(now);
    assert!(follow.connection_lost(now) && follow.next_timeout() == now + GRACE / 4.0);
    // A grace of no time at all makes no loop of it, and a long one none that asks once in a blue moon.
    for (grace, least, most) in [(0.0, 20.0, 20.0), (1e9, 250.0, 250.0)] {
        let mut follow = DiscoveryWatch::new(None, grace);
        let refused = dials(&mut follow, 0.0, 5000.0, |follow, now| {
            let _ = follow.connection_lost(now);
        });
        assert!(refused.windows(2).all(|w| w[1] - w[0] >= least && w[1] - w[0] <= most), "{grace}");
    }
}

#[test]
fn a_source_that_says_nothing_is_asked_anew_well_within_the_grace_and_may_answer_late() {
    for grace in [100.0, 200.0, 250.0, 1000.0] {
        let mut follow = DiscoveryWatch::new(None, grace);
        let silent = dials(&mut follow, 0.0, 10_000.0, |follow, now| {
            let _ = follow.request_sent(now);
        });
        // Whenever it comes back, the next call is made so soon behind.
        assert!(silent.windows(2).all(|w| w[1] - w[0] <= 0.75 * grace), "{grace}: {silent:?}");
    }
    // One that needs longer than that for each answer is heard all the same: the call before is open beside the next.
    let mut follow = DiscoveryWatch::new(Some(4), GRACE);
    assert_eq!((follow.handle_timeout(0.0), follow.request_sent(0.0)), (Some(WatchAction::Connect), Some(4)));
    assert_eq!(
        (follow.handle_timeout(99.0), follow.handle_timeout(100.0)),
        (None, Some(WatchAction::Supersede))
    );
    assert_eq!(
        (follow.handle_timeout(149.0), follow.handle_timeout(150.0)),
        (None, Some(WatchAction::Connect))
    );
    assert_eq!(follow.request_sent(150.0), None, "a watch that says nothing: the whole list is next");
    assert!(matches!(follow.handle_timeout(250.0), Some(WatchAction::Close(_))), "one is set aside already");
    follow.connection_lost(250.0);
    assert_eq!(
        (follow.handle_timeout(300.0), follow.request_sent(300.0)),
        (Some(WatchAction::Connect), None)
    );
    assert!(follow.superseded_response_started(), "the watch of the first call");
    assert!(!follow.superseded_response_started(), "it has its answer");
    follow.response_started();
    assert_eq!(follow.apply_version(6, false), Ok(true), "changes since the version that it asked from");
    follow.message_received(310.0);
    assert_eq!((follow.handle_timeout(3809.0), follow.next_timeout()), (None, 3810.0));
    // Once it is not answered for a second either, it goes.
    let mut follow = DiscoveryWatch::new(None, GRACE);
    let (mut now, mut dropped) = (0.0, None);
    while dropped.is_none() {
        match follow.handle_timeout(now) {
            Some(WatchAction::Connect) => drop(follow.request_sent(now)),
            Some(WatchAction::Close(_)) => drop(follow.connection_lost(now)),
            Some(WatchAction::CloseSuperseded) => dropped = Some(now),
            Some(WatchAction::Supersede) => {}
            None => now = follow.next_timeout(),
        }
    }
    assert_eq!(dropped, Some(1000.0));
}

/// The call that was set aside begins to be answered and breaks off: the sum counts from its asking on all the same.
#[test]
fn an_answer_set_aside_that_breaks_off_keeps_to_the_sum() {
    for grace in [80.0, 200.0, 1000.0, 5000.0] {
        let mut follow = DiscoveryWatch::new(Some(5), grace);
        assert_eq!(
            (follow.handle_timeout(0.0), follow.request_sent(0.0)),
            (Some(WatchAction::Connect), Some(5))
        );
        let mut now = follow.next_timeout();
        assert_eq!(follow.handle_timeout(now), Some(WatchAction::Supersede), "{grace}");
        assert!(follow.superseded_response_started());
        follow.response_started();
        let mut dialled = None;
        while dialled.is_none() {
            now = follow.next_timeout().max(now);
            match follow.handle_timeout(now) {
                Some(WatchAction::Connect) => dialled = Some(now),
                Some(WatchAction::Close(_)) => {
                    let _ = follow.connection_lost(now);
                }
                Some(WatchAction::Supersede | WatchAction::CloseSuperseded) => {
                    panic!("{grace}: it has answered")
                }
                None => {}
            }
        }
        assert!(dialled.is_some_and(|at| at <= DiscoveryWatch::MAX_DELAY), "{grace}: {dialled:?}");
        assert_eq!(follow.request_sent(now), None, "a watch that told nothing: the whole list is next");
    }
}

#[test]
fn a_watch_lives_by_whole_lines_and_every_other_step_by_its_time() {
    let mut follow = DiscoveryWatch::new(Some(3), 1000.0);
    assert_eq!(
        (follow.handle_timeout(0.0), follow.handle_timeout(499.0)),
        (Some(WatchAction::Connect), None)
    );
    assert!(matches!(follow.handle_timeout(500.0), Some(WatchAction::Close(_))));
    assert!(follow.connection_lost(500.0));
    assert_eq!(follow.handle_timeout(750.0), Some(WatchAction::Connect));
    // A head and nothing behind it: as long as a silence from the asking on, and the whole list is next.
    assert_eq!((follow.request_sent(1000.0), follow.next_timeout()), (Some(3), 1500.0));
    follow.response_started();
    assert_eq!(follow.next_timeout(), 4500.0);
    assert!(matches!(follow.handle_timeout(4500.0), Some(WatchAction::Close(_))));
    follow.connection_lost(4500.0);
    assert_eq!(follow.handle_timeout(4750.0), Some(WatchAction::Connect));
    assert_eq!(follow.request_sent(4750.0), None);
    // A whole list that drips in has its time in all.
    follow.response_started();
    follow.message_received(5000.0);
    assert_eq!(follow.next_timeout(), 6750.0);
    assert_eq!(follow.apply_version(9, true), Ok(true));
    assert_eq!(follow.request_sent(5100.0), Some(9));
    follow.response_started();
    follow.message_received(5200.0);
    follow.message_received(7200.0);
    assert_eq!((follow.handle_timeout(10_699.0), follow.next_timeout()), (None, 10_700.0));
    // It fell silent after lines: it goes on from where it was.
    follow.connection_lost(10_700.0);
    assert_eq!(
        (follow.handle_timeout(10_950.0), follow.request_sent(10_951.0)),
        (Some(WatchAction::Connect), Some(9))
    );
    // What comes from a connection given up moves nothing.
    follow.connection_lost(10_960.0);
    let due = follow.next_timeout();
    follow.message_received(10_961.0);
    follow.response_started();
    assert_eq!(follow.next_timeout(), due);
    follow.address_changed();
    assert_eq!(follow.handle_timeout(10_962.0), Some(WatchAction::Connect));
}

#[test]
fn changes_are_followed_only_from_a_list_and_never_backwards() {
    let mut follow = DiscoveryWatch::new(None, GRACE);
    assert!(follow.apply_version(3, false).is_err());
    assert_eq!(follow.apply_version(3, true), Ok(true));
    assert_eq!(follow.apply_version(5, false), Ok(false));
    assert!(follow.apply_version(4, false).is_err());
    follow.reset_version();
    assert_eq!(follow.request_sent(0.0), None);
    assert!(follow.apply_version(9, false).is_err());
    // A whole list may step back: its source was set up anew.
    assert_eq!(follow.apply_version(2, true), Ok(false));
    assert_eq!(follow.request_sent(0.0), Some(2));
}

/// What becomes of a call that is made while the source cannot be reached, or that it spoils.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Refused,
    NeverUp,
    NoHead,
    /// A head so late, and nothing behind it.
    HeadAlone(f64),
    /// A head, and bytes that never make a whole line or list.
    Drips(f64),
    /// Another status, or what cannot be read.
    CannotFollow,
    /// An end in order at once.
    Ends,
    /// A reset after so long.
    Reset(f64),
    /// Empty lines for so long, but no longer than the source is away, then silence: only on a watch.
    Lines(f64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refused),
        Just(Fault::NeverUp),
        Just(Fault::NoHead),
        (0.0..1500.0).prop_map(Fault::HeadAlone),
        (0.0..1500.0).prop_map(Fault::Drips),
        Just(Fault::CannotFollow),
        Just(Fault::Ends),
        (0.0..5000.0).prop_map(Fault::Reset),
        (0.0..9000.0).prop_map(Fault::Lines),
    ]
}

/// The time from the source's return to the first list in hand that it had then. Calls begun before are spoilt to their
/// ends; those begun later are answered at once, but a watch whose changes step back once is answered so.
fn heard_after(known: Option<u64>, grace: f64, back: f64, faults: &[Fault], steps_back: bool) -> f64 {
    let (mut follow, mut now, mut steps_back) = (DiscoveryWatch::new(known, grace), 0.0_f64, steps_back);
    let mut faults = faults.iter().cycle();
    loop {
        now = follow.next_timeout().max(now);
        assert!(now < back + 60_000.0, "never heard");
        match follow.handle_timeout(now) {
            None | Some(WatchAction::Supersede | WatchAction::CloseSuperseded) => continue,
            Some(WatchAction::Close(_)) => drop(follow.connection_lost(now)),
            Some(WatchAction::Connect) if now >= back => {
                let from = follow.request_sent(now);
                follow.response_started();
                if from.is_some() && std::mem::take(&mut steps_back) {
                    assert!(follow.apply_version(0, false).is_err());
                    follow.reset_version();
                    follow.connection_lost(now);
                } else {
                    follow.apply_version(9, from.is_none()).expect("a list that can be followed");
                    return now - back;
                }
            }
            Some(WatchAction::Connect) => match *faults.next().expect("they go round") {
                Fault::Refused => drop(follow.connection_lost(now)),
                Fault::NeverUp => {}
                fault => spoilt(&mut follow, &mut now, back, fault),
            },
        }
    }
}

/// A call that was made at `now` and is spoilt: until it is lost or due.
fn spoilt(follow: &mut DiscoveryWatch, now: &mut f64, back: f64, fault: Fault) {
    let watch = follow.request_sent(*now).is_some();
    let wait = |follow: &DiscoveryWatch, now: &mut f64, until: f64| {
        let alive = until < follow.next_timeout();
        *now = until.min(follow.next_timeout());
        alive
    };
    match fault {
        Fault::Refused | Fault::NeverUp | Fault::NoHead => {}
        Fault::HeadAlone(after) | Fault::Drips(after) => {
            let until = *now + after;
            if wait(follow, now, until) {
                follow.response_started();
            }
        }
        Fault::CannotFollow => {
            follow.response_started();
            follow.reset_version();
            follow.connection_lost(*now);
        }
        Fault::Ends => {
            follow.response_started();
            follow.connection_lost(*now);
        }
        Fault::Reset(after) => {
            follow.response_started();
            let until = *now + after;
            if wait(follow, now, until) {
                follow.connection_lost(*now);
            }
        }
        Fault::Lines(last) if watch => {
            follow.response_started();
            let until = (*now + last).min(back);
            while *now < until {
                follow.message_received(*now);
                *now = (*now + 2000.0).min(until);
            }
        }
        Fault::Lines(_) => follow.response_started(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn whatever_became_of_earlier_calls_a_change_is_heard_in_time(
        known in any::<bool>(), grace in 50.0..5000.0, back in 0.0..20_000.0, faults in prop::collection::vec(fault(), 1..12), steps in any::<bool>()
    ) {
        let late = heard_after(known.then_some(5), grace, back, &faults, steps);
        prop_assert!(late <= DiscoveryWatch::MAX_DELAY, "{late} ms");
        prop_assert!(DiscoveryWatch::MAX_DELAY < 4500.0, "the platform allows 6 s");
    }

    /// A source that is away says nothing at all: what it gets at its return counts as told in that moment, and calls
    /// that nobody answers must not take the grace.
    #[test]
    fn after_a_silence_a_change_is_heard_within_the_grace(
        known in any::<bool>(), grace in 80.0..2000.0, back in 0.0..20_000.0,
        faults in prop::collection::vec(prop_oneof![Just(Fault::Refused), Just(Fault::NeverUp), Just(Fault::NoHead)], 1..12)
    ) {
        let late = heard_after(known.then_some(5), grace, back, &faults, false);
        prop_assert!(late <= 0.75 * grace, "{late} ms");
    }
}
