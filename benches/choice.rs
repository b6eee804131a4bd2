//! What one request costs the decisions with 100 nodes: chosen among nodes of which the list says nothing, among
//! weighted ones, in tiers with standbys and spares, and bound to a node. Compare them within one run.

use criterion::{Criterion, criterion_group, criterion_main};
use doorcourse::{
    Action, AttemptEnd, AttemptOutcome, BackendEntry, BackendRole, BackendState, DeduplicationScope, Event,
    Gateway, Idempotency, IncomingRequest, Name, Placement, Plan, RequestClass, Settings,
};
use std::hint::black_box;

const NODES: usize = 100;

fn settings(gateways: u32) -> Settings {
    let class = RequestClass {
        name: "c".into(),
        aim: 500.0,
        effect: Idempotency::Safe,
        group: DeduplicationScope::All,
        memory: 0.0,
        worth: 1.0,
        late_worth: 0.0,
    };
    let plan = Plan {
        name: "p".into(),
        rate: 0.0,
        burst: 0.0,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 0.0,
    };
    let (classes, plans, counter) = (vec![class], vec![plan], true);
    Settings {
        gateways,
        classes,
        plans,
        counter,
        counter_timeout: 50.0,
        most_attempts: 3,
        cold_time: 1000.0,
        tick: 1.0,
        ..Settings::default()
    }
}

struct Host {
    gateway: Gateway,
    actions: Vec<Action>,
    now: f64,
    id: u64,
}

impl Host {
    fn new(gateways: u32, place: impl Fn(usize) -> Placement) -> Self {
        let mut gateway = Gateway::new(settings(gateways), 7).expect("usable settings");
        let entry = |n: usize| BackendEntry {
            name: format!("node-{n:03}").as_str().into(),
            zone: Name::default(),
            cell: 0,
            state: BackendState::Ready,
            started: None,
            place: place(n),
        };
        let mut actions = Vec::new();
        gateway.handle(0.0, Event::BackendList((0..NODES).map(entry).collect()), &mut actions);
        Self { gateway, actions, now: 0.0, id: 0 }
    }

    /// One request in and its answer.
    fn request(&mut self, bound: &Name) {
        (self.id, self.now) = (self.id + 1, self.now + 0.1);
        let (id, customer, plan, class) = (self.id, Name::from("x"), Name::from("p"), Name::from("c"));
        let (units, patience, bound) = (1.0, 900.0, bound.clone());
        let arrival = IncomingRequest {
            id,
            customer,
            plan,
            class,
            units,
            repeat: false,
            patience,
            first: 0,
            spread: 1,
            bound,
        };
        self.actions.clear();
        self.gateway.handle(self.now, Event::Request(arrival), &mut self.actions);
        let sent = self.actions.iter().find_map(|a| match a {
            Action::Send { backend, .. } => Some(backend.clone()),
            _ => None,
        });
        let Some(backend) = sent else { return };
        let (outcome, latency) = (AttemptOutcome::Served, 5.0);
        let end = AttemptEnd {
            id,
            attempt: 0,
            backend,
            outcome,
            latency,
            true_units: None,
            finished: true,
            load: None,
        };
        self.gateway.handle(self.now, Event::AttemptEnded(end), &mut self.actions);
        black_box(&self.actions);
    }
}

fn tiers(n: usize) -> Placement {
    let role = match n % 10 {
        8 => BackendRole::Spare,
        9 => BackendRole::Standby,
        _ => BackendRole::Active,
    };
    let route = format!("r{n}").as_str().into();
    Placement { weight: (n % 5 + 1) as f64, tier: (n / 50) as u32, role, route, ..Placement::default() }
}

fn measure(c: &mut Criterion) {
    let mut group = c.benchmark_group("choice among 100 nodes");
    let weighted = |n: usize| Placement { weight: (n % 5 + 1) as f64, ..Placement::default() };
    let (free, home) = (Name::default(), Name::from("r3"));
    for gateways in [3, 200] {
        let mut run = |what: &str, mut host: Host, bound: &Name| {
            group.bench_function(format!("{what}, {gateways} gateways"), |b| b.iter(|| host.request(bound)));
        };
        run("plain", Host::new(gateways, |_| Placement::default()), &free);
        run("weights", Host::new(gateways, weighted), &free);
        run("tiers", Host::new(gateways, tiers), &free);
        run("bound", Host::new(gateways, tiers), &home);
    }
    group.finish();
}

criterion_group!(benches, measure);
criterion_main!(benches);
