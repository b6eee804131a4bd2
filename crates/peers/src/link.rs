//! The link of one gateway: receives and sends datagrams, and reports events of peers.
//!
//! A hello is a datagram without a payload. It tells its receiver the incarnation of its sender.

use crate::envelope::{Datagram, Envelope, HELLO_CHANNEL, is_authentic, seal};
use crate::peer::Peer;
use crate::{
    DropCounters, DropReason, ENVELOPE_VERSION, GatewayNumber, MAX_DATAGRAM_BYTES, Millis, PeerStatus,
    Settings, SettingsError,
};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The shortest time between two hellos to one peer, in ms.
const HELLO_INTERVAL_MS: Millis = 50;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A payload that was received from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// The peer.
    pub sender: GatewayNumber,
    /// Identifies the start of the peer's process.
    pub incarnation: u64,
    /// Which part of the program the payload is for.
    pub channel: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// A change of a peer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// The peer is reachable, for the first time or again.
    Up(GatewayNumber),
    /// The peer was restarted.
    Restarted(GatewayNumber),
    /// Nothing was received from the peer for as long as the settings allow.
    Unreachable(GatewayNumber),
}

/// The link of one gateway.
#[derive(Debug)]
pub struct Link {
    settings: Settings,
    peers: BTreeMap<GatewayNumber, Peer>,
    drops: DropCounters,
    started_at: Millis,
}

impl Link {
    /// A link that has not received a datagram from any peer yet.
    ///
    /// # Errors
    /// Settings that cannot be used.
    pub fn new(now: Millis, settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        let peers = settings.peers.keys().map(|number| (*number, Peer::new(now))).collect();
        Ok(Self { settings, peers, drops: DropCounters::default(), started_at: now })
    }

    /// Changes peers, addresses or secrets. The state of peers that remain is kept. The incarnation in `settings` is
    /// ignored, because a change of the settings is not a start.
    ///
    /// # Errors
    /// Settings that cannot be used; the previous settings stay in force.
    pub fn configure(&mut self, now: Millis, settings: Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        self.settings = Settings { incarnation: self.settings.incarnation, ..settings };
        let named = &self.settings.peers;
        self.peers.retain(|number, _| named.contains_key(number));
        for number in named.keys() {
            self.peers.entry(*number).or_insert_with(|| Peer::new(now));
        }
        Ok(())
    }

    /// Identifies this start of the process.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.settings.incarnation
    }

    /// Processes a datagram. Returns its payload if the datagram is accepted and is not a hello; counts it if it is
    /// dropped. `now` is the time of the monotonic clock, `wall_clock` the system time in ms since the Unix epoch.
    /// Hellos to send are appended to `hellos`, changes of the peer's state to `events`.
    pub fn receive(
        &mut self, now: Millis, wall_clock: Millis, bytes: &[u8], hellos: &mut Vec<OutgoingDatagram>,
        events: &mut Vec<PeerEvent>,
    ) -> Option<ReceivedPayload> {
        match self.accept(now, wall_clock, bytes, hellos, events) {
            Ok(received) => Some(received).filter(|received| received.channel != HELLO_CHANNEL),
            Err(reason) => {
                self.drops.record(reason);
                None
            }
        }
    }

    fn accept(
        &mut self, now: Millis, wall_clock: Millis, bytes: &[u8], hellos: &mut Vec<OutgoingDatagram>,
        events: &mut Vec<PeerEvent>,
    ) -> Result<ReceivedPayload, DropReason> {
        let envelope = self.authenticate(bytes)?;
        let Envelope { sender, incarnation, .. } = envelope;
        let peer = self.peers.get_mut(&sender).ok_or(DropReason::UnknownSender)?;
        if envelope.receiver != self.settings.gateway {
            return Err(DropReason::OtherReceiver);
        }
        if !peer.receive_limit.try_take(now) {
            return Err(DropReason::RateExceeded);
        }
        if incarnation == 0 || peer.is_former_incarnation(incarnation) {
            return Err(DropReason::Stale);
        }
        if envelope.receiver_incarnation != self.settings.incarnation {
            hellos.extend(self.hello_reply(now, wall_clock, sender, incarnation));
            return Err(DropReason::Stale);
        }
        let was_known = peer.incarnation.is_some();
        if peer.accept_incarnation(incarnation) && was_known {
            events.push(PeerEvent::Restarted(sender));
        }
        if !peer.accept_sequence(envelope.sequence) {
            return Err(DropReason::Replayed);
        }
        peer.record_clocks(now, wall_clock, &envelope);
        if peer.record_received(now) {
            events.push(PeerEvent::Up(sender));
        }
        Ok(ReceivedPayload { sender, incarnation, channel: envelope.channel, payload: envelope.payload })
    }

    /// The envelope of a datagram that was sealed with one of this fleet's secrets. Before the tag is verified, only
    /// the fleet's id is used.
    fn authenticate(&self, bytes: &[u8]) -> Result<Envelope, DropReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLong);
        }
        let datagram = Datagram::decode(bytes).map_err(|_| DropReason::Unreadable)?;
        let envelope = Envelope::decode(&*datagram.envelope).map_err(|_| DropReason::Unreadable)?;
        if envelope.fleet != self.settings.fleet {
            return Err(DropReason::OtherFleet);
        }
        if !is_authentic(&datagram, &self.settings.secrets) {
            return Err(DropReason::Forged);
        }
        if envelope.version != ENVELOPE_VERSION {
            return Err(DropReason::UnknownVersion);
        }
        Ok(envelope)
    }

    /// A hello in reply to a datagram of a peer that does not know the incarnation of this gateway. It is addressed to
    /// the incarnation of the peer that sent the datagram. `None` where no hello is due or the rate limit is reached.
    fn hello_reply(
        &mut self, now: Millis, wall_clock: Millis, to: GatewayNumber, incarnation: u64,
    ) -> Option<OutgoingDatagram> {
        self.may_send_hello(now, to).then_some(())?;
        let hello = self.envelope(now, wall_clock, to, Some(incarnation))?;
        Some(self.seal(to, &hello))
    }

    /// Seals a payload for a peer. A peer whose incarnation is not known gets a hello instead of the payload. `None`
    /// where the peer is not in the settings, the rate limit is reached, no hello is due, or the datagram would be too
    /// long.
    pub fn send(
        &mut self, now: Millis, wall_clock: Millis, to: GatewayNumber, channel: u32, payload: Vec<u8>,
    ) -> Option<OutgoingDatagram> {
        let incarnation = self.peers.get(&to)?.incarnation;
        let envelope = if incarnation.is_some() {
            Envelope { channel, payload, ..self.envelope(now, wall_clock, to, incarnation)? }
        } else {
            self.may_send_hello(now, to).then_some(())?;
            self.envelope(now, wall_clock, to, None)?
        };
        let datagram = self.seal(to, &envelope);
        (datagram.bytes.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    /// Whether a hello to a peer is due. If so, the next one is due after [`HELLO_INTERVAL_MS`].
    fn may_send_hello(&mut self, now: Millis, to: GatewayNumber) -> bool {
        let Some(peer) = self.peers.get_mut(&to) else { return false };
        let is_due = now >= peer.next_hello_at;
        if is_due {
            peer.next_hello_at = now + HELLO_INTERVAL_MS;
        }
        is_due
    }

    /// The envelope of the next datagram to a peer, filled in as a hello. `None` where the rate limit is reached.
    fn envelope(
        &mut self, now: Millis, wall_clock: Millis, to: GatewayNumber, incarnation: Option<u64>,
    ) -> Option<Envelope> {
        let peer = self.peers.get_mut(&to)?;
        if !peer.send_limit.try_take(now) {
            return None;
        }
        peer.sequence += 1;
        Some(Envelope {
            version: ENVELOPE_VERSION,
            fleet: self.settings.fleet,
            sender: self.settings.gateway,
            incarnation: self.settings.incarnation,
            receiver: to,
            receiver_incarnation: incarnation.unwrap_or_default(),
            sequence: peer.sequence,
            sent_at: now,
            wall_clock,
            echoed_sent_at: peer.echo.sent_at,
            echo_held_for: now.saturating_sub(peer.echo.received_at),
            channel: HELLO_CHANNEL,
            payload: Vec::new(),
        })
    }

    fn seal(&self, to: GatewayNumber, envelope: &Envelope) -> OutgoingDatagram {
        let secret = self.settings.secrets.first().map(Vec::as_slice).unwrap_or_default();
        OutgoingDatagram { to: self.settings.peers[&to], bytes: seal(envelope, secret) }
    }

    /// Appends an event for each peer that has become unreachable.
    pub fn tick(&mut self, now: Millis, events: &mut Vec<PeerEvent>) {
        for (number, peer) in &mut self.peers {
            let since = peer.last_received_at.unwrap_or(self.started_at);
            if !peer.unreachable && now >= since + self.settings.unreachable_after {
                peer.unreachable = true;
                events.push(PeerEvent::Unreachable(*number));
            }
        }
    }

    /// When the next peer becomes unreachable if nothing is received.
    #[must_use]
    pub fn next_timeout(&self) -> Millis {
        let reachable = self.peers.values().filter(|peer| !peer.unreachable);
        let last_received = reachable.map(|peer| peer.last_received_at.unwrap_or(self.started_at));
        last_received.map(|at| at + self.settings.unreachable_after).min().unwrap_or(Millis::MAX)
    }

    /// The numbers of the peers.
    #[must_use]
    pub fn peer_numbers(&self) -> BTreeSet<GatewayNumber> {
        self.peers.keys().copied().collect()
    }

    /// The status of each peer, for operators.
    pub fn statuses(&self, now: Millis) -> impl Iterator<Item = PeerStatus> {
        self.peers.iter().map(move |(number, peer)| peer.status(*number, now))
    }

    /// How many datagrams were dropped, by reason.
    #[must_use]
    pub fn drops(&self) -> DropCounters {
        self.drops
    }
}
