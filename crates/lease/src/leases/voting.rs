//! What others say, and this gateway's vote.

use super::*;

impl Leases {
    pub(super) fn heard(
        &mut self, now: Millis, from: GatewayNumber, incarnation: u64, message: &Message,
        out: &mut Vec<Output>,
    ) {
        self.highest_token = self.highest_token.max(message.highest_token);
        self.reported_versions.insert(from, message.voters_version);
        let mut replies = Vec::new();
        for item in &message.items {
            match *item {
                Item::Request(ask) => {
                    let (task, token) = (ask.task, ask.token);
                    replies.push(match self.vote(now, message.voters_version, (from, incarnation), &ask) {
                        Ok(()) => Item::Grant { task, token },
                        Err(why) => Item::Refuse { task, token, reason: why },
                    });
                }
                Item::Grant { task, token } => {
                    self.answered(now, from, message.round, task, token, Ok(()), out)
                }
                Item::Refuse { task, token, reason: why } => {
                    self.answered(now, from, message.round, task, token, Err(why), out)
                }
                Item::Release { task, token, transfer_to: to } => {
                    self.voter.release(now, (from, incarnation), task, token, to)
                }
                Item::Transfer { task } => {
                    let soon = now + (self.settings.lease_duration / (2 * PATIENCE)).max(1);
                    if let Some(LeaseState::Idle { next_attempt_at: next }) = self.states.get_mut(&task) {
                        *next = soon;
                    }
                }
            }
        }
        if !replies.is_empty() {
            out.push(Output::Send {
                to: from,
                message: Message { items: replies, ..self.message(message.round) },
            });
        }
    }

    /// This gateway's word on an ask.
    pub(super) fn vote(
        &mut self, now: Millis, version: u64, holder: (GatewayNumber, u64), ask: &LeaseRequest,
    ) -> Result<(), Refusal> {
        if !self.is_voting(now) {
            return Err(Refusal::NotVoting);
        }
        let own = self.voters_version();
        if version != own && version != own + 1 && !self.is(DisabledRule::VoterVersions) {
            return Err(Refusal::VersionMismatch);
        }
        self.highest_token = self.highest_token.max(ask.token);
        let again = self.is(DisabledRule::TokenUniqueness);
        self.voter.request(now, self.settings.max_lease_duration, holder, ask, again)
    }
}
