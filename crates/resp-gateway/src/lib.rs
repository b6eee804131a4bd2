//! The gateway on the users' platform: RESP from clients and to backends, HTTP/1.1 to discovery and the counter.
//!
//! It translates between sockets and decisions. Which request is admitted, where it is sent, when it is retried and how
//! it ends is decided in `doorcourse`; what bytes mean for one request in `doorcourse_request_lifecycle`.
//!
//! [`RespGateway`] is the event loop over the components. Each component (client table, backends, counter pool, discovery
//! client, request table) owns its state; components exchange typed messages through the loop. [`request`] and
//! [`endpoints`] parse what clients and discovery send, without I/O.

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

pub use config::{Config, MachineLimits};
pub use gateway::{GatewayHandle, RespGateway, SignalHandlers};
