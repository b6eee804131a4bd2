//! `standin`: a stand-in node or counter by itself, for a tour and for trials.

use clap::Subcommand;
use doorcourse_emulators::{CATALOGUE, EmulatorServer, EmulatorServerSpec, NodeSpec, Recorder};
use doorcourse_event_loop::Clock;
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(Subcommand, Debug)]
pub enum Standin {
    /// A node that serves the music catalogue, until it is ended; prints its address.
    Node {
        /// Where it listens; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// How many requests it works on at once.
        #[arg(long, default_value_t = 2)]
        cores: usize,
        /// How many may wait.
        #[arg(long, default_value_t = 64)]
        queue: usize,
        /// Times by which its work is quicker than the catalogue's.
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
    },
    /// A counter that speaks RESP, until it is ended; prints its address.
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
