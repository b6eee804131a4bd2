//! What is said to all.

use super::*;

impl Leases {
    pub(super) fn message(&self, round: u64) -> Message {
        Message {
            voters_version: self.voters_version(),
            highest_token: self.highest_token,
            round,
            items: Vec::new(),
        }
    }

    pub(super) fn flush(&mut self, now: Millis, out: &mut Vec<Output>) {
        let items = std::mem::take(&mut self.outgoing_items);
        self.round_open = false;
        let beat = now >= self.next_heartbeat_at;
        if beat {
            self.next_heartbeat_at = now + (self.settings.lease_duration / BEATS).max(1);
            self.voter.remove_expired(now);
        }
        let me = self.settings.gateway;
        let voters = &self.settings.voters;
        let to: BTreeSet<GatewayNumber> = match (items.is_empty(), beat) {
            (true, false) => return,
            (false, false) => voters.voters.union(&voters.previous_voters).copied().collect(),
            (_, true) => voters
                .voters
                .iter()
                .chain(&voters.previous_voters)
                .chain(&self.settings.gateways)
                .copied()
                .collect(),
        };
        for to in to.into_iter().filter(|to| *to != me) {
            let message = Message { items: items.clone(), ..self.message(self.round_number) };
            out.push(Output::Send { to, message });
        }
    }
}
