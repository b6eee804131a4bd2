//! One client that sends small requests on one connection at full speed, beside another that is served.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use doorcourse_resp::encode_command;
use rig::{Backend, Client, Counter, Discovery, Reply, endpoint, is_rejected, is_served, new_id, value};
use running_gateway::{Gateway, config, start};
use serde_json::json;
use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The least memory that the platform gives a gateway, in MiB.
const LEAST_MEMORY_MIB: u64 = 32;
/// How long the flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// The latency objective of the requests beside the flood.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(800);

/// Writes what `encode` appends at full speed, and reads the responses at full speed. Returns the bytes written.
fn flood(
    gateway: &Gateway, is_over: &Arc<AtomicBool>, encode: impl Fn(usize, &mut Vec<u8>) + Send + 'static,
) -> std::thread::JoinHandle<usize> {
    let mut writer = Client::open(gateway.address).stream;
    let mut reader = writer.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut buffer = [0; 65536];
        while matches!(reader.read(&mut buffer), Ok(1..)) {}
    });
    let is_over = is_over.clone();
    std::thread::spawn(move || {
        writer.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut bytes = Vec::new();
        let mut written = 0;
        for number in 0.. {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            if bytes.len() < 65536 {
                encode(number, &mut bytes);
                continue;
            }
            match writer.write(&bytes) {
                Ok(count) => {
                    bytes.drain(..count);
                    written += count;
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        written
    })
}

/// What the requests of the other client may get.
#[derive(Clone, Copy, PartialEq)]
enum Others {
    /// Each is served: the flood takes nothing from the backend.
    AreServed,
    /// Half of them at least are served, the others rejected: the flood is admitted and overloads the backend.
    MayBeRejected,
}

/// Floods a gateway, and asserts that each request of another client is answered within its latency objective, and that
/// the process stays within its memory limit.
fn assert_others_are_answered(
    name: &str, others: Others, encode: impl Fn(usize, &mut Vec<u8>) + Send + 'static,
) {
    let requests = Arc::new(AtomicUsize::new(0));
    let received = requests.clone();
    let backend = Backend::start(move |_| {
        received.fetch_add(1, Ordering::SeqCst);
        Reply::Bytes(value("good"))
    });
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    config["limits"] = json!({"cores": 1.0, "memory_mb": LEAST_MEMORY_MIB, "sockets": 1024});
    // A customer of this plan is kept for 40 minutes after its last request.
    config["settings"]["plans"].as_array_mut().unwrap().push(json!({"name": "slow", "refill": 0.01,
        "burst": 12.0, "parallel": 0, "cap-rate": 0.0, "ceiling-burst": 0.0, "ceiling-slack": 0.0,
        "worth-factor": 1.0, "over-worth": 0.0, "overrun-cost": 1.0}));
    let mut gateway = start(name, &config);
    let is_over = Arc::new(AtomicBool::new(false));
    let flood = flood(&gateway, &is_over, encode);
    let mut client = Client::open(gateway.address);
    let began = Instant::now();
    let mut latencies = Vec::new();
    let mut served = 0;
    while began.elapsed() < FLOOD_TIME {
        let sent_at = Instant::now();
        let response = client.request("lookup", 2400);
        latencies.push(sent_at.elapsed());
        let is_served = is_served(&response, "good");
        let may_be_rejected = others == Others::MayBeRejected && is_rejected(&response);
        assert!(is_served || may_be_rejected, "{name}: {response:?} after {:?}", sent_at.elapsed());
        served += usize::from(is_served);
        std::thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    let flooded_bytes = flood.join().unwrap();
    let slowest = latencies.iter().max().unwrap();
    println!(
        "{name}: {flooded_bytes} bytes, {} forwarded, slowest {slowest:?}",
        requests.load(Ordering::SeqCst)
    );
    assert!(served * 2 >= latencies.len(), "{name}: {served} of {} served", latencies.len());
    assert!(*slowest <= LATENCY_OBJECTIVE, "{name}: the slowest response took {slowest:?}");
    assert_eq!(gateway.child.try_wait().unwrap(), None, "{name}: the process ended");
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches("kB").trim().parse().unwrap();
    println!("{name}: peak {peak} KiB");
    assert!(peak <= LEAST_MEMORY_MIB << 10, "{name}: peak of {peak} KiB");
}

fn encode_ask(customer: usize, fields: &str, output: &mut Vec<u8>) {
    encode_command(output, &["Q.ASK", &format!("{customer:016x}"), &new_id(), fields]);
}

#[test]
fn requests_of_one_name_at_full_speed_do_not_delay_others() {
    assert_others_are_answered("one-name", Others::MayBeRejected, |_, output| {
        encode_ask(1, "c=lookup,t=team,d=2400,units=1,spread=1,first=0", output);
    });
}

#[test]
fn requests_under_ever_new_names_at_full_speed_do_not_delay_others_or_grow_memory() {
    assert_others_are_answered("new-names", Others::MayBeRejected, |number, output| {
        encode_ask(number + 100, "c=lookup,t=slow,d=2400,units=1,spread=1,first=0", output);
    });
}

#[test]
fn requests_that_expire_at_once_at_full_speed_do_not_delay_others() {
    assert_others_are_answered("expired", Others::AreServed, |number, output| {
        encode_ask(number + 100, "c=lookup,t=slow,d=1,units=1,spread=1,first=0", output);
    });
}

#[test]
fn invalid_requests_at_full_speed_do_not_delay_others() {
    assert_others_are_answered("invalid", Others::AreServed, |number, output| {
        encode_ask(number + 100, "c=nothing,t=team,d=2400,units=1,spread=1,first=0", output);
    });
}

#[test]
fn pings_at_full_speed_do_not_delay_others() {
    assert_others_are_answered("pings", Others::AreServed, |_, output| encode_command(output, &["PING"]));
}
