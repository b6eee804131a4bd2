//! The command that the gateway sends to backends for a request.

use super::fields::RequestFields;
use doorcourse::Millis;
use std::io::Write;
use std::ops::Range;

/// The longest timeout sent to a backend, in ms; its digits fit into [`TIMEOUT_DIGITS`].
const MAX_TIMEOUT_MS: f64 = 1e9;
const TIMEOUT_DIGITS: usize = 12;

/// A request as it is sent to a backend: unchanged except for its timeout (the field `d`, the deadline in the list of
/// fields), which becomes the time that remains.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedCommand {
    /// Command, customer and request id, encoded.
    encoded_head: Box<[u8]>,
    /// The list of fields up to the value of the timeout.
    before_timeout: Box<str>,
    /// The list of fields after the value of the timeout.
    after_timeout: Box<str>,
    body: Option<Box<[u8]>>,
}

impl ForwardedCommand {
    /// Copies a command whose arguments are at these ranges of `input`.
    pub(super) fn new(input: &[u8], arguments: &[Range<usize>], fields: &RequestFields<'_>) -> Self {
        let argument = |index: usize| &input[arguments[index].clone()];
        let mut encoded_head = Vec::with_capacity(64);
        for index in 0..3 {
            write_bulk(&mut encoded_head, argument(index));
        }
        Self {
            encoded_head: encoded_head.into(),
            before_timeout: fields.before_deadline.into(),
            after_timeout: fields.after_deadline.into(),
            body: (arguments.len() == 5).then(|| argument(4).into()),
        }
    }

    /// The memory that the command takes, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let body = self.body.as_ref().map_or(0, |body| body.len());
        self.encoded_head.len() + self.before_timeout.len() + self.after_timeout.len() + body
    }

    /// Appends the command with the time that remains for its response, in ms.
    pub fn encode(&self, remaining: Millis, output: &mut Vec<u8>) {
        let mut digits = [0; TIMEOUT_DIGITS];
        // Writing to a slice advances it, so that `unused` is then the part after the digits.
        let mut unused = &mut digits[..];
        let _ = write!(unused, "{}", remaining.clamp(1.0, MAX_TIMEOUT_MS) as u64);
        let unused = unused.len();
        let digits = &digits[..TIMEOUT_DIGITS - unused];
        let arguments = 4 + usize::from(self.body.is_some());
        let list_length = self.before_timeout.len() + digits.len() + self.after_timeout.len();
        let _ = write!(output, "*{arguments}\r\n");
        output.extend_from_slice(&self.encoded_head);
        let _ = write!(output, "${list_length}\r\n{}", self.before_timeout);
        output.extend_from_slice(digits);
        let _ = write!(output, "{}\r\n", self.after_timeout);
        if let Some(body) = &self.body {
            write_bulk(output, body);
        }
    }
}

/// Appends a bulk string. Writing to a Vec cannot fail.
fn write_bulk(output: &mut Vec<u8>, bytes: &[u8]) {
    let _ = write!(output, "${}\r\n", bytes.len());
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}
