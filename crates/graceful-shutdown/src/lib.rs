//! The end of a gateway process that was told to stop: decisions without I/O and without a clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod final_rounds;
mod manual_drains;
mod shutdown;
mod stall;

pub use final_rounds::{FinalRound, FinalRounds};
pub use manual_drains::ManualDrains;
pub use shutdown::{Admission, GracefulShutdown, ShutdownPhase};
pub use stall::needs_repoll;
