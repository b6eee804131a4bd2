//! The deployment document: the settings object of an instance, which the simulator sends in its first message and the
//! platform has in its configuration file. One reader for both maps the users' names to the terms of the code.
//!
//! What the decision library uses becomes [`doorcourse::Settings`]; what only its host needs becomes [`HostSettings`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod load;
mod settings;

pub use error::{DeploymentError, LoadReportError};
pub use load::report;
pub use settings::{Deployment, HostSettings, parse, read};
