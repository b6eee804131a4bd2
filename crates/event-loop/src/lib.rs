//! What the event loops of the gateways and emulators share: readiness by epoll, buffered sockets, timers and the clock.
//! Nothing is decided here.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
