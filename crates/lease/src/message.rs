//! What gateways say to each other about leases. Messages may be lost, doubled, late and out of order.

use crate::{FencingToken, GatewayNumber, Millis, TaskId};

/// One message: items of one sender at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// The sender's list of voters.
    pub voters_version: u64,
    /// The highest token the sender knows of.
    pub highest_token: FencingToken,
    /// The sender's round: answers name the round of the ask that they answer.
    pub round: u64,
    /// What is said.
    pub items: Vec<Item>,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseRequest {
    /// The task.
    pub task: TaskId,
    /// The token that it is to be held under.
    pub token: FencingToken,
    /// For how long, in ms.
    pub duration: Millis,
}

/// One thing said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Item {
    /// A candidate or holder asks a voter.
    Request(LeaseRequest),
    /// The voter grants it.
    Grant {
        /// The task.
        task: TaskId,
        /// Its token.
        token: FencingToken,
    },
    /// The voter does not.
    Refuse {
        /// The task.
        task: TaskId,
        /// The token that was asked for.
        token: FencingToken,
        /// Why.
        reason: Refusal,
    },
    /// A holder or candidate gives back what it was granted.
    Release {
        /// The task.
        task: TaskId,
        /// Its token.
        token: FencingToken,
        /// Who is to have it next, where that is settled.
        transfer_to: Option<GatewayNumber>,
    },
    /// A holder has given the task back and would have the receiver take it.
    Transfer {
        /// The task.
        task: TaskId,
    },
}

/// Why a voter refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// It was started too short a time ago, or its list is not settled.
    NotVoting,
    /// The asker's list of voters is not this voter's, nor the next after it.
    VersionMismatch,
    /// Another gateway has it, for so long at most, in ms.
    HeldByOther {
        /// Who.
        holder: GatewayNumber,
        /// The rest of its grant.
        remaining: Millis,
    },
    /// A token as high was granted before.
    StaleToken,
    /// The length is beyond what voters honour.
    LeaseTooLong,
    /// It knows of too many tasks.
    TooManyTasks,
}
