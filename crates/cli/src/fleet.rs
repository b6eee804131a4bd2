//! `fleet`: a small fleet for rehearsing by hand.

use anyhow::Context;
use clap::Subcommand;
use doorcourse_drill::{LocalFleetOptions, call_fleet, run_local_fleet};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Subcommand, Debug)]
#[command(after_help = "Examples:
  doorcourse fleet up --folder fleet &
  doorcourse fleet status --folder fleet
  doorcourse fleet do --folder fleet 'kill_gateway: 1'
  doorcourse fleet do --folder fleet 'mood { flood_customer: 3 flood_times: 8 }'
  doorcourse fleet stop --folder fleet")]
pub enum Fleet {
    /// Start gateways, stand-in nodes, a counter and clients, and tend them until told to stop.
    Up {
        /// Where settings, logs and sockets lie.
        #[arg(long)]
        folder: PathBuf,
        /// How many gateways, 1 to 16.
        #[arg(long, default_value_t = 3)]
        gateways: usize,
        /// How many nodes, 2 to 64, in two cells by turns.
        #[arg(long, default_value_t = 10)]
        nodes: usize,
        /// The share of its quota that each stand-in customer asks for, 0 to 4; 0 for no clients.
        #[arg(long, default_value_t = 0.6)]
        load: f64,
        /// The seed of all chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Gateways, nodes and customers, with addresses and keys.
    Status {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Answers, accounts and each rule's verdict so far.
    Report {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Do what a drill's step can do: `kill_node: 3`, `take_over_gateway: 0`, `counter_silent: true` ...
    Do {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
        /// One act in the drills' text format.
        act: String,
    },
    /// End it and print its report.
    Stop {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
    },
}

pub fn run(fleet: &Fleet) -> anyhow::Result<ExitCode> {
    let (folder, method, parameters) = match fleet {
        Fleet::Up { folder, gateways, nodes, load, seed } => {
            let binary = std::env::current_exe().context("this program's own file")?;
            let (folder, gateways, nodes) = (folder.clone(), *gateways, *nodes);
            run_local_fleet(&LocalFleetOptions {
                binary,
                folder,
                gateways,
                nodes,
                load: *load,
                seed: *seed,
            })?;
            return Ok(ExitCode::SUCCESS);
        }
        Fleet::Status { folder } => (folder, "status", json!({})),
        Fleet::Report { folder } => (folder, "report", json!({})),
        Fleet::Do { folder, act } => (folder, "do", json!({"act": act})),
        Fleet::Stop { folder } => (folder, "stop", json!({})),
    };
    match call_fleet(folder, method, &parameters)? {
        Value::String(text) => print_line!("{text}"),
        other => print_line!("{other:#}"),
    }
    Ok(ExitCode::SUCCESS)
}
