//! Values on the wire, incremental: whatever is not whole yet is asked for again with more behind it.

use std::io::Write;

/// One value of RESP.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `+OK`
    Simple(String),
    /// `-ERR ...`, and RESP3's `!` form.
    Error(String),
    /// `:7`
    Integer(i64),
    /// `$3`, and RESP3's verbatim strings.
    Bulk(Vec<u8>),
    /// `*2`, and RESP3's sets and pushes; a map that was read is an array of keys and values.
    Array(Vec<Value>),
    /// RESP3's `%1`, to be written: keys and values by turns.
    Map(Vec<Value>),
    /// RESP3's `,1.5`
    Double(f64),
    /// RESP3's `#t`
    Boolean(bool),
    /// `$-1`, `*-1` and RESP3's `_`
    Null,
}

impl Value {
    /// The value as a number, where it is one or spells one.
    #[must_use]
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Integer(n) => Some(*n as f64),
            Self::Double(n) => Some(*n),
            Self::Bulk(b) => std::str::from_utf8(b).ok()?.trim().parse().ok(),
            Self::Simple(s) => s.parse().ok(),
            _ => None,
        }
        .filter(|n: &f64| n.is_finite())
    }
}

/// Bytes that are no RESP, or past a limit. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An unknown type byte, a bad number or a missing line end.
    #[error("malformed RESP")]
    Malformed,
    /// Longer, more or deeper than [`MOST`] and [`DEPTH`] allow.
    #[error("a RESP value is too large")]
    TooLarge,
}

/// The longest line or string in bytes, and the most elements of an aggregate.
pub const MOST: usize = 1 << 20;
/// How deep aggregates may nest.
pub const DEPTH: usize = 8;

/// Reads one value from the start of the input: the value and how many bytes it took, or `None` for more.
///
/// # Errors
/// When the bytes are no RESP or pass a limit.
pub fn decode(input: &[u8]) -> Result<Option<(Value, usize)>, Error> {
    let mut at = 0;
    let value = next(input, &mut at, DEPTH)?;
    Ok(value.map(|v| (v, at)))
}

fn next(input: &[u8], at: &mut usize, depth: usize) -> Result<Option<Value>, Error> {
    let Some(kind) = input.get(*at).copied() else { return Ok(None) };
    let rest = &input[*at + 1..];
    let Some(end) = rest.iter().position(|b| *b == b'\n') else {
        return if rest.len() > MOST { Err(Error::TooLarge) } else { Ok(None) };
    };
    if end == 0 || rest[end - 1] != b'\r' {
        return Err(Error::Malformed);
    }
    let line = std::str::from_utf8(&rest[..end - 1]).map_err(|_| Error::Malformed)?;
    *at += end + 2;
    let number = || line.parse::<i64>().map_err(|_| Error::Malformed);
    Ok(Some(match kind {
        b'+' => Value::Simple(line.into()),
        b'-' => Value::Error(line.into()),
        b':' => Value::Integer(number()?),
        b',' => Value::Double(line.parse().map_err(|_| Error::Malformed)?),
        b'#' => Value::Boolean(match line {
            "t" => true,
            "f" => false,
            _ => return Err(Error::Malformed),
        }),
        b'_' if line.is_empty() => Value::Null,
        b'$' | b'!' | b'=' => {
            let length = number()?;
            if length == -1 && kind == b'$' {
                return Ok(Some(Value::Null));
            }
            let length = usize::try_from(length).map_err(|_| Error::Malformed)?;
            if length > MOST {
                return Err(Error::TooLarge);
            }
            let Some(bytes) = input.get(*at..*at + length + 2) else { return Ok(None) };
            if !bytes.ends_with(b"\r\n") {
                return Err(Error::Malformed);
            }
            *at += length + 2;
            let bytes = &bytes[..length];
            match kind {
                b'!' => Value::Error(String::from_utf8_lossy(bytes).into_owned()),
                b'=' => Value::Bulk(bytes.get(4..).ok_or(Error::Malformed)?.to_vec()),
                _ => Value::Bulk(bytes.to_vec()),
            }
        }
        b'*' | b'~' | b'>' | b'%' => {
            let count = number()?;
            if count == -1 && kind == b'*' {
                return Ok(Some(Value::Null));
            }
            let count = usize::try_from(count).map_err(|_| Error::Malformed)?;
            let count = if kind == b'%' { count.saturating_mul(2) } else { count };
            if count > MOST || depth == 0 {
                return Err(Error::TooLarge);
            }
            let mut values = Vec::new();
            for _ in 0..count {
                let Some(value) = next(input, at, depth - 1)? else { return Ok(None) };
                values.push(value);
            }
            Value::Array(values)
        }
        _ => return Err(Error::Malformed),
    }))
}

/// Appends a command: an array of bulk strings.
pub fn command(out: &mut Vec<u8>, words: &[&str]) {
    let _ = write!(out, "*{}\r\n", words.len());
    for word in words {
        let _ = write!(out, "${}\r\n{word}\r\n", word.len());
    }
}

/// Appends a value, in its RESP2 form where there is one.
pub fn encode(out: &mut Vec<u8>, value: &Value) {
    let _ = match value {
        Value::Simple(s) => write!(out, "+{s}\r\n"),
        Value::Error(s) => write!(out, "-{s}\r\n"),
        Value::Integer(n) => write!(out, ":{n}\r\n"),
        Value::Double(n) => write!(out, ",{n}\r\n"),
        Value::Boolean(b) => write!(out, "#{}\r\n", if *b { 't' } else { 'f' }),
        Value::Null => write!(out, "$-1\r\n"),
        Value::Bulk(b) => {
            let _ = write!(out, "${}\r\n", b.len());
            out.extend_from_slice(b);
            write!(out, "\r\n")
        }
        Value::Map(values) => {
            let head = write!(out, "%{}\r\n", values.len() / 2);
            values.iter().for_each(|v| encode(out, v));
            head
        }
        Value::Array(values) => {
            let head = write!(out, "*{}\r\n", values.len());
            values.iter().for_each(|v| encode(out, v));
            head
        }
    };
}
