//! The status of a task's lease at one gateway, for operators.

use crate::{ActiveGrant, FencingToken, GatewayNumber, Millis, Refusal, TaskId};

/// How far this gateway is with the lease of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStage {
    /// Held by another gateway or by none; requested again after so many ms.
    Waiting(Millis),
    /// Requested, with the grants of so many voters.
    Acquiring(usize),
    /// Held for so many ms unless it is renewed.
    Held(Millis),
}

/// The last refusal that was received for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LastRefusal {
    /// The voter that refused.
    pub voter: GatewayNumber,
    /// Its reason.
    pub reason: Refusal,
}

/// The status of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The task.
    pub task: TaskId,
    /// How far this gateway is with its lease.
    pub stage: LeaseStage,
    /// The fencing token requested or held.
    pub token: Option<FencingToken>,
    /// What this gateway has granted as a voter.
    pub granted: Option<ActiveGrant>,
    /// The last refusal that this gateway received.
    pub last_refusal: Option<LastRefusal>,
}
