//! Which connections a gateway accepts, opens, keeps and closes, and how much it buffers for them: decisions without I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bounds;
mod pool;
mod table;

pub use bounds::{Accounts, Bounds, Full, Held};
pub use pool::{Pool, kept};
pub use table::{Ages, Held as HeldOpen, Shares, pause};
