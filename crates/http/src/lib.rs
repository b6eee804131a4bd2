//! HTTP/1.1 messages (RFC 9112) in both directions: incremental decoding and encoding, without I/O.
//!
//! The caller passes all bytes that are not yet consumed to a [`Decoder`], which returns the number of consumed bytes
//! and the [`Part`] of a message that they encode. The decoder keeps no copy of the input, so its memory for a message
//! is that of the head. A message whose end two parsers could determine differently (request smuggling, RFC 9112
//! section 11.2) is an error that ends the connection; it is never repaired.

mod decode;
mod encode;
mod error;
mod message;

pub use decode::{Decoder, Part, Role};
pub use encode::{chunk, chunk_end, request, response_head};
pub use error::Error;
pub use message::{Framing, Head, Limits};
