//! Reads the replies of the platform's backends.
//!
//! A served request is answered by an array of three: the value, the units that it used and the load report. The value
//! counts only when both elements behind it are complete and well framed: a wrong bulk length shows only in what
//! follows the value. After bytes that are malformed anywhere the connection must be closed.

use crate::line::{LINE_END_BYTES, LengthError, LineError, first_line, parse_length};
use crate::value::{Value, decode};
use std::ops::Range;

/// One complete reply; ranges are positions in the input.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request was served.
    Served {
        /// The value.
        value: Range<usize>,
        /// The units that the request used, if present and text.
        units: Option<String>,
        /// The load report, if present and text.
        report: Option<String>,
    },
    /// The request failed, possibly after execution.
    Failed {
        /// The load report behind `-ERR failed`, if present and text.
        report: Option<String>,
    },
    /// The request was rejected and not executed.
    Busy {
        /// The load report behind `-BUSY`, if present and text.
        report: Option<String>,
    },
    /// The reply to `PING`.
    Pong,
    /// A bulk string outside an array: the reply to a health check that asks for the load.
    Bulk(Range<usize>),
}

/// Bytes that are no reply, or that pass a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed reply")]
pub struct MalformedReply;

/// The longest value in bytes.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// The longest reply of a single line, in bytes, with its CRLF.
const MAX_LINE_BYTES: usize = 4 << 10;
/// The longest element behind a value, in bytes, with its framing.
const MAX_TRAILING_ELEMENT_BYTES: usize = 4 << 10;
/// The longest length on a header line, in bytes, with its CRLF and without its type byte.
const MAX_LENGTH_BYTES: usize = 16;
/// Elements of the array that replies a served request.
const SERVED_ELEMENTS: usize = 3;
/// Bytes of the type byte that begins a header line.
const TYPE_BYTES: usize = 1;

/// Reads the replies of one connection.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// Where the value of a served request is, once its length is known: no byte before its end is read again.
    value: Option<Range<usize>>,
}

impl ReplyReader {
    /// Reads on in the unconsumed input: the next reply and how many bytes it consumed, or `None` until more input
    /// arrives.
    ///
    /// # Errors
    /// When the bytes are no reply or pass a limit; the reader must not be used again.
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

    /// Reads the end of the value and the two elements behind it.
    fn read_served(
        &mut self, input: &[u8], value: Range<usize>,
    ) -> Result<Option<(Reply, usize)>, MalformedReply> {
        if !has_line_end(input, value.end)? {
            return Ok(None);
        }
        let mut position = value.end + LINE_END_BYTES;
        let Some(units) = read_trailing_element(input, &mut position)? else { return Ok(None) };
        let Some(report) = read_trailing_element(input, &mut position)? else { return Ok(None) };
        self.value = None;
        Ok(Some((Reply::Served { value, units, report }, position)))
    }
}

/// Reads the headers of a served request's array and of its value: the range of the value, of which no byte need
/// have arrived.
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

/// Reads the header of the bulk string at `position`: the range of its bytes.
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

/// The number on the header line at `position`, behind its type byte, and the position behind the line.
fn read_length(input: &[u8], position: usize) -> Result<Option<(usize, usize)>, MalformedReply> {
    let rest = &input[position + TYPE_BYTES..];
    let Some(digits) = first_line(rest, MAX_LENGTH_BYTES)? else { return Ok(None) };
    let length = parse_length(digits)?;
    if length > MAX_VALUE_BYTES {
        return Err(MalformedReply);
    }
    Ok(Some((length, position + TYPE_BYTES + digits.len() + LINE_END_BYTES)))
}

/// Whether CRLF is at `position`; false until it has arrived.
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

/// Reads an element behind the value and advances `position` past it: the outer `None` until it has arrived, the inner
/// one if it is null, an aggregate or not text.
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

/// The text of a string or a number.
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
        Reply::Busy { report: report_text(rest) }
    } else if let Some(rest) = strip_error_code(line, b"-ERR failed") {
        Reply::Failed { report: report_text(rest) }
    } else if line.starts_with(b"-") {
        // Any other error may come after execution.
        Reply::Failed { report: None }
    } else {
        return Err(MalformedReply);
    };
    Ok(Some((reply, line.len() + LINE_END_BYTES)))
}

/// What follows an error code on its line: nothing, or a space and more. A longer code that begins alike is another.
fn strip_error_code<'a>(line: &'a [u8], code: &[u8]) -> Option<&'a [u8]> {
    line.strip_prefix(code).filter(|rest| rest.is_empty() || rest.starts_with(b" "))
}

/// The load report behind an error code and a space.
fn report_text(rest: &[u8]) -> Option<String> {
    let report = rest.strip_prefix(b" ")?;
    std::str::from_utf8(report).ok().map(str::to_owned)
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
