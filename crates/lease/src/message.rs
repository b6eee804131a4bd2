//! The messages between candidates, holders and voters, which may be lost, duplicated, delayed and reordered.

use crate::{FencingToken, GatewayNumber, Millis, TaskId};

/// One message: items that its sender sends together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// The version of the sender's voter configuration.
    pub voters_version: u64,
    /// The highest fencing token that the sender knows of.
    pub highest_token: FencingToken,
    /// The number of the sender's quorum round. A reply has the number of the round that it replies to.
    pub round: u64,
    /// The items.
    pub items: Vec<Item>,
}

/// A request for a lease, or for its renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseRequest {
    /// The task.
    pub task: TaskId,
    /// The fencing token under which the lease is to be held.
    pub token: FencingToken,
    /// The duration of the lease, in ms.
    pub duration: Millis,
}

/// One item of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Item {
    /// A candidate or holder requests a lease of a voter.
    Request(LeaseRequest),
    /// The voter grants the requested lease.
    Grant {
        /// The task.
        task: TaskId,
        /// The token of the request.
        token: FencingToken,
    },
    /// The voter refuses the requested lease.
    Refuse {
        /// The task.
        task: TaskId,
        /// The token of the request.
        token: FencingToken,
        /// Why the voter refuses.
        reason: Refusal,
    },
    /// A holder or candidate releases its grant.
    Release {
        /// The task.
        task: TaskId,
        /// The token of the grant.
        token: FencingToken,
        /// At a transfer, the gateway for which the voters reserve the task.
        transfer_to: Option<GatewayNumber>,
    },
    /// A holder has released the task for the receiver of this message, which is to acquire it.
    Transfer {
        /// The task.
        task: TaskId,
    },
}

/// Why a voter refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// The voter still waits after its start, or its voter configuration is not in force.
    NotVoting,
    /// The version of the requester's voter configuration is neither the voter's own nor the next one.
    VersionMismatch,
    /// The task is granted to, or reserved for, another gateway.
    HeldByOther {
        /// The gateway that holds the task or has it reserved.
        holder: GatewayNumber,
        /// How long the grant or reservation lasts at most, in ms.
        remaining: Millis,
    },
    /// The token is not higher than one that was granted before.
    StaleToken,
    /// The requested duration is longer than the longest lease that the voter grants.
    LeaseTooLong,
    /// The voter already keeps state for the highest allowed number of tasks.
    TooManyTasks,
}
