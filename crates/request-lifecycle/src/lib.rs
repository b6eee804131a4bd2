//! The life of one request between its client and its backends: decisions without I/O and without a clock.
//!
//! The decision library says where a request goes and when it is rejected or failed. This package says what its bytes
//! on sockets mean for it: what an attempt that ended in some state of the wire may have executed, when a response is
//! passed on and from when on it can only be cut, and that a client gets one final response before its deadline. The
//! host reports what happened and carries out what comes back.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod lifecycle;
mod session;

pub use admission::{
    ExceedsPlanCapacity, Offer, check_plan_capacity, connect_timeout, operation_class, request_timeout,
};
pub use lifecycle::{
    BackendReply, FailureReason, FinalResponse, LifecycleAction, LifecycleEvent, RequestLifecycle, WireState,
};
pub use session::{cookie, parameter, split_path, sticky_route};
