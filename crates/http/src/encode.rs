//! Encodes messages. Carriage returns and line feeds are removed from field values, so that a value cannot start a new
//! line (response splitting, RFC 9112 section 11.1).

use crate::Framing;
use std::io::Write;

// Writing to a `Vec` cannot fail, so the results of `write!` are ignored.

fn encode_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    for (name, value) in fields {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend(value.bytes().filter(|byte| !matches!(byte, b'\r' | b'\n')));
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends a complete request with its body. The Content-Length field is added.
pub fn request(out: &mut Vec<u8>, method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) {
    let _ = write!(out, "{method} {target} HTTP/1.1\r\n");
    encode_fields(out, fields);
    let _ = write!(out, "content-length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

/// Appends the head of a response. The field that `framing` needs is added. [`Framing::Close`] is for HTTP/1.0 clients,
/// which do not support the chunked transfer coding.
pub fn response_head(out: &mut Vec<u8>, status: u16, fields: &[(&str, &str)], framing: Framing) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    encode_fields(out, fields);
    match framing {
        Framing::Length(length) => drop(write!(out, "content-length: {length}\r\n\r\n")),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n"),
        Framing::Close => out.extend_from_slice(b"connection: close\r\n\r\n"),
        Framing::None => out.extend_from_slice(b"\r\n"),
    }
}

/// Appends one chunk (RFC 9112 section 7.1), or nothing if `data` is empty, because a chunk of size 0 ends the body.
pub fn chunk(out: &mut Vec<u8>, data: &[u8]) {
    if !data.is_empty() {
        let _ = write!(out, "{:x}\r\n", data.len());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends the last chunk and an empty trailer section, which end a chunked body.
pub fn chunk_end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

/// The reason phrase of a status code (RFC 9110 section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        413 => "Content Too Large",
        414 => "URI Too Long",
        415 => "Unsupported Media Type",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}
