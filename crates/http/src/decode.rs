//! The incremental decoder of the messages on one connection, in one direction.

mod chunk;
mod framing;
mod head;
mod line;

use crate::{Error, Framing, Head, Limits};
use head::HeadReader;
use line::{LINE_END_BYTES, LineReader};

/// Which messages are decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client's requests.
    Requests,
    /// A server's responses.
    Responses,
}

/// A part of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part<'a> {
    /// The complete head.
    Head(Box<Head>),
    /// Some bytes of the body.
    Data(&'a [u8]),
    /// The end of the message.
    End,
}

/// The element that is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// A body with a Content-Length, of which this many bytes remain.
    Body(u64),
    /// A body that ends with the connection.
    BodyUntilClose,
    /// The size line of a chunk.
    ChunkSize,
    /// A chunk's data, of which this many bytes remain.
    ChunkData(u64),
    /// The CRLF after a chunk's data.
    ChunkDataEnd,
    /// A line of the trailer section.
    Trailer,
    End,
}

/// The result of one step of the decoder.
enum Step<'a> {
    /// The next element is not complete; nothing was consumed.
    NeedsInput,
    /// This many bytes were consumed that are not returned as a part.
    Skipped(usize),
    /// This many bytes were consumed as this part of the message.
    Part(usize, Part<'a>),
}

/// Decodes the messages of one connection in one direction.
#[derive(Clone, Debug)]
pub struct Decoder {
    role: Role,
    limits: Limits,
    state: State,
    head: HeadReader,
    /// Reads the size lines and trailer lines of a chunked body.
    line: LineReader,
    /// The size of the body so far in bytes, including the whole current chunk.
    body_bytes: u64,
    /// Bytes of the trailer section so far.
    trailer_bytes: usize,
    /// Whether the next final response answers a HEAD request.
    answers_head: bool,
}

impl Decoder {
    /// A decoder at the start of a connection.
    #[must_use]
    pub fn new(role: Role, limits: Limits) -> Self {
        Self {
            role,
            limits,
            state: State::Head,
            head: HeadReader::default(),
            line: LineReader::default(),
            body_bytes: 0,
            trailer_bytes: 0,
            answers_head: false,
        }
    }

    /// Tells the decoder that the next final response answers a HEAD request: it has no body, whatever its fields say.
    pub fn next_has_no_body(&mut self) {
        self.answers_head = true;
    }

    /// Whether a message has begun but not ended; `has_unconsumed` says whether unconsumed bytes are buffered.
    #[must_use]
    pub fn in_message(&self, has_unconsumed: bool) -> bool {
        has_unconsumed || self.state != State::Head
    }

    /// Decodes the next part of a message. Returns the number of consumed bytes and the part, or `None` if more input
    /// is needed.
    ///
    /// Bytes that were not consumed must be passed again, followed by the bytes received since.
    ///
    /// # Errors
    /// When the message is malformed or exceeds a limit; the decoder must not be used again.
    pub fn decode<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Part<'a>>), Error> {
        let mut consumed = 0;
        loop {
            match self.step(&input[consumed..])? {
                Step::NeedsInput => return Ok((consumed, None)),
                Step::Skipped(length) => consumed += length,
                Step::Part(length, part) => return Ok((consumed + length, Some(part))),
            }
        }
    }

    /// Tells the decoder that the connection has closed; `has_unconsumed` says whether unconsumed bytes are buffered.
    /// Returns whether the close completed a message; `false` means that no message had begun.
    ///
    /// # Errors
    /// When the message is incomplete.
    pub fn closed(&mut self, has_unconsumed: bool) -> Result<bool, Error> {
        match self.state {
            State::BodyUntilClose => {
                self.state = State::Head;
                Ok(true)
            }
            State::Head if !has_unconsumed => Ok(false),
            _ => Err(Error::InvalidFraming),
        }
    }

    fn step<'a>(&mut self, input: &'a [u8]) -> Result<Step<'a>, Error> {
        match self.state {
            State::Head => self.read_head(input),
            State::Body(remaining) => Ok(self.read_data(input, remaining, State::Body, State::End)),
            State::BodyUntilClose => self.read_until_close(input),
            State::ChunkSize => self.read_chunk_size(input),
            State::ChunkData(remaining) => {
                Ok(self.read_data(input, remaining, State::ChunkData, State::ChunkDataEnd))
            }
            State::ChunkDataEnd => self.read_chunk_data_end(input),
            State::Trailer => self.read_trailer_line(input),
            State::End => {
                self.state = State::Head;
                Ok(Step::Part(0, Part::End))
            }
        }
    }

    fn read_head<'a>(&mut self, input: &[u8]) -> Result<Step<'a>, Error> {
        let Some((consumed, mut head)) = self.head.read(input, self.role, &self.limits)? else {
            return Ok(Step::NeedsInput);
        };
        head.framing = framing::message_framing(&head, self.role, self.answers_head)?;
        head.keep_alive = framing::is_persistent(&head);
        if head.is_interim() {
            return Ok(Step::Skipped(consumed));
        }
        self.answers_head = false;
        self.body_bytes = 0;
        self.state = self.body_state(head.framing)?;
        Ok(Step::Part(consumed, Part::Head(Box::new(head))))
    }

    /// The state after a head.
    fn body_state(&self, framing: Framing) -> Result<State, Error> {
        match framing {
            Framing::Length(length) if length > self.limits.body => Err(Error::BodyTooLarge),
            Framing::None | Framing::Length(0) => Ok(State::End),
            Framing::Length(length) => Ok(State::Body(length)),
            Framing::Chunked => Ok(State::ChunkSize),
            Framing::Close => Ok(State::BodyUntilClose),
        }
    }

    /// Reads data of which `remaining` bytes, at least one, are not read yet. `partial` makes the state while bytes
    /// remain, `complete` is the state after the last byte.
    fn read_data<'a>(
        &mut self, input: &'a [u8], remaining: u64, partial: fn(u64) -> State, complete: State,
    ) -> Step<'a> {
        let length = usize::try_from(remaining).unwrap_or(usize::MAX).min(input.len());
        if length == 0 {
            return Step::NeedsInput;
        }
        let remaining = remaining - length as u64;
        self.state = if remaining == 0 { complete } else { partial(remaining) };
        Step::Part(length, Part::Data(&input[..length]))
    }

    fn read_until_close<'a>(&mut self, input: &'a [u8]) -> Result<Step<'a>, Error> {
        if input.is_empty() {
            return Ok(Step::NeedsInput);
        }
        self.add_body_bytes(input.len() as u64)?;
        Ok(Step::Part(input.len(), Part::Data(input)))
    }

    /// Reads the size line of a chunk. The size counts towards the limit of the body before the data arrives.
    fn read_chunk_size<'a>(&mut self, input: &[u8]) -> Result<Step<'a>, Error> {
        let Some(line) = self.line.read(input, chunk::MAX_SIZE_LINE_BYTES, Error::MalformedChunk)? else {
            return Ok(Step::NeedsInput);
        };
        let size = chunk::parse_size(line)?;
        self.add_body_bytes(size)?;
        self.state = if size == 0 { State::Trailer } else { State::ChunkData(size) };
        self.trailer_bytes = 0;
        Ok(Step::Skipped(line.len() + LINE_END_BYTES))
    }

    fn read_chunk_data_end<'a>(&mut self, input: &[u8]) -> Result<Step<'a>, Error> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkSize;
                Ok(Step::Skipped(LINE_END_BYTES))
            }
            [] | [b'\r'] => Ok(Step::NeedsInput),
            _ => Err(Error::MalformedChunk),
        }
    }

    /// Reads one line of the trailer section. Its fields are checked and discarded: a recipient must not merge them
    /// into the header section unless it knows that their definition permits it (RFC 9110 section 6.5.1).
    fn read_trailer_line<'a>(&mut self, input: &[u8]) -> Result<Step<'a>, Error> {
        let max_bytes = self.limits.head.saturating_sub(self.trailer_bytes);
        let Some(line) = self.line.read(input, max_bytes, Error::HeadTooLarge)? else {
            return Ok(Step::NeedsInput);
        };
        let consumed = line.len() + LINE_END_BYTES;
        self.trailer_bytes += consumed;
        if line.is_empty() {
            self.state = State::End;
        } else {
            head::parse_field(line)?;
        }
        Ok(Step::Skipped(consumed))
    }

    fn add_body_bytes(&mut self, bytes: u64) -> Result<(), Error> {
        self.body_bytes = self.body_bytes.saturating_add(bytes);
        if self.body_bytes > self.limits.body { Err(Error::BodyTooLarge) } else { Ok(()) }
    }
}
