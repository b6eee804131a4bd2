//! HTTP/1.1 messages (RFC 9112), incremental and without I/O, for both directions.
//!
//! A [`Decoder`] is given all bytes that are not yet consumed and answers how many it consumed and which
//! [`Part`] they held. It keeps no copy of the input, so a message costs the memory of its head only. Shapes on
//! which two parsers could disagree about where a message ends (request smuggling, RFC 9112 section 11.2) are
//! errors that end the connection, never repaired.

mod decode;
mod encode;
mod error;
mod message;

pub use decode::{Decoder, Part, Role};
pub use encode::{chunk, chunk_end, request, response_head};
pub use error::Error;
pub use message::{Framing, Head, Limits};
