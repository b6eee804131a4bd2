//! The life of one request between its client and its nodes: decisions without I/O and without a clock.
//!
//! The decision library says where a request goes and when it is refused or failed. This module says what its
//! bytes on sockets mean for it: what an attempt that ended in some state of the wire may have done, when an
//! answer is passed on and from when on it can only be cut, and that a client gets one final answer before its
//! time is up. The host tells what happened and carries out what comes back.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod bounds;
mod exchange;
mod follow;
mod lateness;
mod leave;
mod mutant;
mod pool;
mod session;
mod stop;
mod table;

pub use admission::{Never, Offer, class_of, dial_time, fits, patience};
pub use bounds::{Accounts, Bounds, Full, Held};
pub use exchange::{Exchange, Failure, Final, Input, Output, Reply, Wire};
pub use follow::{Due, Follow, Start};
pub use lateness::looks_again;
pub use leave::{Leave, Phase, Take};
pub use mutant::mutant;
pub use pool::{Pool, kept};
pub use session::{cookie, parameter, route_of, split_path};
pub use stop::{HandDrains, LastRounds, Round};
pub use table::{Ages, Held as HeldOpen, Shares, pause};
