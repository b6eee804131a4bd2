//! The status of link and leases, for replies on the admin socket and for metrics.

use super::{CallCounts, Fleet};
use crate::io::Io;
use doorcourse_event_loop::boot_time_ms;
use doorcourse_lease::{Input, LeaseStage, LeaseStatus, Millis, Refusal, task_of};
use doorcourse_peers::{GatewayNumber, PeerStatus};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The metrics of a peer. Times in ms.
#[derive(Debug)]
pub(crate) struct PeerMetrics {
    /// The number of the peer.
    pub number: GatewayNumber,
    /// The time since the last datagram was accepted from it; `None` if none has been.
    pub last_received_ago: Option<Millis>,
    /// The smoothed round-trip time.
    pub round_trip: Option<f64>,
    /// How far its wall clock is ahead of this gateway's.
    pub clock_offset: Option<f64>,
    /// The number of datagrams accepted from it.
    pub received: u64,
    /// The number of its datagrams that were lost.
    pub lost: u64,
}

/// The metrics of link, leases and calls.
#[derive(Debug, Default)]
pub(crate) struct FleetMetrics {
    pub peers: Vec<PeerMetrics>,
    /// The number of dropped datagrams for each reason.
    pub drops: Vec<DropMetrics>,
    /// The lease of each task of the settings.
    pub leases: Vec<LeaseMetrics>,
    /// The calls of each task with at least one ended call.
    pub calls: Vec<CallMetrics>,
}

/// The number of datagrams dropped for one reason.
#[derive(Debug)]
pub(crate) struct DropMetrics {
    /// The reason's name in the metric.
    pub reason: &'static str,
    pub count: u64,
}

/// The lease of one task.
#[derive(Debug)]
pub(crate) struct LeaseMetrics {
    /// The task's name.
    pub task: String,
    /// Whether this gateway holds it.
    pub is_held: bool,
}

/// The calls of one task.
#[derive(Debug)]
pub(crate) struct CallMetrics {
    /// The task's name.
    pub task: String,
    pub counts: CallCounts,
}

impl From<PeerStatus> for PeerMetrics {
    fn from(status: PeerStatus) -> Self {
        Self {
            number: status.gateway,
            last_received_ago: status.last_received_ago,
            round_trip: status.round_trip,
            clock_offset: status.clock_offset,
            received: status.received,
            lost: status.lost,
        }
    }
}

impl Fleet {
    /// Transfers a task that this gateway holds to another gateway.
    ///
    /// # Errors
    /// The reason why the task cannot be transferred, as text for the operator.
    pub(crate) fn transfer(&mut self, io: &mut Io, name: &str, to: GatewayNumber) -> Result<(), String> {
        let now = boot_time_ms();
        let task = task_of(name);
        let mut statuses = self.leases.iter().flat_map(|leases| leases.statuses(now));
        let status = statuses.find(|status| status.task == task);
        drop(statuses);
        match status.map(|status| status.stage) {
            None => return Err(format!("`{name}` is no task of the settings")),
            Some(LeaseStage::Held(_)) => {}
            Some(_) => {
                return Err(format!("`{name}` is not held by this gateway: ask its holder (ctl leases)"));
            }
        }
        if !self.link.is_peer(to) {
            return Err(format!("gateway {to} is not among fleet.link.peers"));
        }
        self.handle_lease_input(io, now, Input::TransferRequested { task, to });
        Ok(())
    }

    /// The reply of `ctl peers`.
    pub(crate) fn peers(&self) -> Value {
        let peers: Vec<Value> =
            self.link.statuses(boot_time_ms()).map(|peer| self.peer_reply(&peer)).collect();
        let dropped: BTreeMap<_, _> = self.link.drops().by_name().collect();
        let address = self.link.local_address().map(|address| address.to_string());
        json!({"address": address, "peers": peers, "dropped": dropped})
    }

    fn peer_reply(&self, peer: &PeerStatus) -> Value {
        json!({
            "gateway": peer.gateway,
            "address": self.link.config().peers.get(&peer.gateway).map(ToString::to_string),
            "heard_ms_ago": peer.last_received_ago,
            "silent": peer.unreachable,
            "round_trip_ms": peer.round_trip.map(rounded),
            "clock_ahead_ms": peer.clock_offset.map(rounded),
            "taken": peer.received,
            "lost": peer.lost,
            "sent": peer.sent,
        })
    }

    /// The reply of `ctl leases`; null if the settings have no leases.
    pub(crate) fn leases(&self) -> Value {
        let now = boot_time_ms();
        let Some(leases) = &self.leases else { return Value::Null };
        let tasks: Vec<Value> = leases.statuses(now).map(|status| self.lease_reply(&status)).collect();
        json!({
            "gateway": self.gateway,
            "votes": leases.is_voting(now),
            "voters_version": leases.voters_version(),
            "tasks": tasks,
        })
    }

    /// The part of the reply for one task. Tokens are strings, because they exceed the integers that JSON readers
    /// represent exactly.
    fn lease_reply(&self, status: &LeaseStatus) -> Value {
        let (stage, remaining_ms) = match status.stage {
            LeaseStage::Waiting(ms) => ("waiting", ms),
            LeaseStage::Acquiring(_) => ("asking", 0),
            LeaseStage::Held(ms) => ("held", ms),
            LeaseStage::Releasing(ms) => ("releasing", ms),
        };
        let CallCounts { succeeded, failed, withheld } = self.calls.counts_of(status.task);
        json!({
            "task": self.calls.task_name(status.task),
            "here": stage,
            "ms": remaining_ms,
            "token": status.token.map(|token| token.to_string()),
            "granted_to": status.granted.map(|grant| grant.holder),
            "granted_token": status.granted.map(|grant| grant.token.to_string()),
            "granted_ms": status.granted.map(|grant| grant.remaining),
            "refused_by": status.last_refusal.map(|refusal| refusal.voter),
            "refused": status.last_refusal.map(|refusal| refusal_text(refusal.reason)),
            "calls_good": succeeded,
            "calls_failed": failed,
            "calls_kept_back": withheld,
        })
    }

    /// The present values for the metrics.
    pub(crate) fn metrics(&self) -> FleetMetrics {
        let now = boot_time_ms();
        let lease = |status: LeaseStatus| LeaseMetrics {
            task: self.calls.task_name(status.task).to_owned(),
            is_held: matches!(status.stage, LeaseStage::Held(_)),
        };
        let call = |(task, counts): (&str, CallCounts)| CallMetrics { task: task.to_owned(), counts };
        let drop = |(reason, count)| DropMetrics { reason, count };
        FleetMetrics {
            peers: self.link.statuses(now).map(PeerMetrics::from).collect(),
            drops: self.link.drops().by_name().map(drop).collect(),
            leases: self.leases.iter().flat_map(|leases| leases.statuses(now)).map(lease).collect(),
            calls: self.calls.counts().map(call).collect(),
        }
    }
}

/// The text of a refusal in admin replies and in the log. Operators and their scripts depend on it, so it does not
/// change with the names in the code.
pub(super) fn refusal_text(refusal: Refusal) -> String {
    match refusal {
        Refusal::NotVoting => "Silent".into(),
        Refusal::VersionMismatch => "Version".into(),
        Refusal::HeldByOther { holder, remaining } => format!("Held {{ by: {holder}, left: {remaining} }}"),
        Refusal::StaleToken => "Token".into(),
        Refusal::LeaseTooLong => "Length".into(),
        Refusal::TooManyTasks => "Full".into(),
    }
}

/// Rounds to tenths of a ms.
fn rounded(ms: f64) -> f64 {
    (ms * 10.0).round() / 10.0
}

#[cfg(test)]
mod tests;
