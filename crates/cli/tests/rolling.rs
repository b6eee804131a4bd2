//! A rolling restart of eight gateways as processes, under clients that go on asking on whatever stays open, with one
//! backend that hangs. Judged from the records of clients and backends: what was taken has its whole answer, and every
//! process ends by itself before it may be killed. `DOORCOURSE_SEEDS=20` plays so many seeds instead of one.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rig::{Answer, Backend, Client, Counter, Discovery, LIMIT, Shared, host, settings, value};
use running::{Gateway, config, crowd, start};
use rustix::process::Signal;
use serde_json::json;
use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
/// How many are told to leave at once.
const STEP: usize = 2;
const CLIENTS: usize = 32;
/// The settings' longest time, after which and 0.7 s the platform may kill.
const LONGEST: u64 = 1500;
const KILL: Duration = Duration::from_millis(LONGEST + 700);
/// An answer later than this past its time is as good as none; far beyond what a busy machine adds.
const LATE: Duration = Duration::from_millis(1500);

/// What became of one request, as its client saw it.
struct Seen {
    id: String,
    /// How its connection stood: whether an answer had come on it before.
    reused: bool,
    answered: bool,
    late: bool,
}

/// One client: a connection to each gateway that it asks, one request after another.
fn client(mut random: ChaCha8Rng, places: &Shared<Vec<Option<SocketAddr>>>, over: &AtomicBool) -> Vec<Seen> {
    let (mut open, mut seen) = (BTreeMap::<SocketAddr, (Client, bool)>::new(), Vec::new());
    while !over.load(Ordering::SeqCst) {
        // Whatever connection stays open is used, also to a gateway that is told to leave.
        let held = random.random_range(0..4) > 0 && !open.is_empty();
        let address = if held {
            open.keys().nth(random.random_range(0..open.len())).copied()
        } else {
            places.change(|p| p[random.random_range(0..GATEWAYS)])
        };
        let Some(address) = address else { continue };
        let (mut client, reused) = match open.remove(&address) {
            Some(held) => held,
            None => match TcpStream::connect(address) {
                Ok(stream) => (Client::over(stream), false),
                // Its doors are closed: the front has not heard yet.
                Err(_) => continue,
            },
        };
        let (class, most) = [("lookup", LONGEST), ("save", 1200), ("order", 900)][random.random_range(0..3)];
        let time = random.random_range(most / 2..=most);
        let (asked, id) = (Instant::now(), client.begin_ask(class, time as u32));
        let answered = id.1 && client.answer().is_some();
        let late = asked.elapsed() > Duration::from_millis(time) + LATE;
        seen.push(Seen { id: id.0, reused, answered, late });
        if answered {
            open.insert(address, (client, true));
        }
        if random.random_range(0..8) == 0 {
            std::thread::sleep(Duration::from_millis(random.random_range(0..120)));
        }
    }
    seen
}

/// Tells these to leave, and kills what is left of them when the platform may; whether all had ended by themselves.
fn replace(
    fleet: &mut [Option<Gateway>], seed: u64, file: &serde_json::Value,
    places: &Shared<Vec<Option<SocketAddr>>>, from: usize,
) -> bool {
    let told = Instant::now();
    let leaving = || from..from + STEP;
    leaving().for_each(|at| fleet[at].as_ref().unwrap().signal(Signal::TERM));
    let mut ended = [false; STEP];
    while told.elapsed() < KILL && ended.contains(&false) {
        for at in leaving() {
            ended[at - from] |=
                fleet[at].as_mut().unwrap().child.try_wait().unwrap().is_some_and(|s| s.success());
        }
        // The front hears of it some time after the word.
        if told.elapsed() > Duration::from_millis(300) {
            places.change(|p| p[from..from + STEP].fill(None));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    places.change(|p| p[from..from + STEP].fill(None));
    for at in leaving() {
        // What is left is killed as it goes.
        fleet[at] = None;
        let gateway = start(&format!("roll-{seed}-{at}"), file);
        places.change(|p| p[at] = Some(gateway.address));
        fleet[at] = Some(gateway);
    }
    !ended.contains(&false)
}

fn play(seed: u64) -> Vec<String> {
    let mut backends = Vec::new();
    for at in 0..5_u64 {
        backends.push(Backend::start(move |command| {
            if at == 0 {
                return Answer::Silence;
            }
            std::thread::sleep(Duration::from_millis(15 + (7 * at + 11 * command.connection as u64) % 60));
            Answer::Bytes(value("good"))
        }));
    }
    let hosts =
        backends.iter().enumerate().map(|(n, b)| host(&format!("b{n}"), b.address, "active")).collect();
    let (discovery, counter) = (Discovery::start(hosts), Counter::start());
    let mut file = config(&discovery, &counter);
    file["settings"] = settings();
    for class in file["settings"]["classes"].as_array_mut().unwrap() {
        let time = class["hard-limit-ms"].as_f64().unwrap().min(LONGEST as f64);
        class["hard-limit-ms"] = json!(time);
    }
    let mut fleet: Vec<_> =
        (0..GATEWAYS).map(|at| Some(start(&format!("roll-{seed}-{at}"), &file))).collect();
    let places = Shared::new(fleet.iter().map(|g| g.as_ref().map(|g| g.address)).collect::<Vec<_>>());
    let over = Arc::new(AtomicBool::new(false));
    let (asked, until) = (places.clone(), over.clone());
    let clients = crowd(CLIENTS, seed, move |random| client(random, &asked, &until));
    backends[1].commands.wait("the load", |c| c.len() >= CLIENTS);
    let mut faults = Vec::new();
    for from in (0..GATEWAYS).step_by(STEP) {
        if !replace(&mut fleet, seed, &file, &places, from) {
            faults.push(format!("seed {seed}: gateways {from}.. had to be killed"));
        }
    }
    over.store(true, Ordering::SeqCst);
    let seen: Vec<Seen> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    let ids = |b: &Backend| b.commands.change(|c| c.iter().map(|c| c.words[2].clone()).collect::<Vec<_>>());
    let sent_on: HashSet<String> = backends.iter().flat_map(ids).collect();
    for seen in &seen {
        // Sent on, it was surely taken. What no gateway had read may cross the end of a connection in use, and is sent again.
        if !seen.answered && (sent_on.contains(&seen.id) || !seen.reused) {
            faults.push(format!("seed {seed}: request {} was taken and has no whole answer", seen.id));
        } else if seen.late {
            faults.push(format!("seed {seed}: request {} was answered too late", seen.id));
        }
    }
    let answered = seen.iter().filter(|s| s.answered).count();
    eprintln!("seed {seed}: {} requests, {answered} answered, {} faults", seen.len(), faults.len());
    assert!(answered > CLIENTS * 20, "hardly anything was asked");
    faults
}

#[test]
fn a_rolling_restart_loses_nothing_that_was_taken() {
    let seeds = std::env::var("DOORCOURSE_SEEDS")
        .ok()
        .map_or(1, |s| s.parse().expect("DOORCOURSE_SEEDS is a number"));
    let began = Instant::now();
    let faults: Vec<String> = (1..=seeds).flat_map(play).collect();
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    assert!(began.elapsed() < LIMIT * 2 * seeds as u32);
}
