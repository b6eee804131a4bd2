//! The drill `lease-holder-lost`: processes of this program that hold tasks in turn, their datagrams led through a relay,
//! faults between them at seeded moments, and a verdict from what two witnesses recorded of each act alone.

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

/// The lease in ms of a drill: short, so that it sees many holders, and long beside what a busy machine holds a process up.
pub const LEASE_MS: f64 = 500.0;
/// How long a call takes with its effect, and how long the effect takes at most, in ms.
const NEEDS: f64 = 100.0;
const WORK: f64 = 40.0;
/// What is called: by the kind of its witness.
const TASKS: [&str; 2] = ["fenced", "timed"];
/// After all faults are over, each task is done again within so many leases.
const AGAIN: f64 = 12.0;

/// How the drill is played.
#[derive(Clone, Debug)]
pub struct LeaseDrillOptions {
    /// The gateway's binary.
    pub binary: PathBuf,
    /// Where settings and logs lie.
    pub folder: PathBuf,
    /// How many gateways: 3 to 9.
    pub gateways: usize,
    /// How many faults.
    pub faults: usize,
    /// The seed of all chance.
    pub seed: u64,
    /// Tasks beside the two that are acted on: they are held and renewed, and hardly ever called.
    pub additional_tasks: usize,
    /// The lease in ms.
    pub lease_ms: f64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct LeaseDrillOutcome {
    /// Every rule that was broken.
    pub violations: Vec<String>,
    /// What was done, in order.
    pub log: Vec<String>,
    /// Acts that took place and that were refused, by witness.
    pub accepted: [usize; 2],
    /// See `accepted`.
    pub rejected: [usize; 2],
    /// How many gateways held each task in turn.
    pub holders: [usize; 2],
    /// Ms between the last act of a holder and the first of the next, in order of size.
    pub gaps_ms: Vec<f64>,
    /// Datagrams and bytes a second that the gateways sent each other.
    pub datagrams_per_s: f64,
    /// See `datagrams`.
    pub bytes_per_s: f64,
}

/// Kills the holder of a task so many times in a fleet that is well, and tells how long nobody acted then, in ms and in order
/// of size. Each comes back, and is given time to vote again.
///
/// # Errors
/// When processes cannot be started or do not come to serve.
pub fn measure_failover_times(options: &LeaseDrillOptions, times: usize) -> anyhow::Result<Vec<f64>> {
    let (mut play, mut held, mut spans) =
        (Play::start_all(options)?, LeaseDrillOutcome::default(), Vec::new());
    play.wait_for_acts("at the start", &mut held);
    for _ in 0..times {
        play.pass(2.0);
        let holder = play.holder(0).context("nobody acts")?;
        play.kill(holder);
        let at = play.clock.now();
        let limit = at + 20.0 * options.lease_ms;
        while play.holder(0) == Some(holder) {
            anyhow::ensure!(play.clock.now() < limit, "nobody follows gateway {holder}");
            std::thread::sleep(Duration::from_millis(1));
        }
        spans.push(play.clock.now() - at);
        play.start(holder)?;
    }
    spans.sort_by(f64::total_cmp);
    Ok(spans)
}

/// What leases cost a fleet that is well.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCost {
    /// Datagrams and bytes a second that one gateway sends.
    pub datagrams_per_s: f64,
    /// See `datagrams`.
    pub bytes_per_s: f64,
    /// The share of one processor that one gateway takes.
    pub cpu_share: f64,
    /// Tasks that are held by somebody at the end.
    pub held_tasks: usize,
}

/// Measures a fleet that is well for some seconds, once every task is held.
///
/// # Errors
/// When processes cannot be started or do not come to serve.
pub fn measure_lease_cost(options: &LeaseDrillOptions, seconds: f64) -> anyhow::Result<LeaseCost> {
    let play = Play::start_all(options)?;
    let tasks = options.additional_tasks + TASKS.len();
    let held = |play: &Play| {
        let one = |at| play.call(at, "leases").map_or(0, |told| held_in(&told));
        (0..options.gateways).map(one).sum::<usize>()
    };
    let until = play.clock.now() + 10.0 * options.lease_ms + 10_000.0;
    while held(&play) < tasks && play.clock.now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    // A lease goes by before it counts: who lost the race asks no more then.
    std::thread::sleep(Duration::from_secs_f64(options.lease_ms / 1000.0));
    let (before, ticks, began) = (play.relay.counts(), play.ticks(), play.clock.now());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let (after, later, span) = (play.relay.counts(), play.ticks(), (play.clock.now() - began) / 1000.0);
    let each = options.gateways as f64 * span;
    let second = rustix::param::clock_ticks_per_second() as f64;
    Ok(LeaseCost {
        datagrams_per_s: (after.0 - before.0) as f64 / each,
        bytes_per_s: (after.1 - before.1) as f64 / each,
        cpu_share: (later - ticks) as f64 / second / each,
        held_tasks: held(&play),
    })
}

fn held_in(told: &Value) -> usize {
    told["tasks"].as_array().map_or(0, |tasks| tasks.iter().filter(|t| t["here"] == "held").count())
}

struct Play {
    options: LeaseDrillOptions,
    world: EmulatorServer,
    relay: Relay,
    witnesses: [TaskEndpoint; 2],
    gateways: Vec<Option<Child>>,
    /// The list of voters in the settings: version, now, before.
    voters: (u64, BTreeSet<usize>, BTreeSet<usize>),
    clock: Clock,
    began: f64,
    told: Vec<String>,
}

/// Plays it once.
///
/// # Errors
/// When processes cannot be started or do not come to serve.
pub fn run_lease_drill(options: &LeaseDrillOptions) -> anyhow::Result<LeaseDrillOutcome> {
    let mut play = Play::start_all(options)?;
    let clock = play.clock;
    let mut held = LeaseDrillOutcome::default();
    play.wait_for_acts("at the start", &mut held);
    let mut dice = ChaCha8Rng::seed_from_u64(options.seed);
    for _ in 0..options.faults {
        play.fault(&mut dice)?;
        play.pass(dice.random_range(0.4..2.5));
        // A build with `pause-before-write` stops itself between check and write: it is resumed after others have moved on.
        play.wake()?;
    }
    play.heal()?;
    play.wait_for_acts("after all faults", &mut held);
    let ((datagrams, bytes), seconds) = (play.relay.counts(), (clock.now() - play.began) / 1000.0);
    (held.datagrams_per_s, held.bytes_per_s) = (datagrams as f64 / seconds, bytes as f64 / seconds);
    for (at, witness) in play.witnesses.iter().enumerate() {
        let all = witness.acts();
        held.violations.extend(check_acts(&all, !witness.checks_tokens()));
        let mut good: Vec<&Act> = all.iter().filter(|a| a.accepted).collect();
        good.sort_by(|a, b| a.begin.total_cmp(&b.begin));
        (held.accepted[at], held.rejected[at]) = (good.len(), all.len() - good.len());
        let changes: Vec<f64> =
            good.windows(2).filter(|p| p[0].token != p[1].token).map(|p| p[1].begin - p[0].begin).collect();
        held.holders[at] = changes.len() + 1;
        held.gaps_ms.extend(changes);
        let path = options.folder.join(format!("{}.jsonl", TASKS[at]));
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for act in &all {
            serde_json::to_writer(&mut file, act)?;
            file.write_all(b"\n")?;
        }
    }
    held.gaps_ms.sort_by(f64::total_cmp);
    held.log = std::mem::take(&mut play.told);
    Ok(held)
}

impl Play {
    fn start_all(options: &LeaseDrillOptions) -> anyhow::Result<Self> {
        anyhow::ensure!((3..=9).contains(&options.gateways), "3 to 9 gateways are wanted");
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
        let world = EmulatorServer::start(&spec, clock, Recorder::disabled(clock))?;
        let witness = |at: usize| TaskEndpoint::start(at == 0, WORK, options.seed ^ at as u64);
        let mut play = Self {
            world,
            relay: Relay::start(options.gateways, options.seed)?,
            witnesses: [witness(0)?, witness(1)?],
            gateways: (0..options.gateways).map(|_| None).collect(),
            voters: (0, (0..options.gateways).collect(), BTreeSet::new()),
            clock,
            began: clock.now(),
            told: Vec::new(),
            options: options.clone(),
        };
        (0..options.gateways).try_for_each(|at| play.start(at))?;
        Ok(play)
    }

    /// Clock ticks of processor that all gateways have taken.
    fn ticks(&self) -> u64 {
        let one = |child: &Child| {
            let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
            // Behind the name, which may hold anything, user and system time are the 12th and 13th.
            let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let field = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or_default();
            field(11) + field(12)
        };
        self.gateways.iter().flatten().map(one).sum()
    }

    fn tell(&mut self, what: String) {
        self.told.push(format!("{:>7.0} ms  {what}", self.clock.now() - self.began));
    }

    fn pass(&self, leases: f64) {
        std::thread::sleep(Duration::from_secs_f64(leases * self.options.lease_ms / 1000.0));
    }

    // ---- Processes ----

    fn settings(&self, number: usize) -> anyhow::Result<PathBuf> {
        let counter = self.world.counter_address.context("the counter has no address")?;
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
        for (task, witness) in TASKS.iter().zip(&self.witnesses) {
            let address = witness.address();
            text.push_str(&format!(
                "tasks {{ name: \"{task}\" address: \"{address}\" every_ms: 15 needs_ms: {NEEDS} }} "
            ));
        }
        let address = self.witnesses[0].address();
        for at in 0..self.options.additional_tasks {
            text.push_str(&format!(
                "tasks {{ name: \"more-{at}\" address: \"{address}\" every_ms: 86400000 needs_ms: {NEEDS} }} "
            ));
        }
        text.push_str("}\n");
        for class in CLASSES {
            let (name, aim, give_up, effect) = (class.name, class.aim, class.give_up, class.effect());
            text.push_str(&format!(
                "classes {{ name: \"{name}\" aim_ms: {aim} give_up_ms: {give_up} {effect}"
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

    fn start(&mut self, at: usize) -> anyhow::Result<()> {
        let settings = self.settings(at)?;
        // What a killed process left in the way.
        let _ = std::fs::remove_file(self.options.folder.join(format!("g{at}.sock")));
        let mut child = Command::new(&self.options.binary)
            .args(["serve", "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| self.options.binary.display().to_string())?;
        let log = self.options.folder.join(format!("g{at}.log"));
        let lines = BufReader::new(child.stderr.take().context("a gateway without a log")?);
        let (told, link) = mpsc::channel();
        std::thread::spawn(move || {
            let file = std::fs::OpenOptions::new().create(true).append(true).open(log);
            let Ok(mut file) = file else { return };
            for line in lines.lines().map_while(Result::ok) {
                let _ = writeln!(file, "{line}");
                let json: Value = serde_json::from_str(&line).unwrap_or_default();
                let address = json["address"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
                if let Some(address) = address.filter(|_| json["message"] == "link up") {
                    let _ = told.send(address);
                }
            }
        });
        let Ok(link) = link.recv_timeout(Duration::from_secs(20)) else {
            let _ = child.kill();
            let _ = child.wait();
            anyhow::bail!("gateway {at} did not come up; see its log in {}", self.options.folder.display());
        };
        self.relay.set_destination(at, link);
        self.gateways[at] = Some(child);
        Ok(())
    }

    fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.gateways[at].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, at: usize, signal: Signal) -> anyhow::Result<()> {
        if let Some(child) = &self.gateways[at] {
            kill_process(Pid::from_child(child), signal)?;
        }
        Ok(())
    }

    fn call(&self, at: usize, method: &str) -> anyhow::Result<Value> {
        let mut stream = UnixStream::connect(self.options.folder.join(format!("g{at}.sock")))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(format!("{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"{method}\"}}\n").as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(serde_json::from_str::<Value>(&line)?["result"].clone())
    }

    /// Who acted last for a task, by its witness.
    fn holder(&self, task: usize) -> Option<usize> {
        let acts = self.witnesses[task].acts();
        acts.iter().rev().find(|a| a.accepted).map(|a| a.gateway as usize)
    }

    fn wait_for_acts(&mut self, when: &str, held: &mut LeaseDrillOutcome) {
        let before: Vec<usize> =
            self.witnesses.iter().map(|w| w.acts().iter().filter(|a| a.accepted).count()).collect();
        let until = self.clock.now() + AGAIN * self.options.lease_ms + 2000.0;
        let mut turns = 0;
        for (at, before) in before.into_iter().enumerate() {
            while self.witnesses[at].acts().iter().filter(|a| a.accepted).count() <= before {
                if self.clock.now() > until {
                    held.violations.push(format!("{}: nobody acts {when}", TASKS[at]));
                    break;
                }
                std::thread::sleep(Duration::from_millis(5));
                turns += 1;
                if turns % 100 == 0 {
                    let _ = self.wake();
                }
            }
        }
    }

    // ---- Faults ----

    fn fault(&mut self, dice: &mut ChaCha8Rng) -> anyhow::Result<()> {
        let count = self.options.gateways;
        let holder = self.holder(dice.random_range(0..2)).unwrap_or(0);
        let minority: Vec<usize> = (0..count).filter(|at| at % 2 == 1 && *at != holder).collect();
        match dice.random_range(0..14) {
            0 | 1 => {
                self.tell(format!("holder {holder} killed"));
                self.kill(holder);
                self.pass(dice.random_range(0.0..2.0));
                self.start(holder)?;
            }
            2..=4 => {
                let span = dice.random_range(1.0..5.0);
                self.tell(format!("holder {holder} stopped for {span:.1} leases"));
                self.signal(holder, Signal::STOP)?;
                self.pass(span);
                self.signal(holder, Signal::CONT)?;
            }
            12 | 13 => {
                // Sent in time and there too late: only the token or the deadline can tell.
                let span = dice.random_range(1.0..4.0);
                self.tell(format!(
                    "holder {holder}'s calls held up on their way for {span:.1} leases, and it is killed"
                ));
                self.witnesses.iter().for_each(|w| w.delay_calls(60.0, span * self.options.lease_ms));
                std::thread::sleep(Duration::from_millis(60));
                self.kill(holder);
                self.pass(dice.random_range(0.0..span));
                self.start(holder)?;
            }
            5 => {
                self.tell(format!("holder {holder} cut off"));
                self.relay.update_links(|a, b| a == holder || b == holder, |way| way.cut = true);
                self.pass(dice.random_range(0.5..3.0));
                self.relay.update_links(|_, _| true, |way| way.cut = false);
            }
            6 => {
                let inward = dice.random_bool(0.5);
                self.tell(format!("holder {holder} cut off {}", if inward { "inwards" } else { "outwards" }));
                self.relay.update_links(
                    |a, b| if inward { b == holder } else { a == holder },
                    |way| way.cut = true,
                );
                self.pass(dice.random_range(0.5..3.0));
                self.relay.update_links(|_, _| true, |way| way.cut = false);
            }
            7 => {
                self.tell("a third lost, delays, doubles".into());
                let rough = LinkFaults {
                    cut: false,
                    loss: 0.3,
                    duplication: 0.1,
                    max_delay_ms: self.options.lease_ms / 8.0,
                };
                self.relay.update_links(|_, _| true, |way| *way = rough);
                self.pass(dice.random_range(2.0..5.0));
                self.relay.update_links(|_, _| true, |way| *way = LinkFaults::NONE);
            }
            8 => self.restart(&minority, "a minority")?,
            9 => {
                let majority: Vec<usize> = (0..=count / 2).map(|at| (holder + at) % count).collect();
                self.restart(&majority, "a majority")?;
            }
            10 => self.restart(&(0..count).collect::<Vec<_>>(), "all")?,
            _ => self.change_voters(dice)?,
        }
        Ok(())
    }

    fn restart(&mut self, which: &[usize], what: &str) -> anyhow::Result<()> {
        self.tell(format!("{what} killed and started: {which:?}"));
        which.iter().for_each(|at| self.kill(*at));
        which.iter().try_for_each(|at| self.start(*at))
    }

    /// One voter is added or removed, and the gateways read the settings one behind the other; only once a majority of the
    /// list before votes by it, as the operators' page says.
    fn change_voters(&mut self, dice: &mut ChaCha8Rng) -> anyhow::Result<()> {
        let votes = |at: &&usize| {
            let told = self.call(**at, "leases").unwrap_or_default();
            told["votes"] == true && told["voters_version"] == self.voters.0
        };
        if self.voters.1.iter().filter(votes).count() * 2 <= self.voters.1.len() {
            self.tell("voters stay: the last list is not in force yet".into());
            return Ok(());
        }
        let mut next = self.voters.1.clone();
        let number = dice.random_range(0..self.options.gateways);
        if !next.remove(&number) || next.len() < 3 {
            next.insert(number);
        }
        if next == self.voters.1 {
            return Ok(());
        }
        self.tell(format!("voters from {:?} to {next:?}, one gateway after the other", self.voters.1));
        self.voters = (self.voters.0 + 1, next, self.voters.1.clone());
        for at in 0..self.options.gateways {
            self.settings(at)?;
            self.signal(at, Signal::HUP)?;
            self.pass(dice.random_range(0.0..0.4));
        }
        Ok(())
    }

    fn wake(&self) -> anyhow::Result<()> {
        (0..self.options.gateways).try_for_each(|at| self.signal(at, Signal::CONT))
    }

    fn heal(&mut self) -> anyhow::Result<()> {
        self.tell("all is well again".into());
        self.relay.update_links(|_, _| true, |way| *way = LinkFaults::NONE);
        for at in 0..self.options.gateways {
            if self.gateways[at].is_none() {
                self.start(at)?;
            }
        }
        Ok(())
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        for mut child in self.gateways.iter_mut().filter_map(Option::take) {
            // One that is stopped cannot be told anything else.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
