//! The client of the endpoint list's source: when to connect, when a call has timed out, and which version to request
//! next.
//!
//! [`DiscoveryWatch`] keeps the state and decides; it does no I/O and reads no clock. The host owns the sockets, reads
//! the messages, reports each event with its time, and carries out each [`WatchAction`]. [`Readiness`] decides when a
//! gateway that has just started replies to a PING as ready.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod availability;
mod readiness;
mod watch;

pub use readiness::Readiness;
pub use watch::{ApplyVersionError, CallId, DiscoveryRequest, DiscoveryWatch, WatchAction};
