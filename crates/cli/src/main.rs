//! The doorcourse command: arguments, exit codes and the log's set-up; nothing else.

/// Prints a line to standard output; ignores write errors, since a reader such as `head` may close the pipe early.
macro_rules! print_line {
    ($($part:tt)*) => {{
        use std::io::Write;
        drop(writeln!(std::io::stdout(), $($part)*));
    }};
}

/// Prints text without a line break, as `print_line!` does.
macro_rules! print_text {
    ($($part:tt)*) => {{
        use std::io::Write;
        drop(write!(std::io::stdout(), $($part)*));
    }};
}

mod ctl;
mod drill;
mod fleet;
mod import;
mod load;
mod platform;
mod query;
mod serve;
mod standin;

use clap::{Parser, Subcommand};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

/// An API gateway that keeps quotas and priorities over a fleet of instances.
#[derive(Parser, Debug)]
#[command(version, propagate_version = true, after_help = EXAMPLES)]
struct Arguments {
    /// What the log holds: error, warn, info, debug or trace, also by part, as in `warn,doorcourse=debug`.
    #[arg(long, global = true, default_value = "info", env = "DOORCOURSE_LOG")]
    log: String,
    #[command(subcommand)]
    command: Command,
}

const EXAMPLES: &str = "Examples:
  doorcourse check settings.txtpb            every fault of the settings, with file, line and field
  doorcourse serve --config settings.txtpb   the gateway, until SIGTERM or SIGINT
  doorcourse drill bad-day --short           a scripted bad day on loopback, judged by its traffic
  doorcourse import apache httpd.conf --balancer app --out nodes.txtpb
  doorcourse query cost --schema catalogue.graphql query.graphql

Exit codes: 0 good, 1 refused or failed, 2 wrong use or unreadable files.";

#[derive(Subcommand, Debug)]
enum Command {
    /// Run the gateway until it is told to stop.
    Serve {
        /// The settings, in protobuf text format.
        #[arg(long)]
        config: PathBuf,
        /// The seed of the decisions; by default one by chance. No two gateways may share a seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Take the listening sockets over from the process that serves at the settings' admin socket.
        #[arg(long)]
        take_over: bool,
    },
    Platform(platform::Platform),
    /// Check settings or a node list and tell every fault; 1 if there is any.
    Check {
        /// Settings or a node list, in protobuf text format.
        file: PathBuf,
    },
    /// Parse, validate and price GraphQL documents.
    #[command(subcommand)]
    Query(query::Query),
    /// Turn Apache balancer and mod_jk files into a node list.
    #[command(subcommand)]
    Import(import::Import),
    Ctl(ctl::Ctl),
    Drill(drill::Drill),
    Compare(drill::Compare),
    /// Start and tend a small fleet with stand-ins on this machine.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Send a fixed rate of requests, whatever comes back, and tell the latencies.
    Load(load::Load),
    /// Run a stand-in for what surrounds a gateway, on loopback.
    #[command(subcommand)]
    Standin(standin::Standin),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&arguments.log) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("--log: {error}");
            return ExitCode::from(2);
        }
    };
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if std::io::stderr().is_terminal() {
        log.init();
    } else {
        log.json().flatten_event(true).init();
    }
    let result = match arguments.command {
        Command::Serve { config, seed, take_over } => serve::serve(&config, seed, take_over),
        Command::Platform(platform) => platform::run(&platform),
        Command::Check { file } => serve::check(&file),
        Command::Query(command) => query::run(command),
        Command::Import(command) => import::run(command),
        Command::Ctl(ctl) => ctl::run(&ctl),
        Command::Drill(drill) => drill::run(&drill),
        Command::Fleet(fleet) => fleet::run(&fleet),
        Command::Compare(compare) => drill::run_compare(&compare),
        Command::Load(load) => load::run(&load),
        Command::Standin(standin) => standin::run(&standin),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("doorcourse: {error:#}");
            ExitCode::from(2)
        }
    }
}
