//! The HTTP gateway: one thread, epoll, no async runtime. It translates what happens on sockets and timers into events
//! of the decision library and of each request's life cycle, and their actions into bytes. Quotas, routing and retries
//! are decided there, not here.
//!
//! Start with the event loop (`gateway.rs`); `docs/gateway.md` describes the components and what each of them owns.

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
