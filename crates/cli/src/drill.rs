//! `drill` and `compare`: rehearsals and measurements with a small fleet on loopback.

use anyhow::Context;
use clap::Args;
use doorcourse_drill::{DRILLS, Options, View, compare, play, read, show};
use serde_json::json;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Rehearse trouble with a small fleet on loopback: gateways of this program, stand-in nodes, a counter, clients.
/// Without a name the drills are listed.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  doorcourse drill
  doorcourse drill bad-day --short --seed 3 --json report.json
  doorcourse drill my-own.txtpb --keep folder

Exit code 1 when a rule was broken or an expectation missed, 2 when the drill is faulty or cannot be played.")]
pub struct Drill {
    /// A drill that comes along, or a file in protobuf text format.
    name: Option<String>,
    /// The drill's short form.
    #[arg(long)]
    short: bool,
    /// Show the drill while it runs, where there is a terminal.
    #[arg(long)]
    view: bool,
    /// Never show it while it runs, and print the report alone.
    #[arg(long, conflicts_with = "view")]
    plain: bool,
    /// The seed of clients, nodes and gateways.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report with each request's final answer as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Keep settings, logs and the traffic record in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

pub fn run(drill: &Drill) -> anyhow::Result<ExitCode> {
    let Some(name) = &drill.name else {
        for (name, text) in DRILLS {
            let about = read(name, text).map_or(String::new(), |d| d.about);
            say!("{name:<20} {about}");
        }
        return Ok(ExitCode::SUCCESS);
    };
    let known = DRILLS.iter().find(|(n, _)| n == name).map(|(_, text)| (*text).to_owned());
    let text = match known {
        Some(text) => text,
        None => std::fs::read_to_string(name)
            .with_context(|| format!("{name}: no drill of this name, and no file"))?,
    };
    let script = match read(name, &text) {
        Ok(script) => script,
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{f}"));
            return Ok(ExitCode::from(2));
        }
    };
    let binary = std::env::current_exe().context("this program's own file")?;
    let options = Options { binary, short: drill.short, seed: drill.seed, keep: drill.keep.clone() };
    let shown = (drill.view || !drill.plain) && std::io::stdout().is_terminal();
    let outcome = match shown {
        false => play(&script, &options, &mut |_, _, _| {})?,
        true => {
            let mut view = View::start(&script.name, &script.about)?;
            let outcome = play(&script, &options, &mut |phase, part, fleet| view.draw(phase, part, fleet));
            drop(view);
            outcome?
        }
    };
    say_on!("{}", show(&outcome.report));
    outcome.missed.iter().for_each(|m| say!("expected otherwise: {m}"));
    if let Some(file) = &drill.json {
        let told = json!({"drill": script.name, "seed": drill.seed, "good": outcome.good(),
            "missed": outcome.missed, "report": outcome.report, "answers": outcome.answers()});
        write(file, &serde_json::to_vec_pretty(&told)?)?;
    }
    if let Some(folder) = &outcome.folder {
        say!("record and logs: {}", folder.display());
    }
    say!(
        "{}",
        match (outcome.report.kept, outcome.missed.is_empty()) {
            (true, true) => "every rule was kept",
            (true, false) => "every rule was kept, but the drill expected otherwise",
            (false, _) => "a rule was broken",
        }
    );
    Ok(if outcome.good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn write(file: &Path, bytes: &[u8]) -> anyhow::Result<()> {
    std::fs::write(file, bytes).with_context(|| file.display().to_string())
}

/// Measure the gateway beside the way straight to a node: rates, latency added, processor, system calls, memory.
#[derive(Args, Debug)]
pub struct Compare {
    /// How long each round takes, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Rounds by turns.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

pub fn run_compare(wanted: &Compare) -> anyhow::Result<ExitCode> {
    let binary = std::env::current_exe().context("this program's own file")?;
    let (text, told) = compare(&binary, wanted.seconds, wanted.rounds)?;
    say_on!("{text}");
    if let Some(file) = &wanted.json {
        write(file, &serde_json::to_vec_pretty(&told)?)?;
    }
    Ok(ExitCode::SUCCESS)
}
