//! Health checks and metrics: `/live`, `/ready` and `/metrics` on a separate listener, not counted as requests. A load
//! balancer reads `/ready`, a metrics system `/metrics`.

mod metrics;

pub(crate) use metrics::{BackendGauges, Snapshot};

use crate::io::{Io, Token};
use crate::requests::FinalResponseRecord;
use doorcourse::Millis;
use doorcourse_event_loop::{Flow, Interest, Ready, Socket};
use doorcourse_http::{Decoder, Framing, Limits, Part, Role, response_head};
use metrics::Metrics;
use slab::Slab;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};

/// The most open connections; for another one, the one that has been idle longest is closed.
const MAX_CONNECTIONS: usize = 64;
/// The limits of a request: a short head and no body.
const REQUEST_LIMITS: Limits = Limits { line: 1024, head: 8192, fields: 64, body: 0 };
const PLAIN_TEXT: &str = "text/plain; charset=utf-8";
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// One connection of a load balancer or a metrics system.
struct MonitoringConnection {
    socket: Socket,
    generation: u32,
    decoder: Decoder,
    interest: Interest,
    /// Whether the connection is closed once all output is written.
    closing: bool,
    last_active_at: Millis,
}

impl MonitoringConnection {
    fn respond(&mut self, status: u16, content_type: &str, body: &str, keep_alive: bool) {
        let mut fields = vec![("content-type", content_type)];
        if !keep_alive {
            fields.push(("connection", "close"));
            self.closing = true;
        }
        response_head(self.socket.output(), status, &fields, Framing::Length(body.len() as u64));
        self.socket.output().extend_from_slice(body.as_bytes());
    }

    fn respond_text(&mut self, status: u16, body: &str, keep_alive: bool) {
        self.respond(status, PLAIN_TEXT, body, keep_alive);
    }
}

/// The pages that can be requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Page {
    Live,
    Ready,
    Metrics,
}

impl Page {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/live" => Some(Self::Live),
            "/ready" => Some(Self::Ready),
            "/metrics" => Some(Self::Metrics),
            _ => None,
        }
    }
}

/// A request for a page, to be answered by [`Monitoring::respond`].
#[derive(Debug)]
pub(crate) struct PageRequest {
    slot: usize,
    page: Page,
    keep_alive: bool,
}

/// The listener and the connections of health checks and metrics.
pub(crate) struct Monitoring {
    listener: TcpListener,
    connections: Slab<MonitoringConnection>,
    metrics: Metrics,
    pub page_requests: VecDeque<PageRequest>,
}

impl Monitoring {
    /// Registers the listener.
    pub(crate) fn new(io: &Io, listener: TcpListener) -> std::io::Result<Self> {
        io.poller.add(&listener, Token::MonitoringListener.pack(), Interest::READ)?;
        let metrics = Metrics::new();
        Ok(Self { listener, connections: Slab::new(), metrics, page_requests: VecDeque::new() })
    }

    /// The address of the listener.
    ///
    /// # Errors
    /// When the system does not return it.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The listener, to be passed to a process that takes over.
    pub(crate) fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// Counts the final response of a request.
    pub(crate) fn record_final_response(&self, record: &FinalResponseRecord) {
        self.metrics.record_final_response(record);
    }

    /// Accepts one connection.
    pub(crate) fn accept(&mut self, io: &mut Io) {
        let Ok((stream, _)) = self.listener.accept() else { return };
        let Ok(socket) = Socket::new(stream) else { return };
        if self.connections.len() >= MAX_CONNECTIONS {
            self.close_least_recent();
        }
        let generation = io.generation();
        let entry = self.connections.vacant_entry();
        let token = Token::Monitoring(entry.key(), generation).pack();
        if io.poller.add(&socket, token, Interest::READ).is_ok() {
            entry.insert(MonitoringConnection {
                socket,
                generation,
                decoder: Decoder::new(Role::Requests, REQUEST_LIMITS),
                interest: Interest::READ,
                closing: false,
                last_active_at: io.now(),
            });
        }
    }

    /// Closes the connection that has been idle longest, so that connections left open do not keep out new ones.
    fn close_least_recent(&mut self) {
        let oldest = self.connections.iter().min_by(|a, b| a.1.last_active_at.total_cmp(&b.1.last_active_at));
        if let Some(slot) = oldest.map(|(slot, _)| slot) {
            drop(self.connections.remove(slot));
        }
    }

    /// Reads from or writes to a connection, as far as its socket is ready.
    pub(crate) fn handle_readiness(&mut self, io: &Io, slot: usize, generation: u32, ready: Ready) {
        let current_connection = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        let Some(connection) = current_connection else { return };
        connection.last_active_at = io.now();
        if ready.read && connection.socket.read().1 != Flow::Open {
            drop(self.connections.remove(slot));
            return;
        }
        self.decode_input(slot);
        self.flush(io, slot);
    }

    /// Decodes requests. Requests for a page wait in `page_requests`; all others are answered at once.
    fn decode_input(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if connection.closing {
            return connection.socket.input.clear();
        }
        loop {
            let (consumed, part) = match connection.decoder.decode(&connection.socket.input) {
                Ok(decoded) => decoded,
                Err(error) => {
                    return connection.respond_text(error.status(), "this is no request here\n", false);
                }
            };
            let head = match part {
                Some(Part::Head(head)) => Some(head),
                Some(_) => None,
                None => return connection.socket.consume(consumed),
            };
            connection.socket.consume(consumed);
            let Some(head) = head else { continue };
            let keep_alive = head.keep_alive;
            let path = head.target.split('?').next().unwrap_or("");
            match Page::from_path(path) {
                None => connection.respond_text(404, "there are /live, /ready and /metrics\n", keep_alive),
                Some(page) if head.method == "GET" => {
                    self.page_requests.push_back(PageRequest { slot, page, keep_alive });
                }
                Some(_) => connection.respond_text(405, "GET is allowed\n", keep_alive),
            }
        }
    }

    /// Answers a request for a page with the values of `snapshot`.
    pub(crate) fn respond(&mut self, io: &Io, request: &PageRequest, snapshot: &Snapshot) {
        let Some(connection) = self.connections.get_mut(request.slot) else { return };
        let keep_alive = request.keep_alive;
        match request.page {
            Page::Live => connection.respond_text(200, "live\n", keep_alive),
            Page::Ready if snapshot.ready => connection.respond_text(200, "ready\n", keep_alive),
            Page::Ready => connection.respond_text(503, "not ready: send no new clients\n", keep_alive),
            Page::Metrics => {
                connection.respond(200, OPENMETRICS, &self.metrics.text(snapshot), keep_alive);
            }
        }
        self.flush(io, request.slot);
    }

    fn flush(&mut self, io: &Io, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let broken = connection.socket.flush() == Flow::Broken;
        let pending = connection.socket.pending() > 0;
        if broken || connection.closing && !pending {
            drop(self.connections.remove(slot));
            return;
        }
        let interest = Interest::of(!pending, pending);
        if interest != connection.interest {
            connection.interest = interest;
            let token = Token::Monitoring(slot, connection.generation).pack();
            let _ = io.poller.change(&connection.socket, token, interest);
        }
    }
}
