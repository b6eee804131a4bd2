//! The end of a gateway process that was told to stop: decisions without I/O and without a clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lateness;
mod leave;
mod stop;

pub use lateness::looks_again;
pub use leave::{Leave, Phase, Take};
pub use stop::{HandDrains, LastRounds, Round};
