//! What gateways say to each other about leases. Messages may be lost, doubled, late and out of order.

use crate::{Number, Task, Time, Token};

/// One message: items of one sender at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// The sender's list of voters.
    pub version: u64,
    /// The highest token the sender knows of.
    pub highest: Token,
    /// The sender's round: answers name the round of the ask that they answer.
    pub round: u64,
    /// What is said.
    pub items: Vec<Item>,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ask {
    /// The task.
    pub task: Task,
    /// The token that it is to be held under.
    pub token: Token,
    /// For how long, in ms.
    pub length: Time,
}

/// One thing said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Item {
    /// A candidate or holder asks a voter.
    Ask(Ask),
    /// The voter grants it.
    Grant {
        /// The task.
        task: Task,
        /// Its token.
        token: Token,
    },
    /// The voter does not.
    Refuse {
        /// The task.
        task: Task,
        /// The token that was asked for.
        token: Token,
        /// Why.
        why: Refusal,
    },
    /// A holder or candidate gives back what it was granted.
    Release {
        /// The task.
        task: Task,
        /// Its token.
        token: Token,
        /// Who is to have it next, where that is settled.
        to: Option<Number>,
    },
    /// A holder has given the task back and would have the receiver take it.
    Take {
        /// The task.
        task: Task,
    },
}

/// Why a voter refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// It was started too short a time ago, or its list is not settled.
    Silent,
    /// The asker's list of voters is not this voter's, nor the next after it.
    Version,
    /// Another gateway has it, for so long at most, in ms.
    Held {
        /// Who.
        by: Number,
        /// The rest of its grant.
        left: Time,
    },
    /// A token as high was granted before.
    Token,
    /// The length is beyond what voters honour.
    Length,
    /// It knows of too many tasks.
    Full,
}
