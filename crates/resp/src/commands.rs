//! Reads the commands that clients send. A command is an array of bulk strings, its arguments.
//!
//! The reader is incremental: it keeps its position, so that complete elements are not parsed again when more input
//! arrives. Every length is checked when its header line is read, before the caller has to buffer the bytes that it
//! announces.

use crate::line::{LINE_END_BYTES, LengthError, LineError, first_line, parse_length};
use std::ops::Range;

/// Limits on one command.
#[derive(Clone, Copy, Debug)]
pub struct CommandLimits {
    /// Maximum number of arguments, including the name of the command.
    pub arguments: usize,
    /// Maximum bytes of one argument.
    pub argument_bytes: usize,
    /// Maximum bytes of all arguments together, without their headers and line ends.
    pub bytes: usize,
}

/// Why a command cannot be read. The start of the next command is then unknown, so the connection must be closed.
///
/// The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command does not begin with `*`.
    #[error("Protocol error: expected an array of bulk strings")]
    ExpectedArray,
    /// An argument does not begin with `$`.
    #[error("Protocol error: expected a bulk string")]
    ExpectedBulkString,
    /// A length is not a decimal number, or an argument count is zero.
    #[error("Protocol error: invalid length")]
    InvalidLength,
    /// A header line or an argument does not end in CRLF.
    #[error("Protocol error: a line or a word does not end where it must")]
    MissingLineEnd,
    /// A count or length exceeds [`CommandLimits`].
    #[error("Protocol error: too large")]
    TooLarge,
}

/// The longest header line in bytes: its type byte, a length and CRLF.
const MAX_HEADER_LINE_BYTES: usize = 24;

/// A complete command: the ranges of its arguments in the input, and how many bytes it consumed.
pub(crate) type ParsedCommand = (Vec<Range<usize>>, usize);

/// How far a command has been discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscardedCommand {
    /// The bytes of the input that were consumed.
    pub consumed: usize,
    /// Whether the command has ended; the bytes after those consumed belong to the next one.
    pub is_complete: bool,
}

/// The element that is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The array header, which contains the argument count.
    ArrayHeader,
    /// The header of a bulk string, which contains its length.
    BulkHeader {
        /// Arguments that are not complete yet, including this one.
        remaining: usize,
    },
    /// The bytes of a bulk string and their CRLF.
    BulkData {
        /// Arguments that are not complete yet, including this one.
        remaining: usize,
        /// The length of this argument in bytes.
        length: usize,
    },
}

/// Reads the commands of one connection.
#[derive(Debug)]
pub struct CommandReader {
    limits: CommandLimits,
    state: State,
    /// Number of bytes of the input that have been parsed.
    position: usize,
    /// Sum of the lengths in the argument headers that have been read of the current command.
    announced_bytes: usize,
    /// Ranges of the complete arguments in the input.
    arguments: Vec<Range<usize>>,
}

impl CommandReader {
    /// Creates a reader for a new connection.
    #[must_use]
    pub fn new(limits: CommandLimits) -> Self {
        Self { limits, state: State::ArrayHeader, position: 0, announced_bytes: 0, arguments: Vec::new() }
    }

    /// Whether the array header of a command has been read and its arguments are not complete.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.state != State::ArrayHeader
    }

    /// Continues reading in the unconsumed input. Returns the next command and the number of bytes that it consumed, or
    /// `None` until more input arrives.
    ///
    /// Bytes that were not consumed must be passed again, before those that follow.
    ///
    /// # Errors
    /// When the bytes are not a command or exceed a limit; the reader must not be used again.
    pub fn read(&mut self, input: &[u8]) -> Result<Option<ParsedCommand>, CommandError> {
        while let Some(state) = self.read_element(input)? {
            self.state = state;
            if state == State::ArrayHeader {
                return Ok(Some(self.take_command()));
            }
        }
        Ok(None)
    }

    /// Reads the rest of the current command without its content: unlike [`read`](Self::read), it consumes bytes that are
    /// not a complete command. Once begun, the command has to be discarded to its end.
    ///
    /// # Errors
    /// As for [`read`](Self::read).
    pub fn discard(&mut self, input: &[u8]) -> Result<DiscardedCommand, CommandError> {
        loop {
            self.skip_bulk_data(input);
            let Some(state) = self.read_element(input)? else { break };
            self.state = state;
            if state == State::ArrayHeader {
                let (_, consumed) = self.take_command();
                return Ok(DiscardedCommand { consumed, is_complete: true });
            }
        }
        self.arguments.clear();
        Ok(DiscardedCommand { consumed: std::mem::take(&mut self.position), is_complete: false })
    }

    /// Skips what has arrived of the bytes of a bulk string, up to its CRLF.
    fn skip_bulk_data(&mut self, input: &[u8]) {
        if let State::BulkData { remaining, length } = self.state {
            let skipped = length.min(input.len().saturating_sub(self.position));
            self.position += skipped;
            self.state = State::BulkData { remaining, length: length - skipped };
        }
    }

    /// Reads what [`State`] expects and returns the state that follows, or `None` until more input arrives.
    fn read_element(&mut self, input: &[u8]) -> Result<Option<State>, CommandError> {
        match self.state {
            State::ArrayHeader => self.read_argument_count(input),
            State::BulkHeader { remaining } => self.read_bulk_length(input, remaining),
            State::BulkData { remaining, length } => self.read_bulk_data(input, remaining, length),
        }
    }

    fn read_argument_count(&mut self, input: &[u8]) -> Result<Option<State>, CommandError> {
        let Some(count) = self.read_header(input, b'*', CommandError::ExpectedArray)? else {
            return Ok(None);
        };
        if count == 0 {
            return Err(CommandError::InvalidLength);
        }
        if count > self.limits.arguments {
            return Err(CommandError::TooLarge);
        }
        Ok(Some(State::BulkHeader { remaining: count }))
    }

    fn read_bulk_length(&mut self, input: &[u8], remaining: usize) -> Result<Option<State>, CommandError> {
        let Some(length) = self.read_header(input, b'$', CommandError::ExpectedBulkString)? else {
            return Ok(None);
        };
        if length > self.limits.argument_bytes || self.announced_bytes + length > self.limits.bytes {
            return Err(CommandError::TooLarge);
        }
        self.announced_bytes += length;
        Ok(Some(State::BulkData { remaining, length }))
    }

    fn read_bulk_data(
        &mut self, input: &[u8], remaining: usize, length: usize,
    ) -> Result<Option<State>, CommandError> {
        let end = self.position + length;
        match input.get(end..end + LINE_END_BYTES) {
            Some(b"\r\n") => {}
            Some(_) => return Err(CommandError::MissingLineEnd),
            None => return Ok(None),
        }
        self.arguments.push(self.position..end);
        self.position = end + LINE_END_BYTES;
        let is_last = remaining == 1;
        Ok(Some(if is_last { State::ArrayHeader } else { State::BulkHeader { remaining: remaining - 1 } }))
    }

    /// Reads the number after the type byte on the header line at the current position.
    fn read_header(
        &mut self, input: &[u8], type_byte: u8, wrong_type: CommandError,
    ) -> Result<Option<usize>, CommandError> {
        let rest = &input[self.position.min(input.len())..];
        match rest.first() {
            None => return Ok(None),
            Some(first) if *first != type_byte => return Err(wrong_type),
            Some(_) => {}
        }
        let Some(line) = first_line(rest, MAX_HEADER_LINE_BYTES)? else { return Ok(None) };
        let length = parse_length(&line[1..])?;
        self.position += line.len() + LINE_END_BYTES;
        Ok(Some(length))
    }

    /// Returns the complete command and resets the reader for the next one.
    fn take_command(&mut self) -> ParsedCommand {
        self.announced_bytes = 0;
        let arguments = std::mem::take(&mut self.arguments);
        let consumed = std::mem::take(&mut self.position);
        (arguments, consumed)
    }
}

impl From<LineError> for CommandError {
    fn from(error: LineError) -> Self {
        match error {
            LineError::TooLong => Self::InvalidLength,
            LineError::MissingCarriageReturn => Self::MissingLineEnd,
        }
    }
}

impl From<LengthError> for CommandError {
    fn from(error: LengthError) -> Self {
        match error {
            LengthError::NotDecimal => Self::InvalidLength,
            LengthError::Overflow => Self::TooLarge,
        }
    }
}

#[cfg(test)]
mod tests;
