//! A rolling restart of eight gateway processes, under clients that keep sending on every open connection, with one
//! backend that hangs. The records of clients and backends must show that each accepted request has a complete response,
//! and every process must exit before it may be killed. `DOORCOURSE_SEEDS=20` runs 20 seeds instead of one.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rig::{Backend, Client, Counter, Discovery, Reply, Shared, WAIT_LIMIT, endpoint, settings, value};
use running_gateway::{Gateway, config, spawn_clients, start};
use rustix::process::Signal;
use serde_json::json;
use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
/// The number of gateways that shut down at once.
const GATEWAYS_PER_STEP: usize = 2;
const CLIENTS: usize = 32;
/// The longest timeout in the settings, in ms; the platform may kill a process 0.7 s after it.
const MAX_TIMEOUT_MS: u64 = 1500;
const KILL_AFTER: Duration = Duration::from_millis(MAX_TIMEOUT_MS + 700);
/// A response this long after its deadline counts as missing; far beyond what a busy machine adds.
const LATENESS_LIMIT: Duration = Duration::from_millis(1500);

/// One request as its client saw it.
struct RequestRecord {
    id: String,
    /// Whether its connection had received a response before.
    reused: bool,
    answered: bool,
    late: bool,
}

/// Runs a client, which sends one request after another and keeps a connection to each gateway that it has used.
/// `addresses` stands for the platform's front end, which assigns new connections to gateways: `None` for one to which it
/// assigns none.
fn client(
    mut random: ChaCha8Rng, addresses: &Shared<Vec<Option<SocketAddr>>>, finished: &AtomicBool,
) -> Vec<RequestRecord> {
    let (mut connections, mut records) = (BTreeMap::<SocketAddr, (Client, bool)>::new(), Vec::new());
    while !finished.load(Ordering::SeqCst) {
        // Open connections are used even if their gateway is shutting down.
        let reuse = random.random_range(0..4) > 0 && !connections.is_empty();
        let address = if reuse {
            connections.keys().nth(random.random_range(0..connections.len())).copied()
        } else {
            addresses.update(|p| p[random.random_range(0..GATEWAYS)])
        };
        let Some(address) = address else { continue };
        let (mut client, reused) = match connections.remove(&address) {
            Some(connection) => connection,
            None => match TcpStream::connect(address) {
                Ok(stream) => (Client::on(stream), false),
                // Its listener is closed: the front end has not been notified yet.
                Err(_) => continue,
            },
        };
        let (class, max_timeout_ms) =
            [("lookup", MAX_TIMEOUT_MS), ("save", 1200), ("order", 900)][random.random_range(0..3)];
        let timeout_ms = random.random_range(max_timeout_ms / 2..=max_timeout_ms);
        let sent_at = Instant::now();
        let (id, sent) = client.begin_request(class, timeout_ms as u32);
        let answered = sent && client.read_response().is_some();
        let late = sent_at.elapsed() > Duration::from_millis(timeout_ms) + LATENESS_LIMIT;
        records.push(RequestRecord { id, reused, answered, late });
        if answered {
            connections.insert(address, (client, true));
        }
        if random.random_range(0..8) == 0 {
            std::thread::sleep(Duration::from_millis(random.random_range(0..120)));
        }
    }
    records
}

/// Shuts these gateways down, kills those that remain when the platform may, and starts them again. Returns whether all had
/// exited by themselves.
fn restart_step(
    fleet: &mut [Option<Gateway>], seed: u64, file: &serde_json::Value,
    addresses: &Shared<Vec<Option<SocketAddr>>>, first: usize,
) -> bool {
    let signalled_at = Instant::now();
    let stopping = || first..first + GATEWAYS_PER_STEP;
    stopping().for_each(|index| fleet[index].as_ref().unwrap().signal(Signal::TERM));
    let mut exited = [false; GATEWAYS_PER_STEP];
    while signalled_at.elapsed() < KILL_AFTER && exited.contains(&false) {
        for index in stopping() {
            exited[index - first] |=
                fleet[index].as_mut().unwrap().child.try_wait().unwrap().is_some_and(|s| s.success());
        }
        // The front end is notified some time after the signal.
        if signalled_at.elapsed() > Duration::from_millis(300) {
            addresses.update(|p| p[first..first + GATEWAYS_PER_STEP].fill(None));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    addresses.update(|p| p[first..first + GATEWAYS_PER_STEP].fill(None));
    for index in stopping() {
        // A process that remains is killed when it is dropped.
        fleet[index] = None;
        let gateway = start(&format!("roll-{seed}-{index}"), file);
        addresses.update(|p| p[index] = Some(gateway.address));
        fleet[index] = Some(gateway);
    }
    !exited.contains(&false)
}

fn run(seed: u64) -> Vec<String> {
    let mut backends = Vec::new();
    for index in 0..5_u64 {
        backends.push(Backend::start(move |command| {
            if index == 0 {
                return Reply::Withheld;
            }
            std::thread::sleep(Duration::from_millis(15 + (7 * index + 11 * command.connection as u64) % 60));
            Reply::Bytes(value("good"))
        }));
    }
    let hosts =
        backends.iter().enumerate().map(|(n, b)| endpoint(&format!("b{n}"), b.address, "active")).collect();
    let discovery = Discovery::start(hosts);
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    file["settings"] = settings();
    for class in file["settings"]["classes"].as_array_mut().unwrap() {
        let timeout_ms = class["hard-limit-ms"].as_f64().unwrap().min(MAX_TIMEOUT_MS as f64);
        class["hard-limit-ms"] = json!(timeout_ms);
    }
    let mut fleet: Vec<_> =
        (0..GATEWAYS).map(|index| Some(start(&format!("roll-{seed}-{index}"), &file))).collect();
    let addresses = Shared::new(fleet.iter().map(|g| g.as_ref().map(|g| g.address)).collect::<Vec<_>>());
    let finished = Arc::new(AtomicBool::new(false));
    let client_addresses = addresses.clone();
    let client_finished = finished.clone();
    let clients =
        spawn_clients(CLIENTS, seed, move |random| client(random, &client_addresses, &client_finished));
    backends[1].commands.wait("the load", |c| c.len() >= CLIENTS);
    let mut violations = Vec::new();
    for first in (0..GATEWAYS).step_by(GATEWAYS_PER_STEP) {
        if !restart_step(&mut fleet, seed, &file, &addresses, first) {
            violations.push(format!("seed {seed}: gateways {first}.. had to be killed"));
        }
    }
    finished.store(true, Ordering::SeqCst);
    let records: Vec<RequestRecord> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    let ids =
        |b: &Backend| b.commands.update(|c| c.iter().map(|c| c.arguments[2].clone()).collect::<Vec<_>>());
    let forwarded: HashSet<String> = backends.iter().flat_map(ids).collect();
    for record in &records {
        // A forwarded request was accepted. An unread one may cross the close of a connection in use, and is sent again.
        if !record.answered && (forwarded.contains(&record.id) || !record.reused) {
            violations.push(format!(
                "seed {seed}: request {} was accepted and has no complete response",
                record.id
            ));
        } else if record.late {
            violations.push(format!("seed {seed}: request {} was answered too late", record.id));
        }
    }
    let answered = records.iter().filter(|s| s.answered).count();
    eprintln!(
        "seed {seed}: {} requests, {answered} answered, {} violations",
        records.len(),
        violations.len()
    );
    assert!(answered > CLIENTS * 20, "hardly any request was sent");
    violations
}

#[test]
fn rolling_restart_loses_no_accepted_request() {
    let seeds = std::env::var("DOORCOURSE_SEEDS")
        .ok()
        .map_or(1, |s| s.parse().expect("DOORCOURSE_SEEDS is a number"));
    let started_at = Instant::now();
    let violations: Vec<String> = (1..=seeds).flat_map(run).collect();
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
    assert!(started_at.elapsed() < WAIT_LIMIT * 2 * seeds as u32);
}
