//! Processes messages from other gateways, and votes on their requests.

use super::Leases;
use super::quorum::{Vote, VoteReply};
use super::state::LeaseState;
use super::timing::TRANSFER_DELAY_DIVISOR;
use crate::{
    DisabledRule, FencingToken, GatewayNumber, HolderId, Item, LeaseRequest, Message, Millis, Output,
    Refusal, TaskId,
};

impl Leases {
    /// Processes a message and replies to its requests.
    pub(super) fn receive_message(
        &mut self, now: Millis, from: GatewayNumber, incarnation: u64, message: &Message,
        outputs: &mut Vec<Output>,
    ) {
        self.highest_token = self.highest_token.max(message.highest_token);
        self.reported_versions.insert(from, message.voters_version);
        let sender = HolderId { gateway: from, incarnation };
        let reply = |task: TaskId, token: FencingToken, vote: Vote| VoteReply {
            voter: from,
            round: message.round,
            task,
            token,
            vote,
        };
        let mut replies = Vec::new();
        for item in &message.items {
            match *item {
                Item::Request(request) => {
                    replies.push(self.answer(now, message.voters_version, sender, &request));
                }
                Item::Grant { task, token } => {
                    self.record_vote(now, reply(task, token, Vote::Granted), outputs);
                }
                Item::Refuse { task, token, reason } => {
                    self.record_vote(now, reply(task, token, Vote::Refused(reason)), outputs);
                }
                Item::Release { task, token, transfer_to } => {
                    self.voter.release(now, sender, task, token, transfer_to);
                }
                Item::Transfer { task } => self.accept_transfer(now, task),
            }
        }
        if !replies.is_empty() {
            let message = self.message(message.round, replies);
            outputs.push(Output::Send { to: from, message });
        }
    }

    /// Votes on a request. Returns the reply.
    fn answer(
        &mut self, now: Millis, voters_version: u64, requester: HolderId, request: &LeaseRequest,
    ) -> Item {
        let LeaseRequest { task, token, .. } = *request;
        match self.vote(now, voters_version, requester, request) {
            Ok(()) => Item::Grant { task, token },
            Err(reason) => Item::Refuse { task, token, reason },
        }
    }

    /// Votes on a request from a gateway whose voter configuration has the version `voters_version`. Versions older
    /// than this gateway's are refused: once a majority of the voters does so, no majority of an older version can
    /// grant anything.
    pub(super) fn vote(
        &mut self, now: Millis, voters_version: u64, requester: HolderId, request: &LeaseRequest,
    ) -> Result<(), Refusal> {
        if !self.is_voting(now) {
            return Err(Refusal::NotVoting);
        }
        let own = self.voters_version();
        let is_compatible = voters_version == own || voters_version == own + 1;
        if !is_compatible && !self.is_disabled(DisabledRule::VoterVersions) {
            return Err(Refusal::VersionMismatch);
        }
        self.highest_token = self.highest_token.max(request.token);
        let allow_reused_token = self.is_disabled(DisabledRule::TokenUniqueness);
        self.voter.grant(now, self.settings.max_lease_duration, requester, request, allow_reused_token)
    }

    /// Requests a task soon, because its holder has released it for this gateway.
    fn accept_transfer(&mut self, now: Millis, task: TaskId) {
        let delay = (self.settings.lease_duration / TRANSFER_DELAY_DIVISOR).max(1);
        if let Some(LeaseState::Idle { next_attempt_at }) = self.states.get_mut(&task) {
            *next_attempt_at = now + delay;
        }
    }
}
