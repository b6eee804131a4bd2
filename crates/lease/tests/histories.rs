//! Seeded histories in simulated time: no two gateways ever hold a task at the same time, and fencing tokens only grow.

mod common;
use common::*;
use doorcourse_lease::DisabledRule;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The scenario of a seed: 3 to 9 gateways with faults of all kinds.
fn scenario(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6c65_6173_6573);
    let gateways = rng.random_range(3..=9);
    Scenario {
        gateways,
        voters: rng.random_range(3.min(gateways)..=gateways),
        tasks: rng.random_range(1..=2),
        clock_drift_ppm: [0, 10_000, 200_000][rng.random_range(0..3)],
        loss: [0.0, 0.05, 0.3][rng.random_range(0..3)],
        duplication: rng.random_range(0.0..0.2),
        delay: rng.random_range(1..80) * MS,
        fault_interval: rng.random_range(50..600) * MS,
        reloads: rng.random_bool(0.5),
        ..Scenario::default()
    }
}

fn simulate(seed: u64, disabled_rule: DisabledRule) -> World {
    let mut world = World::new(Scenario { disabled_rule, ..scenario(seed) }, seed);
    world.run(8_000 * MS);
    world
}

/// How many histories to simulate: the variable `LEASE_HISTORIES` (`docs/leases.md`), or 400.
fn histories() -> u64 {
    std::env::var("LEASE_HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

#[test]
fn holders_never_overlap_and_tokens_only_grow() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from) as u64;
    let count = histories();
    let acquisitions: u64 = std::thread::scope(|scope| {
        let worker = |first: u64| {
            scope.spawn(move || {
                (first..count).step_by(threads as usize).fold(0, |acquisitions, seed| {
                    let world = simulate(seed, DisabledRule::None);
                    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
                    acquisitions + world.acquisitions
                })
            })
        };
        let workers: Vec<_> = (0..threads).map(worker).collect();
        workers.into_iter().map(|w| w.join().expect("a history without a violation")).sum()
    });
    println!("{count} histories, {acquisitions} acquisitions");
    assert!(
        acquisitions > count * 3,
        "{acquisitions} acquisitions in {count} histories: leases were hardly ever held"
    );
}

/// Each disabled rule must lead to a violation, which shows that the test above can fail.
#[test]
fn each_disabled_rule_is_caught() {
    for disabled_rule in [
        DisabledRule::StartupWait,
        DisabledRule::ExpiryFromRequest,
        DisabledRule::VoterVersions,
        DisabledRule::TokenUniqueness,
    ] {
        let caught = (0..3_000)
            .find_map(|seed| Some((seed, simulate(seed, disabled_rule).violations.first()?.clone())));
        let (seed, violation) = caught.unwrap_or_else(|| panic!("{disabled_rule:?} is never caught"));
        println!("{disabled_rule:?}: seed {seed}: {violation}");
    }
}

/// When a holder dies in a healthy fleet, the time without a holder is bounded (`docs/leases.md`).
#[test]
fn a_dead_holder_is_replaced_within_three_leases() {
    let mut spans = Vec::new();
    for seed in 0..200 {
        let gateways = [3, 5, 7, 9][seed as usize % 4];
        let mut world = World::new(Scenario { gateways, voters: gateways, ..Scenario::default() }, seed);
        world.run_while(5_000 * MS, |w| w.holder(1).is_none());
        world.run(world.now + 1_000 * MS);
        let dead = world.holder(1).expect("held in a healthy fleet");
        let at = world.now;
        world.kill(dead);
        world.run_while(at + 5_000 * MS, |w| w.holder(1).is_none());
        assert!(world.violations.is_empty() && world.holder(1).is_some_and(|h| h != dead), "seed {seed}");
        spans.push((world.now - at) / MS);
    }
    spans.sort_unstable();
    let p50 = spans[100];
    let p99 = spans[197];
    let most = spans[199];
    println!("lease 300 ms; without a holder after its death: p50 {p50} ms, p99 {p99} ms, most {most} ms");
    assert!(most <= 900, "{most} ms");
}

/// Message loss alone does not make another gateway the holder.
#[test]
fn a_healthy_holder_keeps_its_lease_under_message_loss() {
    for seed in 0..40 {
        let mut world = World::new(Scenario { loss: 0.05, ..Scenario::default() }, seed);
        world.run(20_000 * MS);
        assert!(
            world.violations.is_empty() && world.acquisitions <= 2,
            "seed {seed}: {} acquisitions in 20 s",
            world.acquisitions
        );
    }
}

/// A thousand tasks cost about as many messages as one task: requests that are due together go into one message.
#[test]
fn renewals_of_a_thousand_tasks_share_messages() {
    let sent = |tasks| {
        let mut world = World::new(Scenario { tasks, lease_duration: 1_000, ..Scenario::default() }, 1);
        world.run(4_000 * MS);
        let before = world.sent;
        world.run(8_000 * MS);
        assert!(world.violations.is_empty() && (1..=tasks).all(|t| world.holder(t).is_some()));
        world.sent - before
    };
    let one = sent(1);
    let many = sent(1_000);
    println!("messages in 4 s, 5 gateways, lease 1 s: {one} with one task, {many} with a thousand");
    assert!(many < one * 20, "{one} and {many}");
}

#[test]
fn a_transferred_lease_is_acquired_by_the_requested_gateway() {
    let mut world = World::new(Scenario::default(), 5);
    world.run_while(5_000 * MS, |w| w.holder(1).is_none());
    let from = world.holder(1).expect("held");
    let at = world.now;
    let to = (from + 2) % 5;
    world.handle(from, doorcourse_lease::Input::TransferRequested { task: 1, to });
    assert_eq!(world.holder(1), None, "released at once");
    world.run_while(at + 5_000 * MS, |w| w.holder(1).is_none());
    assert_eq!((world.holder(1), world.violations.is_empty()), (Some(to), true));
    assert!(world.now - at < 200 * MS, "{} us", world.now - at);
}

/// The state that is kept for a peer is bounded, whatever a peer that knows the secret sends.
#[test]
fn state_kept_for_a_malicious_peer_is_bounded() {
    use doorcourse_lease::{
        Input, Item, LeaseRequest, Leases, Message, Refusal, Settings, VoterConfiguration,
    };
    let voters = VoterConfiguration::first(0..3);
    let fleet = (0..3).collect();
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
    let mut send = |items: Vec<Item>| {
        out.clear();
        let message = Message { voters_version: 0, highest_token: 9, round: 1, items };
        leases.handle(1_000, 0, Input::MessageReceived { from: 1, incarnation: 5, message }, &mut out);
        format!("{:?}", leases.clone()).len()
    };
    let request = |task| Item::Request(LeaseRequest { task, token: 10, duration: 100 });
    let refuse = |task| Item::Refuse { task, token: 10, reason: Refusal::NotVoting };
    for round in 0..20 {
        send((round * 2_000..(round + 1) * 2_000).map(request).collect());
        send((round * 2_000..(round + 1) * 2_000).map(refuse).collect());
    }
    let state_size = send(Vec::new());
    send((50_000..52_000).flat_map(|task| [request(task), refuse(task)]).collect());
    assert!(
        send(Vec::new()) <= state_size + 100,
        "the state grows with the task numbers that the peer makes up"
    );
}
