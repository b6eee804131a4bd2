//! The event loop of a host with one gateway: it passes in events, executes actions, and simulates timers, a counter, a
//! backend and a restart. Time is simulated; a real host uses a clock that agrees with those of the other gateways.

use doorcourse::{
    Action, AttemptEnd, AttemptOutcome, BackendEntry, BackendState, CounterOutcome, DeduplicationScope,
    Event, Gateway, Idempotency, IncomingRequest, Millis, Name, Placement, Plan, RequestClass, RequestId,
    Settings, SettingsError,
};
use std::collections::BTreeMap;

/// When the host restarts its gateway, and when the example ends, in ms.
const RESTART_AT: Millis = 60.0;
const END_AT: Millis = 500.0;
const COUNTER_LATENCY: Millis = 2.0;
const BACKEND_LATENCY: Millis = 40.0;

fn main() -> Result<(), SettingsError> {
    let mut host = Host::new()?;
    host.schedule(0.0, Event::BackendList(vec![backend()]));
    for id in 1..=8 {
        host.schedule(id as Millis * 10.0, Event::RequestReceived(request(id)));
    }
    host.run()
}

/// Events to come, by time in ms and order.
type Agenda = BTreeMap<(u64, u64), Event>;

struct Host {
    gateway: Gateway,
    agenda: Agenda,
    scheduled: u64,
    now: Millis,
    /// The totals of the shared counter.
    totals: BTreeMap<u64, f64>,
    /// The number of the last attempt of each request.
    attempts: BTreeMap<RequestId, u32>,
    restarted: bool,
}

impl Host {
    fn new() -> Result<Self, SettingsError> {
        Ok(Self {
            gateway: Gateway::new(settings(), 42)?,
            agenda: Agenda::new(),
            scheduled: 0,
            now: 0.0,
            totals: BTreeMap::new(),
            attempts: BTreeMap::new(),
            restarted: false,
        })
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.scheduled += 1;
        self.agenda.insert((at.ceil() as u64, self.scheduled), event);
    }

    fn run(&mut self) -> Result<(), SettingsError> {
        while let Some(((at, _), event)) = self.agenda.pop_first() {
            self.now = at as Millis;
            if self.now > END_AT {
                break;
            }
            if self.now > RESTART_AT && !self.restarted {
                self.restart()?;
            }
            let mut actions = Vec::new();
            self.gateway.handle(self.now, event, &mut actions);
            for action in actions {
                self.execute(action);
            }
        }
        Ok(())
    }

    /// Restarts: a new gateway with a fresh seed and the last endpoint list. Requests in flight are lost; their clients
    /// would have to retry them.
    fn restart(&mut self) -> Result<(), SettingsError> {
        self.restarted = true;
        self.gateway = Gateway::new(settings(), 43)?;
        self.agenda.retain(|_, event| matches!(event, Event::RequestReceived(_)));
        self.schedule(self.now, Event::BackendList(vec![backend()]));
        Ok(())
    }

    fn execute(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::SetTimer { after, token } => self.schedule(now + after, Event::TimerExpired { token }),
            Action::AddToCounter { counter, amount, .. } => self.add_to_counter(counter, amount),
            Action::SendAttempt { id, backend, .. } => {
                println!("{now:>5} ms  {id} sent to {backend}");
                self.send_attempt(id, backend);
            }
            Action::Reject { id, retry_after, .. } => {
                println!("{now:>5} ms  {id} rejected, retry after {retry_after:.0} ms");
            }
            Action::Fail { id } => println!("{now:>5} ms  {id} failed"),
            Action::Log(line) => println!("{now:>5} ms  log: {line}"),
            Action::CancelAttempt { .. }
            | Action::CheckHealth { .. }
            | Action::Gossip { .. }
            | Action::WatchBackends => {}
        }
    }

    fn add_to_counter(&mut self, counter: u64, amount: f64) {
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        let outcome = CounterOutcome::Total(*total);
        let end = Event::CounterCallEnded { counter, outcome, latency: COUNTER_LATENCY };
        self.schedule(self.now + COUNTER_LATENCY, end);
    }

    /// The backend serves every attempt.
    fn send_attempt(&mut self, id: RequestId, backend: Name) {
        let attempt = *self.attempts.entry(id).and_modify(|number| *number += 1).or_insert(0);
        let end = AttemptEnd {
            id,
            attempt,
            backend,
            outcome: AttemptOutcome::Served,
            latency: BACKEND_LATENCY,
            true_units: None,
            final_response_sent: true,
            load_report: None,
        };
        self.schedule(self.now + BACKEND_LATENCY, Event::AttemptEnded(end));
    }
}

fn backend() -> BackendEntry {
    BackendEntry {
        placement: Placement::default(),
        name: "b1".into(),
        zone: "a".into(),
        cell: 0,
        state: BackendState::Ready,
        started: None,
    }
}

fn request(id: RequestId) -> IncomingRequest {
    IncomingRequest {
        id,
        customer: "customer".into(),
        plan: "basic".into(),
        class: "read".into(),
        units: 1.0,
        client_retry: false,
        timeout: 900.0,
        first_gateway: 0,
        gateway_count: 1,
        sticky_route: Name::default(),
    }
}

fn settings() -> Settings {
    let class = RequestClass {
        name: "read".into(),
        latency_objective: 500.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
        priority_weight: 1.0,
        late_response_value: 0.0,
    };
    let plan = Plan {
        name: "basic".into(),
        rate: 5.0,
        burst: 4.0,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        priority_factor: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
    };
    Settings {
        gateway_count: 1,
        zone: "a".into(),
        tick: 1.0,
        classes: vec![class],
        plans: vec![plan],
        has_counter: true,
        counter_timeout: 50.0,
        max_attempts: 3,
        max_retry_after: 1000.0,
        slow_start_share: 0.2,
        slow_start_duration: 10_000.0,
        ..Settings::default()
    }
}
