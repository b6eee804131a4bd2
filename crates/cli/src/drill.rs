//! `drill` and `compare`: fault drills and measurements with a small fleet on loopback.

use anyhow::Context;
use clap::Args;
use doorcourse_drill::{
    DRILLS, DrillOptions, LEASE_MS, LeaseDrillOptions, TerminalView, compare, format_recoveries,
    format_report, measure_failover_times, measure_lease_cost, parse_drill, run_drill, run_lease_drill,
};
use serde_json::json;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Inject faults into a small fleet on loopback: gateways of this program, stand-in nodes, a counter and clients.
/// Without a name, list the drills.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  doorcourse drill
  doorcourse drill bad-day --short --seed 3 --json report.json
  doorcourse drill my-own.txtpb --keep folder

Exit code 1 when a rule was broken or an expectation was not met, 2 when the drill is invalid or cannot be run.")]
pub struct Drill {
    /// A built-in drill, or a file in protobuf text format.
    name: Option<String>,
    /// Run the short form of the drill.
    #[arg(long)]
    short: bool,
    /// Show progress while the drill runs, if standard output is a terminal; this is the default.
    #[arg(long)]
    view: bool,
    /// Show no progress, and print only the report.
    #[arg(long, conflicts_with = "view")]
    plain: bool,
    /// The random seed of clients, nodes and gateways.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report, with each request's final response, as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Keep settings, logs and the traffic record in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// `lease-holder-lost`: run this many seeds, counting up from `--seed`, with half as many at once as there are processors.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// `lease-holder-lost`: the number of gateways, 3 to 9.
    #[arg(long, default_value_t = 5)]
    gateways: usize,
    /// `lease-holder-lost`: run no drill but measure, with 5 and 9 gateways, what leases of 3 s cost for 2, 100 and
    /// 1,000 tasks, and how soon another gateway acts after the holder was killed.
    #[arg(long)]
    cost: bool,
}

const LEASE_DRILL: &str = "lease-holder-lost";
const LEASE_DRILL_ABOUT: &str =
    "Each task has one holder at a time while holders are killed, stopped and partitioned.";

pub fn run(drill: &Drill) -> anyhow::Result<ExitCode> {
    let Some(name) = &drill.name else {
        for (name, text) in DRILLS {
            let about = parse_drill(name, text).map_or(String::new(), |d| d.about);
            print_line!("{name:<20} {about}");
        }
        print_line!("{LEASE_DRILL:<20} {LEASE_DRILL_ABOUT}");
        return Ok(ExitCode::SUCCESS);
    };
    if name == LEASE_DRILL {
        return run_lease_drill_seeds(drill);
    }
    let built_in = DRILLS.iter().find(|(n, _)| n == name).map(|(_, text)| (*text).to_owned());
    let text = match built_in {
        Some(text) => text,
        None => std::fs::read_to_string(name)
            .with_context(|| format!("{name}: neither a built-in drill nor a readable file"))?,
    };
    let script = match parse_drill(name, &text) {
        Ok(script) => script,
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{f}"));
            return Ok(ExitCode::from(2));
        }
    };
    let binary = std::env::current_exe().context("cannot find the path of this program")?;
    let options = DrillOptions { binary, short: drill.short, seed: drill.seed, keep: drill.keep.clone() };
    let show_view = (drill.view || !drill.plain) && std::io::stdout().is_terminal();
    let outcome = match show_view {
        false => run_drill(&script, &options, &mut |_, _, _| {})?,
        true => {
            let mut view = TerminalView::start(&script.name, &script.about)?;
            let outcome =
                run_drill(&script, &options, &mut |phase, part, fleet| view.draw(phase, part, fleet));
            drop(view);
            outcome?
        }
    };
    print_text!("{}", format_report(&outcome.report));
    print_text!("{}", format_recoveries(&outcome.recoveries));
    outcome.unmet_expectations.iter().for_each(|m| print_line!("expectation not met: {m}"));
    if let Some(file) = &drill.json {
        let report = json!({"drill": script.name, "seed": drill.seed, "good": outcome.passed(),
            "missed": outcome.unmet_expectations, "report": outcome.report, "recoveries": outcome.recoveries, "answers": outcome.outcomes_by_request()});
        write(file, &serde_json::to_vec_pretty(&report)?)?;
    }
    if let Some(folder) = &outcome.folder {
        print_line!("traffic record and logs: {}", folder.display());
    }
    print_line!(
        "{}",
        match (outcome.report.rules_kept, outcome.unmet_expectations.is_empty()) {
            (true, true) => "every rule was kept",
            (true, false) => "every rule was kept, but an expectation of the drill was not met",
            (false, _) => "a rule was broken",
        }
    );
    Ok(if outcome.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints what leases cost a fleet without faults, and how soon another gateway acts after the holder was killed.
fn print_lease_cost(binary: &Path, folder: &Path, seed: u64) -> anyhow::Result<ExitCode> {
    print_line!("gateways  tasks   held  datagrams/s  kB/s  processor   (one gateway, lease 3 s)");
    for gateways in [5, 9] {
        for tasks in [2, 100, 1000] {
            let folder = folder.join(format!("{gateways}-{tasks}"));
            // The fleet of the lease drill has two tasks of its own.
            let (binary, additional_tasks) = (binary.to_owned(), tasks - 2);
            let options = LeaseDrillOptions {
                binary,
                folder,
                gateways,
                faults: 0,
                seed,
                additional_tasks,
                lease_ms: 3000.0,
            };
            let cost = measure_lease_cost(&options, 6.0)?;
            print_line!(
                "{gateways:>8}  {tasks:>5}  {:>5}  {:>11.1}  {:>4.1}  {:>8.2}%",
                cost.held_tasks,
                cost.datagrams_per_s,
                cost.bytes_per_s / 1000.0,
                cost.cpu_share * 100.0
            );
        }
    }
    for gateways in [5, 9] {
        let (binary, folder) = (binary.to_owned(), folder.join(format!("{gateways}-kills")));
        let options = LeaseDrillOptions {
            binary,
            folder,
            gateways,
            faults: 0,
            seed,
            additional_tasks: 0,
            lease_ms: LEASE_MS,
        };
        let failover_times_ms = measure_failover_times(&options, 30)?;
        let quantile =
            |share: f64| failover_times_ms[((failover_times_ms.len() - 1) as f64 * share).round() as usize];
        print_line!(
            "{gateways} gateways, lease {LEASE_MS:.0} ms, holder killed 30 times: the next holder acts after p50 {:.0} ms, p99 {:.0} ms",
            quantile(0.5),
            quantile(0.99)
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the lease drill for each seed, several in parallel, and prints the violations of each.
fn run_lease_drill_seeds(drill: &Drill) -> anyhow::Result<ExitCode> {
    let binary = std::env::current_exe().context("cannot find the path of this program")?;
    let (is_temporary, folder) = match &drill.keep {
        Some(folder) => (false, folder.clone()),
        None => (true, std::env::temp_dir().join(format!("doorcourse-leases-{}", std::process::id()))),
    };
    if drill.cost {
        return print_lease_cost(&binary, &folder, drill.seed);
    }
    let faults = if drill.short { 6 } else { 16 };
    let seeds: Vec<u64> = (drill.seed..drill.seed + drill.seeds.max(1)).collect();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(1, |n| (n.get() / 2).max(1)).min(seeds.len());
    let outcomes = std::sync::Mutex::new(Vec::new());
    let run_seeds = || {
        while let Some(seed) = seeds.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)) {
            let folder = folder.join(format!("{seed}"));
            let (binary, gateways, seed) = (binary.clone(), drill.gateways, *seed);
            let outcome = run_lease_drill(&LeaseDrillOptions {
                binary,
                folder,
                gateways,
                faults,
                seed,
                additional_tasks: 0,
                lease_ms: LEASE_MS,
            });
            outcomes.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push((seed, outcome));
        }
    };
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(run_seeds))));
    let mut outcomes = outcomes.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    outcomes.sort_by_key(|(seed, _)| *seed);
    let (mut failed_seeds, mut acts, mut holders, mut gaps_ms) = (0, 0, 0, Vec::new());
    for (seed, outcome) in outcomes {
        let outcome = outcome.with_context(|| format!("seed {seed}"))?;
        if drill.seeds <= 1 {
            outcome.log.iter().for_each(|line| print_line!("{line}"));
        }
        print_line!(
            "seed {seed}: {} acts accepted, {} rejected, {} holders, {:.0} datagrams and {:.1} kB a second",
            outcome.accepted.iter().sum::<usize>(),
            outcome.rejected.iter().sum::<usize>(),
            outcome.holders.iter().sum::<usize>(),
            outcome.datagrams_per_s,
            outcome.bytes_per_s / 1000.0
        );
        outcome.violations.iter().for_each(|line| print_line!("seed {seed}: BROKEN {line}"));
        failed_seeds += usize::from(!outcome.violations.is_empty());
        acts += outcome.accepted.iter().sum::<usize>();
        holders += outcome.holders.iter().sum::<usize>();
        gaps_ms.extend(outcome.gaps_ms);
    }
    gaps_ms.sort_by(f64::total_cmp);
    let quantile =
        |share: f64| gaps_ms.get((gaps_ms.len() as f64 * share) as usize).copied().unwrap_or_default();
    print_line!(
        "{} seeds, {acts} acts by {holders} holders; from one holder's last act to the next holder's first: p50 {:.0} ms, p99 {:.0} ms",
        seeds.len(),
        quantile(0.5),
        quantile(0.99)
    );
    if is_temporary && failed_seeds == 0 {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        print_line!("records and logs: {}", folder.display());
    }
    print_line!(
        "{}",
        if failed_seeds == 0 {
            "every rule was kept".into()
        } else {
            format!("a rule was broken in {failed_seeds} seeds")
        }
    );
    Ok(if failed_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn write(file: &Path, bytes: &[u8]) -> anyhow::Result<()> {
    std::fs::write(file, bytes).with_context(|| file.display().to_string())
}

/// Compare the gateway with direct access to a node: rates, added latency, processor time, system calls, memory.
#[derive(Args, Debug)]
pub struct Compare {
    /// The duration of each round, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// The number of rounds, alternating between the gateway and direct access.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Write the measurements as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

pub fn run_compare(options: &Compare) -> anyhow::Result<ExitCode> {
    let binary = std::env::current_exe().context("cannot find the path of this program")?;
    let (text, figures) = compare(&binary, options.seconds, options.rounds)?;
    print_text!("{text}");
    if let Some(file) = &options.json {
        write(file, &serde_json::to_vec_pretty(&figures)?)?;
    }
    Ok(ExitCode::SUCCESS)
}
