//! Which connections a gateway accepts, opens, keeps and closes, and how much it buffers for them: decisions without I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod activity;
mod client_limits;
mod descriptor_budget;
mod fault_backoff;
mod pool;

pub use activity::{ConnectionActivity, ConnectionTimeouts};
pub use client_limits::{ClientBudget, ClientLimits, ConnectionUsage, LimitExceeded};
pub use descriptor_budget::DescriptorBudget;
pub use fault_backoff::fault_backoff;
pub use pool::{ConnectionPool, idle_limit};
