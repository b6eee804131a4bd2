//! Writing messages. Callers give field values without line ends; a line end in one is left out, so that no
//! value can start a line of its own.

use crate::Framing;
use std::io::Write;

fn fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    for (name, value) in fields {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend(value.bytes().filter(|b| *b != b'\r' && *b != b'\n'));
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends a whole request with a body of known length.
pub fn request(out: &mut Vec<u8>, method: &str, target: &str, head: &[(&str, &str)], body: &[u8]) {
    let _ = write!(out, "{method} {target} HTTP/1.1\r\n");
    fields(out, head);
    let _ = write!(out, "content-length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

/// Appends the head of a response with a body that is framed as told. A body that ends with the connection is
/// for clients of version 1.0, which know no chunks.
pub fn response_head(out: &mut Vec<u8>, status: u16, head: &[(&str, &str)], framing: Framing) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    fields(out, head);
    match framing {
        Framing::Length(n) => drop(write!(out, "content-length: {n}\r\n\r\n")),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n"),
        Framing::Close => out.extend_from_slice(b"connection: close\r\n\r\n"),
        Framing::None => out.extend_from_slice(b"\r\n"),
    }
}

/// Appends one chunk; nothing for no bytes, since an empty chunk is the end.
pub fn chunk(out: &mut Vec<u8>, data: &[u8]) {
    if !data.is_empty() {
        let _ = write!(out, "{:x}\r\n", data.len());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends the end of a chunked body.
pub fn chunk_end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

fn reason(status: u16) -> &'static str {
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
