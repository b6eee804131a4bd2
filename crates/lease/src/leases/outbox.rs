//! Batches the items for all voters into one message, and sends heartbeats.

use super::timing::HEARTBEATS_PER_LEASE;
use super::{Leases, Output};
use crate::{GatewayNumber, Item, Message, Millis};
use std::collections::BTreeSet;

/// The items of the next message to the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Outbox {
    items: Vec<Item>,
    /// Whether a request among the items has opened a round.
    round_open: bool,
    round_number: u64,
}

impl Outbox {
    pub(super) fn push(&mut self, item: Item) {
        self.items.push(item);
    }

    /// The number of the round to which the requests of the next message belong. The first request of a message opens a
    /// new round, so that all requests of a round are made at the same time.
    pub(super) fn open_round(&mut self) -> u64 {
        if !self.round_open {
            self.round_open = true;
            self.round_number += 1;
        }
        self.round_number
    }

    /// The number of the newest round.
    pub(super) fn round_number(&self) -> u64 {
        self.round_number
    }

    /// Takes the items and closes the round.
    fn take_items(&mut self) -> Vec<Item> {
        self.round_open = false;
        std::mem::take(&mut self.items)
    }
}

impl Leases {
    /// A message from this gateway.
    pub(super) fn message(&self, round: u64, items: Vec<Item>) -> Message {
        Message { voters_version: self.voters_version(), highest_token: self.highest_token, round, items }
    }

    /// Sends the items of the outbox to the voters of the current and the previous configuration; when a heartbeat is
    /// due, sends the message to all gateways.
    pub(super) fn flush(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let items = self.outbox.take_items();
        let heartbeat_due = now >= self.next_heartbeat_at;
        if heartbeat_due {
            self.next_heartbeat_at = now + (self.settings.lease_duration / HEARTBEATS_PER_LEASE).max(1);
            self.voter.remove_expired(now);
            self.remove_ended_acts(now);
        }
        if items.is_empty() && !heartbeat_due {
            return;
        }
        for to in self.receivers(heartbeat_due) {
            let message = self.message(self.outbox.round_number(), items.clone());
            outputs.push(Output::Send { to, message });
        }
    }

    fn receivers(&self, heartbeat: bool) -> BTreeSet<GatewayNumber> {
        let voters = &self.settings.voters;
        let mut receivers: BTreeSet<_> = voters.voters.union(&voters.previous_voters).copied().collect();
        if heartbeat {
            receivers.extend(&self.settings.gateways);
        }
        receivers.remove(&self.settings.gateway);
        receivers
    }
}
