//! Outlier gossip: probes of suspected nodes under a lease, and verdicts for the decisions.

use super::calls::CallFailure;
use super::connections::Purpose;
use super::link::Channel;
use super::settings::outlier_settings;
use super::{Fleet, ShutdownStage};
use crate::io::Io;
use doorcourse_config::{Node, OUTLIER_PROBE_TASK, OutlierGossipConfig};
use doorcourse_event_loop::boot_time_ms;
use doorcourse_lease::{Millis, task_of};
use doorcourse_outlier_gossip::{Input, NodeStatus, OutlierGossip, Output, Verdict, decode, encode};
use doorcourse_peers::{GatewayNumber, ReceivedPayload};

/// The shortest time between two observations of the nodes, in ms.
const MIN_OBSERVATION_INTERVAL_MS: Millis = 10;
/// The body of a probe: a query that every GraphQL server answers and that has no effect.
const PROBE_QUERY: &str = "{\"query\":\"{__typename}\"}";

/// The outlier gossip with its settings.
pub(super) struct OutlierMonitor {
    gossip: OutlierGossip,
    config: OutlierGossipConfig,
}

impl OutlierMonitor {
    /// A monitor with these settings, which keeps the state of an earlier monitor.
    pub(super) fn configured(
        earlier: Option<Self>, gateway: GatewayNumber, config: OutlierGossipConfig,
    ) -> Self {
        let settings = outlier_settings(gateway, &config);
        let mut gossip = earlier.map_or_else(|| OutlierGossip::new(settings), |monitor| monitor.gossip);
        gossip.configure(settings);
        Self { gossip, config }
    }

    fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.gossip.handle(now, input, &mut outputs);
        outputs
    }
}

impl Fleet {
    /// Whether an observation of the nodes is due, for which [`Fleet::observe_nodes`] is to be called.
    pub(crate) fn wants_observation(&self) -> bool {
        self.shutdown == ShutdownStage::Running
            && self.outliers.is_some()
            && boot_time_ms() >= self.next_observation_at
    }

    /// Reports the decisions' status of the nodes to the outlier gossip, and executes its outputs. `nodes` contains the
    /// addresses for probes.
    pub(crate) fn observe_nodes(&mut self, io: &mut Io, statuses: Vec<NodeStatus>, nodes: &[Node]) {
        let now = boot_time_ms();
        let Some(monitor) = &mut self.outliers else { return };
        // Probes start at observations, so one that is due starts at most half a probe interval late.
        let interval = (monitor.config.probe_interval_ms / 2).max(MIN_OBSERVATION_INTERVAL_MS);
        self.next_observation_at = now + interval;
        let probe_timeout = monitor.config.probe_timeout_ms;
        let permit = self
            .leases
            .as_ref()
            .and_then(|leases| leases.may_act(now, task_of(OUTLIER_PROBE_TASK), probe_timeout).ok());
        let lease_token = permit.map(|permit| permit.token);
        let outputs = monitor.handle(now, Input::Tick { nodes: statuses, lease_token });
        self.handle_outlier_outputs(io, now, outputs, nodes);
    }

    /// Processes an outlier gossip message of a peer.
    pub(super) fn receive_outlier_message(&mut self, io: &mut Io, now: Millis, received: &ReceivedPayload) {
        let Some(message) = decode(&received.payload) else { return };
        let Some(monitor) = &mut self.outliers else { return };
        let outputs = monitor.handle(now, Input::MessageReceived { from: received.sender, message });
        // A message never causes a probe, so no addresses are needed.
        self.handle_outlier_outputs(io, now, outputs, &[]);
    }

    fn handle_outlier_outputs(&mut self, io: &mut Io, now: Millis, outputs: Vec<Output>, nodes: &[Node]) {
        for output in outputs {
            match output {
                Output::Broadcast(message) => {
                    self.link.broadcast(io, now, Channel::Outliers, &encode(&message));
                }
                Output::SendProbe(node) => self.start_probe(io, now, node, nodes),
                Output::VerdictChanged(verdict) => self.handle_verdict(verdict),
            }
        }
    }

    fn handle_verdict(&mut self, verdict: Verdict) {
        let Verdict { node, is_outlier, age_ms, reporting_gateways, .. } = &verdict;
        tracing::info!(
            target: "doorcourse::fleet", node, is_outlier, age_ms, reporting_gateways, "outlier verdict"
        );
        if self.outliers.as_ref().is_some_and(|monitor| monitor.config.affects_decisions) {
            self.verdicts.push_back(verdict);
        }
    }

    fn start_probe(&mut self, io: &mut Io, now: Millis, node: String, nodes: &[Node]) {
        let timeout = self.outliers.as_ref().map_or(0, |monitor| monitor.config.probe_timeout_ms);
        let address = nodes.iter().find(|found| *found.entry.name == *node).map(|found| found.address);
        let started = match address {
            Some(address) => {
                let purpose = Purpose::Probe { node: node.clone(), deadline: now + timeout };
                self.connect(io, address, purpose)
            }
            None => Err(CallFailure::ConnectFailed),
        };
        if let Err(failure) = started {
            self.end_probe(now, &node, Err(failure));
        }
    }

    /// Writes a probe once its connection is established.
    pub(super) fn write_probe(&mut self, io: &Io, now: Millis, slot: usize, node: &str) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.set_request(&probe_request(&self.endpoint_path));
        if let Err(failure) = connection.flush_request(io, slot) {
            self.end_probe(now, node, Err(failure));
        }
    }

    /// Ends the probe of a node and reports its result. The next observation, which derives the verdict, is due at
    /// once.
    pub(super) fn end_probe(&mut self, now: Millis, node: &str, result: Result<(), CallFailure>) {
        let is_probe =
            |purpose: &Purpose| matches!(purpose, Purpose::Probe { node: probed, .. } if probed == node);
        if let Some(slot) = self.find_connection(is_probe) {
            self.connections.remove(slot);
        }
        let succeeded = result.is_ok();
        let reason = result.err().map(tracing::field::display);
        tracing::info!(target: "doorcourse::fleet", node, succeeded, reason, "suspected node probed");
        if let Some(monitor) = &mut self.outliers {
            monitor.handle(now, Input::ProbeFinished { node: node.to_owned(), succeeded });
        }
        self.next_observation_at = now;
    }

    /// Ends the probes that were not answered by their deadline.
    pub(super) fn end_overdue_probes(&mut self, now: Millis) {
        let overdue = |purpose: &Purpose| match purpose {
            Purpose::Probe { node, deadline } if *deadline <= now => Some(node.clone()),
            _ => None,
        };
        let nodes: Vec<String> =
            self.connections.iter().filter_map(|(_, connection)| overdue(&connection.purpose)).collect();
        for node in nodes {
            self.end_probe(now, &node, Err(CallFailure::TimedOut));
        }
    }

    /// The earliest deadline of the probes in flight.
    pub(super) fn next_probe_deadline(&self) -> Millis {
        let deadlines = self.connections.iter().filter_map(|(_, connection)| match connection.purpose {
            Purpose::Probe { deadline, .. } => Some(deadline),
            Purpose::Call(_) => None,
        });
        deadlines.min().unwrap_or(Millis::MAX)
    }
}

fn probe_request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{PROBE_QUERY}",
        PROBE_QUERY.len()
    )
}
