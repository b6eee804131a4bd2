//! Building blocks of the event loops of gateways and emulators: readiness by epoll, buffered sockets, timers, the
//! clock and the memory of the process. The event loops themselves are in the crates that use this one.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod poll;
mod process_memory;
mod socket;
mod system_calls;
mod timers;

pub use clock::{Clock, boot_time_ms};
pub use poll::{Interest, Poller, Ready, Waker};
pub use process_memory::{ProcessMemory, process_memory};
pub use socket::{Flow, Socket, connect, is_out_of_descriptors, listen, max_descriptors};
pub use system_calls::{SystemCalls, system_calls};
pub use timers::Timers;
