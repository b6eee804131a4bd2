//! Reads the replies of the platform's backends.
//!
//! The reply to a served request is an array of three elements: the value, the units that it used and the load report.
//! The value is returned only once the two elements after it are complete and valid, since a wrong length of the value
//! can be detected only in the bytes that follow it. After malformed bytes, the connection must be closed.

use crate::line::{LINE_END_BYTES, LengthError, LineError, first_line, parse_length};
use crate::value::{Value, decode};
use std::ops::Range;

/// A complete reply; its ranges refer to the input.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request was served.
    Served {
        /// The range of the value.
        value: Range<usize>,
        /// The units that the request used, if present as a valid string or number.
        units: Option<String>,
        /// The load report, if present as a valid string or number.
        load_report: Option<String>,
    },
    /// The request failed, possibly after execution.
    Failed {
        /// The load report after `-ERR failed`, if present and valid UTF-8.
        load_report: Option<String>,
    },
    /// The request was rejected and not executed.
    Busy {
        /// The load report after `-BUSY`, if present and valid UTF-8.
        load_report: Option<String>,
    },
    /// The reply to `PING`.
    Pong,
    /// A bulk string outside an array: the reply to a health check that asks for the load.
    Bulk(Range<usize>),
}

/// The bytes are not a reply or exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed reply")]
pub struct MalformedReply;

/// Maximum bytes of a value.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// Maximum bytes of a reply of a single line, including its CRLF.
const MAX_LINE_BYTES: usize = 4 << 10;
/// Maximum bytes of an element after the value, including its framing.
const MAX_TRAILING_ELEMENT_BYTES: usize = 4 << 10;
/// Maximum bytes of a length on a header line, including its CRLF and excluding its type byte.
const MAX_LENGTH_BYTES: usize = 16;
/// Elements of the array that is the reply to a served request.
const SERVED_ELEMENTS: usize = 3;
/// Length of the type byte at the start of a header line.
const TYPE_BYTES: usize = 1;

/// Reads the replies of one connection.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// The range of the value of a served request, once its length is known. The headers before it are then not parsed
    /// again.
    value: Option<Range<usize>>,
}

impl ReplyReader {
    /// Continues reading in the unconsumed input. Returns the next reply and the number of bytes that it consumed, or
    /// `None` until more input arrives.
    ///
    /// # Errors
    /// When the bytes are not a reply or exceed a limit; the reader must not be used again.
    pub fn read(&mut self, input: &[u8]) -> Result<Option<(Reply, usize)>, MalformedReply> {
        if let Some(value) = self.value.clone() {
            return self.read_served(input, value);
        }
        match input.first() {
            None => Ok(None),
            Some(b'+' | b'-') => read_line_reply(input),
            Some(b'$') => read_bulk_reply(input),
            Some(b'*') => {
                let Some(value) = read_value_range(input)? else { return Ok(None) };
                self.value = Some(value.clone());
                self.read_served(input, value)
            }
            Some(_) => Err(MalformedReply),
        }
    }

    /// Reads the end of the value and the two elements after it.
    fn read_served(
        &mut self, input: &[u8], value: Range<usize>,
    ) -> Result<Option<(Reply, usize)>, MalformedReply> {
        if !has_line_end(input, value.end)? {
            return Ok(None);
        }
        let mut position = value.end + LINE_END_BYTES;
        let Some(units) = read_trailing_element(input, &mut position)? else { return Ok(None) };
        let Some(load_report) = read_trailing_element(input, &mut position)? else { return Ok(None) };
        self.value = None;
        Ok(Some((Reply::Served { value, units, load_report }, position)))
    }
}

/// Reads the headers of the array and of its value. Returns the range of the value, whose bytes may not have arrived
/// yet.
fn read_value_range(input: &[u8]) -> Result<Option<Range<usize>>, MalformedReply> {
    let Some((count, value_header)) = read_length(input, 0)? else { return Ok(None) };
    if count != SERVED_ELEMENTS {
        return Err(MalformedReply);
    }
    match input.get(value_header) {
        None => Ok(None),
        Some(b'$') => read_bulk_range(input, value_header),
        Some(_) => Err(MalformedReply),
    }
}

/// Reads the header of the bulk string at `position`, and returns the range of its bytes.
fn read_bulk_range(input: &[u8], position: usize) -> Result<Option<Range<usize>>, MalformedReply> {
    let Some((length, start)) = read_length(input, position)? else { return Ok(None) };
    Ok(Some(start..start + length))
}

fn read_bulk_reply(input: &[u8]) -> Result<Option<(Reply, usize)>, MalformedReply> {
    let Some(range) = read_bulk_range(input, 0)? else { return Ok(None) };
    if !has_line_end(input, range.end)? {
        return Ok(None);
    }
    let consumed = range.end + LINE_END_BYTES;
    Ok(Some((Reply::Bulk(range), consumed)))
}

/// Returns the number after the type byte on the header line at `position`, and the position after the line.
fn read_length(input: &[u8], position: usize) -> Result<Option<(usize, usize)>, MalformedReply> {
    let rest = &input[position + TYPE_BYTES..];
    let Some(digits) = first_line(rest, MAX_LENGTH_BYTES)? else { return Ok(None) };
    let length = parse_length(digits)?;
    if length > MAX_VALUE_BYTES {
        return Err(MalformedReply);
    }
    Ok(Some((length, position + TYPE_BYTES + digits.len() + LINE_END_BYTES)))
}

/// Whether CRLF is at `position`; false if it has not arrived.
fn has_line_end(input: &[u8], position: usize) -> Result<bool, MalformedReply> {
    match input.get(position..position + LINE_END_BYTES) {
        Some(b"\r\n") => Ok(true),
        Some(_) => Err(MalformedReply),
        None => match input.get(position) {
            None | Some(b'\r') => Ok(false),
            Some(_) => Err(MalformedReply),
        },
    }
}

/// Reads an element after the value and advances `position` past it. The outer `None` means that it has not arrived
/// completely, the inner `None` that it is not a valid string or number.
fn read_trailing_element(
    input: &[u8], position: &mut usize,
) -> Result<Option<Option<String>>, MalformedReply> {
    let rest = &input[*position..];
    let bounded = &rest[..rest.len().min(MAX_TRAILING_ELEMENT_BYTES)];
    let Some((value, consumed)) = decode(bounded).map_err(|_| MalformedReply)? else {
        return if rest.len() >= MAX_TRAILING_ELEMENT_BYTES { Err(MalformedReply) } else { Ok(None) };
    };
    *position += consumed;
    Ok(Some(scalar_text(value)))
}

/// Returns the text of a string or a number; `None` for other types and for invalid UTF-8.
fn scalar_text(value: Value) -> Option<String> {
    match value {
        Value::Bulk(bytes) => String::from_utf8(bytes).ok(),
        Value::Simple(text) => Some(text),
        Value::Integer(number) => Some(number.to_string()),
        Value::Double(number) => Some(number.to_string()),
        _ => None,
    }
}

/// Reads a reply of a single line: a simple string or an error.
fn read_line_reply(input: &[u8]) -> Result<Option<(Reply, usize)>, MalformedReply> {
    let Some(line) = first_line(input, MAX_LINE_BYTES)? else { return Ok(None) };
    let reply = if line == b"+PONG" {
        Reply::Pong
    } else if let Some(rest) = strip_error_code(line, b"-BUSY") {
        Reply::Busy { load_report: load_report_text(rest) }
    } else if let Some(rest) = strip_error_code(line, b"-ERR failed") {
        Reply::Failed { load_report: load_report_text(rest) }
    } else if line.starts_with(b"-") {
        // After any other error, the request may have been executed.
        Reply::Failed { load_report: None }
    } else {
        return Err(MalformedReply);
    };
    Ok(Some((reply, line.len() + LINE_END_BYTES)))
}

/// Returns what follows an error code on its line, which is empty or starts with a space; `None` if the line starts
/// with another code, such as a longer one with this prefix.
fn strip_error_code<'a>(line: &'a [u8], code: &[u8]) -> Option<&'a [u8]> {
    line.strip_prefix(code).filter(|rest| rest.is_empty() || rest.starts_with(b" "))
}

/// Returns the load report after an error code and a space.
fn load_report_text(rest: &[u8]) -> Option<String> {
    let load_report = rest.strip_prefix(b" ")?;
    std::str::from_utf8(load_report).ok().map(str::to_owned)
}

impl From<LineError> for MalformedReply {
    fn from(_: LineError) -> Self {
        Self
    }
}

impl From<LengthError> for MalformedReply {
    fn from(_: LengthError) -> Self {
        Self
    }
}

#[cfg(test)]
mod tests;
