//! The life of one request between its client and its backends: decisions without I/O and without a clock.
//!
//! The decision library says where a request goes and when it is rejected or failed. This package says what its bytes
//! on sockets mean for it: what an attempt that ended in some state of the wire may have executed, when a response is
//! passed on and from when on it can only be cut, and that a client gets one final response before its deadline. The
//! host reports what happened and carries out what comes back.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod exchange;
mod session;

pub use admission::{Never, Offer, class_of, dial_time, fits, patience};
pub use exchange::{Exchange, Failure, Final, Input, Output, Reply, Wire};
pub use session::{cookie, parameter, route_of, split_path};
