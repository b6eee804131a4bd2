//! What surrounds a platform gateway, scripted and on loopback: backends, discovery, the counter and clients. Each test
//! says what its peers do; whatever is waited for is an event, with one generous limit.

#![allow(dead_code, reason = "each test file uses a part of it")]

use doorcourse_http::{Decoder, Limits, Part, Role};
use doorcourse_resp::{CommandLimits, Commands, Value, decode};
use doorcourse_resp_gateway::{Config, GatewayHandle, RespGateway};
use serde_json::{Value as Json, json};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// The one limit of all waits: far beyond what any of them takes.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Something that tests and peers both look at, and wait for.
pub struct Shared<T>(Mutex<T>, Condvar);

impl<T> Shared<T> {
    pub fn new(value: T) -> Arc<Self> {
        Arc::new(Self(Mutex::new(value), Condvar::new()))
    }

    pub fn change<R>(&self, how: impl FnOnce(&mut T) -> R) -> R {
        let result = how(&mut self.0.lock().unwrap());
        self.1.notify_all();
        result
    }

    pub fn wait(&self, what: &str, until: impl Fn(&T) -> bool) {
        let held = self.0.lock().unwrap();
        let (held, waited) = self.1.wait_timeout_while(held, LIMIT, |value| !until(value)).unwrap();
        drop(held);
        assert!(!waited.timed_out(), "waited in vain for: {what}");
    }
}

/// Answers a command: what to write, and whether the connection goes on.
pub type Script = dyn Fn(&Command) -> Answer + Send + Sync;

/// A command as a backend got it.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    pub words: Vec<String>,
    /// Which connection of this backend it came on, from 1.
    pub connection: usize,
}

/// What a scripted backend does with a command.
pub enum Answer {
    Bytes(Vec<u8>),
    /// Writes this and ends the connection in order.
    End(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Says nothing.
    Silence,
}

/// The good answer of the page.
pub fn value(text: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()).into_bytes()
}

pub struct Backend {
    pub address: SocketAddr,
    pub commands: Arc<Shared<Vec<Command>>>,
    /// Connections that ended.
    pub ended: Arc<Shared<Vec<usize>>>,
}

impl Backend {
    pub fn start(script: impl Fn(&Command) -> Answer + Send + Sync + 'static) -> Self {
        Self::over(TcpListener::bind("127.0.0.1:0").unwrap(), Box::new(script))
    }

    fn over(listener: TcpListener, script: Box<Script>) -> Self {
        let address = listener.local_addr().unwrap();
        let (commands, ended) = (Shared::new(Vec::new()), Shared::new(Vec::new()));
        let (seen, over, script) = (commands.clone(), ended.clone(), Arc::new(script));
        std::thread::spawn(move || {
            let count = AtomicUsize::new(0);
            for stream in listener.incoming().flatten() {
                let connection = count.fetch_add(1, Ordering::SeqCst) + 1;
                let (seen, over, script) = (seen.clone(), over.clone(), script.clone());
                std::thread::spawn(move || {
                    serve(stream, connection, &seen, &*script);
                    over.change(|o| o.push(connection));
                });
            }
        });
        Self { address, commands, ended }
    }

    pub fn count(&self) -> usize {
        self.commands.change(|c| c.len())
    }
}

/// A backend whose connections do not come up until it is opened: its queue is full, as on a machine that is behind.
pub struct LateBackend {
    listener: TcpListener,
    queued: Vec<TcpStream>,
    script: Box<Script>,
}

impl LateBackend {
    pub fn start(script: impl Fn(&Command) -> Answer + Send + Sync + 'static) -> Self {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&fd, 0).unwrap();
        let listener = TcpListener::from(fd);
        let address = listener.local_addr().unwrap();
        // The queue is full once a connection does not come up any more.
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            queued.push(stream);
        }
        Self { listener, queued, script: Box::new(script) }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Lets in what waits; what is refused until now comes up when the system tries it again, within a second or so.
    pub fn open(self) -> Backend {
        let Self { listener, queued, script } = self;
        let backend = Backend::over(listener, script);
        drop(queued);
        backend
    }
}

fn serve(mut stream: TcpStream, connection: usize, seen: &Shared<Vec<Command>>, script: &Script) {
    let mut commands = Commands::new(CommandLimits { words: 8, word: 64 << 10, bytes: 128 << 10 });
    let (mut input, mut room) = (Vec::new(), [0; 4096]);
    loop {
        while let Some((words, took)) = commands.read(&input).expect("the gateway writes whole commands") {
            let words = words.into_iter().map(|w| String::from_utf8(input[w].to_vec()).unwrap()).collect();
            input.drain(..took);
            let command = Command { words, connection };
            seen.change(|s| s.push(command.clone()));
            match script(&command) {
                Answer::Bytes(bytes) => {
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Answer::End(bytes) => {
                    let _ = stream.write_all(&bytes);
                    return;
                }
                Answer::Reset => {
                    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                    return;
                }
                Answer::Silence => {}
            }
        }
        match stream.read(&mut room) {
            Ok(n @ 1..) => input.extend_from_slice(&room[..n]),
            _ => return,
        }
    }
}

/// Discovery: a list, and changes pushed to all who watch.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Shared<Listed>>,
}

#[derive(Default)]
struct Listed {
    seq: u64,
    hosts: Vec<Json>,
    watchers: Vec<TcpStream>,
    asked: usize,
    /// Calls come up and are never answered.
    silent: bool,
}

pub fn host(name: &str, address: SocketAddr, health: &str) -> Json {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m2", "block": 1,
        "health": health, "share": 1.0, "born_ms": 0})
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes()
}

impl Discovery {
    pub fn start(hosts: Vec<Json>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Shared::new(Listed { seq: 1, hosts, ..Listed::default() });
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || Self::serve(stream, &shared));
            }
        });
        Self { address, state }
    }

    fn serve(stream: TcpStream, state: &Shared<Listed>) {
        each_target(stream, |target, stream| {
            state.change(|s| {
                s.asked += 1;
                if s.silent {
                    return Ok(());
                }
                let list = json!({"seq": s.seq, "whole": true, "hosts": s.hosts}).to_string();
                if !target.contains("watch=1") {
                    return write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
                }
                let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                stream.write_all(&[&head[..], &chunk(&list)].concat())?;
                s.watchers.push(stream.try_clone()?);
                Ok(())
            })
        });
    }

    /// Tells a change to all who watch.
    pub fn tell(&self, hosts: Vec<Json>) {
        self.state.change(|s| {
            s.seq += 1;
            let line = chunk(&json!({"seq": s.seq, "whole": false, "hosts": hosts}).to_string());
            s.watchers.retain_mut(|w| w.write_all(&line).is_ok());
        });
    }

    /// Writes a line as it stands to all who watch.
    pub fn tell_raw(&self, line: &str) {
        self.state.change(|s| s.watchers.retain_mut(|w| w.write_all(&chunk(line)).is_ok()));
    }

    /// Goes down: all watches are cut off, and calls are never answered, also those that are out at the return.
    pub fn go_down(&self) {
        self.state.change(|s| s.silent = true);
        self.cut();
    }

    /// Is back with this list.
    pub fn come_back(&self, hosts: Vec<Json>) {
        self.state.change(|s| (s.silent, s.seq, s.hosts) = (false, s.seq + 1, hosts));
    }

    /// Ends all watches.
    pub fn cut(&self) {
        self.state.change(|s| s.watchers.drain(..).for_each(|w| drop(w.shutdown(std::net::Shutdown::Both))));
    }

    pub fn set(&self, hosts: Vec<Json>) {
        self.state.change(|s| (s.seq, s.hosts) = (s.seq + 1, hosts));
    }

    pub fn wait_for_asks(&self, count: usize) {
        self.state.wait("calls to discovery", |s| s.asked >= count);
    }
}

/// The counter: totals by name.
pub struct Counter {
    pub address: SocketAddr,
    pub totals: Arc<Shared<HashMap<String, f64>>>,
    /// 0 good, 1 turns away, 2 answers without a number, 3 says nothing, 4 sends an interim answer first.
    pub mood: Arc<AtomicU8>,
}

impl Counter {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (totals, mood) = (Shared::new(HashMap::new()), Arc::new(AtomicU8::new(0)));
        let (shared, how) = (totals.clone(), mood.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, how) = (shared.clone(), how.clone());
                std::thread::spawn(move || Self::serve(stream, &shared, &how));
            }
        });
        Self { address, totals, mood }
    }

    fn serve(stream: TcpStream, totals: &Shared<HashMap<String, f64>>, mood: &AtomicU8) {
        each_target(stream, |target, stream| {
            let rest = target.strip_prefix("/v1/count/").expect("the page's path");
            let (name, query) = rest.split_once('?').expect("an amount and a life");
            let amount = query.split('&').find_map(|p| p.strip_prefix("add=")).expect("an amount");
            let amount: f64 = amount.parse().expect("a decimal");
            let mood = mood.load(Ordering::SeqCst);
            if mood == 1 {
                return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
            }
            let total = totals.change(|t| {
                let total = t.entry(name.to_owned()).or_default();
                *total += amount;
                total.to_string()
            });
            let early = if mood == 4 { "HTTP/1.1 103 Early\r\n\r\n" } else { "" };
            let total = if mood == 2 { "none" } else { &total };
            match mood {
                3 => Ok(()),
                _ => {
                    write!(stream, "{early}HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{total}", total.len())
                }
            }
        });
    }
}

/// Hands each HTTP request's target to a stand-in, until its connection ends or an answer cannot be written.
fn each_target(mut stream: TcpStream, mut answer: impl FnMut(&str, &mut TcpStream) -> std::io::Result<()>) {
    let mut decoder = Decoder::new(Role::Requests, Limits::default());
    let (mut input, mut room) = (Vec::new(), [0; 4096]);
    loop {
        let (took, target) = match decoder.decode(&input) {
            Ok((took, Some(Part::Head(head)))) => (took, Some(head.target)),
            Ok((took, _)) => (took, None),
            Err(_) => return,
        };
        input.drain(..took);
        if let Some(target) = target {
            if answer(&target, &mut stream).is_err() {
                return;
            }
        } else if took == 0 {
            match stream.read(&mut room) {
                Ok(n @ 1..) => input.extend_from_slice(&room[..n]),
                _ => return,
            }
        }
    }
}

/// Settings of a small site: three classes of the three effects, a plan, and no room for chance.
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

/// A gateway in a thread of this process, with its surroundings.
pub struct Rig {
    pub address: SocketAddr,
    pub discovery: Discovery,
    pub counter: Counter,
    pub handle: GatewayHandle,
    pub path: PathBuf,
    pub file: Json,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

static RIGS: AtomicUsize = AtomicUsize::new(0);

impl Rig {
    /// A gateway before these backends, with the name b0, b1 and so on.
    pub fn before(backends: &[SocketAddr]) -> Self {
        let hosts = backends.iter().enumerate().map(|(n, at)| host(&format!("b{n}"), *at, "active"));
        Self::new(hosts.collect(), settings(), 1024)
    }

    pub fn new(hosts: Vec<Json>, settings: Json, sockets: usize) -> Self {
        let (discovery, counter) = (Discovery::start(hosts), Counter::start());
        let file = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 128, "sockets": sockets},
            "counter": counter.address.to_string(),
            "known": {"seq": 0, "whole": true, "hosts": []}, "settings": settings
        });
        let number = RIGS.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir()
            .join(format!("doorcourse-resp-gateway-{}-{number}.json", std::process::id()));
        std::fs::write(&path, file.to_string()).unwrap();
        let mut gateway = RespGateway::new(path.clone(), Config::open(&path).unwrap()).unwrap();
        let (address, handle) = (gateway.address(), gateway.handle().unwrap());
        let thread = Some(std::thread::spawn(move || gateway.run()));
        let rig = Self { address, discovery, counter, handle, path, file, thread };
        let mut client = rig.client();
        while client.call(&["PING"]) != Value::Simple("PONG".into()) {
            std::thread::yield_now();
        }
        rig
    }

    /// Replaces the file by what `file` holds now.
    pub fn write(&self) {
        std::fs::write(&self.path, self.file.to_string()).unwrap();
    }

    pub fn client(&self) -> Client {
        Client::open(self.address)
    }

    /// Waits for the end of the gateway after it was told to leave.
    pub fn join(&mut self) {
        self.thread.take().unwrap().join().unwrap().unwrap();
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.handle.stop();
        let _ = std::fs::remove_file(&self.path);
        let ended = self.thread.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            assert!(ended.is_none_or(|e| matches!(e, Ok(Ok(())))), "the gateway broke down");
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
    input: Vec<u8>,
}

static IDS: AtomicUsize = AtomicUsize::new(1);

/// An id that no other request has.
pub fn id() -> String {
    format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    pub fn open(address: SocketAddr) -> Self {
        Self::over(TcpStream::connect(address).unwrap())
    }

    pub fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Self { stream, input: Vec::new() }
    }

    pub fn send(&mut self, words: &[&str]) {
        let mut bytes = Vec::new();
        doorcourse_resp::command(&mut bytes, words);
        self.stream.write_all(&bytes).unwrap();
    }

    pub fn call(&mut self, words: &[&str]) -> Value {
        self.send(words);
        self.answer().expect("an answer")
    }

    /// Asks for a class with a time; the id is new.
    pub fn ask(&mut self, class: &str, time: u32) -> Value {
        self.send_ask(class, time);
        self.answer().expect("an answer")
    }

    /// The same on a connection that may end: `None` where it did.
    pub fn try_ask(&mut self, class: &str, time: u32) -> Option<Value> {
        if self.begin_ask(class, time).1 { self.answer() } else { None }
    }

    /// The same without waiting: the id, and whether the connection took it.
    pub fn begin_ask(&mut self, class: &str, time: u32) -> (String, bool) {
        let mut bytes = Vec::new();
        let id = self.encode_ask(class, time, &mut bytes);
        (id, self.stream.write_all(&bytes).is_ok())
    }

    pub fn send_ask(&mut self, class: &str, time: u32) -> String {
        let (id, taken) = self.begin_ask(class, time);
        assert!(taken, "the connection ended");
        id
    }

    /// The bytes of a request with a new id.
    pub fn encoded(&mut self, class: &str, time: u32) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.encode_ask(class, time, &mut bytes);
        bytes
    }

    fn encode_ask(&mut self, class: &str, time: u32, bytes: &mut Vec<u8>) -> String {
        let id = id();
        let key = if class == "save" { format!(",k={id}") } else { String::new() };
        let list = format!("c={class},t=team,d={time}{key},units=1,spread=1,first=0");
        let command = if class == "lookup" { "Q.ASK" } else { "Q.DO" };
        let words = [command, "00000000b4d65521", &id, &list, "BODY"];
        doorcourse_resp::command(bytes, &words[..if class == "lookup" { 4 } else { 5 }]);
        id
    }

    /// Waits until the other side has ended, with all that it wrote before still to be read here.
    pub fn wait_for_end(&self) {
        use rustix::event::{PollFd, PollFlags, Timespec, poll};
        let mut fds = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let limit = Timespec { tv_sec: LIMIT.as_secs() as i64, tv_nsec: 0 };
        assert_eq!(poll(&mut fds, Some(&limit)).unwrap(), 1, "the connection does not end");
    }

    /// Reads to the end, which has to be one in order: what came before it.
    pub fn rest(&mut self) -> String {
        let mut text = String::from_utf8(std::mem::take(&mut self.input)).unwrap();
        self.stream.read_to_string(&mut text).expect("an end in order, not a reset");
        text
    }

    /// The next answer; `None` at the end of the connection.
    pub fn answer(&mut self) -> Option<Value> {
        let mut room = [0; 4096];
        loop {
            if let Some((value, took)) = decode(&self.input).expect("the gateway speaks RESP") {
                self.input.drain(..took);
                return Some(value);
            }
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(n) => self.input.extend_from_slice(&room[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no answer and no end: {e}"),
            }
        }
    }
}

pub fn is_served(value: &Value, text: &str) -> bool {
    *value == Value::Bulk(text.as_bytes().to_vec())
}

/// Failed, with no promise.
pub fn is_failed(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text.starts_with("ERR failed"))
}

pub fn is_busy(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text == "BUSY" || text.starts_with("BUSY "))
}

/// An error about what was sent.
pub fn is_wrong(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text.starts_with("ERR ") && !text.starts_with("ERR failed"))
}
