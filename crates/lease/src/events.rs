//! The inputs and outputs of the lease state machine.

use crate::{
    FencingToken, GatewayNumber, LastRefusal, Message, Millis, SettingsError, TaskId, VoterConfiguration,
};
use std::collections::BTreeSet;

/// What happens to a gateway's leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message was received from another gateway.
    MessageReceived {
        /// The sender.
        from: GatewayNumber,
        /// Which start of the sender's process.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// The settings have this voter configuration.
    VotersChanged(VoterConfiguration),
    /// The settings have these tasks and gateways; leases of tasks that are missing are released.
    TasksChanged {
        /// The tasks that this gateway is a candidate for.
        tasks: Vec<TaskId>,
        /// All gateways of the fleet.
        gateways: BTreeSet<GatewayNumber>,
    },
    /// An operator wants a lease transferred to another gateway.
    TransferRequested {
        /// The task.
        task: TaskId,
        /// The gateway that is to acquire it.
        to: GatewayNumber,
    },
    /// The gateway shuts down: every lease is released and none is acquired.
    ShutdownStarted,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: GatewayNumber,
        /// The message.
        message: Message,
    },
    /// This gateway holds the lease of a task now.
    Acquired(AcquiredLease),
    /// This gateway no longer holds the lease: nothing is done for the task from here on.
    Lost(LostLease),
    /// A lease was requested and not granted.
    AcquisitionFailed {
        /// The task.
        task: TaskId,
        /// The last refusal, if any voter replied with one.
        last_refusal: Option<LastRefusal>,
    },
    /// The voter configuration of this version is in force.
    VotersInForce(u64),
    /// A voter configuration that was not accepted; the one before stays.
    VotersRejected(SettingsError),
}

/// A lease that was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcquiredLease {
    /// The task.
    pub task: TaskId,
    /// The fencing token it is held under.
    pub token: FencingToken,
    /// When it expires on this gateway's clock if it is not renewed.
    pub expires_at: Millis,
}

/// A lease that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LostLease {
    /// The task.
    pub task: TaskId,
    /// The fencing token it was held under.
    pub token: FencingToken,
    /// Whether it was released: for a transfer, at shutdown, or because the settings no longer have the task. Otherwise it
    /// expired, as no majority replied in time.
    pub released: bool,
}
