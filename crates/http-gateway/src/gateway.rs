//! The event loop of `doorcourse serve`: one thread that waits for readiness and moves messages between the components.
//!
//! Events go to the decision library, to the life cycle of a request or to the life cycle of the process, which decide;
//! the actions that they return become bytes, timers and commands to the components.
//!
//! # Order of an iteration ([`Gateway::run`])
//!
//! 1. Process pending messages.
//! 2. Fire the timers that are due. Before each timer, poll again for disconnected clients if the iteration has
//!    stalled, that is, if its last poll was too long ago (`needs_repoll`).
//! 3. Drive the counter link, then the link to the other gateways.
//! 4. Exchange outlier reports with the other gateways; process pending messages.
//! 5. Report the pending work to the process's life cycle; process pending messages. Exit if it requests that.
//! 6. Wait for readiness until the next timeout; poll once more if the wait ended late.
//! 7. Handle disconnected clients first, then the timers that are due, then all other readiness, in the order of the
//!    poll. Pending messages are processed after each.
//!
//! Thus the disconnect of a client that happened before the wait ended is handled before any attempt starts for its
//! request.

mod admin_calls;
mod construction;
mod endpoints;
mod outliers;
mod pending;
mod process;
mod readiness;
mod settings;
mod signals;
mod state_persistence;
mod status;

pub use construction::GatewayOptions;
pub use signals::Stopper;

use crate::admin::Admin;
use crate::backends::Backends;
use crate::clients::Clients;
use crate::counter::Counter;
use crate::fleet::Fleet;
use crate::io::{Io, Timer};
use crate::monitoring::Monitoring;
use crate::requests::Requests;
use crate::settings_reload::SettingsReload;
use doorcourse::{AccountingCheck, Action, Event, Millis};
use doorcourse_config::Config;
use doorcourse_event_loop::{Ready, SystemCalls};
use doorcourse_graceful_shutdown::needs_repoll;
use doorcourse_lifecycle::{PendingWork, ProcessEvent, ProcessLifecycle};
use endpoints::Endpoints;
use signals::SignalPipe;
use state_persistence::StatePersistence;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

/// The longest single wait for readiness, in ms.
const MAX_WAIT: Millis = 3_600_000.0;

/// A running gateway.
pub struct Gateway {
    config: Arc<Config>,
    io: Io,
    clients: Clients,
    backends: Backends,
    requests: Requests,
    counter: Counter,
    fleet: Option<Fleet>,
    admin: Option<Admin>,
    monitoring: Option<Monitoring>,
    reload: SettingsReload,
    endpoints: Endpoints,
    decisions: doorcourse::Gateway,
    /// The buffer for the actions of one event, reused so that an event needs no allocation.
    actions: Vec<Action>,
    lifecycle: ProcessLifecycle,
    /// The prefix of the request ids that this process makes.
    instance_name: String,
    signals: SignalPipe,
    state: Option<StatePersistence>,
    /// Whether the process's life cycle has requested the exit.
    exit_requested: bool,
    accounting: AccountingCheck,
    /// When the poller was last asked for readiness. An iteration that is still busy long after this has stalled.
    last_poll_at: Millis,
    /// The connection to the process from which this one takes over, until this one serves.
    predecessor: Option<UnixStream>,
}

impl Gateway {
    /// The addresses on which clients are served.
    ///
    /// # Errors
    /// When the operating system does not return the address of a listener.
    pub fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.clients.addresses()
    }

    /// The address of health checks and metrics, if one is configured.
    #[must_use]
    pub fn health_address(&self) -> Option<SocketAddr> {
        self.monitoring.as_ref().and_then(|m| m.address().ok())
    }

    /// Serves until a drain ends. The module's documentation gives the order of an iteration.
    ///
    /// # Errors
    /// When waiting for readiness fails, or the predecessor does not hand over: the gateway cannot serve then.
    pub fn run(&mut self) -> anyhow::Result<()> {
        self.start_serving()?;
        let mut ready = Vec::new();
        loop {
            self.process_pending();
            self.fire_timers()?;
            let counter_due = self.counter.handle_timeout(&mut self.io);
            self.tick_fleet();
            self.exchange_outliers();
            self.process_pending();
            self.tick_lifecycle();
            self.process_pending();
            self.recover_lost_attempts();
            self.remove_unneeded_timers();
            if self.exit_requested {
                self.finish();
                return Ok(());
            }
            self.wait_for_readiness(counter_due, &mut ready)?;
            self.handle_ready(&mut ready)?;
        }
    }

    fn start_serving(&mut self) -> anyhow::Result<()> {
        for address in self.addresses()? {
            tracing::info!(%address, name = self.instance_name, "serving");
        }
        if let Some(address) = self.health_address() {
            tracing::info!(%address, "monitoring listener ready");
        }
        self.handle_process_event(ProcessEvent::Started);
        if let Some(predecessor) = self.predecessor.take() {
            crate::takeover::confirm(predecessor)?;
        }
        Ok(())
    }

    fn tick_fleet(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.tick(&mut self.io);
        }
    }

    /// Frees the places of attempts that the decisions count and no request has. There is none unless this gateway is at
    /// fault.
    fn recover_lost_attempts(&mut self) {
        let has_attempt = |request| self.requests.has_attempt(request);
        let lost = self.accounting.check(self.io.now(), &self.decisions, has_attempt);
        debug_assert!(lost.is_empty(), "attempts were lost: {lost:?}");
        debug_assert_eq!(self.decisions.count_mismatches(), []);
        if lost.is_empty() {
            return;
        }
        let total = self.accounting.lost_attempts;
        tracing::error!(target: "doorcourse::decisions", attempts = lost.len(), total, "attempts were lost");
        self.io.events.extend(lost.into_iter().map(Event::AttemptEnded));
        self.process_pending();
    }

    fn remove_unneeded_timers(&mut self) {
        let Self { requests, decisions, clients, .. } = self;
        self.io.timers.remove_unneeded(|timer| match timer {
            Timer::Decision(token) => decisions.needs_timer(*token),
            Timer::RequestDeadline(id) | Timer::RetryDeadline(id, _) => requests.contains(*id),
            Timer::ClientTimeout(slot, generation) => clients.has_connection(*slot, *generation),
            // One for each time that a backend connection became idle, or one at all.
            Timer::BackendIdle(..) | Timer::EndpointListPoll | Timer::StateFileSave => true,
        });
    }

    fn tick_lifecycle(&mut self) {
        let pending = PendingWork {
            requests: self.requests.count(),
            connections: self.clients.count(),
            // Counted only during a drain, because the count visits every connection.
            busy_connections: if self.lifecycle.is_ready() { 0 } else { self.clients.busy_count() },
            counter_calls: self.counter.calls_in_flight(),
            releasing_task_leases: self.fleet.as_ref().is_some_and(Fleet::is_releasing),
            idle_for: self.io.now() - self.clients.last_input_at,
        };
        self.handle_process_event(ProcessEvent::Tick(pending));
    }

    /// Waits until a descriptor is ready or a timeout is due.
    fn wait_for_readiness(&mut self, counter_due: Millis, ready: &mut Vec<Ready>) -> anyhow::Result<()> {
        let lifecycle_due = self.lifecycle.next_timeout(self.io.now());
        let due =
            self.io.timers.next_deadline().unwrap_or(Millis::INFINITY).min(counter_due).min(lifecycle_due);
        // A time span, because the fleet's deadlines are on another clock (`boot_time_ms`).
        let fleet_due_in = self.fleet.as_ref().map_or(Millis::INFINITY, Fleet::next_timeout_in);
        let wait = if due.is_finite() { self.io.clock.until(due) } else { duration(MAX_WAIT) };
        let wait = wait.min(duration(fleet_due_in.min(MAX_WAIT)));
        self.io.poller.wait(Some(wait), ready)?;
        self.last_poll_at = self.io.now();
        if needs_repoll(self.last_poll_at - due) {
            // Readiness is level-triggered: what the first poll reported is reported again.
            self.io.poller.wait(Some(Duration::ZERO), ready)?;
        }
        Ok(())
    }

    /// Saves the state file a last time and logs the totals of the process.
    fn finish(&mut self) {
        self.save_final_state();
        let SystemCalls { reads, writes, waits, registrations: changes, connects } =
            doorcourse_event_loop::system_calls();
        tracing::info!(requests = self.requests.total, reads, writes, waits, changes, connects, "stopped");
    }
}

fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}
