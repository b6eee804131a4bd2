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
        latency_objective: 500.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
        priority_weight: 1.0,
        late_response_value: 0.0,
    };
    let plan = Plan {
        name: "p".into(),
        rate: 0.0,
        burst: 0.0,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        priority_factor: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.0,
    };
    let (classes, plans, counter) = (vec![class], vec![plan], true);
    Settings {
        gateway_count: gateways,
        classes,
        plans,
        has_counter: counter,
        counter_timeout: 50.0,
        max_attempts: 3,
        slow_start_duration: 1000.0,
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
            placement: place(n),
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
            client_retry: false,
            timeout: patience,
            first_gateway: 0,
            gateway_count: 1,
            sticky_route: bound,
        };
        self.actions.clear();
        self.gateway.handle(self.now, Event::RequestReceived(arrival), &mut self.actions);
        let sent = self.actions.iter().find_map(|a| match a {
            Action::SendAttempt { backend, .. } => Some(backend.clone()),
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
            final_response_sent: true,
            load_report: None,
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
    Placement {
        weight: (n % 5 + 1) as f64,
        priority_level: (n / 50) as u32,
        role,
        sticky_route: route,
        ..Placement::default()
    }
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
