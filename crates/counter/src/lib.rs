//! The shared counter as a gateway sees it: [`Link`] is the state of one connection, without I/O; a [`Codec`] says how
//! calls look on the wire. The daemon's counter speaks RESP, the platform's HTTP/1.1; what a time-out, a late answer
//! or a broken connection means for a call is the same for both and stands here once.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod http;
mod link;
mod resp;

pub use http::HttpCodec;
pub use link::{Call, Codec, Ended, Link, LinkAction, LinkSettings, Reply};
pub use resp::RespCodec;
