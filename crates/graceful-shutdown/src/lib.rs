//! The end of a gateway process that was told to stop: decisions without I/O and without a clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod shutdown;
mod stall;
mod stop;

pub use shutdown::{Admission, GracefulShutdown, ShutdownPhase};
pub use stall::needs_repoll;
pub use stop::{FinalRound, FinalRounds, ManualDrains};
