//! Settings with room to change, and a gateway driven by scripted events.
#![allow(dead_code)]

use doorcourse::*;

/// One safe, one keyed and one unsafe class; a small plan, one under a ceiling and one with an open cap.
pub fn settings() -> Settings {
    let class = |name: &str, effect, group| RequestClass {
        name: name.into(),
        aim: 800.0,
        effect,
        group,
        memory: 4000.0,
        worth: 1.0,
        late_worth: 0.0,
    };
    let plan = |name: &str, open, ceiling: f64| Plan {
        name: name.into(),
        rate: 5.0,
        burst: 10.0,
        open,
        ceiling_rate: 5.0 * ceiling,
        ceiling_burst: 10.0 * ceiling,
        ceiling_slack: ceiling,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
    };
    Settings {
        gateways: 2,
        zone: "z1".into(),
        tick: 4.0,
        classes: vec![
            class("safe", Idempotency::Safe, DeduplicationScope::All),
            class("keyed", Idempotency::Keyed, DeduplicationScope::Cell),
            class("unsafe", Idempotency::Unsafe, DeduplicationScope::All),
        ],
        plans: vec![plan("plain", 0, 0.0), plan("ceiling", 0, 1.6), plan("capped", 2, 0.0)],
        counter: true,
        counter_timeout: 50.0,
        most_units: 1.0,
        probes: true,
        cancel: true,
        most_attempts: 4,
        longest_advice: 2000.0,
        cold_share: 0.2,
        cold_time: 18_000.0,
        fall_multiple: 2.0,
        fall_time: 3000.0,
        ..Settings::default()
    }
}

/// A list line; backends named `a…` are in cell 0, all others in cell 1.
pub fn backend(name: &str, state: BackendState, started: Option<Millis>) -> BackendEntry {
    let cell = u64::from(!name.starts_with('a'));
    BackendEntry { name: name.into(), zone: "z1".into(), cell, state, started, place: Placement::default() }
}

/// A gateway, its clock and what it did at the last event.
pub struct Door {
    pub gateway: Gateway,
    pub now: Millis,
    pub did: Vec<Action>,
}

impl Door {
    pub fn new(settings: Settings, backends: &[&str]) -> Self {
        Self::seeded(settings, 1, backends)
    }

    pub fn seeded(settings: Settings, seed: u64, backends: &[&str]) -> Self {
        let gateway = Gateway::new(settings, seed).expect("usable settings");
        let mut door = Self { gateway, now: 1000.0, did: Vec::new() };
        let list = backends.iter().map(|name| backend(name, BackendState::Ready, None)).collect();
        door.tell(Event::BackendList(list));
        door
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        self.did.clear();
        self.gateway.handle(self.now, event, &mut self.did);
        self.did.clone()
    }

    /// Lets time pass and runs the housekeeping timer and the hold timers of the requests named.
    pub fn pass(&mut self, span: Millis, requests: &[RequestId]) -> Vec<Action> {
        self.now += span;
        let mut all = self.tell(Event::Timer { token: 1 });
        for id in requests {
            all.extend(self.tell(Event::Timer { token: id * 2 }));
        }
        all
    }

    pub fn ask(&mut self, id: RequestId, customer: &str, plan: &str, class: &str) -> Vec<Action> {
        self.ask_of(id, customer, plan, class, false, 2)
    }

    /// The same for a customer of so many gateways, as a first try or as the client's repeat.
    pub fn ask_of(
        &mut self, id: RequestId, customer: &str, plan: &str, class: &str, repeat: bool, spread: u32,
    ) -> Vec<Action> {
        self.tell(Event::Request(IncomingRequest {
            id,
            customer: customer.into(),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            repeat,
            patience: 2000.0,
            first: 0,
            spread,
            bound: Name::default(),
        }))
    }

    pub fn end(
        &mut self, id: RequestId, attempt: u32, backend: &Name, outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.end_after(100.0, id, attempt, backend, outcome)
    }

    pub fn end_after(
        &mut self, latency: Millis, id: RequestId, attempt: u32, backend: &Name, outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            backend: backend.clone(),
            outcome,
            latency,
            true_units: None,
            finished: outcome == AttemptOutcome::Served,
            load: None,
        }))
    }

    /// A first attempt is served, and tells its true units.
    pub fn answer(&mut self, id: RequestId, backend: &Name, units: f64) -> Vec<Action> {
        let (attempt, backend, true_units) = (0, backend.clone(), Some(units));
        let (outcome, latency, finished, load) = (AttemptOutcome::Served, 100.0, true, None);
        let end = AttemptEnd { id, attempt, backend, outcome, latency, true_units, finished, load };
        self.tell(Event::AttemptEnded(end))
    }

    /// Answers a counter call with a total.
    pub fn total(&mut self, name: u64, total: f64) -> Vec<Action> {
        self.tell(Event::Counted { name, outcome: CounterOutcome::Total(total), latency: 2.0 })
    }

    /// A request that finds the counter answering `others` + what this gateway adds; gives where it was sent.
    pub fn served(&mut self, id: RequestId, customer: &str, plan: &str, class: &str) -> Name {
        let mut did = self.ask(id, customer, plan, class);
        if let Some((name, amount)) = count(&did) {
            did = self.total(name, amount);
        }
        sent(&did).expect("sent on").1
    }
}

/// The first counter call among actions: its name and amount.
pub fn count(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|a| match a {
        Action::Count { name, amount, .. } => Some((*name, *amount)),
        _ => None,
    })
}

/// The first send among actions.
pub fn sent(actions: &[Action]) -> Option<(RequestId, Name)> {
    actions.iter().find_map(|a| match a {
        Action::Send { id, backend, .. } => Some((*id, backend.clone())),
        _ => None,
    })
}

/// How many requests were sent on.
pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

/// Whether a request got a refusal.
pub fn refused(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id, .. } if *id == which))
}

/// Whether a request got a failure.
pub fn failed(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id } if *id == which))
}

/// An action as text that does not depend on any Rust name: recorded digests outlive renames.
pub fn stable_text(action: &Action) -> String {
    match action {
        Action::Send { id, backend, timeout, window } => {
            format!("Send {{ id: {id}, backend: {backend:?}, timeout: {timeout:?}, window: {window:?} }}")
        }
        Action::Refuse { id, retry_after, why } => {
            let why = match why {
                RejectReason::Quota => "Quota",
                RejectReason::Busy => "Busy",
            };
            format!("Refuse {{ id: {id}, retry_after: {retry_after:?}, why: {why} }}")
        }
        Action::Fail { id } => format!("Fail {{ id: {id} }}"),
        Action::CallOff { id, attempt } => format!("CallOff {{ id: {id}, attempt: {attempt} }}"),
        Action::SetTimer { after, token } => format!("SetTimer {{ after: {after:?}, token: {token} }}"),
        Action::Probe { backend } => format!("Probe {{ backend: {backend:?} }}"),
        Action::Count { name, amount, keep } => {
            format!("Count {{ name: {name}, amount: {amount:?}, keep: {keep:?} }}")
        }
        Action::Tell { bytes } => format!("Tell {{ bytes: {bytes:?} }}"),
        Action::WatchBackends => "WatchBackends".to_owned(),
        Action::Log(line) => format!("Log({line:?})"),
    }
}
