//! Model checking: three gateways, two tasks, one start again, messages lost, doubled, late and out of order, clocks that
//! drift. All courses to a stated depth; each rule left out must give a counterexample.

use doorcourse_lease::*;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// The shortest lease there is, clocks up to two fifths apart, and steps of real time that a lease has few of.
const LENGTH: Millis = 20;
const DRIFT: u64 = 400_000;
const STEP: Millis = 10;
const TASKS: [TaskId; 2] = [1, 2];

/// One way to begin.
#[derive(Clone)]
struct Fleet {
    spoil: DisabledRule,
    /// The lists of voters in the files, by gateway.
    files: [VoterConfiguration; 3],
    /// Who would do the tasks.
    candidates: Vec<GatewayNumber>,
    /// How many steps of time, starts and doubled messages there may be.
    steps: u64,
    starts: u8,
    doubles: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<(Leases, u64)>,
    /// Steps of real time.
    time: u64,
    starts: u8,
    doubles: u8,
    /// On their way: from, which start of it, to, what.
    net: BTreeSet<(GatewayNumber, u64, GatewayNumber, Message)>,
    /// The highest token that each task was held under, and whether one ever came that was not higher.
    tokens: BTreeMap<TaskId, FencingToken>,
    fell: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Time,
    Tick(GatewayNumber),
    Deliver(GatewayNumber, u64, GatewayNumber, Message),
    Double(GatewayNumber, u64, GatewayNumber, Message),
    Start(GatewayNumber),
}

impl Fleet {
    fn settings(&self, number: GatewayNumber, incarnation: u64) -> Settings {
        let tasks = if self.candidates.contains(&number) { TASKS.to_vec() } else { Vec::new() };
        let voters = self.files[number as usize].clone();
        let fleet = (0..3).collect();
        let drift = DRIFT;
        Settings {
            gateway: number,
            incarnation,
            seed: 7,
            lease_duration: LENGTH,
            max_lease_duration: LENGTH,
            clock_drift_ppm: drift,
            gateways: fleet,
            voters,
            tasks,
        }
    }

    /// The clock of a gateway: the second runs fast by all that is allowed.
    fn local(&self, number: GatewayNumber, time: u64) -> Millis {
        let real = 1_000 + time * STEP;
        if number == 1 { real * (1_000_000 + DRIFT) / 1_000_000 } else { real }
    }

    fn start(&self, number: GatewayNumber, incarnation: u64, now: Millis) -> Leases {
        Leases::with_disabled_rule(now, self.settings(number, incarnation), self.spoil)
            .expect("settings that can be used")
    }

    fn tell(&self, state: &mut State, number: GatewayNumber, input: Input) {
        let now = self.local(number, state.time);
        let (leases, incarnation) = &mut state.nodes[number as usize];
        let mut out = Vec::new();
        // Wall clocks say nothing here: tokens must grow without them.
        leases.handle(now, 0, input, &mut out);
        for output in out {
            match output {
                // What holds nothing may as well be lost.
                Output::Send { to, message } if !message.items.is_empty() => {
                    state.net.insert((number, *incarnation, to, message));
                }
                Output::Acquired(gain) => {
                    let highest = state.tokens.entry(gain.task).or_default();
                    state.fell |= gain.token <= *highest;
                    *highest = (*highest).max(gain.token);
                }
                _ => {}
            }
        }
    }

    fn holders(&self, state: &State, task: TaskId) -> usize {
        let holds = |number: &GatewayNumber| {
            let now = self.local(*number, state.time);
            state.nodes[*number as usize].0.may_act(now, task, 0).is_ok()
        };
        (0..3).filter(holds).count()
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // All have been up for long: what voters wait after a start is over.
        let long = 10 * LENGTH;
        let nodes = (0..3).map(|n| (self.start(n, 1, self.local(n, 0) - long), 1)).collect();
        let (net, tokens) = (BTreeSet::new(), BTreeMap::new());
        vec![State { nodes, time: 0, starts: 0, doubles: 0, net, tokens, fell: false }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.steps {
            actions.push(Action::Time);
        }
        actions.extend((0..3).map(Action::Tick));
        for (from, incarnation, to, message) in &state.net {
            actions.push(Action::Deliver(*from, *incarnation, *to, message.clone()));
            if state.doubles < self.doubles {
                actions.push(Action::Double(*from, *incarnation, *to, message.clone()));
            }
        }
        if state.starts < self.starts {
            actions.extend((0..3).map(Action::Start));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Time => state.time += 1,
            Action::Tick(number) => self.tell(&mut state, number, Input::Tick),
            Action::Deliver(from, incarnation, to, message) => {
                state.net.remove(&(from, incarnation, to, message.clone()));
                self.tell(&mut state, to, Input::MessageReceived { from, incarnation, message });
            }
            Action::Double(from, incarnation, to, message) => {
                state.doubles += 1;
                self.tell(&mut state, to, Input::MessageReceived { from, incarnation, message });
            }
            Action::Start(number) => {
                state.starts += 1;
                let incarnation = state.nodes[number as usize].1 + 1;
                let now = self.local(number, state.time);
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
            Property::always("tokens grow", |_, state: &State| !state.fell),
            Property::sometimes("held", |fleet: &Fleet, state: &State| fleet.holders(state, TASKS[0]) == 1),
        ]
    }
}

fn fleet(spoil: DisabledRule) -> Fleet {
    let files = [(); 3].map(|()| VoterConfiguration::first(0..3));
    Fleet { spoil, files, candidates: vec![0, 1], steps: 5, starts: 1, doubles: 1 }
}

/// The first gateway knows the list of one voter only; the others were started with lists two versions on.
fn lists(spoil: DisabledRule) -> Fleet {
    let first = VoterConfiguration::first([0]);
    let third = first.with_voters([0, 1]).with_voters([0, 1, 2]);
    Fleet { files: [first, third.clone(), third], starts: 0, doubles: 0, ..fleet(spoil) }
}

/// Checks all courses of so many actions; the states seen, and the counterexample of each property that fails.
fn check(fleet: &Fleet, depth: usize) -> (usize, BTreeMap<&'static str, Vec<Action>>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = fleet.clone().checker().threads(threads).target_max_depth(depth);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries();
    let broken = found.into_iter().filter(|(name, _)| *name != "held");
    let broken = broken.map(|(name, path)| (name, path.into_actions())).collect();
    (checker.unique_state_count(), broken)
}

/// How deep to look: `LEASE_DEPTH`, by command (`docs/leases.md`).
fn depth() -> usize {
    std::env::var("LEASE_DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(7)
}

#[test]
fn one_holder_and_growing_tokens_in_all_courses() {
    for (what, fleet) in
        [("three voters", fleet(DisabledRule::None)), ("lists of voters", lists(DisabledRule::None))]
    {
        let (states, broken) = check(&fleet, depth());
        println!("{what}: {states} states to depth {}", depth());
        assert!(broken.is_empty(), "{what}: {broken:#?}");
        assert!(states > 1_000, "{what}: only {states} states");
    }
}

#[test]
fn no_waiting_after_a_start_is_caught() {
    let (_, broken) = check(&Fleet { doubles: 0, ..fleet(DisabledRule::StartupWait) }, 12);
    assert!(broken.contains_key("one holder"), "{broken:?}");
}

#[test]
fn a_lease_counted_from_the_answer_is_caught() {
    let (_, broken) = check(&Fleet { starts: 0, doubles: 0, ..fleet(DisabledRule::ExpiryFromRequest) }, 12);
    assert!(broken.contains_key("one holder"), "{broken:?}");
}

#[test]
fn a_majority_of_an_older_list_is_caught() {
    let (_, broken) = check(&lists(DisabledRule::VoterVersions), 12);
    assert!(broken.contains_key("one holder"), "{broken:?}");
}

#[test]
fn a_token_used_again_is_caught() {
    let (_, broken) = check(
        &Fleet { candidates: vec![0], starts: 0, doubles: 0, ..fleet(DisabledRule::TokenUniqueness) },
        14,
    );
    assert!(broken.contains_key("tokens grow"), "{broken:?}");
}
