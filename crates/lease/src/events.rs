//! The inputs and outputs of the lease state machine.

use crate::{
    FencingToken, GatewayNumber, LastRefusal, Message, Millis, SettingsError, TaskId, VoterConfiguration,
};
use std::collections::BTreeSet;

/// An event that the caller reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message was received from another gateway.
    MessageReceived {
        /// The sender.
        from: GatewayNumber,
        /// Identifies the start of the sender's process.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// The settings changed to this voter configuration.
    VotersChanged(VoterConfiguration),
    /// The settings changed to these tasks and gateways; the leases of tasks that were removed are released.
    TasksChanged {
        /// The tasks that this gateway is a candidate for.
        tasks: Vec<TaskId>,
        /// All gateways of the fleet.
        gateways: BTreeSet<GatewayNumber>,
    },
    /// An operator requested the transfer of a lease to another gateway.
    TransferRequested {
        /// The task.
        task: TaskId,
        /// The gateway that is to acquire it.
        to: GatewayNumber,
    },
    /// The old process of this gateway has ended its part in the fleet, and until now it may have granted leases as a
    /// voter.
    PredecessorStopped,
    /// The gateway shuts down: it releases all leases and acquires no more.
    ShutdownStarted,
}

/// What the caller has to do or is notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message, which may be lost.
    Send {
        /// The receiver.
        to: GatewayNumber,
        /// The message.
        message: Message,
    },
    /// This gateway has acquired the lease of a task.
    Acquired(AcquiredLease),
    /// This gateway no longer holds the lease of a task, and must not act for the task any more.
    Lost(LostLease),
    /// A lease was requested, but not granted by a majority.
    AcquisitionFailed {
        /// The task.
        task: TaskId,
        /// The last refusal that a voter replied with, if any did.
        last_refusal: Option<LastRefusal>,
    },
    /// The voter configuration of this version is in force.
    VotersInForce(u64),
    /// A voter configuration was not accepted; the previous one is kept.
    VotersRejected(SettingsError),
}

/// A lease that was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcquiredLease {
    /// The task.
    pub task: TaskId,
    /// The fencing token under which the lease is held.
    pub token: FencingToken,
    /// When the lease expires on this gateway's clock if it is not renewed.
    pub expires_at: Millis,
}

/// A lease that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LostLease {
    /// The task.
    pub task: TaskId,
    /// The fencing token under which the lease was held.
    pub token: FencingToken,
    /// Whether the lease was released: for a transfer, at shutdown, or because of changed tasks or voters. Otherwise it
    /// expired, because no majority granted a renewal in time.
    pub released: bool,
}
