//! `ctl`: speaks with a gateway's admin socket.

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

pub fn run(ctl: &Ctl) -> anyhow::Result<ExitCode> {
    let (method, parameters) = match &ctl.call {
        Call::Status => ("status", json!({})),
        Call::Nodes => ("nodes", json!({})),
        Call::Customers => ("customers", json!({})),
        Call::DrainNode { name } => ("node.drain", json!({"name": name})),
        Call::UndrainNode { name } => ("node.undrain", json!({"name": name})),
        Call::Peers => ("peers", json!({})),
        Call::Leases => ("leases", json!({})),
        Call::HandOver { task, to } => ("lease.hand_over", json!({"task": task, "to": to})),
        Call::Drain => ("drain", json!({})),
        Call::Reload { dry_run } => ("reload", json!({"dry_run": dry_run})),
    };
    let shown = ctl.socket.display();
    let mut stream =
        UnixStream::connect(&ctl.socket).with_context(|| format!("{shown}: no gateway answers"))?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": parameters});
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).with_context(|| format!("{shown}: no answer"))?;
    let reply: Value = serde_json::from_str(&line).with_context(|| format!("{shown}: no JSON"))?;
    if let Some(why) = reply["error"]["message"].as_str() {
        eprintln!("{why}");
        return Ok(ExitCode::FAILURE);
    }
    say!("{:#}", reply["result"]);
    Ok(ExitCode::SUCCESS)
}
