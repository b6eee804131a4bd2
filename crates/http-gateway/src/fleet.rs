//! This gateway's part in the fleet: the link to its peers, the leases, and the calls and probes that need a lease.
//!
//! This module translates between sockets and three state machines: `doorcourse_peers` decides which datagrams are
//! accepted, `doorcourse_lease` who holds a task and whether a call may be written, `doorcourse_outlier_gossip` which
//! nodes are probed and which are outliers. Their times are in ms since the boot of the machine ([`boot_time_ms`]),
//! unlike those of the event loop.
//!
//! | file | concern |
//! | --- | --- |
//! | `link` | the UDP socket to the peers |
//! | `leases` | inputs and outputs of the lease state machine |
//! | `connections` | HTTP connections of calls and probes |
//! | `calls` | the calls of the tasks that this gateway holds |
//! | `probes` | outlier gossip: probes of suspected nodes, and verdicts |
//! | `settings` | the settings of the three state machines |
//! | `status` | replies and metrics for operators |

mod calls;
mod connections;
mod leases;
mod link;
mod probes;
mod settings;
mod status;

pub(crate) use calls::CallCounts;
pub(crate) use status::FleetMetrics;

use crate::io::Io;
use calls::CallSchedules;
use connections::Connection;
use doorcourse_config::{Config, LeaseConfig};
use doorcourse_event_loop::boot_time_ms;
use doorcourse_lease::{Input, Leases, Millis};
use doorcourse_outlier_gossip::Verdict;
use doorcourse_peers::GatewayNumber;
use link::PeerLink;
use probes::OutlierMonitor;
use std::collections::VecDeque;

/// This gateway's part in the fleet.
pub(crate) struct Fleet {
    gateway: GatewayNumber,
    /// The path of the GraphQL endpoint, to which probes are sent.
    endpoint_path: String,
    link: PeerLink,
    /// `None` if the settings have no leases.
    leases: Option<Leases>,
    calls: CallSchedules,
    /// The HTTP connections of calls and probes.
    connections: slab::Slab<Connection>,
    /// `None` if the settings have no outlier gossip.
    outliers: Option<OutlierMonitor>,
    /// When the outlier gossip next observes the nodes.
    next_observation_at: Millis,
    /// Verdicts that are not yet applied to the decisions.
    pub(crate) verdicts: VecDeque<Verdict>,
    shutdown: ShutdownStage,
}

/// How far this gateway has left the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownStage {
    /// Not at all.
    Running,
    /// It acquires no lease, and waits for the answers of calls before it releases theirs.
    ReleasingLeases,
    /// All leases are released and the link is closed.
    Finished,
}

impl Fleet {
    /// Returns `None` if the settings have no `fleet.link`. Binds the link's socket; with `takes_over` [`Fleet::tick`]
    /// binds it, after the old process of this gateway has confirmed that it leaves the fleet.
    ///
    /// # Errors
    /// When the address cannot be bound, or the settings cannot be used.
    pub(crate) fn new(io: &Io, config: &Config, seed: u64, takes_over: bool) -> anyhow::Result<Option<Self>> {
        let Some(link_config) = config.link.clone() else { return Ok(None) };
        let now = boot_time_ms();
        let gateway = config.decisions.gateway_index;
        // Not 0: peers drop datagrams of incarnation 0.
        let incarnation = seed | 1;
        let mut fleet = Self {
            gateway,
            endpoint_path: config.endpoint_path.clone(),
            link: PeerLink::new(now, link_config, gateway, incarnation)?,
            leases: None,
            calls: CallSchedules::default(),
            connections: slab::Slab::new(),
            outliers: None,
            next_observation_at: now,
            verdicts: VecDeque::new(),
            shutdown: ShutdownStage::Running,
        };
        if !takes_over {
            fleet.bind_link(io)?;
        }
        if let Some(config) = &config.leases {
            let settings = settings::lease_settings(config, fleet.link.config(), gateway, incarnation);
            let leases =
                if takes_over { Leases::taking_over(now, settings) } else { Leases::new(now, settings) };
            fleet.leases = Some(leases?);
            fleet.configure_tasks(now, config);
        }
        Ok(Some(fleet))
    }

    fn bind_link(&mut self, io: &Io) -> anyhow::Result<()> {
        let address = self.link.listen_address();
        self.link
            .bind(io)
            .map_err(|error| anyhow::anyhow!("fleet.link.listen: cannot listen on {address}: {error}"))
    }

    /// Applies changed settings: peers, secrets, voters, tasks and outlier gossip.
    pub(crate) fn configure(&mut self, io: &mut Io, config: &Config) {
        let now = boot_time_ms();
        let Some(link_config) = config.link.clone() else { return };
        if let Err(error) = self.link.configure(now, link_config, self.gateway) {
            return tracing::error!(target: "doorcourse::fleet", %error, "link settings rejected");
        }
        if let Some(leases) = &config.leases {
            self.configure_tasks(now, leases);
            let tasks = settings::task_ids(leases);
            let gateways = settings::gateways(self.link.config(), self.gateway);
            self.handle_lease_input(io, now, Input::TasksChanged { tasks, gateways });
            self.handle_lease_input(io, now, Input::VotersChanged(leases.voters.clone()));
        }
    }

    fn configure_tasks(&mut self, now: Millis, config: &LeaseConfig) {
        self.calls.configure(now, &config.tasks);
        let monitor = self.outliers.take();
        self.outliers =
            config.outlier_gossip.map(|config| OutlierMonitor::configured(monitor, self.gateway, config));
    }

    /// Releases all leases, each once the acts under it are over; then closes the connections and releases the address
    /// for a process that takes over.
    pub(crate) fn shut_down(&mut self, io: &mut Io) {
        if self.shutdown == ShutdownStage::Running {
            self.shutdown = ShutdownStage::ReleasingLeases;
            self.handle_lease_input(io, boot_time_ms(), Input::ShutdownStarted);
            self.finish_shutdown();
        }
    }

    /// Closes the connections and the link once no lease waits for its release.
    fn finish_shutdown(&mut self) {
        if self.shutdown == ShutdownStage::ReleasingLeases && !self.is_releasing() {
            self.shutdown = ShutdownStage::Finished;
            self.connections.clear();
            self.link.close();
        }
    }

    /// Whether a lease waits for the end of a call before it is released.
    pub(crate) fn is_releasing(&self) -> bool {
        self.leases.as_ref().is_some_and(Leases::is_releasing)
    }

    /// The time left until [`Fleet::tick`] or an observation is due, in ms; infinity if nothing is.
    pub(crate) fn next_timeout_in(&self) -> f64 {
        if self.shutdown == ShutdownStage::Finished {
            return f64::INFINITY;
        }
        let now = boot_time_ms();
        let leases = self.leases.as_ref().map_or(Millis::MAX, |leases| {
            leases.next_timeout().min(self.calls.schedule.next_timeout(now, leases))
        });
        let observation = if self.outliers.is_some() { self.next_observation_at } else { Millis::MAX };
        let next = self.link.next_timeout().min(leases).min(observation).min(self.next_probe_deadline());
        if next == Millis::MAX { f64::INFINITY } else { next.saturating_sub(now) as f64 }
    }

    /// Handles due timeouts and starts due calls.
    pub(crate) fn tick(&mut self, io: &mut Io) {
        if self.shutdown == ShutdownStage::Finished {
            return;
        }
        let now = boot_time_ms();
        if self.link.bind_if_due(io, now) {
            self.handle_lease_input(io, boot_time_ms(), Input::PredecessorStopped);
        }
        self.link.tick(now);
        if self.leases.as_ref().is_some_and(|leases| leases.next_timeout() <= now) {
            self.handle_lease_input(io, now, Input::Tick);
        }
        self.end_overdue_calls(now);
        self.end_overdue_probes(now);
        self.start_due_calls(io, now);
        self.finish_shutdown();
    }
}

#[cfg(test)]
mod tests;
