//! Quorum rounds: the votes on one request for a lease, and what a majority of them decides.

use super::Leases;
use super::state::LeaseState;
use crate::voter_configuration::is_majority;
use crate::{FencingToken, GatewayNumber, LastRefusal, Millis, Output, Refusal, TaskId, VoterConfiguration};
use std::collections::{BTreeMap, BTreeSet};

/// A round number that no reply has: numbers start at 1.
const INVALID_ROUND: u64 = 0;

/// A voter's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Vote {
    /// The lease is granted.
    Granted,
    /// The lease is refused.
    Refused(Refusal),
}

impl From<Result<(), Refusal>> for Vote {
    fn from(decision: Result<(), Refusal>) -> Self {
        match decision {
            Ok(()) => Self::Granted,
            Err(reason) => Self::Refused(reason),
        }
    }
}

/// A voter's reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VoteReply {
    pub(super) voter: GatewayNumber,
    /// The round of the request.
    pub(super) round: u64,
    pub(super) task: TaskId,
    /// The token of the request.
    pub(super) token: FencingToken,
    pub(super) vote: Vote,
}

/// Another gateway's lease, as reported by a voter that refuses a request because of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CompetingLease {
    holder: GatewayNumber,
    /// How long the lease lasts at most, in ms.
    remaining: Millis,
}

/// One round of requests to the voters, and their votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct QuorumRound {
    number: u64,
    /// When the requests were made, on this gateway's clock. The duration of the lease counts from then.
    pub(super) started_at: Millis,
    pub(super) grants: BTreeSet<GatewayNumber>,
    /// The voters that refused, with the competing lease where that is the reason.
    refusals: BTreeMap<GatewayNumber, Option<CompetingLease>>,
}

/// What the votes of a round have decided so far.
enum RoundOutcome {
    Open,
    Granted,
    /// So many voters refused that a majority can no longer grant the request.
    Rejected,
}

impl QuorumRound {
    fn accepts(&self, reply: &VoteReply, token: FencingToken, voters: &VoterConfiguration) -> bool {
        reply.token == token && reply.round == self.number && voters.voters.contains(&reply.voter)
    }

    /// Makes this round ignore all replies from now on.
    pub(super) fn invalidate(&mut self) {
        self.number = INVALID_ROUND;
    }

    /// Records a refusal. `max_lease_duration` bounds the remaining time that a voter can report.
    fn record_refusal(&mut self, voter: GatewayNumber, reason: Refusal, max_lease_duration: Millis) {
        let competing = match reason {
            Refusal::HeldByOther { holder, remaining } => {
                Some(CompetingLease { holder, remaining: remaining.min(max_lease_duration) })
            }
            _ => None,
        };
        self.refusals.insert(voter, competing);
    }

    fn outcome(&self, voters: &VoterConfiguration) -> RoundOutcome {
        let not_refused = voters.voters.len() - self.refusals.len();
        if voters.is_majority(self.grants.len()) {
            RoundOutcome::Granted
        } else if voters.is_majority(not_refused) {
            RoundOutcome::Open
        } else {
            RoundOutcome::Rejected
        }
    }

    /// How long the lease of the holder that a majority of the voters names still lasts, in ms. 0 where no majority
    /// names the same holder: then candidates only competed with each other.
    fn competing_lease_remaining(&self, voters: &VoterConfiguration) -> Millis {
        let mut reports = BTreeMap::<GatewayNumber, Vec<Millis>>::new();
        for competing in self.refusals.values().flatten() {
            reports.entry(competing.holder).or_default().push(competing.remaining);
        }
        let holder =
            reports.into_values().find(|remaining| is_majority(remaining.len(), voters.voters.len()));
        holder.and_then(|remaining| remaining.into_iter().max()).unwrap_or(0)
    }
}

impl Leases {
    /// The round of a request made at `now`. All requests of one message belong to the same round.
    pub(super) fn open_round(&mut self, now: Millis) -> QuorumRound {
        QuorumRound {
            number: self.outbox.open_round(),
            started_at: now,
            grants: BTreeSet::new(),
            refusals: BTreeMap::new(),
        }
    }

    /// Records a voter's reply and, if its round is decided by it, holds the lease or abandons the attempt.
    pub(super) fn record_vote(&mut self, now: Millis, reply: VoteReply, outputs: &mut Vec<Output>) {
        self.record_last_refusal(&reply);
        let voters = &self.settings.voters;
        match (self.states.get_mut(&reply.task), reply.vote) {
            (Some(LeaseState::Acquiring { token, round, .. }), vote)
                if round.accepts(&reply, *token, voters) =>
            {
                match vote {
                    Vote::Granted => {
                        round.grants.insert(reply.voter);
                    }
                    Vote::Refused(reason) => {
                        round.record_refusal(reply.voter, reason, self.settings.max_lease_duration);
                    }
                }
                match round.outcome(voters) {
                    RoundOutcome::Granted => self.hold(now, reply.task, outputs),
                    RoundOutcome::Rejected => self.abandon_attempt(now, reply.task, outputs),
                    RoundOutcome::Open => {}
                }
            }
            (Some(LeaseState::Held { token, round, .. }), Vote::Granted)
                if round.accepts(&reply, *token, voters) =>
            {
                round.grants.insert(reply.voter);
                if voters.is_majority(round.grants.len()) {
                    self.hold(now, reply.task, outputs);
                }
            }
            _ => {}
        }
    }

    /// Keeps the last refusal of each of this gateway's own tasks. Refusals of other tasks are not kept, so that a peer
    /// cannot make the state of this gateway grow.
    fn record_last_refusal(&mut self, reply: &VoteReply) {
        if let Vote::Refused(reason) = reply.vote
            && self.states.contains_key(&reply.task)
        {
            self.last_refusals.insert(reply.task, LastRefusal { voter: reply.voter, reason });
        }
    }

    /// Ends an attempt that no majority granted. Its grants are released, so that they block no other candidate. Where
    /// a majority names the same holder, the next attempt is made after that holder's lease, otherwise soon; both with
    /// jitter.
    pub(super) fn abandon_attempt(&mut self, now: Millis, task: TaskId, outputs: &mut Vec<Output>) {
        let Some(LeaseState::Acquiring { token, round, .. }) = self.states.get(&task) else { return };
        let token = *token;
        let wait = round.competing_lease_remaining(&self.settings.voters);
        let last_refusal = self.last_refusals.get(&task).copied();
        outputs.push(Output::AcquisitionFailed { task, last_refusal });
        let next_attempt_at = self.jittered(now + 1 + wait);
        self.states.insert(task, LeaseState::Idle { next_attempt_at });
        self.release_grants(now, task, token, None);
    }
}

#[cfg(test)]
mod tests;
