//! A rolling restart of eight gateways as processes, under clients that go on sending on every open connection, with one
//! backend that hangs. The verdict uses the records of clients and backends: each accepted request has a complete
//! response, and every process exits before it may be killed. `DOORCOURSE_SEEDS=20` runs 20 seeds instead of one.

mod gateway_process;
#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;

use gateway_process::{Gateway, config, spawn_clients, start};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rig::{Backend, Client, Counter, Discovery, Reply, Shared, WAIT_LIMIT, endpoint, settings, value};
use rustix::process::Signal;
use serde_json::json;
use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
/// How many shut down at once.
const STEP: usize = 2;
const CLIENTS: usize = 32;
/// The longest timeout of the settings, in ms; the platform may kill 0.7 s after it.
const MAX_TIMEOUT_MS: u64 = 1500;
const KILL: Duration = Duration::from_millis(MAX_TIMEOUT_MS + 700);
/// A response this long after its deadline counts as missing; far beyond what a busy machine adds.
const LATE: Duration = Duration::from_millis(1500);

/// One request as its client saw it.
struct RequestRecord {
    id: String,
    /// Whether a response had come on its connection before.
    reused: bool,
    answered: bool,
    late: bool,
}

/// One client: a connection to each gateway that it uses, one request after another.
fn client(
    mut random: ChaCha8Rng, places: &Shared<Vec<Option<SocketAddr>>>, over: &AtomicBool,
) -> Vec<RequestRecord> {
    let (mut open, mut seen) = (BTreeMap::<SocketAddr, (Client, bool)>::new(), Vec::new());
    while !over.load(Ordering::SeqCst) {
        // Every open connection is used, also to a gateway that is shutting down.
        let held = random.random_range(0..4) > 0 && !open.is_empty();
        let address = if held {
            open.keys().nth(random.random_range(0..open.len())).copied()
        } else {
            places.update(|p| p[random.random_range(0..GATEWAYS)])
        };
        let Some(address) = address else { continue };
        let (mut client, reused) = match open.remove(&address) {
            Some(held) => held,
            None => match TcpStream::connect(address) {
                Ok(stream) => (Client::on(stream), false),
                // Its listener is closed: the front end has not been notified yet.
                Err(_) => continue,
            },
        };
        let (class, most) =
            [("lookup", MAX_TIMEOUT_MS), ("save", 1200), ("order", 900)][random.random_range(0..3)];
        let time = random.random_range(most / 2..=most);
        let sent_at = Instant::now();
        let (id, sent) = client.begin_request(class, time as u32);
        let answered = sent && client.read_response().is_some();
        let late = sent_at.elapsed() > Duration::from_millis(time) + LATE;
        seen.push(RequestRecord { id, reused, answered, late });
        if answered {
            open.insert(address, (client, true));
        }
        if random.random_range(0..8) == 0 {
            std::thread::sleep(Duration::from_millis(random.random_range(0..120)));
        }
    }
    seen
}

/// Shuts these down, and kills those that remain when the platform may; whether all had exited by themselves.
fn replace(
    fleet: &mut [Option<Gateway>], seed: u64, file: &serde_json::Value,
    places: &Shared<Vec<Option<SocketAddr>>>, from: usize,
) -> bool {
    let signalled_at = Instant::now();
    let stopping = || from..from + STEP;
    stopping().for_each(|at| fleet[at].as_ref().unwrap().signal(Signal::TERM));
    let mut exited = [false; STEP];
    while signalled_at.elapsed() < KILL && exited.contains(&false) {
        for at in stopping() {
            exited[at - from] |=
                fleet[at].as_mut().unwrap().child.try_wait().unwrap().is_some_and(|s| s.success());
        }
        // The front end is notified some time after the signal.
        if signalled_at.elapsed() > Duration::from_millis(300) {
            places.update(|p| p[from..from + STEP].fill(None));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    places.update(|p| p[from..from + STEP].fill(None));
    for at in stopping() {
        // A process that remains is killed when it is dropped.
        fleet[at] = None;
        let gateway = start(&format!("roll-{seed}-{at}"), file);
        places.update(|p| p[at] = Some(gateway.address));
        fleet[at] = Some(gateway);
    }
    !exited.contains(&false)
}

fn run(seed: u64) -> Vec<String> {
    let mut backends = Vec::new();
    for at in 0..5_u64 {
        backends.push(Backend::start(move |command| {
            if at == 0 {
                return Reply::Withheld;
            }
            std::thread::sleep(Duration::from_millis(15 + (7 * at + 11 * command.connection as u64) % 60));
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
        let time = class["hard-limit-ms"].as_f64().unwrap().min(MAX_TIMEOUT_MS as f64);
        class["hard-limit-ms"] = json!(time);
    }
    let mut fleet: Vec<_> =
        (0..GATEWAYS).map(|at| Some(start(&format!("roll-{seed}-{at}"), &file))).collect();
    let places = Shared::new(fleet.iter().map(|g| g.as_ref().map(|g| g.address)).collect::<Vec<_>>());
    let over = Arc::new(AtomicBool::new(false));
    let client_places = places.clone();
    let stop = over.clone();
    let clients = spawn_clients(CLIENTS, seed, move |random| client(random, &client_places, &stop));
    backends[1].commands.wait("the load", |c| c.len() >= CLIENTS);
    let mut faults = Vec::new();
    for from in (0..GATEWAYS).step_by(STEP) {
        if !replace(&mut fleet, seed, &file, &places, from) {
            faults.push(format!("seed {seed}: gateways {from}.. had to be killed"));
        }
    }
    over.store(true, Ordering::SeqCst);
    let seen: Vec<RequestRecord> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    let ids =
        |b: &Backend| b.commands.update(|c| c.iter().map(|c| c.arguments[2].clone()).collect::<Vec<_>>());
    let forwarded: HashSet<String> = backends.iter().flat_map(ids).collect();
    for seen in &seen {
        // A forwarded request was accepted. An unread one may cross the close of a connection in use, and is sent again.
        if !seen.answered && (forwarded.contains(&seen.id) || !seen.reused) {
            faults
                .push(format!("seed {seed}: request {} was accepted and has no complete response", seen.id));
        } else if seen.late {
            faults.push(format!("seed {seed}: request {} was answered too late", seen.id));
        }
    }
    let answered = seen.iter().filter(|s| s.answered).count();
    eprintln!("seed {seed}: {} requests, {answered} answered, {} faults", seen.len(), faults.len());
    assert!(answered > CLIENTS * 20, "hardly any request was sent");
    faults
}

#[test]
fn rolling_restart_loses_no_accepted_request() {
    let seeds = std::env::var("DOORCOURSE_SEEDS")
        .ok()
        .map_or(1, |s| s.parse().expect("DOORCOURSE_SEEDS is a number"));
    let began = Instant::now();
    let faults: Vec<String> = (1..=seeds).flat_map(run).collect();
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    assert!(began.elapsed() < WAIT_LIMIT * 2 * seeds as u32);
}
