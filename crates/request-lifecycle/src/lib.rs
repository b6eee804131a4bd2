//! The lifecycle of one request between its client and the backends: its attempts, and its one final response.
//!
//! The decision library chooses where a request goes and when it is rejected or failed. This package decides what
//! happens on the sockets means for it: whether an attempt that ended may have been executed, when response bytes are
//! forwarded, from when on a response can only be completed or cut, and that a client gets exactly one final response
//! before its deadline. All of it is decided without I/O and without a clock.
//!
//! | item | what it decides |
//! | --- | --- |
//! | [`RequestLifecycle`] | the state of one request; the host keeps one for each open request |
//! | [`operation_class`] | the class of a GraphQL operation |
//! | [`check_plan_capacity`] | whether a plan can ever admit a request of this cost |
//! | [`request_timeout`], [`connect_timeout`] | how long a request and a connect for it may take |
//! | [`cookie`], [`parameter`], [`split_path`], [`sticky_route`] | the sticky session route that a request names |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod attempt;
mod event;
mod lifecycle;
mod operation_class;
mod plan_capacity;
mod session;
mod timeouts;

pub use action::{FailureReason, FinalResponse, LifecycleAction};
pub use attempt::WireState;
pub use event::{BackendReply, LifecycleEvent};
pub use lifecycle::RequestLifecycle;
pub use operation_class::operation_class;
pub use plan_capacity::{ExceedsPlanCapacity, check_plan_capacity};
pub use session::{cookie, parameter, split_path, sticky_route};
pub use timeouts::{connect_timeout, request_timeout};
