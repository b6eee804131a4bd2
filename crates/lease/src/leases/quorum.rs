//! Rounds of requests and their answers.

use super::*;

impl Leases {
    /// All asks of one moment are one round.
    pub(super) fn round(&mut self, now: Millis) -> QuorumRound {
        if !std::mem::replace(&mut self.round_open, true) {
            self.round_number += 1;
        }
        QuorumRound {
            number: self.round_number,
            started_at: now,
            grants: BTreeSet::new(),
            refusals: BTreeMap::new(),
        }
    }

    #[allow(clippy::too_many_arguments, reason = "an answer is all of these")]
    pub(super) fn answered(
        &mut self, now: Millis, from: GatewayNumber, number: u64, task: TaskId, asked: FencingToken,
        said: Result<(), Refusal>, out: &mut Vec<Output>,
    ) {
        let voters = &self.settings.voters;
        let of_round = |t: FencingToken, r: &QuorumRound| {
            t == asked && r.number == number && voters.voters.contains(&from)
        };
        // Of this gateway's own tasks alone: what others say must not grow what is held here.
        if let Err(why) = said
            && self.states.contains_key(&task)
        {
            self.last_refusals.insert(task, (from, why));
        }
        match self.states.get_mut(&task) {
            Some(LeaseState::Acquiring { token, round, .. }) if of_round(*token, round) => {
                match said {
                    Ok(()) => drop(round.grants.insert(from)),
                    Err(Refusal::HeldByOther { holder: by, remaining: left }) => {
                        round.refusals.insert(from, Some((by, left.min(self.settings.max_lease_duration))));
                    }
                    Err(_) => drop(round.refusals.insert(from, None)),
                }
                let (token, left) = (*token, voters.voters.len() - round.refusals.len());
                if voters.is_majority(round.grants.len()) {
                    self.hold(now, task, token, out);
                } else if !voters.is_majority(left) {
                    self.give_up(now, task, out);
                }
            }
            Some(LeaseState::Held { token, round, .. }) if said.is_ok() && of_round(*token, round) => {
                round.grants.insert(from);
                let token = *token;
                if voters.is_majority(round.grants.len()) {
                    self.hold(now, task, token, out);
                }
            }
            _ => {}
        }
    }

    /// No majority can come: what was granted is given back, so that it is in nobody's way. Where a majority names one
    /// holder, its grants are waited out; else candidates only met, and another try by chance comes soon.
    pub(super) fn give_up(&mut self, now: Millis, task: TaskId, out: &mut Vec<Output>) {
        let Some(LeaseState::Acquiring { token, round, .. }) = self.states.get(&task) else { return };
        let mut holders = BTreeMap::<GatewayNumber, (usize, Millis)>::new();
        for (by, left) in round.refusals.values().flatten() {
            let held = holders.entry(*by).or_default();
            *held = (held.0 + 1, held.1.max(*left));
        }
        let voters = &self.settings.voters;
        let wait =
            holders.values().find(|(count, _)| voters.is_majority(*count)).map_or(0, |(_, left)| *left);
        let token = *token;
        out.push(Output::AcquisitionFailed { task, last_refusal: self.last_refusals.get(&task).copied() });
        let next = self.later(now + 1 + wait);
        self.states.insert(task, LeaseState::Idle { next_attempt_at: next });
        self.release(now, task, token, None);
    }
}
