//! The gateway object: passes each event to the module that handles it and collects the actions.
//!
//! The path of a request: [`crate::request`] receives it; [`crate::quota`] admits it by its customer's quota, from a
//! lease or after a counter call; [`crate::admission`] sheds load and checks the customer's limit on requests in
//! flight; [`crate::balancer`] selects a backend and forwards the request, which otherwise waits in the queue. Each
//! wait is limited to a share of the class's latency objective. When the attempt ends, [`crate::health`] records the
//! outcome for the backend, and [`crate::retry`] decides on a further attempt or the final response.

use crate::admission::queue::request_of_token;
use crate::admission::shedding::LoadShedder;
use crate::balancer::attempts::AttemptsInFlight;
use crate::balancer::backend::Backend;
use crate::balancer::endpoints::EndpointTable;
use crate::counter::availability::CounterAvailability;
use crate::counter::call_rate::CallRate;
use crate::counter::results::TimedOutCalls;
use crate::health::outcome::SmoothedLatency;
use crate::maintenance::MAINTENANCE_TOKEN;
use crate::quota::customer::Customer;
use crate::quota::sampled::{AdmitEstimates, PlanPrior};
use crate::random::Random;
use crate::request::Request;
use crate::validation::validate;
use crate::{
    Action, BackendStatus, CustomerStatus, Event, Millis, Name, Plan, RequestId, Settings, SettingsError,
};
use std::collections::{BTreeMap, VecDeque};

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    /// The latest time of an event; an event with an earlier time does not set it back.
    pub(crate) now: Millis,
    pub(crate) maintenance_started: bool,
    /// Whether the process shuts down: leases are returned at once, and new ones cover only what waiting requests need.
    /// Requests are handled as before; whether clients are still served is the host's concern.
    pub(crate) returns_leases: bool,

    pub(crate) backends: BTreeMap<Name, Backend>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) attempts: AttemptsInFlight,
    pub(crate) load_shedder: LoadShedder,
    /// One for each class of the settings, in their order.
    pub(crate) smoothed_latencies: Vec<SmoothedLatency>,

    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for a backend, those of higher priority first. Some may have ended since.
    pub(crate) queue: VecDeque<RequestId>,

    pub(crate) customers: BTreeMap<Name, Customer>,
    /// The last customer that maintenance visited, while a pass over all of them is not complete.
    pub(crate) last_maintained: Option<Name>,
    /// The last customer that was looked at as a possible one to forget.
    pub(crate) last_eviction_candidate: Option<Name>,
    /// One for each plan of the settings, in their order.
    pub(crate) plan_priors: Vec<PlanPrior>,
    pub(crate) admit_estimates: AdmitEstimates,

    /// The customer of each counter call in flight, by the counter's name.
    pub(crate) counter_calls: BTreeMap<u64, Name>,
    pub(crate) timed_out_calls: TimedOutCalls,
    pub(crate) call_rate: CallRate,
    pub(crate) counter_availability: CounterAvailability,
}

impl Gateway {
    /// Creates a gateway without endpoints, customers or requests.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn new(mut settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        settings.plans.iter_mut().for_each(Plan::apply_enforced_quota);
        let mut gateway = Self {
            random: Random::new(seed),
            smoothed_latencies: vec![SmoothedLatency::default(); settings.classes.len()],
            plan_priors: vec![PlanPrior::default(); settings.plans.len()],
            settings,
            ..Self::default()
        };
        gateway.endpoints.configure(&gateway.settings, gateway.random);
        Ok(gateway)
    }

    /// Handles one event and appends the actions that the host has to execute, in order. `now` is a time on the host's
    /// clock, in ms.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.start_maintenance(out);
        match event {
            Event::SettingsChanged(settings) => self.change_settings(*settings, out),
            Event::StateRestored(statuses) => self.restore_backends(statuses),
            Event::ShutdownStarted => self.start_returning_leases(out),
            Event::BackendList(entries) => self.replace_endpoints(entries, out),
            Event::BackendChanges(entries) => self.change_endpoints(entries, out),
            Event::BackendListFailed => out.push(Action::WatchBackends),
            Event::RequestReceived(incoming) => self.receive_request(incoming, out),
            Event::AttemptEnded(end) => {
                self.record_backend_outcome(&end, out);
                self.attempt_ended(end, out);
                self.forward_queued(out);
            }
            Event::ClientDisconnected { id } => self.remove_request(id),
            Event::TimerExpired { token: MAINTENANCE_TOKEN } => self.run_maintenance(out),
            Event::TimerExpired { token } => self.wait_expired(request_of_token(token), out),
            Event::CounterCallEnded { counter, outcome, latency } => {
                self.counter_call_ended(counter, outcome, latency, out);
            }
            Event::GossipReceived { bytes, .. } => self.receive_gossip(&bytes),
            Event::StreamStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
    }

    /// Whether the timer with this token has an effect when it expires. The host may drop others.
    #[must_use]
    pub fn needs_timer(&self, token: u64) -> bool {
        token == MAINTENANCE_TOKEN || self.requests.contains_key(&request_of_token(token))
    }

    /// Whether the shared counter is unavailable; always where there is none.
    #[must_use]
    pub fn is_counter_silent(&self) -> bool {
        self.is_counter_unavailable()
    }

    /// Whether the shared counter is unavailable; [`Self::is_counter_silent`] is its public name.
    pub(crate) fn is_counter_unavailable(&self) -> bool {
        let counter_timeout = self.settings.counter_timeout;
        !self.settings.has_counter || self.counter_availability.is_unavailable(self.now, counter_timeout)
    }

    /// The state of each customer at this gateway, ordered by name.
    pub fn customers(&self) -> impl Iterator<Item = CustomerStatus> {
        self.customers.iter().map(|(name, customer)| CustomerStatus {
            name: name.clone(),
            plan: self.settings.plans[customer.plan_index].name.clone(),
            leased_units: customer.lease.units,
            available_units: customer.bucket.available_units,
            unreported_units: customer.unreported_units,
            waiting: customer.waiting.len(),
            in_flight: customer.occupancy.count(),
        })
    }

    /// The state of each backend as this gateway sees it, ordered by name. The host may save it, for the next process
    /// to restore by [`Event::StateRestored`].
    pub fn backends(&self) -> impl Iterator<Item = BackendStatus> {
        self.backends.iter().map(|(name, backend)| BackendStatus {
            name: name.clone(),
            ready: backend.ready,
            in_flight: backend.occupancy.count(),
            concurrency_limit: backend.concurrency_limit.get(),
            started: backend.start_time.reported,
            consecutive_failures: backend.outlier.consecutive_failures,
            ejected_until: backend.outlier.ejected_until,
        })
    }
}
