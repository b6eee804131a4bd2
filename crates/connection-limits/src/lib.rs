//! Limits on a gateway's connections and buffers: which connections it accepts, keeps, reuses and closes, and how many
//! bytes it buffers for its clients.
//!
//! The package does no I/O and reads no clock: the host owns the sockets, passes the time in milliseconds on one
//! monotonic clock, reports events and carries out the decisions.
//!
//! | type | what it decides | used by | who owns it |
//! | --- | --- | --- | --- |
//! | [`DescriptorBudget`] | how many descriptors clients and backends may use | both gateways | computed once from the limit |
//! | [`BufferBudget`] | what is refused as buffers use up the memory of the process | RESP gateway | the host, one for the process |
//! | [`ConnectionActivity`], [`ConnectionTimeouts`] | when a client connection expires, which one is evicted first | RESP gateway | the host, one `ConnectionActivity` for each client connection |
//! | [`fault_backoff`] | how long the gateway stops reading from a client that sends faulty commands | RESP gateway | the host, a count of faults for each client connection |
//! | [`ClientBudget`], [`ClientLimits`], [`ConnectionUsage`] | which connections and requests are rejected because of the buffers and counts in use, when the connection of a client that reads nothing is reset | HTTP gateway | the host, one budget for the process, one usage for each client connection |
//! | [`ConnectionPool`] | which backend connection carries a request, when another one is opened | RESP gateway | the host, one for each incarnation of a backend |
//!
//! So there are two unread timeouts, one for each gateway: [`ConnectionTimeouts::unread_timeout`] applies to a
//! [`ConnectionActivity`], [`ClientLimits::unread_timeout`] to a [`ConnectionUsage`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod activity;
mod buffer_budget;
mod client_limits;
mod descriptor_budget;
mod fault_backoff;
mod pool;

pub use activity::{ConnectionActivity, ConnectionTimeouts};
pub use buffer_budget::{BufferBudget, BufferHolder, max_customers, max_list_bytes};
pub use client_limits::{ClientBudget, ClientLimits, ConnectionUsage, LimitExceeded};
pub use descriptor_budget::DescriptorBudget;
pub use fault_backoff::fault_backoff;
pub use pool::{ConnectionPool, idle_limit};
