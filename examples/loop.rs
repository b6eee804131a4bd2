//! A host's loop around one gateway: events in, actions out, timers, a counter, a backend, a restart.
//! Time is a plain number here; a real host uses a clock that agrees with those of the other gateways.

use doorcourse::{
    Action, AttemptEnd, AttemptOutcome, BackendEntry, BackendState, CounterOutcome, DeduplicationScope,
    Event, Gateway, Idempotency, IncomingRequest, Millis, Name, Placement, Plan, RequestClass, Settings,
};
use std::collections::BTreeMap;

/// What is to happen, by time (whole ms) and order.
type Agenda = BTreeMap<(u64, u64), Event>;

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

fn main() -> Result<(), doorcourse::SettingsError> {
    let mut gateway = Gateway::new(settings(), 42)?;
    let (mut agenda, mut order) = (Agenda::new(), 0);
    let mut plan = |agenda: &mut Agenda, at: Millis, event: Event| {
        order += 1;
        agenda.insert((at.ceil() as u64, order), event);
    };
    let backend = BackendEntry {
        placement: Placement::default(),
        name: "b1".into(),
        zone: "a".into(),
        cell: 0,
        state: BackendState::Ready,
        started: None,
    };
    plan(&mut agenda, 0.0, Event::BackendList(vec![backend.clone()]));
    for id in 1..=8 {
        let (customer, name, class) = ("customer".into(), "basic".into(), "read".into());
        let arrival = IncomingRequest {
            id,
            customer,
            plan: name,
            class,
            units: 1.0,
            client_retry: false,
            timeout: 900.0,
            first_gateway: 0,
            gateway_count: 1,
            sticky_route: Name::default(),
        };
        plan(&mut agenda, id as Millis * 10.0, Event::RequestReceived(arrival));
    }
    let (mut counts, mut attempts) = (BTreeMap::<u64, f64>::new(), BTreeMap::<u64, u32>::new());
    let mut restarted = false;
    while let Some(((at, _), event)) = agenda.pop_first() {
        let now = at as Millis;
        if now > 500.0 {
            break;
        }
        if now > 60.0 && !restarted {
            // A restart: a new gateway with a fresh seed and the last list; its requests are the clients' to retry.
            restarted = true;
            gateway = Gateway::new(settings(), 43)?;
            agenda.retain(|_, event| matches!(event, Event::RequestReceived(_)));
            plan(&mut agenda, now, Event::BackendList(vec![backend.clone()]));
        }
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    plan(&mut agenda, now + after, Event::TimerExpired { token })
                }
                Action::AddToCounter { counter: name, amount, .. } => {
                    let total = counts.entry(name).or_default();
                    *total += amount;
                    let outcome = CounterOutcome::Total(*total);
                    plan(
                        &mut agenda,
                        now + 2.0,
                        Event::CounterCallEnded { counter: name, outcome, latency: 2.0 },
                    );
                }
                Action::SendAttempt { id, backend, .. } => {
                    println!("{now:>5} ms  {id} sent to {backend}");
                    let attempt = *attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let (outcome, latency, finished) = (AttemptOutcome::Served, 40.0, true);
                    let end = AttemptEnd {
                        id,
                        attempt,
                        backend,
                        outcome,
                        latency,
                        true_units: None,
                        final_response_sent: finished,
                        load_report: None,
                    };
                    plan(&mut agenda, now + latency, Event::AttemptEnded(end));
                }
                Action::Reject { id, retry_after, .. } => {
                    println!("{now:>5} ms  {id} refused, come back in {retry_after:.0} ms");
                }
                Action::Fail { id } => println!("{now:>5} ms  {id} failed"),
                Action::Log(line) => println!("{now:>5} ms  log: {line}"),
                Action::CancelAttempt { .. }
                | Action::CheckHealth { .. }
                | Action::Gossip { .. }
                | Action::WatchBackends => {}
            }
        }
    }
    Ok(())
}
