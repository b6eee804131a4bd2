//! Values of RESP2 and RESP3: decoding from a prefix of the input, and encoding.

use crate::line::LINE_END_BYTES;
use std::io::Write;

/// A RESP value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A simple string, `+OK`.
    Simple(String),
    /// A simple error, `-ERR ...`, or RESP3's bulk error, `!`.
    Error(String),
    /// An integer, `:7`.
    Integer(i64),
    /// A bulk string, `$3`, or RESP3's verbatim string, `=`, without its format prefix.
    Bulk(Vec<u8>),
    /// An array, `*2`, or RESP3's set, `~`, or push, `>`. A decoded map is an array of alternating keys and values.
    Array(Vec<Value>),
    /// RESP3's map, `%1`, for encoding only: alternating keys and values.
    Map(Vec<Value>),
    /// RESP3's double, `,1.5`.
    Double(f64),
    /// RESP3's boolean, `#t`.
    Boolean(bool),
    /// A null bulk string, `$-1`, a null array, `*-1`, or RESP3's null, `_`.
    Null,
}

impl Value {
    /// Returns the value as a finite number, if it is a number or a string that contains one.
    #[must_use]
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Integer(number) => Some(*number as f64),
            Self::Double(number) => Some(*number),
            Self::Bulk(bytes) => std::str::from_utf8(bytes).ok()?.trim().parse().ok(),
            Self::Simple(text) => text.parse().ok(),
            _ => None,
        }
        .filter(|number: &f64| number.is_finite())
    }
}

/// Why bytes cannot be decoded. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// An unknown type byte, an invalid number or a missing line end.
    #[error("malformed RESP")]
    Malformed,
    /// A value exceeds `MAX_STRING_BYTES`, `MAX_ELEMENTS` or `MAX_DEPTH`.
    #[error("a RESP value is too large")]
    TooLarge,
}

/// Maximum bytes of a string, and of input without a line end where a header line is expected.
pub(crate) const MAX_STRING_BYTES: usize = 1 << 20;
/// Maximum elements of one aggregate; an entry of a map counts as two.
pub(crate) const MAX_ELEMENTS: usize = 1 << 20;
/// Maximum nesting depth of aggregates.
pub(crate) const MAX_DEPTH: usize = 8;
/// The length of a null bulk string and the count of a null array.
const NULL_LENGTH: i64 = -1;
/// Length of the format and the colon at the start of a verbatim string, as in `txt:`.
const VERBATIM_PREFIX_BYTES: usize = 4;

/// Decodes the value at the start of the input. Returns the value and the number of bytes that it consumed, or `None`
/// if it is not complete; the caller then passes the same bytes again, followed by more.
///
/// # Errors
/// When the bytes are not RESP or exceed a limit.
pub fn decode(input: &[u8]) -> Result<Option<(Value, usize)>, DecodeError> {
    let mut parser = Parser { input, position: 0 };
    let value = parser.parse_value(MAX_DEPTH)?;
    Ok(value.map(|value| (value, parser.position)))
}

/// Parses one value. `None` from any method means that more input is needed.
struct Parser<'a> {
    input: &'a [u8],
    /// Number of bytes of the input that have been parsed.
    position: usize,
}

impl<'a> Parser<'a> {
    /// Parses the value at the current position; aggregates may nest up to `depth` levels.
    fn parse_value(&mut self, depth: usize) -> Result<Option<Value>, DecodeError> {
        let Some((type_byte, line)) = self.parse_header_line()? else { return Ok(None) };
        match type_byte {
            b'$' | b'!' | b'=' => self.parse_string(type_byte, line),
            b'*' | b'~' | b'>' | b'%' => self.parse_aggregate(type_byte, line, depth),
            _ => parse_line_value(type_byte, line).map(Some),
        }
    }

    /// Parses a header line: its type byte and the rest of the line, without the CRLF.
    fn parse_header_line(&mut self) -> Result<Option<(u8, &'a str)>, DecodeError> {
        let Some((type_byte, rest)) = self.input[self.position..].split_first() else { return Ok(None) };
        let Some(line_feed) = rest.iter().position(|byte| *byte == b'\n') else {
            return if rest.len() > MAX_STRING_BYTES { Err(DecodeError::TooLarge) } else { Ok(None) };
        };
        let line = rest[..line_feed].strip_suffix(b"\r").ok_or(DecodeError::Malformed)?;
        let text = std::str::from_utf8(line).map_err(|_| DecodeError::Malformed)?;
        self.position += 1 + line_feed + 1;
        Ok(Some((*type_byte, text)))
    }

    /// Parses a string whose length is on its header line.
    fn parse_string(&mut self, type_byte: u8, header: &str) -> Result<Option<Value>, DecodeError> {
        let length = parse_integer(header)?;
        if length == NULL_LENGTH && type_byte == b'$' {
            return Ok(Some(Value::Null));
        }
        let length = usize::try_from(length).map_err(|_| DecodeError::Malformed)?;
        if length > MAX_STRING_BYTES {
            return Err(DecodeError::TooLarge);
        }
        let end = self.position + length + LINE_END_BYTES;
        let Some(bytes) = self.input.get(self.position..end) else { return Ok(None) };
        let bytes = bytes.strip_suffix(b"\r\n").ok_or(DecodeError::Malformed)?;
        self.position = end;
        Ok(Some(match type_byte {
            b'!' => Value::Error(String::from_utf8_lossy(bytes).into_owned()),
            b'=' => Value::Bulk(bytes.get(VERBATIM_PREFIX_BYTES..).ok_or(DecodeError::Malformed)?.to_vec()),
            _ => Value::Bulk(bytes.to_vec()),
        }))
    }

    /// Parses an aggregate whose number of elements is on its header line.
    fn parse_aggregate(
        &mut self, type_byte: u8, header: &str, depth: usize,
    ) -> Result<Option<Value>, DecodeError> {
        let count = parse_integer(header)?;
        if count == NULL_LENGTH && type_byte == b'*' {
            return Ok(Some(Value::Null));
        }
        let count = usize::try_from(count).map_err(|_| DecodeError::Malformed)?;
        let elements = if type_byte == b'%' { count.saturating_mul(2) } else { count };
        if elements > MAX_ELEMENTS || depth == 0 {
            return Err(DecodeError::TooLarge);
        }
        // No capacity is reserved: a large count alone must not cause an allocation.
        let mut values = Vec::new();
        for _ in 0..elements {
            let Some(value) = self.parse_value(depth - 1)? else { return Ok(None) };
            values.push(value);
        }
        Ok(Some(Value::Array(values)))
    }
}

/// Parses a value that consists only of its header line.
fn parse_line_value(type_byte: u8, line: &str) -> Result<Value, DecodeError> {
    match type_byte {
        b'+' => Ok(Value::Simple(line.into())),
        b'-' => Ok(Value::Error(line.into())),
        b':' => parse_integer(line).map(Value::Integer),
        b',' => line.parse().map(Value::Double).map_err(|_| DecodeError::Malformed),
        b'#' if line == "t" => Ok(Value::Boolean(true)),
        b'#' if line == "f" => Ok(Value::Boolean(false)),
        b'_' if line.is_empty() => Ok(Value::Null),
        _ => Err(DecodeError::Malformed),
    }
}

fn parse_integer(text: &str) -> Result<i64, DecodeError> {
    text.parse().map_err(|_| DecodeError::Malformed)
}

/// Appends a command: an array of bulk strings.
pub fn encode_command(output: &mut Vec<u8>, arguments: &[&str]) {
    // Writing to a Vec cannot fail, here and below.
    let _ = write!(output, "*{}\r\n", arguments.len());
    for argument in arguments {
        let _ = write!(output, "${}\r\n{argument}\r\n", argument.len());
    }
}

/// Appends the encoding of a value, in the RESP2 form if there is one.
pub fn encode(output: &mut Vec<u8>, value: &Value) {
    let _ = match value {
        Value::Simple(text) => write!(output, "+{text}\r\n"),
        Value::Error(text) => write!(output, "-{text}\r\n"),
        Value::Integer(number) => write!(output, ":{number}\r\n"),
        Value::Double(number) => write!(output, ",{number}\r\n"),
        Value::Boolean(boolean) => write!(output, "#{}\r\n", if *boolean { 't' } else { 'f' }),
        Value::Null => write!(output, "$-1\r\n"),
        Value::Bulk(bytes) => {
            let _ = write!(output, "${}\r\n", bytes.len());
            output.extend_from_slice(bytes);
            write!(output, "\r\n")
        }
        Value::Map(values) => {
            let header = write!(output, "%{}\r\n", values.len() / 2);
            values.iter().for_each(|value| encode(output, value));
            header
        }
        Value::Array(values) => {
            let header = write!(output, "*{}\r\n", values.len());
            values.iter().for_each(|value| encode(output, value));
            header
        }
    };
}
