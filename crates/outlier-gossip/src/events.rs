//! What goes in and out.

use crate::{GatewayNumber, Message, Millis, Verdict};

/// How suspects are dealt with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub gateway: GatewayNumber,
    /// Between two trials of the whole fleet, in ms.
    pub probe_interval: Millis,
    /// The share of the nodes that are called bad at most; one always may be.
    pub max_outlier_fraction: f64,
    /// How long a report and a word are believed, in ms.
    pub retention: Millis,
}

/// A node as this gateway's decisions see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Its name.
    pub node: String,
    /// Which start of it, in ms since the Unix epoch; 0 where none is known.
    pub started: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Whether the list lets it be used: nothing is sent to others, no trial either.
    pub ready: bool,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time went by, and the decisions see all nodes so. With the token of the lease while it is held and outlasts a trial.
    Tick {
        /// All nodes.
        nodes: Vec<Seen>,
        /// The lease's token.
        lease_token: Option<u64>,
    },
    /// Another gateway said something.
    MessageReceived {
        /// Who.
        from: GatewayNumber,
        /// What.
        message: Message,
    },
    /// A trial is over.
    ProbeFinished {
        /// Which node.
        node: String,
        /// Whether it answered in time.
        succeeded: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Tell all other gateways.
    Broadcast(Message),
    /// Try a node: a request without effect.
    SendProbe(String),
    /// A node is called bad, or good again, so many ms ago by so many gateways.
    VerdictChanged(Verdict),
}
