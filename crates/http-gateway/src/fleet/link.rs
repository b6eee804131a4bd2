//! The link.

use super::*;

pub(super) fn log(told: PeerEvent) {
    match told {
        PeerEvent::Up(peer) => tracing::info!(target: "doorcourse::fleet", peer, "peer heard"),
        PeerEvent::Restarted(peer) => {
            tracing::info!(target: "doorcourse::fleet", peer, "peer was started again")
        }
        PeerEvent::Unreachable(peer) => tracing::warn!(target: "doorcourse::fleet", peer, "peer silent"),
    }
}

impl Fleet {
    pub(super) fn bind(&mut self, io: &Io) -> std::io::Result<()> {
        let socket = UdpSocket::bind(self.settings.listen)?;
        socket.set_nonblocking(true)?;
        io.poller.add(&socket, Token::Link.pack(), Interest::READ)?;
        tracing::info!(target: "doorcourse::fleet", address = %socket.local_addr()?, "link up");
        self.socket = Some(socket);
        Ok(())
    }

    pub(super) fn send(&mut self, io: &Io, now: Millis, to: GatewayNumber, message: &Message) {
        let out = self.link.send(now, io.now() as u64, to, LEASES, encode(message));
        out.into_iter().for_each(|out| self.put(&out));
    }

    /// A datagram that does not leave at once is one that was lost.
    pub(super) fn put(&self, out: &OutgoingDatagram) {
        if let Some(socket) = &self.socket {
            let _ = socket.send_to(&out.bytes, out.to);
        }
    }

    /// Datagrams came.
    pub fn ready(&mut self, io: &mut Io) {
        for _ in 0..TURN {
            let Some(socket) = &self.socket else { return };
            // The clock is read after the datagram: what it says is older than `now`.
            let Ok((length, _)) = socket.recv_from(&mut self.buffer) else { return };
            let now = awake_or_not();
            let (mut hellos, mut told) = (Vec::new(), Vec::new());
            let bytes = &self.buffer[..length];
            let heard = self.link.receive(now, io.now() as u64, bytes, &mut hellos, &mut told);
            hellos.iter().for_each(|out| self.put(out));
            told.into_iter().for_each(log);
            let Some(heard) = heard else { continue };
            if heard.channel == SUSPECT {
                if let (Some(message), Some((suspects, _))) =
                    (doorcourse_outlier_gossip::decode(&heard.payload), &mut self.suspects)
                {
                    let mut outputs = Vec::new();
                    let from = heard.sender;
                    suspects.handle(
                        now,
                        doorcourse_outlier_gossip::Input::MessageReceived { from, message },
                        &mut outputs,
                    );
                    self.suspected(io, now, outputs, &[]);
                }
            } else if heard.channel == LEASES {
                match decode(&heard.payload) {
                    Ok(message) => {
                        let (from, incarnation) = (heard.sender, heard.incarnation);
                        self.tell(io, now, Input::MessageReceived { from, incarnation, message });
                    }
                    Err(fault) => {
                        tracing::debug!(target: "doorcourse::fleet", from = heard.sender, %fault, "dropped")
                    }
                }
            }
        }
    }
}
