//! The connection to the discovery service, which watches the endpoint list.
//!
//! `doorcourse_discovery::DiscoveryWatch` decides when to connect, send a request, back off and give up; this client
//! does the I/O and passes the lists on. After a list that cannot be read or applied, such as one with an older
//! version, it requests the complete list.

mod body;

use crate::endpoints::{EndpointList, EndpointListError};
use crate::reactor::{Reactor, RegisteredSocket, Token, TokenKind};
use doorcourse::Millis;
use doorcourse_discovery::{DiscoveryWatch, WatchAction};
use doorcourse_event_loop::{Flow, Interest, Ready, connect};
use doorcourse_fail_points::rule_disabled;
use doorcourse_http::{Decoder, Limits, Part, Role};
use std::io::Write;
use std::net::SocketAddr;

/// Why a response cannot be used.
#[derive(Debug, thiserror::Error)]
enum DiscoveryError {
    #[error("{0}")]
    Http(String),
    #[error("status {0}")]
    Status(u16),
    #[error("a line that does not end")]
    LineTooLong,
    #[error("{0}")]
    List(#[from] EndpointListError),
    #[error("{0}")]
    Version(doorcourse_discovery::ApplyVersionError),
}

/// A request whose response is being read.
struct Exchange {
    registered: RegisteredSocket,
    decoder: Decoder,
}

enum Connection {
    Closed,
    Connecting(RegisteredSocket),
    Open(Exchange),
}

/// The client of the discovery service.
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    connection: Connection,
    /// A request that was not answered in time, so that another one is in flight beside it. Its response may still
    /// arrive.
    superseded: Option<Exchange>,
    watch: DiscoveryWatch,
    /// The part of a list that has been received and not parsed.
    body: Vec<u8>,
    /// Whether the current request is a watch; otherwise it is for the complete list.
    is_watching: bool,
}

impl DiscoveryClient {
    /// `version` is that of the known list, if any. `drain_grace` is how long, in ms, requests may still be sent to a
    /// backend that drains.
    pub(crate) fn new(address: SocketAddr, version: Option<u64>, drain_grace: Millis) -> Self {
        Self {
            address,
            connection: Connection::Closed,
            superseded: None,
            watch: DiscoveryWatch::new(version, drain_grace),
            body: Vec::new(),
            is_watching: false,
        }
    }

    pub(crate) fn set_drain_grace(&mut self, drain_grace: Millis) {
        self.watch.set_drain_grace(drain_grace);
    }

    /// Sets the address. Connections to the previous one are closed at once.
    pub(crate) fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.connection = Connection::Closed;
        self.superseded = None;
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
                WatchAction::CloseSuperseded => self.superseded = None,
                WatchAction::Supersede => {
                    let connection = std::mem::replace(&mut self.connection, Connection::Closed);
                    if let Connection::Open(exchange) = connection {
                        self.superseded = Some(exchange);
                    }
                }
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

    fn connection_lost(&mut self, reactor: &Reactor, reason: &str) {
        if self.watch.connection_lost(reactor.now) {
            tracing::info!(target: "doorcourse::discovery", reason, "discovery lost");
        }
        self.connection = Connection::Closed;
    }

    /// Sends a request on an open connection: for a watch from the current version, or for the complete list.
    fn send_request(&mut self, reactor: &Reactor, mut registered: RegisteredSocket) {
        let from_version = self.watch.request_sent(reactor.now);
        let output = registered.socket.output();
        // Writing to a Vec cannot fail.
        let _ = match from_version {
            Some(version) => {
                write!(output, "GET /catalog/members?watch=1&from={version} HTTP/1.1\r\n")
            }
            None => write!(output, "GET /catalog/members HTTP/1.1\r\n"),
        };
        let _ = write!(output, "host: {}\r\n\r\n", self.address);
        self.is_watching = from_version.is_some();
        self.body.clear();
        // The body of a watch does not end, so the decoder does not limit it. `MAX_LIST_BYTES` limits how much of a
        // list is buffered, in a watch and in a complete list.
        let limits = Limits { line: 512, head: 8 << 10, fields: 64, body: u64::MAX };
        let decoder = Decoder::new(Role::Responses, limits);
        if registered.socket.flush() == Flow::Broken {
            return self.connection_lost(reactor, "broken while asking");
        }
        let is_pending = registered.socket.pending() > 0;
        registered.set_interest(reactor, true, is_pending);
        self.connection = Connection::Open(Exchange { registered, decoder });
    }

    /// Handles the readiness of a connection. The lists that were received are appended to `lists`.
    pub(crate) fn handle_readiness(
        &mut self, reactor: &mut Reactor, token: Token, ready: Ready, lists: &mut Vec<EndpointList>,
    ) {
        if self.superseded.as_ref().is_some_and(|exchange| exchange.registered.token == token) {
            self.read_superseded(reactor, ready);
        }
        match std::mem::replace(&mut self.connection, Connection::Closed) {
            Connection::Connecting(registered) if registered.token == token => {
                match registered.socket.finish_connect() {
                    Ok(()) => self.send_request(reactor, registered),
                    Err(error) => self.connection_lost(reactor, &error.to_string()),
                }
            }
            Connection::Open(exchange) if exchange.registered.token == token => {
                self.read_response(reactor, ready, exchange, lists);
            }
            other => self.connection = other,
        }
    }

    /// Reads the response to the superseded request. Once its complete head has arrived, that request replaces the
    /// current one.
    fn read_superseded(&mut self, reactor: &Reactor, ready: Ready) {
        let Some(mut exchange) = self.superseded.take() else { return };
        if ready.write {
            exchange.flush(reactor);
        }
        if !ready.read {
            self.superseded = Some(exchange);
            return;
        }
        let (_, flow) = exchange.registered.socket.read();
        // A copy of the decoder only checks whether the head is complete: an incomplete head must not replace the
        // current request. The head is decoded again once its request is the current one.
        match exchange.decoder.clone().decode(&exchange.registered.socket.input) {
            Ok((_, Some(Part::Head(_)))) => {
                self.is_watching = self.watch.superseded_response_started();
                self.body.clear();
                self.connection = Connection::Open(exchange);
            }
            Ok(_) if flow == Flow::Open && rule_disabled("superseded-call-kept-apart") => {
                self.is_watching = self.watch.superseded_response_started();
                self.connection = Connection::Open(exchange);
            }
            Ok(_) if flow == Flow::Open => self.superseded = Some(exchange),
            _ => self.watch.superseded_lost(),
        }
    }

    fn read_response(
        &mut self, reactor: &Reactor, ready: Ready, mut exchange: Exchange, lists: &mut Vec<EndpointList>,
    ) {
        if ready.write {
            exchange.flush(reactor);
        }
        let (_, flow) = exchange.registered.socket.read();
        let input = std::mem::take(&mut exchange.registered.socket.input);
        let mut decoded = self.decode(reactor.now, &mut exchange.decoder, &input, lists);
        let has_unconsumed_input = decoded.consumed < input.len();
        exchange.registered.socket.input = input;
        exchange.registered.socket.consume(decoded.consumed);
        // A body without a length ends with its connection, but only if that is closed without a reset.
        decoded.is_ended |= flow == Flow::Ended
            && decoded.result.is_ok()
            && exchange.decoder.closed(has_unconsumed_input).unwrap_or(false);
        if decoded.result.is_ok() && decoded.is_ended && !self.is_watching {
            decoded.result = self.apply_complete_list(lists);
            if decoded.result.is_ok() && flow == Flow::Open {
                // The watch starts from the version of this list, on the same connection.
                return self.send_request(reactor, exchange.registered);
            }
        }
        if let Err(error) = decoded.result {
            self.watch.reset_version();
            self.connection_lost(reactor, &error.to_string());
        } else if decoded.is_ended || flow != Flow::Open {
            self.connection_lost(reactor, "the watch ended");
        } else {
            self.connection = Connection::Open(exchange);
        }
    }
}

impl Exchange {
    fn flush(&mut self, reactor: &Reactor) {
        // A broken connection is detected by the next read.
        let _ = self.registered.socket.flush();
        let is_pending = self.registered.socket.pending() > 0;
        self.registered.set_interest(reactor, true, is_pending);
    }
}
