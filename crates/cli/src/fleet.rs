//! `fleet`: runs a small local fleet in which faults can be injected by hand.

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
    /// Start gateways, stand-in nodes, a counter and clients, and run them until `fleet stop`.
    Up {
        /// The folder for settings, logs and sockets.
        #[arg(long)]
        folder: PathBuf,
        /// The number of gateways, 1 to 16.
        #[arg(long, default_value_t = 3)]
        gateways: usize,
        /// The number of nodes, 2 to 64, alternating between two cells.
        #[arg(long, default_value_t = 10)]
        nodes: usize,
        /// The share of its quota that each stand-in customer requests, 0 to 4; 0 for no clients.
        #[arg(long, default_value_t = 0.6)]
        load: f64,
        /// The seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Show gateways, nodes and customers, with addresses and keys.
    Status {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Print the report so far: responses, accounts and whether each rule was kept.
    Report {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Run one action of a drill step: `kill_node: 3`, `take_over_gateway: 0`, `counter_silent: true` ...
    Do {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
        /// One action, in the text format of the drills.
        act: String,
    },
    /// Stop the fleet and print its report.
    Stop {
        /// The fleet's folder.
        #[arg(long)]
        folder: PathBuf,
    },
}

pub fn run(fleet: &Fleet) -> anyhow::Result<ExitCode> {
    let (folder, method, params) = match fleet {
        Fleet::Up { folder, gateways, nodes, load, seed } => {
            let binary = std::env::current_exe().context("cannot find the path of this program")?;
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
    match call_fleet(folder, method, &params)? {
        Value::String(text) => print_line!("{text}"),
        other => print_line!("{other:#}"),
    }
    Ok(ExitCode::SUCCESS)
}
