//! The RESP gateway: it speaks RESP to clients and backends, and HTTP/1.1 to discovery and the counter.
//!
//! It translates between sockets and the decision library. `doorcourse`, the decision library, decides which request is
//! admitted, where it is sent, when it is retried and how it ends; `doorcourse_request_lifecycle` decides what an event
//! on a socket means for one request.
//!
//! [`RespGateway`] is the event loop over the components. Each component (client table, backends, counter pool,
//! discovery client, request table) owns its state; components exchange typed messages through the loop. [`request`]
//! and [`endpoints`] parse what clients and discovery send, without I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backends;
mod clients;
mod config;
mod counter;
mod diagnostics;
mod discovery;
pub mod endpoints;
mod gateway;
mod reactor;
pub mod request;
mod requests;

pub use config::{Config, ConfigError, MachineLimits};
pub use gateway::{GatewayHandle, RespGateway, SignalHandlers};
