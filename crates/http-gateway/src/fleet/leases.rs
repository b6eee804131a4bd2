//! The leases.

use super::*;

impl Fleet {
    pub(super) fn take_tasks(&mut self, now: Millis, leases: &LeaseConfig) {
        self.tasks = leases.tasks.iter().map(|t| (task_of(&t.name), t.clone())).collect();
        let calls = |(task, t): (&TaskId, &TaskConfig)| {
            (*task, CallSettings { interval: t.call_interval_ms, duration: t.call_duration_ms })
        };
        self.calls.configure(now, &self.tasks.iter().map(calls).collect());
        self.tally.retain(|task, _| self.tasks.contains_key(task));
        let number = self.number;
        self.suspects = leases.suspects.map(|s| {
            let OutlierGossipConfig { probe_interval_ms: every, max_outlier_fraction: share, keep, .. } = s;
            let settings = doorcourse_outlier_gossip::Settings {
                gateway: number,
                probe_interval: every,
                max_outlier_fraction: share,
                retention: keep,
            };
            let mut suspects =
                self.suspects.take().map_or_else(|| OutlierGossip::new(settings), |(old, _)| old);
            suspects.configure(settings);
            (suspects, s)
        });
    }

    pub(super) fn tell(&mut self, io: &mut Io, now: Millis, input: Input) {
        let Some(leases) = &mut self.leases else { return };
        let mut outputs = Vec::new();
        leases.handle(now, io.now() as u64, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(io, now, to, &message),
                Output::Acquired(gain) => {
                    let (task, token) = (self.name(gain.task), gain.token);
                    tracing::info!(target: "doorcourse::fleet", task, token, "lease gained");
                }
                Output::Lost(LostLease { task, token, released: given_back }) => {
                    let name = self.name(task);
                    tracing::info!(target: "doorcourse::fleet", task = name, token, given_back, "lease lost");
                    self.end(now, task, "the lease is lost");
                }
                Output::AcquisitionFailed { task, last_refusal: last } => {
                    let (task, by, why) = (self.name(task), last.map(|l| l.voter), last.map(|l| l.reason));
                    // That another has it is how things are.
                    if matches!(why, Some(Refusal::HeldByOther { .. })) {
                        tracing::debug!(target: "doorcourse::fleet", task, by, ?why, "lease refused");
                    } else {
                        tracing::info!(target: "doorcourse::fleet", task, by, ?why, "lease refused");
                    }
                }
                Output::VotersInForce(version) => {
                    tracing::info!(target: "doorcourse::fleet", version, "voters in force")
                }
                Output::VotersRejected(fault) => {
                    tracing::error!(target: "doorcourse::fleet", %fault, "the old voters stay")
                }
            }
        }
    }

    pub(super) fn name(&self, task: TaskId) -> &str {
        let own = if task == task_of(OUTLIER_PROBE_TASK) { OUTLIER_PROBE_TASK } else { "" };
        self.tasks.get(&task).map_or(own, |t| &t.name)
    }
}
