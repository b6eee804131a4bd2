//! The connection to the shared counter as a state machine without I/O.
//!
//! [`CounterLink`] keeps the state of one connection: the calls in flight, their timeouts and the reconnection backoff.
//! A [`CounterCodec`] encodes calls and decodes replies: [`RespCodec`] for a counter that speaks RESP, [`HttpCodec`]
//! for one that speaks HTTP/1.1. What a timeout, a late reply or a broken connection means for a call is the same for
//! both protocols and is decided in the link.
//!
//! Times are in ms on the caller's clock ([`doorcourse::Millis`]); the package reads no clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod codec;
mod http;
mod link;
mod resp;

pub use call::{CallOutcome, CounterCall, CounterReply};
pub use codec::{CodecError, CounterCodec};
pub use http::HttpCodec;
pub use link::{CounterLink, LinkAction, LinkSettings};
pub use resp::RespCodec;
