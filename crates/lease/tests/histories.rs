//! Seeded histories in simulated time: no two gateways ever hold a task at one moment, and tokens only grow.

mod common;
use common::*;
use doorcourse_lease::DisabledRule;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A rough history of a seed: 3 to 9 gateways, faults of all kinds.
fn rough(seed: u64) -> Rough {
    let mut dice = ChaCha8Rng::seed_from_u64(seed ^ 0x6c65_6173_6573);
    let gateways = dice.random_range(3..=9);
    Rough {
        gateways,
        voters: dice.random_range(3.min(gateways)..=gateways),
        tasks: dice.random_range(1..=2),
        drift: [0, 10_000, 200_000][dice.random_range(0..3)],
        loss: [0.0, 0.05, 0.3][dice.random_range(0..3)],
        doubled: dice.random_range(0.0..0.2),
        delay: dice.random_range(1..80) * MS,
        faults: dice.random_range(50..600) * MS,
        reloads: dice.random_bool(0.5),
        ..Rough::default()
    }
}

fn play(seed: u64, spoil: DisabledRule) -> World {
    let mut world = World::new(Rough { spoil, ..rough(seed) }, seed);
    world.run(8_000 * MS);
    world
}

/// Histories to play: `LEASE_HISTORIES` of them, by command (`docs/leases.md`); few where nothing is said.
fn histories() -> u64 {
    std::env::var("LEASE_HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

#[test]
fn holders_never_overlap_and_tokens_only_grow() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from) as u64;
    let count = histories();
    let gains: u64 = std::thread::scope(|scope| {
        let worker = |first: u64| {
            scope.spawn(move || {
                (first..count).step_by(threads as usize).fold(0, |gains, seed| {
                    let world = play(seed, DisabledRule::None);
                    assert!(world.faults.is_empty(), "seed {seed}: {:?}", world.faults);
                    gains + world.gains
                })
            })
        };
        let workers: Vec<_> = (0..threads).map(worker).collect();
        workers.into_iter().map(|w| w.join().expect("a history without a fault")).sum()
    });
    println!("{count} histories, {gains} gains");
    assert!(gains > count * 3, "{gains} gains in {count} histories: tasks were hardly ever held");
}

/// Each rule that is left out must show: a test that cannot fail proves nothing.
#[test]
fn every_rule_left_out_is_caught() {
    for spoil in [
        DisabledRule::StartupWait,
        DisabledRule::ExpiryFromRequest,
        DisabledRule::VoterVersions,
        DisabledRule::TokenUniqueness,
    ] {
        let caught = (0..3_000).find_map(|seed| Some((seed, play(seed, spoil).faults.first()?.clone())));
        let (seed, fault) = caught.unwrap_or_else(|| panic!("{spoil:?} is never caught"));
        println!("{spoil:?}: seed {seed}: {fault}");
    }
}

/// A holder dies in a fleet that is well: the time without one has a bound (`docs/leases.md`).
#[test]
fn a_dead_holder_s_task_is_taken_within_the_bound() {
    let mut spans = Vec::new();
    for seed in 0..200 {
        let gateways = [3, 5, 7, 9][seed as usize % 4];
        let mut world = World::new(Rough { gateways, voters: gateways, ..Rough::default() }, seed);
        world.run_while(5_000 * MS, |w| w.holder(1).is_none());
        world.run(world.now + 1_000 * MS);
        let dead = world.holder(1).expect("held in a fleet that is well");
        let at = world.now;
        world.kill(dead);
        world.run_while(at + 5_000 * MS, |w| w.holder(1).is_none());
        assert!(world.faults.is_empty() && world.holder(1).is_some_and(|h| h != dead), "seed {seed}");
        spans.push((world.now - at) / MS);
    }
    spans.sort_unstable();
    let (p50, p99, most) = (spans[100], spans[197], spans[199]);
    println!("lease 300 ms; without a holder after its death: p50 {p50} ms, p99 {p99} ms, most {most} ms");
    assert!(most <= 900, "{most} ms");
}

/// A holder that is well keeps its task, under loss too: nothing is handed round for nothing.
#[test]
fn a_holder_that_is_well_keeps_its_task() {
    for seed in 0..40 {
        let mut world = World::new(Rough { loss: 0.05, ..Rough::default() }, seed);
        world.run(20_000 * MS);
        assert!(world.faults.is_empty() && world.gains <= 2, "seed {seed}: {} gains in 20 s", world.gains);
    }
}

/// A thousand tasks cost about as many messages as one: what is due together goes together.
#[test]
fn a_thousand_tasks_go_in_the_messages_of_a_few() {
    let sent = |tasks| {
        let mut world = World::new(Rough { tasks, length: 1_000, ..Rough::default() }, 1);
        world.run(4_000 * MS);
        let before = world.sent;
        world.run(8_000 * MS);
        assert!(world.faults.is_empty() && (1..=tasks).all(|t| world.holder(t).is_some()));
        world.sent - before
    };
    let (one, many) = (sent(1), sent(1_000));
    println!("messages in 4 s, 5 gateways, lease 1 s: {one} with one task, {many} with a thousand");
    assert!(many < one * 20, "{one} and {many}");
}

#[test]
fn a_hand_over_goes_to_whom_it_was_given() {
    let mut world = World::new(Rough::default(), 5);
    world.run_while(5_000 * MS, |w| w.holder(1).is_none());
    let (from, at) = (world.holder(1).expect("held"), world.now);
    let to = (from + 2) % 5;
    world.tell(from, doorcourse_lease::Input::TransferRequested { task: 1, to });
    assert_eq!(world.holder(1), None, "given back at once");
    world.run_while(at + 5_000 * MS, |w| w.holder(1).is_none());
    assert_eq!((world.holder(1), world.faults.is_empty()), (Some(to), true));
    assert!(world.now - at < 200 * MS, "{} us", world.now - at);
}

/// Whatever a peer that knows the secret says, what is held of it is bounded.
#[test]
fn what_a_peer_makes_up_is_bounded() {
    use doorcourse_lease::{
        Input, Item, LeaseRequest, Leases, Message, Refusal, Settings, VoterConfiguration,
    };
    let (voters, fleet) = (VoterConfiguration::first(0..3), (0..3).collect());
    let settings = Settings {
        gateway: 0,
        incarnation: 1,
        lease_duration: 100,
        max_lease_duration: 100,
        gateways: fleet,
        voters,
        tasks: vec![1],
        ..Settings::default()
    };
    let mut leases = Leases::new(0, settings).expect("usable");
    let mut out = Vec::new();
    let mut tell = |items: Vec<Item>| {
        out.clear();
        let message = Message { voters_version: 0, highest_token: 9, round: 1, items };
        leases.handle(1_000, 0, Input::MessageReceived { from: 1, incarnation: 5, message }, &mut out);
        format!("{:?}", leases.clone()).len()
    };
    let ask = |task| Item::Request(LeaseRequest { task, token: 10, duration: 100 });
    let refuse = |task| Item::Refuse { task, token: 10, reason: Refusal::NotVoting };
    for round in 0..20 {
        tell((round * 2_000..(round + 1) * 2_000).map(ask).collect());
        tell((round * 2_000..(round + 1) * 2_000).map(refuse).collect());
    }
    let held = tell(Vec::new());
    tell((50_000..52_000).flat_map(|task| [ask(task), refuse(task)]).collect());
    assert!(tell(Vec::new()) <= held + 100, "it grows with what is made up");
}
