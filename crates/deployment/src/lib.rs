//! The deployment document: the settings object of an instance, sent by the simulator in its first message and by the
//! platform as part of the configuration file. One reader for both maps the users' names to the code's terms.
//!
//! What the decisions use becomes [`doorcourse::Settings`]; what only their host needs becomes [`HostSettings`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod load;
mod settings;

pub use load::report;
pub use settings::{Deployment, HostSettings, parse, read};
