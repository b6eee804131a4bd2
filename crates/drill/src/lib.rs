//! Drills: a small fleet of gateway processes with stand-ins on loopback, a script of troubles, and a verdict from
//! the traffic that crossed the sockets.

mod clients;
mod compare;
mod fleet;
mod holders;
mod kit;
mod play;
mod script;
mod show;
mod view;

pub use compare::compare;
pub use fleet::Fleet;
pub use holders::{Cost, Held, HolderOptions, LEASE, cost_of_holders, play_holders, time_to_next_holder};
pub use kit::{KitOptions, call, up};
pub use play::{Options, Outcome, play};
pub use script::{DRILLS, Drill, read};
pub use show::{show, show_recoveries};
pub use view::View;
