//! What the leases are told and what they ask for.

use crate::{
    FencingToken, GatewayNumber, Message, Millis, Refusal, SettingsError, TaskId, VoterConfiguration,
};
use std::collections::BTreeSet;

/// What a gateway's leases are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time went by.
    Tick,
    /// A message came from another gateway.
    MessageReceived {
        /// Who sent it.
        from: GatewayNumber,
        /// Which start of it.
        incarnation: u64,
        /// What it says.
        message: Message,
    },
    /// The settings have this list of voters.
    VotersChanged(VoterConfiguration),
    /// The settings have these tasks and gateways; tasks that are missing are given back.
    TasksChanged {
        /// What this gateway would do.
        tasks: Vec<TaskId>,
        /// All gateways.
        gateways: BTreeSet<GatewayNumber>,
    },
    /// A person wants a task to go to another gateway.
    TransferRequested {
        /// The task.
        task: TaskId,
        /// Who is to take it.
        to: GatewayNumber,
    },
    /// The gateway leaves: everything is given back and nothing is sought.
    ShutdownStarted,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: GatewayNumber,
        /// What.
        message: Message,
    },
    /// The task is this gateway's.
    Acquired(AcquiredLease),
    /// It is not any more: nothing is done in its name from here on.
    Lost(LostLease),
    /// A task was asked for in vain; who refused last, and why, where anybody said so.
    AcquisitionFailed {
        /// The task.
        task: TaskId,
        /// The last refusal.
        last_refusal: Option<(GatewayNumber, Refusal)>,
    },
    /// The list of voters in force.
    VotersInForce(u64),
    /// A list that cannot be taken, or not yet.
    VotersRejected(SettingsError),
}

/// A task gained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcquiredLease {
    /// The task.
    pub task: TaskId,
    /// Its token.
    pub token: FencingToken,
    /// Until when it may be believed, on this gateway's clock, if nothing is renewed.
    pub expires_at: Millis,
}

/// A task lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LostLease {
    /// The task.
    pub task: TaskId,
    /// The token it was held under.
    pub token: FencingToken,
    /// Whether it was given back: by a person, at a drain, or because the settings have it no more. Else no majority
    /// answered in time.
    pub released: bool,
}
