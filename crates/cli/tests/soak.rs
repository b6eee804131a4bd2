//! A soak: three gateway processes with the least memory of the platform, signals in series, clients that use their
//! connections until the kill, and in every other seed a crowd of faulty clients. The records of clients, backends and
//! processes are checked. `DOORCOURSE_SEEDS=60` runs 60 seeds instead of two, `DOORCOURSE_FIRST_SEED` begins elsewhere.

#[path = "soak/crowd.rs"]
mod crowd;
#[path = "soak/process.rs"]
mod process;
#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;
#[path = "soak/signals.rs"]
mod signals;

use doorcourse_resp::Value;
use process::{LEAST_MEMORY_MIB, Process};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rig::{Backend, Client, Counter, Discovery, Reply, endpoint, value};
use running_gateway::{config, spawn_clients};
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const BACKENDS: u64 = 5;
const CLIENTS: usize = 16;
/// The longest deadline of the deployment; SIGKILL may come 0.7 s after it.
const MAX_TIMEOUT_MS: u64 = 1500;
/// A response this long after its deadline counts as missing; far beyond what a busy machine adds.
const LATENESS_LIMIT: Duration = Duration::from_millis(1500);
/// An attempt that begins this long after its client has left is late: the limit is 0.1 s, the rest is for a busy machine.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(300);

/// What the threads of a run share.
struct World {
    processes: Vec<Process>,
    is_over: AtomicBool,
}

/// One request as its client saw it.
struct RequestRecord {
    id: String,
    class: &'static str,
    gateway: usize,
    /// Whether its connection had received a response before.
    reused: bool,
    sent_at: Instant,
    ended_at: Instant,
    timeout: Duration,
    answered: bool,
    /// Whether it was served with the value of another request.
    foreign: bool,
}

/// Sends one request after another, mostly on connections that are open.
fn run_client(mut random: ChaCha8Rng, world: &World) -> Vec<RequestRecord> {
    let mut connections: HashMap<usize, (Client, bool)> = HashMap::new();
    let mut records = Vec::new();
    while !world.is_over.load(Ordering::SeqCst) {
        let gateway = random.random_range(0..GATEWAYS);
        let connection = connections.remove(&gateway).or_else(|| {
            let stream = TcpStream::connect(world.processes[gateway].address()).ok()?;
            Some((Client::on(stream), false))
        });
        let Some((mut client, reused)) = connection else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let (class, max_timeout_ms) =
            [("lookup", MAX_TIMEOUT_MS), ("save", 1200), ("order", 900)][random.random_range(0..3)];
        let timeout_ms = random.random_range(max_timeout_ms / 2..=max_timeout_ms);
        let sent_at = Instant::now();
        let (id, is_sent) = client.begin_request(class, timeout_ms as u32);
        let response = if is_sent { client.read_response() } else { None };
        let answered = response.is_some();
        let foreign = matches!(&response, Some(Value::Bulk(value)) if *value != id.as_bytes());
        let timeout = Duration::from_millis(timeout_ms);
        let ended_at = Instant::now();
        records.push(RequestRecord {
            id,
            class,
            gateway,
            reused,
            sent_at,
            ended_at,
            timeout,
            answered,
            foreign,
        });
        if answered {
            connections.insert(gateway, (client, true));
        }
        std::thread::sleep(Duration::from_millis(random.random_range(0..30)));
    }
    records
}

fn start_backend(index: u64) -> Backend {
    Backend::start(move |command| {
        let number = command.connection as u64;
        std::thread::sleep(Duration::from_millis(5 + (7 * index + 11 * number) % 40));
        match (index, number % 29) {
            (0, _) => Reply::Withheld,
            (1, 7) => Reply::Reset,
            (2, 3) => Reply::BytesAndClose(value(&command.arguments[2])),
            _ => Reply::Bytes(value(&command.arguments[2])),
        }
    })
}

/// Checks the records of the usual clients.
fn check_requests(
    records: &[RequestRecord], world: &World, runs: &HashMap<String, Vec<Instant>>,
    violations: &mut Vec<String>,
) {
    for record in records {
        let runs = runs.get(&record.id).map_or(0, Vec::len);
        let was_killed = world.processes[record.gateway].was_killed_between(record.sent_at, record.ended_at);
        // An unread request may cross the close of a connection in use, and is sent again by its client.
        let may_be_unread = record.reused && runs == 0;
        if !record.answered && !was_killed && !may_be_unread {
            violations.push(format!("request {} has no response ({} runs)", record.id, runs));
        }
        if record.ended_at - record.sent_at > record.timeout + LATENESS_LIMIT {
            violations.push(format!("request {} was answered too late", record.id));
        }
        if record.foreign {
            violations.push(format!("request {} was served with the value of another", record.id));
        }
        if record.class == "order" && runs > 1 {
            violations.push(format!("order {} ran {runs} times", record.id));
        }
    }
}

fn run(seed: u64) -> Vec<String> {
    let backends: Vec<Backend> = (0..BACKENDS).map(start_backend).collect();
    let hosts = backends.iter().enumerate().map(|(n, b)| endpoint(&format!("b{n}"), b.address, "active"));
    let discovery = Discovery::start(hosts.collect());
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    file["limits"] = json!({"cores": 1.0, "memory_mb": LEAST_MEMORY_MIB, "sockets": 1024});
    running_gateway::set_max_timeout(&mut file, MAX_TIMEOUT_MS as u32);
    let processes = (0..GATEWAYS).map(|index| Process::start(seed, index, &file)).collect();
    let world = Arc::new(World { processes, is_over: AtomicBool::new(false) });
    let client_world = world.clone();
    let clients = spawn_clients(CLIENTS, seed, move |random| run_client(random, &client_world));
    let crowd = seed.is_multiple_of(2).then(|| crowd::start(seed, world.clone()));
    signals::play(&mut ChaCha8Rng::seed_from_u64(seed), &world);
    world.is_over.store(true, Ordering::SeqCst);
    let records: Vec<RequestRecord> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    let left = crowd.map(crowd::Crowd::join).unwrap_or_default();
    let mut violations: Vec<String> = world.processes.iter().flat_map(Process::faults).collect();
    let mut runs: HashMap<String, Vec<Instant>> = HashMap::new();
    for backend in &backends {
        for (id, at) in backend.arrivals() {
            runs.entry(id).or_default().push(at);
        }
    }
    check_requests(&records, &world, &runs, &mut violations);
    for (id, left_at) in &left {
        let late = |at: &&Instant| **at > *left_at + DISCONNECT_LIMIT;
        for late in runs.get(id).into_iter().flatten().filter(late) {
            violations.push(format!("{id}: an attempt {:?} after its client had left", *late - *left_at));
        }
    }
    let mut delays: Vec<Duration> = left
        .iter()
        .flat_map(|(id, left_at)| {
            runs.get(id).into_iter().flatten().map(|at| at.saturating_duration_since(*left_at))
        })
        .collect();
    delays.sort_unstable();
    let latest = delays.last().copied().unwrap_or_default();
    let answered = records.iter().filter(|record| record.answered).count();
    let peak = world.processes.iter().map(Process::peak_kib).max().unwrap_or_default();
    let distinct: HashSet<&String> = left.iter().map(|(id, _)| id).collect();
    eprintln!(
        "seed {seed}: {} requests, {answered} answered, {} left by the crowd (latest attempt after {latest:?}, {} over 0.1 s), peak {peak} KiB, {} violations",
        records.len(),
        distinct.len(),
        delays.iter().filter(|delay| **delay > Duration::from_millis(100)).count(),
        violations.len()
    );
    assert!(answered > CLIENTS * 10, "seed {seed}: hardly any request was answered");
    let name = |violation: String| format!("seed {seed}: {violation}");
    violations.into_iter().map(name).inspect(|violation| eprintln!("{violation}")).collect()
}

#[test]
fn gateways_with_the_least_memory_bear_signals_in_series_and_a_crowd() {
    let number = |name: &str, default| {
        std::env::var(name).ok().map_or(default, |text| text.parse::<u64>().expect("a number"))
    };
    let first = number("DOORCOURSE_FIRST_SEED", 1);
    let seeds = first..first + number("DOORCOURSE_SEEDS", 2);
    let violations: Vec<String> = seeds.flat_map(run).collect();
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}
