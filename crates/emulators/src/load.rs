//! An open loop of a fixed rate: each request is due at its own time, and its latency counts from then, so a
//! gateway that stalls is charged for all that should have been sent meanwhile (no coordinated omission).

use crate::client::{RequestOutcome, RequestSource, ScheduledRequest};
use doorcourse_conformance::Kind;
use hdrhistogram::Histogram;

/// What to send.
#[derive(Debug)]
pub struct FixedRateLoad {
    body: String,
    key: String,
    /// Between two requests, in ms.
    interval_ms: f64,
    timeout_ms: f64,
    next_due_ms: f64,
    remaining: u64,
    sent: u64,
    targets: usize,
    report: LoadReport,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latencies of served requests, in microseconds.
    pub served_latency_us: Histogram<u64>,
    /// Refused, failed, cut or lost, given up.
    pub unserved: [u64; 4],
    /// When the last one ended, in ms.
    pub last_ended_ms: f64,
}

impl FixedRateLoad {
    /// A load that begins at a time: so many requests a second for so long.
    ///
    /// # Errors
    /// When a figure is out of its range.
    pub fn new(
        body: String, key: String, rate: f64, seconds: f64, timeout_ms: f64, start_ms: f64,
    ) -> anyhow::Result<Self> {
        anyhow::ensure!(rate > 0.0 && rate <= 1e6, "a rate above 0 and up to 1000000 a second is wanted");
        anyhow::ensure!(seconds > 0.0 && seconds <= 86_400.0, "a length above 0 and up to 86400 s is wanted");
        // A minute with three digits: what lies above is counted as a minute.
        let served_latency_us = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        let report = LoadReport { served_latency_us, unserved: [0; 4], last_ended_ms: start_ms };
        let remaining = (rate * seconds).ceil() as u64;
        Ok(Self {
            body,
            key,
            interval_ms: 1000.0 / rate,
            timeout_ms,
            next_due_ms: start_ms,
            remaining,
            sent: 0,
            targets: 1,
            report,
        })
    }

    /// What came back so far.
    #[must_use]
    pub fn report(&self) -> &LoadReport {
        &self.report
    }
}

impl RequestSource for FixedRateLoad {
    fn next_due(&mut self) -> Option<f64> {
        if self.remaining > 0 { Some(self.next_due_ms) } else { None }
    }

    fn take_due(&mut self, _: f64) -> Vec<ScheduledRequest> {
        let due_at = self.next_due_ms;
        self.next_due_ms += self.interval_ms;
        self.remaining -= 1;
        self.sent += 1;
        vec![ScheduledRequest {
            id: format!("load-{}", self.sent),
            due_at,
            gateway: self.sent as usize % self.targets,
            body: self.body.clone(),
            key: self.key.clone(),
            idempotency_key: None,
            timeout_ms: self.timeout_ms,
            cancel_after_ms: None,
            sent_event: None,
        }]
    }

    fn request_ended(&mut self, now: f64, shot: &ScheduledRequest, end: &RequestOutcome) {
        self.report.last_ended_ms = now;
        match end {
            RequestOutcome::Response { kind: Kind::Served, .. } => {
                self.report
                    .served_latency_us
                    .saturating_record(((now - shot.due_at) * 1000.0).max(1.0) as u64);
            }
            RequestOutcome::Response { kind: Kind::Refused, .. } => self.report.unserved[0] += 1,
            RequestOutcome::Response { kind: Kind::Failed, .. } => self.report.unserved[1] += 1,
            RequestOutcome::Truncated | RequestOutcome::ConnectionLost => self.report.unserved[2] += 1,
            RequestOutcome::TimedOut | RequestOutcome::Cancelled => self.report.unserved[3] += 1,
        }
    }
}
