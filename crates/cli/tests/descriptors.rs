//! Processes that are short of descriptors, and processes that start while none of their peers responds.

mod gateway_process;
#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;

use doorcourse_resp::Value;
use gateway_process::{Gateway, command, config, start};
use rig::{Backend, Client, Counter, Discovery, Reply, WAIT_LIMIT, endpoint, is_rejected, is_served, value};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, prlimit};
use serde_json::{Value as Json, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A peer whose connections are made by the system and never answered.
fn silent_peer() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Tries on new connections until one attempt succeeds; fails after the limit.
fn retry_until(address: SocketAddr, limit: Duration, what: &str, attempt: impl Fn(&mut Client) -> bool) {
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < limit, "{what}: not within {limit:?}");
        let Ok(stream) = TcpStream::connect(address) else { continue };
        if attempt(&mut Client::on(stream)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn pong(client: &mut Client) -> bool {
    client.send(&["PING"]);
    client.read_response() == Some(Value::Simple("PONG".into()))
}

fn descriptors(gateway: &Gateway) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).unwrap().count()
}

/// Processor time so far, in ticks of 10 ms.
fn ticks(gateway: &Gateway) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", gateway.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn limit(gateway: &Gateway, descriptors: Option<u64>) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit { current: descriptors.or(maximum), maximum };
    prlimit(Some(Pid::from_child(&gateway.child)), Resource::Nofile, limit).unwrap();
}

/// Idle clients use up the descriptors while discovery is down, on a machine that allows fewer than the file states: the
/// gateway is ready, keeps descriptors for discovery, the counter and its file, and serves when discovery is back.
#[test]
fn idle_clients_do_not_use_up_the_reserved_descriptors() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let down = silent_peer();
    let counter = Counter::start();
    let mut file = config(&Discovery::start(Vec::new()), &counter);
    file["discovery"] = json!(down.local_addr().unwrap().to_string());
    file["limits"]["sockets"] = json!(512);
    let path = std::env::temp_dir().join(format!("doorcourse-smoke-{}-idle.json", std::process::id()));
    std::fs::write(&path, file.to_string()).unwrap();
    let program = command(&path).get_program().to_owned();
    let mut shell = std::process::Command::new("sh");
    shell.args(["-c", "ulimit -n 64 && exec \"$0\" platform"]).arg(program);
    shell.env("RELAY_NAME", "n0").env("RELAY_CONFIG", &path).env("RELAY_LISTEN", "127.0.0.1:0");
    let mut gateway = Gateway::spawn(shell, path);
    let address = gateway.address;
    let mut idle: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(address).unwrap()).collect();
    retry_until(address, Duration::from_secs(10), "ready", pong);
    assert!(descriptors(&gateway) <= 64);
    // The file names discovery's new address, and the table stays full of idle clients.
    let back = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    file["discovery"] = json!(back.address.to_string());
    std::fs::write(&gateway.file, file.to_string()).unwrap();
    idle.extend((0..200).map(|_| TcpStream::connect(address).unwrap()));
    gateway.signal(Signal::HUP);
    idle.extend((0..200).map(|_| TcpStream::connect(address).unwrap()));
    gateway.wait_for_log("discovery up");
    idle.extend((0..200).map(|_| TcpStream::connect(address).unwrap()));
    retry_until(address, WAIT_LIMIT, "served", |client| {
        client.try_request("order", 1000).is_some_and(|answer| is_served(&answer, "good"))
    });
    drop(idle);
}

/// No descriptor is left, and no connection may be evicted, since all have an open request: new connections stay in the
/// accept queue, the loop does not spin, the file is reloaded, and the newcomer has its response when a descriptor is free.
#[test]
fn loop_without_descriptors_does_not_spin_and_loses_no_connection() {
    let backend = Backend::start(|command| match &*command.arguments[0] {
        "Q.DO" => Reply::Withheld,
        _ => Reply::Bytes(value("good")),
    });
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut file = config(&discovery, &counter);
    for class in file["settings"]["classes"].as_array_mut().unwrap() {
        class["hard-limit-ms"] = json!(15_000.0);
    }
    let mut gateway = start("short", &file);
    let mut held = Client::open(gateway.address);
    held.send_request("order", 14_000);
    backend.commands.wait("the open request", |c| c.len() == 1);
    limit(&gateway, Some(descriptors(&gateway) as u64));
    let mut newcomer = Client::open(gateway.address);
    newcomer.send_request("lookup", 14_000);
    let before = ticks(&gateway);
    gateway.signal(Signal::HUP);
    gateway.wait_for_log("configuration reloaded");
    std::thread::sleep(Duration::from_millis(1000));
    let used = ticks(&gateway) - before;
    assert!(used < 40, "{used} of 100 ticks of a second");
    limit(&gateway, None);
    // It may have the descriptor of discovery's connection, with none left for a backend: then it is rejected.
    let answer = newcomer.read_response().unwrap();
    assert!(is_served(&answer, "good") || is_rejected(&answer), "{answer:?}");
}

/// Processes restarted at once while no peer responds, with an empty and an old list: all accept requests soon.
#[test]
fn restarted_processes_become_ready_whichever_peer_is_down() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = silent_peer();
    let counter = silent_peer();
    let address = |of: &TcpListener| json!(of.local_addr().unwrap().to_string());
    let good = config(&Discovery::start(Vec::new()), &Counter::start());
    let old = json!({"seq": 7, "whole": true, "hosts": [endpoint("b0", gone, "active")]});
    let mut files: Vec<Json> = Vec::new();
    for down in [address(&discovery), json!(gone.to_string())] {
        for count in [address(&counter), json!(gone.to_string())] {
            for known in [good["known"].clone(), old.clone()] {
                let mut file = good.clone();
                file["discovery"] = down.clone();
                file["counter"] = count.clone();
                file["known"] = known;
                files.push(file);
            }
        }
    }
    for kill in [Signal::KILL, Signal::TERM] {
        let began = Instant::now();
        let mut fleet: Vec<Gateway> = Vec::new();
        for (at, file) in files.iter().enumerate() {
            let path =
                std::env::temp_dir().join(format!("doorcourse-smoke-{}-ready{at}.json", std::process::id()));
            std::fs::write(&path, file.to_string()).unwrap();
            fleet.push(Gateway::spawn(command(&path), path));
        }
        for gateway in &fleet {
            retry_until(gateway.address, Duration::from_secs(10), "ready", pong);
        }
        eprintln!("{} processes ready within {:?}", fleet.len(), began.elapsed());
        for mut gateway in fleet {
            gateway.signal(kill);
            assert_eq!(gateway.child.wait().unwrap().success(), kill == Signal::TERM);
        }
    }
}
