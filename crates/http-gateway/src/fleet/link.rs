//! The UDP socket to the peers.

use super::Fleet;
use super::settings::link_settings;
use crate::io::{Io, Token};
use doorcourse_config::LinkConfig;
use doorcourse_event_loop::{Interest, boot_time_ms};
use doorcourse_lease::{Input, Millis};
use doorcourse_peers::{
    DropCounters, GatewayNumber, Link, MAX_DATAGRAM_BYTES, OutgoingDatagram, PeerEvent, PeerStatus,
    ReceivedPayload, SettingsError,
};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};

/// The most datagrams received in one iteration of the event loop, so that peers do not delay clients.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// The time between two attempts to bind the address while the old process of a takeover still has it, in ms.
const BIND_RETRY_MS: Millis = 50;

/// The component that a payload on the link belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Channel {
    /// Messages of the leases.
    Leases,
    /// Messages of the outlier gossip.
    Outliers,
}

impl Channel {
    /// The number that identifies the channel in a datagram.
    fn number(self) -> u32 {
        match self {
            Self::Leases => 1,
            Self::Outliers => 2,
        }
    }

    fn from_number(number: u32) -> Option<Self> {
        [Self::Leases, Self::Outliers].into_iter().find(|channel| channel.number() == number)
    }
}

/// A datagram that was read from the socket.
struct ReceivedDatagram {
    /// The time of receipt. The clock is read after the datagram, so every time that the datagram refers to is earlier.
    received_at: Millis,
    /// `None` if the datagram was dropped or is a hello.
    payload: Option<ReceivedPayload>,
}

/// The link state machine and its socket.
pub(super) struct PeerLink {
    config: LinkConfig,
    link: Link,
    /// `None` while another process of this gateway has the address, and after shutdown.
    socket: Option<UdpSocket>,
    next_bind_at: Millis,
    receive_buffer: Vec<u8>,
}

impl PeerLink {
    /// A link without a socket.
    ///
    /// # Errors
    /// When the settings are out of range.
    pub(super) fn new(
        now: Millis, config: LinkConfig, gateway: GatewayNumber, incarnation: u64,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            link: Link::new(now, link_settings(&config, gateway, incarnation))?,
            config,
            socket: None,
            next_bind_at: now,
            // One byte more than allowed, so that a datagram that is too long is recognized.
            receive_buffer: vec![0; MAX_DATAGRAM_BYTES + 1],
        })
    }

    /// Applies changed settings.
    ///
    /// # Errors
    /// When the settings are out of range; the former settings then stay in force.
    pub(super) fn configure(
        &mut self, now: Millis, config: LinkConfig, gateway: GatewayNumber,
    ) -> Result<(), SettingsError> {
        self.link.configure(now, link_settings(&config, gateway, self.link.incarnation()))?;
        self.config = config;
        Ok(())
    }

    /// The settings in force.
    pub(super) fn config(&self) -> &LinkConfig {
        &self.config
    }

    /// The address in the settings, to which the socket is to be bound.
    pub(super) fn listen_address(&self) -> SocketAddr {
        self.config.listen
    }

    /// The address to which the socket is bound.
    pub(super) fn local_address(&self) -> Option<SocketAddr> {
        self.socket.as_ref().and_then(|socket| socket.local_addr().ok())
    }

    /// Binds the socket and registers it with the poller.
    ///
    /// # Errors
    /// When the address cannot be bound, or the socket cannot be registered.
    pub(super) fn bind(&mut self, io: &Io) -> std::io::Result<()> {
        let socket = UdpSocket::bind(self.config.listen)?;
        socket.set_nonblocking(true)?;
        io.poller.add(&socket, Token::PeerLink.pack(), Interest::READ)?;
        tracing::info!(target: "doorcourse::fleet", address = %socket.local_addr()?, "link up");
        self.socket = Some(socket);
        Ok(())
    }

    /// Closes the socket, which releases its address.
    pub(super) fn close(&mut self) {
        self.socket = None;
    }

    /// The time at which [`PeerLink::tick`] or [`PeerLink::bind_if_due`] is due.
    pub(super) fn next_timeout(&self) -> Millis {
        let bind = if self.socket.is_none() { self.next_bind_at } else { Millis::MAX };
        self.link.next_timeout().min(bind)
    }

    /// Binds the address if it is not bound yet. Returns whether it was bound now: a failure means that the old process
    /// still has the address, and another attempt follows.
    pub(super) fn bind_if_due(&mut self, io: &Io, now: Millis) -> bool {
        if self.socket.is_some() || now < self.next_bind_at {
            return false;
        }
        self.next_bind_at = now + BIND_RETRY_MS;
        self.bind(io).is_ok()
    }

    /// Detects peers that have become unreachable.
    pub(super) fn tick(&mut self, now: Millis) {
        let mut events = Vec::new();
        self.link.tick(now, &mut events);
        events.into_iter().for_each(log_peer_event);
    }

    /// Sends a payload to a peer.
    pub(super) fn send(
        &mut self, io: &Io, now: Millis, to: GatewayNumber, channel: Channel, payload: Vec<u8>,
    ) {
        let datagram = self.link.send(now, io.now() as u64, to, channel.number(), payload);
        if let Some(datagram) = datagram {
            self.transmit(&datagram);
        }
    }

    /// Sends a payload to all peers.
    pub(super) fn broadcast(&mut self, io: &Io, now: Millis, channel: Channel, payload: &[u8]) {
        for to in self.peer_numbers() {
            self.send(io, now, to, channel, payload.to_vec());
        }
    }

    /// Writes a datagram to the socket. A datagram that cannot be written is lost, as one on the network may be.
    fn transmit(&self, datagram: &OutgoingDatagram) {
        if let Some(socket) = &self.socket {
            let _ = socket.send_to(&datagram.bytes, datagram.to);
        }
    }

    /// Receives one datagram, and replies with a hello if it requires one. `None` if no datagram is available.
    fn receive(&mut self, io: &Io) -> Option<ReceivedDatagram> {
        let (length, _) = self.socket.as_ref()?.recv_from(&mut self.receive_buffer).ok()?;
        let received_at = boot_time_ms();
        let mut hellos = Vec::new();
        let mut events = Vec::new();
        let bytes = &self.receive_buffer[..length];
        let payload = self.link.receive(received_at, io.now() as u64, bytes, &mut hellos, &mut events);
        hellos.iter().for_each(|hello| self.transmit(hello));
        events.into_iter().for_each(log_peer_event);
        Some(ReceivedDatagram { received_at, payload })
    }

    /// Whether the gateway with this number is a peer in the settings.
    pub(super) fn is_peer(&self, gateway: GatewayNumber) -> bool {
        self.config.peers.contains_key(&gateway)
    }

    fn peer_numbers(&self) -> BTreeSet<GatewayNumber> {
        self.link.peer_numbers()
    }

    /// The status of each peer.
    pub(super) fn statuses(&self, now: Millis) -> impl Iterator<Item = PeerStatus> {
        self.link.statuses(now)
    }

    /// The datagrams dropped so far, by reason.
    pub(super) fn drops(&self) -> DropCounters {
        self.link.drops()
    }
}

impl Fleet {
    /// Handles the readiness of the socket: receives datagrams and processes their payloads.
    pub(crate) fn link_ready(&mut self, io: &mut Io) {
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Some(ReceivedDatagram { received_at, payload }) = self.link.receive(io) else { return };
            let Some(payload) = payload else { continue };
            match Channel::from_number(payload.channel) {
                Some(Channel::Leases) => self.receive_lease_message(io, received_at, &payload),
                Some(Channel::Outliers) => self.receive_outlier_message(io, received_at, &payload),
                None => {}
            }
        }
    }

    fn receive_lease_message(&mut self, io: &mut Io, now: Millis, received: &ReceivedPayload) {
        let from = received.sender;
        match doorcourse_lease::decode(&received.payload) {
            Ok(message) => {
                let incarnation = received.incarnation;
                self.handle_lease_input(io, now, Input::MessageReceived { from, incarnation, message });
            }
            Err(error) => {
                tracing::debug!(target: "doorcourse::fleet", peer = from, %error, "lease message rejected");
            }
        }
    }
}

fn log_peer_event(event: PeerEvent) {
    match event {
        PeerEvent::Up(peer) => tracing::info!(target: "doorcourse::fleet", peer, "peer reachable"),
        PeerEvent::Restarted(peer) => tracing::info!(target: "doorcourse::fleet", peer, "peer restarted"),
        PeerEvent::Unreachable(peer) => tracing::warn!(target: "doorcourse::fleet", peer, "peer unreachable"),
    }
}
