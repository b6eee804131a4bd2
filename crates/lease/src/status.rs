//! A task as people see it.

use crate::{FencingToken, GatewayNumber, Millis, Refusal, TaskId};

/// Where a task stands at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStage {
    /// Another gateway's, or nobody's; sought again after so many ms.
    Waiting(Millis),
    /// Asked for, with so many grants.
    Acquiring(usize),
    /// Held for so many ms yet, if nothing is renewed.
    Held(Millis),
}

/// A task as people see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The task.
    pub task: TaskId,
    /// Where it stands here.
    pub stage: LeaseStage,
    /// The token, asked for or held under.
    pub token: Option<FencingToken>,
    /// Who has it by this gateway's word as a voter, under which token, for so many ms yet.
    pub granted: Option<(GatewayNumber, FencingToken, Millis)>,
    /// Why it was refused last, and by whom.
    pub last_refusal: Option<(GatewayNumber, Refusal)>,
}
