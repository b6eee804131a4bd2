//! An open-loop load of a fixed rate. Latency is measured from the time at which a request was due, so a stalled
//! gateway is charged for every request that was due meanwhile (no coordinated omission).

use crate::client::{RequestOutcome, RequestSource, ScheduledRequest};
use doorcourse_conformance::Kind;
use hdrhistogram::Histogram;

/// Sends one request body at a fixed rate.
#[derive(Debug)]
pub struct FixedRateLoad {
    body: String,
    key: String,
    /// Time between two requests.
    interval_ms: f64,
    timeout_ms: f64,
    next_due_ms: f64,
    remaining: u64,
    sent: u64,
    /// Number of gateways that the requests are sent to in turn.
    targets: usize,
    report: LoadReport,
}

/// Outcomes of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latencies of served requests.
    pub served_latency_us: Histogram<u64>,
    /// Number of requests that were refused, failed, truncated or lost, and abandoned by the client, in this order.
    pub unserved: [u64; 4],
    /// When the last request ended, on the clock of the client emulator.
    pub last_ended_ms: f64,
}

impl FixedRateLoad {
    /// Creates a load of `rate` requests per second that begins at `start_ms` and lasts `seconds`.
    ///
    /// # Errors
    /// Fails when `rate` or `seconds` is out of range.
    pub fn new(
        body: String, key: String, rate: f64, seconds: f64, timeout_ms: f64, start_ms: f64,
    ) -> anyhow::Result<Self> {
        anyhow::ensure!(
            rate > 0.0 && rate <= 1e6,
            "the rate must be above 0 and at most 1000000 requests per second"
        );
        anyhow::ensure!(
            seconds > 0.0 && seconds <= 86_400.0,
            "the duration must be above 0 and at most 86400 seconds"
        );
        // Up to a minute with three significant digits; longer latencies count as a minute.
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

    /// Returns the outcomes so far.
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

    fn request_ended(&mut self, now: f64, scheduled: &ScheduledRequest, end: &RequestOutcome) {
        self.report.last_ended_ms = now;
        match end {
            RequestOutcome::Response { kind: Kind::Served, .. } => {
                self.report
                    .served_latency_us
                    .saturating_record(((now - scheduled.due_at) * 1000.0).max(1.0) as u64);
            }
            RequestOutcome::Response { kind: Kind::Refused, .. } => self.report.unserved[0] += 1,
            RequestOutcome::Response { kind: Kind::Failed, .. } => self.report.unserved[1] += 1,
            RequestOutcome::Truncated | RequestOutcome::ConnectionLost => self.report.unserved[2] += 1,
            RequestOutcome::TimedOut | RequestOutcome::Cancelled => self.report.unserved[3] += 1,
        }
    }
}
