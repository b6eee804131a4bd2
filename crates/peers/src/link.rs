//! The link: datagrams in and out, drops by cause, silence as an event.

use crate::envelope::{Datagram, Envelope, is_ours, seal};
use crate::peer::Peer;
use crate::{ENVELOPE_VERSION, GatewayNumber, MAX_DATAGRAM_BYTES, Millis, PeerStatus};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A hello is sent to a peer that is not known this often at most, in ms.
const HELLO: Millis = 50;
/// A secret has at least so many bytes.
const SECRET: usize = 16;

/// What the link is set up with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's number, see `fleet_of`.
    pub fleet: u64,
    /// This gateway.
    pub gateway: GatewayNumber,
    /// This start of it: by chance, not 0.
    pub incarnation: u64,
    /// The other gateways and where they are reached.
    pub peers: BTreeMap<GatewayNumber, SocketAddr>,
    /// The secrets: all are good for what comes, the first is used for what goes.
    pub secrets: Vec<Vec<u8>>,
    /// A peer of whom nothing was heard for so many ms counts as silent.
    pub unreachable_after: Millis,
}

/// Settings that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// No secret, or one that is too short.
    SecretTooShort,
    /// This gateway is among its peers.
    OwnPeer,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::SecretTooShort => write!(f, "a secret must have at least {SECRET} bytes"),
            Self::OwnPeer => f.write_str("a gateway cannot be its own peer"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Longer than any that is sent.
    TooLong,
    /// No datagram of this protocol.
    Unreadable,
    /// Of another fleet.
    OtherFleet,
    /// Its tag was made with no secret of the fleet.
    Forged,
    /// Of another version of the envelope.
    UnknownVersion,
    /// From nobody that the settings name.
    UnknownSender,
    /// For another gateway.
    OtherReceiver,
    /// For another start of this gateway, or of a start of its sender that is over.
    Stale,
    /// Taken before, or so late that this cannot be told.
    Replayed,
    /// More than one peer may send.
    RateExceeded,
}

/// Datagrams dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters([u64; 10]);

impl DropCounters {
    const NAMES: [&'static str; 10] = [
        "too_long",
        "unreadable",
        "foreign",
        "forged",
        "version",
        "sender",
        "receiver",
        "stale",
        "replayed",
        "too_many",
    ];

    fn record(&mut self, why: DropReason) {
        self.0[why as usize] += 1;
    }

    /// How many were dropped for a cause.
    #[must_use]
    pub fn count(&self, why: DropReason) -> u64 {
        self.0[why as usize]
    }

    /// The causes by name and how many.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> {
        Self::NAMES.into_iter().zip(self.0)
    }
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

/// What a peer said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// Who.
    pub sender: GatewayNumber,
    /// Which start of it.
    pub incarnation: u64,
    /// Whose payload it is.
    pub channel: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// A change in what is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// Heard of, first or again after silence.
    Up(GatewayNumber),
    /// It was started again.
    Restarted(GatewayNumber),
    /// Nothing came for as long as the settings say.
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
    /// A link that knows its peers' addresses and nothing else.
    ///
    /// # Errors
    /// Settings that cannot be used.
    pub fn new(now: Millis, settings: Settings) -> Result<Self, SettingsError> {
        check(&settings)?;
        let peers = settings.peers.keys().map(|number| (*number, Peer::new(now))).collect();
        Ok(Self { settings, peers, drops: DropCounters::default(), started_at: now })
    }

    /// Other peers, addresses or secrets; what is known of those that stay is kept.
    ///
    /// # Errors
    /// Settings that cannot be used; the old ones hold.
    pub fn configure(&mut self, now: Millis, settings: Settings) -> Result<(), SettingsError> {
        check(&settings)?;
        // One start has one incarnation, whatever the settings.
        self.settings = Settings { incarnation: self.settings.incarnation, ..settings };
        let named = &self.settings.peers;
        self.peers.retain(|number, _| named.contains_key(number));
        for number in named.keys() {
            self.peers.entry(*number).or_insert_with(|| Peer::new(now));
        }
        Ok(())
    }

    /// This start's number.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.settings.incarnation
    }

    /// A datagram came. What it says, if it counts; hellos to send and changes are appended.
    pub fn receive(
        &mut self, now: Millis, wall: u64, bytes: &[u8], out: &mut Vec<OutgoingDatagram>,
        told: &mut Vec<PeerEvent>,
    ) -> Option<ReceivedPayload> {
        match self.take(now, wall, bytes, out, told) {
            Ok(heard) => Some(heard).filter(|h| h.channel != 0),
            Err(why) => {
                self.drops.record(why);
                None
            }
        }
    }

    fn take(
        &mut self, now: Millis, wall: u64, bytes: &[u8], out: &mut Vec<OutgoingDatagram>,
        told: &mut Vec<PeerEvent>,
    ) -> Result<ReceivedPayload, DropReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLong);
        }
        let datagram = Datagram::decode(bytes).map_err(|_| DropReason::Unreadable)?;
        // Of what is forged nothing is believed but how it is counted.
        let envelope = Envelope::decode(&*datagram.envelope).map_err(|_| DropReason::Unreadable)?;
        let Envelope { sender, incarnation, sequence, .. } = envelope;
        if envelope.fleet != self.settings.fleet {
            return Err(DropReason::OtherFleet);
        }
        if !is_ours(&datagram, &self.settings.secrets) {
            return Err(DropReason::Forged);
        }
        if envelope.version != ENVELOPE_VERSION {
            return Err(DropReason::UnknownVersion);
        }
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
            // It does not know this start: it is told, under its own number.
            if now >= peer.next_hello_at {
                peer.next_hello_at = now + HELLO;
                let hello = self.envelope(now, wall, sender, Some(incarnation), 0, Vec::new());
                out.extend(hello.map(|e| self.datagram(sender, &e)));
            }
            return Err(DropReason::Stale);
        }
        let known = peer.incarnation.is_some();
        if peer.accept_incarnation(incarnation) && known {
            told.push(PeerEvent::Restarted(sender));
        }
        if !peer.accept_sequence(sequence) {
            return Err(DropReason::Replayed);
        }
        peer.record_clocks(
            now,
            wall,
            envelope.sent_at,
            envelope.wall_clock,
            envelope.echoed_sent_at,
            envelope.echo_held_for,
        );
        if std::mem::take(&mut peer.unreachable) || peer.last_received_at.is_none() {
            told.push(PeerEvent::Up(sender));
        }
        peer.last_received_at = Some(now);
        Ok(ReceivedPayload { sender, incarnation, channel: envelope.channel, payload: envelope.payload })
    }

    /// A payload for a peer. Nothing goes to a peer that is not known, that has got more than its rate, or beyond the
    /// longest datagram; to one whose start is not known goes a hello in its place.
    pub fn send(
        &mut self, now: Millis, wall: u64, to: GatewayNumber, channel: u32, payload: Vec<u8>,
    ) -> Option<OutgoingDatagram> {
        let peer = self.peers.get_mut(&to)?;
        let known = peer.incarnation;
        if known.is_none() {
            if now < peer.next_hello_at {
                return None;
            }
            peer.next_hello_at = now + HELLO;
        }
        let (channel, payload) = if known.is_some() { (channel, payload) } else { (0, Vec::new()) };
        let envelope = self.envelope(now, wall, to, known, channel, payload)?;
        let datagram = self.datagram(to, &envelope);
        (datagram.bytes.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    fn envelope(
        &mut self, now: Millis, wall: u64, to: GatewayNumber, start: Option<u64>, channel: u32,
        payload: Vec<u8>,
    ) -> Option<Envelope> {
        let peer = self.peers.get_mut(&to)?;
        if !peer.send_limit.try_take(now) {
            return None;
        }
        peer.sequence += 1;
        let (echo, at) = peer.newest_sent;
        Some(Envelope {
            version: ENVELOPE_VERSION,
            fleet: self.settings.fleet,
            sender: self.settings.gateway,
            incarnation: self.settings.incarnation,
            receiver: to,
            receiver_incarnation: start.unwrap_or_default(),
            sequence: peer.sequence,
            sent_at: now,
            wall_clock: wall,
            echoed_sent_at: echo,
            echo_held_for: now.saturating_sub(at),
            channel,
            payload,
        })
    }

    fn datagram(&self, to: GatewayNumber, envelope: &Envelope) -> OutgoingDatagram {
        let secret = self.settings.secrets.first().map(Vec::as_slice).unwrap_or_default();
        OutgoingDatagram { to: self.settings.peers[&to], bytes: seal(envelope, secret) }
    }

    /// Time went by: who is silent now.
    pub fn tick(&mut self, now: Millis, told: &mut Vec<PeerEvent>) {
        for (number, peer) in &mut self.peers {
            let since = peer.last_received_at.unwrap_or(self.started_at);
            if !peer.unreachable && now >= since + self.settings.unreachable_after {
                peer.unreachable = true;
                told.push(PeerEvent::Unreachable(*number));
            }
        }
    }

    /// When the next peer would be silent.
    #[must_use]
    pub fn next_timeout(&self) -> Millis {
        let peers = self.peers.values().filter(|p| !p.unreachable);
        peers
            .map(|p| p.last_received_at.unwrap_or(self.started_at) + self.settings.unreachable_after)
            .min()
            .unwrap_or(Millis::MAX)
    }

    /// The peers' numbers.
    #[must_use]
    pub fn peer_numbers(&self) -> BTreeSet<GatewayNumber> {
        self.peers.keys().copied().collect()
    }

    /// What is known of each peer.
    pub fn statuses(&self, now: Millis) -> impl Iterator<Item = PeerStatus> {
        self.peers.iter().map(move |(number, peer)| peer.status(*number, now))
    }

    /// Datagrams dropped, by cause.
    #[must_use]
    pub fn drops(&self) -> DropCounters {
        self.drops
    }
}

fn check(settings: &Settings) -> Result<(), SettingsError> {
    if settings.secrets.is_empty() || settings.secrets.iter().any(|s| s.len() < SECRET) {
        return Err(SettingsError::SecretTooShort);
    }
    if settings.peers.contains_key(&settings.gateway) { Err(SettingsError::OwnPeer) } else { Ok(()) }
}
