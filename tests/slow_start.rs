//! Slow start under the load of all gateways together: fleets of unevenly loaded gateways go through rolling
//! replacements, replacement of many backends at once, bursts and failures. The requests that reach a started backend
//! within an overload window must not exceed N + 2 sqrt(N) + 2, where N is the number that the settings allow it at
//! that time. `DOORCOURSE_SEEDS=100` runs 100 seeds of each scenario.

mod common;
use common::*;
use doorcourse::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.next()).ln()
    }
}

/// One scenario for a fleet.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    gateways: u32,
    backends: usize,
    /// The load relative to the capacity of warm backends, and by how much it rises for two seconds in the middle.
    load: f64,
    burst: f64,
    /// This share of the backends is replaced, in steps so many ms apart; 0 for all at once.
    replaced: f64,
    step: Millis,
    /// This share of the attempts loses its connection at once.
    lost_share: f64,
    /// This share of the others dies when the first is replaced, and stays listed.
    dead: f64,
    /// The overload window, in ms.
    overload_window: Millis,
}

/// Requests per second that a warm backend serves, on [`SLOTS`] slots.
const RATE: f64 = 20.0;
const SLOTS: usize = 8;
const QUEUE: usize = 30;
const FROM: Millis = 4000.0;
const END: Millis = 16_000.0;

enum Pending {
    Arrival,
    Timer(u64),
    Ends(AttemptEnd),
    List(Vec<BackendEntry>),
}

/// One incarnation of a backend: the requests that arrive there and how it serves them.
#[derive(Default)]
struct Instance {
    started: Option<Millis>,
    up: bool,
    /// When each slot is free.
    slots: Vec<Millis>,
    arrived: Vec<Millis>,
}

struct Fleet {
    scenario: Scenario,
    settings: Settings,
    gateways: Vec<Gateway>,
    instances: BTreeMap<Name, Instance>,
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: HashMap<u64, Pending>,
    order: u64,
    now: Millis,
    random: Random,
    next: RequestId,
    attempts: HashMap<RequestId, (u32, Millis)>,
    weights: Vec<f64>,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9) + 1);
        let base = Settings {
            gateway_count: scenario.gateways,
            overload_window: scenario.overload_window,
            ..settings()
        };
        let mut plan = base.plans[0].clone();
        plan.rate = 0.0;
        let settings = Settings { plans: vec![plan], has_counter: false, ..base };
        let gateways = (0..scenario.gateways).map(|number| {
            let settings = Settings { gateway_index: number, ..settings.clone() };
            Gateway::new(settings, seed * 1000 + u64::from(number)).expect("usable settings")
        });
        let gateways = gateways.collect::<Vec<_>>();
        // Some gateways see several times the mean.
        let weights =
            (0..scenario.gateways).map(|_| if random.next() < 0.15 { 4.0 } else { 0.4 + random.next() });
        let weights: Vec<f64> = weights.collect();
        let mut fleet = Self {
            scenario,
            settings,
            gateways,
            instances: BTreeMap::new(),
            due: BinaryHeap::new(),
            pending: HashMap::new(),
            order: 0,
            now: 0.0,
            random,
            next: 0,
            attempts: HashMap::new(),
            weights,
        };
        fleet.start();
        fleet
    }

    /// Lists all backends as warm and schedules the first request of each gateway.
    fn start(&mut self) {
        for at in 0..self.scenario.backends {
            let instance = Instance { up: true, slots: vec![0.0; SLOTS], ..Instance::default() };
            self.instances.insert(format!("b{at}").into(), instance);
        }
        for at in 0..self.gateways.len() {
            let names = (0..self.scenario.backends).map(|n| format!("b{n}"));
            let list = names.map(|name| backend_entry(&name, BackendState::Ready, None)).collect();
            self.handle(at, Event::BackendList(list));
            self.arrive(at);
        }
    }

    fn later(&mut self, after: Millis, gateway: usize, due: Pending) {
        self.order += 1;
        self.due.push(Reverse((((self.now + after) * 1000.0) as u64, self.order, gateway)));
        self.pending.insert(self.order, due);
    }

    fn arrive(&mut self, gateway: usize) {
        let all: f64 = self.weights.iter().sum();
        let rate = RATE * self.scenario.backends as f64 * self.scenario.load * self.weights[gateway] / all;
        let middle = self.now > FROM && self.now < FROM + 2000.0;
        let rate = if middle { rate * self.scenario.burst } else { rate };
        let after = self.random.exp(1000.0 / rate);
        self.later(after, gateway, Pending::Arrival);
    }

    fn handle(&mut self, at: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[at].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SendAttempt { id, backend, .. } => self.attempt_sent(at, id, backend),
                Action::SetTimer { after, token } => self.later(after, at, Pending::Timer(token)),
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.attempts.remove(&id)),
                _ => {}
            }
        }
    }

    fn attempt_sent(&mut self, at: usize, id: RequestId, backend: Name) {
        let Some(known) = self.attempts.get_mut(&id) else { return };
        let (attempt, until) = *known;
        known.0 += 1;
        let is_lost = self.random.next() < self.scenario.lost_share;
        let work = self.random.exp(SLOTS as f64 / RATE * 1000.0);
        let instance = self.instances.get_mut(&backend).expect("a listed one");
        let (outcome, latency) = if !instance.up {
            (AttemptOutcome::ConnectFailed, 1.0)
        } else {
            instance.arrived.push(self.now);
            if is_lost {
                (AttemptOutcome::ConnectionLost, 2.0)
            } else {
                instance.serve(work, until, self.now, &self.settings)
            }
        };
        let end = AttemptEnd {
            id,
            attempt,
            backend,
            outcome,
            latency,
            true_units: None,
            final_response_sent: outcome == AttemptOutcome::Served,
            load_report: None,
        };
        self.later(latency.max(0.1), at, Pending::Ends(end));
    }

    /// Stops a backend and starts another under a new name; the gateways are notified within 400 ms.
    fn replace(&mut self, old: &str, new: &str) {
        self.instances.get_mut(old).expect("it runs").up = false;
        let slots = vec![self.now; SLOTS];
        let started = Some(self.now);
        self.instances.insert(new.into(), Instance { started, up: true, slots, ..Instance::default() });
        for at in 0..self.gateways.len() {
            let after = 20.0 + 380.0 * self.random.next();
            let gone = backend_entry(old, BackendState::Removed, None);
            let came = backend_entry(new, BackendState::Ready, started);
            self.later(after, at, Pending::List(vec![gone, came]));
        }
    }

    /// Runs to the end; returns for each started backend the worst count within an overload window and its bound.
    fn run(mut self) -> Vec<(f64, f64)> {
        let replaced = (self.scenario.backends as f64 * self.scenario.replaced).round() as usize;
        let mut steps = (0..replaced).map(|n| (FROM + self.scenario.step * n as f64, n)).collect::<Vec<_>>();
        steps.reverse();
        let dead = (replaced..self.scenario.backends)
            .take((self.scenario.backends as f64 * self.scenario.dead) as usize);
        let mut dead = dead.collect::<Vec<_>>();
        while let Some(Reverse((at, order, gateway))) = self.due.pop() {
            self.now = at as f64 / 1000.0;
            while let Some((_, n)) = steps.pop_if(|(when, _)| *when <= self.now) {
                self.replace(&format!("b{n}"), &format!("n{n}"));
            }
            if self.now > FROM {
                dead.drain(..)
                    .for_each(|n| self.instances.get_mut(&*format!("b{n}")).expect("it runs").up = false);
            }
            if self.now > END {
                break;
            }
            match self.pending.remove(&order).expect("it was set") {
                Pending::Arrival => self.receive_request(gateway),
                Pending::Timer(token) => self.handle(gateway, Event::TimerExpired { token }),
                Pending::Ends(end) => self.handle(gateway, Event::AttemptEnded(end)),
                Pending::List(list) => self.handle(gateway, Event::BackendChanges(list)),
            }
        }
        let starts = self.instances.values().filter(|instance| instance.started.is_some());
        starts.map(|instance| instance.worst_window(&self.settings)).collect()
    }

    fn receive_request(&mut self, gateway: usize) {
        self.next += 1;
        let id = self.next;
        let timeout = 2500.0;
        self.attempts.insert(id, (0, self.now + timeout));
        let request = IncomingRequest {
            id,
            customer: "c".into(),
            plan: self.settings.plans[0].name.clone(),
            class: "safe".into(),
            units: 1.0,
            client_retry: false,
            timeout,
            first_gateway: 0,
            gateway_count: self.scenario.gateways,
            sticky_route: Name::default(),
        };
        self.handle(gateway, Event::RequestReceived(request));
        self.arrive(gateway);
    }
}

impl Instance {
    /// The overload window with the most requests relative to its bound: the count and the bound.
    fn worst_window(&self, settings: &Settings) -> (f64, f64) {
        let windows = self.arrived.iter().enumerate().map(|(at, from)| {
            let in_window = |arrived: &&Millis| **arrived < from + settings.overload_window;
            let count = self.arrived[at..].iter().take_while(in_window).count();
            let weight = slow_start_weight(self.started, settings, *from);
            let budget = settings.overload_multiple * weight * RATE * settings.overload_window / 1000.0;
            (count as f64, budget + 2.0 * budget.sqrt() + 2.0)
        });
        windows.max_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1))).unwrap_or((0.0, 1.0))
    }

    /// An attempt that needs `work` ms of a warm backend's slot arrives: how it ends, and after how long.
    fn serve(
        &mut self, work: Millis, until: Millis, now: Millis, settings: &Settings,
    ) -> (AttemptOutcome, Millis) {
        let weight = slow_start_weight(self.started, settings, now);
        let slot = self.slots.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("slots");
        let begins = slot.max(now);
        let waits = ((begins - now) * RATE / 1000.0) as usize;
        if waits > QUEUE {
            return (AttemptOutcome::Rejected, 1.0);
        }
        let ends = begins + work / weight;
        *slot = ends;
        if ends > until {
            (AttemptOutcome::TimedOut, until - now)
        } else {
            (AttemptOutcome::Served, ends - now)
        }
    }
}

/// The share of its capacity that an incarnation has.
fn slow_start_weight(started: Option<Millis>, settings: &Settings, now: Millis) -> f64 {
    let age = started.map_or(1.0, |from| ((now - from) / settings.slow_start_duration).clamp(0.0, 1.0));
    settings.slow_start_share + (1.0 - settings.slow_start_share) * age
}

fn scenarios() -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for gateways in [2, 20, 30] {
        for (load, burst, replaced, step, lost_share) in [
            (0.6, 1.0, 0.5, 500.0, 0.0),
            (0.95, 1.5, 0.5, 300.0, 0.0),
            (0.6, 1.5, 0.34, 0.0, 0.0),
            (0.9, 1.0, 1.0, 0.0, 0.0),
            (0.6, 1.0, 1.0, 0.0, 0.0),
            (0.7, 1.5, 1.0, 200.0, 0.2),
            (1.6, 1.0, 0.5, 300.0, 0.1),
        ] {
            let backends = 10;
            let dead = 0.0;
            for overload_window in [1000.0, 3000.0] {
                scenarios.push(Scenario {
                    gateways,
                    backends,
                    load,
                    burst,
                    replaced,
                    step,
                    lost_share,
                    dead,
                    overload_window,
                });
            }
        }
        let backends = 10;
        let load = 0.4;
        let burst = 1.5;
        let replaced = 0.3;
        let step = 0.0;
        let lost_share = 0.0;
        scenarios.push(Scenario {
            gateways,
            backends,
            load,
            burst,
            replaced,
            step,
            lost_share,
            dead: 0.6,
            overload_window: 1000.0,
        });
    }
    scenarios.push(Scenario {
        gateways: 300,
        backends: 100,
        load: 0.7,
        burst: 1.5,
        replaced: 0.34,
        step: 0.0,
        lost_share: 0.05,
        dead: 0.1,
        overload_window: 1000.0,
    });
    scenarios
}

#[test]
fn no_backend_in_slow_start_gets_more_than_its_budget_from_all_gateways_together() {
    let seeds = std::env::var("DOORCOURSE_SEEDS").ok().map_or(1, |s| s.parse().expect("a number"));
    let mut over = Vec::new();
    for scenario in scenarios() {
        let mut all: Vec<(f64, f64)> =
            (1..=seeds).flat_map(|seed| Fleet::new(scenario, seed).run()).collect();
        all.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let at = |share: f64| all[((all.len() - 1) as f64 * share) as usize];
        let median = at(0.5);
        let tail = at(0.99);
        let worst = at(1.0);
        let beyond = all.iter().filter(|(count, bound)| count > bound).count();
        eprintln!(
            "{scenario:?}: {} starts, median {:.2}, 99 in 100 {:.2}, worst {} of {:.0}, {beyond} beyond",
            all.len(),
            median.0 / median.1,
            tail.0 / tail.1,
            worst.0,
            worst.1
        );
        if beyond > 0 {
            over.push(format!(
                "{scenario:?}: {beyond} of {}, worst {} of {:.1}",
                all.len(),
                worst.0,
                worst.1
            ));
        }
    }
    assert!(over.is_empty(), "{}", over.join("\n"));
}

#[test]
fn a_backend_whose_start_is_in_the_future_warms_up_from_when_it_is_listed() {
    let settings = settings();
    let mut gateway = TestGateway::new(settings.clone(), &["a1", "a2"]);
    let started = Some(gateway.now + 3_600_000.0);
    gateway.handle(Event::BackendChanges(vec![backend_entry("a3", BackendState::Ready, started)]));
    let count = |gateway: &mut TestGateway, first: RequestId| {
        let mut sent = 0;
        for id in first..first + 60 {
            let backend = gateway.forward(id, &format!("c{id}"), "plain", "safe");
            sent += usize::from(&*backend == "a3");
            gateway.now += 5.0;
            gateway.end_attempt(id, 0, &backend, AttemptOutcome::Served);
        }
        sent
    };
    assert!(count(&mut gateway, 1) <= 8, "it is cold at first");
    gateway.advance(settings.slow_start_duration, &[]);
    assert!(count(&mut gateway, 100) >= 12, "it has warmed up");
}
