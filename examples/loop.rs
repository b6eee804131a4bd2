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
        aim: 500.0,
        effect: Idempotency::Safe,
        group: DeduplicationScope::All,
        memory: 0.0,
        worth: 1.0,
        late_worth: 0.0,
    };
    let plan = Plan {
        name: "basic".into(),
        rate: 5.0,
        burst: 4.0,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
    };
    Settings {
        gateways: 1,
        zone: "a".into(),
        tick: 1.0,
        classes: vec![class],
        plans: vec![plan],
        counter: true,
        counter_timeout: 50.0,
        most_attempts: 3,
        longest_advice: 1000.0,
        cold_share: 0.2,
        cold_time: 10_000.0,
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
        place: Placement::default(),
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
            repeat: false,
            patience: 900.0,
            first: 0,
            spread: 1,
            bound: Name::default(),
        };
        plan(&mut agenda, id as Millis * 10.0, Event::Request(arrival));
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
            agenda.retain(|_, event| matches!(event, Event::Request(_)));
            plan(&mut agenda, now, Event::BackendList(vec![backend.clone()]));
        }
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => plan(&mut agenda, now + after, Event::Timer { token }),
                Action::Count { name, amount, .. } => {
                    let total = counts.entry(name).or_default();
                    *total += amount;
                    let outcome = CounterOutcome::Total(*total);
                    plan(&mut agenda, now + 2.0, Event::Counted { name, outcome, latency: 2.0 });
                }
                Action::Send { id, backend, .. } => {
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
                        finished,
                        load: None,
                    };
                    plan(&mut agenda, now + latency, Event::AttemptEnded(end));
                }
                Action::Refuse { id, retry_after, .. } => {
                    println!("{now:>5} ms  {id} refused, come back in {retry_after:.0} ms");
                }
                Action::Fail { id } => println!("{now:>5} ms  {id} failed"),
                Action::Log(line) => println!("{now:>5} ms  log: {line}"),
                Action::CallOff { .. }
                | Action::Probe { .. }
                | Action::Tell { .. }
                | Action::WatchBackends => {}
            }
        }
    }
    Ok(())
}
