//! Summarizes a traffic record as a report.

use crate::record::{Event, Kind, PlanBounds, Record, Rule};
use crate::report::{Report, ResponseCounts};
use crate::rules::check_rules;
use std::collections::{BTreeMap, HashMap, HashSet};

const MS_PER_SECOND: f64 = 1000.0;
const RULES: [Rule; 6] =
    [Rule::OneAnswer, Rule::NoEffectTwice, Rule::DrainsKept, Rule::ColdNodes, Rule::Ceilings, Rule::Quotas];

/// Summarizes a run and checks the rules.
#[must_use]
pub fn summarize(records: &[Record]) -> Report {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by(|a, b| a.t.total_cmp(&b.t));
    let mut summary = Summary::default();
    summary.begin_phase("start");
    for record in &sorted {
        summary.add(record);
    }
    let duration_ms = sorted.last().map_or(0.0, |r| r.t) - sorted.first().map_or(0.0, |r| r.t);
    let mut report = summary.into_report(duration_ms);
    report.violations = RULES.iter().map(|rule| (*rule, Vec::new())).collect();
    for violation in check_rules(records) {
        report.violations.entry(violation.rule).or_default().push(violation);
    }
    report.rules_kept = report.violations.values().all(Vec::is_empty);
    report
}

/// A request as it was sent.
struct SentRequest<'a> {
    /// Index of the phase in which it was sent, and in which it counts.
    phase: usize,
    sent_at_ms: f64,
    customer: &'a str,
    plan: &'a str,
    units: f64,
    worth: f64,
    target_ms: f64,
}

/// Collects the numbers of a report from records in the order of their times.
#[derive(Default)]
struct Summary<'a> {
    report: Report,
    requests: HashMap<&'a str, SentRequest<'a>>,
    /// The ids of the requests that reached a node.
    forwarded: HashSet<&'a str>,
    /// The id of the request of each attempt.
    request_of_attempt: HashMap<u64, &'a str>,
    plans: BTreeMap<String, PlanBounds>,
    /// Latencies of served responses, by phase.
    latencies_ms: Vec<Vec<f64>>,
}

impl<'a> Summary<'a> {
    fn begin_phase(&mut self, name: &str) {
        self.report.phases.push((name.to_owned(), ResponseCounts::default()));
        self.latencies_ms.push(Vec::new());
    }

    fn add(&mut self, record: &'a Record) {
        match &record.event {
            Event::Bounds(bounds) => self.plans = bounds.plans.clone(),
            Event::Phase { name } => self.begin_phase(name),
            Event::RequestSent { id, customer, plan, units, worth, target_ms, .. } => {
                let phase = self.report.phases.len() - 1;
                let (units, worth, target_ms) = (*units, *worth, *target_ms);
                let request =
                    SentRequest { phase, sent_at_ms: record.t, customer, plan, units, worth, target_ms };
                self.request_sent(id, request);
            }
            Event::ResponseReceived { id, kind, code, .. } => {
                self.response_received(id, *kind, code, record.t);
            }
            Event::ResponseTruncated { id } => {
                self.ended_without_response(id, |counts| &mut counts.truncated);
            }
            Event::ConnectionLost { id } => {
                self.ended_without_response(id, |counts| &mut counts.connection_lost);
            }
            Event::Cancelled { id } | Event::TimedOut { id } => {
                self.ended_without_response(id, |counts| &mut counts.cancelled);
            }
            Event::RequestRead { id, attempt, .. } => self.request_read(id, *attempt),
            Event::ResponseSent { attempt, units, .. } => self.response_sent(*attempt, *units),
            _ => {}
        }
    }

    fn request_sent(&mut self, id: &'a str, request: SentRequest<'a>) {
        self.report.phases[request.phase].1.requests += 1;
        self.report.worth.entry(request.plan.to_owned()).or_default().1 += request.worth;
        let account = self.report.accounts.entry(request.customer.to_owned()).or_default();
        request.plan.clone_into(&mut account.plan);
        account.requested_units += request.units;
        self.requests.insert(id, request);
    }

    fn response_received(&mut self, id: &str, kind: Kind, code: &str, received_at_ms: f64) {
        let Some(request) = self.requests.get(id) else { return };
        let counts = &mut self.report.phases[request.phase].1;
        match kind {
            Kind::Served => {
                counts.served += 1;
                self.latencies_ms[request.phase].push(received_at_ms - request.sent_at_ms);
                if received_at_ms > request.sent_at_ms + request.target_ms {
                    counts.late += 1;
                } else {
                    self.report.worth.entry(request.plan.to_owned()).or_default().0 += request.worth;
                }
            }
            Kind::Refused => counts.refused += 1,
            Kind::Failed => counts.failed += 1,
        }
        if !code.is_empty() {
            *self.report.responses_by_code.entry(code.to_owned()).or_default() += 1;
        }
    }

    /// Counts a request that ended without a whole response, in the counter that `count` selects.
    fn ended_without_response(&mut self, id: &str, count: impl Fn(&mut ResponseCounts) -> &mut u64) {
        let Some(request) = self.requests.get(id) else { return };
        *count(&mut self.report.phases[request.phase].1) += 1;
    }

    fn request_read(&mut self, id: &'a str, attempt: u64) {
        self.request_of_attempt.insert(attempt, id);
        self.report.attempts.0 += 1;
        let Some(request) = self.requests.get(id) else { return };
        if self.forwarded.insert(id) {
            let account = self.report.accounts.entry(request.customer.to_owned()).or_default();
            account.forwarded_units += request.units;
        } else {
            self.report.attempts.1 += 1;
        }
    }

    fn response_sent(&mut self, attempt: u64, units: f64) {
        let request = self.request_of_attempt.get(&attempt).and_then(|id| self.requests.get(id));
        let Some(request) = request else { return };
        self.report.accounts.entry(request.customer.to_owned()).or_default().true_units += units;
    }

    /// The report without the rules.
    fn into_report(mut self, duration_ms: f64) -> Report {
        let mut report = self.report;
        for ((_, counts), latencies_ms) in report.phases.iter_mut().zip(&mut self.latencies_ms) {
            counts.latency_ms = quantiles(latencies_ms);
        }
        report.latency_ms = quantiles(&mut self.latencies_ms.concat());
        report.duration_ms = duration_ms;
        for account in report.accounts.values_mut() {
            let plan = self.plans.get(&account.plan);
            account.quota_units = plan.map_or(0.0, |p| p.burst + p.rate * duration_ms / MS_PER_SECOND);
        }
        report
    }
}

/// Sorts the values and returns their median and 99th percentile, or zeros if there are none.
fn quantiles(times: &mut [f64]) -> (f64, f64) {
    times.sort_by(f64::total_cmp);
    let at =
        |q: f64| times.get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1))).copied();
    (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0))
}
