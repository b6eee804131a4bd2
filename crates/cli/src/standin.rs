//! `standin`: runs a single emulated node or counter, for the tour and for manual tests.

use clap::Subcommand;
use doorcourse_emulators::{CATALOGUE, EmulatorServer, EmulatorServerSpec, NodeSpec, Recorder};
use doorcourse_event_loop::Clock;
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(Subcommand, Debug)]
pub enum Standin {
    /// Run a node that serves the music catalogue until it is killed; prints its address.
    Node {
        /// The address to listen on; port 0 selects a free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// The number of requests processed at once.
        #[arg(long, default_value_t = 2)]
        cores: usize,
        /// The number of requests that may wait.
        #[arg(long, default_value_t = 64)]
        queue: usize,
        /// The factor by which processing is faster than the catalogue's service times.
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
    },
    /// Run a counter that speaks RESP until it is killed; prints its address.
    Counter,
    /// Print the catalogue's schema.
    Schema,
}

pub fn run(standin: &Standin) -> anyhow::Result<ExitCode> {
    let clock = Clock::default();
    let (seed, service_time_spread, password) = (1, 0.0, None);
    match standin {
        Standin::Schema => print_text!("{CATALOGUE}"),
        Standin::Counter => {
            let spec = EmulatorServerSpec {
                nodes: Vec::new(),
                listen: None,
                counter: true,
                password,
                seed,
                service_time_spread,
                discard_records: true,
                speed: 1.0,
            };
            let server = EmulatorServer::start(&spec, clock, Recorder::new(clock))?;
            print_line!("counter on {}", server.counter_address.map_or(String::new(), |a| a.to_string()));
            server.wait();
        }
        Standin::Node { listen, cores, queue, speed } => {
            let node = NodeSpec {
                name: "node".into(),
                cell: 0,
                cores: *cores,
                queue: *queue,
                cold_share: 1.0,
                warm_up_ms: 1.0,
                fall_multiple: 100.0,
                fall_window_ms: 1000.0,
                key_retention_ms: 4000.0,
            };
            let (nodes, listen, speed) = (vec![node], Some(*listen), *speed);
            let spec = EmulatorServerSpec {
                nodes,
                listen,
                counter: false,
                password,
                seed,
                service_time_spread,
                discard_records: true,
                speed,
            };
            let server = EmulatorServer::start(&spec, clock, Recorder::new(clock))?;
            print_line!("node on {}", server.node_addresses[0]);
            server.wait();
        }
    }
    Ok(ExitCode::SUCCESS)
}
