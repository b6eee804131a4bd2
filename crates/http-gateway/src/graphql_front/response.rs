//! Responses that the gateway itself gives, as HTTP. Codes and texts are a stable format.

use super::{MediaType, REQUEST_ID_FIELD};
use doorcourse::{Millis, Name, RejectReason};
use doorcourse_graphql::Error as QueryError;
use doorcourse_http::{Framing, response_head};
use doorcourse_request_lifecycle::{FailureReason, FinalResponse};
use serde_json::json;

/// A response that the gateway itself gives.
#[derive(Debug)]
pub(crate) struct Response {
    pub status: u16,
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    /// Whether the connection is closed after this response.
    pub close: bool,
}

/// A response with one error and its stable code, in the format of a GraphQL response.
pub(super) fn error(media: MediaType, status: u16, code: &str, message: &str) -> Response {
    let body = json!({"errors": [{"message": message, "extensions": {"code": code}}]});
    let fields = vec![("content-type", media.name().to_owned())];
    Response { status, fields, body: body.to_string().into_bytes(), close: false }
}

/// The same response, after which the connection is closed.
pub(super) fn with_close(mut response: Response) -> Response {
    response.close = true;
    response
}

/// The response to a well-formed request with an invalid operation: status 200 for the legacy media type, 400 for the
/// newer one.
pub(super) fn query_errors_response(media: MediaType, code: &str, errors: &[QueryError]) -> Response {
    let status = if media == MediaType::Json { 200 } else { 400 };
    let entry = |error: &QueryError| match error.at {
        Some(at) => json!({"message": error.message, "extensions": {"code": code},
            "locations": [{"line": at.line, "column": at.column}]}),
        None => json!({"message": error.message, "extensions": {"code": code}}),
    };
    let body = json!({"errors": errors.iter().map(entry).collect::<Vec<_>>()});
    let fields = vec![("content-type", media.name().to_owned())];
    Response { status, fields, body: body.to_string().into_bytes(), close: false }
}

/// The response to bytes that are not HTTP.
pub(crate) fn bad_http_response(http_error: doorcourse_http::Error) -> Response {
    with_close(error(MediaType::Json, http_error.status(), "BAD_HTTP", &http_error.to_string()))
}

/// The response to a request that took too long to arrive.
pub(crate) fn request_timeout_response() -> Response {
    with_close(error(MediaType::Json, 408, "REQUEST_TIMEOUT", "the request took too long to arrive"))
}

/// The response when the gateway itself has reached a limit or is stopping; the rest of the request is not read.
pub(crate) fn gateway_full_response(message: &str) -> Response {
    let mut response = with_close(error(MediaType::Json, 503, "GATEWAY_FULL", message));
    response.fields.push(("retry-after", "1".into()));
    response
}

/// The stable code of a final response that the gateway itself gives.
pub(crate) fn response_code(response: FinalResponse) -> &'static str {
    match response {
        FinalResponse::Rejected { reason, .. } => rejection_code(reason),
        FinalResponse::Failed(reason) => failure_code(reason),
    }
}

fn rejection_code(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::QuotaExceeded => "QUOTA_EXCEEDED",
        RejectReason::Overloaded => "BUSY",
    }
}

fn failure_code(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::DeadlineExpired => "DEADLINE_EXCEEDED",
        FailureReason::BackendFailed => "NODE_FAILED",
        FailureReason::NoBackendReached => "NO_NODE",
    }
}

/// A final response that the gateway itself gives, as HTTP.
pub(crate) fn final_response(media: MediaType, response: FinalResponse) -> Response {
    match response {
        FinalResponse::Rejected { retry_after, reason } => rejection_response(media, reason, retry_after),
        FinalResponse::Failed(reason) => failure_response(media, reason),
    }
}

/// The response to an operation that the client may safely retry.
fn rejection_response(media: MediaType, reason: RejectReason, retry_after: Millis) -> Response {
    let (status, message) = match reason {
        RejectReason::QuotaExceeded => (429, "the quota is used up; to try again is harmless"),
        RejectReason::Overloaded => (503, "no node has room; to try again is harmless"),
    };
    let mut response = error(media, status, rejection_code(reason), message);
    // The field is in seconds (RFC 9110 section 10.2.3). It is rounded up, because an earlier retry would be rejected
    // again.
    let retry_after_seconds = (retry_after / 1000.0).ceil().max(1.0);
    response.fields.push(("retry-after", retry_after_seconds.to_string()));
    response
}

fn failure_response(media: MediaType, reason: FailureReason) -> Response {
    let (status, message) = match reason {
        FailureReason::DeadlineExpired => (504, "no answer came in time; the operation may have run"),
        FailureReason::BackendFailed => (502, "a node failed; the operation may have run"),
        FailureReason::NoBackendReached => (503, "no node could be reached; the operation did not run"),
    };
    error(media, status, failure_code(reason), message)
}

/// Appends a response to a connection's send buffer.
pub(crate) fn write_response(
    out: &mut Vec<u8>, response: &Response, keep_alive: bool, external_id: Option<&Name>,
) {
    let mut fields: Vec<(&str, &str)> = response.fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
    if !keep_alive || response.close {
        fields.push(("connection", "close"));
    }
    if let Some(name) = external_id {
        fields.push((REQUEST_ID_FIELD, name));
    }
    response_head(out, response.status, &fields, Framing::Length(response.body.len() as u64));
    out.extend_from_slice(&response.body);
}
