//! The life of a process, and any order of events against what must hold.

use doorcourse_lifecycle::{Input, Life, Out, Output, Refusal, Settings, State};

const SETTINGS: Settings =
    Settings { notice: 100.0, drain: 1000.0, handover: 500.0, give_back: 200.0, quiet: 300.0 };

fn life(inputs: &[(f64, Input)]) -> (Life, Vec<Output>) {
    let (mut life, mut out) = (Life::new(SETTINGS), Vec::new());
    life.handle(0.0, Input::Ready, &mut out);
    out.clear();
    inputs.iter().for_each(|(at, input)| life.handle(*at, *input, &mut out));
    out.retain(|o| !matches!(o, Output::Changed(_)));
    (life, out)
}

fn out(requests: usize, clients: usize, calls: usize) -> Input {
    Input::Tick(Out { requests, clients, midway: 0, calls, quiet: 0.0 })
}

#[test]
fn a_drain_gives_notice_closes_answers_gives_back_and_ends() {
    let (life, did) = life(&[
        (10.0, Input::Terminate),
        (50.0, out(3, 5, 0)),
        (110.0, out(3, 5, 0)),
        (120.0, out(3, 2, 4)),
        (130.0, out(0, 0, 4)),
        (140.0, out(0, 0, 0)),
    ]);
    use Output::*;
    assert_eq!(did, [Ready(false), ClientsGo, CloseListeners, Leave, End]);
    assert_eq!(life.state(), State::Stopped);
}

#[test]
fn what_is_left_at_the_deadline_is_answered_and_a_counter_that_says_nothing_holds_nobody() {
    let ticks = [(10.0, Input::Drain), (110.0, out(3, 5, 0)), (1110.0, out(1, 1, 9)), (1310.0, out(0, 0, 9))];
    let (life, did) = life(&ticks);
    use Output::*;
    assert_eq!(did, [Ready(false), ClientsGo, CloseListeners, Leave, AnswerAll, End]);
    assert_eq!(life.state(), State::Stopped);
}

#[test]
fn a_drain_asked_for_twice_changes_nothing_and_a_second_signal_ends_what_is_left() {
    let twice = [(10.0, Input::Drain), (20.0, Input::Drain)];
    assert_eq!(life(&twice).1, [Output::Ready(false), Output::ClientsGo]);
    assert!((life(&twice).0.due(20.0) - 110.0).abs() < 1e-9, "the first one's times hold");
    let (_, did) = life(&[(10.0, Input::Terminate), (20.0, Input::Terminate)]);
    use Output::*;
    assert_eq!(did, [Ready(false), ClientsGo, CloseListeners, Leave, AnswerAll]);
}

#[test]
fn clients_that_might_still_speak_are_waited_for_and_quiet_ones_are_not() {
    let quiet = |quiet| Input::Tick(Out { requests: 0, clients: 5, midway: 0, calls: 1, quiet });
    let (life_, _) = life(&[(10.0, Input::Drain), (110.0, quiet(50.0)), (200.0, quiet(299.0))]);
    assert!(matches!(life_.state(), State::Draining { .. }));
    let (life_, _) = life(&[(10.0, Input::Drain), (110.0, quiet(50.0)), (400.0, quiet(300.0))]);
    assert!(matches!(life_.state(), State::GivingBack { .. }));
}

#[test]
fn who_is_midway_is_waited_for_however_quiet_it_is_and_no_longer_than_the_deadline() {
    let midway = |midway| Input::Tick(Out { requests: 0, clients: 5, midway, calls: 0, quiet: 900.0 });
    let (life_, _) =
        life(&[(10.0, Input::Drain), (110.0, midway(1)), (120.0, midway(1)), (1109.0, midway(1))]);
    assert!(matches!(life_.state(), State::Draining { .. }), "half a request, or half an answer");
    let done = [(10.0, Input::Drain), (110.0, midway(1)), (120.0, midway(1)), (130.0, midway(0))];
    assert!(matches!(life(&done).0.state(), State::GivingBack { .. }));
    // At the deadline all is answered, and the last answers have the time of giving back to be read.
    let late = [(10.0, Input::Drain), (110.0, midway(1)), (1110.0, midway(1)), (1309.0, midway(1))];
    let (life_, did) = life(&late);
    assert!(did.contains(&Output::AnswerAll) && matches!(life_.state(), State::GivingBack { .. }));
    let read = [&late[..], &[(1309.5, midway(0))]].concat();
    assert_eq!(life(&read).0.state(), State::Stopped, "they are read: nothing is left to wait for");
    let never = [&late[..], &[(1310.0, midway(1))]].concat();
    assert_eq!(life(&never).0.state(), State::Stopped, "a client that reads nothing holds nobody");
}

#[test]
fn reloads_are_refused_by_reason() {
    assert_eq!(life(&[(1.0, Input::Reload)]).1, [Output::Reload]);
    assert_eq!(life(&[(1.0, Input::Reload), (2.0, Input::ReloadRead)]).1[1], Output::TakeSettings);
    // A drain that began while they were read: nobody is left to serve by them.
    let meanwhile = [(1.0, Input::Reload), (2.0, Input::Drain), (3.0, Input::ReloadRead)];
    assert_eq!(life(&meanwhile).1.last(), Some(&Output::RefuseReload(Refusal::Draining)));
    let during = [(1.0, Input::Drain), (2.0, Input::Reload)];
    assert_eq!(life(&during).1.last(), Some(&Output::RefuseReload(Refusal::Draining)));
    let during = [(1.0, Input::TakeoverAsked { peer: 7 }), (2.0, Input::Reload)];
    assert_eq!(life(&during).1.last(), Some(&Output::RefuseReload(Refusal::HandingOver)));
}

#[test]
fn a_takeover_drains_without_notice_and_one_that_fails_leaves_the_old_serving() {
    let (_, did) = life(&[(1.0, Input::TakeoverAsked { peer: 7 }), (9.0, Input::TakeoverReady { peer: 7 })]);
    use Output::*;
    assert_eq!(did, [Pass { peer: 7 }, Ready(false), ClientsGo, CloseListeners, Leave]);
    let (life_, did) = life(&[
        (1.0, Input::TakeoverAsked { peer: 7 }),
        (2.0, Input::TakeoverAsked { peer: 8 }),
        (3.0, Input::TakeoverLost { peer: 8 }),
        (4.0, Input::TakeoverReady { peer: 8 }),
        (5.0, Input::TakeoverLost { peer: 7 }),
    ]);
    assert_eq!(did, [Pass { peer: 7 }, RefuseTakeover { peer: 8, why: Refusal::HandingOver }]);
    assert_eq!(life_.state(), State::Serving);
    let (life_, did) = life(&[(1.0, Input::TakeoverAsked { peer: 7 }), (501.0, out(1, 1, 0))]);
    assert_eq!(did, [Pass { peer: 7 }, DropPeer { peer: 7 }]);
    assert_eq!(life_.state(), State::Serving);
    // Told to end meanwhile, it does not wait for a process that may never be ready.
    let (_, did) = life(&[(1.0, Input::TakeoverAsked { peer: 7 }), (2.0, Input::Terminate)]);
    assert_eq!(did[1..], [DropPeer { peer: 7 }, Ready(false), ClientsGo]);
}

#[test]
fn any_order_of_events_keeps_its_promises() {
    let mut seed = 3u64;
    let mut chance = |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    for _ in 0..20_000 {
        let (mut life, mut did, mut now) = (Life::new(SETTINGS), Vec::new(), 0.0);
        for _ in 0..14 {
            now += chance(300) as f64;
            let input = match chance(9) {
                0 => Input::Ready,
                1 => Input::Drain,
                2 => Input::Terminate,
                3 => Input::Reload,
                4 => Input::TakeoverAsked { peer: chance(3) },
                5 => Input::TakeoverReady { peer: chance(3) },
                6 => Input::TakeoverLost { peer: chance(3) },
                _ => out(chance(2) as usize, chance(2) as usize, chance(2) as usize),
            };
            let before = life.state();
            life.handle(now, input, &mut did);
            if before == State::Stopped {
                assert_eq!(life.state(), State::Stopped);
            }
        }
        let count = |wanted: Output| did.iter().filter(|o| **o == wanted).count();
        assert!(
            count(Output::CloseListeners) <= 1 && count(Output::Leave) <= 1 && count(Output::End) <= 1,
            "{did:?}"
        );
        let at = |wanted: Output| did.iter().position(|o| *o == wanted);
        if let (Some(unready), Some(closed)) = (at(Output::Ready(false)), at(Output::CloseListeners)) {
            assert!(unready < closed, "{did:?}");
        }
        // Nothing but a bounded wait stands between a drain and the end.
        if !matches!(life.state(), State::Starting) {
            let mut did = Vec::new();
            life.handle(now, Input::Drain, &mut did);
            for _ in 0..3 {
                now += 1200.0;
                life.handle(now, out(9, 9, 9), &mut did);
            }
            assert_eq!(life.state(), State::Stopped);
        }
    }
}
