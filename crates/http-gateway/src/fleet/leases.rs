//! Inputs and outputs of the lease state machine.

use super::Fleet;
use super::calls::CallFailure;
use super::link::Channel;
use super::status::refusal_text;
use crate::io::Io;
use doorcourse_lease::{Input, LastRefusal, LostLease, Millis, Output, Refusal, TaskId, encode};

impl Fleet {
    /// Passes an input to the lease state machine and executes its outputs.
    pub(super) fn handle_lease_input(&mut self, io: &mut Io, now: Millis, input: Input) {
        let Some(leases) = &mut self.leases else { return };
        let mut outputs = Vec::new();
        // The second time is the wall clock.
        leases.handle(now, io.now() as u64, input, &mut outputs);
        for output in outputs {
            self.handle_lease_output(io, now, output);
        }
    }

    fn handle_lease_output(&mut self, io: &Io, now: Millis, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.link.send(io, now, to, Channel::Leases, encode(&message));
            }
            Output::Acquired(lease) => {
                let task = self.calls.task_name(lease.task);
                tracing::info!(target: "doorcourse::fleet", task, token = lease.token, "lease acquired");
            }
            Output::Lost(lease) => self.handle_lost_lease(now, lease),
            Output::AcquisitionFailed { task, last_refusal } => {
                self.log_failed_acquisition(task, last_refusal);
            }
            Output::VotersInForce(version) => {
                tracing::info!(target: "doorcourse::fleet", version, "voters in force");
            }
            Output::VotersRejected(error) => {
                tracing::error!(target: "doorcourse::fleet", %error, "voters rejected");
            }
        }
    }

    fn handle_lost_lease(&mut self, now: Millis, lease: LostLease) {
        let task = self.calls.task_name(lease.task);
        let given_back = lease.released;
        tracing::info!(target: "doorcourse::fleet", task, token = lease.token, given_back, "lease lost");
        if !(lease.released && self.awaits_answer(lease.task)) {
            self.end_call(now, lease.task, Err(CallFailure::LeaseLost));
        }
    }

    /// Whether a call of a task is written and not answered. A lease that is released waits for the answer.
    fn awaits_answer(&self, task: TaskId) -> bool {
        let is_acting = self.leases.as_ref().is_some_and(|leases| leases.is_acting(task));
        is_acting && self.calls.schedule.has_task(task)
    }

    /// Logs a failed acquisition. That another gateway holds the lease is the normal case and logged at debug level
    /// only.
    fn log_failed_acquisition(&self, task: TaskId, last_refusal: Option<LastRefusal>) {
        let task = self.calls.task_name(task);
        let voter = last_refusal.map(|refusal| refusal.voter);
        let reason = last_refusal.map(|refusal| refusal.reason);
        if matches!(reason, Some(Refusal::HeldByOther { .. })) {
            tracing::debug!(
                target: "doorcourse::fleet", task, voter, reason = reason.map(refusal_text), "lease refused"
            );
        } else {
            tracing::info!(
                target: "doorcourse::fleet", task, voter, reason = reason.map(refusal_text), "lease refused"
            );
        }
    }
}
