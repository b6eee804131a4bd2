//! Checks the invariants of one gateway on long seeded streams of legal events in unusual orders. There is no model of
//! backends or fleets: outcomes and totals are drawn at random.

mod common;
use common::*;
use doorcourse::*;
use std::collections::BTreeMap;

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// The checker's record of a request.
struct TrackedRequest {
    class: usize,
    deadline: Millis,
    attempts: u32,
    in_flight: Option<(Name, Millis)>,
    /// The backend and time of the first attempt that may have been executed.
    first_execution: Option<(Name, Millis)>,
    has_response: bool,
}

#[derive(Default)]
struct Checker {
    requests: BTreeMap<RequestId, TrackedRequest>,
    calls: Vec<u64>,
    timers: BTreeMap<(u64, u64), u64>,
    draining: BTreeMap<Name, bool>,
    final_responses: usize,
}

impl Checker {
    fn check(&mut self, now: Millis, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAttempt { id, backend, .. } => self.attempt_sent(now, id, backend),
                Action::Reject { id, .. } => {
                    let known = self.final_response(now, id);
                    let cannot_be_retried_anywhere = known.class == 1 || known.class == 2;
                    assert!(
                        known.first_execution.is_none() || !cannot_be_retried_anywhere,
                        "rejected though it may have been executed"
                    );
                }
                Action::Fail { id } => {
                    self.final_response(now, id);
                }
                Action::CancelAttempt { id, .. } => {
                    assert!(self.requests[&id].class != 2, "a non-idempotent attempt cancelled");
                }
                Action::SetTimer { after, token } => {
                    let order = self.timers.len() as u64;
                    self.timers.insert(((now + after).ceil() as u64, token << 8 | order & 0xff), token);
                }
                Action::AddToCounter { counter: name, .. } => {
                    assert!(!self.calls.contains(&name), "two calls in flight for one counter");
                    self.calls.push(name);
                    assert!(self.calls.len() <= 64, "calls are bounded");
                }
                Action::CheckHealth { .. }
                | Action::Gossip { .. }
                | Action::WatchBackends
                | Action::Log(_) => {}
            }
        }
    }

    fn attempt_sent(&mut self, now: Millis, id: RequestId, backend: Name) {
        assert!(!self.draining.get(&backend).copied().unwrap_or(true), "sent to {backend} after its drain");
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !known.has_response && known.in_flight.is_none(),
            "a second attempt in flight, or after the final response"
        );
        if let Some((executed_on, at)) = &known.first_execution {
            assert!(known.class != 2, "a non-idempotent request retried");
            let same_cell = executed_on.starts_with('a') == backend.starts_with('a');
            assert!(
                known.class == 0 || same_cell && now - at < 4000.0,
                "a keyed retry outside its scope or window"
            );
        }
        known.attempts += 1;
        known.in_flight = Some((backend, now));
    }

    fn final_response(&mut self, now: Millis, id: RequestId) -> &TrackedRequest {
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(!known.has_response, "two final responses");
        assert!(now <= known.deadline + 16.0, "a final response after the client's timeout");
        known.has_response = true;
        self.final_responses += 1;
        known
    }

    fn overdue(&self, now: Millis) -> Option<RequestId> {
        let late = |k: &TrackedRequest| !k.has_response && k.in_flight.is_none() && now > k.deadline + 16.0;
        self.requests.iter().find(|(_, k)| late(k)).map(|(id, _)| *id)
    }
}

fn arrival(random: &mut Random, id: RequestId, timeout: Millis, class: usize) -> Event {
    let plan = ["plain", "ceiling", "capped"][random.below(3) as usize];
    let customer = if random.below(5) == 0 { 1000 + id } else { random.below(12) };
    Event::RequestReceived(IncomingRequest {
        id,
        customer: format!("{plan}-{customer}").as_str().into(),
        plan: plan.into(),
        class: ["safe", "keyed", "unsafe"][class].into(),
        units: 1.0,
        client_retry: random.below(4) == 0,
        timeout,
        first_gateway: random.below(2) as u32,
        gateway_count: random.below(3) as u32,
        sticky_route: Name::default(),
    })
}

/// A gateway, the checker of its actions and the draws of its events.
struct Player {
    random: Random,
    checker: Checker,
    gateway: TestGateway,
}

const NAMES: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];

impl Player {
    fn new(seed: u64) -> Self {
        let mut checker = Checker::default();
        let mut gateway = TestGateway::new(settings(), &NAMES);
        checker.draining.extend(NAMES.iter().map(|n| (Name::from(*n), false)));
        let first = std::mem::take(&mut gateway.actions);
        checker.check(gateway.now, first);
        Self { random: Random(seed), checker, gateway }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.gateway.handle(event);
        self.checker.check(self.gateway.now, actions);
    }

    fn run_timers(&mut self) {
        while let Some(((at, order), token)) = self.checker.timers.first_key_value().map(|(k, t)| (*k, *t)) {
            if at as f64 > self.gateway.now {
                break;
            }
            self.checker.timers.remove(&(at, order));
            self.handle(Event::TimerExpired { token });
        }
    }

    fn end_attempts(&mut self) {
        for (id, event) in outcomes(&mut self.random, &mut self.checker, self.gateway.now) {
            let finished = matches!(&event, Event::AttemptEnded(end) if end.final_response_sent);
            if finished && !self.checker.requests[&id].has_response {
                self.checker.final_response(self.gateway.now, id);
            }
            self.handle(event);
        }
    }

    /// Draws the next event; `None` if the event drawn cannot happen now.
    fn next_event(&mut self, id: RequestId) -> Option<Event> {
        let event = match self.random.below(40) {
            0..20 => self.new_request(id),
            20..34 if !self.checker.calls.is_empty() => self.counter_call_ended(),
            34 | 35 => {
                let name: Name = NAMES[self.random.below(6) as usize].into();
                let drains = self.random.below(2) == 0;
                self.checker.draining.insert(name.clone(), drains);
                let state = if drains { BackendState::Draining } else { BackendState::Ready };
                Event::BackendChanges(vec![backend_entry(&name, state, None)])
            }
            36 => {
                let open = self.checker.requests.iter().find(|(_, known)| !known.has_response);
                let id = open.map(|(id, _)| *id)?;
                self.checker.requests.get_mut(&id).expect("known").has_response = true;
                Event::ClientDisconnected { id }
            }
            _ => Event::ClientDisconnected { id: 900_000_000 },
        };
        Some(event)
    }

    fn new_request(&mut self, id: RequestId) -> Event {
        let class = self.random.below(3) as usize;
        let timeout = 300.0 + self.random.below(2500) as f64;
        let known = TrackedRequest {
            class,
            deadline: self.gateway.now + timeout,
            attempts: 0,
            in_flight: None,
            first_execution: None,
            has_response: false,
        };
        self.checker.requests.insert(id, known);
        arrival(&mut self.random, id, timeout, class)
    }

    fn counter_call_ended(&mut self) -> Event {
        let at = self.random.below(self.checker.calls.len() as u64) as usize;
        let counter = self.checker.calls.remove(at);
        let outcome = match self.random.below(6) {
            0 => CounterOutcome::Unknown,
            1 => CounterOutcome::NotAdded,
            _ => CounterOutcome::Total(self.random.below(25) as f64),
        };
        Event::CounterCallEnded { counter, outcome, latency: 5.0 }
    }
}

/// Plays a stream of events; returns the number of final responses.
fn play(seed: u64) -> usize {
    let mut player = Player::new(seed);
    for id in 1..=6000 {
        player.gateway.now += player.random.below(12) as f64;
        player.run_timers();
        player.end_attempts();
        let Some(event) = player.next_event(id) else { continue };
        player.handle(event);
        assert_eq!(player.checker.overdue(player.gateway.now), None, "a request without its final response");
    }
    player.checker.final_responses
}

/// Ends some of the attempts in flight: at random, and all whose client's timeout is over.
fn outcomes(random: &mut Random, checker: &mut Checker, now: Millis) -> Vec<(RequestId, Event)> {
    let mut events = Vec::new();
    for (id, known) in &mut checker.requests {
        let Some((backend, sent_at)) = known.in_flight.clone() else { continue };
        let overdue = now >= known.deadline;
        if !overdue && random.below(12) != 0 {
            continue;
        }
        let outcome = if overdue {
            AttemptOutcome::TimedOut
        } else {
            let all = [
                AttemptOutcome::Served,
                AttemptOutcome::Error,
                AttemptOutcome::Rejected,
                AttemptOutcome::ConnectFailed,
                AttemptOutcome::ConnectionLost,
            ];
            all[random.below(5) as usize]
        };
        known.in_flight = None;
        let was_never_executed = matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed);
        if !was_never_executed && known.first_execution.is_none() {
            known.first_execution = Some((backend.clone(), sent_at));
        }
        let finished = outcome == AttemptOutcome::Served || known.has_response;
        let attempt = known.attempts - 1;
        let latency = now - sent_at;
        let end = AttemptEnd {
            id: *id,
            attempt,
            backend,
            outcome,
            latency,
            true_units: None,
            final_response_sent: finished,
            load_report: None,
        };
        events.push((*id, Event::AttemptEnded(end)));
    }
    events
}

#[test]
fn invariants_hold_through_long_streams_of_unusual_events() {
    for seed in 1..=6 {
        let final_responses = play(seed);
        assert!(final_responses > 1000, "the stream must reach the responses it checks: {final_responses}");
    }
}
