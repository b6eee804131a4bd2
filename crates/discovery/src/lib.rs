//! The client's side of the endpoint list: when to connect to its source, when a call is dead, and which version to
//! ask for next.
//!
//! [`DiscoveryWatch`] decides and keeps state; it does no I/O and reads no clock. The host owns the sockets, reads the
//! messages, reports what happened with the time of it, and carries out each [`WatchAction`]. [`Readiness`] decides
//! when a gateway that has just started answers a PING as ready.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod availability;
mod readiness;
mod watch;

pub use readiness::Readiness;
pub use watch::{ApplyVersionError, DiscoveryWatch, WatchAction};
