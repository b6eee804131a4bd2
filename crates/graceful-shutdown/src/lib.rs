//! The end of a gateway process that received SIGTERM: when it stops accepting, which requests it still admits, when
//! each connection is closed, and how the remaining requests get their final responses.
//!
//! All of it is decided without I/O and without a clock; the host passes the time in milliseconds on one monotonic
//! clock, and carries out what is decided.
//!
//! | type | what it owns |
//! | --- | --- |
//! | [`GracefulShutdown`] | the schedule of a shutdown: its phases, admission, closing of connections, exit |
//! | [`FinalRounds`] | how often the remaining requests are ended before their clients are disconnected |
//! | [`ManualDrains`] | the backends that an operator drained at this gateway |
//!
//! [`needs_repoll`] decides for the event loop whether it came so late that its sockets are polled again first.

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
