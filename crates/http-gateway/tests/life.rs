//! Reloads and stops under load, over real sockets.

mod helper;

use helper::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

fn served_forever() -> Vec<Act> {
    (0..100_000).map(|_| good()).collect()
}

#[test]
fn reloads_under_load_lose_no_request() {
    let nodes: Vec<Script> = (0..4).map(|_| script(served_forever())).collect();
    let addresses: Vec<_> = nodes.iter().map(|n| n.address).collect();
    let plans = |ten: f64, free: &str, name: &str| {
        format!(
            "plans {{ name: \"ten\" rate: {ten} burst: {} }}\nplans {{ name: \"free\" {free} }}\nplans {{ name: \"{name}\" }}\n",
            ten * 2.0
        )
    };
    // Plans go up and down, come and go; one of the settings is bad and must change nothing.
    let settings = [
        plans(50.0, "", "a"),
        plans(200.0, "rate: 5000 burst: 5000", "b"),
        "plans { name: \"ten\" rate: -1 }".to_owned(),
        plans(20.0, "", "a") + "limits { held_answer_bytes: 0 }",
    ];
    let mut door = Door::changing(&addresses, &settings);
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = ["ten", "free", "free", "ten"]
        .into_iter()
        .map(|key| {
            let (mut client, over) = (door.client(), Arc::clone(&over));
            std::thread::spawn(move || {
                let mut kinds = std::collections::BTreeMap::<String, u32>::new();
                while !over.load(Ordering::SeqCst) {
                    client.send(key, PREVIEW, "");
                    let answer =
                        client.answer().expect("each request gets its answer, on the same connection");
                    *kinds.entry(format!("{} {}", answer.status, answer.code())).or_default() += 1;
                }
                kinds
            })
        })
        .collect();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        door.stopper.reload();
        std::thread::sleep(Duration::from_millis(20));
    }
    over.store(true, Ordering::SeqCst);
    for (at, client) in clients.into_iter().enumerate() {
        let kinds = client.join().expect("no request was lost");
        assert!(kinds.get("200 ").is_some_and(|n| *n > 20), "client {at}: {kinds:?}");
        let known = ["200 ", "429 QUOTA_EXCEEDED", "503 BUSY"];
        assert!(kinds.keys().all(|k| known.contains(&k.as_str())), "client {at}: {kinds:?}");
    }
    door.stop();
}

#[test]
fn a_query_keeps_the_schema_and_plan_that_it_was_priced_with() {
    let (go, until) = mpsc::channel();
    let node = script(vec![waits(until), good()]);
    let first = PLANS.to_string();
    // The new settings have no plan for `ten`'s old figures and another class order.
    let second =
        "plans { name: \"ten\" rate: 1 burst: 1 }\nplans { name: \"free\" }\npath: \"/next\"\n".to_owned();
    let door = Door::changing(&[node.address], &[first, second]);
    let mut client = door.client();
    client.send("ten", PREVIEW, "");
    node.got.recv_timeout(LIMIT).expect("it is out");
    door.stopper.reload();
    // The settings are read beside the loop: they are taken once the new path answers.
    let status = |path: &str, key: &str| {
        let mut client = door.client();
        let text = String::from_utf8(post(key, "{ previews(first: 2) { id } }", "")).expect("a text");
        client.write(text.replace("/graphql", path).as_bytes());
        client.answer().expect("an answer")
    };
    while status("/next", "nobody").status == 404 {
        std::thread::yield_now();
    }
    assert_eq!(status("/next", "ten").code(), "COST_EXCEEDS_PLAN", "the new plan holds one");
    go.send(()).expect("the node waits");
    assert_eq!(client.answer().map(|a| a.status), Some(200));
}

/// A stop while a licence order is in each state: answered or failed, never refused once it may have run, never sent
/// twice.
#[test]
fn a_stop_with_licence_orders_in_every_state() {
    let (_go, until) = mpsc::channel();
    let half: Act = Box::new(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 90000\r\n\r\n{\"data\":");
        let _ = stream.write_all(&[b' '; 40_000]);
        std::thread::sleep(LIMIT);
        false
    });
    let (silent, halfway) = (script(vec![waits(until)]), script(vec![half]));
    for (node, state) in [(silent, "silent"), (halfway, "half answered")] {
        let mut door = Door::new(&[node.address], "life { drain_ms: 300 }");
        let mut sent = door.client();
        sent.send("free", LICENCE, "");
        let first = node.got.recv_timeout(LIMIT).expect("it is out");
        // The node has no room for more: these are held.
        let mut held: Vec<Client> = (0..6).map(|_| door.client()).collect();
        held.iter_mut().for_each(|c| c.send("free", LICENCE, ""));
        let start = Instant::now();
        door.stop();
        assert!(start.elapsed() < Duration::from_secs(8), "{state}: bounded by its deadline");
        match sent.answer() {
            Some(answer) => assert_eq!(answer.code(), "DEADLINE_EXCEEDED", "{state}: {answer:?}"),
            None => assert_eq!(state, "half answered", "only what has begun is cut"),
        }
        for client in &mut held {
            if let Some(answer) = client.answer() {
                assert!(answer.status >= 500, "{state}: {answer:?}");
            }
        }
        let id = |r: &String| r.lines().find(|l| l.starts_with("x-request-id")).map(str::to_owned);
        let mut reached: Vec<_> = std::iter::once(first).chain(node.got.try_iter()).map(|r| id(&r)).collect();
        let count = reached.len();
        reached.sort();
        reached.dedup();
        assert!(
            reached.iter().all(Option::is_some) && reached.len() == count,
            "{state}: an order was sent twice"
        );
    }
}

#[test]
fn a_second_stop_ends_what_is_left_at_once() {
    let (_go, until) = mpsc::channel();
    let node = script(vec![waits(until)]);
    let mut door = Door::new(&[node.address], "life { drain_ms: 60000 }");
    let mut client = door.client();
    client.send("free", LICENCE, "");
    node.got.recv_timeout(LIMIT).expect("it is out");
    let start = Instant::now();
    door.stopper.stop();
    door.stop();
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(
        client.answer().map(|a| a.code()).as_deref(),
        Some("DEADLINE_EXCEEDED"),
        "it may have run: no refusal"
    );
}

#[test]
fn a_stop_gives_notice_and_tells_clients_to_go() {
    let node = script(vec![good(), good(), good()]);
    let mut door = Door::new(&[node.address], "life { notice_ms: 400 drain_ms: 2000 }");
    let mut client = door.client();
    client.send("free", PREVIEW, "");
    assert!(client.answer().is_some_and(|a| !a.has("connection: close")));
    door.stopper.stop();
    // Within the notice new clients are still served, and told to go.
    let answer = door.ask("free", PREVIEW);
    assert_eq!(answer.status, 200);
    assert!(answer.has("connection: close"), "{}", answer.head);
    door.stopper.reload();
    door.stop();
    assert!(client.ends());
}

/// One that ends where clients are quiet, and that looks at all that is open each time a watcher asks.
const HASTY: &str = "life { quiet_ms: 0 drain_ms: 60000 } health { listen: \"127.0.0.1:0\" }\n";

/// The gateway drains, and has looked at what is left several times since.
fn drains(door: &Door) {
    door.stopper.stop();
    while watch(door, "/ready").status != 503 {
        std::thread::yield_now();
    }
    for _ in 0..5 {
        assert_eq!(watch(door, "/live").status, 200, "it has not ended");
    }
}

#[test]
fn half_a_request_is_taken_whole_by_a_gateway_that_drains_among_quiet_clients() {
    let node = script(vec![good(), good()]);
    let mut door = Door::new(&[node.address], HASTY);
    let (mut half, whole) = (door.client(), post("free", PREVIEW, ""));
    half.write(&whole[..60]);
    // An answer to one who came later tells that the half is there.
    assert_eq!(door.ask("free", PREVIEW).status, 200);
    drains(&door);
    half.write(&whole[60..]);
    let last = half.answer().expect("an answer");
    assert!(last.status == 200 && last.has("connection: close"), "{last:?}");
    drop(half);
    door.stop();
}

#[test]
fn an_answer_that_is_not_read_whole_yet_outlives_its_request_in_a_gateway_that_drains() {
    // More than the system holds between two sockets.
    const LENGTH: usize = 24 << 20;
    let long: Act = Box::new(|stream| stream.write_all(&answer(&" ".repeat(LENGTH))).is_ok());
    let node = script(vec![long]);
    let limits = "limits { client_buffer_bytes: 64000000 customer_bytes: 80000000 unread_ms: 60000 }";
    let mut door = Door::new(&[node.address], &format!("{HASTY}{limits}"));
    let mut client = door.client();
    client.send("free", PREVIEW, "");
    node.got.recv_timeout(LIMIT).expect("it is out");
    while !watch(&door, "/metrics").body.contains("requests_open 0\n") {
        std::thread::yield_now();
    }
    drains(&door);
    let mut all = Vec::new();
    client.stream.read_to_end(&mut all).expect("an end in order");
    let head = all.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    assert_eq!(all.len() - head, LENGTH, "the whole answer");
    drop(client);
    door.stop();
}

#[test]
fn half_a_request_has_a_last_word_where_a_second_signal_ends_all() {
    let node = script(vec![good()]);
    let mut door = Door::new(&[node.address], "life { drain_ms: 60000 give_back_ms: 60000 }");
    let (mut half, whole) = (door.client(), post("free", PREVIEW, ""));
    half.write(&whole[..whole.len() - 3]);
    assert_eq!(door.ask("free", PREVIEW).status, 200);
    door.stopper.stop();
    door.stopper.stop();
    let last = half.answer().expect("a last word");
    assert!(
        (last.status, last.code().as_str()) == (503, "GATEWAY_FULL") && last.has("connection: close"),
        "{last:?}"
    );
    // It is waited for until it was read: its client's end is enough, long before the time to give back is over.
    drop(half);
    let start = Instant::now();
    door.stop();
    assert!(start.elapsed() < LIMIT);
}

/// Settings whose node `n0` is there and in that state, with what follows; each at a path of its own, which tells when a
/// reload is in.
fn listing(path: &str, address: std::net::SocketAddr, state: &str, more: &str) -> String {
    format!("path: \"/{path}\"\nnodes {{ name: \"n0\" address: \"{address}\" state: {state} }}\n{more}")
}

/// Asks at a path; the key is nobody's where only the path is of interest.
fn at(door: &Door, path: &str, key: &str, query: &str) -> Answer {
    let mut client = door.client();
    let text = String::from_utf8(post(key, query, "")).expect("a text");
    client.write(text.replace("/graphql", path).as_bytes());
    client.answer().expect("an answer")
}

fn reloads(door: &Door, path: &str) {
    door.stopper.reload();
    while at(door, path, "nobody", PREVIEW).status == 404 {
        std::thread::yield_now();
    }
}

/// Its connection is still coming up when its node is told to drain, goes, or is listed at another address: it goes
/// elsewhere, and nothing of it is written there.
#[test]
fn an_attempt_whose_connection_is_coming_up_is_taken_back_from_a_node_that_must_not_have_it() {
    for what in ["drains", "goes", "moves"] {
        let (late, other) = (LateNode::start(), script(vec![good(), good()]));
        let n1 = format!("nodes {{ name: \"n1\" address: \"{}\" }}", other.address);
        let next = match what {
            "drains" => listing("next", late.address, "DRAINING", &n1),
            "goes" => format!("path: \"/next\"\n{n1}"),
            _ => listing("next", other.address, "READY", ""),
        };
        let door = Door::relisting(&[listing("graphql", late.address, "READY", ""), next]);
        let mut client = door.client();
        client.send("free", LICENCE, "");
        assert_eq!(door.ask("nobody", PREVIEW).status, 401);
        reloads(&door, "/next");
        // The connection comes up now, if it is still wanted: none may bring a request.
        let late = late.open();
        let seen = std::thread::spawn(move || {
            let mut streams = late.incoming().map(|stream| stream.expect("a connection"));
            streams.find_map(|mut stream| read_request(&mut stream))
        });
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.status, 200, "{what}: {answer:?}");
        assert!(other.got.try_recv().expect("it went elsewhere").contains("orderLicence"), "{what}");
        assert!(!seen.is_finished(), "{what}: the late one got a request");
    }
}

/// Its answer is its client's; its connection leads to where the node was.
#[test]
fn a_connection_to_the_address_before_is_not_used_again() {
    let (go, until) = mpsc::channel();
    let (old, new) = (script(vec![waits(until), good()]), script(vec![good()]));
    let lists = [listing("graphql", old.address, "READY", ""), listing("next", new.address, "READY", "")];
    let door = Door::relisting(&lists);
    let mut client = door.client();
    client.send("free", PREVIEW, "");
    old.got.recv_timeout(LIMIT).expect("it is out");
    reloads(&door, "/next");
    go.send(()).expect("the node waits");
    assert_eq!(client.answer().map(|a| a.status), Some(200));
    assert_eq!(at(&door, "/next", "free", PREVIEW).status, 200);
    assert!(new.got.try_recv().is_ok(), "it went to where the node was");
}

/// The same where the node was started anew at its address: the next request comes on a connection of its own.
#[test]
fn a_connection_to_the_start_before_is_not_used_again() {
    let ((go, until), (told, ports)) = (mpsc::channel::<()>(), mpsc::channel());
    let act = move |stream: &mut std::net::TcpStream| {
        let _ = until.recv();
        let _ = told.send(stream.peer_addr().expect("a peer").port());
        stream.write_all(&answer(GOOD)).is_ok()
    };
    let act = Arc::new(std::sync::Mutex::new(act));
    let acts =
        (0..2).map(|_| act.clone()).map(|act| -> Act { Box::new(move |s| act.lock().expect("one")(s)) });
    let node = script(acts.collect());
    let lists = ["READY", "READY started_ms: 1"].map(|state| {
        let path = if state == "READY" { "graphql" } else { "next" };
        listing(path, node.address, state, "")
    });
    let door = Door::relisting(&lists);
    let mut client = door.client();
    client.send("free", PREVIEW, "");
    node.got.recv_timeout(LIMIT).expect("it is out");
    reloads(&door, "/next");
    go.send(()).expect("the node waits");
    assert_eq!(client.answer().map(|a| a.status), Some(200));
    go.send(()).expect("the node waits");
    assert_eq!(at(&door, "/next", "free", PREVIEW).status, 200);
    let ports: Vec<u16> = ports.try_iter().collect();
    assert!(ports.len() == 2 && ports[0] != ports[1], "the same connection again: {ports:?}");
}

/// Opens a pipe for who waits to write to it, and keeps it open.
struct Opens(std::path::PathBuf);

impl Opens {
    fn open(&self) {
        let pipe = std::fs::OpenOptions::new().read(true).write(true).open(&self.0);
        std::mem::forget(pipe.expect("the pipe"));
    }
}

impl Drop for Opens {
    /// Also where the test has failed: its gateway could not be stopped else.
    fn drop(&mut self) {
        self.open();
    }
}

/// The loop stands still, in the middle of an iteration, until its state file can be opened: meanwhile a request's next
/// attempt comes due, and its client goes. The close was there first.
#[test]
fn nothing_begins_for_who_has_gone_while_the_loop_stood_still() {
    let folder = std::env::temp_dir().join(format!("doorcourse-still-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (file, pipe) = (folder.join("state"), folder.join("state.new"));
    let _ = std::fs::remove_file(&pipe);
    rustix::fs::mkfifoat(rustix::fs::CWD, &pipe, 0o600.into()).expect("a pipe");
    // Turned away unseen, on a connection that stays; the node is left alone for 2 s.
    let full: Act = Box::new(|stream| {
        stream.write_all(b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n").is_ok()
    });
    let node = script(vec![full, good(), good()]);
    let state =
        format!("state {{ file: \"{}\" every_ms: 500 }} cold_nodes {{ warm_ms: 100000 }}", file.display());
    let door = Door::new(&[node.address], &state);
    let pipe = Opens(pipe);
    let mut client = door.client();
    client.send("free", LICENCE, "");
    node.got.recv_timeout(LIMIT).expect("it is out");
    let failed = Instant::now();
    // Whoever has no answer shows that the loop stands still.
    let answered = || {
        let mut other = door.client();
        other.stream.set_read_timeout(Some(Duration::from_millis(600))).expect("a limit");
        other.write(&post("nobody", PREVIEW, ""));
        matches!(other.stream.read(&mut [0; 64]), Ok(1..))
    };
    while answered() {
        assert!(failed.elapsed() < LIMIT, "the loop does not stand still");
    }
    drop(client);
    // Whatever was to begin again is due by now.
    std::thread::sleep(Duration::from_millis(2500).saturating_sub(failed.elapsed()));
    pipe.open();
    assert_eq!(door.ask("free", PREVIEW).status, 200);
    let next = node.got.recv_timeout(LIMIT).expect("a request");
    assert!(next.contains("preview"), "begun for a client that had gone: {next}");
}
