//! The permission to act once for a task, and why it is refused.

use crate::{FencingToken, Millis, TaskId};
use thiserror::Error;

/// Permission to act once. It carries what the receiver of the act needs to reject a late one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The task.
    pub task: TaskId,
    /// The fencing token, sent along: a receiver that has seen a higher one rejects the act.
    pub token: FencingToken,
    /// When the lease expires on this gateway's clock: the act must be over by then. For a receiver that checks no token,
    /// what remains until then is sent along as the act's deadline.
    pub expires_at: Millis,
}

impl Permit {
    /// How long the act may still take, in ms; `None` when it must not begin any more.
    #[must_use]
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        self.expires_at.checked_sub(now).filter(|remaining| *remaining > 0)
    }
}

/// Why an act must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GuardError {
    /// This gateway does not hold the task, or holds it under another token by now.
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
