//! The state of one peer, and which of its datagrams are accepted.

use crate::envelope::Envelope;
use crate::rate_limit::RateLimit;
use crate::replay_window::ReplayWindow;
use crate::{GatewayNumber, Millis};
use std::collections::VecDeque;

/// How many former starts of a peer are remembered, whose datagrams are dropped.
const MAX_FORMER_INCARNATIONS: usize = 32;
/// The weight of the newest sample in the smoothed round trip and clock offset.
const SMOOTHING_WEIGHT: f64 = 0.2;

/// The status of a peer, for operators. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerStatus {
    /// The peer.
    pub gateway: GatewayNumber,
    /// How long ago a datagram of the peer was last accepted; `None` if none ever was.
    pub last_received_ago: Option<Millis>,
    /// Whether the peer counts as unreachable.
    pub unreachable: bool,
    /// The smoothed round-trip time.
    pub round_trip: Option<f64>,
    /// How far the peer's wall clock is ahead of this gateway's, smoothed.
    pub clock_offset: Option<f64>,
    /// Datagrams accepted from the peer.
    pub received: u64,
    /// Datagrams with sequence numbers between those of accepted datagrams that were not accepted themselves.
    pub lost: u64,
    /// Datagrams sent to the peer.
    pub sent: u64,
}

/// The times of the newest datagram of a peer by the peer's clock. They are echoed to the peer, which computes the
/// round-trip time from them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Echo {
    /// When the datagram was sent, on the peer's clock; 0 where none was received.
    pub(crate) sent_at: Millis,
    /// When the datagram was received, on this gateway's clock.
    pub(crate) received_at: Millis,
}

/// The state of one peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The current start of the peer's process; `None` until its first datagram is accepted.
    pub(crate) incarnation: Option<u64>,
    former_incarnations: VecDeque<u64>,
    replay_window: ReplayWindow,
    /// Datagrams accepted from former starts of the peer.
    former_received: u64,
    /// Datagrams of former starts of the peer that were numbered and not accepted.
    former_lost: u64,
    /// The sequence number of the last datagram sent to the peer.
    pub(crate) sequence: u64,
    pub(crate) last_received_at: Option<Millis>,
    pub(crate) unreachable: bool,
    pub(crate) echo: Echo,
    round_trip: Option<f64>,
    clock_offset: Option<f64>,
    pub(crate) receive_limit: RateLimit,
    pub(crate) send_limit: RateLimit,
    /// No hello is sent to the peer before this time.
    pub(crate) next_hello_at: Millis,
}

impl Peer {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            incarnation: None,
            former_incarnations: VecDeque::new(),
            replay_window: ReplayWindow::default(),
            former_received: 0,
            former_lost: 0,
            sequence: 0,
            last_received_at: None,
            unreachable: false,
            echo: Echo::default(),
            round_trip: None,
            clock_offset: None,
            receive_limit: RateLimit::new(now),
            send_limit: RateLimit::new(now),
            next_hello_at: now,
        }
    }

    /// Whether this is one of the remembered former starts of the peer.
    pub(crate) fn is_former_incarnation(&self, incarnation: u64) -> bool {
        self.former_incarnations.contains(&incarnation)
    }

    /// Records the start of the peer that sent an authentic datagram. Returns whether it is a new one; then the state
    /// of the former start is dropped, except for its counts.
    pub(crate) fn accept_incarnation(&mut self, incarnation: u64) -> bool {
        if self.incarnation == Some(incarnation) {
            return false;
        }
        if let Some(former) = self.incarnation.replace(incarnation) {
            self.former_incarnations.push_back(former);
            if self.former_incarnations.len() > MAX_FORMER_INCARNATIONS {
                self.former_incarnations.pop_front();
            }
        }
        self.former_lost += self.replay_window.missing();
        self.former_received += self.replay_window.accepted();
        self.replay_window = ReplayWindow::default();
        self.echo = Echo::default();
        self.round_trip = None;
        self.clock_offset = None;
        true
    }

    /// Accepts a sequence number of the current start if it was not accepted before. Returns whether it was accepted.
    pub(crate) fn accept_sequence(&mut self, sequence: u64) -> bool {
        self.replay_window.accept(sequence)
    }

    /// Updates the round-trip time and the clock offset from the clocks in an accepted datagram.
    pub(crate) fn record_clocks(&mut self, now: Millis, wall_clock: Millis, envelope: &Envelope) {
        if envelope.sent_at >= self.echo.sent_at {
            self.echo = Echo { sent_at: envelope.sent_at, received_at: now };
        }
        let echoed = envelope.echoed_sent_at;
        let held_for = envelope.echo_held_for;
        if echoed > 0 && now >= echoed.saturating_add(held_for) {
            self.round_trip = Some(smoothed(self.round_trip, (now - echoed - held_for) as f64));
        }
        let one_way = self.round_trip.unwrap_or_default() / 2.0;
        let offset = envelope.wall_clock as f64 + one_way - wall_clock as f64;
        self.clock_offset = Some(smoothed(self.clock_offset, offset));
    }

    /// Records that a datagram was accepted. Returns whether the peer has become reachable.
    pub(crate) fn record_received(&mut self, now: Millis) -> bool {
        let became_reachable = self.unreachable || self.last_received_at.is_none();
        self.unreachable = false;
        self.last_received_at = Some(now);
        became_reachable
    }

    pub(crate) fn status(&self, gateway: GatewayNumber, now: Millis) -> PeerStatus {
        PeerStatus {
            gateway,
            last_received_ago: self.last_received_at.map(|at| now.saturating_sub(at)),
            unreachable: self.unreachable,
            round_trip: self.round_trip,
            clock_offset: self.clock_offset,
            received: self.former_received + self.replay_window.accepted(),
            lost: self.former_lost + self.replay_window.missing(),
            sent: self.sequence,
        }
    }
}

/// An exponentially weighted mean; the first sample is taken as it is.
fn smoothed(mean: Option<f64>, sample: f64) -> f64 {
    mean.map_or(sample, |mean| mean + SMOOTHING_WEIGHT * (sample - mean))
}

#[cfg(test)]
mod tests;
