//! A summary of a run for people: responses by phase and kind, worth by plan, usage by account.

use crate::record::Rule;
use crate::rules::Violation;
use serde::Serialize;
use std::collections::BTreeMap;

/// Numbers of requests and responses in one phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ResponseCounts {
    /// Requests sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Responses with complete data.
    pub served: u64,
    /// Served responses that came after the target time.
    pub late: u64,
    /// Refused requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
    /// Responses that ended in the middle.
    #[serde(rename = "cut")]
    pub truncated: u64,
    /// Requests whose connection was lost before a response.
    #[serde(rename = "lost")]
    pub connection_lost: u64,
    /// Requests that the client cancelled or that timed out.
    #[serde(rename = "left")]
    pub cancelled: u64,
    /// Latency of served responses, in ms: median and 99th percentile.
    #[serde(rename = "latency")]
    pub latency_ms: (f64, f64),
}

/// Usage of one customer (an account in reports).
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AccountUsage {
    /// Plan of the customer.
    pub plan: String,
    /// Units of all requests, by their price.
    #[serde(rename = "asked")]
    pub requested_units: f64,
    /// Units of the requests that gateways forwarded, by their price.
    #[serde(rename = "sent")]
    pub forwarded_units: f64,
    /// Cost of the data of the nodes' responses, in units.
    pub true_units: f64,
    /// Units that the quota allows over the run: the burst plus the rate times the duration.
    #[serde(rename = "quota")]
    pub quota_units: f64,
}

/// Summary of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Whether every rule was kept.
    #[serde(rename = "kept")]
    pub rules_kept: bool,
    /// Violations by rule; empty for each rule that was kept.
    #[serde(rename = "rules")]
    pub violations: BTreeMap<Rule, Vec<Violation>>,
    /// Counts by phase, in the order of the phases.
    pub phases: Vec<(String, ResponseCounts)>,
    /// Worth answered in time and worth of all requests, by plan.
    pub worth: BTreeMap<String, (f64, f64)>,
    /// Number of responses by error code.
    #[serde(rename = "codes")]
    pub responses_by_code: BTreeMap<String, u64>,
    /// Usage by customer.
    pub accounts: BTreeMap<String, AccountUsage>,
    /// Number of attempts at nodes, and how many of them were retries.
    pub attempts: (u64, u64),
    /// Latency of all served responses, in ms: median and 99th percentile.
    #[serde(rename = "latency")]
    pub latency_ms: (f64, f64),
    /// Time from the first record to the last, in ms.
    #[serde(rename = "length")]
    pub duration_ms: f64,
}
