//! Acquisition, renewal and expiry.

use super::*;

impl Leases {
    pub(super) fn may_seek(&self) -> bool {
        !self.shutting_down && self.voters_in_force
    }

    pub(super) fn seats(&mut self, now: Millis, wall: u64, out: &mut Vec<Output>) {
        if now < self.voting_from {
            return;
        }
        let (length, together) = (self.settings.lease_duration, self.settings.lease_duration / TOGETHER);
        let renewing = self
            .states
            .values()
            .any(|s| matches!(s, LeaseState::Held { renew_at: renew, .. } if *renew <= now));
        for task in self.states.keys().copied().collect::<Vec<_>>() {
            match self.states.get(&task) {
                Some(LeaseState::Idle { next_attempt_at: next }) if *next <= now && self.may_seek() => {
                    let token = self.make_token(task, wall);
                    let round = self.round(now);
                    let until = now + length / PATIENCE;
                    self.states.insert(task, LeaseState::Acquiring { token, round, deadline: until });
                    self.ask(now, LeaseRequest { task, token, duration: length }, out);
                }
                Some(LeaseState::Acquiring { deadline: until, .. }) if *until <= now => {
                    self.give_up(now, task, out)
                }
                Some(LeaseState::Held { token, expires_at: until, .. }) if *until <= now => {
                    out.push(Output::Lost(LostLease { task, token: *token, released: false }));
                    let next = self.later(now + 1);
                    self.states.insert(task, LeaseState::Idle { next_attempt_at: next });
                }
                Some(LeaseState::Held { token, expires_at: until, renew_at: renew, .. })
                    if renewing && *renew <= now + together =>
                {
                    let (token, until) = (*token, *until);
                    let (round, renew) = (self.round(now), now + (length / AGAIN).max(1));
                    self.states
                        .insert(task, LeaseState::Held { token, round, expires_at: until, renew_at: renew });
                    self.ask(now, LeaseRequest { task, token, duration: length }, out);
                }
                _ => {}
            }
        }
    }

    /// Asks all voters, this gateway's own word among them.
    pub(super) fn ask(&mut self, now: Millis, ask: LeaseRequest, out: &mut Vec<Output>) {
        self.outgoing_items.push(Item::Request(ask));
        let (own, me) = (
            self.vote(now, self.voters_version(), (self.settings.gateway, self.settings.incarnation), &ask),
            self.settings.gateway,
        );
        if self.settings.voters.voters.contains(&me) {
            self.answered(now, me, self.round_number, ask.task, ask.token, own, out);
        }
    }

    pub(super) fn make_token(&mut self, task: TaskId, wall: u64) -> FencingToken {
        if self.is(DisabledRule::TokenUniqueness) {
            return FencingToken::from(task) + 1;
        }
        let base = (self.highest_token >> MAKER).saturating_add(1).max(wall);
        self.highest_token = base << MAKER | FencingToken::from(self.settings.gateway);
        self.highest_token
    }

    /// A majority has granted the round in hand: the lease counts from before it was sent.
    pub(super) fn hold(&mut self, now: Millis, task: TaskId, token: FencingToken, out: &mut Vec<Output>) {
        let Some(LeaseState::Acquiring { round, .. } | LeaseState::Held { round, .. }) =
            self.states.get(&task)
        else {
            return;
        };
        let believed = self.settings.holder_duration(self.settings.lease_duration);
        let from = if self.is(DisabledRule::ExpiryFromRequest) { now } else { round.started_at };
        let (round, until, renew) = (round.clone(), from + believed, round.started_at + believed / RENEW);
        if until <= now {
            return;
        }
        if !matches!(self.states.get(&task), Some(LeaseState::Held { .. })) {
            #[cfg(feature = "disable-lease-check")]
            self.ever.insert(task, token);
            out.push(Output::Acquired(AcquiredLease { task, token, expires_at: until }));
        }
        self.last_refusals.remove(&task);
        self.states.insert(task, LeaseState::Held { token, round, expires_at: until, renew_at: renew });
    }
}
