//! The counts of the decisions against the requests of a host, on random orders of events: connections that close
//! with many requests in different states, ends of attempts, endpoint lists and restarts, counter results and timers, all
//! queued behind each other as in the event loops of both gateways.

use doorcourse::{
    Action, ActionOutcome, AttemptEnd, BackendEntry, BackendState, CounterOutcome, DeduplicationScope, Event,
    Gateway, Idempotency, IncomingRequest, Millis, Name, Placement, Plan, RequestClass, RequestId, Settings,
};
use doorcourse_request_lifecycle::{BackendReply, LifecycleAction, LifecycleEvent, RequestLifecycle};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SEEDS: u64 = 150;
/// Iterations of the event loop in one run.
const ITERATIONS: usize = 400;
const CLIENT_TIMEOUT: Millis = 1500.0;
const BACKENDS: [&str; 4] = ["b0", "b1", "b2", "b3"];
/// The most requests that a client sends at once.
const MAX_PIPELINED: usize = 20;

/// What the host does with an attempt of a request that has ended.
#[derive(Clone, Copy, PartialEq)]
enum NotStarted {
    Reported,
    /// The fault that the test must find.
    Forgotten,
}

struct HostRequest {
    lifecycle: RequestLifecycle,
    connection: u64,
    backend: Name,
    deadline: Millis,
}

/// A host without sockets: the requests of its clients, its timers and the events that are not yet handled.
struct Host {
    rng: ChaCha8Rng,
    now: Millis,
    decisions: Gateway,
    not_started: NotStarted,
    requests: BTreeMap<RequestId, HostRequest>,
    last_request: RequestId,
    last_connection: u64,
    events: VecDeque<Event>,
    timers: Vec<(Millis, u64)>,
    counter_calls: Vec<u64>,
    /// When each backend was started.
    started: [Millis; BACKENDS.len()],
}

fn class(name: &str, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_objective: 800.0,
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 4000.0,
        priority_weight: 1.0,
        late_response_value: 0.0,
    }
}

fn plan(name: &str, rate: f64, max_in_flight: u32) -> Plan {
    Plan {
        name: name.into(),
        rate,
        burst: 4.0 * rate,
        max_in_flight,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        priority_factor: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
    }
}

fn settings() -> Settings {
    Settings {
        gateway_count: 1,
        zone: "z".into(),
        tick: 4.0,
        classes: vec![
            class("safe", Idempotency::Idempotent),
            class("keyed", Idempotency::WithKey),
            class("unsafe", Idempotency::NonIdempotent),
        ],
        plans: vec![plan("plain", 50.0, 0), plan("capped", 50.0, 2)],
        has_counter: true,
        counter_timeout: 50.0,
        max_request_units: 1.0,
        max_attempts: 4,
        max_retry_after: 2000.0,
        slow_start_share: 0.2,
        slow_start_duration: 18_000.0,
        overload_multiple: 2.0,
        overload_window: 3000.0,
        ..Settings::default()
    }
}

impl Host {
    fn new(seed: u64, not_started: NotStarted) -> Self {
        let mut host = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1000.0,
            decisions: Gateway::new(settings(), seed).expect("usable settings"),
            not_started,
            requests: BTreeMap::new(),
            last_request: 0,
            last_connection: 0,
            events: VecDeque::new(),
            timers: Vec::new(),
            counter_calls: Vec::new(),
            started: [0.0; BACKENDS.len()],
        };
        host.send_list(&[BackendState::Ready; BACKENDS.len()]);
        host.handle_events();
        host
    }

    fn send_list(&mut self, states: &[BackendState]) {
        let entry = |(number, state): (usize, &BackendState)| BackendEntry {
            name: BACKENDS[number].into(),
            zone: "z".into(),
            cell: 0,
            state: *state,
            started: Some(self.started[number]),
            placement: Placement::default(),
        };
        let entries = states.iter().enumerate().map(entry).collect();
        self.events.push_back(Event::BackendList(entries));
    }

    /// One iteration of the event loop: several things happen before any of their events is handled.
    fn iterate(&mut self) -> Result<(), String> {
        self.now += self.rng.random_range(1.0..60.0);
        for _ in 0..self.rng.random_range(1..5) {
            match self.rng.random_range(0..10) {
                0..3 => self.open_connection(),
                3..7 => self.advance_attempts(),
                7 => self.close_connection(),
                8 => self.end_counter_calls(),
                _ => self.change_backends(),
            }
        }
        self.expire_deadlines();
        self.fire_timers();
        self.handle_events();
        self.check()
    }

    /// A client connects and sends some requests at once.
    fn open_connection(&mut self) {
        self.last_connection += 1;
        let plan = if self.rng.random_bool(0.5) { "plain" } else { "capped" };
        for _ in 0..self.rng.random_range(1..=MAX_PIPELINED) {
            self.last_request += 1;
            let class = ["safe", "keyed", "unsafe"][self.rng.random_range(0..3)];
            let request = HostRequest {
                lifecycle: RequestLifecycle::new(usize::MAX),
                connection: self.last_connection,
                backend: Name::default(),
                deadline: self.now + CLIENT_TIMEOUT,
            };
            self.requests.insert(self.last_request, request);
            self.events.push_back(Event::RequestReceived(IncomingRequest {
                id: self.last_request,
                customer: format!("{plan}-{}", self.rng.random_range(0..3)).as_str().into(),
                plan: plan.into(),
                class: class.into(),
                units: 1.0,
                client_retry: false,
                timeout: CLIENT_TIMEOUT,
                first_gateway: 0,
                gateway_count: 1,
                sticky_route: Name::default(),
            }));
        }
    }

    /// All requests of a connection learn at once that their client has disconnected.
    fn close_connection(&mut self) {
        let connections: BTreeSet<u64> = self.requests.values().map(|request| request.connection).collect();
        if connections.is_empty() {
            return;
        }
        let chosen = self.rng.random_range(0..connections.len());
        let connection = connections.into_iter().nth(chosen);
        let of_connection = |request: &HostRequest| Some(request.connection) == connection;
        let ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| of_connection(r)).map(|(id, _)| *id).collect();
        for id in ids {
            self.handle_request_event(id, LifecycleEvent::ClientDisconnected);
        }
    }

    /// Some attempts proceed or end, each in one of the ways that a connection can report.
    fn advance_attempts(&mut self) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let served = LifecycleEvent::ResponseReceived { reply: BackendReply::Value, units: Some(2.0) };
            let failed = LifecycleEvent::ResponseReceived { reply: BackendReply::Failed, units: None };
            let rejected = LifecycleEvent::ResponseReceived { reply: BackendReply::Rejected, units: None };
            let events = match self.rng.random_range(0..12) {
                0 => vec![LifecycleEvent::Connected],
                1 => vec![LifecycleEvent::Connected, LifecycleEvent::RequestSent],
                2 | 3 => vec![LifecycleEvent::Connected, LifecycleEvent::RequestSent, served],
                4 => vec![LifecycleEvent::Connected, LifecycleEvent::RequestSent, failed],
                5 => vec![LifecycleEvent::Connected, LifecycleEvent::RequestSent, rejected],
                6 => vec![LifecycleEvent::ConnectionLost],
                7 => vec![LifecycleEvent::Withdrawn],
                8 => vec![LifecycleEvent::InvalidResponse],
                _ => Vec::new(),
            };
            let has_attempt =
                |host: &Self| host.requests.get(&id).is_some_and(|request| request.lifecycle.has_attempt());
            for event in events {
                if has_attempt(self) {
                    self.handle_request_event(id, event);
                }
            }
        }
    }

    fn end_counter_calls(&mut self) {
        for counter in std::mem::take(&mut self.counter_calls) {
            let outcome = match self.rng.random_range(0..4) {
                0 => CounterOutcome::Unknown,
                1 => CounterOutcome::NotAdded,
                _ => CounterOutcome::Total(self.rng.random_range(0.0..100.0)),
            };
            self.events.push_back(Event::CounterCallEnded { counter, outcome, latency: 5.0 });
        }
    }

    /// The endpoint list changes: backends drain, are removed, come back or are restarted.
    fn change_backends(&mut self) {
        let mut states = [BackendState::Ready; BACKENDS.len()];
        for (state, started) in states.iter_mut().zip(&mut self.started) {
            match self.rng.random_range(0..8) {
                0 => *state = BackendState::Draining,
                1 => *state = BackendState::Removed,
                2 => *started = self.now,
                _ => {}
            }
        }
        self.send_list(&states);
    }

    fn expire_deadlines(&mut self) {
        let is_expired = |request: &HostRequest| request.deadline <= self.now;
        let ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| is_expired(r)).map(|(id, _)| *id).collect();
        for id in ids {
            self.handle_request_event(id, LifecycleEvent::DeadlineExpired);
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.timers.extract_if(.., |(at, _)| *at <= now).collect();
        self.events.extend(due.into_iter().map(|(_, token)| Event::TimerExpired { token }));
    }

    fn handle_request_event(&mut self, id: RequestId, event: LifecycleEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut actions = Vec::new();
        request.lifecycle.handle(event, &mut actions);
        for action in actions {
            match action {
                LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent } => {
                    let backend = self.requests[&id].backend.clone();
                    let end = AttemptEnd::not_started(id, backend);
                    let end = AttemptEnd { outcome, true_units, final_response_sent, latency: 20.0, ..end };
                    self.events.push_back(Event::AttemptEnded(end));
                }
                LifecycleAction::AbandonRequest => self.events.push_back(Event::ClientDisconnected { id }),
                LifecycleAction::Finished => {
                    self.requests.remove(&id);
                }
                _ => {}
            }
        }
    }

    fn handle_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.decisions.handle(self.now, event, &mut actions);
            assert_eq!(self.decisions.count_mismatches(), [], "counts of the decisions alone");
            let mut not_started = Vec::new();
            for action in actions {
                if let ActionOutcome::AttemptNotStarted(end) = self.execute_action(action) {
                    not_started.push(end);
                }
            }
            if self.not_started == NotStarted::Reported {
                for end in not_started.into_iter().rev() {
                    self.events.push_front(Event::AttemptEnded(end));
                }
            }
        }
    }

    fn execute_action(&mut self, action: Action) -> ActionOutcome {
        match action {
            Action::SendAttempt { id, backend, .. } => {
                let Some(request) = self.requests.get_mut(&id) else {
                    return ActionOutcome::AttemptNotStarted(AttemptEnd::not_started(id, backend));
                };
                request.backend = backend;
                request.lifecycle.handle(LifecycleEvent::AttemptStarted, &mut Vec::new());
            }
            Action::Reject { id, retry_after, reason } => {
                self.handle_request_event(id, LifecycleEvent::Rejected { retry_after, reason });
            }
            Action::Fail { id } => self.handle_request_event(id, LifecycleEvent::Failed),
            Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
            Action::AddToCounter { counter, .. } => self.counter_calls.push(counter),
            _ => {}
        }
        ActionOutcome::Done
    }

    /// Compares the attempts that the decisions count with those that the host has.
    fn check(&self) -> Result<(), String> {
        let has_attempt = |(_, request): &(&RequestId, &HostRequest)| request.lifecycle.has_attempt();
        let own: BTreeMap<RequestId, &Name> =
            self.requests.iter().filter(has_attempt).map(|(id, request)| (*id, &request.backend)).collect();
        let counted: BTreeMap<RequestId, &Name> = self.decisions.attempts_in_flight().collect();
        if own == counted { Ok(()) } else { Err(format!("the host has {own:?}, the decisions {counted:?}")) }
    }

    /// All clients disconnect and all attempts end: nothing may stay taken.
    fn finish(&mut self) -> Result<(), String> {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.handle_request_event(id, LifecycleEvent::ClientDisconnected);
            self.handle_request_event(id, LifecycleEvent::DeadlineExpired);
        }
        self.end_counter_calls();
        self.handle_events();
        self.check()?;
        let backends: u32 = self.decisions.backends().map(|backend| backend.in_flight).sum();
        let customers: u32 = self.decisions.customers().map(|customer| customer.in_flight).sum();
        let waiting: usize = self.decisions.customers().map(|customer| customer.waiting).sum();
        let taken = (backends, customers, waiting);
        if taken == (0, 0, 0) { Ok(()) } else { Err(format!("still taken: {taken:?}")) }
    }
}

fn play(seed: u64, not_started: NotStarted) -> Result<(), String> {
    let mut host = Host::new(seed, not_started);
    for _ in 0..ITERATIONS {
        host.iterate()?;
    }
    host.finish()
}

/// Guards against places at backends and of customers that are taken and never released.
#[test]
fn every_count_equals_its_recount_whatever_the_order_of_events() {
    for seed in 0..SEEDS {
        play(seed, NotStarted::Reported).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// The check of the check: a host that forgets attempts of ended requests is found.
#[test]
fn attempts_that_a_host_forgets_are_found() {
    let found = (0..SEEDS).filter(|seed| play(*seed, NotStarted::Forgotten).is_err()).count();
    assert_eq!(found as u64, SEEDS);
}
