//! A gateway process whose log cannot be written.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use doorcourse_resp::Value;
use rig::{Backend, Client, Counter, Discovery, Reply, WAIT_LIMIT, endpoint, is_served, value};
use running_gateway::{command, config};
use serde_json::{Value as Json, json};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

/// A gateway process, killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a gateway that logs much to `stderr`, and asserts that it starts and serves for a while. Calls `afterwards`
/// while it runs.
fn assert_serves_with(name: &str, stderr: Stdio, afterwards: impl FnOnce(&mut Client)) {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    config["listen"] = json!(address.to_string());
    let file = std::env::temp_dir().join(format!("doorcourse-log-{}-{name}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).unwrap();
    let mut command = command(&file);
    command.env("RELAY_LISTEN", address.to_string()).env("DOORCOURSE_LOG", "trace").stderr(stderr);
    let mut process = Process(command.spawn().unwrap());
    let mut client = connect(&mut process, address);
    for _ in 0..200 {
        assert!(is_served(&client.request("lookup", 2000), "good"), "{name}");
    }
    assert_eq!(process.0.try_wait().unwrap(), None, "{name}: the process ended");
    std::fs::remove_file(&file).unwrap();
    afterwards(&mut client);
}

fn connect(process: &mut Process, address: SocketAddr) -> Client {
    let started_at = Instant::now();
    loop {
        assert_eq!(process.0.try_wait().unwrap(), None, "the process ended");
        assert!(started_at.elapsed() < WAIT_LIMIT, "the process does not respond");
        std::thread::sleep(Duration::from_millis(10));
        let Ok(stream) = TcpStream::connect(address) else { continue };
        let mut client = Client::on(stream);
        if client.call(&["PING"]) == Value::Simple("PONG".into()) {
            return client;
        }
    }
}

#[test]
fn process_serves_while_its_log_is_on_a_full_disk() {
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    assert_serves_with("full-disk", full.into(), |_| ());
}

#[test]
fn process_serves_after_the_reader_of_its_log_has_ended() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    assert_serves_with("closed-pipe", writer.into(), |_| ());
}

#[test]
fn process_serves_while_the_reader_of_its_log_has_stopped_and_counts_the_lines_that_it_drops() {
    let (reader, writer) = std::io::pipe().unwrap();
    assert_serves_with("stopped-reader", writer.into(), |client| {
        let mut lines = BufReader::new(reader).lines();
        let is_count = |line: &str| {
            let line: Json = serde_json::from_str(line).expect("each line is whole");
            line["message"] == "log lines dropped" && line["lines"].as_u64().unwrap() > 0
        };
        // The pipe is full of lines; the next ones are written as it is read.
        let deadline = Instant::now() + WAIT_LIMIT;
        while !is_count(&lines.next().unwrap().unwrap()) {
            assert!(Instant::now() < deadline, "the dropped lines are not counted");
            assert!(is_served(&client.request("lookup", 2000), "good"));
        }
    });
}
