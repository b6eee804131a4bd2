//! The status of a task's lease at one gateway, for operators.

use crate::{ActiveGrant, FencingToken, GatewayNumber, Millis, Refusal, TaskId};

/// The stage of a task's lease at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStage {
    /// Held by another gateway or by none; this gateway requests the lease again after this many ms.
    Waiting(Millis),
    /// Requested, and granted by this many voters so far.
    Acquiring(usize),
    /// Held for this many ms unless it is renewed.
    Held(Millis),
    /// Released once the acts that began under the lease are over, in this many ms at the latest.
    Releasing(Millis),
}

/// The last refusal that was received for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LastRefusal {
    /// The voter that refused.
    pub voter: GatewayNumber,
    /// The voter's reason.
    pub reason: Refusal,
}

/// The status of one task's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The task.
    pub task: TaskId,
    /// The stage of the lease at this gateway.
    pub stage: LeaseStage,
    /// The fencing token requested or held.
    pub token: Option<FencingToken>,
    /// The grant that this gateway has made as a voter and that is in force.
    pub granted: Option<ActiveGrant>,
    /// The last refusal that this gateway received.
    pub last_refusal: Option<LastRefusal>,
}
