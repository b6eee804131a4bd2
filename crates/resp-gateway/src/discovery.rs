//! The connections to the discovery service, which watches the endpoint list.
//!
//! `doorcourse_discovery::DiscoveryWatch` decides when to connect, send a request, back off and give up; this client
//! does the I/O and passes the lists on. After a list that cannot be read or applied, such as one with an older
//! version, it requests the complete list.

mod exchange;
mod list_reader;

use crate::endpoints::{EndpointList, EndpointListError};
use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse::Millis;
use doorcourse_discovery::{CallId, DiscoveryWatch, WatchAction};
use doorcourse_event_loop::{Flow, Interest, Ready, connect};
use doorcourse_fail_points::rule_disabled;
use exchange::{Exchange, Received};
use std::net::SocketAddr;

/// Why a response cannot be used.
#[derive(Debug, thiserror::Error)]
enum DiscoveryError {
    #[error("broken while asking")]
    BrokenWhileSending,
    #[error("{0}")]
    Http(String),
    #[error("status {0}")]
    Status(u16),
    #[error("a list of more than {0} bytes")]
    ListTooLarge(usize),
    #[error("{0}")]
    List(#[from] EndpointListError),
    #[error("{0}")]
    Version(doorcourse_discovery::ApplyVersionError),
}

/// The connection of the current call.
enum Connection {
    Closed,
    Connecting(RegisteredSocket),
    Open(Exchange),
}

/// Whether a call is the current one, or was not answered in time and is open beside it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallRole {
    Current,
    Superseded,
}

/// The client of the discovery service.
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    connection: Connection,
    /// Requests that were not answered in time. Their responses may still arrive.
    superseded: Vec<Exchange>,
    watch: DiscoveryWatch,
    /// When the last complete message or list arrived, or this client was made.
    last_message_at: Millis,
    /// The most bytes that all calls together may hold of lists.
    max_list_bytes: usize,
}

impl DiscoveryClient {
    /// `version` is that of the known list, if any. `drain_grace` is how long, in ms, requests may still be sent to a
    /// backend that drains. `max_list_bytes` limits what is buffered of lists.
    pub(crate) fn new(
        now: Millis, address: SocketAddr, version: Option<u64>, drain_grace: Millis, max_list_bytes: usize,
    ) -> Self {
        Self {
            address,
            connection: Connection::Closed,
            superseded: Vec::new(),
            watch: DiscoveryWatch::new(version, drain_grace),
            last_message_at: now,
            max_list_bytes,
        }
    }

    pub(crate) fn set_drain_grace(&mut self, drain_grace: Millis) {
        self.watch.set_drain_grace(drain_grace);
    }

    /// Sets the address. Connections to another one are closed at once; those to the same one stay, since a slow service
    /// may still answer their requests.
    pub(crate) fn set_address(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.close_all();
        self.watch.address_changed();
    }

    /// When [`handle_timeout`](Self::handle_timeout) is due.
    pub(crate) fn next_timeout(&self) -> Millis {
        self.watch.next_timeout()
    }

    pub(crate) fn handle_timeout(&mut self, reactor: &mut Reactor) {
        while let Some(action) = self.watch.handle_timeout(reactor.now) {
            match action {
                WatchAction::Connect => self.connect(reactor),
                WatchAction::Close(reason) => self.connection_lost(reactor, reason),
                WatchAction::CloseSuperseded(call) => self.superseded.retain(|e| e.call != call),
                WatchAction::Supersede => self.supersede(),
            }
        }
    }

    fn connect(&mut self, reactor: &mut Reactor) {
        let token = Token { kind: TokenKind::Discovery, serial: reactor.next_serial(), index: 0 };
        let connected = connect(self.address)
            .and_then(|socket| RegisteredSocket::new(reactor, socket, token, Interest::BOTH));
        match connected {
            Ok(registered) => self.connection = Connection::Connecting(registered),
            Err(error) => self.connection_lost(reactor, &error.to_string()),
        }
    }

    fn supersede(&mut self) {
        let connection = std::mem::replace(&mut self.connection, Connection::Closed);
        if let Connection::Open(exchange) = connection {
            self.superseded.push(exchange);
        }
    }

    fn close_all(&mut self) {
        self.connection = Connection::Closed;
        self.superseded.clear();
    }

    fn connection_lost(&mut self, reactor: &Reactor, reason: &str) {
        if self.watch.connection_lost(reactor.now) {
            let silent_ms = (reactor.now - self.last_message_at).round();
            tracing::info!(target: "doorcourse::discovery", reason, silent_ms, "discovery lost");
        }
        self.connection = Connection::Closed;
    }

    fn call_lost(&mut self, reactor: &Reactor, call: CallId, role: CallRole, reason: &str) {
        match role {
            CallRole::Current => self.connection_lost(reactor, reason),
            CallRole::Superseded => self.watch.superseded_lost(call),
        }
    }

    /// Sends a request on an open connection: for a watch from the current version, or for the complete list.
    fn send_request(&mut self, reactor: &Reactor, registered: RegisteredSocket) {
        let request = self.watch.request_sent(reactor.now);
        match Exchange::begin(reactor, registered, request, self.address) {
            Ok(exchange) => self.connection = Connection::Open(exchange),
            Err(error) => self.connection_lost(reactor, &error.to_string()),
        }
    }

    /// Handles the readiness of a connection. The lists that were received are appended to `lists`.
    pub(crate) fn handle_readiness(
        &mut self, reactor: &mut Reactor, token: Token, ready: Ready, lists: &mut Vec<EndpointList>,
    ) {
        if let Some(index) = self.superseded.iter().position(|e| e.registered.token == token) {
            let exchange = self.superseded.remove(index);
            return self.read_response(reactor, ready, exchange, CallRole::Superseded, lists);
        }
        match std::mem::replace(&mut self.connection, Connection::Closed) {
            Connection::Connecting(registered) if registered.token == token => {
                match registered.socket.finish_connect() {
                    Ok(()) => self.send_request(reactor, registered),
                    Err(error) => self.connection_lost(reactor, &error.to_string()),
                }
            }
            Connection::Open(exchange) if exchange.registered.token == token => {
                self.read_response(reactor, ready, exchange, CallRole::Current, lists);
            }
            other => self.connection = other,
        }
    }

    /// Reads the response of a call that was taken out of its place, and puts it back unless it has ended.
    fn read_response(
        &mut self, reactor: &Reactor, ready: Ready, mut exchange: Exchange, mut role: CallRole,
        lists: &mut Vec<EndpointList>,
    ) {
        if ready.write {
            exchange.flush(reactor);
        }
        let mut received = exchange.read();
        if received.result.is_ok() {
            received.result = self.limit_buffers(exchange.buffered_bytes());
        }
        if received.head_received {
            self.watch.response_started(exchange.call);
        }
        let is_answered = is_answered(&received, role);
        let has_list = !received.lists.is_empty();
        let applied = self.apply_lists(reactor, received.lists, lists);
        if applied.is_ok() && is_answered {
            self.message_received(reactor, exchange.call);
            role = CallRole::Current;
        }
        if let Err(error) = applied.and(received.result) {
            if role == CallRole::Current {
                self.watch.reset_version();
            }
            self.call_lost(reactor, exchange.call, role, &error.to_string());
        } else if has_list && !exchange.is_watch() && received.flow == Flow::Open {
            // The watch starts from the version of this list, on the same connection.
            self.send_request(reactor, exchange.registered);
        } else if received.is_ended || received.flow != Flow::Open {
            self.call_lost(reactor, exchange.call, role, "the watch ended");
        } else {
            self.keep(exchange, role);
        }
    }

    /// Closes superseded calls, the oldest first, until their partial lists and the `added` bytes of the call that is being
    /// read keep the limit.
    ///
    /// # Errors
    /// When those bytes alone are over the limit.
    fn limit_buffers(&mut self, added: usize) -> Result<(), DiscoveryError> {
        let current = match &self.connection {
            Connection::Open(exchange) => exchange.buffered_bytes(),
            Connection::Closed | Connection::Connecting(_) => 0,
        };
        let held = |superseded: &[Exchange]| superseded.iter().map(Exchange::buffered_bytes).sum::<usize>();
        while added + current + held(&self.superseded) > self.max_list_bytes {
            let Some(index) = self.superseded.iter().position(|exchange| exchange.buffered_bytes() > 0)
            else {
                break;
            };
            let closed = self.superseded.remove(index);
            self.watch.superseded_lost(closed.call);
        }
        if added > self.max_list_bytes {
            return Err(DiscoveryError::ListTooLarge(self.max_list_bytes));
        }
        Ok(())
    }

    /// Records a complete message or list of a call, and closes all other calls.
    fn message_received(&mut self, reactor: &Reactor, call: CallId) {
        self.close_all();
        if self.watch.message_received(call, reactor.now) {
            self.log_available(reactor);
        }
        self.last_message_at = reactor.now;
    }

    fn keep(&mut self, exchange: Exchange, role: CallRole) {
        match role {
            CallRole::Current => self.connection = Connection::Open(exchange),
            CallRole::Superseded => self.superseded.push(exchange),
        }
    }

    /// Appends the lists of a response to `lists`, up to the first one that cannot be applied.
    fn apply_lists(
        &mut self, reactor: &Reactor, received: Vec<EndpointList>, lists: &mut Vec<EndpointList>,
    ) -> Result<(), DiscoveryError> {
        for list in received {
            let is_available_again =
                self.watch.apply_version(list.version, list.complete).map_err(DiscoveryError::Version)?;
            if is_available_again {
                self.log_available(reactor);
            }
            lists.push(list);
        }
        Ok(())
    }

    fn log_available(&self, reactor: &Reactor) {
        let silent_ms = (reactor.now - self.last_message_at).round();
        tracing::info!(target: "doorcourse::discovery", version = self.watch.version(), silent_ms, "discovery up");
    }
}

/// Whether a complete message or list arrived, which makes a superseded call the current one. Anything less does not: the
/// rest may never arrive.
fn is_answered(received: &Received, role: CallRole) -> bool {
    let is_partial_answer = role == CallRole::Superseded && received.any_bytes;
    !received.lists.is_empty()
        || received.empty_line
        || is_partial_answer && rule_disabled("superseded-call-kept-apart")
}
