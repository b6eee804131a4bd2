//! The settings object that an instance gets, from the simulator as the text of its first message, on the platform as
//! part of its configuration: one reader for both. What the decisions act on becomes [`doorcourse::Settings`]; what
//! only a host needs (times of sockets, who may send what) stands beside it in [`Host`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod load;
mod settings;

pub use load::report;
pub use settings::{Host, Site, parse, read};
