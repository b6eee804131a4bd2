//! The watch of the endpoint list: when it is connected, considered dead and connected anew, without I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod readiness;
mod watch;

pub use readiness::Readiness;
pub use watch::{DiscoveryWatch, WatchAction};
