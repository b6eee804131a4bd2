//! The non-blocking TCP connection to the shared counter.

use crate::io::{Io, Token};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, connect};
use std::io;
use std::net::SocketAddr;

/// A counter connection.
pub(super) struct Connection {
    socket: Socket,
    /// Distinguishes this connection from earlier ones in the poller's tokens.
    generation: u32,
    is_connected: bool,
    interest: Interest,
}

/// The result of handling a connection's readiness.
pub(super) struct Progress {
    /// The connection was established.
    pub opened: bool,
    /// Bytes that were received.
    pub input: Vec<u8>,
    /// Whether the counter closed the connection, or it failed during the read.
    pub closed: bool,
}

impl Connection {
    /// Starts a connection attempt.
    ///
    /// # Errors
    /// When the attempt cannot be started, or the socket cannot be registered with the poller.
    pub(super) fn start(io: &mut Io, address: SocketAddr) -> io::Result<Self> {
        let generation = io.generation();
        let interest = Interest::BOTH;
        let socket = connect(address)?;
        io.poller.add(&socket, Token::Counter(generation).pack(), interest)?;
        Ok(Self { socket, generation, is_connected: false, interest })
    }

    /// The generation in this connection's token.
    pub(super) fn generation(&self) -> u32 {
        self.generation
    }

    /// Whether the connection is established.
    pub(super) fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Completes the connection attempt and reads, as far as the socket is ready.
    ///
    /// # Errors
    /// When the connection attempt failed.
    pub(super) fn handle_readiness(&mut self, ready: Ready) -> io::Result<Progress> {
        let mut progress = Progress { opened: false, input: Vec::new(), closed: false };
        if !self.is_connected && (ready.write || ready.broken) {
            self.socket.finish_connect()?;
            self.is_connected = true;
            progress.opened = true;
        }
        if self.is_connected && ready.read {
            let (_, flow) = self.socket.read();
            progress.input = std::mem::take(&mut self.socket.input);
            progress.closed = flow != Flow::Open;
        }
        Ok(progress)
    }

    /// Queues bytes and writes as much as the system accepts. Returns the state of the connection.
    pub(super) fn write(&mut self, bytes: &[u8]) -> Flow {
        self.socket.output().extend_from_slice(bytes);
        self.socket.flush()
    }

    /// The number of bytes that are queued and not written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.socket.pending()
    }

    /// Waits for writability only while bytes are queued.
    pub(super) fn update_interest(&mut self, io: &Io) {
        let interest = Interest::of(true, self.socket.pending() > 0);
        if interest != self.interest {
            self.interest = interest;
            let _ = io.poller.change(&self.socket, Token::Counter(self.generation).pack(), interest);
        }
    }
}
