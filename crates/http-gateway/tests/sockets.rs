//! The hard cases over real sockets.

mod helper;

use doorcourse_conformance::Event;
use doorcourse_emulators::{Command, NodeFault, NodeSpec, Recorder, World, WorldSpec};
use doorcourse_event_loop::Clock;
use helper::*;
use std::io::{Read, Write};
use std::sync::mpsc;
use std::time::{Duration, Instant};

fn world(nodes: usize) -> (World, Recorder) {
    let clock = Clock::default();
    let recorder = Recorder::new(clock);
    let node = |at: usize| NodeSpec {
        name: format!("n{at}"),
        cell: at as u64 % 2,
        cores: 2,
        queue: 50,
        cold_share: 1.0,
        warm: 1.0,
        fall_multiple: 100.0,
        fall_time: 1000.0,
        memory: 4000.0,
    };
    let nodes = (0..nodes).map(node).collect();
    let (password, seed) = (None, 1);
    let spec = WorldSpec {
        nodes,
        listen: None,
        counter: false,
        password,
        seed,
        spread: 0.0,
        speed: 4.0,
        quiet: false,
    };
    (World::start(&spec, clock, recorder.clone()).expect("a world"), recorder)
}

fn got(recorder: &Recorder) -> usize {
    recorder.records().iter().filter(|r| matches!(r.event, Event::Got { .. })).count()
}

#[test]
fn forty_previews_are_refused_as_a_whole_before_any_node() {
    let (world, recorder) = world(2);
    let door = Door::new(&world.nodes, "");
    let many: String = (0..40).map(|n| format!("p{n}: preview(id: {n}) {{ id }} ")).collect();
    let answer = door.ask("ten", &format!("{{ {many} }}"));
    assert_eq!((answer.status, answer.code().as_str()), (429, "COST_EXCEEDS_PLAN"));
    assert!(!answer.has("retry-after"), "waiting does not help: {}", answer.head);
    assert_eq!(got(&recorder), 0);
    assert_eq!(door.ask("ten", PREVIEW).status, 200, "it cost the account nothing");
}

#[test]
fn an_account_ends_with_what_its_answers_were_worth() {
    let (world, _) = world(2);
    let door = Door::new(&world.nodes, "");
    // Priced as ten, worth two: eight come back.
    assert_eq!(door.ask("ten", "{ shelf(id: 1) { id } }").status, 200);
    assert_eq!(door.ask("ten", "{ previews(first: 8) { id } }").status, 200);
    let refused = door.ask("ten", PREVIEW);
    assert_eq!((refused.status, refused.code().as_str()), (429, "QUOTA_EXCEEDED"));
    assert!(refused.has("retry-after: 2"), "{}", refused.head);
}

#[test]
fn a_true_cost_above_the_price_is_charged_too() {
    let (world, _) = world(2);
    let door = Door::new(&world.nodes, "");
    // Priced as two, worth ten: the account has nothing left.
    assert_eq!(door.ask("ten", "{ similar(id: 1) { id } }").status, 200);
    assert_eq!(door.ask("ten", PREVIEW).code(), "QUOTA_EXCEEDED");
}

#[test]
fn an_answer_that_fails_or_never_comes_leaves_the_price() {
    for fault in [NodeFault::Reset(1.0), NodeFault::Malformed(1.0), NodeFault::Stall(true)] {
        let (world, _) = world(2);
        (0..2).for_each(|n| world.tell(Command::Node(n, fault)));
        let door = Door::new(&world.nodes, "");
        let mut client = door.client();
        client.send("ten", "{ shelf(id: 1) { id } }", "doorcourse-deadline-ms: 400\r\n");
        let failed = client.answer().expect("an answer");
        assert!(failed.status >= 500, "{fault:?}: {failed:?}");
        // A safe request may be refused where a repeat found no room; it is charged once, by its price.
        (0..2).for_each(|n| world.tell(Command::Node(n, NodeFault::Reset(0.0))));
        assert_eq!(door.ask("ten", PREVIEW).code(), "QUOTA_EXCEEDED", "{fault:?}");
    }
}

#[test]
fn a_connection_that_dies_before_the_request_is_written_lets_any_class_go_elsewhere() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = dead.local_addr().expect("an address");
    drop(dead);
    let node = script(vec![good(), good(), good(), good(), good(), good()]);
    let door = Door::new(&[address, node.address], "");
    for query in [PREVIEW, LICENCE, PLAYLIST, LICENCE] {
        assert_eq!(door.ask("free", query).status, 200, "{query}");
    }
}

#[test]
fn what_may_have_run_is_repeated_only_as_its_class_allows() {
    // (query, served in the end, requests that reached nodes); nodes 0 and 2 are one cell, 1 and 3 the other.
    for (query, served, count) in [(PREVIEW, true, 2), (PLAYLIST, true, 2), (LICENCE, false, 1)] {
        let (tell, told) = mpsc::channel();
        let turn = std::sync::Arc::new(std::sync::atomic::AtomicU32::new(0));
        let act = |at: usize| -> Act {
            let (turn, tell) = (turn.clone(), tell.clone());
            Box::new(move |stream| {
                let _ = tell.send(at);
                let first = turn.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0;
                !first && stream.write_all(&answer(GOOD)).is_ok()
            })
        };
        let nodes: Vec<Script> = (0..4).map(|at| script(vec![act(at), act(at)])).collect();
        let addresses: Vec<_> = nodes.iter().map(|n| n.address).collect();
        let door = Door::new(&addresses, "");
        let found = door.ask("free", query);
        let reached: Vec<usize> = told.try_iter().collect();
        assert_eq!(reached.len(), count, "{query}: {reached:?}");
        if served {
            assert_eq!(found.status, 200, "{query}: {found:?}");
        } else {
            assert_eq!((found.status, found.code().as_str()), (502, "NODE_FAILED"), "{query}");
        }
        if query == PLAYLIST {
            assert_eq!(reached[0] % 2, reached[1] % 2, "repeated in another cell: {reached:?}");
            let keys: Vec<String> = nodes.iter().flat_map(|n| n.got.try_iter().collect::<Vec<_>>()).collect();
            let key = |r: &String| r.lines().find(|l| l.starts_with("idempotency-key")).map(str::to_owned);
            assert!(key(&keys[0]).is_some() && key(&keys[0]) == key(&keys[1]), "{keys:?}");
        }
    }
}

#[test]
fn a_pooled_connection_closed_just_as_a_licence_was_written_may_have_run_it() {
    let node = script(vec![good(), breaks(), good()]);
    let door = Door::new(&[node.address], "");
    assert_eq!(door.ask("free", PREVIEW).status, 200);
    let found = door.ask("free", LICENCE);
    assert_eq!((found.status, found.code().as_str()), (502, "NODE_FAILED"));
    assert_eq!(node.got.try_iter().count(), 2, "it was not sent again");
}

#[test]
fn the_deadline_comes_while_a_node_is_silent_and_its_late_answer_is_not_passed_on() {
    let (go, until) = mpsc::channel();
    let node = script(vec![waits(until), good()]);
    let door = Door::new(&[node.address], "");
    let mut client = door.client();
    let start = Instant::now();
    client.send("free", LICENCE, "doorcourse-deadline-ms: 300\r\n");
    let found = client.answer().expect("an answer");
    assert_eq!((found.status, found.code().as_str()), (504, "DEADLINE_EXCEEDED"));
    assert!(start.elapsed() >= Duration::from_millis(200), "not before its time");
    go.send(()).expect("the node waits");
    // The connection serves on, and the next answer is its own.
    client.send("free", PREVIEW, "");
    let next = client.answer().expect("an answer");
    assert!(next.status == 200 || next.status == 503, "{next:?}");
    assert!(!next.body.contains("orderLicence"));
}

#[test]
fn the_deadline_comes_with_half_the_answer_passed_on() {
    let (stop, until) = mpsc::channel::<()>();
    let act: Act = Box::new(move |stream| {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 100000\r\n\r\n{\"data\":{\"x\":\"";
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&[b'y'; 40_000]);
        let _ = until.recv();
        false
    });
    let node = script(vec![act]);
    let door = Door::new(&[node.address], "");
    let mut client = door.client();
    client.send("free", PREVIEW, "doorcourse-deadline-ms: 400\r\n");
    assert_eq!(client.answer(), None, "cut, and not taken for the whole");
    assert!(!client.ends(), "a part had come");
    drop(stop);
}

#[test]
fn the_deadline_comes_while_held_for_a_block_and_while_held_for_room() {
    // A counter that accepts and says nothing: who waits for a block falls to the silence rule, in time.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let counter =
        format!("counter {{ address: \"{}\" timeout_ms: 5000 }}", silent.local_addr().expect("an address"));
    let node = script(vec![good(), good()]);
    let door = Door::new(&[node.address], &counter);
    let mut client = door.client();
    client.send("ten", PREVIEW, "");
    assert_eq!(client.answer().expect("an answer").status, 200, "by the silence rule");
    // With hardly any time behind the wait, it may not be served any more; it is answered all the same.
    client.send("ten", PREVIEW, "doorcourse-deadline-ms: 150\r\n");
    let short = client.answer().expect("an answer");
    assert!(short.status == 200 || short.code() == "DEADLINE_EXCEEDED", "{short:?}");
    // Nodes that are out: what is held for room gets its answer in its time, and it promises a harmless repeat.
    let (_go, until) = mpsc::channel();
    let node = script(vec![waits(until)]);
    let door = Door::new(&[node.address], "");
    let mut clients: Vec<Client> = (0..12).map(|_| door.client()).collect();
    clients.iter_mut().for_each(|c| c.send("free", LICENCE, "doorcourse-deadline-ms: 500\r\n"));
    let answers: Vec<Answer> = clients.iter_mut().map(|c| c.answer().expect("an answer")).collect();
    let busy = answers.iter().filter(|a| a.code() == "BUSY" && a.has("retry-after")).count();
    let timed = answers.iter().filter(|a| a.code() == "DEADLINE_EXCEEDED").count();
    assert!(busy > 0 && timed > 0 && busy + timed == 12, "{answers:?}");
}

#[test]
fn a_refused_attempt_does_not_colour_the_answer_that_follows() {
    let full: Act = Box::new(|stream| {
        stream.write_all(b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 4\r\n\r\nfull").is_ok()
    });
    let large: Act = Box::new(|stream| {
        let body = format!("{{\"data\":{{\"preview\":{{\"id\":\"{}\"}}}}}}", "y".repeat(200_000));
        let _ =
            stream.write_all(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).as_bytes());
        let (first, rest) = body.as_bytes().split_at(50_000);
        stream.write_all(first).is_ok() && stream.write_all(rest).is_ok()
    });
    let (one, two) = (script(vec![full]), script(vec![large, good()]));
    let door = Door::new(&[one.address, two.address], "");
    let mut client = door.client();
    client.send("free", PREVIEW, "");
    let found = client.answer().expect("an answer");
    assert_eq!((found.status, found.body.len()), (200, 200_000 + GOOD.len() - 1));
    client.send("free", PREVIEW, "");
    assert_eq!(client.answer().map(|a| a.body).as_deref(), Some(GOOD));
}

#[test]
fn a_client_that_reads_nothing_holds_bounded_memory_and_is_cut() {
    let (tell, told) = mpsc::channel();
    let act: Act = Box::new(move |stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 268435456\r\n\r\n");
        let mut written = 0u64;
        while let Ok(n) = stream.write(&[b' '; 65536]) {
            written += n as u64;
        }
        let _ = tell.send(written);
        false
    });
    let node = script(vec![act]);
    let door = Door::new(&[node.address], "");
    let mut client = door.client();
    client.send("free", PREVIEW, "doorcourse-deadline-ms: 700\r\n");
    let written = told.recv_timeout(LIMIT).expect("the node was stopped");
    // The rest is what the system's own buffers between three sockets take.
    assert!(written < 32 << 20, "{written} bytes were taken for a client that reads nothing");
    let mut all = Vec::new();
    let ended = client.stream.read_to_end(&mut all);
    assert!(ended.is_err() || all.len() < 268_435_456, "cut");
}

#[test]
fn two_thousand_connections_that_send_a_byte_at_a_time_hold_nobody_up() {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let raised = rustix::process::Rlimit { current: limit.maximum, maximum: limit.maximum };
    rustix::process::setrlimit(rustix::process::Resource::Nofile, raised).expect("descriptors");
    let count = limit.maximum.map_or(2000, |m| (m.saturating_sub(200) / 2).min(2000));
    let node = script(vec![good(), good()]);
    let door = Door::new(&[node.address], "limits { head_ms: 1500 connections: 5000 }");
    let request = post("free", PREVIEW, "");
    let mut slow: Vec<Client> = (0..count).map(|_| door.client()).collect();
    for at in 0..3 {
        slow.iter_mut().for_each(|c| c.write(&request[at..=at]));
        if at == 1 {
            assert_eq!(door.ask("free", PREVIEW).status, 200);
        }
    }
    for client in &mut slow {
        assert_eq!(client.answer().map(|a| a.status), Some(408));
    }
}

#[test]
fn floods_of_heads_and_bodies_meet_their_limits() {
    let node = script(vec![good()]);
    let door =
        Door::new(&[node.address], "limits { head_bytes: 2000 body_bytes: 500 line_bytes: 300 fields: 20 }");
    let first = "POST /graphql HTTP/1.1\r\nhost: a\r\nauthorization: Bearer free\r\ncontent-type: application/json\r\n";
    for (flood, status) in [
        (format!("GET /{} HTTP/1.1\r\n", "a".repeat(400)), 414),
        (format!("{first}x: {}\r\n", "a".repeat(3000)), 431),
        (format!("{first}{}", "x: 1\r\n".repeat(40)), 431),
        (format!("{first}content-length: 501\r\n\r\n"), 413),
        (format!("{first}transfer-encoding: chunked\r\n\r\n1f5\r\n"), 413),
        (format!("{first}transfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n"), 400),
        ("nonsense\r\n\r\n".into(), 400),
    ] {
        let mut client = door.client();
        client.write(flood.as_bytes());
        assert_eq!(client.answer().map(|a| a.status), Some(status), "{flood:.60}");
        assert!(client.ends(), "and a close");
    }
    assert_eq!(door.ask("free", PREVIEW).status, 200);
}

#[test]
fn pipelined_requests_are_answered_in_order_one_at_a_time() {
    let (world, _) = world(2);
    let mut door = Door::new(&world.nodes, "");
    let mut client = door.client();
    let queries = ["{ preview(id: 1) { id } }", "{ nope }", "{ preview(id: 1) { url } }"];
    let all: Vec<u8> = queries.iter().flat_map(|q| post("free", q, "")).collect();
    client.write(&all);
    let bodies: Vec<String> = (0..3).map(|_| client.answer().expect("an answer").body).collect();
    assert!(
        bodies[0].contains("\"id\"")
            && bodies[1].contains("no field `nope`")
            && bodies[2].contains("\"url\"")
    );
    door.stop();
    assert!(client.ends(), "an idle connection is closed at a stop");
}

#[test]
fn graphql_over_http_statuses() {
    let (world, _) = world(1);
    let door = Door::new(&world.nodes, "");
    let raw = |text: String| {
        let mut client = door.client();
        client.write(text.as_bytes());
        client.answer().expect("an answer")
    };
    let body = |body: &str, fields: &str| {
        raw(format!(
            "POST /graphql HTTP/1.1\r\nhost: a\r\nauthorization: bearer free\r\n{fields}content-length: {}\r\n\r\n{body}",
            body.len()
        ))
    };
    let json = "content-type: application/json\r\n";
    let new = "content-type: application/json\r\naccept: application/graphql-response+json\r\n";
    let get = |query: &str| {
        raw(format!("GET /graphql?{query} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer free\r\n\r\n"))
    };
    let bad = r#"{"query":"{ nope }"}"#;
    let named = r#"{"query":"query A { preview(id: 1) { id } } query B { nope }","operationName":"C"}"#;
    for (answer, status, code) in [
        (body(bad, json), 200, "GRAPHQL_VALIDATION_FAILED"),
        (body(bad, new), 400, "GRAPHQL_VALIDATION_FAILED"),
        (body(named, new), 400, "GRAPHQL_VALIDATION_FAILED"),
        (body("[]", json), 400, "BATCH_UNSUPPORTED"),
        (body("{", json), 400, "BAD_REQUEST"),
        (body(r#"{"query":1}"#, json), 400, "BAD_REQUEST"),
        (body(r#"{"query":"{a}","variables":[]}"#, json), 400, "BAD_REQUEST"),
        (body(r#"{"query":"{ __schema { types { name } } }"}"#, new), 400, "INTROSPECTION_DISABLED"),
        (body(bad, "content-type: text/plain\r\n"), 415, "UNSUPPORTED_MEDIA_TYPE"),
        (body(bad, "content-type: application/json\r\naccept: text/html\r\n"), 406, "NOT_ACCEPTABLE"),
        (body(bad, "content-type: application/json\r\ndoorcourse-deadline-ms: x\r\n"), 400, "BAD_DEADLINE"),
        (get("query=%7Bpreview(id:1)%7Bid%7D%7D"), 200, ""),
        (get("query=query(%24i:ID!)%7Bpreview(id:%24i)%7Bid%7D%7D&variables=%7B%22i%22:%221%22%7D"), 200, ""),
        (get("query=mutation%7BorderLicence(track:1)%7Bid%7D%7D"), 405, "MUTATION_BY_GET"),
        (get("query=%zz"), 400, "BAD_REQUEST"),
        (raw("GET /other HTTP/1.1\r\nhost: a\r\n\r\n".into()), 404, "NOT_FOUND"),
        (raw("PUT /graphql HTTP/1.1\r\nhost: a\r\n\r\n".into()), 405, "METHOD_NOT_ALLOWED"),
        // An unknown key is told before the body is there.
        (
            raw(
                "POST /graphql HTTP/1.1\r\nhost: a\r\nauthorization: Bearer x\r\ncontent-length: 900\r\n\r\n"
                    .into(),
            ),
            401,
            "UNAUTHENTICATED",
        ),
    ] {
        assert_eq!((answer.status, answer.code().as_str()), (status, code), "{answer:?}");
    }
    let expects = format!("{json}expect: 100-continue\r\n");
    assert_eq!(body(r#"{"query":"{ preview(id: 1) { id } }"}"#, &expects).status, 200);
}

/// A node that sets the session's cookie, as those behind a balancer do, and keeps its connections.
fn sets_cookie(route: &'static str) -> Act {
    let body = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nset-cookie: SID=x.{route}; Path=/\r\ncontent-length: {}\r\n\r\n{GOOD}",
        GOOD.len()
    );
    Box::new(move |stream| stream.write_all(body.as_bytes()).is_ok())
}

fn sticky(nodes: &[std::net::SocketAddr], more: &str) -> Door {
    let node = |(at, a): (usize, &std::net::SocketAddr)| {
        format!("nodes {{ name: \"n{at}\" address: \"{a}\" route: \"r{at}\" }}\n")
    };
    let nodes: String = nodes.iter().enumerate().map(node).collect();
    Door::new(&[], &format!("{nodes}routing {{ sticky {{ cookie: \"SID\" parameter: \"sid\"{more} }} }}\n"))
}

#[test]
fn a_session_keeps_to_its_node_by_cookie_path_and_query_and_cookies_pass_both_ways() {
    let acts = |route: &'static str| (0..40).map(|_| sets_cookie(route)).collect::<Vec<Act>>();
    let nodes = [script(acts("r0")), script(acts("r1"))];
    let door = sticky(&[nodes[0].address, nodes[1].address], "");
    let first = door.ask("free", PREVIEW);
    assert!(first.has("set-cookie: sid=x.r"), "{}", first.head);
    let count = |at: usize| nodes[at].got.try_iter().collect::<Vec<String>>();
    (0..2).for_each(|at| drop(count(at)));
    for _ in 0..6 {
        let mut client = door.client();
        client.send("free", PREVIEW, "cookie: a=b; SID=x.r1\r\n");
        assert_eq!(client.answer().expect("an answer").status, 200);
    }
    let got = count(1);
    assert_eq!((got.len(), count(0).len()), (6, 0));
    assert!(got.iter().all(|r| r.contains("cookie: a=b; SID=x.r1")), "{got:?}");
    for target in ["/graphql;sid=x.r0", "/graphql?sid=x.r0"] {
        let mut client = door.client();
        let text = String::from_utf8(post("free", PREVIEW, "")).expect("a text");
        client.write(text.replacen("/graphql", target, 1).as_bytes());
        assert_eq!(client.answer().expect("an answer").status, 200, "{target}");
        let mut client = door.client();
        let query = format!(
            "{target}{}query=%7Bpreview(id:7)%7Bid%7D%7D",
            if target.contains('?') { "&" } else { "?" }
        );
        client.write(
            format!("GET {query} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer free\r\n\r\n").as_bytes(),
        );
        assert_eq!(client.answer().expect("an answer").status, 200, "{query}");
    }
    let got = count(0);
    assert_eq!((got.len(), count(1).len()), (4, 0));
    assert!(
        got.iter().all(|r| !r.contains("sid=") && !r.contains("\"sid\"")),
        "the parameter is the balancer's: {got:?}"
    );
}

#[test]
fn a_session_whose_node_is_gone_goes_on_elsewhere_or_is_refused_as_the_binding_says() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = dead.local_addr().expect("an address");
    drop(dead);
    for (strict, status) in [(" strict: false", 200), (" strict: true", 503)] {
        let node = script((0..20).map(|_| good()).collect());
        let door = sticky(&[address, node.address], strict);
        let mut client = door.client();
        client.send("free", PREVIEW, "cookie: SID=x.r0\r\n");
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.status, status, "{strict}: {answer:?}");
        assert_eq!(door.ask("free", PREVIEW).status, 200, "what is not bound is served either way");
    }
}

#[test]
fn one_that_pipelines_and_reads_nothing_is_held_back_and_cut_and_others_are_served() {
    const ASKED: usize = 3000;
    // A node that answers at once, in answers that are held until they are whole: no node is stopped for them.
    let long = answer(&format!("{{\"data\":{{\"preview\":{{\"id\":\"{}\"}}}}}}", "7".repeat(80_000)));
    let act = || {
        let long = long.clone();
        Box::new(move |stream: &mut std::net::TcpStream| stream.write_all(&long).is_ok()) as Act
    };
    let node = script((0..ASKED + 10).map(|_| act()).collect());
    let door = Door::new(&[node.address], "limits { unread_ms: 1500 held_answer_bytes: 1000000 }");
    let greedy = door.client();
    let many = post("free", PREVIEW, "").repeat(ASKED);
    let mut stream = greedy.stream.try_clone().expect("a second handle");
    // The writer may block for good: the gateway does not read on.
    let writer = std::thread::spawn(move || stream.write_all(&many).is_ok());
    node.got.recv_timeout(LIMIT).expect("a first request");
    // It never reads; the reset shows on its socket all the same.
    let started = Instant::now();
    while greedy.stream.take_error().expect("a socket").is_none() {
        assert!(started.elapsed() < LIMIT, "it is never cut");
        std::thread::sleep(Duration::from_millis(5));
    }
    let all = writer.join().expect("a writer");
    let begun = node.got.try_iter().count();
    // What the system's own buffers take (some MB), and one more.
    assert!(begun < ASKED / 4, "{begun} of {ASKED} were begun; all written: {all}");
    assert_eq!(door.ask("ten", PREVIEW).status, 200, "others are served");
    assert_eq!(door.ask("free", PREVIEW).status, 200, "and its customer, once nothing is held for it");
}

#[test]
fn pipelined_requests_of_one_that_reads_are_all_answered() {
    let (world, _) = world(2);
    (0..2).for_each(|n| world.tell(Command::Node(n, NodeFault::Oversize(2000))));
    let door = Door::new(&world.nodes, "limits { client_buffer_bytes: 1024 held_answer_bytes: 1000000 }");
    let mut client = door.client();
    let many = post("free", "{ previews(first: 8) { id title } }", "").repeat(60);
    let mut stream = client.stream.try_clone().expect("a second handle");
    let writer = std::thread::spawn(move || stream.write_all(&many).expect("all written"));
    for at in 0..60 {
        assert_eq!(client.answer().map(|a| a.status), Some(200), "answer {at}");
    }
    writer.join().expect("a writer");
}

#[test]
fn the_absolute_form_of_a_target_is_taken() {
    let (world, _) = world(1);
    let door = Door::new(&world.nodes, "");
    for (target, status) in [
        ("http://any.example:8080/graphql", 200),
        ("HTTP://any.example/graphql?", 200),
        ("https://any.example/other", 404),
        ("http://any.example", 404),
        ("http://any.example?x=/graphql", 404),
        ("/http://any.example/graphql", 404),
    ] {
        let mut client = door.client();
        let text = String::from_utf8(post("free", PREVIEW, "")).expect("a text");
        client.write(text.replacen("/graphql", target, 1).as_bytes());
        assert_eq!(client.answer().map(|a| a.status), Some(status), "{target}");
    }
}

#[test]
fn who_watches_is_told_apart_from_clients() {
    let (world, _) = world(1);
    let door = Door::new(&world.nodes, "health { listen: \"127.0.0.1:0\" }");
    assert_eq!(
        (watch(&door, "/live").status, watch(&door, "/ready").status, watch(&door, "/x").status),
        (200, 200, 404)
    );
    assert_eq!(door.ask("free", PREVIEW).status, 200);
    assert_eq!(door.ask("ten", "{ previews(first: 10) { id } }").status, 200);
    assert_eq!(door.ask("ten", PREVIEW).code(), "QUOTA_EXCEEDED");
    let metrics = watch(&door, "/metrics");
    assert!(metrics.has("content-type: application/openmetrics-text; version=1.0.0"), "{}", metrics.head);
    for line in [
        "doorcourse_answers_total{code=\"SERVED\",plan=\"free\"} 1",
        "doorcourse_answers_total{code=\"SERVED\",plan=\"ten\"} 1",
        "doorcourse_answers_total{code=\"QUOTA_EXCEEDED\",plan=\"ten\"} 1",
        "doorcourse_served_seconds_count{class=\"preview\"} 2",
        "doorcourse_node_usable{node=\"n0\"} 1",
        "doorcourse_counter_silent 0",
        "doorcourse_requests_open 0",
        "# EOF",
    ] {
        assert!(metrics.body.contains(line), "{line} is not in\n{}", metrics.body);
    }
    assert_eq!(watch(&door, "/metrics?x").status, 200);
    // Bytes that are no request, and a method that is not answered.
    let stream = std::net::TcpStream::connect(door.health.expect("a listener")).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a limit");
    let mut client = Client::over(stream);
    client.write(b"POST /ready HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\nnonsense\r\n\r\n");
    assert_eq!(client.answer().map(|a| a.status), Some(405));
    assert_eq!(client.answer().map(|a| a.status), Some(400));
    assert!(client.ends());
    // Connections that are left open shut nobody out.
    let open: Vec<_> = (0..200)
        .map(|_| std::net::TcpStream::connect(door.health.expect("a listener")).expect("one"))
        .collect();
    assert_eq!(watch(&door, "/ready").status, 200, "beside {} that say nothing", open.len());
}

#[test]
fn a_drain_is_told_to_who_watches_before_anything_is_closed() {
    let (world, _) = world(1);
    let mut door = Door::new(&world.nodes, "health { listen: \"127.0.0.1:0\" } life { notice_ms: 60000 }");
    assert_eq!(watch(&door, "/ready").status, 200);
    door.stopper.stop();
    let started = Instant::now();
    while watch(&door, "/ready").status != 503 {
        assert!(started.elapsed() < LIMIT, "it stays ready");
    }
    assert_eq!(watch(&door, "/live").status, 200);
    assert_eq!(door.ask("free", PREVIEW).status, 200, "who still comes is served");
    // A second word: at once.
    door.stop();
}

/// A client that goes while its attempt's connection comes up: nothing of it is written, and the next request is the
/// first that the node sees. The node's queue is full until its requests are to come.
#[test]
fn a_request_whose_client_has_gone_is_not_written_when_its_connection_comes_up() {
    let node = LateNode::start();
    let door = Door::new(&[node.address], "");
    let mut client = door.client();
    client.send("free", LICENCE, "");
    // Whoever was written to before has been read once another's request has its answer.
    assert_eq!(door.ask("nobody", PREVIEW).status, 401);
    client.end();
    assert!(client.ends(), "the gateway has heard that its client has gone");
    // The system tries refused connections again a second later, in the order in which they were begun: were the first
    // one still wanted, it would come up ahead of this one.
    std::thread::sleep(Duration::from_millis(100));
    let mut other = door.client();
    other.send("free", PLAYLIST, "");
    assert_eq!(door.ask("nobody", PREVIEW).status, 401);
    let node = node.open();
    let seen = std::thread::spawn(move || {
        for stream in node.incoming() {
            let mut stream = stream.expect("a connection");
            if let Some(request) = read_request(&mut stream) {
                stream.write_all(&answer(r#"{"data":{"savePlaylist":{"id":"7"}}}"#)).expect("written");
                return request;
            }
        }
        unreachable!("a listener has no end")
    });
    assert_eq!(other.answer().expect("an answer").status, 200);
    assert!(seen.join().expect("a request").contains("savePlaylist"));
}
