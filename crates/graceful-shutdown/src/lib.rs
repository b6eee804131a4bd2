//! The end of a gateway process that received SIGTERM: when it stops accepting, which requests it still admits, when
//! each connection is closed, and how the remaining requests get their final responses.
//!
//! The package does no I/O and reads no clock: the host passes the time in milliseconds on one monotonic clock, and
//! carries out the decisions.
//!
//! | type | what it decides or keeps |
//! | --- | --- |
//! | [`GracefulShutdown`] | the schedule of a shutdown: its phases, admission, closing of connections, exit |
//! | [`FinalRounds`] | in how many rounds the remaining requests are ended before their clients are disconnected |
//! | [`ManualDrains`] | the backends that an operator drained at this gateway |
//!
//! [`needs_repoll`] decides whether the event loop is so late that it has to poll its sockets again first.

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
