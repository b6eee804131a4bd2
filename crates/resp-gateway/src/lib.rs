//! The gateway on the users' platform: RESP from clients and to backends, HTTP/1.1 to discovery and the counter. It
//! translates between sockets and the decisions: who is let in, where a request goes, when it is repeated and how it
//! ends is decided in `doorcourse`, what bytes mean for one request in `doorcourse-request-lifecycle`.
//!
//! [`Platform`] is the loop over the rooms; each room owns its state and speaks in values. [`request`] and [`endpoints`] read
//! what clients and discovery send, without I/O.

#![forbid(unsafe_code)]

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
pub use gateway::{Platform, Signals, Stopper};
