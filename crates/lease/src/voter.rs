//! What one voter has granted. It knows no majorities: it keeps its own word and nothing else.

use crate::{FencingToken, GatewayNumber, LeaseRequest, Millis, Refusal, TaskId};
use std::collections::BTreeMap;

/// So many tasks are known of at most: four times what one link is made for.
const TASKS: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    holder: (GatewayNumber, u64),
    token: FencingToken,
    expires_at: Millis,
}

/// The grants of one voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    grants: BTreeMap<TaskId, Grant>,
    /// Who is to have a task that was handed over: for so long it is kept for it.
    reservations: BTreeMap<TaskId, (GatewayNumber, Millis)>,
    /// The highest token granted of each task: none is granted twice to two.
    highest_tokens: BTreeMap<TaskId, FencingToken>,
}

impl Voter {
    /// Grants an ask of a gateway's start, or says why not. `now` is this voter's own clock; `again` is a rule left out.
    pub(crate) fn request(
        &mut self, now: Millis, longest: Millis, holder: (GatewayNumber, u64), ask: &LeaseRequest,
        again: bool,
    ) -> Result<(), Refusal> {
        if ask.duration > longest {
            return Err(Refusal::LeaseTooLong);
        }
        if self.highest_tokens.len() >= TASKS && !self.highest_tokens.contains_key(&ask.task) {
            return Err(Refusal::TooManyTasks);
        }
        let live = self.grants.get(&ask.task).filter(|g| g.expires_at > now);
        if let Some(other) = live.filter(|g| g.holder != holder) {
            return Err(Refusal::HeldByOther { holder: other.holder.0, remaining: other.expires_at - now });
        }
        if let Some((by, until)) =
            self.reservations.get(&ask.task).filter(|(to, until)| *until > now && *to != holder.0)
        {
            return Err(Refusal::HeldByOther { holder: *by, remaining: *until - now });
        }
        let renewed = live.is_some_and(|g| g.token == ask.token);
        let highest = self.highest_tokens.get(&ask.task).copied().unwrap_or_default();
        if !renewed && ask.token <= highest && !again {
            return Err(Refusal::StaleToken);
        }
        // One ms more: `now` was cut to whole ms, and a promise must not run out early.
        let grant = Grant { holder, token: ask.token, expires_at: now + ask.duration + 1 };
        self.grants.insert(ask.task, grant);
        self.highest_tokens.insert(ask.task, highest.max(ask.token));
        Ok(())
    }

    /// A gateway gives back what it was granted. A release that is late names a token that is not granted any more.
    /// One that hands over keeps the task for the next holder, for no longer than the grant had left.
    pub(crate) fn release(
        &mut self, now: Millis, holder: (GatewayNumber, u64), task: TaskId, token: FencingToken,
        to: Option<GatewayNumber>,
    ) {
        let Some(grant) = self.grants.get(&task).filter(|g| g.holder == holder && g.token == token) else {
            return;
        };
        if let Some(to) = to.filter(|_| grant.expires_at > now) {
            self.reservations.insert(task, (to, grant.expires_at));
        }
        self.grants.remove(&task);
    }

    /// Forgets the grants of tasks long over; the highest tokens stay.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.grants.retain(|_, g| g.expires_at > now);
        self.reservations.retain(|_, (_, until)| *until > now);
    }

    /// Who has a task by this voter, under which token, and for how long yet.
    #[must_use]
    pub fn granted(&self, now: Millis, task: TaskId) -> Option<(GatewayNumber, FencingToken, Millis)> {
        let grant = self.grants.get(&task).filter(|g| g.expires_at > now)?;
        Some((grant.holder.0, grant.token, grant.expires_at - now))
    }
}
