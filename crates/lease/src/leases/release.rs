//! Releases and transfers leases, and applies changes of the tasks.

use super::Leases;
use super::state::LeaseState;
use crate::{FencingToken, GatewayNumber, Item, LostLease, Millis, Output, TaskId};
use std::collections::BTreeSet;

impl Leases {
    /// Releases a lease and asks another gateway to acquire it. The release is sent first, so that the voters receive
    /// it before that gateway's request.
    pub(super) fn transfer(
        &mut self, now: Millis, task: TaskId, to: GatewayNumber, outputs: &mut Vec<Output>,
    ) {
        if self.release_task(now, task, Some(to), outputs) {
            let message = self.message(0, vec![Item::Transfer { task }]);
            self.flush(now, outputs);
            outputs.push(Output::Send { to, message });
        }
    }

    /// Releases all tasks of the settings.
    pub(super) fn release_all_tasks(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        for task in self.settings.tasks.clone() {
            self.release_task(now, task, None, outputs);
        }
    }

    /// Releases a task that is held or requested. Returns whether it was held.
    pub(super) fn release_task(
        &mut self, now: Millis, task: TaskId, transfer_to: Option<GatewayNumber>, outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(state) = self.states.get(&task) else { return false };
        let Some(token) = state.token() else { return false };
        let was_held = state.is_held();
        if was_held {
            outputs.push(Output::Lost(LostLease { task, token, released: true }));
        }
        self.release_grants(now, task, token, transfer_to);
        // The task is not requested again for one lease, so that other gateways can acquire it.
        let next_attempt_at = now + 1 + self.settings.lease_duration;
        self.states.insert(task, LeaseState::Idle { next_attempt_at });
        was_held
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
                self.states.remove(&task);
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
