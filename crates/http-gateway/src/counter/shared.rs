//! The host of the link to the shared counter: executes the link's actions, and reports connections and received bytes
//! to it.

use super::connection::Connection;
use crate::io::Io;
use doorcourse::{Event, Millis};
use doorcourse_config::CounterConfig as Settings;
use doorcourse_counter::{CallOutcome, CounterCall, CounterLink, LinkAction, LinkSettings, RespCodec};
use doorcourse_event_loop::{Flow, Ready};
use std::net::SocketAddr;

/// Reasons for a lost connection, as logged.
const CLOSED_BY_COUNTER: &str = "closed by the counter";
const BROKEN_WHILE_WRITING: &str = "broken while writing";

/// The shared counter, and the connection to it.
pub(crate) struct SharedCounter {
    address: SocketAddr,
    link: CounterLink<RespCodec>,
    /// `None` before the first connection and while the link waits to reconnect.
    connection: Option<Connection>,
    /// The number of calls that have not ended. A call that timed out has ended here, while the link still waits for
    /// its reply.
    calls_in_flight: usize,
}

impl SharedCounter {
    /// A counter without a connection; the first call of [`SharedCounter::handle_timeout`] connects.
    pub(crate) fn new(settings: &Settings) -> Self {
        let link = CounterLink::new(link_settings(settings), RespCodec::new(settings.password.clone()));
        Self { address: settings.address, link, connection: None, calls_in_flight: 0 }
    }

    /// The number of calls that have not ended.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight
    }

    /// Makes a call. It is written at the next readiness or timeout, together with the other pending calls.
    pub(crate) fn call(&mut self, io: &mut Io, call: CounterCall) {
        self.calls_in_flight += 1;
        let mut actions = Vec::new();
        self.link.call(io.now(), call, &mut actions);
        self.execute_actions(io, actions);
    }

    /// Handles due timeouts and writes pending calls. Returns the time of the link's next timeout.
    pub(crate) fn handle_timeout(&mut self, io: &mut Io) -> Millis {
        let mut actions = Vec::new();
        let next_timeout = self.link.handle_timeout(io.now(), &mut actions);
        self.execute_actions(io, actions);
        self.flush(io);
        next_timeout
    }

    /// Handles the readiness of the connection of this generation; that of an earlier connection is ignored.
    pub(crate) fn connection_ready(&mut self, io: &mut Io, generation: u32, ready: Ready) {
        let now = io.now();
        let connection = self.connection.as_mut().filter(|found| found.generation() == generation);
        let Some(connection) = connection else { return };
        let mut actions = Vec::new();
        match connection.handle_readiness(ready) {
            Ok(progress) => {
                if progress.opened {
                    self.link.connection_opened(now);
                }
                if !progress.input.is_empty() {
                    self.link.handle_input(now, &progress.input, &mut actions);
                }
                if progress.closed && !actions.contains(&LinkAction::Close) {
                    self.drop_connection(now, CLOSED_BY_COUNTER, &mut actions);
                }
            }
            Err(error) => self.drop_connection(now, &error.to_string(), &mut actions),
        }
        self.execute_actions(io, actions);
        self.flush(io);
    }

    fn execute_actions(&mut self, io: &mut Io, actions: Vec<LinkAction>) {
        for action in actions {
            match action {
                LinkAction::Connect => self.connect(io),
                LinkAction::Close => self.connection = None,
                LinkAction::LogAvailable => {
                    tracing::info!(target: "doorcourse::counter", "counter connection up");
                }
                LinkAction::LogUnavailable { reason } => {
                    tracing::info!(target: "doorcourse::counter", reason, "counter connection lost");
                }
                LinkAction::CallEnded { counter, outcome, latency } => {
                    // A late reply belongs to a call that has already ended by its timeout.
                    if !matches!(outcome, CallOutcome::Late { .. }) {
                        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
                    }
                    io.events.push_back(Event::CounterCallEnded {
                        counter,
                        outcome: outcome.into(),
                        latency,
                    });
                }
            }
        }
    }

    fn connect(&mut self, io: &mut Io) {
        let now = io.now();
        match Connection::start(io, self.address) {
            Ok(connection) => self.connection = Some(connection),
            Err(error) => {
                let mut actions = Vec::new();
                self.link.connection_lost(now, &error.to_string(), &mut actions);
                self.execute_actions(io, actions);
            }
        }
    }

    /// Writes the calls that the link has encoded.
    fn flush(&mut self, io: &mut Io) {
        let now = io.now();
        let Some(connection) = self.connection.as_mut().filter(|found| found.is_connected()) else { return };
        let flow = connection.write(&self.link.take_output());
        self.link.set_unwritten_bytes(connection.unwritten_bytes());
        if flow != Flow::Broken {
            return connection.update_interest(io);
        }
        let mut actions = Vec::new();
        self.drop_connection(now, BROKEN_WHILE_WRITING, &mut actions);
        self.execute_actions(io, actions);
    }

    fn drop_connection(&mut self, now: Millis, reason: &str, actions: &mut Vec<LinkAction>) {
        self.connection = None;
        self.link.connection_lost(now, reason, actions);
    }
}

/// The settings of the link. It has no idle timeout, because the shared counter does not close idle connections.
fn link_settings(settings: &Settings) -> LinkSettings {
    LinkSettings {
        call_timeout: settings.call_timeout,
        initial_backoff: settings.initial_backoff(),
        max_backoff: settings.max_backoff,
        unresponsive_timeout: settings.unresponsive_timeout,
        idle_timeout: f64::INFINITY,
    }
}
