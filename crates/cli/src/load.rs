//! `load`: an open-loop load generator with a fixed request rate.

use anyhow::Context;
use clap::Args;
use doorcourse_emulators::{ClientEmulator, FixedRateLoad};
use doorcourse_event_loop::Clock;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

/// Sends one query repeatedly at a fixed rate. Latencies are measured from the time at which each request was due.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  doorcourse load --to 127.0.0.1:8080 --key KEY --rate 500 --seconds 10 --query query.graphql

Exit code 1 when nothing was served.")]
pub struct Load {
    /// The address of a gateway or a node.
    #[arg(long)]
    to: SocketAddr,
    /// The key to send as `Authorization: Bearer`.
    #[arg(long, default_value = "")]
    key: String,
    /// Requests per second, 0 to 1000000.
    #[arg(long)]
    rate: f64,
    /// The duration, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// A file with the GraphQL document.
    #[arg(long)]
    query: PathBuf,
    /// How long a client waits for a response, in ms.
    #[arg(long, default_value_t = 2000.0)]
    patience: f64,
    /// Print the summary as one JSON object.
    #[arg(long)]
    json: bool,
}

pub fn run(load: &Load) -> anyhow::Result<ExitCode> {
    let query = std::fs::read_to_string(&load.query).with_context(|| load.query.display().to_string())?;
    let clock = Clock::default();
    let body = json!({"query": query}).to_string();
    let start = clock.now();
    let mut generator =
        FixedRateLoad::new(body, load.key.clone(), load.rate, load.seconds, load.patience, start)?;
    let mut client = ClientEmulator::new(clock, Arc::new(Mutex::new(vec![load.to])), None, 100.0)?;
    client.run(&mut generator)?;
    let report = generator.report();
    let served = report.served_latency_us.len();
    let seconds = ((report.last_ended_ms - start) / 1000.0).max(load.seconds);
    let latency_ms = |q: f64| report.served_latency_us.value_at_quantile(q) as f64 / 1000.0;
    let [refused, failed, lost, gave_up] = report.unserved;
    if load.json {
        let summary = json!({"served": served, "refused": refused, "failed": failed, "lost": lost, "gave_up": gave_up,
            "per_second": served as f64 / seconds, "p50_ms": latency_ms(0.5), "p99_ms": latency_ms(0.99), "p999_ms": latency_ms(0.999)});
        print_line!("{summary}");
    } else {
        print_line!("served {served}, refused {refused}, failed {failed}, lost {lost}, given up {gave_up}");
        print_line!(
            "{:.1} served per second; p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
            served as f64 / seconds,
            latency_ms(0.5),
            latency_ms(0.99),
            latency_ms(0.999)
        );
    }
    Ok(if served > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
