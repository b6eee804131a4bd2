//! The link between gateways and the tasks that one of them does at a time.

use crate::check::Check;
use crate::raw;
use doorcourse_lease::{VoterConfiguration, task_of};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

/// A secret has at least so many bytes, and a file at most so many of them.
const SECRET: usize = 16;
const SECRETS: usize = 8;
const TASKS: usize = 1024;

/// How the gateways hear of each other.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkConfig {
    /// This gateway's own UDP socket.
    pub listen: SocketAddr,
    /// The others.
    pub peers: BTreeMap<u32, SocketAddr>,
    /// The first is used for what goes.
    pub secrets: Vec<Vec<u8>>,
    /// The fleet's name.
    pub fleet: String,
    /// In ms.
    pub unreachable_after_ms: u64,
}

impl fmt::Debug for LinkConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Secrets are in no log.
        let Self { listen, peers, fleet, unreachable_after_ms: silence, .. } = self;
        f.debug_struct("LinkConfig")
            .field("listen", listen)
            .field("peers", peers)
            .field("fleet", fleet)
            .field("silence", silence)
            .finish_non_exhaustive()
    }
}

/// What is done under a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// The lease, in ms.
    pub lease_duration_ms: u64,
    /// How far clocks may be apart, in parts of a million.
    pub clock_drift_ppm: u64,
    /// Who votes.
    pub voters: VoterConfiguration,
    /// What is done.
    pub tasks: Vec<TaskConfig>,
    /// Whether suspect nodes are tried for all.
    pub suspects: Option<OutlierGossipConfig>,
}

/// The lease under which suspect nodes are tried.
pub const OUTLIER_PROBE_TASK: &str = "suspects";

/// How suspect nodes are tried. Times in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierGossipConfig {
    /// Between two trials of the whole fleet.
    pub probe_interval_ms: u64,
    /// A node that answers nothing for this long is bad.
    pub probe_timeout_ms: u64,
    /// The share of the nodes that are called bad at most.
    pub max_outlier_fraction: f64,
    /// For how long a report and a word are believed.
    pub keep: u64,
    /// Whether the choice of nodes goes by the word.
    pub affects_decisions: bool,
}

/// A call that one gateway makes at a time. Times in ms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskConfig {
    /// Its name.
    pub name: String,
    /// Who is called.
    pub address: SocketAddr,
    /// With which path.
    pub path: String,
    /// From the end of a call to the next.
    pub call_interval_ms: u64,
    /// How long a call takes with its effect.
    pub call_duration_ms: u64,
}

pub(crate) fn link(
    raw: &raw::Link, gateways: u32, number: u32, check: &mut Check,
    open: &dyn Fn(&str) -> Result<String, String>,
) -> LinkConfig {
    let listen = check.address("fleet.link.listen", &raw.listen);
    let (mut peers, mut seen, mut places) = (BTreeMap::new(), BTreeSet::new(), HashMap::new());
    for (at, peer) in raw.peers.iter().enumerate() {
        let path = |field: &str| format!("fleet.link.peers[{at}].{field}");
        let address = check.address(&path("address"), &peer.address);
        if peer.number >= gateways {
            check.fault(
                &path("number"),
                format!("{} is not below the number of gateways, {gateways}", peer.number),
            );
        }
        if !seen.insert(peer.number) {
            check.fault(&path("number"), format!("gateway {} is named twice", peer.number));
        }
        if let Some(other) = places.insert(address, peer.number) {
            check.fault(&path("address"), format!("{address} is gateway {other}'s already"));
        }
        if peer.number != number {
            peers.insert(peer.number, address);
        }
    }
    let mut secrets = Vec::new();
    if raw.secret_file.is_empty() {
        check.fault("fleet.link.secret_file", "a file's name is needed");
    } else {
        match open(&raw.secret_file) {
            Err(why) => check.fault("fleet.link.secret_file", format!("{}: {why}", raw.secret_file)),
            Ok(text) => {
                secrets = text
                    .lines()
                    .map(str::trim)
                    .filter(|l| !l.is_empty())
                    .map(|l| l.as_bytes().to_vec())
                    .collect();
                if !(1..=SECRETS).contains(&secrets.len()) || secrets.iter().any(|s| s.len() < SECRET) {
                    let text = format!("1 to {SECRETS} lines are needed, each of at least {SECRET} bytes");
                    check.fault("fleet.link.secret_file", text);
                }
            }
        }
    }
    let silence = check.figure("fleet.link.silence_ms", raw.silence_ms.unwrap_or(3000.0), 100.0..=6e5) as u64;
    let fleet = raw.fleet.clone().unwrap_or_else(|| "doorcourse".into());
    LinkConfig { listen, peers, secrets, fleet, unreachable_after_ms: silence }
}

pub(crate) fn leases(
    raw: &raw::Leases, link: Option<&LinkConfig>, number: u32, check: &mut Check,
) -> LeaseConfig {
    let all: BTreeSet<u32> = link.iter().flat_map(|l| l.peers.keys().copied()).chain([number]).collect();
    if link.is_none() {
        check.fault("leases", "the gateways must hear of each other: set fleet.link");
    }
    let length = check.figure("leases.length_ms", raw.length_ms.unwrap_or(3000.0), 20.0..=6e5) as u64;
    let drift = check.whole("leases.drift_ppm", raw.drift_ppm.unwrap_or(10_000).into(), 0..=499_999);
    let mut list = |field: &str, numbers: &[u32], past: bool| {
        let mut list = BTreeSet::new();
        for (at, number) in numbers.iter().enumerate() {
            let path = format!("leases.{field}[{at}]");
            // Who voted before may be gone.
            if !past && !all.contains(number) {
                check.fault(&path, format!("gateway {number} is not among fleet.link.peers"));
            }
            if !list.insert(*number) {
                check.fault(&path, format!("gateway {number} is named twice"));
            }
        }
        list
    };
    let (mut now, before) =
        (list("voters", &raw.voters, false), list("voters_before", &raw.voters_before, true));
    if now.is_empty() {
        now.clone_from(&all);
    }
    let voters = VoterConfiguration { version: raw.voters_version, voters: now, previous_voters: before };
    if (voters.version == 0) != voters.previous_voters.is_empty() {
        check.fault(
            "leases.voters_before",
            "who voted in the version before is needed above version 0, and only there",
        );
    } else if voters.previous_voters.symmetric_difference(&voters.voters).count() > 1 && voters.version > 0 {
        check.fault("leases.voters", "one voter may be added or removed in one version");
    }
    let suspects = raw.suspects.as_ref().map(|s| {
        let path = |field: &str| format!("leases.suspects.{field}");
        let half = (length / 2).max(10) as f64;
        OutlierGossipConfig {
            probe_interval_ms: check.figure(&path("every_ms"), s.every_ms.unwrap_or(200.0), 10.0..=6e4)
                as u64,
            probe_timeout_ms: check.figure(
                &path("timeout_ms"),
                s.timeout_ms.unwrap_or((half / 2.0).clamp(10.0, 500.0)),
                10.0..=half.min(6e4),
            ) as u64,
            max_outlier_fraction: check.figure(&path("share"), s.share.unwrap_or(0.25), 0.0..=1.0),
            keep: check.figure(&path("keep_ms"), s.keep_ms.unwrap_or(2000.0), 100.0..=6e5) as u64,
            affects_decisions: s.apply.unwrap_or(true),
        }
    });
    let (mut names, mut numbers) = (HashSet::new(), HashMap::new());
    if suspects.is_some() {
        names.insert(OUTLIER_PROBE_TASK.to_owned());
        numbers.insert(task_of(OUTLIER_PROBE_TASK), OUTLIER_PROBE_TASK.to_owned());
    }
    if raw.tasks.len() > TASKS {
        check.fault("leases.tasks", format!("{} tasks: at most {TASKS}", raw.tasks.len()));
    }
    let tasks = raw.tasks.iter().enumerate().map(|(at, task)| {
        let path = |field: &str| format!("leases.tasks[{at}].{field}");
        let name = check.name(&path("name"), &task.name, &mut names).to_string();
        if let Some(other) = numbers.insert(task_of(&name), name.clone()).filter(|other| *other != name) {
            check.fault(&path("name"), format!("`{name}` and `{other}` have the same number: rename one"));
        }
        let target = task.path.clone().unwrap_or_else(|| "/".into());
        if !target.starts_with('/') || target.contains([' ', '\r', '\n']) {
            check.fault(&path("path"), format!("`{target}` must begin with / and hold no space"));
        }
        let half = (length / 2).max(1) as f64;
        TaskConfig {
            name,
            address: check.address(&path("address"), &task.address),
            path: target,
            call_interval_ms: check.figure(&path("every_ms"), task.every_ms.unwrap_or(1000.0), 10.0..=8.64e7)
                as u64,
            call_duration_ms: check.figure(
                &path("needs_ms"),
                task.needs_ms.unwrap_or(half / 2.0).max(1.0),
                1.0..=half,
            ) as u64,
        }
    });
    LeaseConfig {
        lease_duration_ms: length,
        clock_drift_ppm: drift,
        voters,
        tasks: tasks.collect(),
        suspects,
    }
}
