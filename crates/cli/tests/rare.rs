//! Rare events in a fleet of eight gateway processes: discovery goes down and returns with a drain and a backend that
//! has moved, gateways are killed and stopped, one backend hangs, the others freeze for a while, and clients disconnect in
//! all ways. The records of clients and backends are checked. `DOORCOURSE_SEEDS=20` runs 20 seeds instead of one.
//!
//! The limits are tenths of a second, which a busy machine cannot keep: the tests allow more, but less than the delay
//! that each disabled rule causes.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;
#[path = "rare/verdict.rs"]
mod verdict;

use doorcourse_connection_limits::DescriptorBudget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rig::{
    Backend, Client, Counter, Discovery, Reply, Shared, WAIT_LIMIT, endpoint, is_rejected, is_served,
    settings, value,
};
use running_gateway::{Gateway, command, config, set_max_timeout, spawn_clients, start};
use rustix::net::sockopt::set_socket_linger;
use rustix::process::Signal;
use serde_json::{Value as Json, json};
use std::collections::HashSet;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use verdict::{Arrivals, Outcome, RequestRecord, RunRecords};

const GATEWAYS: usize = 8;
const CLIENTS: usize = 24;
/// The longest timeout in the settings, in ms: attempts for a disconnected client could continue for as long.
const MAX_TIMEOUT_MS: u32 = 8000;
/// More commands than a gateway reads at once: the rest stay unread.
const UNREAD_COMMANDS: usize = 200;
/// How long requests may be sent to a draining backend, as set in the settings.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The delay that a busy machine may add to any limit.
const SLACK: Duration = Duration::from_millis(1000);
/// How long one gateway is stopped.
const STOP_DURATION: Duration = Duration::from_millis(1200);

/// A backend that records when each command arrived.
fn backend(script: impl Fn(&rig::Command) -> Reply + Send + Sync + 'static) -> (Backend, Arrivals) {
    let arrivals: Arrivals = Shared::new(Vec::new());
    let recorded = arrivals.clone();
    let backend = Backend::start(move |command| {
        recorded.update(|arrivals| arrivals.push((command.arguments[2].clone(), Instant::now())));
        script(command)
    });
    (backend, arrivals)
}

/// Sends this many requests at once.
fn send_requests(gateway: SocketAddr, count: usize) -> Option<(Client, Vec<String>)> {
    let mut client = Client::on(TcpStream::connect(gateway).ok()?);
    let ids = (0..count).map(|_| client.begin_request("lookup", MAX_TIMEOUT_MS).0).collect();
    Some((client, ids))
}

/// Shuts down a client's sending side: the client counts as disconnected, and its connection stays open here.
fn half_close(
    gateway: SocketAddr, client: Client, ids: Vec<String>, requests: &mut Vec<RequestRecord>,
    half_closed: &mut Vec<Client>,
) {
    if client.stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let disconnected_at = Instant::now();
    requests.extend(ids.into_iter().map(|id| RequestRecord {
        id,
        gateway,
        outcome: Outcome::Disconnected(disconnected_at),
    }));
    half_closed.push(client);
}

/// Sends requests and disconnects: by a close, a half-close or a reset; with and without unread commands.
fn send_and_disconnect(
    random: &mut ChaCha8Rng, gateway: SocketAddr, requests: &mut Vec<RequestRecord>,
    half_closed: &mut Vec<Client>,
) {
    let Some((client, ids)) = send_requests(gateway, [1, 2, UNREAD_COMMANDS][random.random_range(0..3)])
    else {
        return;
    };
    std::thread::sleep(Duration::from_millis(random.random_range(0..150)));
    match random.random_range(0..3) {
        0 => return half_close(gateway, client, ids, requests, half_closed),
        1 => set_socket_linger(&client.stream, Some(Duration::ZERO)).unwrap(),
        _ => {}
    }
    drop(client);
    let disconnected_at = Instant::now();
    requests.extend(ids.into_iter().map(|id| RequestRecord {
        id,
        gateway,
        outcome: Outcome::Disconnected(disconnected_at),
    }));
}

fn client(
    mut random: ChaCha8Rng, addresses: &Shared<Vec<Option<SocketAddr>>>, finished: &AtomicBool,
) -> Vec<RequestRecord> {
    let mut requests = Vec::new();
    let mut half_closed = Vec::new();
    while !finished.load(Ordering::SeqCst) {
        let address = addresses.update(|p| p[random.random_range(0..GATEWAYS)]);
        let Some(gateway) = address else { continue };
        if random.random_range(0..6) == 0 {
            send_and_disconnect(&mut random, gateway, &mut requests, &mut half_closed);
            continue;
        }
        let Ok(stream) = TcpStream::connect(gateway) else { continue };
        let mut client = Client::on(stream);
        for _ in 0..random.random_range(1..8) {
            let class = ["lookup", "save", "order"][random.random_range(0..3)];
            let (id, sent) = client.begin_request(class, random.random_range(400..900));
            let outcome =
                if sent && client.read_response().is_some() { Outcome::Answered } else { Outcome::Lost };
            let lost = matches!(outcome, Outcome::Lost);
            requests.push(RequestRecord { id, gateway, outcome });
            if lost {
                break;
            }
        }
    }
    requests
}

/// Starts a gateway while discovery may be down.
fn start_without_discovery(name: &str, file: &Json) -> Gateway {
    let path = std::env::temp_dir().join(format!("doorcourse-smoke-{}-{name}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).unwrap();
    Gateway::spawn(command(&path), path)
}

fn run(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (hanging_backend, hanging_arrivals) = backend(|_| Reply::Withheld);
    let mut responding = Vec::new();
    let frozen = Shared::new(false);
    // The second backend moves to the address of the last one when discovery returns.
    for index in 0..5_u64 {
        let frozen = frozen.clone();
        responding.push(backend(move |command| {
            frozen.wait("the thaw", |frozen| !frozen);
            std::thread::sleep(Duration::from_millis(20 + (7 * index + 11 * command.connection as u64) % 60));
            Reply::Bytes(value("good"))
        }));
    }
    let endpoint_list = |after_return: bool| -> Vec<Json> {
        let good = (0..4).map(|n| {
            let drains = after_return && n == 0;
            let moves = after_return && n == 1;
            let address = responding[if moves { 4 } else { n }].0.address;
            let mut host = endpoint(&format!("b{n}"), address, if drains { "leaving" } else { "active" });
            host["born_ms"] = json!(u8::from(moves));
            host
        });
        good.chain([endpoint("hangs", hanging_backend.address, "active")]).collect()
    };
    let discovery = Discovery::start(endpoint_list(false));
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    file["settings"] = settings();
    file["settings"]["rules"]["drain-grace-ms"] = json!(DRAIN_GRACE.as_millis());
    file["settings"]["plans"][0]["refill"] = json!(1e6);
    file["settings"]["plans"][0]["burst"] = json!(1e6);
    set_max_timeout(&mut file, MAX_TIMEOUT_MS);
    file["known"] = json!({"seq": 1, "whole": true, "hosts": endpoint_list(false)});
    let mut fleet: Vec<_> =
        (0..GATEWAYS).map(|index| start(&format!("rare-{seed}-{index}"), &file)).collect();
    let addresses = Shared::new(fleet.iter().map(|g| Some(g.address)).collect::<Vec<_>>());
    let finished = Arc::new(AtomicBool::new(false));
    let client_addresses = addresses.clone();
    let client_finished = finished.clone();
    let clients =
        spawn_clients(CLIENTS, seed, move |random| client(random, &client_addresses, &client_finished));
    responding[1].0.commands.wait("the load", |c| c.len() >= CLIENTS * 4);
    // Two are killed while discovery is down and restarted before it returns; one is stopped across its return.
    let mut killed = HashSet::new();
    let first = random.random_range(0..GATEWAYS);
    let [a, b, stopped] = [first, (first + 3) % GATEWAYS, (first + 5) % GATEWAYS];
    discovery.stop_responding();
    // No backend replies meanwhile: queued requests stay queued, also those of clients that disconnect.
    frozen.update(|f| *f = true);
    let mut requests = Vec::new();
    let mut half_closed = Vec::new();
    for gateway in &fleet {
        let (client, ids) = send_requests(gateway.address, UNREAD_COMMANDS).expect("it listens");
        half_close(gateway.address, client, ids, &mut requests, &mut half_closed);
    }
    for index in [a, b] {
        killed.insert(fleet[index].address);
        addresses.update(|p| p[index] = None);
        fleet[index].signal(Signal::KILL);
        fleet[index] = start_without_discovery(&format!("rare-{seed}-{index}-again"), &file);
        addresses.update(|p| p[index] = Some(fleet[index].address));
    }
    // Just before discovery returns, each gateway has a request to it in flight that will not be answered.
    std::thread::sleep(Duration::from_millis(random.random_range(700..1100)));
    fleet[stopped].signal(Signal::STOP);
    discovery.resume_with(endpoint_list(true));
    let discovery_returned_at = Instant::now();
    std::thread::sleep(STOP_DURATION);
    fleet[stopped].signal(Signal::CONT);
    let resumed_at = Instant::now();
    frozen.update(|f| *f = false);
    // Attempts for disconnected clients could continue this long under the load.
    std::thread::sleep(Duration::from_millis(3500));
    finished.store(true, Ordering::SeqCst);
    requests.extend(clients.into_iter().flat_map(|c| c.join().unwrap()));
    let records = RunRecords {
        seed,
        requests: &requests,
        killed_gateways: &killed,
        stopped_gateway: fleet[stopped].address,
        resumed_at,
        hanging_arrivals: &hanging_arrivals,
        responding: &responding,
        discovery_returned_at,
    };
    records.violations()
}

#[test]
fn fleet_keeps_its_limits_while_discovery_clients_and_gateways_fail() {
    let seeds = std::env::var("DOORCOURSE_SEEDS")
        .ok()
        .map_or(1, |s| s.parse().expect("DOORCOURSE_SEEDS is a number"));
    let violations: Vec<String> = (1..=seeds).flat_map(run).collect();
    assert!(
        violations.is_empty(),
        "{} violations:\n{}",
        violations.len(),
        violations[..violations.len().min(20)].join("\n")
    );
}

/// A process that is shutting down and stopped, with 150 connections in its accept queue whose requests are written; `None`
/// where the machine took so long that the listener was closed before.
fn stopped_during_shutdown(file: &Json) -> Option<(Gateway, Vec<Client>)> {
    let mut gateway = start("queue", file);
    assert!(is_served(&Client::open(gateway.address).request("lookup", 2000), "good"));
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("shutting down");
    gateway.signal(Signal::STOP);
    let connect = |_| TcpStream::connect(gateway.address).ok().map(Client::on);
    let mut clients = (0..150).map(connect).collect::<Option<Vec<Client>>>()?;
    clients.iter_mut().for_each(|client| drop(client.send_request("lookup", 2000)));
    Some((gateway, clients))
}

/// Connections in the accept queue, with their requests written, when draining begins: the process was stopped.
#[test]
fn accept_queue_is_answered_when_the_listener_closes() {
    let (good, _) = backend(|_| Reply::Bytes(value("good")));
    let discovery = Discovery::start(vec![endpoint("b0", good.address, "active")]);
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    // Enough descriptors for all of them: another test covers a table that is full of requests.
    file["limits"]["sockets"] = json!(1024);
    let stopped = (0..5).find_map(|_| stopped_during_shutdown(&file));
    let (mut gateway, mut clients) =
        stopped.expect("the machine is too slow for a grace of 0.7 s, five times");
    // The listener closes 0.7 s after the signal.
    std::thread::sleep(Duration::from_millis(750));
    gateway.signal(Signal::CONT);
    let lost = clients.iter_mut().filter_map(|c| c.read_response().is_none().then_some(())).count();
    assert_eq!(lost, 0, "of 150 connections in the accept queue");
    assert!(gateway.child.wait().unwrap().success());
}

/// A response is due in the same iteration in which the idle timeout of its connection is checked: the process was stopped
/// until both were due.
#[test]
fn response_due_with_the_idle_timeout_of_its_connection_is_written() {
    let (silent, _) = backend(|_| Reply::Withheld);
    let discovery = Discovery::start(vec![endpoint("b0", silent.address, "active")]);
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    set_max_timeout(&mut file, MAX_TIMEOUT_MS);
    let gateway = start("age", &file);
    let mut clients: Vec<Client> = (0..20).map(|_| Client::open(gateway.address)).collect();
    let sent_at = Instant::now();
    for client in &mut clients {
        client.send_request("order", 5400);
    }
    std::thread::sleep(Duration::from_millis(5200).saturating_sub(sent_at.elapsed()));
    gateway.signal(Signal::STOP);
    std::thread::sleep(Duration::from_millis(5700).saturating_sub(sent_at.elapsed()));
    gateway.signal(Signal::CONT);
    let lost = clients.iter_mut().filter_map(|c| c.read_response().is_none().then_some(())).count();
    assert_eq!(lost, 0, "of 20 responses");
    assert!(sent_at.elapsed() < WAIT_LIMIT);
}

/// A table that is full of clients with open requests: a new connection's request is rejected, and the connection is not
/// closed unread. The process is stopped until the new requests are written.
#[test]
fn request_beyond_the_table_is_rejected_where_no_connection_may_be_evicted() {
    // Enough backends for a request on each connection.
    let silent: Vec<_> = (0..16).map(|_| backend(|_| Reply::Withheld)).collect();
    let hosts = silent.iter().enumerate().map(|(n, (b, _))| endpoint(&format!("b{n}"), b.address, "active"));
    let discovery = Discovery::start(hosts.collect());
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    file["limits"]["sockets"] = json!(64);
    file["settings"]["extra"]["has-counter"] = json!(false);
    set_max_timeout(&mut file, 30_000);
    let gateway = start("full", &file);
    // A few have no connection to a backend: they are rejected, and may be evicted for new ones.
    let DescriptorBudget { clients: client_slots, backends: backend_slots } = DescriptorBudget::for_limit(64);
    let mut busy: Vec<Client> = (0..client_slots).map(|_| Client::open(gateway.address)).collect();
    busy.iter_mut().for_each(|client| drop(client.send_request("order", 29_000)));
    let sent_at = Instant::now();
    while silent.iter().map(|(b, _)| b.command_count()).sum::<usize>() < backend_slots {
        assert!(sent_at.elapsed() < WAIT_LIMIT, "not all attempts were sent");
        std::thread::yield_now();
    }
    gateway.signal(Signal::STOP);
    let mut newcomers: Vec<Client> =
        (0..4 * (client_slots - backend_slots)).map(|_| Client::open(gateway.address)).collect();
    for client in &mut newcomers {
        client.send_request("lookup", 2000);
        client.send_request("lookup", 2000);
    }
    gateway.signal(Signal::CONT);
    for client in &mut newcomers {
        for _ in 0..2 {
            let answer = client.read_response().expect("a rejection, not a close");
            assert!(is_rejected(&answer), "{answer:?}");
        }
    }
}

/// A process that shuts down closes each connection as it falls idle, and admits no request that would outlast SIGKILL.
/// The order of events is that of the gateway's own clock: a response that is due later is still to come.
#[test]
fn shutdown_closes_idle_connections_and_admits_no_request_past_the_kill() {
    // The platform counts at most 3 s of the longest timeout, and kills 0.7 s after that.
    const KILL_AFTER: Duration = Duration::from_millis(3700);
    // It serves the first command, so that it is not ejected, and none after: two connections may be read in either order.
    let count = AtomicUsize::new(0);
    let (silent, _) = backend(move |command| {
        if command.connection > 1 || count.fetch_add(1, Ordering::SeqCst) > 0 {
            return Reply::Withheld;
        }
        std::thread::sleep(Duration::from_millis(1200));
        Reply::Bytes(value("good"))
    });
    let discovery = Discovery::start(vec![endpoint("b0", silent.address, "active")]);
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    set_max_timeout(&mut file, MAX_TIMEOUT_MS);
    let mut gateway = start("kill", &file);
    let mut early = Client::open(gateway.address);
    let mut busy = Client::open(gateway.address);
    early.send_request("order", 2500);
    silent.commands.wait("the first", |c| c.len() == 1);
    busy.send_request("order", 3000);
    silent.commands.wait("both", |c| c.len() == 2);
    let signalled_at = Instant::now();
    gateway.signal(Signal::TERM);
    let answer = early.read_response().expect("the open request is answered");
    assert!(is_served(&answer, "good"), "{answer:?}");
    early.wait_for_close();
    busy.stream.set_nonblocking(true).unwrap();
    let answered = busy.stream.peek(&mut [0; 64]).map_err(|e| e.kind());
    assert_eq!(
        answered,
        Err(std::io::ErrorKind::WouldBlock),
        "it stayed open until the other's response came"
    );
    busy.stream.set_nonblocking(false).unwrap();
    // Behind the open one, on a connection in use: its own deadline is past the kill, so that its response comes earlier.
    busy.send_request("order", MAX_TIMEOUT_MS);
    assert!(busy.read_response().is_some() && busy.read_response().is_some(), "both have their responses");
    assert!(gateway.child.wait().unwrap().success());
    assert!(
        signalled_at.elapsed() < KILL_AFTER + SLACK,
        "it would have been killed: {:?}",
        signalled_at.elapsed()
    );
}
