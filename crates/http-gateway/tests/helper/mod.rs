//! A gateway in a thread, nodes that follow a script byte by byte, and a plain client.
#![allow(dead_code)]

use doorcourse_emulators::CATALOGUE;
use doorcourse_http_gateway::{Gateway, GatewayOptions, ReadSettings, Stopper};
use sha2::{Digest, Sha256};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Long enough for any machine: a test that waits for it has failed.
pub const LIMIT: Duration = Duration::from_secs(20);

pub const CLASSES: &str = r#"
classes { name: "preview" aim_ms: 2000 give_up_ms: 8000 effect: SAFE query_fields: ["preview", "previews"] }
classes { name: "search" aim_ms: 2000 give_up_ms: 8000 effect: SAFE query_fields: ["search", "similar", "shelf"] }
classes { name: "playlist" aim_ms: 2000 give_up_ms: 8000 effect: KEYED group: CELL memory_ms: 4000 mutation_fields: "savePlaylist" }
classes { name: "licence" aim_ms: 2000 give_up_ms: 8000 effect: UNSAFE mutation_fields: "orderLicence" }
attempts { most: 3 longest_advice_ms: 2000 }
graphql { schema_file: "s" }
listen: "127.0.0.1:0"
"#;

/// A plan that grants ten units and next to nothing behind them, and one without a quota.
pub const PLANS: &str = "plans { name: \"ten\" rate: 0.001 burst: 10 }\nplans { name: \"free\" }\n";

fn read(text: &str) -> Result<doorcourse_config::Config, String> {
    doorcourse_config::read("test", text, &|_| Ok(CATALOGUE.into())).map_err(|f| format!("{f:?}"))
}

pub struct Door {
    pub address: SocketAddr,
    /// Where who watches asks.
    pub health: Option<SocketAddr>,
    pub stopper: Stopper,
    thread: Option<JoinHandle<()>>,
}

impl Door {
    /// A gateway with these nodes and whatever else the settings hold. Customers: `ten` and `free`, by their keys.
    pub fn new(nodes: &[SocketAddr], more: &str) -> Self {
        let config = read(&format!("{}{PLANS}{more}", Self::common(nodes))).expect("good settings");
        Self::start(config, None)
    }

    /// A gateway whose settings change: each reload takes the next of these, round and round.
    pub fn changing(nodes: &[SocketAddr], more: &[String]) -> Self {
        Self::turning(more.iter().map(|m| format!("{}{m}", Self::common(nodes))).collect())
    }

    /// The same with lists of nodes as the settings have them.
    pub fn relisting(lists: &[String]) -> Self {
        Self::turning(lists.iter().map(|list| format!("{}{PLANS}{list}", Self::common(&[]))).collect())
    }

    fn turning(texts: Vec<String>) -> Self {
        let config = read(&texts[0]).expect("good settings");
        let next = std::sync::atomic::AtomicUsize::new(0);
        let reread = move || {
            let at = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 1;
            read(&texts[at % texts.len()])
        };
        Self::start(config, Some(std::sync::Arc::new(reread)))
    }

    /// All but the plans.
    fn common(nodes: &[SocketAddr]) -> String {
        let node = |(at, address): (usize, &SocketAddr)| {
            format!("nodes {{ name: \"n{at}\" address: \"{address}\" cell: {} }}\n", at % 2)
        };
        let nodes: String = nodes.iter().enumerate().map(node).collect();
        let customer = |name: &str| {
            let digest: String = Sha256::digest(name).iter().map(|b| format!("{b:02x}")).collect();
            format!("customers {{ name: \"{name}\" plan: \"{name}\" key_sha256: \"{digest}\" }}\n")
        };
        format!("{CLASSES}{nodes}{}{}", customer("ten"), customer("free"))
    }

    fn start(config: doorcourse_config::Config, reread: Option<ReadSettings>) -> Self {
        let options = GatewayOptions {
            config,
            directory: Path::new("."),
            seed: Some(7),
            read_settings: reread,
            take_over: false,
        };
        let mut gateway = Gateway::new(options).expect("a gateway");
        let address = gateway.addresses().expect("addresses")[0];
        let health = gateway.health_address();
        let stopper = gateway.stopper().expect("a stopper");
        let thread = std::thread::spawn(move || gateway.run().expect("the loop runs to its end"));
        Self { address, health, stopper, thread: Some(thread) }
    }

    /// Stops it and waits: its loop must come to its end.
    pub fn stop(&mut self) {
        self.stopper.stop();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the gateway did not panic");
        }
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(LIMIT)).expect("a limit");
        Client { stream, held: Vec::new() }
    }

    /// One query on a connection of its own.
    pub fn ask(&self, key: &str, query: &str) -> Answer {
        let mut client = self.client();
        client.send(key, query, "");
        client.answer().expect("an answer")
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.stop();
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn code(&self) -> String {
        let json: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        json["errors"][0]["extensions"]["code"].as_str().unwrap_or("").to_owned()
    }

    pub fn has(&self, field: &str) -> bool {
        self.head.to_ascii_lowercase().contains(&field.to_ascii_lowercase())
    }
}

pub struct Client {
    pub stream: TcpStream,
    held: Vec<u8>,
}

/// A request as a client writes it; `fields` are whole lines.
pub fn post(key: &str, query: &str, fields: &str) -> Vec<u8> {
    let body = serde_json::json!({ "query": query }).to_string();
    format!(
        "POST /graphql HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\ncontent-type: application/json\r\n\
         {fields}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

impl Client {
    pub fn over(stream: TcpStream) -> Self {
        Self { stream, held: Vec::new() }
    }

    pub fn send(&mut self, key: &str, query: &str, fields: &str) {
        self.write(&post(key, query, fields));
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the gateway reads");
    }

    fn more(&mut self) -> bool {
        let mut bytes = [0; 65536];
        match self.stream.read(&mut bytes) {
            Ok(0) => false,
            Ok(n) => {
                self.held.extend_from_slice(&bytes[..n]);
                true
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => false,
            Err(error) => panic!("no answer within the limit: {error}"),
        }
    }

    /// The next answer; `None` where the connection ends first, cut or not.
    pub fn answer(&mut self) -> Option<Answer> {
        let end = loop {
            if let Some(at) = self.held.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.more() {
                return None;
            }
        };
        let head = String::from_utf8(self.held[..end].to_vec()).expect("a text");
        self.held.drain(..end + 4);
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        if status == 100 {
            return self.answer();
        }
        let lower = head.to_ascii_lowercase();
        let mut body = Vec::new();
        if lower.contains("transfer-encoding: chunked") {
            loop {
                let at = loop {
                    if let Some(at) = self.held.windows(2).position(|w| w == b"\r\n") {
                        break at;
                    }
                    if !self.more() {
                        return None;
                    }
                };
                let size =
                    usize::from_str_radix(std::str::from_utf8(&self.held[..at]).ok()?, 16).expect("a size");
                while self.held.len() < at + 2 + size + 2 {
                    if !self.more() {
                        return None;
                    }
                }
                body.extend_from_slice(&self.held[at + 2..at + 2 + size]);
                self.held.drain(..at + 2 + size + 2);
                if size == 0 {
                    break;
                }
            }
        } else {
            let length =
                lower.split("content-length: ").nth(1).and_then(|r| r.split("\r\n").next()?.parse().ok());
            let length: usize = length.expect("a length");
            while self.held.len() < length {
                if !self.more() {
                    return None;
                }
            }
            body.extend(self.held.drain(..length));
        }
        Some(Answer { status, head, body: String::from_utf8(body).expect("a text") })
    }

    /// Ends the client's side.
    pub fn end(&mut self) {
        self.stream.shutdown(std::net::Shutdown::Write).expect("the connection is open");
    }

    /// Whether the connection ends with nothing more on it.
    pub fn ends(&mut self) -> bool {
        while self.more() {}
        self.held.is_empty()
    }
}

/// A node whose connections do not come up until it is opened: its queue is full, as on a machine that is behind.
pub struct LateNode {
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl LateNode {
    pub fn start() -> Self {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        listen(&fd, 0).expect("a listener");
        let listener = TcpListener::from(fd);
        let address = listener.local_addr().expect("an address");
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let queued = std::iter::from_fn(connect).collect();
        Self { address, listener, queued }
    }

    /// Lets in what waits; the system tries again what it had no room for, within a second or so.
    pub fn open(self) -> TcpListener {
        drop(self.queued);
        self.listener
    }
}

/// A node that follows a script: each connection that brings a request gets the next act.
pub struct Script {
    pub address: SocketAddr,
    /// Tells of each request that was read whole.
    pub got: mpsc::Receiver<String>,
}

/// What a scripted node does with a connection on which a request was read whole; `true` keeps it for another.
pub type Act = Box<dyn FnMut(&mut TcpStream) -> bool + Send>;

pub fn script(mut acts: Vec<Act>) -> Script {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (told, got) = mpsc::channel();
    std::thread::spawn(move || {
        acts.reverse();
        while let Ok((mut stream, _)) = listener.accept() {
            while let Some(request) = read_request(&mut stream) {
                let _ = told.send(request);
                let Some(mut act) = acts.pop() else { return };
                if !act(&mut stream) {
                    break;
                }
            }
        }
    });
    Script { address, got }
}

pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut held = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&held).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length =
                head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse::<usize>().ok()?;
            if body.len() >= length {
                return Some(String::from_utf8_lossy(&held).into_owned());
            }
        }
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(n) => held.extend_from_slice(&bytes[..n]),
        }
    }
}

/// An answer with this body.
pub fn answer(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

pub const GOOD: &str = r#"{"data":{"preview":{"id":"7"}}}"#;
pub const PREVIEW: &str = "{ preview(id: 7) { id } }";
pub const LICENCE: &str = "mutation { orderLicence(track: 7) { id } }";
pub const PLAYLIST: &str = "mutation { savePlaylist(name: \"a\", tracks: []) { id } }";

pub fn good() -> Act {
    Box::new(|stream| stream.write_all(&answer(GOOD)).is_ok())
}

/// Ends the connection without a word.
pub fn breaks() -> Act {
    Box::new(|_| false)
}

/// Says nothing until told, then answers.
pub fn waits(until: mpsc::Receiver<()>) -> Act {
    Box::new(move |stream| {
        let _ = until.recv();
        let _ = stream.write_all(&answer(GOOD));
        true
    })
}

/// One GET of a watcher's on a connection of its own.
pub fn watch(door: &Door, target: &str) -> Answer {
    let stream = TcpStream::connect(door.health.expect("a listener for watchers")).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a limit");
    let mut client = Client::over(stream);
    client.write(format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n").as_bytes());
    client.answer().expect("an answer")
}
