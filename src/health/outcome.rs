//! Records the outcome of an attempt in the state of its backend.

use crate::health::outlier::{CONFIRMED_FAILURES, Failure};
use crate::{Action, AttemptEnd, AttemptOutcome, Gateway, Millis, Name};

/// A response is late for the concurrency limit beyond this share of the latency objective; the rest is for the
/// network and for waiting in the queue.
const LATE_OBJECTIVE_SHARE: f64 = 0.6;
/// A failed attempt is late if it took this many times the smoothed latency: a failure caused by a client's short
/// timeout says nothing about the backend.
const LATE_FAILURE_FACTOR: f64 = 4.0;
/// Weight of the newest latency in the smoothed latency of a class.
const LATENCY_SMOOTHING_WEIGHT: f64 = 0.02;

/// The smoothed latency of served requests of one class, in ms; 0 before the first.
#[derive(Clone, Copy, Default)]
pub(crate) struct SmoothedLatency(Millis);

impl SmoothedLatency {
    /// Records a served request.
    fn record(&mut self, latency: Millis) {
        self.0 = if self.0 == 0.0 { latency } else { self.0 + LATENCY_SMOOTHING_WEIGHT * (latency - self.0) };
    }
}

/// Whether an outcome counts as late. An error says nothing about the backend's load; a rejection says that it is too
/// high.
fn is_late(outcome: AttemptOutcome, latency: Millis, objective: Millis, smoothed: SmoothedLatency) -> bool {
    match outcome {
        AttemptOutcome::Served => latency > objective * LATE_OBJECTIVE_SHARE,
        AttemptOutcome::Error | AttemptOutcome::NeverSent => false,
        AttemptOutcome::Rejected => true,
        AttemptOutcome::TimedOut
        | AttemptOutcome::ConnectFailed
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::Cancelled => latency > smoothed.0 * LATE_FAILURE_FACTOR,
    }
}

/// The latency that a served request of a class typically has, in ms: of its class, else the largest of other classes.
/// Before any request was served, the latency beyond which a response is late.
fn typical_latency(smoothed: &[SmoothedLatency], class_index: usize, objective: Millis) -> Millis {
    let of_class = smoothed[class_index].0;
    if of_class > 0.0 {
        return of_class;
    }
    let of_any_class = smoothed.iter().map(|latency| latency.0).fold(0.0, Millis::max);
    if of_any_class > 0.0 { of_any_class } else { objective * LATE_OBJECTIVE_SHARE }
}

/// Whether an attempt ended at its client's deadline before a response could be expected. It then says nothing about the
/// backend: otherwise a client with very short deadlines would get every backend ejected.
fn is_cut_short(end: &AttemptEnd, now: Millis, deadline: Millis, typical_latency: Millis) -> bool {
    let may_be_deadline = matches!(end.outcome, AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed);
    may_be_deadline && now >= deadline && end.latency < typical_latency
}

/// The line that says that a backend is no longer ejected. The text is frozen: it is recorded on the simulator's wire.
fn readmitted_log(backend: &Name) -> String {
    format!("backend {backend} back: it answers again")
}

/// The line that says that a backend is ejected. The text is frozen like that of [`readmitted_log`].
fn ejected_log(backend: &Name) -> String {
    format!("backend {backend} ejected: {CONFIRMED_FAILURES} failures in a row")
}

impl Gateway {
    /// Releases the place of an attempt that ended, and records its outcome in its backend's concurrency limit and outlier state and in load shedding.
    pub(crate) fn record_backend_outcome(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        self.end_attempt(end.id);
        let name = &end.backend;
        let Some(backend) = self.backends.get_mut(name) else { return };
        let class_index = self.requests.get(&end.id).map_or(0, |request| request.class_index);
        let objective = self.settings.classes[class_index].latency_objective;
        let typical_latency = typical_latency(&self.smoothed_latencies, class_index, objective);
        let deadline = self.requests.get(&end.id).map_or(f64::INFINITY, |request| request.deadline);
        let is_cut_short = is_cut_short(end, self.now, deadline, typical_latency);
        let smoothed_latency = &mut self.smoothed_latencies[class_index];
        match end.outcome {
            AttemptOutcome::NeverSent => return,
            AttemptOutcome::Error if !backend.outlier.record_error(class_index) => return,
            AttemptOutcome::Served => {
                if backend.outlier.record_success() {
                    out.push(Action::Log(readmitted_log(name)));
                }
                smoothed_latency.record(end.latency);
            }
            _ => {}
        }
        let is_late = is_late(end.outcome, end.latency, objective, *smoothed_latency);
        backend.concurrency_limit.record_response(is_late, backend.occupancy.count());
        self.load_shedder.record_response(is_late);
        if end.outcome != AttemptOutcome::Served && !is_cut_short {
            let connection_lost = end.outcome == AttemptOutcome::ConnectionLost;
            let failure = Failure { latency: end.latency, connection_lost };
            let slow_start_duration = self.settings.slow_start_duration;
            if backend.outlier.record_failure(&failure, self.now, slow_start_duration) {
                out.push(Action::Log(ejected_log(name)));
            }
        }
        if end.outcome == AttemptOutcome::ConnectFailed && self.settings.routing.assume_restart {
            backend.start_time.assumed = Some(backend.outlier.ejected_until);
        }
    }
}
