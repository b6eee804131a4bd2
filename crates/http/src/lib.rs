//! HTTP/1.1 messages (RFC 9112) in both directions: incremental decoding and encoding, without I/O.
//!
//! A [`Decoder`] is passed all bytes that are not yet consumed and returns how many it consumed and which [`Part`] of a
//! message they were. It keeps no copy of the input, so a message costs the memory of its head only. Messages on whose
//! end two parsers could disagree (request smuggling, RFC 9112 section 11.2) are errors that end the connection; they
//! are never repaired.

mod decode;
mod encode;
mod error;
mod message;

pub use decode::{Decoder, Part, Role};
pub use encode::{chunk, chunk_end, request, response_head};
pub use error::Error;
pub use message::{Framing, Head, Limits};
