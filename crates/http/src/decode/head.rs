//! Decoding the head of a message: finding its end, checking its limits, and parsing its start line and field lines
//! (RFC 9112 sections 2 to 5).

use super::Role;
use super::line::{LINE_END_BYTES, LineFeedSearch};
use crate::{Error, Framing, Head, Limits};

/// Reads one head at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadReader {
    search: LineFeedSearch,
    /// The complete lines of the head so far.
    lines: usize,
    /// The bytes of the complete lines with their CRLFs: where the next line starts.
    lines_bytes: usize,
}

impl HeadReader {
    /// The head at the start of the unconsumed input and the number of bytes that it takes, or `None` if its end has
    /// not arrived. The framing and the persistence of the connection are not determined here.
    ///
    /// # Errors
    /// When a line is malformed or a limit is exceeded; limits are checked before the end of the head arrives.
    pub(super) fn read(
        &mut self, input: &[u8], role: Role, limits: &Limits,
    ) -> Result<Option<(usize, Head)>, Error> {
        // An empty line before a request is ignored (RFC 9112 section 2.2); more than one is an error.
        let has_empty_line = role == Role::Requests && input.starts_with(b"\r\n");
        let skipped = if has_empty_line { LINE_END_BYTES } else { 0 };
        let input = &input[skipped..];
        let Some(length) = self.find_end(input, limits)? else { return Ok(None) };
        *self = Self::default();
        let head = parse_head(&input[..length], role)?;
        Ok(Some((skipped + length, head)))
    }

    /// Finds the ends of the lines up to the empty line. Returns the length of the head, including the empty line.
    fn find_end(&mut self, input: &[u8], limits: &Limits) -> Result<Option<usize>, Error> {
        loop {
            let line_start = self.lines_bytes;
            let Some(line_feed) = self.search.find(input) else {
                // The last byte may be the carriage return.
                self.check_limits(line_start, input.len().saturating_sub(1), limits)?;
                return Ok(None);
            };
            if line_feed == line_start || input[line_feed - 1] != b'\r' {
                return Err(Error::BareLineFeed);
            }
            let line_end = line_feed - 1;
            self.check_limits(line_start, line_end, limits)?;
            self.search.continue_at(line_feed + 1);
            self.lines += 1;
            self.lines_bytes = line_feed + 1;
            let is_start_line = line_start == 0;
            if !is_start_line && line_end == line_start {
                return Ok(Some(line_feed + 1));
            }
        }
    }

    /// Checks the head against the limits; its last line so far starts and ends at these positions.
    fn check_limits(&self, line_start: usize, line_end: usize, limits: &Limits) -> Result<(), Error> {
        let is_start_line = line_start == 0;
        if is_start_line && line_end > limits.line {
            return Err(Error::StartLineTooLong);
        }
        let fields = self.lines.saturating_sub(1);
        if line_end > limits.head || fields > limits.fields {
            return Err(Error::HeadTooLarge);
        }
        Ok(())
    }
}

/// Parses a head: lines that end in CRLF, the last of them empty.
fn parse_head(input: &[u8], role: Role) -> Result<Head, Error> {
    let mut lines = input.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut head = parse_start_line(lines.next().unwrap_or_default(), role)?;
    for line in lines.take_while(|line| !line.is_empty()) {
        head.fields.push(parse_field(line)?);
    }
    Ok(head)
}

/// The elements of a start line.
struct StartLine<'a> {
    method: &'a str,
    target: &'a str,
    status: u16,
    version: &'a str,
}

fn parse_start_line(line: &[u8], role: Role) -> Result<Head, Error> {
    let text = std::str::from_utf8(line).map_err(|_| Error::MalformedStartLine)?;
    if text.bytes().any(|byte| byte.is_ascii_control()) {
        return Err(Error::MalformedStartLine);
    }
    let start_line = match role {
        Role::Requests => parse_request_line(text)?,
        Role::Responses => parse_status_line(text)?,
    };
    let minor = parse_minor_version(start_line.version)?;
    Ok(Head {
        method: start_line.method.to_owned(),
        target: start_line.target.to_owned(),
        status: start_line.status,
        minor,
        fields: Vec::new(),
        framing: Framing::None,
        keep_alive: false,
    })
}

/// `METHOD SP TARGET SP VERSION` (RFC 9112 section 3).
fn parse_request_line(text: &str) -> Result<StartLine<'_>, Error> {
    let mut elements = text.split(' ');
    let method = elements.next().ok_or(Error::MalformedStartLine)?;
    let target = elements.next().ok_or(Error::MalformedStartLine)?;
    let version = elements.next().ok_or(Error::MalformedStartLine)?;
    let has_more = elements.next().is_some();
    if has_more || target.is_empty() || !is_token(method.as_bytes()) {
        return Err(Error::MalformedStartLine);
    }
    Ok(StartLine { method, target, status: 0, version })
}

/// `VERSION SP STATUS [SP REASON]` (RFC 9112 section 4). A status code has three digits and is at least 100.
fn parse_status_line(text: &str) -> Result<StartLine<'_>, Error> {
    let mut elements = text.splitn(3, ' ');
    let version = elements.next().unwrap_or("");
    let digits = elements.next().ok_or(Error::MalformedStartLine)?;
    if digits.len() != 3 || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::MalformedStartLine);
    }
    let status: u16 = digits.parse().map_err(|_| Error::MalformedStartLine)?;
    if status < 100 {
        return Err(Error::MalformedStartLine);
    }
    Ok(StartLine { method: "", target: "", status, version })
}

fn parse_minor_version(version: &str) -> Result<u8, Error> {
    match version {
        "HTTP/1.1" => Ok(1),
        "HTTP/1.0" => Ok(0),
        other if other.starts_with("HTTP/") => Err(Error::UnsupportedVersion),
        _ => Err(Error::MalformedStartLine),
    }
}

/// Parses a field line (RFC 9112 section 5): the name in lower case and the value without surrounding white space.
pub(super) fn parse_field(line: &[u8]) -> Result<(String, String), Error> {
    let colon = line.iter().position(|byte| *byte == b':').ok_or(Error::MalformedField)?;
    let name = &line[..colon];
    let value = &line[colon + 1..];
    // This also rejects white space before the name, which is a folded line (RFC 9112 section 5.2), and white space
    // between the name and the colon (section 5.1).
    if !is_token(name) {
        return Err(Error::MalformedField);
    }
    if value.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
        return Err(Error::MalformedField);
    }
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    let value = String::from_utf8_lossy(value);
    Ok((name, value.trim_matches([' ', '\t']).to_owned()))
}

/// Whether bytes are a token (RFC 9110 section 5.6.2).
fn is_token(bytes: &[u8]) -> bool {
    let is_token_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !bytes.is_empty() && bytes.iter().all(is_token_byte)
}
