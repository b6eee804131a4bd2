//! Hosts doorcourse gateways on the simulator's wire: reads its lines as events, writes actions as its lines.
//!
//! This crate alone translates the simulator's vocabulary: `input.rs` from the wire, `output.rs` to it. All decisions
//! are made by [`doorcourse::Gateway`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod fields;
mod host;
mod input;
mod output;

pub use error::{HostError, LineError};
pub use host::Host;
