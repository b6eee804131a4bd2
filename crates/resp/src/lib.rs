//! RESP, the protocol of the shared counter, versions 2 and 3 as far as the counter's replies need them, and the
//! [`Link`]: the state of one connection to the counter, without I/O.

mod link;
mod value;

pub use link::{Call, Ended, Link, LinkAction, LinkSettings};
pub use value::{Error, Value, command, decode, encode};
