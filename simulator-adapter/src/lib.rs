//! Hosts doorcourse gateways on the simulator's wire: reads its lines as events, writes actions as its lines.
//!
//! The simulator's words are mapped here and nowhere else: `input.rs` from the wire, `output.rs` to it. Nothing is
//! decided.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod fields;
mod host;
mod input;
mod output;

pub use error::{HostError, LineError};
pub use host::Host;
