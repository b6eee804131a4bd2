//! The HTTP gateway: one thread, epoll, no async runtime. It translates: sockets and timers into events of the decision
//! library and of a request's life cycle, and their actions into bytes. It decides nothing itself.
//!
//! Start with the event loop (`gateway.rs`); `docs/gateway.md` has the components and what each owns.

#![warn(missing_docs)]

mod admin;
mod backends;
mod clients;
mod counter;
mod endpoint_list;
mod fleet;
mod gateway;
mod graphql_front;
mod io;
mod monitoring;
mod requests;
mod settings_reload;
mod state_file;
mod takeover;

pub use gateway::{Gateway, GatewayOptions, Stopper};
pub use graphql_front::{DEADLINE_FIELD, REQUEST_ID_FIELD};
pub use settings_reload::ReadSettings;
