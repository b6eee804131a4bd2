//! The interface of the codecs that encode calls and decode replies.

use crate::call::{CounterCall, CounterReply};

/// Why replies on a connection cannot be read; the connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The bytes are not valid in the protocol.
    #[error("{0}")]
    InvalidReply(String),
    /// The counter refused the password.
    #[error("authentication refused: {0}")]
    AuthenticationRefused(String),
}

/// Encodes the calls and decodes the replies of one connection.
pub trait CounterCodec {
    /// Prepares for a connection that was just opened: resets the state of the previous one and appends what precedes
    /// the first call to the output.
    fn connection_opened(&mut self, output: &mut Vec<u8>);

    /// Appends one call to the output.
    fn encode_call(&mut self, call: &CounterCall, output: &mut Vec<u8>);

    /// Whether a reply is due that precedes the replies to calls, such as the reply to AUTH.
    fn awaits_greeting(&self) -> bool;

    /// Decodes from the start of `input`. Returns how many bytes were consumed, and the reply that they completed.
    ///
    /// # Errors
    /// The bytes are not valid in the protocol, or the counter refuses this client. The link then closes the
    /// connection, and its calls end as they do when the connection is lost. A codec whose server responds only after
    /// the addition reports unreadable bytes as `AddedWithoutTotal` instead.
    fn decode_reply(&mut self, input: &[u8]) -> Result<(usize, Option<CounterReply>), CodecError>;
}
