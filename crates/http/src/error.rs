//! Why a message is rejected, and the status code that says so.

/// Why a message cannot be taken. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A line ends without a carriage return.
    #[error("a line ends in a bare line feed")]
    BareLineFeed,
    /// The first line is not one of HTTP.
    #[error("malformed start line")]
    StartLine,
    /// A version other than 1.0 and 1.1.
    #[error("unsupported HTTP version")]
    Version,
    /// A field line is malformed, folded or has white space before its colon.
    #[error("malformed field line")]
    Field,
    /// Two lengths, a length beside chunks, or a length that is no number.
    #[error("the message's length is ambiguous")]
    Framing,
    /// A transfer coding other than chunked.
    #[error("unknown transfer coding")]
    Coding,
    /// No host, or several.
    #[error("a request needs exactly one host field")]
    Host,
    /// A chunk's size or end is malformed.
    #[error("malformed chunk")]
    Chunk,
    /// The first line passes its limit.
    #[error("the start line is too long")]
    LineTooLong,
    /// The head passes its limit, in bytes or in fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body passes its limit.
    #[error("the body is too large")]
    BodyTooLarge,
}

impl Error {
    /// The status that a server answers before it closes.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Version => 505,
            Self::Coding => 501,
            Self::LineTooLong => 414,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            _ => 400,
        }
    }
}
