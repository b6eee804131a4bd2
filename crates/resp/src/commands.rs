//! What clients send: commands, each an array of bulk strings. The reader keeps its place, so that a byte is looked at
//! once however the input is split, and checks every size at its length line, before a byte of it is kept.

use std::ops::Range;

/// Bounds on one command.
#[derive(Clone, Copy, Debug)]
pub struct CommandLimits {
    /// Words.
    pub words: usize,
    /// Bytes of one word.
    pub word: usize,
    /// Bytes of all words together.
    pub bytes: usize,
}

/// Why a command cannot be read. Where the next one begins is not known then: the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It does not begin with `*`.
    #[error("Protocol error: expected an array of bulk strings")]
    NoArray,
    /// A word does not begin with `$`.
    #[error("Protocol error: expected a bulk string")]
    NoWord,
    /// A length is not a number that may stand there.
    #[error("Protocol error: invalid length")]
    Length,
    /// A line or a word does not end where it must.
    #[error("Protocol error: a line or a word does not end where it must")]
    End,
    /// More words or bytes than allowed.
    #[error("Protocol error: too large")]
    TooLarge,
}

/// Digits of a length, its sign and its line end: a longer line is none.
const LENGTH_LINE: usize = 24;

/// A whole command: where its words stand in the input, and how many bytes it took.
pub type Found = (Vec<Range<usize>>, usize);

/// Reads the commands of one connection.
#[derive(Debug)]
pub struct Commands {
    limits: CommandLimits,
    /// How much of the input is read.
    at: usize,
    /// Words that are still to come; `None` before the command's first line.
    left: Option<usize>,
    /// The length of the word at hand, once its line is read.
    word: Option<usize>,
    bytes: usize,
    words: Vec<Range<usize>>,
}

impl Commands {
    /// A reader at the start of a connection.
    #[must_use]
    pub fn new(limits: CommandLimits) -> Self {
        Self { limits, at: 0, left: None, word: None, bytes: 0, words: Vec::new() }
    }

    /// Whether a part of a command has come.
    #[must_use]
    pub fn is_midway(&self) -> bool {
        self.left.is_some()
    }

    /// Reads on in the unconsumed input: where the words of the next command stand in it and how many bytes it took,
    /// or `None` for more. What was not taken must be given again, in front of what follows.
    ///
    /// # Errors
    /// When the bytes are no command; the reader must not be used again.
    pub fn read(&mut self, input: &[u8]) -> Result<Option<Found>, Fault> {
        let mut left = match self.left {
            Some(left) => left,
            None => {
                let Some(count) = self.length(input, b'*', Fault::NoArray)? else { return Ok(None) };
                if count == 0 || count > self.limits.words {
                    return Err(if count == 0 { Fault::Length } else { Fault::TooLarge });
                }
                count
            }
        };
        while left > 0 {
            self.left = Some(left);
            let length = match self.word {
                Some(length) => length,
                None => {
                    let Some(length) = self.length(input, b'$', Fault::NoWord)? else { return Ok(None) };
                    if length > self.limits.word || self.bytes + length > self.limits.bytes {
                        return Err(Fault::TooLarge);
                    }
                    self.bytes += length;
                    length
                }
            };
            self.word = Some(length);
            let end = self.at + length;
            match input.get(end..end + 2) {
                Some(b"\r\n") => {}
                Some(_) => return Err(Fault::End),
                None => return Ok(None),
            }
            self.words.push(self.at..end);
            (self.at, self.word) = (end + 2, None);
            left -= 1;
        }
        (self.left, self.bytes) = (None, 0);
        Ok(Some((std::mem::take(&mut self.words), std::mem::take(&mut self.at))))
    }

    /// The length on the line at hand, behind the byte that it must begin with.
    fn length(&mut self, input: &[u8], kind: u8, other: Fault) -> Result<Option<usize>, Fault> {
        let rest = &input[self.at.min(input.len())..];
        match rest.first() {
            None => return Ok(None),
            Some(first) if *first != kind => return Err(other),
            Some(_) => {}
        }
        let Some(end) = rest.iter().take(LENGTH_LINE).position(|b| *b == b'\n') else {
            return if rest.len() >= LENGTH_LINE { Err(Fault::Length) } else { Ok(None) };
        };
        let digits = rest[1..end].strip_suffix(b"\r").ok_or(Fault::End)?;
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(Fault::Length);
        }
        let text = std::str::from_utf8(digits).map_err(|_| Fault::Length)?;
        let length = text.parse().map_err(|_| Fault::TooLarge)?;
        self.at += end + 1;
        Ok(Some(length))
    }
}

#[cfg(test)]
mod tests;
