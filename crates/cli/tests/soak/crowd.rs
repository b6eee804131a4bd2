//! Faulty clients: requests that stop half way, heads of short fields, floods under new names, and clients that leave with
//! much unread.

use crate::rig::{Client, new_id};
use crate::{GATEWAYS, World};
use doorcourse_resp::encode_command;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections of the clients that stop half way, at each gateway.
const HALF_SENT: usize = 150;
/// Requests of a client that leaves.
const LEFT_REQUESTS: usize = 30;

/// The ids of clients that left, and when.
type LeftIds = Vec<(String, Instant)>;

pub(crate) struct Crowd(Vec<JoinHandle<LeftIds>>);

impl Crowd {
    pub(crate) fn join(self) -> LeftIds {
        self.0.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    }
}

pub(crate) fn start(seed: u64, world: Arc<World>) -> Crowd {
    let kinds: [fn(&mut ChaCha8Rng, &World) -> LeftIds; 3] = [stop_half_way, flood, leave];
    let threads = kinds.into_iter().enumerate().map(|(index, kind)| {
        let world = world.clone();
        let mut random = ChaCha8Rng::seed_from_u64(seed * 100 + index as u64);
        std::thread::spawn(move || kind(&mut random, &world))
    });
    Crowd(threads.collect())
}

fn connect(random: &mut ChaCha8Rng, world: &World) -> Option<Client> {
    let address = world.processes[random.random_range(0..GATEWAYS)].address();
    let stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
    Some(Client::on(stream))
}

fn encode(id: &str, customer: &str, class: &str, more_fields: &str, body: &str) -> Vec<u8> {
    let fields = format!("c={class},t=team,d=800,units=1,spread=1,first=0{more_fields}");
    let command = if class == "lookup" { "Q.ASK" } else { "Q.DO" };
    let mut bytes = Vec::new();
    encode_command(&mut bytes, &[command, customer, id, &fields, body]);
    bytes
}

/// Holds many connections with half of a large request each.
fn stop_half_way(random: &mut ChaCha8Rng, world: &World) -> LeftIds {
    let body = "x".repeat(60_000);
    let short_fields = ",r=0".repeat(15_000);
    while !world.is_over.load(Ordering::SeqCst) {
        let mut held = Vec::new();
        for _ in 0..HALF_SENT * GATEWAYS {
            let Some(mut client) = connect(random, world) else { continue };
            let bytes = match random.random_range(0..2) {
                0 => encode(&new_id(), "00000000b4d65521", "order", "", &body),
                _ => encode(&new_id(), "00000000b4d65521", "lookup", &short_fields, "B"),
            };
            let _ = client.stream.write_all(&bytes[..random.random_range(1..bytes.len())]);
            held.push(client);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(100..600)));
    }
    Vec::new()
}

/// Sends small requests with very short deadlines under ever new names.
fn flood(random: &mut ChaCha8Rng, world: &World) -> LeftIds {
    while !world.is_over.load(Ordering::SeqCst) {
        let Some(mut client) = connect(random, world) else { continue };
        let until = Instant::now() + Duration::from_millis(500);
        while Instant::now() < until {
            let mut bytes = Vec::new();
            for _ in 0..20 {
                let customer = format!("{:016x}", random.random_range(0..1_u64 << 33));
                let fields = "c=lookup,t=team,d=1,units=1,spread=1,first=0";
                encode_command(&mut bytes, &["Q.ASK", &customer, &new_id(), fields]);
            }
            if client.stream.write_all(&bytes).is_err() {
                break;
            }
        }
    }
    Vec::new()
}

/// Sends many orders at once and leaves, with a close or a reset.
fn leave(random: &mut ChaCha8Rng, world: &World) -> LeftIds {
    let mut left = Vec::new();
    while !world.is_over.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
        let Some(mut client) = connect(random, world) else { continue };
        let body = "x".repeat(random.random_range(10..12_000));
        let ids: Vec<String> = (0..LEFT_REQUESTS).map(|_| new_id()).collect();
        for id in &ids {
            if client.stream.write_all(&encode(id, "00000000b4d65521", "order", "", &body)).is_err() {
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(random.random_range(0..20)));
        drop(client);
        let left_at = Instant::now();
        left.extend(ids.into_iter().map(|id| (id, left_at)));
    }
    left
}
