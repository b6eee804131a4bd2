//! The messages between candidates, holders and voters. Messages may be lost, duplicated, delayed and reordered.

use crate::{FencingToken, GatewayNumber, Millis, TaskId};

/// One message: items that its sender sends together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// The version of the sender's voter configuration.
    pub voters_version: u64,
    /// The highest fencing token that the sender knows of.
    pub highest_token: FencingToken,
    /// The sender's quorum round; a reply has the round of the request that it answers.
    pub round: u64,
    /// The items.
    pub items: Vec<Item>,
}

/// A request for a lease, or for its renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseRequest {
    /// The task.
    pub task: TaskId,
    /// The fencing token that the lease is to be held under.
    pub token: FencingToken,
    /// The duration of the lease, in ms.
    pub duration: Millis,
}

/// One item of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Item {
    /// A candidate or holder requests a lease of a voter.
    Request(LeaseRequest),
    /// The voter grants it.
    Grant {
        /// The task.
        task: TaskId,
        /// The token of the request.
        token: FencingToken,
    },
    /// The voter refuses it.
    Refuse {
        /// The task.
        task: TaskId,
        /// The token of the request.
        token: FencingToken,
        /// Why.
        reason: Refusal,
    },
    /// A holder or candidate releases what it was granted.
    Release {
        /// The task.
        task: TaskId,
        /// The token of the grant.
        token: FencingToken,
        /// The gateway for which voters reserve the task, at a transfer.
        transfer_to: Option<GatewayNumber>,
    },
    /// A holder has released the task for the receiver, which is to acquire it.
    Transfer {
        /// The task.
        task: TaskId,
    },
}

/// Why a voter refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// The voter was started too short a time ago, or its voter configuration is not in force.
    NotVoting,
    /// The version of the requester's voter configuration is neither the voter's nor the next.
    VersionMismatch,
    /// The task is granted to, or reserved for, another gateway.
    HeldByOther {
        /// That gateway.
        holder: GatewayNumber,
        /// How long the grant or reservation lasts at most, in ms.
        remaining: Millis,
    },
    /// A token at least as high was granted before.
    StaleToken,
    /// The duration is longer than voters grant.
    LeaseTooLong,
    /// The voter knows of too many tasks.
    TooManyTasks,
}
