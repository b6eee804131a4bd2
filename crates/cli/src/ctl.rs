//! `ctl`: calls a running gateway over its admin socket (JSON-RPC 2.0, one object a line).

use anyhow::Context;
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Ask a running gateway, or tell it something, over its admin socket.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  doorcourse ctl --socket admin.sock status
  doorcourse ctl --socket admin.sock reload --dry-run
  doorcourse ctl --socket admin.sock drain-node node-3

Exit code 1 when the gateway refuses, 2 when it cannot be reached.")]
pub struct Ctl {
    /// The admin socket, as in the settings' admin.socket.
    #[arg(long)]
    socket: PathBuf,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand, Debug)]
enum Call {
    /// Where the gateway stands, and what is open.
    Status,
    /// Each node as this gateway knows it.
    Nodes,
    /// What is held of each customer: block, store, what is owed.
    Customers,
    /// Send nothing new to a node, whatever the list says.
    DrainNode {
        /// The node's name.
        name: String,
    },
    /// Go by the list again.
    UndrainNode {
        /// The node's name.
        name: String,
    },
    /// The other gateways as this one hears them: when, round trip, loss, clock difference, drops by cause.
    Peers,
    /// Each task: who holds it, under which token, for how long yet, and who refused this gateway last.
    Leases,
    /// Give a task that this gateway holds to another gateway.
    HandOver {
        /// The task's name.
        task: String,
        /// The gateway's number.
        to: u32,
    },
    /// Drain the gateway: it answers what is out, gives blocks back and ends.
    Drain,
    /// Read the settings again and take them if they are good.
    Reload {
        /// Only tell the difference that it would make.
        #[arg(long)]
        dry_run: bool,
    },
}

/// How long a gateway may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

impl Call {
    /// The call's method and parameters on the admin socket.
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

/// Sends one call and prints its result.
///
/// # Errors
/// When the gateway cannot be reached or does not reply in time.
pub fn run(ctl: &Ctl) -> anyhow::Result<ExitCode> {
    let (method, params) = ctl.call.method_and_params();
    let path = ctl.socket.display();
    let mut stream =
        UnixStream::connect(&ctl.socket).with_context(|| format!("{path}: no gateway answers"))?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let request = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).with_context(|| format!("{path}: no answer"))?;
    let reply: Value = serde_json::from_str(&line).with_context(|| format!("{path}: no JSON"))?;
    if let Some(message) = reply["error"]["message"].as_str() {
        eprintln!("{message}");
        return Ok(ExitCode::FAILURE);
    }
    print_line!("{:#}", reply["result"]);
    Ok(ExitCode::SUCCESS)
}
