//! Checks the settings of the link between the gateways, of the leases and of the outlier gossip.

use crate::check::Checker;
use crate::raw;
use doorcourse_lease::{TaskId, VoterConfiguration, task_of};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The name of the task of the holder that probes suspected nodes.
pub const OUTLIER_PROBE_TASK: &str = "suspects";

/// The least length of a secret.
const MIN_SECRET_BYTES: usize = 16;
/// The most secrets in one file.
const MAX_SECRETS: usize = 8;
/// The most tasks in the settings.
const MAX_TASKS: usize = 1024;
/// The time without a datagram after which a peer is unreachable, in ms.
const UNREACHABLE_AFTER_MS: Setting = Setting { default: 3000.0, range: 100.0..=6e5 };
/// The duration of a lease, in ms.
const LEASE_DURATION_MS: Setting = Setting { default: 3000.0, range: 20.0..=6e5 };
/// The largest difference in rate between the clocks of two gateways, in parts per million.
const CLOCK_DRIFT_PPM_DEFAULT: u32 = 10_000;
const CLOCK_DRIFT_PPM_RANGE: RangeInclusive<u64> = 0..=499_999;
/// The shortest time between two probes in the whole fleet, in ms.
const PROBE_INTERVAL_MS: Setting = Setting { default: 200.0, range: 10.0..=6e4 };
/// The range of the timeout of a probe, and the upper limit of its default, in ms.
const MIN_PROBE_TIMEOUT_MS: f64 = 10.0;
const MAX_PROBE_TIMEOUT_MS: f64 = 6e4;
const MAX_DEFAULT_PROBE_TIMEOUT_MS: f64 = 500.0;
/// The largest fraction of the nodes that may be outliers at the same time.
const MAX_OUTLIER_FRACTION: Setting = Setting { default: 0.25, range: 0.0..=1.0 };
/// How long a report and a verdict are valid, in ms.
const RETENTION_MS: Setting = Setting { default: 2000.0, range: 100.0..=6e5 };
/// The interval from the end of a call to the start of the next, in ms.
const CALL_INTERVAL_MS: Setting = Setting { default: 1000.0, range: 10.0..=8.64e7 };
/// The shortest duration of a call, in ms.
const MIN_CALL_DURATION_MS: f64 = 1.0;

/// The default and the range of a number in the settings.
struct Setting {
    default: f64,
    range: RangeInclusive<f64>,
}

/// The link between the gateways.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkConfig {
    /// The address of this gateway's UDP socket.
    pub listen: SocketAddr,
    /// The other gateways and their addresses.
    pub peers: BTreeMap<u32, SocketAddr>,
    /// The secrets. Datagrams signed with any of them are accepted; the first one signs what is sent.
    pub secrets: Vec<Vec<u8>>,
    /// The fleet's name.
    pub fleet: String,
    /// A peer from which no datagram has arrived for this long is unreachable.
    pub unreachable_after_ms: u64,
}

impl fmt::Debug for LinkConfig {
    /// Without the secrets, which must not be logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkConfig")
            .field("listen", &self.listen)
            .field("peers", &self.peers)
            .field("fleet", &self.fleet)
            .field("unreachable_after_ms", &self.unreachable_after_ms)
            .finish_non_exhaustive()
    }
}

/// The leases and the work that needs them.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// The duration of a lease.
    pub lease_duration_ms: u64,
    /// The largest difference in rate between the clocks of two gateways, in parts per million.
    pub clock_drift_ppm: u64,
    /// The gateways that vote.
    pub voters: VoterConfiguration,
    /// The calls that one gateway at a time makes.
    pub tasks: Vec<TaskConfig>,
    /// The outlier gossip; `None` if suspected nodes are not probed for the fleet.
    pub outlier_gossip: Option<OutlierGossipConfig>,
}

/// The settings of the outlier gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierGossipConfig {
    /// The shortest time between two probes in the whole fleet.
    pub probe_interval_ms: u64,
    /// A node that has not answered a probe after this time has failed it.
    pub probe_timeout_ms: u64,
    /// The largest fraction of the nodes that may be outliers at the same time, from 0 to 1.
    pub max_outlier_fraction: f64,
    /// How long a report and a verdict are valid.
    pub retention_ms: u64,
    /// Whether the decisions avoid outliers; otherwise the verdicts are only reported to the operator.
    pub affects_decisions: bool,
}

/// A call that one gateway at a time makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskConfig {
    /// Its name.
    pub name: String,
    /// The address that is called.
    pub address: SocketAddr,
    /// The path that is called.
    pub path: String,
    /// The interval from the end of a call to the start of the next.
    pub call_interval_ms: u64,
    /// The longest time that a call and its effect at the receiver take.
    pub call_duration_ms: u64,
}

/// Checks `fleet.link`. `open` returns the text of a file that the settings name.
pub(crate) fn link(
    raw: &raw::Link, gateways: u32, number: u32, checker: &mut Checker<'_>,
    open: &dyn Fn(&str) -> Result<String, String>,
) -> LinkConfig {
    LinkConfig {
        listen: checker.address("fleet.link.listen", &raw.listen),
        peers: peers(raw, gateways, number, checker),
        secrets: secrets(&raw.secret_file, checker, open),
        unreachable_after_ms: milliseconds(
            checker,
            "fleet.link.silence_ms",
            raw.silence_ms,
            &UNREACHABLE_AFTER_MS,
        ),
        fleet: raw.fleet.clone().unwrap_or_else(|| "doorcourse".into()),
    }
}

/// Checks `fleet.link.peers` and returns the addresses of the other gateways.
fn peers(
    raw: &raw::Link, gateways: u32, number: u32, checker: &mut Checker<'_>,
) -> BTreeMap<u32, SocketAddr> {
    let mut peers = BTreeMap::new();
    let mut seen_numbers = BTreeSet::new();
    let mut seen_addresses = HashMap::new();
    for (index, peer) in raw.peers.iter().enumerate() {
        let path = |field: &str| format!("fleet.link.peers[{index}].{field}");
        let address = checker.address(&path("address"), &peer.address);
        if peer.number >= gateways {
            let text = format!("{} is not below the number of gateways, {gateways}", peer.number);
            checker.fault(&path("number"), text);
        }
        if !seen_numbers.insert(peer.number) {
            checker.fault(&path("number"), format!("gateway {} is listed twice", peer.number));
        }
        if let Some(other) = seen_addresses.insert(address, peer.number) {
            checker.fault(&path("address"), format!("{address} is already the address of gateway {other}"));
        }
        if peer.number != number {
            peers.insert(peer.number, address);
        }
    }
    peers
}

/// The secrets in a file: its lines without surrounding white space, except empty ones.
fn secrets(
    file: &str, checker: &mut Checker<'_>, open: &dyn Fn(&str) -> Result<String, String>,
) -> Vec<Vec<u8>> {
    let path = "fleet.link.secret_file";
    if file.is_empty() {
        checker.fault(path, "a file name is required");
        return Vec::new();
    }
    let text = match open(file) {
        Ok(text) => text,
        Err(error) => {
            checker.fault(path, format!("{file}: {error}"));
            return Vec::new();
        }
    };
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let secrets: Vec<Vec<u8>> = lines.map(|line| line.as_bytes().to_vec()).collect();
    let too_short = secrets.iter().any(|secret| secret.len() < MIN_SECRET_BYTES);
    if !(1..=MAX_SECRETS).contains(&secrets.len()) || too_short {
        let text =
            format!("1 to {MAX_SECRETS} lines are required, each of at least {MIN_SECRET_BYTES} bytes");
        checker.fault(path, text);
    }
    secrets
}

/// Checks `leases`.
pub(crate) fn leases(
    raw: &raw::Leases, link: Option<&LinkConfig>, number: u32, checker: &mut Checker<'_>,
) -> LeaseConfig {
    let gateways: BTreeSet<u32> =
        link.iter().flat_map(|link| link.peers.keys().copied()).chain([number]).collect();
    if link.is_none() {
        checker.fault("leases", "leases need a link between the gateways: set fleet.link");
    }
    let lease_duration_ms = milliseconds(checker, "leases.length_ms", raw.length_ms, &LEASE_DURATION_MS);
    let drift = raw.drift_ppm.unwrap_or(CLOCK_DRIFT_PPM_DEFAULT);
    let clock_drift_ppm = checker.integer("leases.drift_ppm", drift.into(), CLOCK_DRIFT_PPM_RANGE);
    let voters = voters(raw, &gateways, checker);
    let outlier_gossip = raw.suspects.as_ref().map(|raw| outlier_gossip(raw, lease_duration_ms, checker));
    let tasks = tasks(&raw.tasks, outlier_gossip.is_some(), lease_duration_ms, checker);
    LeaseConfig { lease_duration_ms, clock_drift_ppm, voters, tasks, outlier_gossip }
}

/// The voters of this version and of the previous one. All gateways vote if the settings name no voters.
fn voters(raw: &raw::Leases, gateways: &BTreeSet<u32>, checker: &mut Checker<'_>) -> VoterConfiguration {
    let named = distinct_gateways("voters", &raw.voters, Some(gateways), checker);
    // A previous voter may have left the fleet, so these need not be among the peers.
    let previous_voters = distinct_gateways("voters_before", &raw.voters_before, None, checker);
    let voters = if named.is_empty() { gateways.clone() } else { named };
    let version = raw.voters_version;
    if (version == 0) != previous_voters.is_empty() {
        checker.fault(
            "leases.voters_before",
            "the voters of the previous version are required above version 0, and only there",
        );
    } else if version > 0 && previous_voters.symmetric_difference(&voters).count() > 1 {
        checker.fault("leases.voters", "only one voter may be added or removed per version");
    }
    VoterConfiguration { version, voters, previous_voters }
}

/// The gateways in a list. Each may be listed once and, if `known` is given, must be one of these.
fn distinct_gateways(
    field: &str, numbers: &[u32], known: Option<&BTreeSet<u32>>, checker: &mut Checker<'_>,
) -> BTreeSet<u32> {
    let mut gateways = BTreeSet::new();
    for (index, number) in numbers.iter().enumerate() {
        let path = format!("leases.{field}[{index}]");
        if known.is_some_and(|known| !known.contains(number)) {
            checker.fault(&path, format!("gateway {number} is not among fleet.link.peers"));
        }
        if !gateways.insert(*number) {
            checker.fault(&path, format!("gateway {number} is listed twice"));
        }
    }
    gateways
}

/// Checks `leases.suspects`. The timeout of a probe is at most half a lease.
fn outlier_gossip(
    raw: &raw::Suspects, lease_duration_ms: u64, checker: &mut Checker<'_>,
) -> OutlierGossipConfig {
    let path = |field: &str| format!("leases.suspects.{field}");
    // At least the minimum: otherwise a lease duration below its range, which is a fault of its own, would make the
    // default timeout a second fault.
    let half_lease = (lease_duration_ms / 2).max(10) as f64;
    let timeout = Setting {
        default: (half_lease / 2.0).clamp(MIN_PROBE_TIMEOUT_MS, MAX_DEFAULT_PROBE_TIMEOUT_MS),
        range: MIN_PROBE_TIMEOUT_MS..=half_lease.min(MAX_PROBE_TIMEOUT_MS),
    };
    OutlierGossipConfig {
        probe_interval_ms: milliseconds(checker, &path("every_ms"), raw.every_ms, &PROBE_INTERVAL_MS),
        probe_timeout_ms: milliseconds(checker, &path("timeout_ms"), raw.timeout_ms, &timeout),
        max_outlier_fraction: number(checker, &path("share"), raw.share, &MAX_OUTLIER_FRACTION),
        retention_ms: milliseconds(checker, &path("keep_ms"), raw.keep_ms, &RETENTION_MS),
        affects_decisions: raw.apply.unwrap_or(true),
    }
}

/// The names and ids that tasks already have.
#[derive(Default)]
struct TakenNames {
    names: HashSet<String>,
    by_id: HashMap<TaskId, String>,
}

/// Checks `leases.tasks`.
fn tasks(
    raw: &[raw::Task], with_probes: bool, lease_duration_ms: u64, checker: &mut Checker<'_>,
) -> Vec<TaskConfig> {
    let mut taken = TakenNames::default();
    if with_probes {
        taken.names.insert(OUTLIER_PROBE_TASK.to_owned());
        taken.by_id.insert(task_of(OUTLIER_PROBE_TASK), OUTLIER_PROBE_TASK.to_owned());
    }
    if raw.len() > MAX_TASKS {
        checker.fault("leases.tasks", format!("{} tasks: at most {MAX_TASKS} are allowed", raw.len()));
    }
    let tasks = raw.iter().enumerate();
    tasks.map(|(index, raw)| task(index, raw, lease_duration_ms, &mut taken, checker)).collect()
}

/// Checks one task. A call takes at most half a lease.
fn task(
    index: usize, raw: &raw::Task, lease_duration_ms: u64, taken: &mut TakenNames, checker: &mut Checker<'_>,
) -> TaskConfig {
    let path = |field: &str| format!("leases.tasks[{index}].{field}");
    let name = checker.unique_name(&path("name"), &raw.name, &mut taken.names).to_string();
    let other = taken.by_id.insert(task_of(&name), name.clone()).filter(|other| *other != name);
    if let Some(other) = other {
        checker.fault(&path("name"), format!("`{name}` and `{other}` have the same task id: rename one"));
    }
    let request_path = raw.path.clone().unwrap_or_else(|| "/".into());
    if !request_path.starts_with('/') || request_path.contains([' ', '\r', '\n']) {
        checker.fault(
            &path("path"),
            format!("`{request_path}` must begin with / and contain no space or line break"),
        );
    }
    // At least the minimum: otherwise a lease duration below its range, which is a fault of its own, would make the
    // default duration a second fault.
    let half_lease = (lease_duration_ms / 2).max(1) as f64;
    // A duration in the settings that is below the minimum is raised to it and not rejected.
    let duration = raw.needs_ms.unwrap_or(half_lease / 2.0).max(MIN_CALL_DURATION_MS);
    TaskConfig {
        name,
        address: checker.address(&path("address"), &raw.address),
        path: request_path,
        call_interval_ms: milliseconds(checker, &path("every_ms"), raw.every_ms, &CALL_INTERVAL_MS),
        call_duration_ms: checker.number(&path("needs_ms"), duration, MIN_CALL_DURATION_MS..=half_lease)
            as u64,
    }
}

/// A number in the settings, or its default. A fault is recorded if it is out of range.
fn number(checker: &mut Checker<'_>, path: &str, value: Option<f64>, setting: &Setting) -> f64 {
    checker.number(path, value.unwrap_or(setting.default), setting.range.clone())
}

/// Like [`number`], in whole ms.
fn milliseconds(checker: &mut Checker<'_>, path: &str, value: Option<f64>, setting: &Setting) -> u64 {
    number(checker, path, value, setting) as u64
}
