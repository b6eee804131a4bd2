//! Client connections: the listeners, the connection table, and the limits on connections and buffers.
//!
//! Received bytes are decoded into requests, which are reported as [`ClientEvent`]s. The event loop sends the responses
//! with [`Clients::respond`], [`Clients::forward`] and [`Clients::end_response`].

mod accept;
mod connection;
mod input;
mod output;
mod partial_requests;
mod timeouts;

pub(crate) use output::ForwardedHead;

use crate::graphql_front::RequestHead;
use crate::io::{Io, Token};
use accept::ReserveDescriptor;
use connection::ClientConnection;
use doorcourse::{Millis, RequestId};
use doorcourse_config::Config;
use doorcourse_connection_limits::{ClientBudget, ClientLimits, DescriptorBudget};
use doorcourse_event_loop::{Interest, max_descriptors};
use slab::Slab;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};

/// An event of a client connection.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// A request is completely received; it has to be admitted or answered.
    RequestReceived { client: usize, head: Box<RequestHead>, body: Vec<u8>, head_received_at: Millis },
    /// The client of a request has disconnected.
    Disconnected(RequestId),
    /// The client of a request has read enough for more of its response.
    ReadyForMore(RequestId),
}

/// The listeners and connections of clients.
pub(crate) struct Clients {
    listeners: Vec<TcpListener>,
    connections: Slab<ClientConnection>,
    /// The limits on connections, requests and buffered bytes, and their present use.
    pub budget: ClientBudget,
    /// Events that are not handled yet, in order.
    pub events: VecDeque<ClientEvent>,
    /// When a byte was last received from any client.
    pub last_input_at: Millis,
    /// Whether each connection is closed after its next response, which announces the close.
    pub announce_close: bool,
    reserve: ReserveDescriptor,
}

impl Clients {
    /// Registers the listeners.
    pub(crate) fn new(io: &Io, config: &Config, listeners: Vec<TcpListener>) -> std::io::Result<Self> {
        for (index, listener) in listeners.iter().enumerate() {
            io.poller.add(listener, Token::Listener(index).pack(), Interest::READ)?;
        }
        Ok(Self {
            listeners,
            connections: Slab::new(),
            budget: ClientBudget::new(client_limits(config)),
            events: VecDeque::new(),
            last_input_at: io.now(),
            announce_close: false,
            reserve: ReserveDescriptor::new(),
        })
    }

    /// Applies the connection limits of changed settings.
    pub(crate) fn update_limits(&mut self, config: &Config) {
        self.budget.set_limits(client_limits(config));
    }

    /// The addresses of the listeners.
    ///
    /// # Errors
    /// When the system does not return an address.
    pub(crate) fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.listeners.iter().map(TcpListener::local_addr).collect()
    }

    /// The listeners; none once they are closed.
    pub(crate) fn listeners(&self) -> &[TcpListener] {
        &self.listeners
    }

    /// Closes the listeners. Connections stay.
    pub(crate) fn close_listeners(&mut self) {
        self.listeners.clear();
    }

    /// Whether a connection is open.
    pub(crate) fn has_connection(&self, slot: usize, generation: u32) -> bool {
        self.connections.get(slot).is_some_and(|client| client.generation == generation)
    }

    /// The number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.connections.len()
    }

    /// The number of connections with a request partially received or a response partially sent.
    pub(crate) fn busy_count(&self) -> usize {
        self.connections.iter().filter(|(_, client)| client.is_busy()).count()
    }

    /// Closes a connection.
    fn remove(&mut self, slot: usize) {
        if let Some(client) = self.connections.try_remove(slot) {
            self.budget.remove_connection(&client.usage);
        }
    }
}

fn client_limits(config: &Config) -> ClientLimits {
    let limits = &config.limits;
    // Client connections share the process's descriptors with backend connections and files; a connection beyond the
    // clients' share is answered with 503.
    let descriptor_budget = DescriptorBudget::for_limit(max_descriptors());
    ClientLimits {
        max_connections: limits.connections.min(descriptor_budget.clients),
        max_requests: limits.requests,
        max_buffered_bytes: limits.buffered,
        max_customer_bytes: limits.customer_bytes,
        max_unread_bytes: limits.client_buffer,
        unread_timeout: limits.unread_time,
    }
}
