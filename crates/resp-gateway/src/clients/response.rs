//! The responses that clients receive, and their RESP encoding.

use crate::request::RequestError;
use doorcourse_resp::CommandError;
use std::io::Write;

/// Why a request failed. The text promises the client nothing about execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFailure {
    /// Its deadline is so close that no response could arrive in time.
    DeadlineTooShort,
    /// No response came before its deadline.
    DeadlineExpired,
    /// A backend broke off or responded with an error.
    BackendFailed,
    /// No backend accepted it.
    NoBackendReached,
}

impl RequestFailure {
    /// The text behind `-ERR failed: `; clients may match on it.
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
    /// Rejected: a retry is harmless.
    Rejected {
        /// When to retry, in ms, where clients receive advice.
        retry_after_ms: Option<u64>,
    },
    Failed(RequestFailure),
    /// The command cannot be accepted; the connection stays open.
    InvalidRequest(RequestError),
    /// The framing is lost; the connection ends.
    InvalidFraming(CommandError),
    Pong,
    /// The gateway is not ready to serve yet.
    Loading,
}

impl Response {
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
