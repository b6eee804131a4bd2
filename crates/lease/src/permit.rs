//! The permission to act once for a task, and the reasons for its refusal.

use crate::{FencingToken, Millis, TaskId};
use thiserror::Error;

/// Permission to act once for a task. It carries what the receiver needs to reject an act that arrives too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The task.
    pub task: TaskId,
    /// The fencing token, which is sent with the act: a receiver that has seen a higher token rejects the act.
    pub token: FencingToken,
    /// When the lease expires on this gateway's clock: the act must be over by then. The time that remains until then
    /// is sent with the act as its deadline, for receivers that do not check tokens.
    pub expires_at: Millis,
}

impl Permit {
    /// How long the act may still take, in ms; `None` where it must not begin any more.
    #[must_use]
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        self.expires_at.checked_sub(now).filter(|remaining| *remaining > 0)
    }
}

/// Why an act must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GuardError {
    /// This gateway does not hold the task, or now holds it under another token.
    #[error("task {task} is not held under this token")]
    NotHeld {
        /// The task.
        task: TaskId,
    },
    /// The lease may expire before the act is over.
    #[error("the lease of task {task} lasts {remaining} ms, and the act takes {required} ms")]
    LeaseTooShort {
        /// The task.
        task: TaskId,
        /// How long the act takes, in ms.
        required: Millis,
        /// How long the lease still lasts, in ms.
        remaining: Millis,
    },
}
