//! The gateway: takes one event, hands it to the module that owns it, collects the actions.

use crate::balancer::backend::Backend;
use crate::balancer::endpoints::EndpointTable;
use crate::check::check;
use crate::counter::results::SILENT_AFTER;
use crate::maintenance::{SWEEP, SWEEP_TOKEN};
use crate::quota::customer::Customer;
use crate::random::mix;
use crate::request::Request;
use crate::*;
use std::collections::{BTreeMap, VecDeque};

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) random: u64,
    pub(crate) now: Millis,
    pub(crate) backends: BTreeMap<Name, Backend>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) customers: BTreeMap<Name, Customer>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: VecDeque<RequestId>,
    pub(crate) counter_calls: BTreeMap<u64, Name>,
    /// Calls without an answer in time, oldest first: count, customer, window, block, what was owed.
    pub(crate) timed_out_calls: VecDeque<(u64, Name, u64, f64, f64)>,
    /// The share of the calls wanted that the counter can bear, by how fast it answers.
    pub(crate) call_rate: f64,
    /// The share of first totals with room left, for each plan: of first tries, and of clients' repeats.
    pub(crate) plan_admit_probability: Vec<[f64; 2]>,
    /// Of thin customers: the share of tries that fits and when that was heard, here or by another gateway.
    pub(crate) admit_probabilities: BTreeMap<u64, (f64, Millis)>,
    pub(crate) consecutive_timeouts: u32,
    /// The last silence: since when, and until when.
    pub(crate) outage: (Millis, Millis),
    pub(crate) last_total_at: Millis,
    pub(crate) outage_logged: bool,
    pub(crate) class_latency: Vec<f64>,
    pub(crate) late_fraction: f64,
    pub(crate) maintenance_started: bool,
    pub(crate) draining: bool,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let class_latency = vec![0.0; settings.classes.len()];
        let plan_odds = vec![[1.0, 0.0]; settings.plans.len()];
        let random = mix(seed | 1);
        let mut new = Self {
            settings,
            random,
            call_rate: 1.0,
            plan_admit_probability: plan_odds,
            class_latency,
            ..Self::default()
        };
        new.endpoints.configure(&new.settings, new.is_large_fleet(), random);
        Ok(new)
    }

    /// Takes one event at a time and appends what the host is to do.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.maintenance_started, true) {
            out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
            if self.settings.watch_on_request {
                out.push(Action::WatchBackends);
            }
        }
        match event {
            Event::SettingsChanged(settings) => self.change_settings(*settings, out),
            Event::StateRestored(views) => self.restore_backends(views),
            Event::ShutdownStarted => self.start_draining(out),
            Event::BackendList(list) => self.update_endpoints(list, true, out),
            Event::BackendChanges(list) => self.update_endpoints(list, false, out),
            Event::BackendListFailed => out.push(Action::WatchBackends),
            Event::RequestReceived(arrival) => self.receive_request(arrival, out),
            Event::AttemptEnded(end) => {
                self.record_backend_outcome(&end, out);
                self.attempt_ended(end, out);
                self.forward_queued(out);
            }
            Event::ClientDisconnected { id } => self.remove_request(id),
            Event::TimerExpired { token: SWEEP_TOKEN } => self.run_maintenance(out),
            Event::TimerExpired { token } => self.wait_expired(token / 2, out),
            Event::CounterCallEnded { counter: name, outcome, latency } => {
                self.counter_call_ended(name, outcome, latency, out)
            }
            Event::GossipReceived { bytes, .. } => self.receive_gossip(&bytes),
            Event::StreamStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
    }

    /// Whether the counter counts as silent.
    pub fn is_counter_silent(&self) -> bool {
        let gap = self.now - self.last_total_at;
        !self.settings.has_counter
            || self.consecutive_timeouts > 1 && gap > self.settings.counter_timeout * SILENT_AFTER
    }

    /// What is held of each customer, for people.
    pub fn customers(&self) -> impl Iterator<Item = CustomerStatus> {
        self.customers.iter().map(|(name, c)| {
            let (name, plan) = (name.clone(), self.settings.plans[c.plan_index].name.clone());
            let (lease, store, owed, waiting) =
                (c.leased_units, c.available_units, c.unreported_units, c.waiting.len());
            CustomerStatus {
                name,
                plan,
                leased_units: lease,
                available_units: store,
                unreported_units: owed,
                waiting,
                in_flight: c.in_flight,
            }
        })
    }

    /// What is known of each backend, for people and for a file that outlives the process.
    pub fn backends(&self) -> impl Iterator<Item = BackendStatus> {
        self.backends.iter().map(|(name, b)| {
            let (name, ready, out, room, started) =
                (name.clone(), b.ready, b.in_flight, b.concurrency_limit, b.started);
            BackendStatus {
                name,
                ready,
                in_flight: out,
                concurrency_limit: room,
                started,
                consecutive_failures: b.consecutive_failures,
                ejected_until: b.ejected_until,
            }
        })
    }
}
