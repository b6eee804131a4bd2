//! Who votes.

use super::*;

impl Leases {
    /// A list one version on waits until this one is settled. A gateway that has missed versions begins as after a start:
    /// it gives all back and promises nothing until what it promised has run out.
    pub(super) fn take_voters(&mut self, now: Millis, voters: VoterConfiguration, out: &mut Vec<Output>) {
        if voters == self.settings.voters {
            return;
        }
        let missed = voters.version > self.voters_version() + 1 && voters.validate().is_ok();
        match self.settings.voters.may_follow(&voters) {
            _ if missed && !self.is(DisabledRule::VoterVersions) => {
                for task in self.settings.tasks.clone() {
                    self.give_back(now, task, None, out);
                }
                self.flush(now, out);
                self.settings.voters = voters;
                (self.voters_in_force, self.next_voters, self.majority_reached_at) = (false, None, None);
                self.voting_from = now + self.settings.startup_wait();
            }
            Err(fault) if !self.is(DisabledRule::VoterVersions) => out.push(Output::VotersRejected(fault)),
            _ => self.next_voters = Some(voters),
        }
    }

    /// Moves on to the next list where a majority of this one has long left those before it.
    pub(super) fn settle(&mut self, now: Millis, out: &mut Vec<Output>) {
        let spoilt = self.is(DisabledRule::VoterVersions);
        let (list, version) = match (self.voters_in_force, &self.next_voters) {
            (true, None) => return,
            (true, Some(_)) => (&self.settings.voters.voters, self.voters_version()),
            (false, _) => (&self.settings.voters.previous_voters, self.voters_version() - 1),
        };
        let at = |number: &&GatewayNumber| {
            **number == self.settings.gateway
                || self.reported_versions.get(number).is_some_and(|v| *v >= version)
        };
        if list.iter().filter(at).count() * 2 <= list.len() && !spoilt {
            self.majority_reached_at = None;
            return;
        }
        let since = *self.majority_reached_at.get_or_insert(now);
        if now < since + self.settings.startup_wait() && !spoilt {
            return;
        }
        self.majority_reached_at = None;
        if !self.voters_in_force {
            self.voters_in_force = true;
        } else if let Some(next) = self.next_voters.take() {
            self.settings.voters = next;
            // Answers of voters of the old list count for nothing any more.
            for seat in self.states.values_mut() {
                match seat {
                    LeaseState::Acquiring { round, deadline: until, .. } => {
                        (round.number, *until) = (0, now);
                    }
                    LeaseState::Held { round, renew_at: renew, .. } => (round.number, *renew) = (0, now),
                    LeaseState::Idle { .. } => {}
                }
            }
        }
        out.push(Output::VotersInForce(self.voters_version()));
    }
}
