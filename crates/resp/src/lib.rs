//! RESP, the Redis serialization protocol, in versions 2 and 3, as far as the shared counter and the platform use it.
//!
//! The types are those of the protocol's specification (<https://redis.io/docs/latest/develop/reference/protocol-spec/>):
//! simple strings, simple and bulk errors, integers, bulk and verbatim strings, arrays, maps, sets, pushes, doubles,
//! booleans and nulls. Readers are incremental, limit their input and do no I/O: [`decode`] reads any value,
//! [`CommandReader`] the commands of clients and [`ReplyReader`] the replies of backends.

#![forbid(unsafe_code)]

mod commands;
mod line;
mod replies;
mod value;

pub use commands::{CommandError, CommandLimits, CommandReader, DiscardedCommand};
pub use replies::{MalformedReply, Reply, ReplyReader};
pub use value::{DecodeError, Value, decode, encode, encode_command};
