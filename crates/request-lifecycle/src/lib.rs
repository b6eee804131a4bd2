//! The lifecycle of one request between its client and the backends: its attempts, and its one final response.
//!
//! The decision library chooses where a request goes and when it is rejected or failed. This package decides what
//! events on the sockets mean for a request: whether an attempt that ended may have been executed, when response bytes
//! are forwarded, when a response can no longer be replaced by that of another attempt, and that a client gets exactly
//! one final response before its deadline. It does no I/O and reads no clock.
//!
//! | item | what it decides |
//! | --- | --- |
//! | [`RequestLifecycle`] | the state of one request; the host keeps one for each open request |
//! | [`ExecutedIds`] | whether a request with a known id may have been executed already; the RESP gateway keeps one |
//! | [`operation_class`] | the class of a GraphQL operation |
//! | [`check_plan_capacity`] | whether a plan can ever admit a request of a given cost |
//! | [`request_timeout`], [`connect_timeout`] | the timeouts of a request and of a connect for it |
//! | [`cookie`], [`parameter`], [`split_path`], [`sticky_route`] | the sticky session route that a request names |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod attempt;
mod event;
mod executed_ids;
mod lifecycle;
mod operation_class;
mod plan_capacity;
mod session;
mod timeouts;

pub use action::{FailureReason, FinalResponse, LifecycleAction};
pub use attempt::WireState;
pub use event::{BackendReply, LifecycleEvent};
pub use executed_ids::ExecutedIds;
pub use lifecycle::RequestLifecycle;
pub use operation_class::operation_class;
pub use plan_capacity::{ExceedsPlanCapacity, check_plan_capacity};
pub use session::{cookie, parameter, split_path, sticky_route};
pub use timeouts::{connect_timeout, request_timeout};
