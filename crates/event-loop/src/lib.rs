//! What the event loops share: readiness by epoll, buffered sockets, timers and the clock. No decision is here.

mod clock;
mod counts;
mod poll;
mod socket;
mod timers;

pub use clock::{Clock, awake_or_not};
pub use counts::{Counts, counts};
pub use poll::{Interest, Poller, Ready, Waker};
pub use socket::{Flow, Socket, connect, is_out_of_descriptors, listen, most_descriptors};
pub use timers::Timers;
