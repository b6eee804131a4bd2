//! What is known of one peer, and which of its datagrams were taken.

use crate::{GatewayNumber, Millis};
use std::collections::VecDeque;

/// So many sequences below the newest are told apart: later ones are taken for replayed.
const WINDOW: u64 = 64;
/// So many former starts of a peer are remembered, lest their datagrams come again.
const FORMER: usize = 32;
/// Datagrams a second from or to one peer, and as many at once.
const RATE: f64 = 400.0;
const BURST: f64 = 800.0;
/// Weight of the newest round trip and clock difference.
const NEWEST: f64 = 0.2;

/// A bucket of datagrams: bounds what one peer may cost.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    held: f64,
    at: Millis,
}

impl RateLimit {
    pub fn new(now: Millis) -> Self {
        Self { held: BURST, at: now }
    }

    pub fn try_take(&mut self, now: Millis) -> bool {
        let since = now.saturating_sub(self.at) as f64;
        (self.held, self.at) = ((self.held + since * RATE / 1000.0).min(BURST), now.max(self.at));
        let fits = self.held >= 1.0;
        self.held -= f64::from(u8::from(fits));
        fits
    }
}

/// A peer as people see it. Times in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerStatus {
    /// Who.
    pub number: GatewayNumber,
    /// Since when nothing came; `None` if nothing ever did.
    pub heard: Option<Millis>,
    /// Whether it counts as silent.
    pub silent: bool,
    /// The smoothed round trip.
    pub round_trip: Option<f64>,
    /// How far its wall clock is ahead of this one's, smoothed.
    pub clock: Option<f64>,
    /// Datagrams taken and, of those that it numbered meanwhile, missing.
    pub taken: u64,
    /// Missing ones.
    pub lost: u64,
    /// Datagrams sent to it.
    pub sent: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub incarnation: Option<u64>,
    former: VecDeque<u64>,
    /// The first and newest sequence of this start, which of those just below were taken, and how many in all.
    first: u64,
    newest: u64,
    window: u64,
    taken: u64,
    lost_before: u64,
    taken_before: u64,
    /// What the next datagram to it is numbered.
    pub sequence: u64,
    pub last_received_at: Option<Millis>,
    pub unreachable: bool,
    /// Its newest `sent`, and when that came.
    pub newest_sent: (u64, Millis),
    round_trip: Option<f64>,
    clock: Option<f64>,
    pub receive_limit: RateLimit,
    pub send_limit: RateLimit,
    pub next_hello_at: Millis,
}

impl Peer {
    pub fn new(now: Millis) -> Self {
        Self {
            incarnation: None,
            former: VecDeque::new(),
            first: 0,
            newest: 0,
            window: 0,
            taken: 0,
            lost_before: 0,
            taken_before: 0,
            sequence: 0,
            last_received_at: None,
            unreachable: false,
            newest_sent: (0, 0),
            round_trip: None,
            clock: None,
            receive_limit: RateLimit::new(now),
            send_limit: RateLimit::new(now),
            next_hello_at: now,
        }
    }

    pub fn is_former_incarnation(&self, incarnation: u64) -> bool {
        self.former.contains(&incarnation)
    }

    /// A datagram of a start of it was found good: whether that is a new start.
    pub fn accept_incarnation(&mut self, incarnation: u64) -> bool {
        if self.incarnation == Some(incarnation) {
            return false;
        }
        if let Some(old) = self.incarnation.replace(incarnation) {
            self.former.push_back(old);
            if self.former.len() > FORMER {
                self.former.pop_front();
            }
        }
        (self.taken_before, self.lost_before) = (self.taken_before + self.taken, self.lost());
        (self.first, self.newest, self.window, self.taken) = (0, 0, 0, 0);
        (self.newest_sent, self.round_trip, self.clock) = ((0, 0), None, None);
        true
    }

    /// Whether a sequence of the present start was not taken yet; it is from now on.
    pub fn accept_sequence(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if self.newest == 0 || sequence > self.newest {
            let step = sequence - self.newest;
            self.window = if step >= WINDOW { 0 } else { self.window << step };
            self.window |= 1;
            if self.newest == 0 {
                self.first = sequence;
            }
            self.newest = sequence;
        } else {
            let back = self.newest - sequence;
            if back >= WINDOW || self.window >> back & 1 == 1 {
                return false;
            }
            self.window |= 1 << back;
            self.first = self.first.min(sequence);
        }
        self.taken += 1;
        true
    }

    fn lost(&self) -> u64 {
        let numbered = if self.newest == 0 { 0 } else { self.newest - self.first + 1 };
        self.lost_before + numbered.saturating_sub(self.taken)
    }

    /// The clocks of a datagram that was taken.
    pub fn record_clocks(&mut self, now: Millis, wall: u64, sent: u64, theirs: u64, echo: u64, held: u64) {
        if sent >= self.newest_sent.0 {
            self.newest_sent = (sent, now);
        }
        let smooth = |old: Option<f64>, new: f64| Some(old.map_or(new, |old| old + NEWEST * (new - old)));
        if echo > 0 && now >= echo.saturating_add(held) {
            self.round_trip = smooth(self.round_trip, (now - echo - held) as f64);
        }
        let way = self.round_trip.unwrap_or_default() / 2.0;
        self.clock = smooth(self.clock, theirs as f64 + way - wall as f64);
    }

    pub fn status(&self, number: GatewayNumber, now: Millis) -> PeerStatus {
        PeerStatus {
            number,
            heard: self.last_received_at.map(|at| now.saturating_sub(at)),
            silent: self.unreachable,
            round_trip: self.round_trip,
            clock: self.clock,
            taken: self.taken_before + self.taken,
            lost: self.lost(),
            sent: self.sequence,
        }
    }
}

#[cfg(test)]
mod tests;
