//! The doorcourse command: argument parsing, logging setup and exit codes. Each subcommand has a module.

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
mod log;
mod platform;
mod query;
mod serve;
mod standin;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// An API gateway that enforces quotas and priorities across a fleet of instances.
#[derive(Parser, Debug)]
#[command(version, propagate_version = true, after_help = EXAMPLES)]
struct Arguments {
    /// The log level: error, warn, info, debug or trace; per module as in `warn,doorcourse=debug`.
    #[arg(long, global = true, default_value = "info", env = "DOORCOURSE_LOG")]
    log: String,
    #[command(subcommand)]
    command: Command,
}

const EXAMPLES: &str = "Examples:
  doorcourse check settings.txtpb            every error in the settings, with file, line and field
  doorcourse serve --config settings.txtpb   run the gateway until SIGTERM or SIGINT
  doorcourse drill bad-day --short           a scripted fault drill on loopback, checked by its traffic record
  doorcourse import apache httpd.conf --balancer app --out nodes.txtpb
  doorcourse query cost --schema catalogue.graphql query.graphql

Exit codes: 0 success, 1 refused or failed, 2 usage error or unreadable file.";

#[derive(Subcommand, Debug)]
enum Command {
    /// Run the HTTP gateway, for GraphQL, until it is stopped by a signal or a drain.
    Serve {
        /// The settings file, in protobuf text format.
        #[arg(long)]
        config: PathBuf,
        /// The seed of random decisions; a random one by default. No two gateways may share a seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Take over the listening sockets of the process that serves the admin socket named in the settings.
        #[arg(long)]
        take_over: bool,
    },
    Platform(platform::Platform),
    /// Check settings or a node list and report every error; exit code 1 if there is any.
    Check {
        /// A settings file or a node list, in protobuf text format.
        file: PathBuf,
    },
    /// Parse GraphQL documents, validate them and compute their cost.
    #[command(subcommand)]
    Query(query::Query),
    /// Convert Apache balancer and mod_jk configuration into a node list.
    #[command(subcommand)]
    Import(import::Import),
    Ctl(ctl::Ctl),
    Drill(drill::Drill),
    Compare(drill::Compare),
    /// Run and control a small fleet with stand-ins on this machine.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Send requests at a fixed rate, whatever the responses, and report the latencies.
    Load(load::Load),
    /// Run a stand-in node or counter on loopback.
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
    log::init(filter);
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
            use std::io::Write;
            drop(writeln!(std::io::stderr(), "doorcourse: {error:#}"));
            ExitCode::from(2)
        }
    }
}
