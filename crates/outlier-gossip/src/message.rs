//! The messages of the outlier gossip and their encoding as protobuf.

use prost::Message as _;

/// A node that fails the requests of the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureReport {
    /// Its name.
    pub node: String,
    /// Which start of it, in ms since the Unix epoch; 0 where none is known.
    pub started: u64,
}

/// The lease holder's verdict on a node that it probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Its name.
    pub node: String,
    /// Which start of it, in ms since the Unix epoch; 0 where none is known.
    pub started: u64,
    /// Whether it is an outlier.
    pub is_outlier: bool,
    /// How long ago it was probed, in ms.
    pub age_ms: u64,
    /// How many gateways the evidence is from, the one that probed it among them.
    pub reporting_gateways: u32,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The nodes that fail the requests of the sender.
    Reports(Vec<FailureReport>),
    /// The verdicts of the lease holder.
    Verdicts {
        /// The fencing token of its lease.
        token: u64,
        /// The verdicts.
        verdicts: Vec<Verdict>,
    },
}

/// A report, or a verdict, which alone has fields from tag 3 on.
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

/// Verdicts where there is a token, else reports.
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

/// Decodes a message; `None` where the bytes are no protobuf of this form.
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
