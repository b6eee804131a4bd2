//! The incremental decoder.

use crate::{Error, Framing, Head, Limits};

/// Whose messages are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client's requests.
    Requests,
    /// A server's responses.
    Responses,
}

/// What a piece of input held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part<'a> {
    /// A whole head.
    Head(Box<Head>),
    /// Some bytes of the body.
    Data(&'a [u8]),
    /// The message is over.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkDataEnd,
    Trailer,
    ToClose,
    End,
}

/// Reads the messages of one connection in one direction.
#[derive(Clone, Debug)]
pub struct Decoder {
    role: Role,
    limits: Limits,
    state: State,
    /// How much of the input is known to hold no end of a line: a byte at a time costs no second scan.
    scanned: usize,
    /// Where the head's lines end so far.
    lines: Vec<usize>,
    body: u64,
    trailer: usize,
    without_body: bool,
}

const CHUNK_LINE: usize = 256;

impl Decoder {
    /// A decoder at the start of a connection.
    #[must_use]
    pub fn new(role: Role, limits: Limits) -> Self {
        let (state, lines) = (State::Head, Vec::new());
        Self { role, limits, state, scanned: 0, lines, body: 0, trailer: 0, without_body: false }
    }

    /// The next response answers a HEAD request: it has no body whatever its fields say.
    pub fn next_has_no_body(&mut self) {
        self.without_body = true;
    }

    /// Whether a message has begun and not ended; `begun` tells whether unconsumed bytes are at hand.
    #[must_use]
    pub fn in_message(&self, begun: bool) -> bool {
        begun || self.state != State::Head
    }

    /// Reads on: how many bytes were consumed, and what they held. `None` asks for more input; whatever was
    /// not consumed must be given again, in front of what follows.
    ///
    /// # Errors
    /// When the message cannot be taken; the decoder must not be used again.
    pub fn decode<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Option<Part<'a>>), Error> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                State::Head => {
                    let (took, head) = self.head(rest)?;
                    used += took;
                    let Some(head) = head else { return Ok((used, None)) };
                    if (100..200).contains(&head.status) {
                        continue; // An interim response (RFC 9110 section 15.2) is not the answer.
                    }
                    self.body = 0;
                    self.state = match head.framing {
                        Framing::None => State::End,
                        Framing::Length(n) if n > self.limits.body => return Err(Error::BodyTooLarge),
                        Framing::Length(0) => State::End,
                        Framing::Length(n) => State::Length(n),
                        Framing::Chunked => State::ChunkSize,
                        Framing::Close => State::ToClose,
                    };
                    return Ok((used, Some(Part::Head(Box::new(head)))));
                }
                State::Length(left) => {
                    let take = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                    if take == 0 {
                        return Ok((used, None));
                    }
                    let left = left - take as u64;
                    self.state = if left == 0 { State::End } else { State::Length(left) };
                    return Ok((used + take, Some(Part::Data(&rest[..take]))));
                }
                State::ToClose => {
                    if rest.is_empty() {
                        return Ok((used, None));
                    }
                    self.grow(rest.len() as u64)?;
                    return Ok((used + rest.len(), Some(Part::Data(rest))));
                }
                State::ChunkSize => {
                    let Some(line) = self.line(rest, CHUNK_LINE, Error::Chunk)? else {
                        return Ok((used, None));
                    };
                    let size = chunk_size(&rest[..line])?;
                    used += line + 2;
                    self.grow(size)?;
                    self.state = if size == 0 { State::Trailer } else { State::ChunkData(size) };
                    self.trailer = 0;
                }
                State::ChunkData(left) => {
                    let take = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                    if take == 0 {
                        return Ok((used, None));
                    }
                    let left = left - take as u64;
                    self.state = if left == 0 { State::ChunkDataEnd } else { State::ChunkData(left) };
                    return Ok((used + take, Some(Part::Data(&rest[..take]))));
                }
                State::ChunkDataEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.state = State::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok((used, None)),
                    _ => return Err(Error::Chunk),
                },
                State::Trailer => {
                    // Trailer fields are read over: nothing here may act on them (RFC 9110 section 6.5.1).
                    let room = self.limits.head.saturating_sub(self.trailer);
                    let Some(line) = self.line(rest, room, Error::HeadTooLarge)? else {
                        return Ok((used, None));
                    };
                    used += line + 2;
                    self.trailer += line + 2;
                    if line == 0 {
                        self.state = State::End;
                    } else {
                        field(&rest[..line])?;
                    }
                }
                State::End => {
                    self.state = State::Head;
                    return Ok((used, Some(Part::End)));
                }
            }
        }
    }

    /// The connection closed behind the bytes decoded so far: `Ok(true)` if that ends a message rightly.
    ///
    /// # Errors
    /// When the message was cut short; `has_rest` tells whether bytes were left unconsumed.
    pub fn closed(&mut self, has_rest: bool) -> Result<bool, Error> {
        match self.state {
            State::ToClose => {
                self.state = State::Head;
                Ok(true)
            }
            State::Head if !has_rest => Ok(false),
            _ => Err(Error::Framing),
        }
    }

    fn grow(&mut self, by: u64) -> Result<(), Error> {
        self.body = self.body.saturating_add(by);
        if self.body > self.limits.body { Err(Error::BodyTooLarge) } else { Ok(()) }
    }

    /// The length of the line at the start of `rest`, without its end, if it is whole.
    fn line(&mut self, rest: &[u8], most: usize, too_long: Error) -> Result<Option<usize>, Error> {
        let from = self.scanned.min(rest.len());
        let Some(at) = rest[from..].iter().position(|b| *b == b'\n') else {
            self.scanned = rest.len();
            return if rest.len() > most + 1 { Err(too_long) } else { Ok(None) };
        };
        self.scanned = 0;
        let end = from + at;
        if end == 0 || rest[end - 1] != b'\r' {
            return Err(Error::BareLineFeed);
        }
        if end - 1 > most { Err(too_long) } else { Ok(Some(end - 1)) }
    }

    fn head(&mut self, rest: &[u8]) -> Result<(usize, Option<Head>), Error> {
        // An empty line before a request is allowed (RFC 9112 section 2.2), here once for each message.
        let skip = usize::from(self.role == Role::Requests && rest.starts_with(b"\r\n")) * 2;
        let rest = &rest[skip..];
        loop {
            let from = self.scanned.min(rest.len());
            let start = self.lines.last().map_or(0, |end| end + 2);
            let Some(at) = rest[from..].iter().position(|b| *b == b'\n') else {
                self.scanned = rest.len();
                self.head_limits(start, rest.len().saturating_sub(1))?;
                return Ok((0, None));
            };
            let end = from + at;
            if end == start || rest[end - 1] != b'\r' {
                return Err(Error::BareLineFeed);
            }
            self.head_limits(start, end - 1)?;
            self.scanned = end + 1;
            self.lines.push(end - 1);
            if start > 0 && end - 1 == start {
                break;
            }
        }
        let lines = std::mem::take(&mut self.lines);
        let total = std::mem::take(&mut self.scanned);
        let head = self.parse(rest, &lines)?;
        Ok((skip + total, Some(head)))
    }

    fn head_limits(&self, start: usize, end: usize) -> Result<(), Error> {
        if start == 0 && end > self.limits.line {
            return Err(Error::LineTooLong);
        }
        let fields = self.lines.len().saturating_sub(1);
        if end > self.limits.head || fields > self.limits.fields {
            return Err(Error::HeadTooLarge);
        }
        Ok(())
    }

    fn parse(&mut self, rest: &[u8], lines: &[usize]) -> Result<Head, Error> {
        let mut start = 0;
        let mut head = self.start_line(&rest[..lines[0]])?;
        for end in &lines[..lines.len() - 1] {
            if start > 0 {
                head.fields.push(field(&rest[start..*end])?);
            }
            start = end + 2;
        }
        self.frame(&mut head)?;
        Ok(head)
    }

    fn start_line(&self, line: &[u8]) -> Result<Head, Error> {
        let text = std::str::from_utf8(line).map_err(|_| Error::StartLine)?;
        if text.bytes().any(|b| b < b' ' || b == 0x7f) {
            return Err(Error::StartLine);
        }
        let (method, target, version, status) = match self.role {
            Role::Requests => {
                let mut words = text.split(' ');
                let (method, target, version) = (words.next(), words.next(), words.next());
                let (Some(method), Some(target), Some(version), None) =
                    (method, target, version, words.next())
                else {
                    return Err(Error::StartLine);
                };
                if method.is_empty() || target.is_empty() || !method.bytes().all(is_token) {
                    return Err(Error::StartLine);
                }
                (method, target, version, 0)
            }
            Role::Responses => {
                let mut words = text.splitn(3, ' ');
                let version = words.next().unwrap_or("");
                let status = words.next().filter(|s| s.len() == 3 && s.bytes().all(|b| b.is_ascii_digit()));
                let status = status.and_then(|s| s.parse().ok()).filter(|s| *s >= 100);
                ("", "", version, status.ok_or(Error::StartLine)?)
            }
        };
        let minor = match version {
            "HTTP/1.1" => 1,
            "HTTP/1.0" => 0,
            v if v.starts_with("HTTP/") => return Err(Error::Version),
            _ => return Err(Error::StartLine),
        };
        let (method, target) = (method.to_owned(), target.to_owned());
        let (fields, framing) = (Vec::new(), Framing::None);
        Ok(Head { method, target, status, minor, fields, framing, keep_alive: minor == 1 })
    }

    fn frame(&mut self, head: &mut Head) -> Result<(), Error> {
        let without_body = std::mem::take(&mut self.without_body);
        let count = |name: &str| head.fields.iter().filter(|(n, _)| n == name).count();
        let (lengths, codings) = (count("content-length"), count("transfer-encoding"));
        if lengths > 1 || codings > 1 || lengths + codings > 1 || (codings > 0 && head.minor == 0) {
            return Err(Error::Framing);
        }
        let length = match head.field("content-length") {
            // Digits only: a sign, white space or a list is read differently by different peers.
            Some(v) if !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()) => {
                Some(v.parse::<u64>().map_err(|_| Error::BodyTooLarge)?)
            }
            Some(_) => return Err(Error::Framing),
            None => None,
        };
        let chunked = match head.field("transfer-encoding") {
            Some(v) if v.eq_ignore_ascii_case("chunked") => true,
            Some(_) => return Err(Error::Coding),
            None => false,
        };
        let response = self.role == Role::Responses;
        if !response && (count("host") > 1 || (head.minor == 1 && count("host") == 0)) {
            return Err(Error::Host);
        }
        head.framing = match (chunked, length) {
            _ if response
                && (without_body && head.status >= 200 || matches!(head.status, 204 | 304 | 100..=199)) =>
            {
                Framing::None
            }
            (true, _) => Framing::Chunked,
            (false, Some(n)) => Framing::Length(n),
            (false, None) if response => Framing::Close,
            (false, None) => Framing::None,
        };
        if head.status >= 100 && head.status < 200 {
            self.without_body = without_body;
        }
        let (close, keep) = (head.has_word("connection", "close"), head.has_word("connection", "keep-alive"));
        head.keep_alive = !close && (head.minor == 1 || keep) && head.framing != Framing::Close;
        Ok(())
    }
}

fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

fn field(line: &[u8]) -> Result<(String, String), Error> {
    let colon = line.iter().position(|b| *b == b':').ok_or(Error::Field)?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    // White space in front is a folded line, before the colon a disguised name: both are not tokens.
    if name.is_empty() || !name.iter().copied().all(is_token) {
        return Err(Error::Field);
    }
    if value.iter().any(|b| (*b < b' ' && *b != b'\t') || *b == 0x7f) {
        return Err(Error::Field);
    }
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    let value = String::from_utf8_lossy(value);
    Ok((name, value.trim_matches([' ', '\t']).to_owned()))
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    // An extension (RFC 9112 section 7.1.1) is read over.
    if digits == 0 || digits > 15 || !(digits == line.len() || line[digits] == b';') {
        return Err(Error::Chunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| Error::Chunk)?;
    u64::from_str_radix(text, 16).map_err(|_| Error::Chunk)
}
