//! What a backend of the platform answers. An answer is held until it is whole; one that is spoilt anywhere is of no use,
//! and neither is its connection: a value whose length does not fit shows in what follows it, so what stands behind a
//! value must be whole and framed before the value counts.

use crate::value::{Value, decode};
use std::ops::Range;

/// One whole answer; places are in the input.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value, the figures on use and the load report, where they came and can be read as text.
    Served {
        /// The value.
        value: Range<usize>,
        /// The figures on use.
        used: Option<String>,
        /// The load report.
        report: Option<String>,
    },
    /// It failed; it may have run.
    Failed {
        /// What stands behind the word `failed`: a load report, where answers hold one.
        report: Option<String>,
    },
    /// Turned away: it never ran.
    Busy {
        /// A load report.
        report: Option<String>,
    },
    /// The answer to a probe.
    Pong,
    /// A bulk string by itself: the answer to a probe for the load.
    Bulk(Range<usize>),
}

/// Bytes that are no answer, or past a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an answer that cannot be read")]
pub struct Spoilt;

/// The most bytes of a value.
const VALUE: usize = 64 << 10;
/// The most bytes of a line, and of what stands behind a value.
const REST: usize = 4 << 10;

/// Reads the answers of one connection.
#[derive(Debug, Default)]
pub struct Answers {
    /// Where the value ends, once its length is known: nothing before it is looked at again.
    value: Option<Range<usize>>,
}

impl Answers {
    /// Reads on in the unconsumed input: the next answer and how many bytes it took, or `None` for more.
    ///
    /// # Errors
    /// When the bytes are no answer; the reader must not be used again.
    pub fn read(&mut self, input: &[u8]) -> Result<Option<(Answer, usize)>, Spoilt> {
        if self.value.is_none() {
            match input.first() {
                None => return Ok(None),
                Some(b'+' | b'-') => return line_answer(input),
                Some(b'$') => {
                    let Some((length, from)) = length(input, 0)? else { return Ok(None) };
                    let end = from + length;
                    return Ok(framed(input, end)?.then_some((Answer::Bulk(from..end), end + 2)));
                }
                Some(b'*') => {}
                Some(_) => return Err(Spoilt),
            }
            let Some((count, at)) = length(input, 0)? else { return Ok(None) };
            if count != 3 {
                return Err(Spoilt);
            }
            match input.get(at) {
                None => return Ok(None),
                Some(b'$') => {}
                Some(_) => return Err(Spoilt),
            }
            let Some((length, from)) = length(input, at)? else { return Ok(None) };
            self.value = Some(from..from + length);
        }
        let Some(value) = self.value.clone() else { return Ok(None) };
        if !framed(input, value.end)? {
            return Ok(None);
        }
        let mut at = value.end + 2;
        let Some(used) = scalar(input, &mut at)? else { return Ok(None) };
        let Some(report) = scalar(input, &mut at)? else { return Ok(None) };
        self.value = None;
        Ok(Some((Answer::Served { value, used, report }, at)))
    }
}

/// The number behind the byte at a place, and where its line ends.
fn length(input: &[u8], at: usize) -> Result<Option<(usize, usize)>, Spoilt> {
    let rest = &input[at + 1..];
    let Some(end) = rest.iter().take(16).position(|b| *b == b'\n') else {
        return if rest.len() >= 16 { Err(Spoilt) } else { Ok(None) };
    };
    let digits = rest[..end].strip_suffix(b"\r").ok_or(Spoilt)?;
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Spoilt);
    }
    let text = std::str::from_utf8(digits).map_err(|_| Spoilt)?;
    let number: usize = text.parse().map_err(|_| Spoilt)?;
    if number > VALUE { Err(Spoilt) } else { Ok(Some((number, at + 1 + end + 1))) }
}

/// Whether a string that ends there is followed by its line end; false while that has not come.
fn framed(input: &[u8], end: usize) -> Result<bool, Spoilt> {
    match input.get(end..end + 2) {
        Some(b"\r\n") => Ok(true),
        Some(_) => Err(Spoilt),
        None => match input.get(end) {
            None | Some(b'\r') => Ok(false),
            Some(_) => Err(Spoilt),
        },
    }
}

/// What stands behind a value: a scalar as text, where it is one and can be read; `None` while it has not come.
fn scalar(input: &[u8], at: &mut usize) -> Result<Option<Option<String>>, Spoilt> {
    let rest = &input[*at..];
    let found = decode(&rest[..rest.len().min(REST)]).map_err(|_| Spoilt)?;
    let Some((value, took)) = found else {
        return if rest.len() >= REST { Err(Spoilt) } else { Ok(None) };
    };
    *at += took;
    Ok(Some(match value {
        Value::Bulk(bytes) => String::from_utf8(bytes).ok(),
        Value::Simple(text) => Some(text),
        Value::Integer(n) => Some(n.to_string()),
        Value::Double(n) => Some(n.to_string()),
        _ => None,
    }))
}

fn line_answer(input: &[u8]) -> Result<Option<(Answer, usize)>, Spoilt> {
    let Some(end) = input.iter().take(REST).position(|b| *b == b'\n') else {
        return if input.len() >= REST { Err(Spoilt) } else { Ok(None) };
    };
    let line = input[..end].strip_suffix(b"\r").ok_or(Spoilt)?;
    let report = |rest: &[u8]| std::str::from_utf8(rest.strip_prefix(b" ")?).ok().map(str::to_owned);
    let begins = |word: &[u8]| line.strip_prefix(word).filter(|r| r.is_empty() || r.starts_with(b" "));
    let answer = if line == b"+PONG" {
        Answer::Pong
    } else if let Some(rest) = begins(b"-BUSY") {
        Answer::Busy { report: report(rest) }
    } else if let Some(rest) = begins(b"-ERR failed") {
        Answer::Failed { report: report(rest) }
    } else if line.first() == Some(&b'-') {
        // Whatever else a backend says of its own went wrong: nothing tells that it never ran.
        Answer::Failed { report: None }
    } else {
        return Err(Spoilt);
    };
    Ok(Some((answer, end + 1)))
}

#[cfg(test)]
mod tests;
