//! A summary of a run for people: responses by phase and kind, worth by plan, usage by account.

use crate::record::{Event, Kind, Record, Rule};
use crate::rules::{Violation, check_rules};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

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

/// Summarizes a run and checks the rules.
#[must_use]
pub fn summarize(records: &[Record]) -> Report {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by(|a, b| a.t.total_cmp(&b.t));
    let mut report = Report::default();
    let all = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::ColdNodes,
        Rule::Ceilings,
        Rule::Quotas,
    ];
    report.violations = all.iter().map(|r| (*r, Vec::new())).collect();
    for violation in check_rules(records) {
        report.violations.entry(violation.rule).or_default().push(violation);
    }
    report.rules_kept = report.violations.values().all(Vec::is_empty);
    report.duration_ms = sorted.last().map_or(0.0, |r| r.t) - sorted.first().map_or(0.0, |r| r.t);
    report.phases.push(("start".into(), ResponseCounts::default()));
    // Phase, time, customer, plan, units, worth and target time of each request. A request counts in the phase in which it
    // was sent.
    type Sent<'a> = (usize, f64, &'a str, &'a str, f64, f64, f64);
    let mut sent: HashMap<&str, Sent> = HashMap::new();
    let (mut forwarded, mut request_of): (HashSet<&str>, HashMap<u64, &str>) = Default::default();
    let mut plans = BTreeMap::new();
    let mut latencies: Vec<Vec<f64>> = vec![Vec::new()];
    for record in sorted {
        let phase = report.phases.len() - 1;
        match &record.event {
            Event::Bounds(bounds) => plans = bounds.plans.clone(),
            Event::Phase { name } => {
                report.phases.push((name.clone(), ResponseCounts::default()));
                latencies.push(Vec::new());
            }
            Event::RequestSent { id, customer, plan, units, worth, target_ms, .. } => {
                report.phases[phase].1.requests += 1;
                sent.insert(id, (phase, record.t, customer, plan, *units, *worth, *target_ms));
                report.worth.entry(plan.clone()).or_default().1 += worth;
                let account = report.accounts.entry(customer.clone()).or_default();
                account.plan.clone_from(plan);
                account.requested_units += units;
            }
            Event::ResponseReceived { id, kind, code, .. } => {
                let Some((phase, t, _, plan, _, worth, target_ms)) = sent.get(id.as_str()) else { continue };
                let counts = &mut report.phases[*phase].1;
                match kind {
                    Kind::Served => {
                        counts.served += 1;
                        latencies[*phase].push(record.t - t);
                        if record.t > t + target_ms {
                            counts.late += 1;
                        } else {
                            report.worth.entry((*plan).to_owned()).or_default().0 += worth;
                        }
                    }
                    Kind::Refused => counts.refused += 1,
                    Kind::Failed => counts.failed += 1,
                }
                if !code.is_empty() {
                    *report.responses_by_code.entry(code.clone()).or_default() += 1;
                }
            }
            Event::ResponseTruncated { id }
            | Event::ConnectionLost { id }
            | Event::Cancelled { id }
            | Event::TimedOut { id } => {
                let Some((phase, ..)) = sent.get(id.as_str()) else { continue };
                let counts = &mut report.phases[*phase].1;
                match record.event {
                    Event::ResponseTruncated { .. } => counts.truncated += 1,
                    Event::ConnectionLost { .. } => counts.connection_lost += 1,
                    _ => counts.cancelled += 1,
                }
            }
            Event::RequestRead { id, attempt, .. } => {
                request_of.insert(*attempt, id);
                report.attempts.0 += 1;
                let Some((_, _, customer, _, units, ..)) = sent.get(id.as_str()) else { continue };
                if forwarded.insert(id) {
                    report.accounts.entry((*customer).to_owned()).or_default().forwarded_units += units;
                } else {
                    report.attempts.1 += 1;
                }
            }
            Event::ResponseSent { attempt, units, .. } => {
                let customer = request_of.get(attempt).and_then(|id| sent.get(id)).map(|a| a.2);
                if let Some(customer) = customer {
                    report.accounts.entry(customer.to_owned()).or_default().true_units += units;
                }
            }
            _ => {}
        }
    }
    for (phase, found) in report.phases.iter_mut().zip(&mut latencies) {
        phase.1.latency_ms = quantiles(found);
    }
    report.latency_ms = quantiles(&mut latencies.concat());
    for account in report.accounts.values_mut() {
        let plan = plans.get(&account.plan);
        account.quota_units = plan.map_or(0.0, |p| p.burst + p.rate * report.duration_ms / 1000.0);
    }
    report
}

/// Sorts the values and returns their median and 99th percentile, or zeros if there are none.
fn quantiles(times: &mut [f64]) -> (f64, f64) {
    times.sort_by(f64::total_cmp);
    let at =
        |q: f64| times.get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1))).copied();
    (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0))
}
