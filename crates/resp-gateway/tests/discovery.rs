//! Discovery that fails requests in every way: a change is followed nevertheless, and a truncated list is not applied.

mod rig;

use rig::{Backend, Reply, TestGateway, WAIT_LIMIT, endpoint, is_served, settings, value};
use serde_json::{Value as Json, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// What discovery does about one request.
#[derive(Clone, Debug)]
enum Behavior {
    /// The list, complete or as the first line of a watch.
    Good,
    /// A head, and nothing more.
    HeadOnly,
    /// A head, and lines for ever of a list that is never complete.
    EndlessList,
    /// A head, and an orderly end.
    EmptyBody,
    Status(u16),
    /// A list without a length that ends by an orderly close.
    NoLength,
    /// Another complete list without a length, whose connection is reset: a reset does not complete a list.
    Reset,
    NoResponse,
}

/// What is done about requests for the complete list and for watches, in order; the last one repeatedly.
type Script = (Vec<Behavior>, Vec<Behavior>);

fn discovery(script: Script, list: Json, wrong: Json) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let counts = std::sync::Arc::new(std::sync::Mutex::new((0, 0)));
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            let list = list.clone();
            let wrong = wrong.clone();
            let counts = counts.clone();
            std::thread::spawn(move || serve(stream, &script, &counts, &list, &wrong));
        }
    });
    address
}

fn serve(
    mut stream: TcpStream, script: &Script, counts: &std::sync::Mutex<(usize, usize)>, list: &Json,
    wrong: &Json,
) -> Option<()> {
    let mut input = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        while !input.ends_with(b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(n @ 1..) => input.extend_from_slice(&buffer[..n]),
                _ => return None,
            }
        }
        let watch = String::from_utf8_lossy(&input).contains("watch=1");
        input.clear();
        let behavior = {
            let mut counts = counts.lock().unwrap();
            let (behaviors, count) =
                if watch { (&script.1, &mut counts.1) } else { (&script.0, &mut counts.0) };
            *count += 1;
            behaviors[(*count - 1).min(behaviors.len() - 1)].clone()
        };
        let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let text = list.to_string();
        match behavior {
            Behavior::Good if watch => {
                stream.write_all(format!("{chunked}{}", chunk(&format!("{text}\n"))).as_bytes()).ok()?;
                loop {
                    std::thread::sleep(Duration::from_millis(500));
                    stream.write_all(chunk("\n").as_bytes()).ok()?;
                }
            }
            Behavior::Good => {
                write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).ok()?;
            }
            Behavior::HeadOnly => stream.write_all(chunked.as_bytes()).ok()?,
            Behavior::EndlessList => {
                stream.write_all(format!("{chunked}{}", chunk("{\n")).as_bytes()).ok()?;
                loop {
                    std::thread::sleep(Duration::from_millis(100));
                    stream.write_all(chunk(" \n").as_bytes()).ok()?;
                }
            }
            Behavior::EmptyBody => {
                stream.write_all(format!("{chunked}0\r\n\r\n").as_bytes()).ok()?;
                return None;
            }
            Behavior::Status(status) => {
                write!(stream, "HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n").ok()?;
            }
            Behavior::NoLength => {
                write!(stream, "HTTP/1.1 200 OK\r\n\r\n{text}").ok()?;
                return None;
            }
            Behavior::Reset => {
                write!(stream, "HTTP/1.1 200 OK\r\n\r\n{wrong}").ok()?;
                // Reset once it was read: unread bytes would be lost with it.
                std::thread::sleep(Duration::from_millis(100));
                rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return None;
            }
            Behavior::NoResponse => {}
        }
    }
}

#[test]
fn change_is_followed_whatever_fails_at_discovery() {
    use Behavior::{EmptyBody, EndlessList, Good, HeadOnly, NoLength, NoResponse, Reset, Status};
    let scripts: Vec<Script> = vec![
        (vec![Good], vec![Good]),
        // A line, and a complete list, that drip in for ever.
        (vec![Good], vec![EndlessList, Good]),
        (vec![EndlessList, Good], vec![EmptyBody, Good]),
        // Watches that end at once or are not answered, while complete lists still come.
        (vec![Good], vec![EmptyBody]),
        (vec![Good], vec![HeadOnly]),
        (vec![Good], vec![NoResponse]),
        (vec![Good], vec![Status(503)]),
        (vec![Status(503), Status(404), NoResponse, Good], vec![NoResponse, EndlessList, EmptyBody, Good]),
        // Without a length an orderly close completes the list, a reset does not.
        (vec![NoLength], vec![EmptyBody]),
        (vec![Reset, Reset, NoLength], vec![EmptyBody]),
    ];
    let runs = scripts.into_iter().map(|script| {
        std::thread::spawn(move || {
            let backend = |text: &'static str| Backend::start(move |_| Reply::Bytes(value(text)));
            let old = backend("old");
            let new = backend("new");
            let wrong = backend("wrong");
            let mut rig = TestGateway::with_backends(&[old.address]);
            assert!(is_served(&rig.client().request("lookup", 2000), "old"));
            let list = |other: SocketAddr| {
                json!({"seq": 2, "whole": true, "hosts": [
                    endpoint("b0", old.address, "leaving"), endpoint("b1", other, "active")]})
            };
            let moved = discovery(script.clone(), list(new.address), list(wrong.address));
            rig.file["discovery"] = json!(moved.to_string());
            rig.write_config();
            rig.handle.reload();
            let began = Instant::now();
            let mut client = rig.client();
            while !is_served(&client.request("lookup", 500), "new") {
                assert!(began.elapsed() < WAIT_LIMIT, "{script:?}: never followed");
            }
            assert_eq!(wrong.command_count(), 0, "{script:?}: a truncated list was applied");
        })
    });
    let runs: Vec<_> = runs.collect();
    let failed = runs.into_iter().filter_map(|p| p.join().err()).count();
    assert_eq!(failed, 0);
}

/// A request that the test answers when it chooses.
struct HeldRequest {
    stream: TcpStream,
    is_watch: bool,
}

impl HeldRequest {
    fn respond(&mut self, list: &Json) {
        let text = list.to_string();
        let bytes = if self.is_watch {
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}")
        } else {
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len())
        };
        let _ = self.stream.write_all(bytes.as_bytes());
    }
}

/// Discovery that passes each request to the test.
fn held_discovery() -> (SocketAddr, mpsc::Receiver<HeldRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut input = Vec::new();
            let mut buffer = [0; 4096];
            while !input.ends_with(b"\r\n\r\n") {
                match stream.read(&mut buffer) {
                    Ok(n @ 1..) => input.extend_from_slice(&buffer[..n]),
                    _ => break,
                }
            }
            let is_watch = String::from_utf8_lossy(&input).contains("watch=1");
            if sender.send(HeldRequest { stream, is_watch }).is_err() {
                return;
            }
        }
    });
    (address, requests)
}

/// A gateway with a backend that does not reply, which follows discovery at an address that answers nothing yet.
fn gateway_with_held_discovery(drain_grace_ms: f64) -> (TestGateway, Backend, mpsc::Receiver<HeldRequest>) {
    let old = Backend::start(|_| Reply::Withheld);
    let mut settings = settings();
    settings["rules"]["drain-grace-ms"] = json!(drain_grace_ms);
    let mut rig = TestGateway::new(vec![endpoint("b0", old.address, "active")], settings, 1024);
    let (moved, requests) = held_discovery();
    rig.file["discovery"] = json!(moved.to_string());
    rig.write_config();
    rig.handle.reload();
    (rig, old, requests)
}

/// What discovery has at its return counts as received at once, so the request after an unanswered one has to come within
/// the drain grace. Both clocks are the gateway's own: an order that fails after 1 s, sent in the instant of the last
/// request before the return, must still be open when the next request comes.
#[test]
fn return_of_discovery_is_noticed_within_the_drain_grace() {
    let (rig, old, requests) = gateway_with_held_discovery(600.0);
    let new = Backend::start(|_| Reply::Bytes(value("new")));
    let _unanswered: Vec<HeldRequest> =
        (0..3).map(|_| requests.recv_timeout(WAIT_LIMIT).expect("a request")).collect();
    let mut client = rig.client();
    client.send_request("order", 1000);
    let mut next = requests.recv_timeout(WAIT_LIMIT).expect("a request after the return");
    client.stream.set_nonblocking(true).unwrap();
    let early = client.stream.peek(&mut [0; 64]).map_err(|e| e.kind());
    assert_eq!(early, Err(std::io::ErrorKind::WouldBlock), "requested again only after the order had failed");
    next.respond(&json!({"seq": 2, "whole": true, "hosts": [
        endpoint("b0", old.address, "leaving"), endpoint("b1", new.address, "active")]}));
    let began = Instant::now();
    while !is_served(&rig.client().request("lookup", 500), "new") {
        assert!(began.elapsed() < WAIT_LIMIT, "never followed");
    }
    let reached = old.command_count();
    assert!((0..5).all(|_| is_served(&rig.client().request("lookup", 500), "new")));
    assert_eq!(old.command_count(), reached, "the draining backend gets nothing more");
}

/// An agent that answers each request only once the next one is made is slower than the gateway waits, and is followed.
#[test]
fn discovery_that_responds_after_the_next_request_is_followed() {
    let (rig, old, requests) = gateway_with_held_discovery(200.0);
    let new = Backend::start(|_| Reply::Bytes(value("new")));
    let list = json!({"seq": 2, "whole": true, "hosts": [
        endpoint("b0", old.address, "leaving"), endpoint("b1", new.address, "active")]});
    std::thread::spawn(move || {
        let mut before: Option<HeldRequest> = None;
        let mut answered = Vec::new();
        for request in requests {
            if let Some(mut held) = before.replace(request) {
                held.respond(&list);
                answered.push(held);
            }
        }
    });
    let began = Instant::now();
    while !is_served(&rig.client().request("lookup", 500), "new") {
        assert!(began.elapsed() < WAIT_LIMIT, "never followed");
    }
}

/// Half a head of a superseded request shows nothing: it must not replace the request that is answered.
#[test]
fn half_a_head_of_a_superseded_request_does_not_replace_the_next_one() {
    let (rig, old, requests) = gateway_with_held_discovery(600.0);
    let new = Backend::start(|_| Reply::Bytes(value("new")));
    let mut first = requests.recv_timeout(WAIT_LIMIT).expect("a request");
    let mut next = requests.recv_timeout(WAIT_LIMIT).expect("a request beside the unanswered one");
    first.stream.write_all(b"HTTP/1.1 200 O").unwrap();
    // Discovery is read before clients: the bytes have been read when this is answered.
    rig.client().call(&["PING"]);
    let list = json!({"seq": 2, "whole": true, "hosts": [
        endpoint("b0", old.address, "leaving"), endpoint("b1", new.address, "active")]});
    next.respond(&list);
    // So is each later request, where the machine was slower than the gateway waits.
    std::thread::spawn(move || requests.into_iter().map(|mut request| request.respond(&list)).for_each(drop));
    // Less than the gateway would wait for the rest of the head.
    let response = rig.client().request("order", 1000);
    assert!(is_served(&response, "new"), "{response:?}");
}
