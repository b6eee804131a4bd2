//! Bursts of clients that send complete or partial requests and disconnect, at a gateway with a backend that comes up late and
//! one that fails in several ways: when all is over, nothing is taken any more, and no descriptor is left.
//!
//! The only test of its process, whose descriptors it counts.

mod helper;

use helper::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::net::sockopt::set_socket_linger;
use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};

const SEEDS: u64 = 20;
const BURSTS: usize = 8;
const MAX_CLIENTS: usize = 24;
/// More requests than all bursts together send, and their retries.
const STEPS: usize = 4 * BURSTS * MAX_CLIENTS;

/// A backend that responds, resets, closes, or rejects; it keeps no connection.
fn bad_backend(random: &mut ChaCha8Rng) -> ScriptedBackend {
    let step = |draw: u32| -> Step {
        Box::new(move |stream| {
            std::thread::sleep(Duration::from_millis(u64::from(draw)));
            let response = ok_response(RESPONSE_BODY);
            let bytes: &[u8] = match draw {
                0 => &response[..response.len() / 2],
                1 => b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n",
                2 => b"",
                _ => &response,
            };
            let _ = stream.write_all(bytes);
            if draw == 2 {
                let _ = set_socket_linger(&*stream, Some(Duration::ZERO));
            }
            false
        })
    };
    scripted_backend((0..STEPS).map(|_| step(random.random_range(0..8))).collect())
}

/// Some clients send a complete or partial request, and disconnect by a close, a half-close or a reset.
fn burst(random: &mut ChaCha8Rng, gateway: &TestGateway) {
    let request = post("free", [PREVIEW, LICENCE, PLAYLIST][random.random_range(0..3)], "");
    let mut clients: Vec<_> = (0..random.random_range(1..=MAX_CLIENTS)).map(|_| gateway.client()).collect();
    for client in &mut clients {
        let is_whole = random.random_bool(0.8);
        let length = if is_whole { request.len() } else { random.random_range(1..request.len()) };
        client.write(&request[..length]);
    }
    std::thread::sleep(Duration::from_millis(random.random_range(0..40)));
    for client in &clients {
        match random.random_range(0..3) {
            0 => drop(client.stream.shutdown(Shutdown::Write)),
            1 => drop(set_socket_linger(&client.stream, Some(Duration::ZERO))),
            _ => {}
        }
    }
}

/// Responds to each request on a connection of its own.
fn serve_all(listener: TcpListener) {
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                if read_request(&mut stream).is_some() {
                    let _ = stream.write_all(&ok_response(RESPONSE_BODY));
                }
            });
        }
    });
}

fn metric(gateway: &TestGateway, name: &str) -> f64 {
    let metrics = get_monitoring(gateway, "/metrics").body;
    let line = metrics.lines().find(|line| line.starts_with(name)).unwrap_or_else(|| panic!("no {name}"));
    line.rsplit(' ').next().and_then(|value| value.parse().ok()).expect("a number")
}

fn wait_until(seed: u64, what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "seed {seed}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn descriptor_count() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("a list of descriptors").count()
}

fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let late = PendingBackend::start();
    let bad = bad_backend(&mut random);
    let gateway = TestGateway::new(&[late.address, bad.address], "health { listen: \"127.0.0.1:0\" }");
    wait_until(seed, "not ready", || get_monitoring(&gateway, "/ready").status == 200);
    let descriptors = descriptor_count();
    let mut late = Some(late);
    for number in 0..BURSTS {
        if number == BURSTS / 2
            && let Some(late) = late.take()
        {
            serve_all(late.open());
        }
        burst(&mut random, &gateway);
    }
    for name in [
        "doorcourse_requests_open",
        "doorcourse_node_attempts{node=\"n0\"}",
        "doorcourse_node_attempts{node=\"n1\"}",
        "doorcourse_client_connections",
        "doorcourse_held_bytes",
    ] {
        wait_until(seed, name, || metric(&gateway, name) == 0.0);
    }
    wait_until(seed, "descriptors are left", || descriptor_count() <= descriptors);
    assert!(metric(&gateway, "doorcourse_lost_attempts") == 0.0, "seed {seed}");
    let served = (0..200).any(|_| gateway.request("free", PREVIEW).status == 200);
    assert!(served, "seed {seed}: nothing is served afterwards");
}

/// Guards against places, requests, bytes and descriptors that stay taken after clients have disconnected in a burst.
#[test]
fn nothing_stays_taken_after_bursts_of_clients_that_disconnect() {
    (0..SEEDS).for_each(play);
}
