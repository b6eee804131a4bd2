//! The running gateway: one thread, epoll, no runtime. It translates: sockets and timers into events of the
//! decision library and of a request's exchange, and their actions into bytes. It decides nothing itself.

mod admin;
mod counter;
mod front;
mod nodes;
mod run;
mod serve;
mod state;

pub use front::{DEADLINE_FIELD, REQUEST_ID_FIELD};
pub use run::{Gateway, Reread, Start, Stopper};
