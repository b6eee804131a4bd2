//! Message framing: the rules by which a head determines the length of the body (RFC 9112 section 6.3) and whether the
//! connection persists (section 9.3).

use super::Role;
use crate::{Error, Framing, Head};

/// How the length of the body is determined; `answers_head` says that the message is the response to a HEAD request.
///
/// # Errors
/// When recipients could disagree about the length, when the transfer coding is unknown, and when a request's Host
/// field is missing or repeated (RFC 9112 section 3.2).
pub(super) fn message_framing(head: &Head, role: Role, answers_head: bool) -> Result<Framing, Error> {
    check_framing_fields(head)?;
    let length = content_length(head)?;
    let chunked = is_chunked(head)?;
    if role == Role::Requests {
        check_host(head)?;
    }
    let is_response = role == Role::Responses;
    if is_response && never_has_body(head, answers_head) {
        return Ok(Framing::None);
    }
    Ok(match (chunked, length) {
        (true, _) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) if is_response => Framing::Close,
        (false, None) => Framing::None,
    })
}

/// Whether the connection persists after the message (RFC 9112 section 9.3).
pub(super) fn is_persistent(head: &Head) -> bool {
    if head.has_token("connection", "close") || head.framing == Framing::Close {
        return false;
    }
    head.minor == 1 || head.has_token("connection", "keep-alive")
}

/// Allows at most one field out of Content-Length and Transfer-Encoding, and no Transfer-Encoding in version 1.0, which
/// does not define it.
fn check_framing_fields(head: &Head) -> Result<(), Error> {
    let transfer_encodings = head.field_count("transfer-encoding");
    let framing_fields = head.field_count("content-length") + transfer_encodings;
    if framing_fields > 1 || (transfer_encodings > 0 && head.minor == 0) {
        return Err(Error::InvalidFraming);
    }
    Ok(())
}

/// The value of Content-Length. Only digits are accepted, because recipients interpret a sign, white space or a list
/// differently.
fn content_length(head: &Head) -> Result<Option<u64>, Error> {
    let Some(value) = head.field("content-length") else { return Ok(None) };
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::InvalidFraming);
    }
    let length = value.parse().map_err(|_| Error::BodyTooLarge)?;
    Ok(Some(length))
}

fn is_chunked(head: &Head) -> Result<bool, Error> {
    match head.field("transfer-encoding") {
        None => Ok(false),
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(true),
        Some(_) => Err(Error::UnknownTransferCoding),
    }
}

fn check_host(head: &Head) -> Result<(), Error> {
    let hosts = head.field_count("host");
    let is_missing = head.minor == 1 && hosts == 0;
    if hosts > 1 || is_missing { Err(Error::InvalidHost) } else { Ok(()) }
}

/// Whether a response has no body whatever its fields say: interim responses, 204, 304, and responses to HEAD.
fn never_has_body(head: &Head, answers_head: bool) -> bool {
    answers_head || head.is_interim() || matches!(head.status, 204 | 304)
}
