//! Runs a RESP gateway between scripted peers on loopback: backends, discovery, the counter and clients.
//!
//! Each test scripts what its peers do. Tests wait for events, with one generous limit, and not for a time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use doorcourse_http::{Decoder, Limits, Part, Role};
use doorcourse_resp::{CommandLimits, Commands, Value, decode};
use doorcourse_resp_gateway::{Config, GatewayHandle, RespGateway};
use serde_json::{Value as Json, json};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// The limit of every wait: far beyond what any of them takes.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// State that tests and peers share, and wait for.
pub struct Shared<T>(Mutex<T>, Condvar);

impl<T> Shared<T> {
    pub fn new(value: T) -> Arc<Self> {
        Arc::new(Self(Mutex::new(value), Condvar::new()))
    }

    pub fn update<R>(&self, update: impl FnOnce(&mut T) -> R) -> R {
        let result = update(&mut self.0.lock().unwrap());
        self.1.notify_all();
        result
    }

    /// Waits until the condition holds; `what` names it in the failure.
    pub fn wait(&self, what: &str, condition: impl Fn(&T) -> bool) {
        let guard = self.0.lock().unwrap();
        let waited = self.1.wait_timeout_while(guard, WAIT_LIMIT, |value| !condition(value));
        let (guard, result) = waited.unwrap();
        drop(guard);
        assert!(!result.timed_out(), "timed out waiting for: {what}");
    }
}

/// Chooses the reply of a backend to a command.
pub type Script = dyn Fn(&Command) -> Reply + Send + Sync;

/// A command that a backend received.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    pub arguments: Vec<String>,
    /// The number of its connection at this backend, from 1.
    pub connection: usize,
}

/// What a scripted backend does about a command.
pub enum Reply {
    Bytes(Vec<u8>),
    /// Writes this and closes the connection in order.
    BytesAndClose(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Does not reply.
    Withheld,
}

/// A successful reply with this value.
pub fn value(text: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()).into_bytes()
}

pub struct Backend {
    pub address: SocketAddr,
    pub commands: Arc<Shared<Vec<Command>>>,
    /// The numbers of connections that have closed.
    pub closed_connections: Arc<Shared<Vec<usize>>>,
}

impl Backend {
    pub fn start(script: impl Fn(&Command) -> Reply + Send + Sync + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap(), Box::new(script))
    }

    fn on(listener: TcpListener, script: Box<Script>) -> Self {
        let address = listener.local_addr().unwrap();
        let commands = Shared::new(Vec::new());
        let closed_connections = Shared::new(Vec::new());
        let received = commands.clone();
        let closed = closed_connections.clone();
        let script = Arc::new(script);
        std::thread::spawn(move || {
            let count = AtomicUsize::new(0);
            for stream in listener.incoming().flatten() {
                let connection = count.fetch_add(1, Ordering::SeqCst) + 1;
                let received = received.clone();
                let closed = closed.clone();
                let script = script.clone();
                std::thread::spawn(move || {
                    serve(stream, connection, &received, &*script);
                    closed.update(|closed| closed.push(connection));
                });
            }
        });
        Self { address, commands, closed_connections }
    }

    pub fn command_count(&self) -> usize {
        self.commands.update(|commands| commands.len())
    }
}

/// A backend whose connections are not made until it is opened: its accept queue is full, as on an overloaded machine.
pub struct LateBackend {
    listener: TcpListener,
    queued: Vec<TcpStream>,
    script: Box<Script>,
}

impl LateBackend {
    pub fn start(script: impl Fn(&Command) -> Reply + Send + Sync + 'static) -> Self {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&fd, 0).unwrap();
        let listener = TcpListener::from(fd);
        let address = listener.local_addr().unwrap();
        // The queue is full once a connection is not made any more.
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            queued.push(stream);
        }
        Self { listener, queued, script: Box::new(script) }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts connections. Those refused so far are made when the system retries, within a second or so.
    pub fn open(self) -> Backend {
        let Self { listener, queued, script } = self;
        let backend = Backend::on(listener, script);
        drop(queued);
        backend
    }
}

fn serve(mut stream: TcpStream, connection: usize, received: &Shared<Vec<Command>>, script: &Script) {
    let mut commands = Commands::new(CommandLimits { words: 8, word: 64 << 10, bytes: 128 << 10 });
    let mut input = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        while let Some((ranges, length)) = commands.read(&input).expect("the gateway writes valid commands") {
            let argument = |range: std::ops::Range<usize>| String::from_utf8(input[range].to_vec()).unwrap();
            let arguments = ranges.into_iter().map(argument).collect();
            input.drain(..length);
            let command = Command { arguments, connection };
            received.update(|received| received.push(command.clone()));
            match script(&command) {
                Reply::Bytes(bytes) => {
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Reply::BytesAndClose(bytes) => {
                    let _ = stream.write_all(&bytes);
                    return;
                }
                Reply::Reset => {
                    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                    return;
                }
                Reply::Withheld => {}
            }
        }
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => input.extend_from_slice(&buffer[..n]),
            _ => return,
        }
    }
}

/// Discovery: an endpoint list, and changes that are pushed to all watches.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Shared<DiscoveryState>>,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    endpoints: Vec<Json>,
    watches: Vec<TcpStream>,
    request_count: usize,
    /// Requests are read and never answered.
    is_silent: bool,
}

pub fn endpoint(name: &str, address: SocketAddr, health: &str) -> Json {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m2", "block": 1,
        "health": health, "share": 1.0, "born_ms": 0})
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes()
}

impl Discovery {
    pub fn start(endpoints: Vec<Json>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Shared::new(DiscoveryState { version: 1, endpoints, ..DiscoveryState::default() });
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || Self::serve(stream, &shared));
            }
        });
        Self { address, state }
    }

    fn serve(stream: TcpStream, state: &Shared<DiscoveryState>) {
        each_target(stream, |target, stream| {
            state.update(|s| {
                s.request_count += 1;
                if s.is_silent {
                    return Ok(());
                }
                let list = json!({"seq": s.version, "whole": true, "hosts": s.endpoints}).to_string();
                if !target.contains("watch=1") {
                    return write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
                }
                let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                stream.write_all(&[&head[..], &chunk(&list)].concat())?;
                s.watches.push(stream.try_clone()?);
                Ok(())
            })
        });
    }

    /// Sends changes to all watches.
    pub fn publish_changes(&self, endpoints: Vec<Json>) {
        self.state.update(|s| {
            s.version += 1;
            let line = chunk(&json!({"seq": s.version, "whole": false, "hosts": endpoints}).to_string());
            s.watches.retain_mut(|w| w.write_all(&line).is_ok());
        });
    }

    /// Writes a line unchanged to all watches.
    pub fn publish_line(&self, line: &str) {
        self.state.update(|s| s.watches.retain_mut(|w| w.write_all(&chunk(line)).is_ok()));
    }

    /// Goes down: all watches are closed, and requests are never answered, also those that are open at the return.
    pub fn stop_responding(&self) {
        self.state.update(|s| s.is_silent = true);
        self.close_watches();
    }

    /// Returns with this list.
    pub fn resume_with(&self, endpoints: Vec<Json>) {
        self.state.update(|s| {
            s.is_silent = false;
            s.version += 1;
            s.endpoints = endpoints;
        });
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        self.state.update(|s| s.watches.drain(..).for_each(|w| drop(w.shutdown(std::net::Shutdown::Both))));
    }

    /// Replaces the list without notifying the watches.
    pub fn set_endpoints(&self, endpoints: Vec<Json>) {
        self.state.update(|s| {
            s.version += 1;
            s.endpoints = endpoints;
        });
    }

    pub fn wait_for_requests(&self, count: usize) {
        self.state.wait("requests to discovery", |s| s.request_count >= count);
    }
}

/// The counter: totals by name.
pub struct Counter {
    pub address: SocketAddr,
    pub totals: Arc<Shared<HashMap<String, f64>>>,
    pub fault: Arc<Shared<CounterFault>>,
}

/// How the counter misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterFault {
    None,
    /// Rejects each call with status 503.
    Rejects,
    /// Adds, and responds without a number.
    NoNumber,
    /// Adds, and does not respond.
    NoResponse,
    /// Sends an interim response first.
    InterimResponse,
}

impl Counter {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let totals = Shared::new(HashMap::new());
        let fault = Shared::new(CounterFault::None);
        let shared_totals = totals.clone();
        let shared_fault = fault.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let totals = shared_totals.clone();
                let fault = shared_fault.clone();
                std::thread::spawn(move || Self::serve(stream, &totals, &fault));
            }
        });
        Self { address, totals, fault }
    }

    fn serve(stream: TcpStream, totals: &Shared<HashMap<String, f64>>, fault: &Shared<CounterFault>) {
        each_target(stream, |target, stream| {
            let rest = target.strip_prefix("/v1/count/").expect("the path of the counter protocol");
            let (name, query) = rest.split_once('?').expect("an amount and a life");
            let amount = query.split('&').find_map(|p| p.strip_prefix("add=")).expect("an amount");
            let amount: f64 = amount.parse().expect("a decimal");
            let fault = fault.update(|fault| *fault);
            if fault == CounterFault::Rejects {
                return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
            }
            let total = totals.update(|t| {
                let total = t.entry(name.to_owned()).or_default();
                *total += amount;
                total.to_string()
            });
            let interim =
                if fault == CounterFault::InterimResponse { "HTTP/1.1 103 Early\r\n\r\n" } else { "" };
            let total = if fault == CounterFault::NoNumber { "none" } else { &total };
            match fault {
                CounterFault::NoResponse => Ok(()),
                _ => {
                    write!(
                        stream,
                        "{interim}HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{total}",
                        total.len()
                    )
                }
            }
        });
    }
}

/// Passes each HTTP request's target to `respond`, until the connection closes or a response cannot be written.
fn each_target(mut stream: TcpStream, mut respond: impl FnMut(&str, &mut TcpStream) -> std::io::Result<()>) {
    let mut decoder = Decoder::new(Role::Requests, Limits::default());
    let mut input = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let (length, target) = match decoder.decode(&input) {
            Ok((length, Some(Part::Head(head)))) => (length, Some(head.target)),
            Ok((length, _)) => (length, None),
            Err(_) => return,
        };
        input.drain(..length);
        if let Some(target) = target {
            if respond(&target, &mut stream).is_err() {
                return;
            }
        } else if length == 0 {
            match stream.read(&mut buffer) {
                Ok(n @ 1..) => input.extend_from_slice(&buffer[..n]),
                _ => return,
            }
        }
    }
}

/// Settings of a small deployment: a class of each kind of idempotency, and a plan.
pub fn settings() -> Json {
    json!({
        "fleet-size": 1, "my-number": 0, "locality": "a", "period-ms": 4.0,
        "classes": [
            {"name": "lookup", "effect": "idempotent", "goal-time-ms": 800.0, "hard-limit-ms": 2500.0,
             "dedup-scope": "all", "window-ms": 0.0, "worth": 2.0, "late-value": 0.2},
            {"name": "save", "effect": "deduplicated", "goal-time-ms": 800.0, "hard-limit-ms": 2000.0,
             "dedup-scope": "cell", "window-ms": 4000.0, "worth": 3.0, "late-value": 0.2},
            {"name": "order", "effect": "at_most_once", "goal-time-ms": 500.0, "hard-limit-ms": 1200.0,
             "dedup-scope": "all", "window-ms": 0.0, "worth": 5.0, "late-value": 0.0}],
        "plans": [{"name": "team", "refill": 1000.0, "burst": 1000.0, "parallel": 0, "cap-rate": 0.0,
            "ceiling-burst": 0.0, "ceiling-slack": 0.0, "worth-factor": 1.0, "over-worth": 0.0, "overrun-cost": 1.0}],
        "extra": {"has-counter": true, "count-limit-ms": 50.0, "units-top": 3},
        "permissions": {"most-tries": 6, "max-retry-after-ms": 2000.0, "retry-after": true, "may-cancel": true,
            "dial-timeout-ms": 250.0, "keepalive-ms": 30000.0, "max-streams": 100, "second-copies": false},
        "load-info": {"source": "off"},
        "rules": {"cold-from": 0.2, "cold-ms": 18000.0, "drain-grace-ms": 250.0, "overload-factor": 2.0,
            "fall-ms": 3000.0, "answer-slack-ms": 16.0},
        "prices": {}
    })
}

/// A gateway in a thread of this process, with discovery and the counter.
pub struct TestGateway {
    pub address: SocketAddr,
    pub discovery: Discovery,
    pub counter: Counter,
    pub handle: GatewayHandle,
    pub path: PathBuf,
    pub file: Json,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

static GATEWAY_COUNT: AtomicUsize = AtomicUsize::new(0);

impl TestGateway {
    /// A gateway with these backends, named b0, b1 and so on.
    pub fn with_backends(backends: &[SocketAddr]) -> Self {
        let endpoints = backends.iter().enumerate().map(|(n, at)| endpoint(&format!("b{n}"), *at, "active"));
        Self::new(endpoints.collect(), settings(), 1024)
    }

    pub fn new(endpoints: Vec<Json>, settings: Json, descriptors: usize) -> Self {
        let discovery = Discovery::start(endpoints);
        let counter = Counter::start();
        let file = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 128, "sockets": descriptors},
            "counter": counter.address.to_string(),
            "known": {"seq": 0, "whole": true, "hosts": []}, "settings": settings
        });
        let number = GATEWAY_COUNT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir()
            .join(format!("doorcourse-resp-gateway-{}-{number}.json", std::process::id()));
        std::fs::write(&path, file.to_string()).unwrap();
        let mut gateway = RespGateway::new(path.clone(), Config::open(&path).unwrap()).unwrap();
        let address = gateway.address();
        let handle = gateway.handle().unwrap();
        let thread = Some(std::thread::spawn(move || gateway.run()));
        let rig = Self { address, discovery, counter, handle, path, file, thread };
        let mut client = rig.client();
        while client.call(&["PING"]) != Value::Simple("PONG".into()) {
            std::thread::yield_now();
        }
        rig
    }

    /// Writes `file` to the configuration file.
    pub fn write_config(&self) {
        std::fs::write(&self.path, self.file.to_string()).unwrap();
    }

    pub fn client(&self) -> Client {
        Client::open(self.address)
    }

    /// Waits until the gateway has shut down.
    pub fn join(&mut self) {
        self.thread.take().unwrap().join().unwrap().unwrap();
    }
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        self.handle.stop();
        let _ = std::fs::remove_file(&self.path);
        let ended = self.thread.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            assert!(ended.is_none_or(|e| matches!(e, Ok(Ok(())))), "the gateway failed");
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
    input: Vec<u8>,
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

/// A request id that no other request has.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    pub fn open(address: SocketAddr) -> Self {
        Self::on(TcpStream::connect(address).unwrap())
    }

    pub fn on(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        Self { stream, input: Vec::new() }
    }

    pub fn send(&mut self, arguments: &[&str]) {
        let mut bytes = Vec::new();
        doorcourse_resp::command(&mut bytes, arguments);
        self.stream.write_all(&bytes).unwrap();
    }

    pub fn call(&mut self, arguments: &[&str]) -> Value {
        self.send(arguments);
        self.read_response().expect("a response")
    }

    /// Sends a request of a class with a deadline in ms and a new id; returns its response.
    pub fn request(&mut self, class: &str, deadline_ms: u32) -> Value {
        self.send_request(class, deadline_ms);
        self.read_response().expect("a response")
    }

    /// The same on a connection that may close: `None` where it did.
    pub fn try_request(&mut self, class: &str, deadline_ms: u32) -> Option<Value> {
        if self.begin_request(class, deadline_ms).1 { self.read_response() } else { None }
    }

    /// Sends a request without waiting: its id, and whether the connection took it.
    pub fn begin_request(&mut self, class: &str, deadline_ms: u32) -> (String, bool) {
        let mut bytes = Vec::new();
        let id = self.append_request(class, deadline_ms, &mut bytes);
        (id, self.stream.write_all(&bytes).is_ok())
    }

    pub fn send_request(&mut self, class: &str, deadline_ms: u32) -> String {
        let (id, taken) = self.begin_request(class, deadline_ms);
        assert!(taken, "the connection closed");
        id
    }

    /// The bytes of a request with a new id.
    pub fn encode_request(&mut self, class: &str, deadline_ms: u32) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.append_request(class, deadline_ms, &mut bytes);
        bytes
    }

    fn append_request(&mut self, class: &str, deadline_ms: u32, bytes: &mut Vec<u8>) -> String {
        let id = new_id();
        let key = if class == "save" { format!(",k={id}") } else { String::new() };
        let list = format!("c={class},t=team,d={deadline_ms}{key},units=1,spread=1,first=0");
        let command = if class == "lookup" { "Q.ASK" } else { "Q.DO" };
        let arguments = [command, "00000000b4d65521", &id, &list, "BODY"];
        doorcourse_resp::command(bytes, &arguments[..if class == "lookup" { 4 } else { 5 }]);
        id
    }

    /// Waits until the gateway has closed its side; what it wrote before is still to be read here.
    pub fn wait_for_close(&self) {
        use rustix::event::{PollFd, PollFlags, Timespec, poll};
        let mut fds = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let limit = Timespec { tv_sec: WAIT_LIMIT.as_secs() as i64, tv_nsec: 0 };
        assert_eq!(poll(&mut fds, Some(&limit)).unwrap(), 1, "the connection is not closed");
    }

    /// Reads until the close, which must not be a reset.
    pub fn read_to_end(&mut self) -> String {
        let mut text = String::from_utf8(std::mem::take(&mut self.input)).unwrap();
        self.stream.read_to_string(&mut text).expect("an orderly close, not a reset");
        text
    }

    /// The next response; `None` at the close of the connection.
    pub fn read_response(&mut self) -> Option<Value> {
        let mut buffer = [0; 4096];
        loop {
            if let Some((value, took)) = decode(&self.input).expect("the gateway speaks RESP") {
                self.input.drain(..took);
                return Some(value);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => self.input.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no response and no close: {e}"),
            }
        }
    }
}

pub fn is_served(value: &Value, text: &str) -> bool {
    *value == Value::Bulk(text.as_bytes().to_vec())
}

/// Failed; it may have been executed.
pub fn is_failed(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text.starts_with("ERR failed"))
}

pub fn is_rejected(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text == "BUSY" || text.starts_with("BUSY "))
}

/// An error about the command itself.
pub fn is_invalid(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text.starts_with("ERR ") && !text.starts_with("ERR failed"))
}
