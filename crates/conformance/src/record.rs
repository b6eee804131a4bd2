//! What stand-ins write: one JSON object a line, times in ms on one clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How a final answer parse_records to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Data, whole.
    Served,
    /// Refused: 429 or 503 with a code that promises that trying again is harmless.
    Refused,
    /// Anything else: failed, with no promise.
    Failed,
}

/// What a repeat of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// Anything.
    Safe,
    /// Dropped by the nodes of one cell for so many ms.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// One of the five rules, or the quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One final answer, in time, and nothing after it.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Nothing new to a node that drains or is gone.
    DrainsKept,
    /// No cold node pushed over.
    ColdNodes,
    /// Ceilings kept.
    Ceilings,
    /// Quotas kept within the bound of docs/design.md.
    Quotas,
}

/// What a plan allows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBounds {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Units a second of the ceiling; 0 for none.
    pub ceiling_rate: f64,
    /// Units that the ceiling holds.
    pub ceiling_burst: f64,
    /// What it may be passed by.
    pub ceiling_slack: f64,
}

/// What the run is judged by; the first record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// The plans by name.
    pub plans: BTreeMap<String, PlanBounds>,
    /// What an answer may come after the client's deadline, in ms: the way and the reading.
    #[serde(rename = "answer_slack")]
    pub response_slack_ms: f64,
    /// How long after the list said so a node may still be sent to, in ms.
    #[serde(rename = "drain_grace")]
    pub drain_grace_ms: f64,
    /// How many bursts a customer may use at once by the design's bound for this run's troubles.
    #[serde(rename = "bursts")]
    pub allowed_bursts: f64,
    /// The most units of one request.
    #[serde(rename = "most_units")]
    pub max_request_units: f64,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this long in ms, a cold node falls over.
    #[serde(rename = "fall_time")]
    pub fall_window_ms: f64,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum Event {
    /// What the run is judged by.
    Bounds(Bounds),
    /// A new part of the script.
    Phase {
        /// Its name.
        name: String,
    },
    /// Something was done to the fleet that may hurt its clients.
    Fault {
        /// What.
        what: String,
    },
    /// A call came to the counter.
    CounterCall,
    /// A connection was made to a node.
    Connected {
        /// Which node.
        node: String,
    },
    /// A client sent a request.
    #[serde(rename = "ask")]
    RequestSent {
        /// Its name, never used twice.
        id: String,
        /// To which gateway.
        gateway: usize,
        /// Whose.
        customer: String,
        /// On which plan.
        plan: String,
        /// Of which class.
        class: String,
        /// Repeats of the class.
        #[serde(rename = "anew")]
        retry_safety: RetrySafety,
        /// For how long a keyed repeat is dropped, in ms.
        #[serde(rename = "memory")]
        key_retention_ms: f64,
        /// Its price.
        units: f64,
        /// What a timely answer is worth.
        worth: f64,
        /// Within which time, in ms.
        #[serde(rename = "aim")]
        target_ms: f64,
        /// How long the client waits, in ms.
        #[serde(rename = "patience")]
        timeout_ms: f64,
        /// The first try that this one repeats.
        #[serde(rename = "first")]
        retry_of: Option<String>,
    },
    /// A client parse_records a final answer.
    #[serde(rename = "answer")]
    ResponseReceived {
        /// Which request.
        id: String,
        /// How it parse_records.
        kind: Kind,
        /// The status.
        status: u16,
        /// The error's code, or nothing.
        code: String,
    },
    /// A client parse_records more behind the final answer.
    #[serde(rename = "extra")]
    DataAfterResponse {
        /// Which request.
        id: String,
    },
    /// The answer broke off in the middle.
    #[serde(rename = "cut")]
    ResponseTruncated {
        /// Which request.
        id: String,
    },
    /// The connection ended before any answer, or was never made.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// Which request.
        id: String,
    },
    /// The client's time was up without an answer.
    #[serde(rename = "gave_up")]
    TimedOut {
        /// Which request.
        id: String,
    },
    /// The client left before its time.
    #[serde(rename = "left")]
    Cancelled {
        /// Which request.
        id: String,
    },
    /// A node parse_records a whole request.
    #[serde(rename = "got")]
    RequestRead {
        /// Which request.
        id: String,
        /// Which node.
        node: String,
        /// The node's number for this attempt.
        attempt: u64,
        /// What it is to do, in ms of one core at full speed.
        #[serde(rename = "work")]
        work_ms: f64,
    },
    /// A node parse_records a trial: a request of a gateway's own, without a client and without an effect.
    #[serde(rename = "tried")]
    ProbeRead {
        /// Which node.
        node: String,
    },
    /// A node began to run it.
    #[serde(rename = "ran")]
    RequestExecuted {
        /// Which request.
        id: String,
        /// Which node.
        node: String,
        /// Whether its effect was dropped as a repeat.
        dropped: bool,
    },
    /// A node wrote its answer.
    #[serde(rename = "replied")]
    ResponseSent {
        /// The node's number for this attempt.
        attempt: u64,
        /// The status.
        status: u16,
        /// The units that the answer's data is worth.
        units: f64,
    },
    /// The connection ended while a node had the request.
    #[serde(rename = "closed")]
    AttemptClosed {
        /// The node's number for this attempt.
        attempt: u64,
    },
    /// A node started.
    NodeUp {
        /// Which.
        node: String,
        /// Its cell.
        cell: u64,
        /// Whether it is cold.
        cold: bool,
        /// The share of its capacity that it starts with.
        #[serde(rename = "share")]
        cold_share: f64,
        /// It is warm after this, in ms.
        #[serde(rename = "warm")]
        warm_up_ms: f64,
        /// Its cores: ms of work it does in a ms when warm.
        capacity: f64,
    },
    /// A node stopped.
    NodeDown {
        /// Which.
        node: String,
    },
    /// A cold node was pushed over.
    #[serde(rename = "node_fell")]
    NodeCrashed {
        /// Which.
        node: String,
    },
    /// The list says that a node drains or is gone; or, with `ready`, that it may be used.
    Listed {
        /// Which.
        node: String,
        /// Whether it may be used.
        ready: bool,
    },
    /// A gateway started.
    GatewayUp {
        /// Its number.
        gateway: usize,
    },
    /// A gateway was killed or stopped.
    GatewayDown {
        /// Its number.
        gateway: usize,
    },
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When, in ms.
    pub t: f64,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

/// Reads records from JSON lines.
///
/// # Errors
/// The number of the first line that is no record, and why.
pub fn parse_records(text: &str) -> Result<Vec<Record>, String> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    lines.map(|(n, l)| serde_json::from_str(l).map_err(|e| format!("line {}: {e}", n + 1))).collect()
}
