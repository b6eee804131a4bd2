//! Model checking: three gateways, two tasks, one restart, messages lost, duplicated, delayed and reordered, clocks
//! that drift. Explores all histories to a depth; each disabled rule must give a counterexample.

use doorcourse_lease::*;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// The shortest lease that is allowed, in ms.
const LEASE_DURATION: Millis = 20;
/// How much the rates of two clocks differ, in parts per million: by two fifths.
const CLOCK_DRIFT_PPM: u64 = 400_000;
/// The duration of a step of real time, in ms: half a lease.
const STEP_DURATION: Millis = 10;
const TASKS: [TaskId; 2] = [1, 2];

/// The initial conditions of a model.
#[derive(Clone)]
struct Fleet {
    disabled_rule: DisabledRule,
    /// The voters in the settings of each gateway.
    configured_voters: [VoterConfiguration; 3],
    /// The gateways that are candidates for the tasks.
    candidates: Vec<GatewayNumber>,
    /// How many steps of time, restarts and duplicated messages a history may have.
    steps: u64,
    restarts: u8,
    duplicates: u8,
}

/// A message in transit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct InTransit {
    from: GatewayNumber,
    /// Identifies the start of the sender.
    incarnation: u64,
    to: GatewayNumber,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Each gateway's leases, and the number of its start.
    nodes: Vec<(Leases, u64)>,
    /// How many steps of real time have passed.
    time: u64,
    restarts: u8,
    duplicates: u8,
    in_transit: BTreeSet<InTransit>,
    /// The highest token that each task was held under.
    highest_tokens: BTreeMap<TaskId, FencingToken>,
    /// Whether a lease was ever acquired under a token that was not higher.
    token_not_increased: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Time,
    Tick(GatewayNumber),
    /// A message arrives.
    Deliver(InTransit),
    /// A message arrives, and another copy of it stays in transit.
    Duplicate(InTransit),
    Restart(GatewayNumber),
}

impl Fleet {
    fn settings(&self, number: GatewayNumber, incarnation: u64) -> Settings {
        let tasks = if self.candidates.contains(&number) { TASKS.to_vec() } else { Vec::new() };
        Settings {
            gateway: number,
            incarnation,
            seed: 7,
            lease_duration: LEASE_DURATION,
            max_lease_duration: LEASE_DURATION,
            clock_drift_ppm: CLOCK_DRIFT_PPM,
            gateways: (0..3).collect(),
            voters: self.configured_voters[number as usize].clone(),
            tasks,
        }
    }

    /// The clock of a gateway. The clock of gateway 1 runs faster than the others by the allowed drift.
    fn local_time(&self, number: GatewayNumber, time: u64) -> Millis {
        let real = 1_000 + time * STEP_DURATION;
        if number == 1 { real * (1_000_000 + CLOCK_DRIFT_PPM) / 1_000_000 } else { real }
    }

    fn start(&self, number: GatewayNumber, incarnation: u64, now: Millis) -> Leases {
        Leases::with_disabled_rule(now, self.settings(number, incarnation), self.disabled_rule)
            .expect("settings that can be used")
    }

    fn handle(&self, state: &mut State, number: GatewayNumber, input: Input) {
        let now = self.local_time(number, state.time);
        let (leases, incarnation) = &mut state.nodes[number as usize];
        let mut out = Vec::new();
        // The wall clock is always 0: tokens must grow without it.
        leases.handle(now, 0, input, &mut out);
        for output in out {
            match output {
                // Heartbeats are dropped: the model also covers messages that are lost.
                Output::Send { to, message } if !message.items.is_empty() => {
                    let incarnation = *incarnation;
                    state.in_transit.insert(InTransit { from: number, incarnation, to, message });
                }
                Output::Acquired(lease) => {
                    let highest = state.highest_tokens.entry(lease.task).or_default();
                    state.token_not_increased |= lease.token <= *highest;
                    *highest = (*highest).max(lease.token);
                }
                _ => {}
            }
        }
    }

    fn deliver(&self, state: &mut State, arriving: InTransit) {
        let InTransit { from, incarnation, to, message } = arriving;
        self.handle(state, to, Input::MessageReceived { from, incarnation, message });
    }

    fn holders(&self, state: &State, task: TaskId) -> usize {
        let holds = |number: &GatewayNumber| {
            let now = self.local_time(*number, state.time);
            state.nodes[*number as usize].0.may_act(now, task, 0).is_ok()
        };
        (0..3).filter(holds).count()
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // All gateways were started long ago: their wait after a start is over.
        let uptime = 10 * LEASE_DURATION;
        let nodes = (0..3).map(|n| (self.start(n, 1, self.local_time(n, 0) - uptime), 1)).collect();
        vec![State {
            nodes,
            time: 0,
            restarts: 0,
            duplicates: 0,
            in_transit: BTreeSet::new(),
            highest_tokens: BTreeMap::new(),
            token_not_increased: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.steps {
            actions.push(Action::Time);
        }
        actions.extend((0..3).map(Action::Tick));
        for message in &state.in_transit {
            actions.push(Action::Deliver(message.clone()));
            if state.duplicates < self.duplicates {
                actions.push(Action::Duplicate(message.clone()));
            }
        }
        if state.restarts < self.restarts {
            actions.extend((0..3).map(Action::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Time => state.time += 1,
            Action::Tick(number) => self.handle(&mut state, number, Input::Tick),
            Action::Deliver(message) => {
                state.in_transit.remove(&message);
                self.deliver(&mut state, message);
            }
            Action::Duplicate(message) => {
                state.duplicates += 1;
                self.deliver(&mut state, message);
            }
            Action::Restart(number) => {
                state.restarts += 1;
                let incarnation = state.nodes[number as usize].1 + 1;
                let now = self.local_time(number, state.time);
                state.nodes[number as usize] = (self.start(number, incarnation, now), incarnation);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |fleet: &Fleet, state: &State| {
                TASKS.iter().all(|task| fleet.holders(state, *task) <= 1)
            }),
            Property::always("tokens grow", |_, state: &State| !state.token_not_increased),
            Property::sometimes("held", |fleet: &Fleet, state: &State| fleet.holders(state, TASKS[0]) == 1),
        ]
    }
}

fn fleet(disabled_rule: DisabledRule) -> Fleet {
    let configured_voters = [(); 3].map(|()| VoterConfiguration::first(0..3));
    Fleet { disabled_rule, configured_voters, candidates: vec![0, 1], steps: 5, restarts: 1, duplicates: 1 }
}

/// The first gateway is at a version with one voter; the others were started two versions later.
fn voter_versions(disabled_rule: DisabledRule) -> Fleet {
    let first = VoterConfiguration::first([0]);
    let third = first.with_voters([0, 1]).with_voters([0, 1, 2]);
    Fleet {
        configured_voters: [first, third.clone(), third],
        restarts: 0,
        duplicates: 0,
        ..fleet(disabled_rule)
    }
}

/// Checks all histories of at most `depth` actions. Returns the number of states, and a counterexample for each
/// property that is violated.
fn check(fleet: &Fleet, depth: usize) -> (usize, BTreeMap<&'static str, Vec<Action>>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = fleet.clone().checker().threads(threads).target_max_depth(depth);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries();
    let violated = found.into_iter().filter(|(name, _)| *name != "held");
    let violated = violated.map(|(name, path)| (name, path.into_actions())).collect();
    (checker.unique_state_count(), violated)
}

/// How many actions to explore: the variable `LEASE_DEPTH` (`docs/leases.md`), or 7.
fn depth() -> usize {
    std::env::var("LEASE_DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(7)
}

#[test]
fn all_histories_have_one_holder_and_growing_tokens() {
    for (what, fleet) in
        [("three voters", fleet(DisabledRule::None)), ("lists of voters", voter_versions(DisabledRule::None))]
    {
        let (states, violated) = check(&fleet, depth());
        println!("{what}: {states} states to depth {}", depth());
        assert!(violated.is_empty(), "{what}: {violated:#?}");
        assert!(states > 1_000, "{what}: only {states} states");
    }
}

#[test]
fn a_missing_wait_after_a_start_is_caught() {
    let (_, violated) = check(&Fleet { duplicates: 0, ..fleet(DisabledRule::StartupWait) }, 12);
    assert!(violated.contains_key("one holder"), "{violated:?}");
}

#[test]
fn a_lease_counted_from_the_reply_is_caught() {
    let (_, violated) =
        check(&Fleet { restarts: 0, duplicates: 0, ..fleet(DisabledRule::ExpiryFromRequest) }, 12);
    assert!(violated.contains_key("one holder"), "{violated:?}");
}

#[test]
fn a_majority_of_older_voters_is_caught() {
    let (_, violated) = check(&voter_versions(DisabledRule::VoterVersions), 12);
    assert!(violated.contains_key("one holder"), "{violated:?}");
}

#[test]
fn a_reused_token_is_caught() {
    let (_, violated) = check(
        &Fleet { candidates: vec![0], restarts: 0, duplicates: 0, ..fleet(DisabledRule::TokenUniqueness) },
        14,
    );
    assert!(violated.contains_key("tokens grow"), "{violated:?}");
}
