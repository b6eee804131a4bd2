//! The settings, inputs and outputs of the outlier gossip.

use crate::{GatewayNumber, Message, Millis, Verdict};

/// The settings of one gateway's outlier gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub gateway: GatewayNumber,
    /// Between two probes of all gateways of the fleet together, in ms.
    pub probe_interval: Millis,
    /// The fraction of the nodes that may be outliers at the same time, from 0 to 1; one always may be.
    pub max_outlier_fraction: f64,
    /// How long a report and a verdict are valid, in ms.
    pub retention: Millis,
}

/// A node as this gateway's decisions see it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// Its name.
    pub node: String,
    /// Which start of it, in ms since the Unix epoch; 0 where none is known.
    pub started: u64,
    /// Consecutive failures of this gateway's requests.
    pub failures: u32,
    /// Whether the endpoint list allows its use. No request goes to other nodes, and no probe.
    pub ready: bool,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick {
        /// All nodes, as the decisions see them now.
        nodes: Vec<NodeStatus>,
        /// The token of the lease `suspects`, while it is held and outlasts a probe.
        lease_token: Option<u64>,
    },
    /// A message was received from another gateway.
    MessageReceived {
        /// The sender.
        from: GatewayNumber,
        /// The message.
        message: Message,
    },
    /// A probe is over.
    ProbeFinished {
        /// The node.
        node: String,
        /// Whether it answered in time.
        succeeded: bool,
    },
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to all other gateways.
    Broadcast(Message),
    /// Probe the node of this name: a request without effect.
    SendProbe(String),
    /// A node is an outlier, or no longer one.
    VerdictChanged(Verdict),
}
