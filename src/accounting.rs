//! Counts anew what the gateway counts as it goes: places at backends and of customers, waits for the counter, and
//! counter calls. Between two events each count equals the number of requests and attempts that it represents.

use crate::request::RequestStage;
use crate::{AttemptEnd, Gateway, Millis, Name, RequestId};

/// How often a host compares its attempts with the counts, in ms. A debug build compares them each time.
const CHECK_INTERVAL: Millis = 1000.0;

/// What is counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Counted {
    /// The attempts in flight at a backend.
    AttemptsAt(Name),
    /// The requests of a customer that are in flight.
    RequestsOf(Name),
    /// The requests of a customer without a final response.
    OpenRequestsOf(Name),
    /// The requests of a customer that wait for the counter.
    WaitsOf(Name),
    /// The counter calls in flight of a customer.
    CallsOf(Name),
}

/// A count that differs from its recount.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountMismatch {
    /// What is counted.
    pub counted: Counted,
    /// The count that the decisions use.
    pub count: usize,
    /// How many there are.
    pub recount: usize,
}

/// A host's regular comparison of its attempts with those that the decisions count, between two events.
#[derive(Debug, Default)]
pub struct AccountingCheck {
    next_at: Millis,
    /// The attempts that were lost so far.
    pub lost_attempts: u64,
}

impl AccountingCheck {
    /// Returns the ends of lost attempts, which the host reports as [`crate::Event::AttemptEnded`]: without them, their
    /// places would stay taken. `host_has` says whether an attempt of this request is in flight. To be called when all
    /// events are handled.
    pub fn check(
        &mut self, now: Millis, decisions: &Gateway, host_has: impl Fn(RequestId) -> bool,
    ) -> Vec<AttemptEnd> {
        if !cfg!(debug_assertions) && now < self.next_at {
            return Vec::new();
        }
        self.next_at = now + CHECK_INTERVAL;
        let lost = decisions.lost_attempts(host_has);
        self.lost_attempts += lost.len() as u64;
        lost
    }
}

impl Gateway {
    /// The counts that differ from their recounts; there is none unless this library is at fault. Takes time in
    /// proportion to all backends, customers and requests.
    #[must_use]
    pub fn count_mismatches(&self) -> Vec<CountMismatch> {
        let mut mismatches = Vec::new();
        let mut compare = |counted: Counted, count: usize, recount: usize| {
            if count != recount {
                mismatches.push(CountMismatch { counted, count, recount });
            }
        };
        for (name, backend) in &self.backends {
            let recount = self.attempts.iter().filter(|(_, at)| *at == name).count();
            compare(Counted::AttemptsAt(name.clone()), backend.occupancy.count() as usize, recount);
        }
        for (name, customer) in &self.customers {
            let in_flight = customer.occupancy.count() as usize;
            compare(
                Counted::RequestsOf(name.clone()),
                in_flight,
                self.requests_of(name, RequestStage::InFlight),
            );
            let open = self.requests.values().filter(|request| request.customer == *name).count();
            compare(Counted::OpenRequestsOf(name.clone()), customer.open_requests, open);
            let waits = self.requests_of(name, RequestStage::AwaitingCounter);
            compare(Counted::WaitsOf(name.clone()), customer.waiting.len(), waits);
            let calls = self.counter_calls.values().filter(|caller| *caller == name).count();
            compare(Counted::CallsOf(name.clone()), usize::from(customer.pending_call.is_some()), calls);
        }
        mismatches
    }

    /// The requests with an attempt in flight, as the decisions count them, and the backends of the attempts. The host
    /// has each of these attempts between two events; one that it does not have is lost, and its place stays taken
    /// until the host reports its end.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (RequestId, &Name)> {
        self.attempts.iter()
    }

    /// The ends of the attempts that this gateway counts as in flight and the host does not have.
    fn lost_attempts(&self, host_has: impl Fn(RequestId) -> bool) -> Vec<AttemptEnd> {
        let lost = self.attempts_in_flight().filter(|(id, _)| !host_has(*id));
        lost.map(|(id, backend)| AttemptEnd::not_started(id, backend.clone())).collect()
    }

    fn requests_of(&self, customer: &Name, stage: RequestStage) -> usize {
        let is_counted =
            |request: &&crate::request::Request| request.customer == *customer && request.stage == stage;
        self.requests.values().filter(is_counted).count()
    }
}
