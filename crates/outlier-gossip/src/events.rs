//! The settings, inputs and outputs of the outlier gossip.

use crate::{GatewayNumber, Message, Millis, Verdict};

/// The settings of one gateway's outlier gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub gateway: GatewayNumber,
    /// The shortest time between two probes in the whole fleet, in ms.
    pub probe_interval: Millis,
    /// The fraction of the nodes that may be outliers at the same time, from 0 to 1; at least one node may be.
    pub max_outlier_fraction: f64,
    /// How long a report and a verdict are valid, in ms.
    pub retention: Millis,
}

/// The state of a node in this gateway's decision library.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The name of the node.
    pub node: String,
    /// When the node's process was started, in ms since the Unix epoch; 0 where that is not known.
    pub started: u64,
    /// How many of this gateway's requests to the node have failed in a row.
    pub failures: u32,
    /// Whether the endpoint list allows requests to the node. Other nodes get neither requests nor probes.
    pub ready: bool,
}

/// An event that the caller reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick {
        /// All nodes, with their present state in the decision library.
        nodes: Vec<NodeStatus>,
        /// The fencing token of the lease `suspects`, where this gateway holds it and it outlasts a probe.
        lease_token: Option<u64>,
    },
    /// A message was received from another gateway.
    MessageReceived {
        /// The sender.
        from: GatewayNumber,
        /// The message.
        message: Message,
    },
    /// A probe has finished.
    ProbeFinished {
        /// The node.
        node: String,
        /// Whether the node answered in time.
        succeeded: bool,
    },
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to all other gateways.
    Broadcast(Message),
    /// Probe the node of this name with a request that has no effect.
    SendProbe(String),
    /// A node is an outlier, or no longer an outlier.
    VerdictChanged(Verdict),
}
