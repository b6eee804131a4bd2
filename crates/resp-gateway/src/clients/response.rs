//! The responses that clients receive, and their RESP encoding.

use crate::request::RequestError;
use doorcourse_resp::CommandError;
use std::io::Write;

/// Why a request failed. The text does not tell the client whether the request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFailure {
    /// Its deadline is too close for a response to arrive in time.
    DeadlineTooShort,
    /// No response arrived before its deadline.
    DeadlineExpired,
    /// The connection to a backend was lost, or the backend responded with an error.
    BackendFailed,
    /// The last attempt reached no backend, or was rejected by it.
    NoBackendReached,
}

impl RequestFailure {
    /// The text after `-ERR failed: `; clients may match on it.
    fn message(self) -> &'static str {
        match self {
            Self::DeadlineTooShort => "no time is left",
            Self::DeadlineExpired => "no answer in time",
            Self::BackendFailed => "the backend failed",
            Self::NoBackendReached => "no backend took it",
        }
    }
}

/// The response to one command.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Response {
    Value(Vec<u8>),
    /// Rejected and not executed: a retry is safe.
    Rejected {
        /// After how many ms to retry, if clients are told.
        retry_after_ms: Option<u64>,
    },
    Failed(RequestFailure),
    /// The command is invalid; the connection stays open.
    InvalidRequest(RequestError),
    /// The framing is invalid; the connection is closed.
    InvalidFraming(CommandError),
    Pong,
    /// The gateway is not ready to serve yet.
    Loading,
}

impl Response {
    /// The bytes of the value that the response holds.
    pub(super) fn value_bytes(&self) -> usize {
        match self {
            Self::Value(value) => value.capacity(),
            _ => 0,
        }
    }

    /// Appends the response. Writing to a Vec cannot fail.
    pub(crate) fn encode(&self, output: &mut Vec<u8>) {
        let _ = match self {
            Self::Value(value) => {
                let _ = write!(output, "${}\r\n", value.len());
                output.extend_from_slice(value);
                write!(output, "\r\n")
            }
            Self::Rejected { retry_after_ms: None } => write!(output, "-BUSY\r\n"),
            Self::Rejected { retry_after_ms: Some(wait) } => write!(output, "-BUSY {wait}\r\n"),
            Self::Failed(failure) => write!(output, "-ERR failed: {}\r\n", failure.message()),
            Self::InvalidRequest(error) => write!(output, "-ERR {error}\r\n"),
            Self::InvalidFraming(error) => write!(output, "-ERR {error}\r\n"),
            Self::Pong => write!(output, "+PONG\r\n"),
            Self::Loading => write!(output, "-LOADING not ready yet\r\n"),
        };
    }
}
