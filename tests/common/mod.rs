//! Settings with room to change, and a gateway driven by scripted events.
#![allow(dead_code)]

use doorcourse::*;

/// One safe, one keyed and one unsafe class; a small plan, one under a ceiling and one with an open cap.
pub fn settings() -> Settings {
    let class = |name: &str, effect, group| RequestClass {
        name: name.into(),
        latency_objective: 800.0,
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: 4000.0,
        priority_weight: 1.0,
        late_response_value: 0.0,
    };
    let plan = |name: &str, open, ceiling: f64| Plan {
        name: name.into(),
        rate: 5.0,
        burst: 10.0,
        max_in_flight: open,
        ceiling_rate: 5.0 * ceiling,
        ceiling_burst: 10.0 * ceiling,
        ceiling_slack: ceiling,
        priority_factor: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
    };
    Settings {
        gateway_count: 2,
        zone: "z1".into(),
        tick: 4.0,
        classes: vec![
            class("safe", Idempotency::Idempotent, DeduplicationScope::All),
            class("keyed", Idempotency::WithKey, DeduplicationScope::Cell),
            class("unsafe", Idempotency::NonIdempotent, DeduplicationScope::All),
        ],
        plans: vec![plan("plain", 0, 0.0), plan("ceiling", 0, 1.6), plan("capped", 2, 0.0)],
        has_counter: true,
        counter_timeout: 50.0,
        max_request_units: 1.0,
        health_checks_allowed: true,
        cancellation_allowed: true,
        max_attempts: 4,
        max_retry_after: 2000.0,
        slow_start_share: 0.2,
        slow_start_duration: 18_000.0,
        overload_multiple: 2.0,
        overload_window: 3000.0,
        ..Settings::default()
    }
}

/// A list line; backends named `a…` are in cell 0, all others in cell 1.
pub fn backend(name: &str, state: BackendState, started: Option<Millis>) -> BackendEntry {
    let cell = u64::from(!name.starts_with('a'));
    BackendEntry {
        name: name.into(),
        zone: "z1".into(),
        cell,
        state,
        started,
        placement: Placement::default(),
    }
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
        let mut all = self.tell(Event::TimerExpired { token: 1 });
        for id in requests {
            all.extend(self.tell(Event::TimerExpired { token: id * 2 }));
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
        self.tell(Event::RequestReceived(IncomingRequest {
            id,
            customer: customer.into(),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            client_retry: repeat,
            timeout: 2000.0,
            first_gateway: 0,
            gateway_count: spread,
            sticky_route: Name::default(),
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
            final_response_sent: outcome == AttemptOutcome::Served,
            load_report: None,
        }))
    }

    /// A first attempt is served, and tells its true units.
    pub fn answer(&mut self, id: RequestId, backend: &Name, units: f64) -> Vec<Action> {
        let (attempt, backend, true_units) = (0, backend.clone(), Some(units));
        let (outcome, latency, finished, load) = (AttemptOutcome::Served, 100.0, true, None);
        let end = AttemptEnd {
            id,
            attempt,
            backend,
            outcome,
            latency,
            true_units,
            final_response_sent: finished,
            load_report: load,
        };
        self.tell(Event::AttemptEnded(end))
    }

    /// Answers a counter call with a total.
    pub fn total(&mut self, name: u64, total: f64) -> Vec<Action> {
        self.tell(Event::CounterCallEnded {
            counter: name,
            outcome: CounterOutcome::Total(total),
            latency: 2.0,
        })
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
        Action::AddToCounter { counter: name, amount, .. } => Some((*name, *amount)),
        _ => None,
    })
}

/// The first send among actions.
pub fn sent(actions: &[Action]) -> Option<(RequestId, Name)> {
    actions.iter().find_map(|a| match a {
        Action::SendAttempt { id, backend, .. } => Some((*id, backend.clone())),
        _ => None,
    })
}

/// How many requests were sent on.
pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::SendAttempt { .. })).count()
}

/// Whether a request got a refusal.
pub fn refused(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id, .. } if *id == which))
}

/// Whether a request got a failure.
pub fn failed(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id } if *id == which))
}

/// An action as text that does not depend on any Rust name: recorded digests outlive renames.
pub fn stable_text(action: &Action) -> String {
    match action {
        Action::SendAttempt { id, backend, timeout, must_be_written_within: window } => {
            format!("Send {{ id: {id}, backend: {backend:?}, timeout: {timeout:?}, window: {window:?} }}")
        }
        Action::Reject { id, retry_after, reason: why } => {
            let why = match why {
                RejectReason::QuotaExceeded => "Quota",
                RejectReason::Overloaded => "Busy",
            };
            format!("Refuse {{ id: {id}, retry_after: {retry_after:?}, why: {why} }}")
        }
        Action::Fail { id } => format!("Fail {{ id: {id} }}"),
        Action::CancelAttempt { id, attempt } => format!("CallOff {{ id: {id}, attempt: {attempt} }}"),
        Action::SetTimer { after, token } => format!("SetTimer {{ after: {after:?}, token: {token} }}"),
        Action::CheckHealth { backend } => format!("Probe {{ backend: {backend:?} }}"),
        Action::AddToCounter { counter: name, amount, time_to_live: keep } => {
            format!("Count {{ name: {name}, amount: {amount:?}, keep: {keep:?} }}")
        }
        Action::Gossip { bytes } => format!("Tell {{ bytes: {bytes:?} }}"),
        Action::WatchBackends => "WatchBackends".to_owned(),
        Action::Log(line) => format!("Log({line:?})"),
    }
}
