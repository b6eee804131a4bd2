//! Gateway processes that are short of descriptors, and processes that start while none of their peers responds.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use doorcourse_resp::Value;
use rig::{Backend, Client, Counter, Discovery, Reply, WAIT_LIMIT, endpoint, is_rejected, is_served, value};
use running_gateway::{Gateway, command, config, start};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, prlimit};
use serde_json::{Value as Json, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A peer whose connections are established by the system but never answered.
fn silent_peer() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Repeats the attempt, each time on a new connection, until it succeeds; panics after the limit.
fn retry_until(address: SocketAddr, limit: Duration, what: &str, attempt: impl Fn(&mut Client) -> bool) {
    let started_at = Instant::now();
    loop {
        assert!(started_at.elapsed() < limit, "{what}: not within {limit:?}");
        let Ok(stream) = TcpStream::connect(address) else { continue };
        if attempt(&mut Client::on(stream)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn responds_to_ping(client: &mut Client) -> bool {
    client.send(&["PING"]);
    client.read_response() == Some(Value::Simple("PONG".into()))
}

fn descriptor_count(gateway: &Gateway) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).unwrap().count()
}

/// Processor time used so far, in ticks of 10 ms.
fn cpu_ticks(gateway: &Gateway) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", gateway.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn set_descriptor_limit(gateway: &Gateway, limit: Option<u64>) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limits = Rlimit { current: limit.or(maximum), maximum };
    prlimit(Some(Pid::from_child(&gateway.child)), Resource::Nofile, limits).unwrap();
}

/// Idle clients use up the descriptors while discovery is down, on a machine that allows fewer than the file states: the
/// gateway is ready, keeps descriptors for discovery, the counter and its file, and serves when discovery is back.
#[test]
fn idle_clients_do_not_use_up_the_reserved_descriptors() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let silent_discovery = silent_peer();
    let counter = Counter::start();
    let mut file = config(&Discovery::start(Vec::new()), &counter);
    file["discovery"] = json!(silent_discovery.local_addr().unwrap().to_string());
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
    retry_until(address, Duration::from_secs(10), "ready", responds_to_ping);
    assert!(descriptor_count(&gateway) <= 64);
    // The file gets a new address for discovery while the client table stays full of idle clients.
    let new_discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    file["discovery"] = json!(new_discovery.address.to_string());
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
/// accept queue, the loop does not spin, the file is reloaded, and the new client has its response when a descriptor is free.
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
    let mut busy_client = Client::open(gateway.address);
    busy_client.send_request("order", 14_000);
    backend.commands.wait("the open request", |c| c.len() == 1);
    set_descriptor_limit(&gateway, Some(descriptor_count(&gateway) as u64));
    let mut new_client = Client::open(gateway.address);
    new_client.send_request("lookup", 14_000);
    let ticks_before = cpu_ticks(&gateway);
    gateway.signal(Signal::HUP);
    gateway.wait_for_log("configuration reloaded");
    std::thread::sleep(Duration::from_millis(1000));
    let used_ticks = cpu_ticks(&gateway) - ticks_before;
    assert!(used_ticks < 40, "{used_ticks} of 100 ticks of a second");
    set_descriptor_limit(&gateway, None);
    // It is rejected if its client got the descriptor of the connection to discovery and none is left for a backend.
    let answer = new_client.read_response().unwrap();
    assert!(is_served(&answer, "good") || is_rejected(&answer), "{answer:?}");
}

/// Processes restarted at once while no peer responds, with an empty and an old list: all accept requests soon.
#[test]
fn restarted_processes_become_ready_whichever_peer_is_down() {
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = silent_peer();
    let counter = silent_peer();
    let address = |of: &TcpListener| json!(of.local_addr().unwrap().to_string());
    let valid = config(&Discovery::start(Vec::new()), &Counter::start());
    let old_list = json!({"seq": 7, "whole": true, "hosts": [endpoint("b0", refusing, "active")]});
    let mut files: Vec<Json> = Vec::new();
    for discovery_address in [address(&discovery), json!(refusing.to_string())] {
        for counter_address in [address(&counter), json!(refusing.to_string())] {
            for known in [valid["known"].clone(), old_list.clone()] {
                let mut file = valid.clone();
                file["discovery"] = discovery_address.clone();
                file["counter"] = counter_address.clone();
                file["known"] = known;
                files.push(file);
            }
        }
    }
    for exit_signal in [Signal::KILL, Signal::TERM] {
        let started_at = Instant::now();
        let mut fleet: Vec<Gateway> = Vec::new();
        for (index, file) in files.iter().enumerate() {
            let path = std::env::temp_dir()
                .join(format!("doorcourse-smoke-{}-ready{index}.json", std::process::id()));
            std::fs::write(&path, file.to_string()).unwrap();
            fleet.push(Gateway::spawn(command(&path), path));
        }
        for gateway in &fleet {
            retry_until(gateway.address, Duration::from_secs(10), "ready", responds_to_ping);
        }
        eprintln!("{} processes ready within {:?}", fleet.len(), started_at.elapsed());
        for mut gateway in fleet {
            gateway.signal(exit_signal);
            assert_eq!(gateway.child.wait().unwrap().success(), exit_signal == Signal::TERM);
        }
    }
}
