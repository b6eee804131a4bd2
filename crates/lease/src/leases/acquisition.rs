//! Acquires, renews and expires leases.

use super::Leases;
use super::quorum::{Vote, VoteReply};
use super::state::{DueStep, LeaseState};
use super::timing::{BATCHING_DIVISOR, RENEWAL_DIVISOR, RENEWAL_RETRY_DIVISOR, REPLY_TIMEOUT_DIVISOR};
use crate::{
    AcquiredLease, DisabledRule, FencingToken, GatewayNumber, Item, LeaseRequest, LostLease, Millis, Output,
    TaskId,
};

/// How many low bits of a fencing token hold the number of the gateway that made it, so that no two gateways make the
/// same token.
const TOKEN_GATEWAY_BITS: u32 = 14;

impl Leases {
    /// Takes the step that is due for each task.
    pub(super) fn advance_leases(&mut self, now: Millis, wall_clock: Millis, outputs: &mut Vec<Output>) {
        if now < self.voting_from {
            return;
        }
        let renewal_due = self.states.values().any(|state| state.is_renewal_due(now));
        let batch_end = now + self.settings.lease_duration / BATCHING_DIVISOR;
        let renew_until = renewal_due.then_some(batch_end);
        let tasks: Vec<TaskId> = self.states.keys().copied().collect();
        for task in tasks {
            let may_acquire = self.may_acquire();
            let due = |state: &LeaseState| state.due_step(now, may_acquire, renew_until);
            match self.states.get(&task).and_then(due) {
                Some(DueStep::Acquire) => self.acquire(now, wall_clock, task, outputs),
                Some(DueStep::AbandonAttempt) => self.abandon_attempt(now, task, outputs),
                Some(DueStep::Expire) => self.expire(now, task, outputs),
                Some(DueStep::Renew) => self.renew(now, task, outputs),
                None => {}
            }
        }
    }

    fn acquire(&mut self, now: Millis, wall_clock: Millis, task: TaskId, outputs: &mut Vec<Output>) {
        let token = self.next_token(task, wall_clock);
        let round = self.open_round(now);
        let deadline = now + self.settings.lease_duration / REPLY_TIMEOUT_DIVISOR;
        self.states.insert(task, LeaseState::Acquiring { token, round, deadline });
        self.request_votes(now, task, token, outputs);
    }

    fn renew(&mut self, now: Millis, task: TaskId, outputs: &mut Vec<Output>) {
        let Some(LeaseState::Held { token, expires_at, .. }) = self.states.get(&task) else { return };
        let token = *token;
        let expires_at = *expires_at;
        let round = self.open_round(now);
        let renew_at = now + (self.settings.lease_duration / RENEWAL_RETRY_DIVISOR).max(1);
        self.states.insert(task, LeaseState::Held { token, round, expires_at, renew_at });
        self.request_votes(now, task, token, outputs);
    }

    fn expire(&mut self, now: Millis, task: TaskId, outputs: &mut Vec<Output>) {
        if let Some(token) = self.states.get(&task).and_then(LeaseState::token) {
            outputs.push(Output::Lost(LostLease { task, token, released: false }));
        }
        let next_attempt_at = self.jittered(now + 1);
        self.states.insert(task, LeaseState::Idle { next_attempt_at });
    }

    /// Requests a lease from all voters. If this gateway is a voter, its own vote is recorded at once.
    fn request_votes(&mut self, now: Millis, task: TaskId, token: FencingToken, outputs: &mut Vec<Output>) {
        let request = LeaseRequest { task, token, duration: self.settings.lease_duration };
        self.outbox.push(Item::Request(request));
        let vote = Vote::from(self.vote(now, self.voters_version(), self.settings.holder_id(), &request));
        let voter = self.settings.gateway;
        if self.settings.voters.voters.contains(&voter) {
            let round = self.outbox.round_number();
            self.record_vote(now, VoteReply { voter, round, task, token, vote }, outputs);
        }
    }

    /// A new token, higher than all tokens that this gateway knows of.
    fn next_token(&mut self, task: TaskId, wall_clock: Millis) -> FencingToken {
        if self.is_disabled(DisabledRule::TokenUniqueness) {
            return FencingToken::from(task) + 1;
        }
        self.highest_token = token_after(self.highest_token, wall_clock, self.settings.gateway);
        self.highest_token
    }

    /// Holds the lease of a task whose newest round a majority has granted. The duration counts from before the round
    /// was sent.
    pub(super) fn hold(&mut self, now: Millis, task: TaskId, outputs: &mut Vec<Output>) {
        let Some(state) = self.states.get(&task) else { return };
        let (Some(token), Some(round)) = (state.token(), state.round().cloned()) else { return };
        let was_held = state.is_held();
        let duration = self.settings.holder_duration(self.settings.lease_duration);
        let counted_from =
            if self.is_disabled(DisabledRule::ExpiryFromRequest) { now } else { round.started_at };
        let expires_at = counted_from + duration;
        if expires_at <= now {
            return;
        }
        if !was_held {
            #[cfg(feature = "disable-lease-check")]
            self.ever_held.insert(task, token);
            outputs.push(Output::Acquired(AcquiredLease { task, token, expires_at }));
        }
        self.last_refusals.remove(&task);
        let renew_at = round.started_at + duration / RENEWAL_DIVISOR;
        self.states.insert(task, LeaseState::Held { token, round, expires_at, renew_at });
    }
}

/// The first token of `gateway` above `highest` and not below the wall clock, in ms since the Unix epoch.
fn token_after(highest: FencingToken, wall_clock: Millis, gateway: GatewayNumber) -> FencingToken {
    let base = (highest >> TOKEN_GATEWAY_BITS).saturating_add(1).max(wall_clock);
    base << TOKEN_GATEWAY_BITS | FencingToken::from(gateway)
}

#[cfg(test)]
mod tests;
