//! For people.

use super::*;

/// A peer as metrics show it. Times in ms.
#[derive(Debug)]
pub(crate) struct PeerMetrics {
    pub number: GatewayNumber,
    /// How long ago a datagram was accepted from it.
    pub heard: Option<Millis>,
    pub round_trip: Option<f64>,
    /// By how much its wall clock is ahead of this gateway's.
    pub clock: Option<f64>,
    /// Datagrams accepted from it, and those that were lost.
    pub taken: u64,
    pub lost: u64,
}

/// What the link and the leases hold for people and metrics.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub peers: Vec<PeerMetrics>,
    pub drops: Vec<(&'static str, u64)>,
    /// Each task: whether it is held here.
    pub held: Vec<(String, bool)>,
    pub calls: Vec<(String, [u64; 3])>,
}

impl From<PeerStatus> for PeerMetrics {
    fn from(status: PeerStatus) -> Self {
        Self {
            number: status.gateway,
            heard: status.last_received_ago,
            round_trip: status.round_trip,
            clock: status.clock_offset,
            taken: status.received,
            lost: status.lost,
        }
    }
}

/// A refusal as admin replies spell it.
pub(super) fn refusal_text(refusal: Refusal) -> String {
    match refusal {
        Refusal::NotVoting => "Silent".into(),
        Refusal::VersionMismatch => "Version".into(),
        Refusal::HeldByOther { holder: by, remaining: left } => format!("Held {{ by: {by}, left: {left} }}"),
        Refusal::StaleToken => "Token".into(),
        Refusal::LeaseTooLong => "Length".into(),
        Refusal::TooManyTasks => "Full".into(),
    }
}

pub(super) fn round(ms: f64) -> f64 {
    (ms * 10.0).round() / 10.0
}

impl Fleet {
    /// A task goes to another gateway; why not, if not.
    pub fn hand_over(&mut self, io: &mut Io, name: &str, to: GatewayNumber) -> Result<(), String> {
        let now = awake_or_not();
        let task = task_of(name);
        let held = self.leases.iter().flat_map(|l| l.statuses(now)).find(|v| v.task == task);
        match held.map(|v| v.stage) {
            None => return Err(format!("`{name}` is no task of the settings")),
            Some(LeaseStage::Held(_)) => {}
            Some(_) => {
                return Err(format!("`{name}` is not held by this gateway: ask its holder (ctl leases)"));
            }
        }
        if !self.settings.peers.contains_key(&to) {
            return Err(format!("gateway {to} is not among fleet.link.peers"));
        }
        self.tell(io, now, Input::TransferRequested { task, to });
        Ok(())
    }

    pub fn peers(&self) -> Value {
        let one = |v: doorcourse_peers::PeerStatus| {
            json!({"gateway": v.gateway, "address": self.settings.peers.get(&v.gateway).map(ToString::to_string),
                "heard_ms_ago": v.last_received_ago, "silent": v.unreachable, "round_trip_ms": v.round_trip.map(round),
                "clock_ahead_ms": v.clock_offset.map(round), "taken": v.received, "lost": v.lost, "sent": v.sent})
        };
        let drops: BTreeMap<_, _> = self.link.drops().by_name().collect();
        let address = self.socket.as_ref().and_then(|s| s.local_addr().ok()).map(|a| a.to_string());
        json!({"address": address, "peers": self.link.statuses(awake_or_not()).map(one).collect::<Vec<_>>(), "dropped": drops})
    }

    pub fn leases(&self) -> Value {
        let now = awake_or_not();
        let Some(leases) = &self.leases else { return Value::Null };
        let one = |view: LeaseStatus| {
            let name = self.name(view.task);
            let (stage, ms) = match view.stage {
                LeaseStage::Waiting(ms) => ("waiting", ms),
                LeaseStage::Acquiring(_) => ("asking", 0),
                LeaseStage::Held(ms) => ("held", ms),
            };
            let [good, failed, kept_back] = self.tally.get(&view.task).copied().unwrap_or_default();
            // Tokens are beyond what JSON readers take for a whole number.
            json!({"task": name, "here": stage, "ms": ms, "token": view.token.map(|t| t.to_string()),
                "granted_to": view.granted.map(|g| g.holder), "granted_token": view.granted.map(|g| g.token.to_string()),
                "granted_ms": view.granted.map(|g| g.remaining),
                "refused_by": view.last_refusal.map(|r| r.voter), "refused": view.last_refusal.map(|r| refusal_text(r.reason)),
                "calls_good": good, "calls_failed": failed, "calls_kept_back": kept_back})
        };
        json!({"gateway": self.number, "votes": leases.is_voting(now), "voters_version": leases.voters_version(),
            "tasks": leases.statuses(now).map(one).collect::<Vec<_>>()})
    }

    pub fn seen(&self) -> Seen {
        let now = awake_or_not();
        let held = |v: LeaseStatus| (self.name(v.task).to_owned(), matches!(v.stage, LeaseStage::Held(_)));
        Seen {
            peers: self.link.statuses(now).map(PeerMetrics::from).collect(),
            drops: self.link.drops().by_name().collect(),
            held: self.leases.iter().flat_map(|l| l.statuses(now)).map(held).collect(),
            calls: self.tally.iter().map(|(task, tally)| (self.name(*task).to_owned(), *tally)).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
