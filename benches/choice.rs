//! The cost of deciding on one request with 100 backends: a uniform list, weights, priority levels with standbys and
//! spares, and a sticky route. Compare the cases within one run.

use criterion::{Criterion, criterion_group, criterion_main};
use doorcourse::{
    Action, AttemptEnd, AttemptOutcome, BackendEntry, BackendRole, BackendState, DeduplicationScope, Event,
    Gateway, Idempotency, IncomingRequest, Name, Placement, Plan, RequestClass, Settings,
};
use std::hint::black_box;

const BACKENDS: usize = 100;

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
    Settings {
        gateway_count: gateways,
        classes: vec![class],
        plans: vec![plan],
        has_counter: true,
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
    fn new(gateways: u32, placement: impl Fn(usize) -> Placement) -> Self {
        let mut gateway = Gateway::new(settings(gateways), 7).expect("usable settings");
        let entry = |n: usize| BackendEntry {
            name: format!("node-{n:03}").as_str().into(),
            zone: Name::default(),
            cell: 0,
            state: BackendState::Ready,
            started: None,
            placement: placement(n),
        };
        let mut actions = Vec::new();
        gateway.handle(0.0, Event::BackendList((0..BACKENDS).map(entry).collect()), &mut actions);
        Self { gateway, actions, now: 0.0, id: 0 }
    }

    /// One request and its response.
    fn request(&mut self, sticky_route: &Name) {
        self.id += 1;
        self.now += 0.1;
        let id = self.id;
        let request = IncomingRequest {
            id,
            customer: Name::from("x"),
            plan: Name::from("p"),
            class: Name::from("c"),
            units: 1.0,
            client_retry: false,
            timeout: 900.0,
            first_gateway: 0,
            gateway_count: 1,
            sticky_route: sticky_route.clone(),
        };
        self.actions.clear();
        self.gateway.handle(self.now, Event::RequestReceived(request), &mut self.actions);
        let sent = self.actions.iter().find_map(|a| match a {
            Action::SendAttempt { backend, .. } => Some(backend.clone()),
            _ => None,
        });
        let Some(backend) = sent else { return };
        let end = AttemptEnd {
            id,
            attempt: 0,
            backend,
            outcome: AttemptOutcome::Served,
            latency: 5.0,
            true_units: None,
            final_response_sent: true,
            load_report: None,
        };
        self.gateway.handle(self.now, Event::AttemptEnded(end), &mut self.actions);
        black_box(&self.actions);
    }
}

fn levels(n: usize) -> Placement {
    let role = match n % 10 {
        8 => BackendRole::Spare,
        9 => BackendRole::Standby,
        _ => BackendRole::Active,
    };
    Placement {
        weight: (n % 5 + 1) as f64,
        priority_level: (n / 50) as u32,
        role,
        sticky_route: format!("r{n}").as_str().into(),
        ..Placement::default()
    }
}

fn measure(c: &mut Criterion) {
    let mut group = c.benchmark_group("choice among 100 nodes");
    let weighted = |n: usize| Placement { weight: (n % 5 + 1) as f64, ..Placement::default() };
    let no_route = Name::default();
    let route = Name::from("r3");
    for gateways in [3, 200] {
        let mut run = |what: &str, mut host: Host, sticky_route: &Name| {
            group.bench_function(format!("{what}, {gateways} gateways"), |b| {
                b.iter(|| host.request(sticky_route));
            });
        };
        run("plain", Host::new(gateways, |_| Placement::default()), &no_route);
        run("weights", Host::new(gateways, weighted), &no_route);
        run("tiers", Host::new(gateways, levels), &no_route);
        run("bound", Host::new(gateways, levels), &route);
    }
    group.finish();
}

criterion_group!(benches, measure);
criterion_main!(benches);
