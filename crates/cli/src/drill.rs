//! `drill`: rehearsals with a small fleet on loopback.

use anyhow::Context;
use clap::Subcommand;
use doorcourse_drill::{Options, bad_day, compare, show};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Subcommand, Debug)]
pub enum Drill {
    /// Three gateways, ten stand-in nodes in two cells and a counter on a scripted bad day; 1 if a rule was broken.
    #[command(after_help = "Example:
  doorcourse drill bad-day --short --seed 3 --json report.json")]
    BadDay {
        /// Fifteen seconds instead of ninety.
        #[arg(long)]
        short: bool,
        /// The seed of clients, nodes and gateways.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write the report as JSON to this file.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Keep settings, logs and the traffic record in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Measure the gateway beside the way straight to a node: rates, latency added, processor, system calls, memory.
    Compare {
        /// How long each round takes, in seconds.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Rounds by turns.
        #[arg(long, default_value_t = 3)]
        rounds: u32,
        /// Write the figures as JSON to this file.
        #[arg(long)]
        json: Option<PathBuf>,
    },
}

pub fn run(drill: Drill) -> anyhow::Result<ExitCode> {
    let binary = std::env::current_exe().context("this program's own file")?;
    let write = |json: Option<PathBuf>, bytes: Vec<u8>| match json {
        Some(file) => std::fs::write(&file, bytes).with_context(|| file.display().to_string()),
        None => Ok(()),
    };
    let (short, seed, json, keep) = match drill {
        Drill::BadDay { short, seed, json, keep } => (short, seed, json, keep),
        Drill::Compare { seconds, rounds, json } => {
            let (text, told) = compare(&binary, seconds, rounds)?;
            print!("{text}");
            write(json, serde_json::to_vec_pretty(&told)?)?;
            return Ok(ExitCode::SUCCESS);
        }
    };
    let outcome = bad_day(&Options { binary, short, seed, keep })?;
    print!("{}", show(&outcome.report));
    if let Some(file) = json {
        std::fs::write(&file, serde_json::to_vec_pretty(&outcome.report)?)
            .with_context(|| file.display().to_string())?;
    }
    if let Some(folder) = outcome.folder {
        println!("record and logs: {}", folder.display());
    }
    println!("{}", if outcome.report.kept { "every rule was kept" } else { "a rule was broken" });
    Ok(if outcome.report.kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
