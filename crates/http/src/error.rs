//! The reasons to reject a message, and their status codes.

/// The reason why a message cannot be decoded. The connection must be closed.
///
/// The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A line ends without a carriage return.
    #[error("a line ends in a bare line feed")]
    BareLineFeed,
    /// The start line is neither a request line nor a status line of HTTP.
    #[error("malformed start line")]
    MalformedStartLine,
    /// A version other than 1.0 and 1.1.
    #[error("unsupported HTTP version")]
    UnsupportedVersion,
    /// A field line is malformed, folded or has white space before its colon.
    #[error("malformed field line")]
    MalformedField,
    /// More than one of Content-Length and Transfer-Encoding, Transfer-Encoding in version 1.0, a length that is not a
    /// number, or a connection that closed before the end of a message.
    #[error("the message's length is ambiguous")]
    InvalidFraming,
    /// A transfer coding other than chunked.
    #[error("unknown transfer coding")]
    UnknownTransferCoding,
    /// A request of version 1.1 without a Host field, or one with several.
    #[error("a request needs exactly one host field")]
    InvalidHost,
    /// A chunk's size line is malformed or too long, or no CRLF follows a chunk's data.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The start line exceeds [`Limits::line`](crate::Limits::line).
    #[error("the start line is too long")]
    StartLineTooLong,
    /// The head or the trailer section exceeds [`Limits::head`](crate::Limits::head), or the head exceeds
    /// [`Limits::fields`](crate::Limits::fields).
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body exceeds [`Limits::body`](crate::Limits::body).
    #[error("the body is too large")]
    BodyTooLarge,
}

impl Error {
    /// The status code of the response that a server sends before it closes the connection.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::UnsupportedVersion => 505,
            Self::UnknownTransferCoding => 501,
            Self::StartLineTooLong => 414,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            _ => 400,
        }
    }
}
