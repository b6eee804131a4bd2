//! The drill `lease-holder-lost`: gateway processes that hold the leases of tasks and exchange datagrams through a relay.
//! Faults are injected at random times from a seed. The rules are checked only from the acts that two task endpoints
//! recorded.

use crate::clients::{CLASSES, PLANS};
use anyhow::Context;
use doorcourse_conformance::{Act, check_acts};
use doorcourse_emulators::{
    CATALOGUE, EmulatorServer, EmulatorServerSpec, LinkFaults, Recorder, Relay, TaskEndpoint,
};
use doorcourse_event_loop::Clock;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Lease of the drill: short, so that a run sees many holders, and long compared with the time that a busy machine delays
/// a process.
pub const LEASE_MS: f64 = 500.0;
/// Time that a call with its effect may take.
const CALL_TIME_MS: f64 = 100.0;
/// Longest duration of the effect of a call.
const MAX_EFFECT_MS: f64 = 40.0;
/// The tasks, named after the kind of their endpoint: `fenced` checks tokens, `timed` checks deadlines.
const TASKS: [&str; 2] = ["fenced", "timed"];
/// Number of leases within which each task must run again after the last fault.
const RECOVERY_LEASES: f64 = 12.0;

/// Options of the lease drill.
#[derive(Clone, Debug)]
pub struct LeaseDrillOptions {
    /// The gateway's binary.
    pub binary: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Number of gateways, 3 to 9.
    pub gateways: usize,
    /// Number of faults.
    pub faults: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of tasks besides the two that are checked: their leases are held and renewed, but they hardly ever run.
    pub additional_tasks: usize,
    /// Lease in ms.
    pub lease_ms: f64,
}

/// Result of the lease drill.
#[derive(Clone, Debug, Default)]
pub struct LeaseDrillOutcome {
    /// Descriptions of all violations.
    pub violations: Vec<String>,
    /// Log of the injected faults, in order.
    pub log: Vec<String>,
    /// Number of accepted acts, by endpoint.
    pub accepted: [usize; 2],
    /// Number of rejected acts, by endpoint.
    pub rejected: [usize; 2],
    /// Number of successive holders of each task.
    pub holders: [usize; 2],
    /// Times from the last act of a holder to the first act of the next one, in ms, sorted.
    pub gaps_ms: Vec<f64>,
    /// Datagrams per second that all gateways sent each other.
    pub datagrams_per_s: f64,
    /// Bytes per second that all gateways sent each other.
    pub bytes_per_s: f64,
}

/// Kills the holder of a task `count` times in an otherwise healthy fleet and returns the times until the next holder acts,
/// in ms, sorted. After each kill the gateway is restarted and gets time to vote again.
///
/// # Errors
/// Fails when a process cannot be started or does not begin to serve.
pub fn measure_failover_times(options: &LeaseDrillOptions, count: usize) -> anyhow::Result<Vec<f64>> {
    let (mut drill, mut outcome, mut times_ms) =
        (LeaseDrill::start(options)?, LeaseDrillOutcome::default(), Vec::new());
    drill.wait_for_acts("at the start", &mut outcome);
    for _ in 0..count {
        drill.wait_leases(2.0);
        let holder = drill.last_holder(0).context("no gateway acts")?;
        drill.kill_gateway(holder);
        let killed_at = drill.clock.now();
        let deadline = killed_at + 20.0 * options.lease_ms;
        while drill.last_holder(0) == Some(holder) {
            anyhow::ensure!(drill.clock.now() < deadline, "no gateway takes over from gateway {holder}");
            std::thread::sleep(Duration::from_millis(1));
        }
        times_ms.push(drill.clock.now() - killed_at);
        drill.start_gateway(holder)?;
    }
    times_ms.sort_by(f64::total_cmp);
    Ok(times_ms)
}

/// Cost of leases in a healthy fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCost {
    /// Datagrams per second that one gateway sends.
    pub datagrams_per_s: f64,
    /// Bytes per second that one gateway sends.
    pub bytes_per_s: f64,
    /// Share of one processor that one gateway uses.
    pub cpu_share: f64,
    /// Number of tasks that are held by a gateway at the end.
    pub held_tasks: usize,
}

/// Measures a healthy fleet for some seconds once every task is held.
///
/// # Errors
/// Fails when a process cannot be started or does not begin to serve.
pub fn measure_lease_cost(options: &LeaseDrillOptions, seconds: f64) -> anyhow::Result<LeaseCost> {
    let drill = LeaseDrill::start(options)?;
    let tasks = options.additional_tasks + TASKS.len();
    let count_held = |drill: &LeaseDrill| {
        let held_by = |gateway| drill.call(gateway, "leases").map_or(0, |status| count_held_tasks(&status));
        (0..options.gateways).map(held_by).sum::<usize>()
    };
    let deadline = drill.clock.now() + 10.0 * options.lease_ms + 10_000.0;
    while count_held(&drill) < tasks && drill.clock.now() < deadline {
        std::thread::sleep(Duration::from_millis(100));
    }
    // Waits for one lease, after which gateways that were not elected no longer ask for votes.
    std::thread::sleep(Duration::from_secs_f64(options.lease_ms / 1000.0));
    let (counts_before, ticks_before, started_at) =
        (drill.relay.counts(), drill.cpu_ticks(), drill.clock.now());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let (counts_after, ticks_after, seconds_passed) =
        (drill.relay.counts(), drill.cpu_ticks(), (drill.clock.now() - started_at) / 1000.0);
    let gateway_seconds = options.gateways as f64 * seconds_passed;
    let ticks_per_s = rustix::param::clock_ticks_per_second() as f64;
    Ok(LeaseCost {
        datagrams_per_s: (counts_after.0 - counts_before.0) as f64 / gateway_seconds,
        bytes_per_s: (counts_after.1 - counts_before.1) as f64 / gateway_seconds,
        cpu_share: (ticks_after - ticks_before) as f64 / ticks_per_s / gateway_seconds,
        held_tasks: count_held(&drill),
    })
}

/// Returns the number of tasks that a gateway holds, from its answer to `leases`.
fn count_held_tasks(status: &Value) -> usize {
    status["tasks"].as_array().map_or(0, |tasks| tasks.iter().filter(|t| t["here"] == "held").count())
}

/// A running lease drill.
struct LeaseDrill {
    options: LeaseDrillOptions,
    emulators: EmulatorServer,
    relay: Relay,
    endpoints: [TaskEndpoint; 2],
    gateways: Vec<Option<Child>>,
    /// The voters in the settings: version, current voters, previous voters.
    voters: (u64, BTreeSet<usize>, BTreeSet<usize>),
    clock: Clock,
    started_at: f64,
    log: Vec<String>,
}

/// Runs the lease drill once.
///
/// # Errors
/// Fails when a process cannot be started or does not begin to serve.
pub fn run_lease_drill(options: &LeaseDrillOptions) -> anyhow::Result<LeaseDrillOutcome> {
    let mut drill = LeaseDrill::start(options)?;
    let clock = drill.clock;
    let mut outcome = LeaseDrillOutcome::default();
    drill.wait_for_acts("at the start", &mut outcome);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    for _ in 0..options.faults {
        drill.inject_fault(&mut rng)?;
        drill.wait_leases(rng.random_range(0.4..2.5));
        // A build with the feature `pause-before-write` stops itself between the check of the lease and the write. It is
        // resumed here, after the other gateways have gone on.
        drill.resume_all()?;
    }
    drill.end_faults()?;
    drill.wait_for_acts("after all faults", &mut outcome);
    let ((datagrams, bytes), seconds) = (drill.relay.counts(), (clock.now() - drill.started_at) / 1000.0);
    (outcome.datagrams_per_s, outcome.bytes_per_s) = (datagrams as f64 / seconds, bytes as f64 / seconds);
    for (index, endpoint) in drill.endpoints.iter().enumerate() {
        let all = endpoint.acts();
        outcome.violations.extend(check_acts(&all, !endpoint.checks_tokens()));
        let mut accepted: Vec<&Act> = all.iter().filter(|a| a.accepted).collect();
        accepted.sort_by(|a, b| a.begin.total_cmp(&b.begin));
        (outcome.accepted[index], outcome.rejected[index]) = (accepted.len(), all.len() - accepted.len());
        let gaps: Vec<f64> = accepted
            .windows(2)
            .filter(|p| p[0].token != p[1].token)
            .map(|p| p[1].begin - p[0].begin)
            .collect();
        outcome.holders[index] = gaps.len() + 1;
        outcome.gaps_ms.extend(gaps);
        let path = options.folder.join(format!("{}.jsonl", TASKS[index]));
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for act in &all {
            serde_json::to_writer(&mut file, act)?;
            file.write_all(b"\n")?;
        }
    }
    outcome.gaps_ms.sort_by(f64::total_cmp);
    outcome.log = std::mem::take(&mut drill.log);
    Ok(outcome)
}

impl LeaseDrill {
    fn start(options: &LeaseDrillOptions) -> anyhow::Result<Self> {
        anyhow::ensure!((3..=9).contains(&options.gateways), "the number of gateways must be 3 to 9");
        std::fs::create_dir_all(&options.folder).with_context(|| options.folder.display().to_string())?;
        std::fs::write(options.folder.join("catalogue.graphql"), CATALOGUE)?;
        std::fs::write(
            options.folder.join("secret"),
            format!("a drill's secret, of seed {:x}\n", options.seed),
        )?;
        let clock = Clock::default();
        let spec = EmulatorServerSpec {
            nodes: Vec::new(),
            listen: None,
            counter: true,
            password: None,
            seed: options.seed,
            service_time_spread: 0.0,
            speed: 1.0,
            discard_records: true,
        };
        let emulators = EmulatorServer::start(&spec, clock, Recorder::disabled(clock))?;
        let endpoint =
            |index: usize| TaskEndpoint::start(index == 0, MAX_EFFECT_MS, options.seed ^ index as u64);
        let mut drill = Self {
            emulators,
            relay: Relay::start(options.gateways, options.seed)?,
            endpoints: [endpoint(0)?, endpoint(1)?],
            gateways: (0..options.gateways).map(|_| None).collect(),
            voters: (0, (0..options.gateways).collect(), BTreeSet::new()),
            clock,
            started_at: clock.now(),
            log: Vec::new(),
            options: options.clone(),
        };
        (0..options.gateways).try_for_each(|index| drill.start_gateway(index))?;
        Ok(drill)
    }

    /// Returns the processor time of all gateways in clock ticks.
    fn cpu_ticks(&self) -> u64 {
        let ticks_of = |child: &Child| {
            let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
            // The name may contain any character. After it, user and system time are the 12th and 13th field.
            let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let field =
                |index: usize| fields.get(index).and_then(|f| f.parse::<u64>().ok()).unwrap_or_default();
            field(11) + field(12)
        };
        self.gateways.iter().flatten().map(ticks_of).sum()
    }

    fn log_action(&mut self, action: String) {
        self.log.push(format!("{:>7.0} ms  {action}", self.clock.now() - self.started_at));
    }

    /// Sleeps for a number of leases.
    fn wait_leases(&self, leases: f64) {
        std::thread::sleep(Duration::from_secs_f64(leases * self.options.lease_ms / 1000.0));
    }

    // ---- Processes ----

    fn write_settings(&self, number: usize) -> anyhow::Result<PathBuf> {
        let counter = self.emulators.counter_address.context("the counter has no address")?;
        let gateways = self.options.gateways;
        let mut text = format!(
            "fleet {{ gateways: {gateways} number: {number} link {{ listen: \"127.0.0.1:0\" secret_file: \"secret\" \
             silence_ms: 1500 "
        );
        for peer in (0..gateways).filter(|p| *p != number) {
            let address = self.relay.address(number, peer);
            text.push_str(&format!("peers {{ number: {peer} address: \"{address}\" }} "));
        }
        text.push_str(&format!(
            "}} }}\nlisten: \"127.0.0.1:0\"\ncounter {{ address: \"{counter}\" }}\n\
             nodes {{ name: \"n\" address: \"127.0.0.1:9\" }}\ngraphql {{ schema_file: \"catalogue.graphql\" }}\n\
             admin {{ socket: \"g{number}.sock\" }}\nleases {{ length_ms: {} voters_version: {} ",
            self.options.lease_ms, self.voters.0
        ));
        self.voters.1.iter().for_each(|v| text.push_str(&format!("voters: {v} ")));
        self.voters.2.iter().for_each(|v| text.push_str(&format!("voters_before: {v} ")));
        for (task, endpoint) in TASKS.iter().zip(&self.endpoints) {
            let address = endpoint.address();
            text.push_str(&format!(
                "tasks {{ name: \"{task}\" address: \"{address}\" every_ms: 15 needs_ms: {CALL_TIME_MS} }} "
            ));
        }
        let address = self.endpoints[0].address();
        for number in 0..self.options.additional_tasks {
            text.push_str(&format!(
                "tasks {{ name: \"more-{number}\" address: \"{address}\" every_ms: 86400000 needs_ms: {CALL_TIME_MS} }} "
            ));
        }
        text.push_str("}\n");
        for class in CLASSES {
            let (name, target_ms, give_up_ms, effect) =
                (class.name, class.target_ms, class.give_up_ms, class.effect());
            text.push_str(&format!(
                "classes {{ name: \"{name}\" aim_ms: {target_ms} give_up_ms: {give_up_ms} {effect}"
            ));
            class.queries.iter().for_each(|f| text.push_str(&format!(" query_fields: \"{f}\"")));
            class.mutations.iter().for_each(|f| text.push_str(&format!(" mutation_fields: \"{f}\"")));
            text.push_str(" }\n");
        }
        let plan = &PLANS[0];
        text.push_str(&format!("plans {{ name: \"p\" rate: {} burst: {} }}\n", plan.rate, plan.burst));
        let path = self.options.folder.join(format!("g{number}.txtpb"));
        std::fs::write(&path, text)?;
        Ok(path)
    }

    fn start_gateway(&mut self, gateway: usize) -> anyhow::Result<()> {
        let settings = self.write_settings(gateway)?;
        // A killed process leaves its socket behind.
        let _ = std::fs::remove_file(self.options.folder.join(format!("g{gateway}.sock")));
        let mut child = Command::new(&self.options.binary)
            .args(["serve", "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| self.options.binary.display().to_string())?;
        let log = self.options.folder.join(format!("g{gateway}.log"));
        let lines =
            BufReader::new(child.stderr.take().context("the standard error of a gateway is not available")?);
        let (sender, link) = mpsc::channel();
        std::thread::spawn(move || {
            let file = std::fs::OpenOptions::new().create(true).append(true).open(log);
            let Ok(mut file) = file else { return };
            for line in lines.lines().map_while(Result::ok) {
                let _ = writeln!(file, "{line}");
                let json: Value = serde_json::from_str(&line).unwrap_or_default();
                let address = json["address"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
                if let Some(address) = address.filter(|_| json["message"] == "link up") {
                    let _ = sender.send(address);
                }
            }
        });
        let Ok(link) = link.recv_timeout(Duration::from_secs(20)) else {
            let _ = child.kill();
            let _ = child.wait();
            anyhow::bail!(
                "gateway {gateway} did not start; see its log in {}",
                self.options.folder.display()
            );
        };
        self.relay.set_destination(gateway, link);
        self.gateways[gateway] = Some(child);
        Ok(())
    }

    fn kill_gateway(&mut self, gateway: usize) {
        if let Some(mut child) = self.gateways[gateway].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, gateway: usize, signal: Signal) -> anyhow::Result<()> {
        if let Some(child) = &self.gateways[gateway] {
            kill_process(Pid::from_child(child), signal)?;
        }
        Ok(())
    }

    fn call(&self, gateway: usize, method: &str) -> anyhow::Result<Value> {
        let mut stream = UnixStream::connect(self.options.folder.join(format!("g{gateway}.sock")))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(format!("{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"{method}\"}}\n").as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(serde_json::from_str::<Value>(&line)?["result"].clone())
    }

    /// Returns the gateway whose act the endpoint of a task accepted last.
    fn last_holder(&self, task: usize) -> Option<usize> {
        let acts = self.endpoints[task].acts();
        acts.iter().rev().find(|a| a.accepted).map(|a| a.gateway as usize)
    }

    /// Waits until each task has run again; a task that does not run in time is a violation.
    fn wait_for_acts(&mut self, when: &str, outcome: &mut LeaseDrillOutcome) {
        let accepted_before: Vec<usize> =
            self.endpoints.iter().map(|w| w.acts().iter().filter(|a| a.accepted).count()).collect();
        let deadline = self.clock.now() + RECOVERY_LEASES * self.options.lease_ms + 2000.0;
        let mut polls = 0;
        for (task, accepted_before) in accepted_before.into_iter().enumerate() {
            while self.endpoints[task].acts().iter().filter(|a| a.accepted).count() <= accepted_before {
                if self.clock.now() > deadline {
                    outcome.violations.push(format!("{}: no gateway acts {when}", TASKS[task]));
                    break;
                }
                std::thread::sleep(Duration::from_millis(5));
                polls += 1;
                // A build with the feature `pause-before-write` may have stopped itself.
                if polls % 100 == 0 {
                    let _ = self.resume_all();
                }
            }
        }
    }

    // ---- Faults ----

    fn inject_fault(&mut self, rng: &mut ChaCha8Rng) -> anyhow::Result<()> {
        let gateways = self.options.gateways;
        let holder = self.last_holder(rng.random_range(0..2)).unwrap_or(0);
        let minority: Vec<usize> =
            (0..gateways).filter(|gateway| gateway % 2 == 1 && *gateway != holder).collect();
        match rng.random_range(0..14) {
            0 | 1 => {
                self.log_action(format!("holder {holder} killed"));
                self.kill_gateway(holder);
                self.wait_leases(rng.random_range(0.0..2.0));
                self.start_gateway(holder)?;
            }
            2..=4 => {
                let span = rng.random_range(1.0..5.0);
                self.log_action(format!("holder {holder} stopped for {span:.1} leases"));
                self.signal(holder, Signal::STOP)?;
                self.wait_leases(span);
                self.signal(holder, Signal::CONT)?;
            }
            12 | 13 => {
                // The call is sent in time but arrives late, so only the token or the deadline can reject it.
                let span = rng.random_range(1.0..4.0);
                self.log_action(format!(
                    "calls of holder {holder} delayed for {span:.1} leases, and holder killed"
                ));
                self.endpoints.iter().for_each(|w| w.delay_calls(60.0, span * self.options.lease_ms));
                std::thread::sleep(Duration::from_millis(60));
                self.kill_gateway(holder);
                self.wait_leases(rng.random_range(0.0..span));
                self.start_gateway(holder)?;
            }
            5 => {
                self.log_action(format!("holder {holder} cut off"));
                self.relay.update_links(|a, b| a == holder || b == holder, |link| link.cut = true);
                self.wait_leases(rng.random_range(0.5..3.0));
                self.relay.update_links(|_, _| true, |link| link.cut = false);
            }
            6 => {
                let inward = rng.random_bool(0.5);
                self.log_action(format!(
                    "holder {holder} cut off {}",
                    if inward { "inwards" } else { "outwards" }
                ));
                self.relay.update_links(
                    |a, b| if inward { b == holder } else { a == holder },
                    |link| link.cut = true,
                );
                self.wait_leases(rng.random_range(0.5..3.0));
                self.relay.update_links(|_, _| true, |link| link.cut = false);
            }
            7 => {
                self.log_action("30% of datagrams lost, some delayed or duplicated".into());
                let lossy = LinkFaults {
                    cut: false,
                    loss: 0.3,
                    duplication: 0.1,
                    max_delay_ms: self.options.lease_ms / 8.0,
                };
                self.relay.update_links(|_, _| true, |link| *link = lossy);
                self.wait_leases(rng.random_range(2.0..5.0));
                self.relay.update_links(|_, _| true, |link| *link = LinkFaults::NONE);
            }
            8 => self.restart_gateways(&minority, "a minority")?,
            9 => {
                let majority: Vec<usize> =
                    (0..=gateways / 2).map(|offset| (holder + offset) % gateways).collect();
                self.restart_gateways(&majority, "a majority")?;
            }
            10 => self.restart_gateways(&(0..gateways).collect::<Vec<_>>(), "all")?,
            _ => self.change_voters(rng)?,
        }
        Ok(())
    }

    fn restart_gateways(&mut self, gateways: &[usize], group: &str) -> anyhow::Result<()> {
        self.log_action(format!("gateways restarted ({group}): {gateways:?}"));
        gateways.iter().for_each(|gateway| self.kill_gateway(*gateway));
        gateways.iter().try_for_each(|gateway| self.start_gateway(*gateway))
    }

    /// Adds or removes one voter and lets the gateways reload their settings one after the other. As the operators' page
    /// demands, this happens only once a majority of the current voters uses the current list.
    fn change_voters(&mut self, rng: &mut ChaCha8Rng) -> anyhow::Result<()> {
        let uses_latest_list = |gateway: &&usize| {
            let status = self.call(**gateway, "leases").unwrap_or_default();
            status["votes"] == true && status["voters_version"] == self.voters.0
        };
        if self.voters.1.iter().filter(uses_latest_list).count() * 2 <= self.voters.1.len() {
            self.log_action("voters unchanged: the current list is not in force yet".into());
            return Ok(());
        }
        let mut new_voters = self.voters.1.clone();
        let voter = rng.random_range(0..self.options.gateways);
        if !new_voters.remove(&voter) || new_voters.len() < 3 {
            new_voters.insert(voter);
        }
        if new_voters == self.voters.1 {
            return Ok(());
        }
        self.log_action(format!(
            "voters from {:?} to {new_voters:?}, one gateway after the other",
            self.voters.1
        ));
        self.voters = (self.voters.0 + 1, new_voters, self.voters.1.clone());
        for gateway in 0..self.options.gateways {
            self.write_settings(gateway)?;
            self.signal(gateway, Signal::HUP)?;
            self.wait_leases(rng.random_range(0.0..0.4));
        }
        Ok(())
    }

    /// Resumes stopped processes.
    fn resume_all(&self) -> anyhow::Result<()> {
        (0..self.options.gateways).try_for_each(|gateway| self.signal(gateway, Signal::CONT))
    }

    fn end_faults(&mut self) -> anyhow::Result<()> {
        self.log_action("all faults ended".into());
        self.relay.update_links(|_, _| true, |link| *link = LinkFaults::NONE);
        for gateway in 0..self.options.gateways {
            if self.gateways[gateway].is_none() {
                self.start_gateway(gateway)?;
            }
        }
        Ok(())
    }
}

impl Drop for LeaseDrill {
    fn drop(&mut self) {
        for mut child in self.gateways.iter_mut().filter_map(Option::take) {
            // A stopped process reacts to no other signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
