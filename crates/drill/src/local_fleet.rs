//! A fleet for manual rehearsals that runs until it is stopped. One process runs the emulators and the gateway processes and
//! listens on a socket in its folder (JSON-RPC 2.0, one object per line).

use crate::clients::{ClientBehavior, Clients, customers};
use crate::fleet::{Fleet, FleetSpec};
use crate::runner::{ActiveDrill, RESPONSE_SLACK_MS, bounds};
use crate::script::parse_act;
use crate::text_report::format_report;
use anyhow::Context;
use doorcourse_conformance::summarize;
use doorcourse_emulators::ClientEmulator;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Options of a local fleet.
#[derive(Clone, Debug)]
pub struct LocalFleetOptions {
    /// The gateway's binary.
    pub binary: PathBuf,
    /// Folder for settings, logs, the traffic record and the socket.
    pub folder: PathBuf,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of nodes, alternately in two cells.
    pub nodes: usize,
    /// Share of its quota that each emulated customer requests; 0 for no clients.
    pub load: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Name of the socket in the folder.
const SOCKET: &str = "fleet.sock";
/// Time until a cold node is warm.
const WARM_UP_MS: f64 = 10_000.0;

/// Starts a fleet and serves calls until the method `stop`, SIGINT or SIGTERM ends it.
///
/// # Errors
/// Fails when the fleet cannot be started.
pub fn run_local_fleet(options: &LocalFleetOptions) -> anyhow::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    anyhow::ensure!((1..=16).contains(&options.gateways), "the number of gateways must be 1 to 16");
    anyhow::ensure!((2..=64).contains(&options.nodes), "the number of nodes must be 2 to 64");
    anyhow::ensure!((0.0..=4.0).contains(&options.load), "the load must be 0 to 4");
    let path = options.folder.join(SOCKET);
    anyhow::ensure!(
        UnixStream::connect(&path).is_err(),
        "{}: a fleet already runs in this folder",
        options.folder.display()
    );
    let fleet = Fleet::start(FleetSpec {
        httpd: String::new(),
        suspects: None,
        binary: options.binary.clone(),
        folder: options.folder.clone(),
        gateways: options.gateways,
        nodes: options.nodes,
        seed: options.seed,
        warm_up_ms: WARM_UP_MS,
        notice_ms: 200.0,
        drain_ms: 3000.0,
        keep_state: true,
        customers: customers(),
    })?;
    let (recorder, clock) = (fleet.recorder.clone(), fleet.clock);
    recorder.record(bounds(1.0));
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(&path).with_context(|| path.display().to_string())?;
    listener.set_nonblocking(true)?;
    let behavior =
        Arc::new(Mutex::new(ClientBehavior { stopped: options.load <= 0.0, ..ClientBehavior::default() }));
    let (accepting, load) = (Arc::clone(&fleet.accepting), options.load.max(0.01));
    let mut clients = Clients::new(options.seed, accepting, Arc::clone(&behavior), clock.now(), load)?;
    let mut emulator =
        ClientEmulator::new(clock, Arc::clone(&fleet.addresses), Some(recorder), 2.0 * RESPONSE_SLACK_MS)?;
    let client_thread =
        std::thread::Builder::new().name("clients".into()).spawn(move || emulator.run(&mut clients))?;
    let mut active = ActiveDrill { fleet, behavior, nodes: options.nodes };
    println!("{:#}", status(&active));
    println!("the fleet is up; `doorcourse fleet stop --folder {}` ends it", options.folder.display());
    while !stop.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let stop_requested = serve(&mut active, stream).unwrap_or(false);
                stop.fetch_or(stop_requested, Ordering::SeqCst);
            }
            Err(_) => std::thread::sleep(Duration::from_millis(50)),
        }
    }
    active.change_behavior(|m| m.stopped = true);
    let _ = client_thread.join();
    active.fleet.recorder.save(&options.folder.join("traffic.jsonl"))?;
    let report = summarize(&active.fleet.recorder.records());
    drop(active);
    let _ = std::fs::remove_file(&path);
    print!("{}", format_report(&report));
    Ok(())
}

/// Answers one call; returns whether it was `stop`.
fn serve(active: &mut ActiveDrill, stream: UnixStream) -> anyhow::Result<bool> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line)?;
    let call: Value = serde_json::from_str(&line).unwrap_or_default();
    let result = match call["method"].as_str().unwrap_or("") {
        "status" => Ok(status(active)),
        "report" => Ok(json!(format_report(&summarize(&active.fleet.recorder.records())))),
        "stop" => Ok(json!("stopping")),
        "do" => apply_act(active, call["params"]["act"].as_str().unwrap_or("")),
        other => Err(format!("there is no method `{other}`")),
    };
    let reply = match result {
        Ok(result) => json!({"jsonrpc": "2.0", "id": call["id"], "result": result}),
        Err(why) => json!({"jsonrpc": "2.0", "id": call["id"], "error": {"code": -32000, "message": why}}),
    };
    (&stream).write_all(format!("{reply}\n").as_bytes())?;
    Ok(call["method"] == "stop")
}

/// Parses and checks an act and carries it out.
fn apply_act(active: &mut ActiveDrill, text: &str) -> Result<Value, String> {
    let join = |faults: Vec<doorcourse_config::Fault>| {
        faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    let act = parse_act(text).map_err(join)?;
    let change = act.what.ok_or("say what to do, as in a drill: `kill_node: 3`, `stop_gateway: 0`")?;
    // Checks the act as in a drill: an unknown node number would end the process.
    let (gateways, nodes) = (active.fleet.running().len(), active.nodes);
    let script = format!(
        "name: 'x' length_s: 9 short_s: 9 fleet {{ gateways: {gateways} nodes: {nodes} }} steps {{ do {{ {text} }} }}"
    );
    let messages =
        |faults: Vec<doorcourse_config::Fault>| faults.iter().map(|f| f.message.clone()).collect::<Vec<_>>();
    crate::script::parse_drill("act", &script)
        .map_err(|f| format!("`{text}`: {}", messages(f).join("; ")))?;
    active.apply(&change).map_err(|e| format!("{e:#}"))?;
    Ok(json!("done"))
}

/// Returns the state of gateways and nodes, and the customers with their keys.
fn status(active: &ActiveDrill) -> Value {
    let fleet = &active.fleet;
    let addresses = fleet.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
    let gateway = |(index, address): (usize, &std::net::SocketAddr)| {
        let state = fleet
            .call_gateway(index, "status")
            .map_or(json!("does not answer"), |v| v["result"]["state"].clone());
        json!({"gateway": index, "address": address.to_string(), "process": fleet.process_id(index), "state": state})
    };
    let node = |n: &doorcourse_emulators::ListedNode| json!({"node": n.name, "address": n.address.to_string(), "cell": n.cell, "listed": n.listed, "drains": n.draining});
    json!({
        "gateways": addresses.iter().enumerate().map(gateway).collect::<Vec<_>>(),
        "nodes": fleet.list.nodes.iter().map(node).collect::<Vec<_>>(),
        "customers": customers().iter().map(|(n, p, k)| json!({"name": n, "plan": p, "key": k})).collect::<Vec<_>>(),
    })
}

/// Calls a method of the fleet that runs in a folder.
///
/// # Errors
/// Fails when no fleet runs there or the call returns an error.
pub fn call_fleet(folder: &Path, method: &str, parameters: &Value) -> anyhow::Result<Value> {
    let path = folder.join(SOCKET);
    let mut stream = UnixStream::connect(&path)
        .with_context(|| format!("{}: no fleet runs in this folder", folder.display()))?;
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": parameters});
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let mut reply: Value = serde_json::from_str(&line)?;
    if let Some(why) = reply["error"]["message"].as_str() {
        anyhow::bail!("{why}");
    }
    Ok(reply["result"].take())
}
