//! The messages of the outlier gossip and their encoding as protobuf.

use prost::Message as _;

/// A report of a node that fails the requests of the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureReport {
    /// The name of the node.
    pub node: String,
    /// When the node's process was started, in ms since the Unix epoch; 0 where that is not known.
    pub started: u64,
}

/// The lease holder's verdict on a node that it probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The name of the node.
    pub node: String,
    /// When the node's process was started, in ms since the Unix epoch; 0 where that is not known.
    pub started: u64,
    /// Whether the node is an outlier.
    pub is_outlier: bool,
    /// How long ago the node was probed, in ms.
    pub age_ms: u64,
    /// How many gateways the evidence is from, including the gateway that probed the node.
    pub reporting_gateways: u32,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The nodes that fail the requests of the sender.
    Reports(Vec<FailureReport>),
    /// The verdicts of the lease holder.
    Verdicts {
        /// The fencing token of the holder's lease.
        token: u64,
        /// The verdicts.
        verdicts: Vec<Verdict>,
    },
}

/// A report or a verdict. Only a verdict has the fields from tag 3 on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WireNode {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "2")]
    started: u64,
    #[prost(bool, tag = "3")]
    is_outlier: bool,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    #[prost(uint32, tag = "5")]
    reporting_gateways: u32,
}

/// A message of verdicts where there is a token, otherwise a message of reports.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WireMessage {
    #[prost(uint64, optional, tag = "1")]
    token: Option<u64>,
    #[prost(message, repeated, tag = "2")]
    nodes: Vec<WireNode>,
}

impl From<&FailureReport> for WireNode {
    fn from(report: &FailureReport) -> Self {
        Self { node: report.node.clone(), started: report.started, ..Self::default() }
    }
}

impl From<WireNode> for FailureReport {
    fn from(wire: WireNode) -> Self {
        Self { node: wire.node, started: wire.started }
    }
}

impl From<&Verdict> for WireNode {
    fn from(verdict: &Verdict) -> Self {
        Self {
            node: verdict.node.clone(),
            started: verdict.started,
            is_outlier: verdict.is_outlier,
            age_ms: verdict.age_ms,
            reporting_gateways: verdict.reporting_gateways,
        }
    }
}

impl From<WireNode> for Verdict {
    fn from(wire: WireNode) -> Self {
        Self {
            node: wire.node,
            started: wire.started,
            is_outlier: wire.is_outlier,
            age_ms: wire.age_ms,
            reporting_gateways: wire.reporting_gateways,
        }
    }
}

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let wire = match message {
        Message::Reports(reports) => {
            WireMessage { token: None, nodes: reports.iter().map(WireNode::from).collect() }
        }
        Message::Verdicts { token, verdicts } => {
            WireMessage { token: Some(*token), nodes: verdicts.iter().map(WireNode::from).collect() }
        }
    };
    wire.encode_to_vec()
}

/// Decodes a message; `None` where the bytes are not such a protobuf message.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let WireMessage { token, nodes } = WireMessage::decode(bytes).ok()?;
    Some(match token {
        None => Message::Reports(nodes.into_iter().map(FailureReport::from).collect()),
        Some(token) => Message::Verdicts { token, verdicts: nodes.into_iter().map(Verdict::from).collect() },
    })
}

#[cfg(test)]
mod tests;
