//! Runs the built binary as a gateway process between scripted peers.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use crate::rig::{Counter, Discovery, WAIT_LIMIT, settings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;

/// A running gateway process; it is killed when dropped.
pub struct Gateway {
    pub child: Child,
    log: mpsc::Receiver<String>,
    pub file: PathBuf,
    pub address: std::net::SocketAddr,
}

impl Gateway {
    /// Starts a process and waits until it listens. The file is removed when the gateway is dropped.
    pub fn spawn(mut command: Command, file: PathBuf) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (sender, log) = mpsc::channel();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut gateway = Self { child, log, file, address: "127.0.0.1:1".parse().unwrap() };
        gateway.address = gateway.wait_for_log("started")["address"].as_str().unwrap().parse().unwrap();
        gateway
    }

    /// The lines of the log that are not yet read. Ends if there is none in time or the process exits.
    pub fn log_lines(&self) -> impl Iterator<Item = Json> {
        let lines = std::iter::from_fn(|| self.log.recv_timeout(WAIT_LIMIT).ok());
        lines.map(|line| serde_json::from_str::<Json>(&line).expect("the log is JSON"))
    }

    /// Waits for the log line with this message; panics if there is none in time or the process exits without it.
    pub fn wait_for_log(&mut self, message: &str) -> Json {
        self.log_lines().find(|l| l["message"] == message).unwrap_or_else(|| panic!("no line {message:?}"))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A valid configuration file with no known backends.
pub fn config(discovery: &Discovery, counter: &Counter) -> Json {
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "counter": counter.address.to_string(),
        "known": {"seq": 0, "whole": true, "hosts": []}, "settings": settings()
    })
}

/// The command that runs the gateway with this file, as the platform starts it.
pub fn command(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorcourse"));
    command.arg("platform").env("RELAY_NAME", "n0").env("RELAY_CONFIG", file);
    command.env("RELAY_LISTEN", "127.0.0.1:0").stderr(Stdio::piped());
    command
}

/// Starts a gateway with this configuration and waits until it is connected to discovery.
pub fn start(name: &str, config: &Json) -> Gateway {
    let file = std::env::temp_dir().join(format!("doorcourse-smoke-{}-{name}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).unwrap();
    let mut gateway = Gateway::spawn(command(&file), file);
    gateway.wait_for_log("discovery up");
    gateway
}

/// Sets the longest timeout of every class, in ms.
pub fn set_max_timeout(file: &mut Json, ms: u32) {
    for class in file["settings"]["classes"].as_array_mut().unwrap() {
        class["hard-limit-ms"] = json!(ms);
    }
}

/// Starts this many clients, each in a thread and with a random generator of its own.
pub fn spawn_clients<T: Send + 'static>(
    count: usize, seed: u64, run_client: impl Fn(ChaCha8Rng) -> T + Send + Sync + 'static,
) -> Vec<JoinHandle<T>> {
    let run_client = Arc::new(run_client);
    let start = |index: u64| {
        let run_client = run_client.clone();
        let random = ChaCha8Rng::seed_from_u64(seed * 1000 + index);
        std::thread::spawn(move || run_client(random))
    };
    (0..count as u64).map(start).collect()
}
