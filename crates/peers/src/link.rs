//! The link: datagrams in and out, drops by cause, silence as an event.

use crate::envelope::{Datagram, Envelope, is_ours, seal};
use crate::peer::Peer;
use crate::{LONGEST, Number, Time, VERSION, View};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A hello is sent to a peer that is not known this often at most, in ms.
const HELLO: Time = 50;
/// A secret has at least so many bytes.
const SECRET: usize = 16;

/// What the link is set up with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's number, see `fleet_of`.
    pub fleet: u64,
    /// This gateway.
    pub number: Number,
    /// This start of it: by chance, not 0.
    pub incarnation: u64,
    /// The other gateways and where they are reached.
    pub peers: BTreeMap<Number, SocketAddr>,
    /// The secrets: all are good for what comes, the first is used for what goes.
    pub secrets: Vec<Vec<u8>>,
    /// A peer of whom nothing was heard for so many ms counts as silent.
    pub silence: Time,
}

/// Settings that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No secret, or one that is too short.
    Secret,
    /// This gateway is among its peers.
    Oneself,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Secret => write!(f, "a secret must have at least {SECRET} bytes"),
            Self::Oneself => f.write_str("a gateway cannot be its own peer"),
        }
    }
}

impl std::error::Error for Fault {}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Longer than any that is sent.
    TooLong,
    /// No datagram of this protocol.
    Unreadable,
    /// Of another fleet.
    Foreign,
    /// Its tag was made with no secret of the fleet.
    Forged,
    /// Of another version of the envelope.
    Version,
    /// From nobody that the settings name.
    Sender,
    /// For another gateway.
    Receiver,
    /// For another start of this gateway, or of a start of its sender that is over.
    Stale,
    /// Taken before, or so late that this cannot be told.
    Replayed,
    /// More than one peer may send.
    TooMany,
}

/// Datagrams dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops([u64; 10]);

impl Drops {
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

    fn add(&mut self, why: Refused) {
        self.0[why as usize] += 1;
    }

    /// How many were dropped for a cause.
    #[must_use]
    pub fn of(&self, why: Refused) -> u64 {
        self.0[why as usize]
    }

    /// The causes by name and how many.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> {
        Self::NAMES.into_iter().zip(self.0)
    }
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

/// What a peer said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Who.
    pub from: Number,
    /// Which start of it.
    pub incarnation: u64,
    /// Whose payload it is.
    pub channel: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// A change in what is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Heard of, first or again after silence.
    Up(Number),
    /// It was started again.
    Started(Number),
    /// Nothing came for as long as the settings say.
    Silent(Number),
}

/// The link of one gateway.
#[derive(Debug)]
pub struct Link {
    settings: Settings,
    peers: BTreeMap<Number, Peer>,
    drops: Drops,
    began: Time,
}

impl Link {
    /// A link that knows its peers' addresses and nothing else.
    ///
    /// # Errors
    /// Settings that cannot be used.
    pub fn new(now: Time, settings: Settings) -> Result<Self, Fault> {
        check(&settings)?;
        let peers = settings.peers.keys().map(|number| (*number, Peer::new(now))).collect();
        Ok(Self { settings, peers, drops: Drops::default(), began: now })
    }

    /// Other peers, addresses or secrets; what is known of those that stay is kept.
    ///
    /// # Errors
    /// Settings that cannot be used; the old ones hold.
    pub fn configure(&mut self, now: Time, settings: Settings) -> Result<(), Fault> {
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
        &mut self, now: Time, wall: u64, bytes: &[u8], out: &mut Vec<Out>, told: &mut Vec<Told>,
    ) -> Option<Heard> {
        match self.take(now, wall, bytes, out, told) {
            Ok(heard) => Some(heard).filter(|h| h.channel != 0),
            Err(why) => {
                self.drops.add(why);
                None
            }
        }
    }

    fn take(
        &mut self, now: Time, wall: u64, bytes: &[u8], out: &mut Vec<Out>, told: &mut Vec<Told>,
    ) -> Result<Heard, Refused> {
        if bytes.len() > LONGEST {
            return Err(Refused::TooLong);
        }
        let datagram = Datagram::decode(bytes).map_err(|_| Refused::Unreadable)?;
        // Of what is forged nothing is believed but how it is counted.
        let envelope = Envelope::decode(&*datagram.envelope).map_err(|_| Refused::Unreadable)?;
        let Envelope { sender, incarnation, sequence, .. } = envelope;
        if envelope.fleet != self.settings.fleet {
            return Err(Refused::Foreign);
        }
        if !is_ours(&datagram, &self.settings.secrets) {
            return Err(Refused::Forged);
        }
        if envelope.version != VERSION {
            return Err(Refused::Version);
        }
        let peer = self.peers.get_mut(&sender).ok_or(Refused::Sender)?;
        if envelope.receiver != self.settings.number {
            return Err(Refused::Receiver);
        }
        if !peer.inward.take(now) {
            return Err(Refused::TooMany);
        }
        if incarnation == 0 || peer.is_former(incarnation) {
            return Err(Refused::Stale);
        }
        if envelope.receiver_incarnation != self.settings.incarnation {
            // It does not know this start: it is told, under its own number.
            if now >= peer.hello {
                peer.hello = now + HELLO;
                let hello = self.envelope(now, wall, sender, Some(incarnation), 0, Vec::new());
                out.extend(hello.map(|e| self.datagram(sender, &e)));
            }
            return Err(Refused::Stale);
        }
        let known = peer.incarnation.is_some();
        if peer.meet(incarnation) && known {
            told.push(Told::Started(sender));
        }
        if !peer.is_fresh(sequence) {
            return Err(Refused::Replayed);
        }
        peer.clocks(now, wall, envelope.sent, envelope.wall, envelope.echo, envelope.held);
        if std::mem::take(&mut peer.silent) || peer.heard.is_none() {
            told.push(Told::Up(sender));
        }
        peer.heard = Some(now);
        Ok(Heard { from: sender, incarnation, channel: envelope.channel, payload: envelope.payload })
    }

    /// A payload for a peer. Nothing goes to a peer that is not known, that has got more than its rate, or beyond the
    /// longest datagram; to one whose start is not known goes a hello in its place.
    pub fn send(&mut self, now: Time, wall: u64, to: Number, channel: u32, payload: Vec<u8>) -> Option<Out> {
        let peer = self.peers.get_mut(&to)?;
        let known = peer.incarnation;
        if known.is_none() {
            if now < peer.hello {
                return None;
            }
            peer.hello = now + HELLO;
        }
        let (channel, payload) = if known.is_some() { (channel, payload) } else { (0, Vec::new()) };
        let envelope = self.envelope(now, wall, to, known, channel, payload)?;
        let datagram = self.datagram(to, &envelope);
        (datagram.bytes.len() <= LONGEST).then_some(datagram)
    }

    fn envelope(
        &mut self, now: Time, wall: u64, to: Number, start: Option<u64>, channel: u32, payload: Vec<u8>,
    ) -> Option<Envelope> {
        let peer = self.peers.get_mut(&to)?;
        if !peer.outward.take(now) {
            return None;
        }
        peer.sequence += 1;
        let (echo, at) = peer.echo;
        Some(Envelope {
            version: VERSION,
            fleet: self.settings.fleet,
            sender: self.settings.number,
            incarnation: self.settings.incarnation,
            receiver: to,
            receiver_incarnation: start.unwrap_or_default(),
            sequence: peer.sequence,
            sent: now,
            wall,
            echo,
            held: now.saturating_sub(at),
            channel,
            payload,
        })
    }

    fn datagram(&self, to: Number, envelope: &Envelope) -> Out {
        let secret = self.settings.secrets.first().map(Vec::as_slice).unwrap_or_default();
        Out { to: self.settings.peers[&to], bytes: seal(envelope, secret) }
    }

    /// Time went by: who is silent now.
    pub fn tick(&mut self, now: Time, told: &mut Vec<Told>) {
        for (number, peer) in &mut self.peers {
            let since = peer.heard.unwrap_or(self.began);
            if !peer.silent && now >= since + self.settings.silence {
                peer.silent = true;
                told.push(Told::Silent(*number));
            }
        }
    }

    /// When the next peer would be silent.
    #[must_use]
    pub fn due(&self) -> Time {
        let peers = self.peers.values().filter(|p| !p.silent);
        peers.map(|p| p.heard.unwrap_or(self.began) + self.settings.silence).min().unwrap_or(Time::MAX)
    }

    /// The peers' numbers.
    #[must_use]
    pub fn numbers(&self) -> BTreeSet<Number> {
        self.peers.keys().copied().collect()
    }

    /// What is known of each peer.
    pub fn views(&self, now: Time) -> impl Iterator<Item = View> {
        self.peers.iter().map(move |(number, peer)| peer.view(*number, now))
    }

    /// Datagrams dropped, by cause.
    #[must_use]
    pub fn drops(&self) -> Drops {
        self.drops
    }
}

fn check(settings: &Settings) -> Result<(), Fault> {
    if settings.secrets.is_empty() || settings.secrets.iter().any(|s| s.len() < SECRET) {
        return Err(Fault::Secret);
    }
    if settings.peers.contains_key(&settings.number) { Err(Fault::Oneself) } else { Ok(()) }
}
