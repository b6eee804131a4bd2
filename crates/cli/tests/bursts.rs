//! Bursts of clients that send much at once and disconnect, at a gateway process whose backends come up late, close idle
//! connections early, reset, or do not answer: when all is over, nothing is taken any more, and no descriptor is left.
//!
//! Each seed plays another order; `DOORCOURSE_SEEDS=200` plays as many seeds instead of 20.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rig::{
    Backend, Client, Counter, Discovery, Reply, StalledBackend, WAIT_LIMIT, endpoint, is_served, value,
};
use running_gateway::{Gateway, command, config};
use rustix::net::sockopt::set_socket_linger;
use serde_json::Value as Json;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: u64 = 20;
/// Seeds that are played at the same time.
const PARALLEL: u64 = 4;
const BURSTS: usize = 12;
const MAX_COMMANDS: usize = 40;
/// The deadline of a client that disconnects, in ms.
const DEADLINE_MS: u32 = 700;
/// The deadline of a client that waits for its answer, in ms.
const ANSWER_DEADLINE_MS: u32 = 2000;

/// A backend that behaves badly until `is_calm` is set.
fn bad_backend(seed: u64, is_calm: &Arc<AtomicBool>) -> Backend {
    let is_calm = is_calm.clone();
    let random = std::sync::Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    Backend::start(move |_| {
        if is_calm.load(Ordering::SeqCst) {
            return Reply::Bytes(value("good"));
        }
        let draw = random.lock().unwrap().random_range(0..8);
        std::thread::sleep(Duration::from_millis(draw * 5));
        match draw {
            0 => Reply::Reset,
            1 => Reply::BytesAndClose(value("good")),
            2 => Reply::Withheld,
            3 => Reply::Bytes(b"-BUSY\r\n".to_vec()),
            _ => Reply::Bytes(value("good")),
        }
    })
}

/// Sends many commands at once, waits a little, and disconnects by a close, a half-close or a reset.
fn send_and_disconnect(random: &mut ChaCha8Rng, gateway: &Gateway) {
    let mut client = Client::open(gateway.address);
    for _ in 0..random.random_range(1..MAX_COMMANDS) {
        let class = ["lookup", "save", "order"][random.random_range(0..3)];
        client.begin_request(class, DEADLINE_MS);
    }
    std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
    match random.random_range(0..3) {
        0 => drop(client.stream.shutdown(Shutdown::Write)),
        1 => drop(set_socket_linger(&client.stream, Some(Duration::ZERO))),
        _ => {}
    }
}

fn start_gateway(seed: u64, discovery: &Discovery, counter: &Counter) -> Gateway {
    let path = std::env::temp_dir().join(format!("doorcourse-burst-{}-{seed}.json", std::process::id()));
    std::fs::write(&path, config(discovery, counter).to_string()).unwrap();
    let mut command = command(&path);
    command.env("DOORCOURSE_LOG", "info,doorcourse::watch=debug");
    let mut gateway = Gateway::spawn(command, path);
    gateway.wait_for_log("discovery up");
    gateway
}

fn descriptor_count(gateway: &Gateway) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).unwrap().count()
}

/// What is taken by the two kinds of log lines that count it.
fn taken(line: &Json) -> Option<u64> {
    let sum = |fields: &[&str]| fields.iter().map(|field| line[*field].as_u64().expect("a count")).sum();
    match line["message"].as_str()? {
        "connections" => Some(sum(&["open_requests", "client_connections"])),
        "backend status" => Some(sum(&["in_flight", "busy", "waiting"])),
        _ => None,
    }
}

/// Waits until the log says in one interval that nothing is taken; returns how many backend connections are open then.
fn wait_until_nothing_is_taken(gateway: &Gateway, seed: u64) -> u64 {
    let mut last = Vec::new();
    let mut is_free = false;
    let mut backend_connections = 0;
    let started_at = Instant::now();
    for line in gateway.log_lines() {
        assert!(started_at.elapsed() < WAIT_LIMIT, "seed {seed}: still taken: {last:#?}");
        assert!(line["message"] != "attempts were lost", "seed {seed}: {line}");
        let Some(taken) = taken(&line) else { continue };
        if line["message"] == "connections" {
            // The lines of one interval begin with this one.
            if is_free {
                return backend_connections;
            }
            is_free = true;
            last.clear();
            backend_connections = line["backend_connections"].as_u64().expect("a count");
        }
        is_free &= taken == 0;
        last.push(line);
    }
    panic!("seed {seed}: the log has ended: {last:#?}");
}

fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let is_calm = Arc::new(AtomicBool::new(false));
    let stalled = StalledBackend::start(|_| Reply::Bytes(value("good")));
    let bad = bad_backend(seed, &is_calm);
    let endpoints = vec![endpoint("b0", stalled.address(), "active"), endpoint("b1", bad.address, "active")];
    let discovery = Discovery::start(endpoints);
    let counter = Counter::start();
    let gateway = start_gateway(seed, &discovery, &counter);
    let descriptors = descriptor_count(&gateway);
    let mut stalled = Some(stalled);
    let mut opened = None;
    for burst in 0..BURSTS {
        if burst == BURSTS / 2 {
            opened = stalled.take().map(StalledBackend::start_accepting);
        }
        send_and_disconnect(&mut random, &gateway);
        std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
    }
    is_calm.store(true, Ordering::SeqCst);
    let backend_connections = wait_until_nothing_is_taken(&gateway, seed);
    let left = descriptor_count(&gateway).saturating_sub(backend_connections as usize);
    assert!(left <= descriptors, "seed {seed}: {left} descriptors left, {descriptors} before");
    let mut client = Client::open(gateway.address);
    let served = (0..200).any(|_| is_served(&client.request("order", ANSWER_DEADLINE_MS), "good"));
    assert!(served, "seed {seed}: nothing is served afterwards");
    drop(opened);
}

/// Guards against places, requests and descriptors that stay taken after clients have disconnected in a burst.
#[test]
fn nothing_stays_taken_after_bursts_of_clients_that_disconnect() {
    let seeds = std::env::var("DOORCOURSE_SEEDS").ok().and_then(|text| text.parse().ok());
    let seeds: u64 = seeds.unwrap_or(DEFAULT_SEEDS);
    for first in (0..seeds).step_by(PARALLEL as usize) {
        std::thread::scope(|scope| {
            for seed in first..seeds.min(first + PARALLEL) {
                scope.spawn(move || play(seed));
            }
        });
    }
}
