//! `ctl`: calls a running gateway over its admin socket (JSON-RPC 2.0, one object per line).

use anyhow::Context;
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Query or control a running gateway over its admin socket.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  doorcourse ctl --socket admin.sock status
  doorcourse ctl --socket admin.sock reload --dry-run
  doorcourse ctl --socket admin.sock drain-node node-3

Exit code 1 when the gateway refuses, 2 when it cannot be reached.")]
pub struct Ctl {
    /// The path of the admin socket: admin.socket in the settings.
    #[arg(long)]
    socket: PathBuf,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand, Debug)]
enum Call {
    /// Show the gateway's state, and its open connections and requests.
    Status,
    /// Show each node as this gateway sees it.
    Nodes,
    /// Show each customer's quota lease, available units (`store`) and unreported units (`owed`).
    Customers,
    /// Send no new requests to a node, whatever state the node list gives it.
    DrainNode {
        /// The node's name.
        name: String,
    },
    /// Use the state that the node list gives the node again.
    UndrainNode {
        /// The node's name.
        name: String,
    },
    /// Show the peers as this gateway sees them: last heard, round trip, loss, clock difference, drops by cause.
    Peers,
    /// Show each task: its holder, fencing token and remaining time, and which voter refused this gateway last.
    Leases,
    /// Hand over a task that this gateway holds to another gateway.
    HandOver {
        /// The task's name.
        task: String,
        /// The number of the gateway that receives the task: fleet.number in its settings.
        to: u32,
    },
    /// Drain the gateway: it completes its open requests, releases its quota leases and exits.
    Drain,
    /// Read the settings again and apply them if they are valid.
    Reload {
        /// Only print the changes that the reload would make.
        #[arg(long)]
        dry_run: bool,
    },
}

/// How long a gateway may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

impl Call {
    /// Returns the admin method and its parameters.
    fn method_and_params(&self) -> (&'static str, Value) {
        match self {
            Self::Status => ("status", json!({})),
            Self::Nodes => ("nodes", json!({})),
            Self::Customers => ("customers", json!({})),
            Self::DrainNode { name } => ("node.drain", json!({"name": name})),
            Self::UndrainNode { name } => ("node.undrain", json!({"name": name})),
            Self::Peers => ("peers", json!({})),
            Self::Leases => ("leases", json!({})),
            Self::HandOver { task, to } => ("lease.hand_over", json!({"task": task, "to": to})),
            Self::Drain => ("drain", json!({})),
            Self::Reload { dry_run } => ("reload", json!({"dry_run": dry_run})),
        }
    }
}

/// Sends one request and prints its result.
///
/// # Errors
/// When the gateway cannot be reached or does not reply in time.
pub fn run(ctl: &Ctl) -> anyhow::Result<ExitCode> {
    let (method, params) = ctl.call.method_and_params();
    let path = ctl.socket.display();
    let mut stream =
        UnixStream::connect(&ctl.socket).with_context(|| format!("{path}: cannot connect to a gateway"))?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let request = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).with_context(|| format!("{path}: no reply"))?;
    let reply: Value =
        serde_json::from_str(&line).with_context(|| format!("{path}: the reply is not JSON"))?;
    if let Some(message) = reply["error"]["message"].as_str() {
        eprintln!("{message}");
        return Ok(ExitCode::FAILURE);
    }
    print_line!("{:#}", reply["result"]);
    Ok(ExitCode::SUCCESS)
}
