//! RESP, the Redis serialization protocol, versions 2 and 3 as far as the shared counter and the platform use it.
//!
//! The types are those of the protocol's specification (<https://redis.io/docs/latest/develop/reference/protocol-spec/>):
//! simple strings, simple and bulk errors, integers, bulk and verbatim strings, arrays, maps, sets, pushes, doubles,
//! booleans and nulls. Readers are incremental, bounded and without I/O: [`decode`] reads any value, [`Commands`] what
//! clients send and [`Answers`] what backends answer.

#![forbid(unsafe_code)]

mod answers;
mod commands;
mod line;
mod value;

pub use answers::{Answer, Answers, MalformedAnswer};
pub use commands::{CommandLimits, Commands, Fault};
pub use value::{Error, Value, command, decode, encode};
