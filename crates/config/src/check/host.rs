//! Checks the settings of the process: its addresses, the counter's connection, limits, files and life cycle.

use super::Checker;
use crate::raw;
use crate::{CounterConfig, Life, Limits, StateFileConfig};
use std::net::SocketAddr;

/// The backoff before the first new connection to the counter.
const INITIAL_BACKOFF_MS: f64 = 50.0;

/// Checks the addresses on which clients are accepted.
pub(super) fn listen(raw: &[String], checker: &mut Checker<'_>) -> Vec<SocketAddr> {
    if raw.is_empty() {
        checker.fault("listen", "at least one address is required");
    }
    let addresses = raw.iter().enumerate();
    addresses.map(|(index, address)| checker.address(&format!("listen[{index}]"), address)).collect()
}

/// Checks the path of the GraphQL endpoint.
pub(super) fn endpoint_path(raw: Option<&String>, checker: &mut Checker<'_>) -> String {
    let path = raw.map_or("/graphql", String::as_str);
    if !path.starts_with('/') || path.contains(['?', ' ']) {
        checker.fault("path", format!("`{path}` must begin with / and contain neither ? nor a space"));
    }
    path.to_owned()
}

/// Checks the connection to the counter.
pub(super) fn counter(raw: &raw::Counter, checker: &mut Checker<'_>) -> CounterConfig {
    CounterConfig {
        address: checker.address("counter.address", &raw.address),
        password: raw.password.clone(),
        call_timeout: checker.number("counter.timeout_ms", raw.timeout_ms.unwrap_or(50.0), 1.0..=10_000.0),
        unresponsive_timeout: checker.number(
            "counter.dead_after_ms",
            raw.dead_after_ms.unwrap_or(1000.0),
            10.0..=60_000.0,
        ),
        max_backoff: checker.number(
            "counter.longest_wait_ms",
            raw.longest_wait_ms.unwrap_or(2000.0),
            10.0..=60_000.0,
        ),
    }
}

impl CounterConfig {
    /// The backoff before the first new connection, in ms. It doubles up to `max_backoff`.
    #[must_use]
    pub fn initial_backoff(&self) -> f64 {
        INITIAL_BACKOFF_MS.min(self.max_backoff)
    }
}

/// Checks the path of the admin socket.
pub(super) fn admin_socket(raw: &raw::Admin, checker: &mut Checker<'_>) -> String {
    if raw.socket.is_empty() {
        checker.fault("admin.socket", "a path is required");
    }
    raw.socket.clone()
}

/// Checks the state file.
pub(super) fn state_file(raw: &raw::StateFile, checker: &mut Checker<'_>) -> StateFileConfig {
    if raw.file.is_empty() {
        checker.fault("state.file", "a file name is required");
    }
    let save_interval = checker.number("state.every_ms", raw.every_ms.unwrap_or(1000.0), 100.0..=6e5);
    let max_age = raw.longest_age_ms.unwrap_or(60_000.0);
    let max_age = checker.number("state.longest_age_ms", max_age, 1000.0..=8.64e7);
    StateFileConfig { file: raw.file.clone(), save_interval, max_age }
}

/// Checks the times of the process's life cycle.
pub(super) fn life(raw: &raw::Life, checker: &mut Checker<'_>) -> Life {
    Life {
        notice: checker.number("life.notice_ms", raw.notice_ms.unwrap_or(0.0), 0.0..=6e5),
        drain: checker.number("life.drain_ms", raw.drain_ms.unwrap_or(5000.0), 0.0..=6e5),
        handover: checker.number("life.handover_ms", raw.handover_ms.unwrap_or(10_000.0), 100.0..=6e5),
        quiet: checker.number("life.quiet_ms", raw.quiet_ms.unwrap_or(1000.0), 0.0..=6e5),
        give_back: checker.number("life.give_back_ms", raw.give_back_ms.unwrap_or(500.0), 0.0..=6e4),
    }
}

/// Checks the limits of connections, requests and buffers.
pub(super) fn limits(raw: &raw::Limits, checker: &mut Checker<'_>) -> Limits {
    let mut integer = |name: &str, value: Option<u64>, default: u64, range| {
        checker.integer(&format!("limits.{name}"), value.unwrap_or(default), range)
    };
    let widen = |value: Option<u32>| value.map(u64::from);
    let connections = integer("connections", widen(raw.connections), 10_000, 1..=1_000_000) as usize;
    let requests = integer("requests", widen(raw.requests), 4096, 1..=1_000_000) as usize;
    let buffered = integer("buffered_bytes", raw.buffered_bytes, 256 << 20, 65_536..=1_000_000_000_000);
    let default_customer_bytes = (buffered / 4).max(65_536);
    let customer_bytes =
        integer("customer_bytes", raw.customer_bytes, default_customer_bytes, 65_536..=1_000_000_000_000);
    let line = integer("line_bytes", widen(raw.line_bytes), 8192, 64..=1 << 20) as usize;
    let head = integer("head_bytes", widen(raw.head_bytes), 32_768, 128..=1 << 20) as usize;
    let fields = integer("fields", widen(raw.fields), 64, 1..=10_000) as usize;
    let body = integer("body_bytes", raw.body_bytes, 1 << 20, 1..=1_000_000_000);
    let answer = integer("answer_bytes", raw.answer_bytes, 1 << 30, 1..=1_000_000_000_000);
    let held_answer =
        integer("held_answer_bytes", widen(raw.held_answer_bytes), 16_384, 0..=16 << 20) as usize;
    let client_buffer =
        integer("client_buffer_bytes", widen(raw.client_buffer_bytes), 65_536, 1024..=1_000_000_000);
    let mut milliseconds = |name: &str, value: Option<f64>, default: f64, range| {
        checker.number(&format!("limits.{name}"), value.unwrap_or(default), range)
    };
    Limits {
        connections,
        requests,
        buffered,
        line,
        head,
        fields,
        body,
        answer,
        held_answer,
        client_buffer: client_buffer as usize,
        head_time: milliseconds("head_ms", raw.head_ms, 10_000.0, 10.0..=6e5),
        body_time: milliseconds("body_ms", raw.body_ms, 20_000.0, 10.0..=6e5),
        idle_time: milliseconds("idle_ms", raw.idle_ms, 60_000.0, 10.0..=3.6e6),
        node_idle_time: milliseconds("node_idle_ms", raw.node_idle_ms, 30_000.0, 10.0..=3.6e6),
        longest_deadline: milliseconds("longest_deadline_ms", raw.longest_deadline_ms, 60_000.0, 1.0..=3.6e6),
        customer_bytes,
        unread_time: milliseconds("unread_ms", raw.unread_ms, 10_000.0, 10.0..=6e5),
        answer_margin: milliseconds("answer_margin_ms", raw.answer_margin_ms, 20.0, 0.0..=1000.0),
    }
}
