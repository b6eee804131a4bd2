//! The life cycle of a gateway process: a state machine that does no I/O and reads no clock.
//!
//! The host reports events ([`ProcessEvent`]) and carries out the actions ([`ProcessAction`]) that follow from them.
//!
//! ```text
//! Starting --Started--> Serving --Drain, Terminate--> Draining --no work left--> Releasing --> Stopped
//!                        |  ^                            ^  |
//!       TakeoverRequested|  |TakeoverFailed TakeoverReady|  |second Terminate, deadline: open requests are ended
//!                        v  |                            |  v
//!                      HandingOver ----------------------+  Releasing
//! ```
//!
//! Not shown: a drain or termination signal in `Starting` leads to `Stopped`, and in `HandingOver` to `Draining`; a
//! takeover that is not ready in time leads back to `Serving`; a termination signal in `Releasing` leads to `Stopped`.
//!
//! All times are in milliseconds on the host's clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod event;
mod lifecycle;
mod settings;
mod state;

pub use action::{ProcessAction, RefusalReason};
pub use event::{PendingWork, ProcessEvent};
pub use lifecycle::ProcessLifecycle;
pub use settings::LifecycleSettings;
pub use state::ProcessState;

/// A duration or a point in time, in milliseconds.
pub type Millis = f64;
