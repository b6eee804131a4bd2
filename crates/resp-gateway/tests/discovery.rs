//! Discovery that spoils calls in every way there is: a change is heard all the same, and what is no end is none.

mod rig;

use rig::{Answer, Backend, LIMIT, Rig, host, is_served, settings, value};
use serde_json::{Value as Json, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// What becomes of one call.
#[derive(Clone, Debug)]
enum Say {
    /// The list, as the page has it: whole, or the first line of a watch.
    Good,
    /// A head, and silence.
    HeadAlone,
    /// A head, and lines for ever of a list that is never whole.
    Drips,
    /// A head, and an end in order.
    Ends,
    Status(u16),
    /// A list without a length that ends in order.
    NoLength,
    /// Another list without a length, whole, whose connection is reset: a reset is no end.
    Reset,
    Silence,
}

/// What is said to whole lists and to watches, in order; the last again and again.
type Script = (Vec<Say>, Vec<Say>);

fn discovery(script: Script, list: Json, wrong: Json) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let asked = std::sync::Arc::new(std::sync::Mutex::new((0, 0)));
        for stream in listener.incoming().flatten() {
            let (script, list, wrong, asked) = (script.clone(), list.clone(), wrong.clone(), asked.clone());
            std::thread::spawn(move || serve(stream, &script, &asked, &list, &wrong));
        }
    });
    address
}

fn serve(
    mut stream: TcpStream, script: &Script, asked: &std::sync::Mutex<(usize, usize)>, list: &Json,
    wrong: &Json,
) -> Option<()> {
    let (mut input, mut room) = (Vec::new(), [0; 4096]);
    loop {
        while !input.ends_with(b"\r\n\r\n") {
            match stream.read(&mut room) {
                Ok(n @ 1..) => input.extend_from_slice(&room[..n]),
                _ => return None,
            }
        }
        let watch = String::from_utf8_lossy(&input).contains("watch=1");
        input.clear();
        let say = {
            let mut asked = asked.lock().unwrap();
            let (says, count) = if watch { (&script.1, &mut asked.1) } else { (&script.0, &mut asked.0) };
            *count += 1;
            says[(*count - 1).min(says.len() - 1)].clone()
        };
        let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let text = list.to_string();
        match say {
            Say::Good if watch => {
                stream.write_all(format!("{chunked}{}", chunk(&format!("{text}\n"))).as_bytes()).ok()?;
                loop {
                    std::thread::sleep(Duration::from_millis(500));
                    stream.write_all(chunk("\n").as_bytes()).ok()?;
                }
            }
            Say::Good => {
                write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).ok()?;
            }
            Say::HeadAlone => stream.write_all(chunked.as_bytes()).ok()?,
            Say::Drips => {
                stream.write_all(format!("{chunked}{}", chunk("{\n")).as_bytes()).ok()?;
                loop {
                    std::thread::sleep(Duration::from_millis(100));
                    stream.write_all(chunk(" \n").as_bytes()).ok()?;
                }
            }
            Say::Ends => {
                stream.write_all(format!("{chunked}0\r\n\r\n").as_bytes()).ok()?;
                return None;
            }
            Say::Status(status) => {
                write!(stream, "HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n").ok()?;
            }
            Say::NoLength => {
                write!(stream, "HTTP/1.1 200 OK\r\n\r\n{text}").ok()?;
                return None;
            }
            Say::Reset => {
                write!(stream, "HTTP/1.1 200 OK\r\n\r\n{wrong}").ok()?;
                // Reset once it was read: what is unread here would be lost with it.
                std::thread::sleep(Duration::from_millis(100));
                rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return None;
            }
            Say::Silence => {}
        }
    }
}

#[test]
fn a_change_is_heard_whatever_becomes_of_calls_to_discovery() {
    use Say::{Drips, Ends, Good, HeadAlone, NoLength, Reset, Silence, Status};
    let scripts: Vec<Script> = vec![
        (vec![Good], vec![Good]),
        // A line that drips in for ever, and a whole list that does.
        (vec![Good], vec![Drips, Good]),
        (vec![Drips, Good], vec![Ends, Good]),
        // Watches that die at once, or say nothing, while whole lists still come.
        (vec![Good], vec![Ends]),
        (vec![Good], vec![HeadAlone]),
        (vec![Good], vec![Silence]),
        (vec![Good], vec![Status(503)]),
        (vec![Status(503), Status(404), Silence, Good], vec![Silence, Drips, Ends, Good]),
        // No length: an end in order is an end, a reset is none.
        (vec![NoLength], vec![Ends]),
        (vec![Reset, Reset, NoLength], vec![Ends]),
    ];
    let plays = scripts.into_iter().map(|script| {
        std::thread::spawn(move || {
            let backend = |text: &'static str| Backend::start(move |_| Answer::Bytes(value(text)));
            let (old, new, wrong) = (backend("old"), backend("new"), backend("wrong"));
            let mut rig = Rig::before(&[old.address]);
            assert!(is_served(&rig.client().ask("lookup", 2000), "old"));
            let list = |other: SocketAddr| {
                json!({"seq": 2, "whole": true, "hosts": [
                    host("b0", old.address, "leaving"), host("b1", other, "active")]})
            };
            let moved = discovery(script.clone(), list(new.address), list(wrong.address));
            rig.file["discovery"] = json!(moved.to_string());
            rig.write();
            rig.handle.reload();
            let (began, mut client) = (Instant::now(), rig.client());
            while !is_served(&client.ask("lookup", 500), "new") {
                assert!(began.elapsed() < LIMIT, "{script:?}: never heard");
            }
            assert_eq!(wrong.count(), 0, "{script:?}: a list that was cut off was taken");
        })
    });
    let plays: Vec<_> = plays.collect();
    let failed = plays.into_iter().filter_map(|p| p.join().err()).count();
    assert_eq!(failed, 0);
}

/// A call as the test holds it: nothing is answered until the test says so.
struct Held {
    stream: TcpStream,
    watch: bool,
}

impl Held {
    fn answer(&mut self, list: &Json) {
        let text = list.to_string();
        let bytes = if self.watch {
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}")
        } else {
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len())
        };
        let _ = self.stream.write_all(bytes.as_bytes());
    }
}

/// Discovery that hands each call over as it comes.
fn held_discovery() -> (SocketAddr, mpsc::Receiver<Held>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (mut input, mut room) = (Vec::new(), [0; 4096]);
            while !input.ends_with(b"\r\n\r\n") {
                match stream.read(&mut room) {
                    Ok(n @ 1..) => input.extend_from_slice(&room[..n]),
                    _ => break,
                }
            }
            let watch = String::from_utf8_lossy(&input).contains("watch=1");
            if tell.send(Held { stream, watch }).is_err() {
                return;
            }
        }
    });
    (address, told)
}

/// A gateway before a backend that says nothing, which follows discovery at an address that answers nothing yet.
fn before_silence(grace: f64) -> (Rig, Backend, mpsc::Receiver<Held>) {
    let old = Backend::start(|_| Answer::Silence);
    let mut settings = settings();
    settings["rules"]["drain-grace-ms"] = json!(grace);
    let mut rig = Rig::new(vec![host("b0", old.address, "active")], settings, 1024);
    let (moved, calls) = held_discovery();
    rig.file["discovery"] = json!(moved.to_string());
    rig.write();
    rig.handle.reload();
    (rig, old, calls)
}

/// What discovery gets at its return counts as told at once, so the call after one that nobody answers has to come within
/// the grace of a drain. Both clocks are the gateway's own: an order that fails after 1 s, begun in the instant in which
/// the last call before the return was made, must still be out when the next call comes.
#[test]
fn a_return_of_discovery_is_heard_within_the_grace_of_a_drain() {
    let (rig, old, calls) = before_silence(600.0);
    let new = Backend::start(|_| Answer::Bytes(value("new")));
    let _unanswered: Vec<Held> = (0..3).map(|_| calls.recv_timeout(LIMIT).expect("a call")).collect();
    let mut client = rig.client();
    client.send_ask("order", 1000);
    let mut next = calls.recv_timeout(LIMIT).expect("a call after the return");
    client.stream.set_nonblocking(true).unwrap();
    let early = client.stream.peek(&mut [0; 64]).map_err(|e| e.kind());
    assert_eq!(early, Err(std::io::ErrorKind::WouldBlock), "asked again only after the order had failed");
    next.answer(&json!({"seq": 2, "whole": true, "hosts": [
        host("b0", old.address, "leaving"), host("b1", new.address, "active")]}));
    let began = Instant::now();
    while !is_served(&rig.client().ask("lookup", 500), "new") {
        assert!(began.elapsed() < LIMIT, "never heard");
    }
    let reached = old.count();
    assert!((0..5).all(|_| is_served(&rig.client().ask("lookup", 500), "new")));
    assert_eq!(old.count(), reached, "the one that drains gets nothing more");
}

/// An agent that answers each call only once the next one is made is slower than the gateway waits, and is heard.
#[test]
fn discovery_that_answers_later_than_the_next_call_is_made_is_heard_all_the_same() {
    let (rig, old, calls) = before_silence(200.0);
    let new = Backend::start(|_| Answer::Bytes(value("new")));
    let list = json!({"seq": 2, "whole": true, "hosts": [
        host("b0", old.address, "leaving"), host("b1", new.address, "active")]});
    std::thread::spawn(move || {
        let mut before: Option<Held> = None;
        let mut answered = Vec::new();
        for call in calls {
            if let Some(mut held) = before.replace(call) {
                held.answer(&list);
                answered.push(held);
            }
        }
    });
    let began = Instant::now();
    while !is_served(&rig.client().ask("lookup", 500), "new") {
        assert!(began.elapsed() < LIMIT, "never heard");
    }
}

/// Half a head of a call that was set aside shows nothing: it must not take the place of the call that is answered.
#[test]
fn half_a_head_of_an_earlier_call_does_not_take_the_place_of_the_next_one() {
    let (rig, old, calls) = before_silence(600.0);
    let new = Backend::start(|_| Answer::Bytes(value("new")));
    let mut first = calls.recv_timeout(LIMIT).expect("a call");
    let mut next = calls.recv_timeout(LIMIT).expect("a call beside the one that is not answered");
    first.stream.write_all(b"HTTP/1.1 200 O").unwrap();
    // What discovery says comes before what clients say: it has been read when this is answered.
    rig.client().call(&["PING"]);
    let list = json!({"seq": 2, "whole": true, "hosts": [
        host("b0", old.address, "leaving"), host("b1", new.address, "active")]});
    next.answer(&list);
    // So is each call behind it, where the machine was slower than the gateway waits.
    std::thread::spawn(move || calls.into_iter().map(|mut call| call.answer(&list)).for_each(drop));
    // Less than the gateway would wait for the rest of the head.
    let answer = rig.client().ask("order", 1000);
    assert!(is_served(&answer, "new"), "{answer:?}");
}
