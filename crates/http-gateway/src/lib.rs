//! The running gateway: one thread, epoll, no runtime. It translates: sockets and timers into events of the
//! decision library and of a request's exchange, and their actions into bytes. It decides nothing itself.

mod admin;
mod clients;
mod counter;
mod exchanges;
mod fleet;
mod front;
mod health;
mod io;
mod list;
mod nodes;
mod reload;
mod run;
mod state;

pub use front::{DEADLINE_FIELD, REQUEST_ID_FIELD};
pub use reload::ReadSettings;
pub use run::{Gateway, Start, Stopper};
