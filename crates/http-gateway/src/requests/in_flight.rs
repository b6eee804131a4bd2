//! The state of one request, from its admission to the end of its last attempt.

use super::command::FinalResponseRecord;
use crate::backends::ConnectionId;
use crate::clients::ForwardedHead;
use crate::graphql_front::MediaType;
use doorcourse::{AttemptEnd, AttemptOutcome, Millis, Name, RequestId};
use doorcourse_graphql::ResponseScanner;
use doorcourse_http::{Framing, Head};
use doorcourse_request_lifecycle::RequestLifecycle;

/// One request that has no final response yet, or whose attempt is still in flight.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    /// The client's connection; `None` once it has its final response or has disconnected.
    pub client: Option<usize>,
    pub plan: Name,
    pub class: Name,
    pub received_at: Millis,
    /// The id that clients, backends and operators see (`x-request-id`): the client's own, or one that the gateway
    /// made.
    pub external_id: Name,
    pub lifecycle: RequestLifecycle,
    pub media: MediaType,
    pub body: Vec<u8>,
    pub forwarded_fields: Vec<(String, String)>,
    /// Whether the operation is safe to retry only with an idempotency key.
    pub needs_idempotency_key: bool,
    /// The cost by which the request was admitted.
    pub units: f64,
    pub attempt: Attempt,
    pub response: BufferedResponse,
}

impl InFlightRequest {
    /// The memory of the request's body and fields, in bytes.
    pub(super) fn held_bytes(&self) -> u64 {
        let fields = self.forwarded_fields.iter();
        let field_bytes =
            fields.map(|(name, value)| name.len() + value.len() + size_of::<(String, String)>());
        (self.body.capacity() + field_bytes.sum::<usize>()) as u64
    }

    /// The final response as the metrics record it. `code` is its error code, or `SERVED`.
    pub(super) fn record(&self, now: Millis, code: &'static str) -> FinalResponseRecord {
        let plan = self.plan.clone();
        let class = self.class.clone();
        FinalResponseRecord { code, plan, class, elapsed: now - self.received_at }
    }

    /// The end of the attempt, as it is reported to the decisions.
    pub(super) fn attempt_end(
        &self, now: Millis, id: RequestId, outcome: AttemptOutcome, true_units: Option<f64>,
        final_response_sent: bool,
    ) -> AttemptEnd {
        AttemptEnd {
            id,
            // From 0 here; elsewhere in the request table attempts count from 1.
            attempt: self.lifecycle.attempts() - 1,
            backend: self.attempt.backend.clone(),
            outcome,
            latency: now - self.attempt.started_at,
            true_units,
            final_response_sent,
            load_report: None,
        }
    }

    /// Whether the attempt with this number, from 1, is in flight.
    pub(super) fn has_attempt(&self, number: u32) -> bool {
        self.lifecycle.has_attempt() && self.lifecycle.attempts() == number
    }
}

/// The attempt in flight, or the last one.
#[derive(Debug, Default)]
pub(super) struct Attempt {
    /// Its connection; `None` once the response is complete or the connection is lost.
    pub connection: Option<ConnectionId>,
    pub backend: Name,
    pub started_at: Millis,
}

/// The part of a backend's response head that is forwarded.
#[derive(Debug)]
struct ResponseHead {
    status: u16,
    content_type: String,
    framing: Framing,
    /// `Set-Cookie` fields; forwarded if sessions are sticky by cookie.
    cookies: Vec<String>,
}

/// A backend's response: buffered until it is complete or too long to buffer, and from then on forwarded as it arrives.
#[derive(Debug)]
pub(super) struct BufferedResponse {
    head: Option<ResponseHead>,
    buffer: Vec<u8>,
    /// Whether the buffer contains the end of the response.
    complete: bool,
    /// Whether the head has been forwarded.
    head_forwarded: bool,
    /// Counts the cost of the response while it is received.
    pub scan: ResponseScanner,
}

impl BufferedResponse {
    pub(super) fn new(scan: ResponseScanner) -> Self {
        Self { head: None, buffer: Vec::new(), complete: false, head_forwarded: false, scan }
    }

    /// Prepares for a new attempt, so that no part of an earlier attempt's response is mixed with the new one.
    pub(super) fn reset(&mut self) {
        self.discard();
        self.complete = false;
        self.scan.reset();
    }

    /// Stores the head of the response. The backend's cookies are kept only with `forward_cookies`.
    pub(super) fn set_head(&mut self, head: &Head, forward_cookies: bool) {
        let content_type = head.field("content-type").unwrap_or("application/json").to_owned();
        let cookies = head.fields.iter().filter(|(name, _)| forward_cookies && name == "set-cookie");
        self.head = Some(ResponseHead {
            status: head.status,
            content_type,
            framing: head.framing,
            cookies: cookies.map(|(_, value)| value.clone()).collect(),
        });
    }

    /// Buffers bytes of the body, and scans them for the cost.
    pub(super) fn append(&mut self, mut data: Vec<u8>) {
        self.scan.feed(&data);
        if self.buffer.is_empty() {
            self.buffer = data;
        } else {
            self.buffer.append(&mut data);
        }
    }

    /// Records that the response is completely received.
    pub(super) fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Drops the buffered bytes.
    pub(super) fn clear_buffer(&mut self) {
        self.buffer.clear();
    }

    /// Drops head and buffered bytes of a response that must not be forwarded.
    pub(super) fn discard(&mut self) {
        self.buffer.clear();
        self.head = None;
    }

    /// The bytes to forward next, the first time with the head; `None` if no head has been received.
    pub(super) fn take_forwardable(&mut self) -> Option<(Option<ForwardedHead>, Vec<u8>)> {
        let mut forwarded_head = None;
        if !self.head_forwarded {
            let head = self.head.as_ref()?;
            let framing =
                if self.complete { Framing::Length(self.buffer.len() as u64) } else { head.framing };
            forwarded_head = Some(ForwardedHead {
                status: head.status,
                content_type: head.content_type.clone(),
                framing,
                cookies: head.cookies.clone(),
            });
            self.head_forwarded = true;
        }
        Some((forwarded_head, std::mem::take(&mut self.buffer)))
    }
}
