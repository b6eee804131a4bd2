//! Gateway processes with the least memory that the platform names, under clients and backends that make them hold much.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use doorcourse_resp::{Value, encode_command};
use rig::{Backend, Client, Counter, Discovery, Reply, endpoint, is_served, new_id, value};
use running_gateway::{Gateway, config, start};
use serde_json::json;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The least memory that the platform gives a gateway, in MiB.
const LEAST_MEMORY_MIB: u64 = 32;
/// Client connections for which a gateway with 1,024 descriptors has room, less some for the clients that are served.
const CROWD: usize = 500;
/// Bytes of a large body; the protocol allows 65,536.
const LARGE_BODY_BYTES: usize = 65_000;
/// The latency objective of the requests beside a crowd.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(800);
/// The time that each crowd is kept up.
const CROWD_TIME: Duration = Duration::from_millis(1500);

/// A gateway with the least memory and its peers.
struct Deployment {
    gateway: Gateway,
    _counter: Counter,
    _discovery: Discovery,
}

impl Deployment {
    fn start(name: &str, backends: &[&Backend]) -> Self {
        let entries =
            backends.iter().enumerate().map(|(n, b)| endpoint(&format!("b{n}"), b.address, "active"));
        let discovery = Discovery::start(entries.collect());
        let counter = Counter::start();
        let mut config = config(&discovery, &counter);
        config["limits"] = json!({"cores": 1.0, "memory_mb": LEAST_MEMORY_MIB, "sockets": 1024});
        config["settings"]["plans"][0]["refill"] = json!(1e6);
        config["settings"]["plans"][0]["burst"] = json!(1e6);
        Self { gateway: start(name, &config), _counter: counter, _discovery: discovery }
    }

    fn client(&self) -> Client {
        Client::open(self.gateway.address)
    }

    fn crowd(&self) -> Vec<Client> {
        (0..CROWD).map(|_| self.client()).collect()
    }

    /// Asserts that the process runs and that it was never above its limit.
    fn assert_within_limit(&mut self) {
        assert_eq!(self.gateway.child.try_wait().unwrap(), None, "the process ended");
        let peak = peak_memory_kib(&self.gateway);
        assert!(peak <= LEAST_MEMORY_MIB << 10, "peak of {peak} KiB with {LEAST_MEMORY_MIB} MiB");
    }
}

fn peak_memory_kib(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse().unwrap()
}

/// A client that sends one small request after another until it is stopped.
struct SteadyClient {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(Value, Duration)>>,
}

impl SteadyClient {
    fn start(deployment: &Deployment, deadline_ms: u32) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = is_stopped.clone();
        let mut client = deployment.client();
        let thread = std::thread::spawn(move || {
            let mut responses = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                let sent_at = Instant::now();
                let response = client.request("lookup", deadline_ms);
                responses.push((response, sent_at.elapsed()));
                std::thread::sleep(Duration::from_millis(10));
            }
            responses
        });
        Self { is_stopped, thread }
    }

    /// Stops the client and asserts that each request was served with `text`, within its latency objective.
    fn assert_all_served(self, text: &str) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let responses = self.thread.join().expect("every request has a response");
        let is_good = |(response, latency): &&(Value, Duration)| {
            is_served(response, text) && *latency <= LATENCY_OBJECTIVE
        };
        let unserved: Vec<_> = responses.iter().filter(|response| !is_good(response)).collect();
        assert!(responses.len() > 20 && unserved.is_empty(), "of {}: {unserved:?}", responses.len());
    }
}

fn encode_request(class: &str, deadline_ms: u32, body: &str) -> Vec<u8> {
    let command = if class == "lookup" { "Q.ASK" } else { "Q.DO" };
    let fields = format!("c={class},t=team,d={deadline_ms},units=1,spread=1,first=0");
    let mut bytes = Vec::new();
    encode_command(&mut bytes, &[command, "00000000b4d65521", &new_id(), &fields, body]);
    bytes
}

#[test]
fn clients_that_stop_half_way_through_large_requests_do_not_exceed_the_memory_limit() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let mut deployment = Deployment::start("half", &[&backend]);
    let steady = SteadyClient::start(&deployment, 2400);
    let mut crowd = deployment.crowd();
    let request = encode_request("order", 1100, &"x".repeat(LARGE_BODY_BYTES));
    let first_half = request.len() - 1000;
    for client in &mut crowd {
        client.stream.write_all(&request[..first_half]).unwrap();
    }
    std::thread::sleep(CROWD_TIME);
    deployment.assert_within_limit();
    steady.assert_all_served("good");
}

#[test]
fn large_requests_that_are_completed_slowly_all_get_a_response_within_the_memory_limit() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let mut deployment = Deployment::start("slow", &[&backend]);
    let mut crowd = deployment.crowd();
    let body = "x".repeat(LARGE_BODY_BYTES);
    let requests: Vec<Vec<u8>> = crowd.iter().map(|_| encode_request("lookup", 2400, &body)).collect();
    let parts = 6;
    for part in 0..parts {
        for (client, request) in crowd.iter_mut().zip(&requests) {
            let length = request.len().div_ceil(parts);
            let end = ((part + 1) * length).min(request.len());
            client.stream.write_all(&request[part * length..end]).unwrap();
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    for (index, client) in crowd.iter_mut().enumerate() {
        let response = client.read_response();
        assert!(response.is_some(), "client {index} was closed without a response");
    }
    deployment.assert_within_limit();
    assert!(is_served(&deployment.client().request("lookup", 2400), "good"));
}

#[test]
fn large_requests_at_hanging_backends_all_get_a_response_within_the_memory_limit() {
    let backends: Vec<Backend> = (0..8).map(|_| Backend::start(|_| Reply::Withheld)).collect();
    let mut deployment = Deployment::start("hang", &backends.iter().collect::<Vec<_>>());
    let mut crowd = deployment.crowd();
    let body = "x".repeat(LARGE_BODY_BYTES);
    let commands_each = 4;
    for client in &mut crowd {
        for _ in 0..commands_each {
            client.stream.write_all(&encode_request("lookup", 2400, &body)).unwrap();
        }
    }
    for (index, client) in crowd.iter_mut().enumerate() {
        for command in 0..commands_each {
            let response = client.read_response();
            assert!(response.is_some(), "client {index} was closed without response {command}");
        }
    }
    deployment.assert_within_limit();
}

#[test]
fn commands_with_very_many_short_fields_do_not_exceed_the_memory_limit() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let mut deployment = Deployment::start("fields", &[&backend]);
    let steady = SteadyClient::start(&deployment, 2400);
    let mut crowd = deployment.crowd();
    let fields = format!("c=lookup,t=team,d=2400,units=1,spread=1,first=0{}", ",r=0".repeat(16_000));
    for (index, client) in crowd.iter_mut().enumerate() {
        let mut bytes = Vec::new();
        encode_command(&mut bytes, &["Q.ASK", "00000000b4d65521", &new_id(), &fields]);
        let sent = if index % 2 == 0 { bytes.len() } else { bytes.len() - 100 };
        client.stream.write_all(&bytes[..sent]).unwrap();
    }
    std::thread::sleep(CROWD_TIME);
    deployment.assert_within_limit();
    steady.assert_all_served("good");
    for client in crowd.iter_mut().step_by(2) {
        assert!(client.read_response().is_some(), "a complete command has a response");
    }
}

#[test]
fn clients_that_read_nothing_of_large_responses_do_not_exceed_the_memory_limit() {
    let large = "x".repeat(LARGE_BODY_BYTES);
    let is_large = move |arguments: &[String]| arguments.len() == 5;
    let backends: Vec<Backend> = (0..8)
        .map(|_| {
            let large = large.clone();
            Backend::start(move |c| Reply::Bytes(value(if is_large(&c.arguments) { &large } else { "good" })))
        })
        .collect();
    let mut deployment = Deployment::start("unread", &backends.iter().collect::<Vec<_>>());
    let mut crowd = deployment.crowd();
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        for client in &mut crowd {
            // A connection that was closed because its client reads nothing cannot be written.
            let _ = client.stream.set_nonblocking(true);
            let _ = client.stream.write_all(&encode_request("lookup", 2400, "large").repeat(4));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    deployment.assert_within_limit();
    drop(crowd);
    let mut client = deployment.client();
    let served = (0..50).any(|_| {
        std::thread::sleep(Duration::from_millis(100));
        is_served(&client.request("lookup", 2400), "good")
    });
    assert!(served, "the gateway serves again once the crowd is gone");
}

#[test]
fn backends_that_stop_within_large_responses_do_not_exceed_the_memory_limit() {
    let half = value(&"x".repeat(LARGE_BODY_BYTES))[..LARGE_BODY_BYTES - 1000].to_vec();
    let backends: Vec<Backend> = (0..40)
        .map(|_| {
            let half = half.clone();
            Backend::start(move |_| Reply::Bytes(half.clone()))
        })
        .collect();
    let mut deployment = Deployment::start("stalled", &backends.iter().collect::<Vec<_>>());
    let mut crowd = deployment.crowd();
    for client in &mut crowd {
        client.stream.write_all(&encode_request("lookup", 1500, "body")).unwrap();
    }
    for (index, client) in crowd.iter_mut().enumerate() {
        assert!(client.read_response().is_some(), "client {index} was closed without a response");
    }
    deployment.assert_within_limit();
}
