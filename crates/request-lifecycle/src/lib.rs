//! The life of one request between its client and its backends: decisions without I/O and without a clock.
//!
//! The decision library says where a request goes and when it is rejected or failed. This package says what its bytes
//! on sockets mean for it: what an attempt that ended in some state of the wire may have executed, when a response is
//! passed on and from when on it can only be cut, and that a client gets one final response before its deadline. The
//! host reports what happened and carries out what comes back.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod event;
mod lifecycle;
mod operation_class;
mod plan_capacity;
mod session;
mod timeouts;

pub use action::{FailureReason, FinalResponse, LifecycleAction};
pub use event::{BackendReply, LifecycleEvent, WireState};
pub use lifecycle::RequestLifecycle;
pub use operation_class::operation_class;
pub use plan_capacity::{ExceedsPlanCapacity, check_plan_capacity};
pub use session::{cookie, parameter, split_path, sticky_route};
pub use timeouts::{connect_timeout, request_timeout};
