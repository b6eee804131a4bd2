//! What gateways tell each other of suspects, as protobuf.

use prost::Message as _;

/// A node that fails its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureReport {
    /// Its name.
    pub node: String,
    /// Which start of it.
    pub started: u64,
}

/// The holder's word on a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Its name.
    pub node: String,
    /// Which start of it.
    pub started: u64,
    /// Whether it is bad.
    pub is_outlier: bool,
    /// How long ago it was tried, in ms.
    pub age_ms: u64,
    /// How many gateways say so.
    pub reporting_gateways: u32,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Nodes that fail the sender.
    Reports(Vec<FailureReport>),
    /// What the holder found, under its token.
    Verdicts {
        /// The lease's token.
        token: u64,
        /// What was found.
        verdicts: Vec<Verdict>,
    },
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WireNode {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "2")]
    started: u64,
    #[prost(bool, tag = "3")]
    bad: bool,
    #[prost(uint64, tag = "4")]
    age: u64,
    #[prost(uint32, tag = "5")]
    gateways: u32,
}

/// Without a token: reports.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Wire {
    #[prost(uint64, optional, tag = "1")]
    token: Option<u64>,
    #[prost(message, repeated, tag = "2")]
    nodes: Vec<WireNode>,
}

/// A message's bytes.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let wire = match message {
        Message::Reports(reports) => {
            let one = |r: &FailureReport| WireNode {
                node: r.node.clone(),
                started: r.started,
                ..WireNode::default()
            };
            Wire { token: None, nodes: reports.iter().map(one).collect() }
        }
        Message::Verdicts { token, verdicts: words } => {
            let one = |w: &Verdict| {
                let Verdict { node, started, is_outlier: bad, age_ms: age, reporting_gateways: gateways } =
                    w.clone();
                WireNode { node, started, bad, age, gateways }
            };
            Wire { token: Some(*token), nodes: words.iter().map(one).collect() }
        }
    };
    wire.encode_to_vec()
}

/// Reads a message; nothing for bytes that are none.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let Wire { token, nodes } = Wire::decode(bytes).ok()?;
    Some(match token {
        None => Message::Reports(
            nodes.into_iter().map(|n| FailureReport { node: n.node, started: n.started }).collect(),
        ),
        Some(token) => {
            let one = |n: WireNode| {
                let WireNode { node, started, bad, age, gateways } = n;
                Verdict { node, started, is_outlier: bad, age_ms: age, reporting_gateways: gateways }
            };
            Message::Verdicts { token, verdicts: nodes.into_iter().map(one).collect() }
        }
    })
}

#[cfg(test)]
mod tests;
