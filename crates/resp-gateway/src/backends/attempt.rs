//! The attempts and health checks that are sent to backends, and the events that report their progress.

use crate::request::ForwardedCommand;
use doorcourse::{LoadReport, Millis, Name, RequestId};
use doorcourse_request_lifecycle::BackendReply;
use doorcourse_resp::Reply;
use std::sync::Arc;

/// The command of a health check.
const HEALTH_CHECK_COMMAND: &[u8] = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";
/// Set in the ids of health checks, which share the table of attempts with requests.
const HEALTH_CHECK_BIT: RequestId = 1 << 63;

/// Whether an id is that of a health check.
pub(crate) fn is_health_check(id: RequestId) -> bool {
    id & HEALTH_CHECK_BIT != 0
}

/// Returns the id of the health check with this number.
pub(super) fn health_check_id(number: u64) -> RequestId {
    HEALTH_CHECK_BIT | number
}

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTimeouts {
    /// When its response is due; infinite for a health check.
    pub deadline: Millis,
    /// How long it may wait for a connection, in ms. Then the host takes its backend for unreachable.
    pub connect_timeout: Millis,
}

/// An event of the attempt of a request, or of a health check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AttemptUpdate {
    pub request: RequestId,
    pub event: AttemptEvent,
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AttemptEvent {
    /// It has a connection.
    Connected,
    /// Its last byte was written.
    Written,
    /// A complete response was received.
    Responded(BackendResponse),
    /// The response is malformed, or of a kind that does not match what was sent.
    InvalidResponse,
    /// The connection was lost or could not be made.
    ConnectionLost,
    /// It must not or cannot be sent, and its last byte was not written.
    Withdrawn,
}

/// A complete response of a backend.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct BackendResponse {
    pub reply: BackendReply,
    pub value: Vec<u8>,
    /// The units that the request used, if the response states them.
    pub units: Option<f64>,
    pub load_report: Option<LoadReport>,
}

impl BackendResponse {
    /// Converts a reply whose ranges refer to `input`. Returns `None` if its kind does not match what was sent. Units
    /// or a load report that cannot be parsed are ignored; the rest of the response is still valid.
    pub(super) fn from_reply(reply: Reply, input: &[u8], is_health_check: bool) -> Option<Self> {
        match reply {
            Reply::Served { value, units, load_report } if !is_health_check => Some(Self {
                reply: BackendReply::Value,
                value: input[value].to_vec(),
                units: units
                    .and_then(|text| text.parse().ok())
                    .filter(|units: &f64| units.is_finite() && *units > 0.0),
                load_report: parse_load_report(load_report),
            }),
            Reply::Failed { load_report } => Some(Self::without_value(BackendReply::Failed, load_report)),
            Reply::Busy { load_report } => Some(Self::without_value(BackendReply::Rejected, load_report)),
            Reply::Bulk(text) if is_health_check => {
                let text = std::str::from_utf8(&input[text]).ok().map(str::to_owned);
                Some(Self::without_value(BackendReply::Value, text))
            }
            Reply::Served { .. } | Reply::Pong | Reply::Bulk(_) => None,
        }
    }

    fn without_value(reply: BackendReply, load_report: Option<String>) -> Self {
        Self { reply, value: Vec::new(), units: None, load_report: parse_load_report(load_report) }
    }
}

fn parse_load_report(text: Option<String>) -> Option<LoadReport> {
    text.and_then(|text| doorcourse_deployment::report(&text, '=').ok())
}

/// What an attempt sends.
pub(super) enum Payload {
    Request(Arc<ForwardedCommand>),
    HealthCheck,
}

/// An attempt or a health check in flight.
pub(super) struct Attempt {
    pub backend: Name,
    pub payload: Payload,
    /// When the response is due; infinite for a health check.
    pub deadline: Millis,
    /// Index of its connection; `None` while it waits for one.
    pub connection: Option<usize>,
}

impl Attempt {
    /// Appends the bytes to send.
    pub(super) fn encode(&self, now: Millis, output: &mut Vec<u8>) {
        match &self.payload {
            Payload::Request(command) => command.encode(self.deadline - now, output),
            Payload::HealthCheck => output.extend_from_slice(HEALTH_CHECK_COMMAND),
        }
    }
}
