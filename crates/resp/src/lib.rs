//! RESP, the Redis serialization protocol, versions 2 and 3 as far as the shared counter and the platform use it.
//!
//! The types are those of the protocol's specification (<https://redis.io/docs/latest/develop/reference/protocol-spec/>):
//! simple strings, simple and bulk errors, integers, bulk and verbatim strings, arrays, maps, sets, pushes, doubles,
//! booleans and nulls. Readers are incremental, bounded and without I/O: [`decode`] reads any value, [`CommandReader`] what
//! clients send and [`ReplyReader`] what backends reply.

#![forbid(unsafe_code)]

mod commands;
mod line;
mod replies;
mod value;

pub use commands::{CommandError, CommandLimits, CommandReader};
pub use replies::{MalformedReply, Reply, ReplyReader};
pub use value::{Error, Value, command, decode, encode};
