//! RESP, the protocol of the daemon's counter and of the platform, versions 2 and 3 as far as their messages need them.
//! Readers are incremental and bounded and do no I/O: [`decode`] reads whole values, [`Commands`] what clients send,
//! [`Answers`] what backends answer.

#![forbid(unsafe_code)]

mod answers;
mod commands;
mod value;

pub use answers::{Answer, Answers, Spoilt};
pub use commands::{CommandLimits, Commands, Fault};
pub use value::{Error, Value, command, decode, encode};
