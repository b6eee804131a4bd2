//! Accepting client connections, and closing the listeners.

use super::Clients;
use super::connection::ClientConnection;
use crate::graphql_front as front;
use crate::io::{Io, Timer, Token};
use doorcourse_config::{Config, Limits};
use doorcourse_event_loop::{Interest, Socket, is_out_of_descriptors};
use doorcourse_http::{Decoder, Limits as HttpLimits, Role};
use std::fs::File;
use std::net::TcpStream;

/// The interest of a new connection. It includes the peer's close, so that a client's disconnect is noticed even before
/// its last bytes are read (RFC 9112 section 9.5).
const NEW_CONNECTION: Interest = Interest::READ.with_peer_close();
/// The most connections accepted at once, so that many new connections do not delay the open ones.
const MAX_ACCEPTS: usize = 64;
/// The length of a listener's accept queue, as `doorcourse_event_loop::listen` sets it.
const ACCEPT_QUEUE: usize = 1024;

/// A descriptor kept in reserve. A listener whose connection cannot be accepted for lack of a descriptor stays ready
/// and would wake the event loop forever. With the reserve, the connection is accepted and closed at once.
pub(super) struct ReserveDescriptor(Option<File>);

impl ReserveDescriptor {
    /// Opens the reserve; it stays empty if no descriptor is left.
    pub(super) fn new() -> Self {
        Self(Self::open())
    }

    fn open() -> Option<File> {
        File::open("/dev/null").ok()
    }

    /// Accepts a connection with the reserved descriptor and closes it.
    fn reject(&mut self, listener: &std::net::TcpListener) {
        drop(self.0.take());
        let _ = listener.accept();
        self.0 = Self::open();
    }
}

impl Clients {
    /// Accepts the connections that wait in the accept queues, then closes the listeners: the system has established
    /// these connections already, and requests may be written on them.
    pub(crate) fn drain_accept_queues(&mut self, io: &mut Io, config: &Config) {
        let before = self.connections.len();
        for index in 0..self.listeners.len() {
            // No more than the queue holds, so that the loop ends even if clients keep connecting.
            for _ in 0..ACCEPT_QUEUE.div_ceil(MAX_ACCEPTS) {
                if self.accept(io, config, index) {
                    break;
                }
            }
        }
        if self.connections.len() > before {
            // Their first requests may be on the way, so the idle period starts again.
            self.last_input_at = io.now();
        }
        self.close_listeners();
    }

    /// Accepts a bounded number of connections; returns whether the accept queue is empty.
    pub(crate) fn accept(&mut self, io: &mut Io, config: &Config, index: usize) -> bool {
        for _ in 0..MAX_ACCEPTS {
            let Some(listener) = self.listeners.get(index) else { return true };
            match listener.accept() {
                Ok((stream, _)) => self.insert(io, config, stream),
                Err(error) if is_out_of_descriptors(&error) => self.reserve.reject(listener),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return true,
                Err(_) => {}
            }
        }
        false
    }

    /// Adds a connection to the table; one beyond the limit is answered with 503 and closed.
    fn insert(&mut self, io: &mut Io, config: &Config, stream: TcpStream) {
        let Ok(mut socket) = Socket::new(stream) else { return };
        if let Err(limit) = self.budget.check_connection(self.connections.len()) {
            front::write_response(
                socket.output(),
                &front::gateway_full_response(limit.message()),
                false,
                None,
            );
            socket.flush();
            return;
        }
        let generation = io.generation();
        let limits = &config.limits;
        let decoder = Decoder::new(Role::Requests, request_limits(limits));
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        if io.poller.add(&socket, Token::Client(slot, generation).pack(), NEW_CONNECTION).is_err() {
            return;
        }
        let timeout_at = io.now() + limits.idle_time.min(limits.head_time);
        entry.insert(ClientConnection::new(socket, generation, decoder, NEW_CONNECTION, timeout_at));
        io.timers.schedule(timeout_at, Timer::ClientTimeout(slot, generation));
    }
}

/// The limits of a client's request.
fn request_limits(limits: &Limits) -> HttpLimits {
    HttpLimits { line: limits.line, head: limits.head, fields: limits.fields, body: limits.body }
}
