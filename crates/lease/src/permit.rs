//! The guard before an act: whether the lease outlasts what the act needs. The permit carries what the receiver of the
//! act needs to turn a late one away.

use crate::{FencingToken, Millis, TaskId};

/// What an act needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// From the check to the end of its effect at the receiver, in ms.
    pub time: Millis,
}

/// Leave to act once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The task.
    pub task: TaskId,
    /// The fencing token, sent along: a receiver that has seen a higher one refuses.
    pub token: FencingToken,
    /// The act must be over by then, on this gateway's clock. For a receiver that checks no token, what is left goes
    /// along as the act's deadline.
    pub expires_at: Millis,
}

/// Why an act must not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardError {
    /// This gateway does not hold the task, or holds it under another token by now.
    NotHeld,
    /// The lease may run out before the act is over.
    LeaseTooShort,
}

impl Permit {
    /// How long the act has yet, in ms; nothing when it must not begin any more.
    #[must_use]
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        self.expires_at.checked_sub(now).filter(|left| *left > 0)
    }
}
