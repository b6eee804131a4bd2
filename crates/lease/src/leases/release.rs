//! Release and transfer.

use super::*;

impl Leases {
    pub(super) fn release(
        &mut self, now: Millis, task: TaskId, token: FencingToken, to: Option<GatewayNumber>,
    ) {
        self.voter.release(now, (self.settings.gateway, self.settings.incarnation), task, token, to);
        self.outgoing_items.push(Item::Release { task, token, transfer_to: to });
    }

    /// Gives a task back where it is held or sought; whether it was held.
    pub(super) fn give_back(
        &mut self, now: Millis, task: TaskId, to: Option<GatewayNumber>, out: &mut Vec<Output>,
    ) -> bool {
        let held = match self.states.get(&task) {
            Some(LeaseState::Held { token, .. }) => {
                let token = *token;
                out.push(Output::Lost(LostLease { task, token, released: true }));
                self.release(now, task, token, to);
                true
            }
            Some(LeaseState::Acquiring { token, .. }) => {
                let token = *token;
                self.release(now, task, token, to);
                false
            }
            _ => return false,
        };
        // Who gives back does not take again at once.
        self.states
            .insert(task, LeaseState::Idle { next_attempt_at: now + 1 + self.settings.lease_duration });
        held
    }

    pub(super) fn take_tasks(
        &mut self, now: Millis, tasks: Vec<TaskId>, fleet: BTreeSet<GatewayNumber>, out: &mut Vec<Output>,
    ) {
        self.settings.gateways = fleet;
        for task in std::mem::replace(&mut self.settings.tasks, tasks) {
            if !self.settings.tasks.contains(&task) {
                self.give_back(now, task, None, out);
                self.states.remove(&task);
            }
        }
        for task in self.settings.tasks.clone() {
            let next = self.later(now);
            self.states.entry(task).or_insert(LeaseState::Idle { next_attempt_at: next });
        }
    }
}
