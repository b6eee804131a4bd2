//! Which connections a gateway accepts, opens, keeps and closes, and how much it buffers for them: decisions without I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod activity;
mod client_limits;
mod pool;

pub use activity::{ConnectionActivity, ConnectionTimeouts, DescriptorBudget, fault_backoff};
pub use client_limits::{ClientBudget, ClientLimits, ConnectionUsage, LimitExceeded};
pub use pool::{ConnectionPool, idle_limit};
