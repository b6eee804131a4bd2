//! Releases and transfers leases, and applies changes of the tasks.

use super::Leases;
use super::state::LeaseState;
use crate::{FencingToken, GatewayNumber, Item, LostLease, Millis, Output, TaskId};
use std::collections::BTreeSet;

impl Leases {
    /// Releases a lease and asks another gateway to acquire it.
    pub(super) fn transfer(
        &mut self, now: Millis, task: TaskId, to: GatewayNumber, outputs: &mut Vec<Output>,
    ) {
        self.release_task(now, task, Some(to), outputs);
    }

    /// Releases all tasks of the settings.
    pub(super) fn release_all_tasks(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        for task in self.settings.tasks.clone() {
            self.release_task(now, task, None, outputs);
        }
    }

    /// Releases a task that is held or requested. A lease that is held is not used from now on; its grants are released
    /// once the acts that began under it are over, so that acts of two holders never overlap.
    pub(super) fn release_task(
        &mut self, now: Millis, task: TaskId, transfer_to: Option<GatewayNumber>, outputs: &mut Vec<Output>,
    ) {
        match self.states.get(&task) {
            Some(LeaseState::Acquiring { token, .. }) => {
                let token = *token;
                self.release_grants(now, task, token, transfer_to);
                self.become_idle(now, task);
            }
            Some(LeaseState::Held { token, .. }) => {
                let token = *token;
                outputs.push(Output::Lost(LostLease { task, token, released: true }));
                let acts_over_at = self.acts_over_at(task);
                self.states.insert(task, LeaseState::Releasing { token, transfer_to, acts_over_at });
                self.finish_release(now, task, outputs);
            }
            Some(LeaseState::Idle { .. } | LeaseState::Releasing { .. }) | None => {}
        }
    }

    /// Releases the grants of the leases whose acts are over.
    pub(super) fn release_due_tasks(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let tasks: Vec<TaskId> = self.states.keys().copied().collect();
        for task in tasks {
            self.finish_release(now, task, outputs);
        }
    }

    /// Releases the grants of a lease if its acts are over, and asks the next holder of a transfer to acquire it. The
    /// release is sent first, so that the voters receive it before that gateway's request.
    fn finish_release(&mut self, now: Millis, task: TaskId, outputs: &mut Vec<Output>) {
        let Some(LeaseState::Releasing { token, transfer_to, acts_over_at }) = self.states.get(&task) else {
            return;
        };
        if *acts_over_at > now {
            return;
        }
        let token = *token;
        let transfer_to = *transfer_to;
        self.release_grants(now, task, token, transfer_to);
        self.become_idle(now, task);
        if let Some(to) = transfer_to {
            let message = self.message(0, vec![Item::Transfer { task }]);
            self.flush(now, outputs);
            outputs.push(Output::Send { to, message });
        }
    }

    /// Does not request a task again for one lease, so that other gateways can acquire it. A task that the settings no
    /// longer have is forgotten.
    fn become_idle(&mut self, now: Millis, task: TaskId) {
        if self.settings.tasks.contains(&task) {
            let next_attempt_at = now + 1 + self.settings.lease_duration;
            self.states.insert(task, LeaseState::Idle { next_attempt_at });
        } else {
            self.states.remove(&task);
        }
    }

    /// Releases the grants of all voters, including this gateway's own.
    pub(super) fn release_grants(
        &mut self, now: Millis, task: TaskId, token: FencingToken, transfer_to: Option<GatewayNumber>,
    ) {
        self.voter.release(now, self.settings.holder_id(), task, token, transfer_to);
        self.outbox.push(Item::Release { task, token, transfer_to });
    }

    /// Releases tasks that the settings no longer have, and becomes a candidate for new ones.
    pub(super) fn change_tasks(
        &mut self, now: Millis, tasks: Vec<TaskId>, gateways: BTreeSet<GatewayNumber>,
        outputs: &mut Vec<Output>,
    ) {
        self.settings.gateways = gateways;
        for task in std::mem::replace(&mut self.settings.tasks, tasks) {
            if !self.settings.tasks.contains(&task) {
                self.release_task(now, task, None, outputs);
                if matches!(self.states.get(&task), Some(LeaseState::Idle { .. })) {
                    self.states.remove(&task);
                }
            }
        }
        for task in self.settings.tasks.clone() {
            // A jitter is drawn for tasks that are kept as well, so that later draws do not depend on which tasks are
            // new.
            let next_attempt_at = self.jittered(now);
            self.states.entry(task).or_insert(LeaseState::Idle { next_attempt_at });
        }
    }
}
