//! When discovery is asked, given up and asked again; and that no order of failures makes a change late.

use doorcourse_discovery::{Due, Follow, Start};
use proptest::prelude::*;

const GRACE: f64 = 200.0;

/// Does what is due as long as nothing is answered: the time of each dial until then.
fn dials(follow: &mut Follow, mut now: f64, until: f64, answered: impl Fn(&mut Follow, f64)) -> Vec<f64> {
    let mut dials = Vec::new();
    while now < until {
        match follow.tick(now) {
            Some(Due::Dial) => {
                dials.push(now);
                answered(follow, now);
            }
            Some(Due::Dead(_)) => drop(follow.lost(now)),
            Some(Due::SetAside | Due::DropAside) => {}
            None => now = follow.due().max(now),
        }
    }
    dials
}

#[test]
fn a_source_that_stays_away_is_asked_a_bounded_number_of_times_and_told_of_once() {
    let (mut follow, told) = (Follow::new(Some(7), GRACE), std::cell::Cell::new(0));
    let refused = dials(&mut follow, 0.0, 10_000.0, |follow, now| {
        told.set(told.get() + u32::from(follow.lost(now)));
    });
    let gaps: Vec<f64> = refused.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        gaps.iter().all(|gap| *gap == GRACE / 4.0) && told.get() == 1,
        "{gaps:?}, told {} times",
        told.get()
    );
    // It is back: the version in hand still holds, and the next loss is news again.
    let now = follow.due();
    assert_eq!(follow.tick(now), Some(Due::Dial));
    assert_eq!(follow.ask(now), Some(7));
    assert_eq!(follow.take(8, false), Ok(true));
    follow.heard(now);
    assert!(follow.lost(now) && follow.due() == now + GRACE / 4.0);
    // A grace of no time at all makes no loop of it, and a long one none that asks once in a blue moon.
    for (grace, least, most) in [(0.0, 20.0, 20.0), (1e9, 250.0, 250.0)] {
        let mut follow = Follow::new(None, grace);
        let refused = dials(&mut follow, 0.0, 5000.0, |follow, now| {
            let _ = follow.lost(now);
        });
        assert!(refused.windows(2).all(|w| w[1] - w[0] >= least && w[1] - w[0] <= most), "{grace}");
    }
}

#[test]
fn a_source_that_says_nothing_is_asked_anew_well_within_the_grace_and_may_answer_late() {
    for grace in [100.0, 200.0, 250.0, 1000.0] {
        let mut follow = Follow::new(None, grace);
        let silent = dials(&mut follow, 0.0, 10_000.0, |follow, now| {
            let _ = follow.ask(now);
        });
        // Whenever it comes back, the next call is made so soon behind.
        assert!(silent.windows(2).all(|w| w[1] - w[0] <= 0.75 * grace), "{grace}: {silent:?}");
    }
    // One that needs longer than that for each answer is heard all the same: the call before is open beside the next.
    let mut follow = Follow::new(Some(4), GRACE);
    assert_eq!((follow.tick(0.0), follow.ask(0.0)), (Some(Due::Dial), Some(4)));
    assert_eq!((follow.tick(99.0), follow.tick(100.0)), (None, Some(Due::SetAside)));
    assert_eq!((follow.tick(149.0), follow.tick(150.0)), (None, Some(Due::Dial)));
    assert_eq!(follow.ask(150.0), None, "a watch that says nothing: the whole list is next");
    assert!(matches!(follow.tick(250.0), Some(Due::Dead(_))), "one is set aside already");
    follow.lost(250.0);
    assert_eq!((follow.tick(300.0), follow.ask(300.0)), (Some(Due::Dial), None));
    assert!(follow.aside_answers(), "the watch of the first call");
    assert!(!follow.aside_answers(), "it has its answer");
    follow.answers();
    assert_eq!(follow.take(6, false), Ok(true), "changes since the version that it asked from");
    follow.heard(310.0);
    assert_eq!((follow.tick(3809.0), follow.due()), (None, 3810.0));
    // Once it is not answered for a second either, it goes.
    let mut follow = Follow::new(None, GRACE);
    let (mut now, mut dropped) = (0.0, None);
    while dropped.is_none() {
        match follow.tick(now) {
            Some(Due::Dial) => drop(follow.ask(now)),
            Some(Due::Dead(_)) => drop(follow.lost(now)),
            Some(Due::DropAside) => dropped = Some(now),
            Some(Due::SetAside) => {}
            None => now = follow.due(),
        }
    }
    assert_eq!(dropped, Some(1000.0));
}

/// The call that was set aside begins to be answered and breaks off: the sum counts from its asking on all the same.
#[test]
fn an_answer_set_aside_that_breaks_off_keeps_to_the_sum() {
    for grace in [80.0, 200.0, 1000.0, 5000.0] {
        let mut follow = Follow::new(Some(5), grace);
        assert_eq!((follow.tick(0.0), follow.ask(0.0)), (Some(Due::Dial), Some(5)));
        let mut now = follow.due();
        assert_eq!(follow.tick(now), Some(Due::SetAside), "{grace}");
        assert!(follow.aside_answers());
        follow.answers();
        let mut dialled = None;
        while dialled.is_none() {
            now = follow.due().max(now);
            match follow.tick(now) {
                Some(Due::Dial) => dialled = Some(now),
                Some(Due::Dead(_)) => {
                    let _ = follow.lost(now);
                }
                Some(Due::SetAside | Due::DropAside) => panic!("{grace}: it has answered"),
                None => {}
            }
        }
        assert!(dialled.is_some_and(|at| at <= Follow::WORST), "{grace}: {dialled:?}");
        assert_eq!(follow.ask(now), None, "a watch that told nothing: the whole list is next");
    }
}

#[test]
fn a_watch_lives_by_whole_lines_and_every_other_step_by_its_time() {
    let mut follow = Follow::new(Some(3), 1000.0);
    assert_eq!((follow.tick(0.0), follow.tick(499.0)), (Some(Due::Dial), None));
    assert!(matches!(follow.tick(500.0), Some(Due::Dead(_))));
    assert!(follow.lost(500.0));
    assert_eq!(follow.tick(750.0), Some(Due::Dial));
    // A head and nothing behind it: as long as a silence from the asking on, and the whole list is next.
    assert_eq!((follow.ask(1000.0), follow.due()), (Some(3), 1500.0));
    follow.answers();
    assert_eq!(follow.due(), 4500.0);
    assert!(matches!(follow.tick(4500.0), Some(Due::Dead(_))));
    follow.lost(4500.0);
    assert_eq!(follow.tick(4750.0), Some(Due::Dial));
    assert_eq!(follow.ask(4750.0), None);
    // A whole list that drips in has its time in all.
    follow.answers();
    follow.heard(5000.0);
    assert_eq!(follow.due(), 6750.0);
    assert_eq!(follow.take(9, true), Ok(true));
    assert_eq!(follow.ask(5100.0), Some(9));
    follow.answers();
    follow.heard(5200.0);
    follow.heard(7200.0);
    assert_eq!((follow.tick(10_699.0), follow.due()), (None, 10_700.0));
    // It fell silent after lines: it goes on from where it was.
    follow.lost(10_700.0);
    assert_eq!((follow.tick(10_950.0), follow.ask(10_951.0)), (Some(Due::Dial), Some(9)));
    // What comes from a connection given up moves nothing.
    follow.lost(10_960.0);
    let due = follow.due();
    follow.heard(10_961.0);
    follow.answers();
    assert_eq!(follow.due(), due);
    follow.moved();
    assert_eq!(follow.tick(10_962.0), Some(Due::Dial));
}

#[test]
fn changes_are_followed_only_from_a_list_and_never_backwards() {
    let mut follow = Follow::new(None, GRACE);
    assert!(follow.take(3, false).is_err());
    assert_eq!(follow.take(3, true), Ok(true));
    assert_eq!(follow.take(5, false), Ok(false));
    assert!(follow.take(4, false).is_err());
    follow.cannot_follow();
    assert_eq!(follow.ask(0.0), None);
    assert!(follow.take(9, false).is_err());
    // A whole list may step back: its source was set up anew.
    assert_eq!(follow.take(2, true), Ok(false));
    assert_eq!(follow.ask(0.0), Some(2));
}

#[test]
fn ready_with_the_list_or_when_it_was_waited_for() {
    let mut start = Start::new(500.0);
    assert!(!start.is_ready(1499.0) && start.is_ready(1500.0));
    start.listed();
    assert!(start.is_ready(501.0));
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
    let (mut follow, mut now, mut steps_back) = (Follow::new(known, grace), 0.0_f64, steps_back);
    let mut faults = faults.iter().cycle();
    loop {
        now = follow.due().max(now);
        assert!(now < back + 60_000.0, "never heard");
        match follow.tick(now) {
            None | Some(Due::SetAside | Due::DropAside) => continue,
            Some(Due::Dead(_)) => drop(follow.lost(now)),
            Some(Due::Dial) if now >= back => {
                let from = follow.ask(now);
                follow.answers();
                if from.is_some() && std::mem::take(&mut steps_back) {
                    assert!(follow.take(0, false).is_err());
                    follow.cannot_follow();
                    follow.lost(now);
                } else {
                    follow.take(9, from.is_none()).expect("a list that can be followed");
                    return now - back;
                }
            }
            Some(Due::Dial) => match *faults.next().expect("they go round") {
                Fault::Refused => drop(follow.lost(now)),
                Fault::NeverUp => {}
                fault => spoilt(&mut follow, &mut now, back, fault),
            },
        }
    }
}

/// A call that was made at `now` and is spoilt: until it is lost or due.
fn spoilt(follow: &mut Follow, now: &mut f64, back: f64, fault: Fault) {
    let watch = follow.ask(*now).is_some();
    let wait = |follow: &Follow, now: &mut f64, until: f64| {
        let alive = until < follow.due();
        *now = until.min(follow.due());
        alive
    };
    match fault {
        Fault::Refused | Fault::NeverUp | Fault::NoHead => {}
        Fault::HeadAlone(after) | Fault::Drips(after) => {
            let until = *now + after;
            if wait(follow, now, until) {
                follow.answers();
            }
        }
        Fault::CannotFollow => {
            follow.answers();
            follow.cannot_follow();
            follow.lost(*now);
        }
        Fault::Ends => {
            follow.answers();
            follow.lost(*now);
        }
        Fault::Reset(after) => {
            follow.answers();
            let until = *now + after;
            if wait(follow, now, until) {
                follow.lost(*now);
            }
        }
        Fault::Lines(last) if watch => {
            follow.answers();
            let until = (*now + last).min(back);
            while *now < until {
                follow.heard(*now);
                *now = (*now + 2000.0).min(until);
            }
        }
        Fault::Lines(_) => follow.answers(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn whatever_became_of_earlier_calls_a_change_is_heard_in_time(
        known in any::<bool>(), grace in 50.0..5000.0, back in 0.0..20_000.0, faults in prop::collection::vec(fault(), 1..12), steps in any::<bool>()
    ) {
        let late = heard_after(known.then_some(5), grace, back, &faults, steps);
        prop_assert!(late <= Follow::WORST, "{late} ms");
        prop_assert!(Follow::WORST < 4500.0, "the platform allows 6 s");
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
