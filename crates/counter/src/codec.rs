//! How calls and replies look on the wire.

use crate::call::{CounterCall, CounterReply};

/// Why replies on a connection cannot be read; the connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The bytes are not of the protocol.
    #[error("{0}")]
    InvalidReply(String),
    /// The counter refused the password.
    #[error("authentication refused: {0}")]
    AuthenticationRefused(String),
}

/// Encodes calls and decodes replies of one connection.
pub trait CounterCodec {
    /// A connection was opened: resets the state of the one before and writes what precedes the first call.
    fn connection_opened(&mut self, output: &mut Vec<u8>);

    /// Appends one call to the output.
    fn encode_call(&mut self, call: &CounterCall, output: &mut Vec<u8>);

    /// Whether a reply is due before that of the first call, such as the one to AUTH.
    fn awaits_greeting(&self) -> bool;

    /// Reads on from the start of `input`: returns how many bytes were consumed, and the reply that they completed.
    ///
    /// # Errors
    /// When the bytes are not of the protocol or the counter refuses this client: the link closes the connection and its
    /// calls end as unknown. A codec whose server responds only after the addition reports unreadable bytes as
    /// `AddedWithoutTotal` instead.
    fn decode_reply(&mut self, input: &[u8]) -> Result<(usize, Option<CounterReply>), CodecError>;
}
