//! The bad day: what went wrong on many days, on one.

use crate::clients::{Clients, Mood, customers, plan_bounds};
use crate::fleet::{FALL_MULTIPLE, FALL_TIME, Fleet, FleetSpec, GRACE, POLL};
use doorcourse_standins::{Command, CounterFault, Crowd, NodeFault};
use doorcourse_verdict::{Bounds, Event, Report, summary};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a drill is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway's binary.
    pub binary: PathBuf,
    /// The short form, for checks at every landing.
    pub short: bool,
    /// The seed of clients, nodes and gateways.
    pub seed: u64,
    /// Where settings, logs and the traffic record are kept; else they are removed when all rules were kept.
    pub keep: Option<PathBuf>,
}

/// What came of a drill.
#[derive(Debug)]
pub struct Outcome {
    /// The verdict and the figures.
    pub report: Report,
    /// Where the record and the logs are, if they were kept.
    pub folder: Option<PathBuf>,
}

const GATEWAYS: usize = 3;
const NODES: usize = 10;
/// By the bound of docs/design.md: one burst, and a second one after a counter that came back empty.
const BURSTS: f64 = 2.0;
/// The customer that floods: one under a ceiling, by its place in `customers()`.
const FLOODING: usize = 16;
const MOST_UNITS: f64 = 10.0;
/// How much later than its time a client still notices an answer, in ms: what this machine's load may add.
const SLACK: f64 = 150.0;

/// A step of the script: at which part of the day, and what.
type Step = (f64, &'static str, fn(&mut Day) -> anyhow::Result<()>);

struct Day {
    fleet: Fleet,
    mood: Arc<Mutex<Mood>>,
}

impl Day {
    fn mood(&self, change: impl FnOnce(&mut Mood)) {
        change(&mut self.mood.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    }

    fn cell(&self, cell: usize, fault: NodeFault) {
        (0..NODES).filter(|n| n % 2 == cell).for_each(|n| self.fleet.node(n, fault));
    }

    fn gone(&mut self, node: usize) -> anyhow::Result<()> {
        self.fleet.list.change(node, |n| n.present = false)
    }

    /// A node registers as starting, and a moment later it listens.
    fn registered(&mut self, node: usize) -> anyhow::Result<()> {
        let now = self.fleet.clock.now();
        self.fleet.list.change(node, |n| (n.present, n.draining, n.started) = (true, false, Some(now)))
    }
}

const SCRIPT: &[Step] = &[
    (0.08, "a node is killed", |day| {
        day.fleet.node(0, NodeFault::Kill);
        Ok(())
    }),
    (0.11, "", |day| day.gone(0)),
    (0.17, "the node comes back cold", |day| day.registered(0)),
    (0.19, "", |day| {
        day.fleet.node(0, NodeFault::Start { cold: true });
        Ok(())
    }),
    (0.27, "a cell stalls", |day| {
        day.cell(1, NodeFault::Stall(true));
        Ok(())
    }),
    (0.31, "", |day| {
        day.cell(1, NodeFault::Stall(false));
        Ok(())
    }),
    (0.35, "a node drains", |day| day.fleet.list.change(3, |n| n.draining = true)),
    (0.42, "the counter is silent", |day| {
        day.fleet.world.tell(Command::Counter(CounterFault::Silent(true)));
        day.fleet.list.change(3, |n| n.draining = false)
    }),
    (0.50, "the counter is back and empty", |day| {
        day.fleet.world.tell(Command::Counter(CounterFault::Empty));
        day.fleet.world.tell(Command::Counter(CounterFault::Silent(false)));
        Ok(())
    }),
    (0.56, "a gateway is killed", |day| day.fleet.kill_gateway(1)),
    (0.63, "the gateway is back", |day| day.fleet.start_gateway(1)),
    (0.67, "an account floods", |day| {
        day.mood(|m| m.flood = Some((FLOODING, 8.0)));
        Ok(())
    }),
    (0.76, "clients leave, costs are not as declared", |day| {
        day.mood(|m| (m.flood, m.leaving, m.odd_costs) = (None, 0.2, 0.2));
        Ok(())
    }),
    (0.84, "little patience, nodes that misbehave", |day| {
        day.mood(|m| (m.leaving, m.odd_costs, m.patience) = (0.0, 0.04, 0.33));
        day.fleet.node(2, NodeFault::Reset(0.3));
        day.fleet.node(4, NodeFault::Malformed(0.3));
        day.fleet.node(5, NodeFault::Oversize(20_000));
        day.fleet.node(6, NodeFault::Refuse(true));
        day.fleet.node(7, NodeFault::Slow(6.0));
        day.fleet.node(8, NodeFault::Claim(100.0));
        Ok(())
    }),
    (0.93, "all is well again", |day| {
        day.mood(|m| *m = Mood::default());
        day.fleet.node(2, NodeFault::Reset(0.0));
        day.fleet.node(4, NodeFault::Malformed(0.0));
        day.fleet.node(5, NodeFault::Oversize(0));
        day.fleet.node(6, NodeFault::Refuse(false));
        day.fleet.node(7, NodeFault::Slow(1.0));
        Ok(())
    }),
];

/// Plays the bad day and judges it.
///
/// # Errors
/// When the fleet cannot be started; a broken rule is no error but in the report.
pub fn bad_day(options: &Options) -> anyhow::Result<Outcome> {
    let length = if options.short { 15_000.0 } else { 90_000.0 };
    let folder = options.keep.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("doorcourse-drill-{}-{}", std::process::id(), options.seed))
    });
    let spec = FleetSpec {
        binary: options.binary.clone(),
        folder: folder.clone(),
        gateways: GATEWAYS,
        nodes: NODES,
        seed: options.seed,
        warm: if options.short { 3000.0 } else { 12_000.0 },
        customers: customers(),
    };
    let fleet = Fleet::start(spec)?;
    let recorder = fleet.recorder.clone();
    recorder.write(Event::Bounds(Bounds {
        plans: plan_bounds(),
        answer_slack: SLACK,
        drain_grace: POLL + GRACE,
        bursts: BURSTS,
        most_units: MOST_UNITS,
        fall_multiple: FALL_MULTIPLE,
        fall_time: FALL_TIME,
    }));
    recorder.write(Event::Phase { name: "steady".into() });
    let clock = fleet.clock;
    let start = clock.now();
    let mood = Arc::new(Mutex::new(Mood::default()));
    let mut clients = Clients::new(options.seed, GATEWAYS, Arc::clone(&mood), start)?;
    let mut crowd = Crowd::new(clock, Arc::clone(&fleet.addresses), Some(recorder.clone()), 2.0 * SLACK)?;
    let crowd = std::thread::Builder::new().name("clients".into()).spawn(move || crowd.run(&mut clients))?;
    let mut day = Day { fleet, mood };
    let mut played = Ok(());
    for (part, name, step) in SCRIPT {
        std::thread::sleep(clock.until(start + part * length));
        if !name.is_empty() {
            recorder.write(Event::Phase { name: (*name).into() });
        }
        played = step(&mut day);
        if played.is_err() {
            break;
        }
    }
    if played.is_ok() {
        std::thread::sleep(clock.until(start + length));
    }
    day.mood(|m| m.over = true);
    let ended = crowd.join().map_err(|_| anyhow::anyhow!("the clients' thread broke down"))?;
    // What nodes write last may come behind the clients' last word.
    std::thread::sleep(Duration::from_millis(50));
    played?;
    ended?;
    let records = recorder.records();
    let report = summary(&records);
    drop(day);
    let keep = options.keep.is_some() || !report.kept;
    if keep {
        recorder.save(&folder.join("traffic.jsonl"))?;
    } else {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(Outcome { report, folder: if keep { Some(folder) } else { None } })
}
