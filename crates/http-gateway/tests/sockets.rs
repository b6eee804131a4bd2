//! Tests of quotas, retries, deadlines, back pressure and GraphQL over HTTP, over real sockets.

mod helper;

use doorcourse_conformance::Event;
use doorcourse_emulators::{Command, EmulatorServer, EmulatorServerSpec, NodeFault, NodeSpec, Recorder};
use doorcourse_event_loop::Clock;
use helper::*;
use std::io::{Read, Write};
use std::sync::mpsc;
use std::time::{Duration, Instant};

fn world(nodes: usize) -> (EmulatorServer, Recorder) {
    let clock = Clock::default();
    let recorder = Recorder::new(clock);
    let node = |index: usize| NodeSpec {
        name: format!("n{index}"),
        cell: index as u64 % 2,
        cores: 2,
        queue: 50,
        cold_share: 1.0,
        warm_up_ms: 1.0,
        fall_multiple: 100.0,
        fall_window_ms: 1000.0,
        key_retention_ms: 4000.0,
    };
    let nodes = (0..nodes).map(node).collect();
    let password = None;
    let seed = 1;
    let spec = EmulatorServerSpec {
        nodes,
        listen: None,
        counter: false,
        password,
        seed,
        service_time_spread: 0.0,
        speed: 4.0,
        discard_records: false,
    };
    (EmulatorServer::start(&spec, clock, recorder.clone()).expect("a world"), recorder)
}

/// The number of requests that reached backends.
fn received(recorder: &Recorder) -> usize {
    recorder.records().iter().filter(|r| matches!(r.event, Event::RequestRead { .. })).count()
}

#[test]
fn an_operation_above_the_plan_is_rejected_before_any_backend_is_asked() {
    let (world, recorder) = world(2);
    let gateway = TestGateway::new(&world.node_addresses, "");
    let many: String = (0..40).map(|n| format!("p{n}: preview(id: {n}) {{ id }} ")).collect();
    let response = gateway.request("ten", &format!("{{ {many} }}"));
    assert_eq!((response.status, response.code().as_str()), (429, "COST_EXCEEDS_PLAN"));
    assert!(!response.has("retry-after"), "waiting does not help: {}", response.head);
    assert_eq!(received(&recorder), 0);
    assert_eq!(gateway.request("ten", PREVIEW).status, 200, "a rejection costs nothing");
}

#[test]
fn a_response_that_costs_less_than_its_price_refunds_the_difference() {
    let (world, _) = world(2);
    let gateway = TestGateway::new(&world.node_addresses, "");
    // Priced as ten units, costs two: eight are refunded.
    assert_eq!(gateway.request("ten", "{ shelf(id: 1) { id } }").status, 200);
    assert_eq!(gateway.request("ten", "{ previews(first: 8) { id } }").status, 200);
    let refused = gateway.request("ten", PREVIEW);
    assert_eq!((refused.status, refused.code().as_str()), (429, "QUOTA_EXCEEDED"));
    assert!(refused.has("retry-after: 2"), "{}", refused.head);
}

#[test]
fn a_response_that_costs_more_than_its_price_is_charged_in_full() {
    let (world, _) = world(2);
    let gateway = TestGateway::new(&world.node_addresses, "");
    // Priced as two units, costs ten: no units are left.
    assert_eq!(gateway.request("ten", "{ similar(id: 1) { id } }").status, 200);
    assert_eq!(gateway.request("ten", PREVIEW).code(), "QUOTA_EXCEEDED");
}

#[test]
fn a_failed_or_missing_response_is_charged_by_its_price() {
    for fault in [NodeFault::Reset(1.0), NodeFault::Malformed(1.0), NodeFault::Stall(true)] {
        let (world, _) = world(2);
        (0..2).for_each(|n| world.send(Command::Node(n, fault)));
        let gateway = TestGateway::new(&world.node_addresses, "");
        let mut client = gateway.client();
        client.send("ten", "{ shelf(id: 1) { id } }", "doorcourse-deadline-ms: 400\r\n");
        let failed = client.response().expect("a response");
        assert!(failed.status >= 500, "{fault:?}: {failed:?}");
        // A safe request may be rejected if no backend has capacity for its retry; it is charged its price once.
        (0..2).for_each(|n| world.send(Command::Node(n, NodeFault::Reset(0.0))));
        assert_eq!(gateway.request("ten", PREVIEW).code(), "QUOTA_EXCEEDED", "{fault:?}");
    }
}

#[test]
fn requests_of_any_class_are_retried_elsewhere_when_the_connection_fails_before_the_write() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = dead.local_addr().expect("an address");
    drop(dead);
    let node = scripted_backend(vec![respond(), respond(), respond(), respond(), respond(), respond()]);
    let gateway = TestGateway::new(&[address, node.address], "");
    for query in [PREVIEW, LICENCE, PLAYLIST, LICENCE] {
        assert_eq!(gateway.request("free", query).status, 200, "{query}");
    }
}

#[test]
fn a_possibly_executed_request_is_retried_only_as_its_class_allows() {
    // Query, whether it is served in the end, and the number of requests that reach backends. Backends 0 and 2 are in
    // one cell, 1 and 3 in the other.
    for (query, served, count) in [(PREVIEW, true, 2), (PLAYLIST, true, 2), (LICENCE, false, 1)] {
        let (reached_sender, reached) = mpsc::channel();
        let received = std::sync::Arc::new(std::sync::atomic::AtomicU32::new(0));
        let step = |index: usize| -> Step {
            let received = received.clone();
            let reached_sender = reached_sender.clone();
            Box::new(move |stream| {
                let _ = reached_sender.send(index);
                let first = received.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0;
                !first && stream.write_all(&ok_response(RESPONSE_BODY)).is_ok()
            })
        };
        let nodes: Vec<ScriptedBackend> =
            (0..4).map(|index| scripted_backend(vec![step(index), step(index)])).collect();
        let addresses: Vec<_> = nodes.iter().map(|n| n.address).collect();
        let gateway = TestGateway::new(&addresses, "");
        let response = gateway.request("free", query);
        let reached: Vec<usize> = reached.try_iter().collect();
        assert_eq!(reached.len(), count, "{query}: {reached:?}");
        if served {
            assert_eq!(response.status, 200, "{query}: {response:?}");
        } else {
            assert_eq!((response.status, response.code().as_str()), (502, "NODE_FAILED"), "{query}");
        }
        if query == PLAYLIST {
            assert_eq!(reached[0] % 2, reached[1] % 2, "retried in another cell: {reached:?}");
            let keys: Vec<String> =
                nodes.iter().flat_map(|n| n.requests.try_iter().collect::<Vec<_>>()).collect();
            let key = |r: &String| r.lines().find(|l| l.starts_with("idempotency-key")).map(str::to_owned);
            assert!(key(&keys[0]).is_some() && key(&keys[0]) == key(&keys[1]), "{keys:?}");
        }
    }
}

#[test]
fn an_unsafe_request_on_a_pooled_connection_that_closes_is_not_retried() {
    let node = scripted_backend(vec![respond(), close(), respond()]);
    let gateway = TestGateway::new(&[node.address], "");
    assert_eq!(gateway.request("free", PREVIEW).status, 200);
    let response = gateway.request("free", LICENCE);
    assert_eq!((response.status, response.code().as_str()), (502, "NODE_FAILED"));
    assert_eq!(node.requests.try_iter().count(), 2, "it was not sent again");
}

#[test]
fn a_deadline_with_a_silent_backend_ends_the_request_and_discards_the_late_response() {
    let (release, released) = mpsc::channel();
    let node = scripted_backend(vec![respond_after(released), respond()]);
    let gateway = TestGateway::new(&[node.address], "");
    let mut client = gateway.client();
    let start = Instant::now();
    client.send("free", LICENCE, "doorcourse-deadline-ms: 300\r\n");
    let response = client.response().expect("a response");
    assert_eq!((response.status, response.code().as_str()), (504, "DEADLINE_EXCEEDED"));
    assert!(start.elapsed() >= Duration::from_millis(200), "not before its deadline");
    release.send(()).expect("the backend waits");
    // The client's connection stays in use, and the next response on it belongs to the next request.
    client.send("free", PREVIEW, "");
    let next = client.response().expect("a response");
    assert!(next.status == 200 || next.status == 503, "{next:?}");
    assert!(!next.body.contains("orderLicence"));
}

#[test]
fn a_deadline_with_a_partially_forwarded_response_resets_the_client() {
    let (stop, stopped) = mpsc::channel::<()>();
    let step: Step = Box::new(move |stream| {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 100000\r\n\r\n{\"data\":{\"x\":\"";
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&[b'y'; 40_000]);
        let _ = stopped.recv();
        false
    });
    let node = scripted_backend(vec![step]);
    let gateway = TestGateway::new(&[node.address], "");
    let mut client = gateway.client();
    client.send("free", PREVIEW, "doorcourse-deadline-ms: 400\r\n");
    assert_eq!(client.response(), None, "reset, and not taken as complete");
    assert!(!client.reaches_end(), "a part was received");
    drop(stop);
}

#[test]
fn requests_queued_for_a_lease_or_for_a_backend_are_answered_by_their_deadline() {
    // The counter accepts connections and never responds; a request queued for a lease is admitted by the
    // counter-outage fallback.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let counter =
        format!("counter {{ address: \"{}\" timeout_ms: 5000 }}", silent.local_addr().expect("an address"));
    let node = scripted_backend(vec![respond(), respond()]);
    let gateway = TestGateway::new(&[node.address], &counter);
    let mut client = gateway.client();
    client.send("ten", PREVIEW, "");
    assert_eq!(client.response().expect("a response").status, 200, "by the counter-outage fallback");
    // The wait leaves little time before the deadline: the request may be served or not, but it is answered.
    client.send("ten", PREVIEW, "doorcourse-deadline-ms: 150\r\n");
    let short = client.response().expect("a response");
    assert!(short.status == 200 || short.code() == "DEADLINE_EXCEEDED", "{short:?}");
    // The backend is busy: queued requests are answered by their deadline, and the rejected ones may be retried.
    let (_release, released) = mpsc::channel();
    let node = scripted_backend(vec![respond_after(released)]);
    let gateway = TestGateway::new(&[node.address], "");
    let mut clients: Vec<Client> = (0..12).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|c| c.send("free", LICENCE, "doorcourse-deadline-ms: 500\r\n"));
    let responses: Vec<Response> = clients.iter_mut().map(|c| c.response().expect("a response")).collect();
    let busy = responses.iter().filter(|a| a.code() == "BUSY" && a.has("retry-after")).count();
    let timed = responses.iter().filter(|a| a.code() == "DEADLINE_EXCEEDED").count();
    assert!(busy > 0 && timed > 0 && busy + timed == 12, "{responses:?}");
}

#[test]
fn a_rejected_attempt_does_not_affect_the_response_of_the_next_one() {
    let overloaded: Step = Box::new(|stream| {
        stream.write_all(b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 4\r\n\r\nfull").is_ok()
    });
    let large: Step = Box::new(|stream| {
        let body = format!("{{\"data\":{{\"preview\":{{\"id\":\"{}\"}}}}}}", "y".repeat(200_000));
        let _ =
            stream.write_all(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).as_bytes());
        let (first, rest) = body.as_bytes().split_at(50_000);
        stream.write_all(first).is_ok() && stream.write_all(rest).is_ok()
    });
    let one = scripted_backend(vec![overloaded]);
    let two = scripted_backend(vec![large, respond()]);
    let gateway = TestGateway::new(&[one.address, two.address], "");
    let mut client = gateway.client();
    client.send("free", PREVIEW, "");
    let response = client.response().expect("a response");
    assert_eq!((response.status, response.body.len()), (200, 200_000 + RESPONSE_BODY.len() - 1));
    client.send("free", PREVIEW, "");
    assert_eq!(client.response().map(|a| a.body).as_deref(), Some(RESPONSE_BODY));
}

#[test]
fn a_client_that_reads_nothing_is_buffered_within_bounds_and_reset() {
    let (written_sender, written) = mpsc::channel();
    let step: Step = Box::new(move |stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 268435456\r\n\r\n");
        let mut written = 0u64;
        while let Ok(n) = stream.write(&[b' '; 65536]) {
            written += n as u64;
        }
        let _ = written_sender.send(written);
        false
    });
    let node = scripted_backend(vec![step]);
    let gateway = TestGateway::new(&[node.address], "");
    let mut client = gateway.client();
    client.send("free", PREVIEW, "doorcourse-deadline-ms: 700\r\n");
    let written = written.recv_timeout(TEST_TIMEOUT).expect("the backend was stopped");
    // The gateway buffers little of this; the rest is in the system's buffers of the two connections.
    assert!(written < 32 << 20, "{written} bytes were taken for a client that reads nothing");
    let mut all = Vec::new();
    let ended = client.stream.read_to_end(&mut all);
    assert!(ended.is_err() || all.len() < 268_435_456, "reset");
}

#[test]
fn two_thousand_slow_connections_do_not_delay_others_and_time_out() {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let raised = rustix::process::Rlimit { current: limit.maximum, maximum: limit.maximum };
    rustix::process::setrlimit(rustix::process::Resource::Nofile, raised).expect("descriptors");
    let count = limit.maximum.map_or(2000, |m| (m.saturating_sub(200) / 2).min(2000));
    let node = scripted_backend(vec![respond(), respond()]);
    let gateway = TestGateway::new(&[node.address], "limits { head_ms: 1500 connections: 5000 }");
    let request = post("free", PREVIEW, "");
    let mut slow: Vec<Client> = (0..count).map(|_| gateway.client()).collect();
    for index in 0..3 {
        slow.iter_mut().for_each(|c| c.write(&request[index..=index]));
        if index == 1 {
            assert_eq!(gateway.request("free", PREVIEW).status, 200);
        }
    }
    for client in &mut slow {
        assert_eq!(client.response().map(|a| a.status), Some(408));
    }
}

#[test]
fn oversized_lines_heads_and_bodies_are_rejected() {
    let node = scripted_backend(vec![respond()]);
    let gateway = TestGateway::new(
        &[node.address],
        "limits { head_bytes: 2000 body_bytes: 500 line_bytes: 300 fields: 20 }",
    );
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
        let mut client = gateway.client();
        client.write(flood.as_bytes());
        assert_eq!(client.response().map(|a| a.status), Some(status), "{flood:.60}");
        assert!(client.reaches_end(), "the connection is closed");
    }
    assert_eq!(gateway.request("free", PREVIEW).status, 200);
}

#[test]
fn pipelined_requests_are_answered_in_order_one_at_a_time() {
    let (world, _) = world(2);
    let mut gateway = TestGateway::new(&world.node_addresses, "");
    let mut client = gateway.client();
    let queries = ["{ preview(id: 1) { id } }", "{ nope }", "{ preview(id: 1) { url } }"];
    let all: Vec<u8> = queries.iter().flat_map(|q| post("free", q, "")).collect();
    client.write(&all);
    let bodies: Vec<String> = (0..3).map(|_| client.response().expect("a response").body).collect();
    assert!(
        bodies[0].contains("\"id\"")
            && bodies[1].contains("no field `nope`")
            && bodies[2].contains("\"url\"")
    );
    gateway.stop();
    assert!(client.reaches_end(), "an idle connection is closed by a drain");
}

#[test]
fn statuses_follow_graphql_over_http() {
    let (world, _) = world(1);
    let gateway = TestGateway::new(&world.node_addresses, "");
    let raw = |text: String| {
        let mut client = gateway.client();
        client.write(text.as_bytes());
        client.response().expect("a response")
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
    for (response, status, code) in [
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
        // An unknown key is rejected before the body is received.
        (
            raw(
                "POST /graphql HTTP/1.1\r\nhost: a\r\nauthorization: Bearer x\r\ncontent-length: 900\r\n\r\n"
                    .into(),
            ),
            401,
            "UNAUTHENTICATED",
        ),
    ] {
        assert_eq!((response.status, response.code().as_str()), (status, code), "{response:?}");
    }
    let expects = format!("{json}expect: 100-continue\r\n");
    assert_eq!(body(r#"{"query":"{ preview(id: 1) { id } }"}"#, &expects).status, 200);
}

/// Responds with a session cookie that names this route.
fn respond_with_cookie(route: &'static str) -> Step {
    let body = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nset-cookie: SID=x.{route}; Path=/\r\ncontent-length: {}\r\n\r\n{RESPONSE_BODY}",
        RESPONSE_BODY.len()
    );
    Box::new(move |stream| stream.write_all(body.as_bytes()).is_ok())
}

/// A gateway with these backends and sticky sessions.
fn sticky_gateway(nodes: &[std::net::SocketAddr], extra_settings: &str) -> TestGateway {
    let node = |(index, address): (usize, &std::net::SocketAddr)| {
        format!("nodes {{ name: \"n{index}\" address: \"{address}\" route: \"r{index}\" }}\n")
    };
    let nodes: String = nodes.iter().enumerate().map(node).collect();
    TestGateway::new(
        &[],
        &format!("{nodes}routing {{ sticky {{ cookie: \"SID\" parameter: \"sid\"{extra_settings} }} }}\n"),
    )
}

#[test]
fn a_session_is_routed_by_cookie_path_and_query_and_cookies_are_forwarded_both_ways() {
    let steps = |route: &'static str| (0..40).map(|_| respond_with_cookie(route)).collect::<Vec<Step>>();
    let nodes = [scripted_backend(steps("r0")), scripted_backend(steps("r1"))];
    let gateway = sticky_gateway(&[nodes[0].address, nodes[1].address], "");
    let first = gateway.request("free", PREVIEW);
    assert!(first.has("set-cookie: sid=x.r"), "{}", first.head);
    let count = |index: usize| nodes[index].requests.try_iter().collect::<Vec<String>>();
    (0..2).for_each(|index| drop(count(index)));
    for _ in 0..6 {
        let mut client = gateway.client();
        client.send("free", PREVIEW, "cookie: a=b; SID=x.r1\r\n");
        assert_eq!(client.response().expect("a response").status, 200);
    }
    let requests = count(1);
    assert_eq!((requests.len(), count(0).len()), (6, 0));
    assert!(requests.iter().all(|r| r.contains("cookie: a=b; SID=x.r1")), "{requests:?}");
    for target in ["/graphql;sid=x.r0", "/graphql?sid=x.r0"] {
        let mut client = gateway.client();
        let text = String::from_utf8(post("free", PREVIEW, "")).expect("valid UTF-8");
        client.write(text.replacen("/graphql", target, 1).as_bytes());
        assert_eq!(client.response().expect("a response").status, 200, "{target}");
        let mut client = gateway.client();
        let query = format!(
            "{target}{}query=%7Bpreview(id:7)%7Bid%7D%7D",
            if target.contains('?') { "&" } else { "?" }
        );
        client.write(
            format!("GET {query} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer free\r\n\r\n").as_bytes(),
        );
        assert_eq!(client.response().expect("a response").status, 200, "{query}");
    }
    let requests = count(0);
    assert_eq!((requests.len(), count(1).len()), (4, 0));
    assert!(
        requests.iter().all(|r| !r.contains("sid=") && !r.contains("\"sid\"")),
        "the session's parameter is not forwarded: {requests:?}"
    );
}

#[test]
fn a_session_whose_backend_is_gone_is_rerouted_or_rejected_as_configured() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = dead.local_addr().expect("an address");
    drop(dead);
    for (strict, status) in [(" strict: false", 200), (" strict: true", 503)] {
        let node = scripted_backend((0..20).map(|_| respond()).collect());
        let gateway = sticky_gateway(&[address, node.address], strict);
        let mut client = gateway.client();
        client.send("free", PREVIEW, "cookie: SID=x.r0\r\n");
        let response = client.response().expect("a response");
        assert_eq!(response.status, status, "{strict}: {response:?}");
        assert_eq!(
            gateway.request("free", PREVIEW).status,
            200,
            "requests without a session are served either way"
        );
    }
}

#[test]
fn a_client_that_pipelines_without_reading_is_throttled_and_reset_while_others_are_served() {
    const REQUESTS: usize = 3000;
    // The backend responds at once, with responses that are buffered until complete, so that back pressure does not
    // pause its connection.
    let long = ok_response(&format!("{{\"data\":{{\"preview\":{{\"id\":\"{}\"}}}}}}", "7".repeat(80_000)));
    let step = || {
        let long = long.clone();
        Box::new(move |stream: &mut std::net::TcpStream| stream.write_all(&long).is_ok()) as Step
    };
    let node = scripted_backend((0..REQUESTS + 10).map(|_| step()).collect());
    let gateway = TestGateway::new(&[node.address], "limits { unread_ms: 1500 held_answer_bytes: 1000000 }");
    let client = gateway.client();
    let many = post("free", PREVIEW, "").repeat(REQUESTS);
    let mut stream = client.stream.try_clone().expect("a second handle");
    // The writer may block, because the gateway stops reading.
    let writer = std::thread::spawn(move || stream.write_all(&many).is_ok());
    node.requests.recv_timeout(TEST_TIMEOUT).expect("a first request");
    // The client never reads, but its socket reports the reset.
    let started = Instant::now();
    while client.stream.take_error().expect("a socket").is_none() {
        assert!(started.elapsed() < TEST_TIMEOUT, "the connection is never reset");
        std::thread::sleep(Duration::from_millis(5));
    }
    let all = writer.join().expect("a writer");
    let started_requests = node.requests.try_iter().count();
    // As many as fit into the system's buffers (some MB), and one more.
    assert!(
        started_requests < REQUESTS / 4,
        "{started_requests} of {REQUESTS} were started; all written: {all}"
    );
    assert_eq!(gateway.request("ten", PREVIEW).status, 200, "other customers are served");
    assert_eq!(
        gateway.request("free", PREVIEW).status,
        200,
        "its own customer is served once nothing is buffered for it"
    );
}

#[test]
fn pipelined_requests_of_a_reading_client_are_all_answered() {
    let (world, _) = world(2);
    (0..2).for_each(|n| world.send(Command::Node(n, NodeFault::Oversize(2000))));
    let gateway = TestGateway::new(
        &world.node_addresses,
        "limits { client_buffer_bytes: 1024 held_answer_bytes: 1000000 }",
    );
    let mut client = gateway.client();
    let many = post("free", "{ previews(first: 8) { id title } }", "").repeat(60);
    let mut stream = client.stream.try_clone().expect("a second handle");
    let writer = std::thread::spawn(move || stream.write_all(&many).expect("all written"));
    for index in 0..60 {
        assert_eq!(client.response().map(|a| a.status), Some(200), "response {index}");
    }
    writer.join().expect("a writer");
}

#[test]
fn the_absolute_form_of_a_target_is_accepted() {
    let (world, _) = world(1);
    let gateway = TestGateway::new(&world.node_addresses, "");
    for (target, status) in [
        ("http://any.example:8080/graphql", 200),
        ("HTTP://any.example/graphql?", 200),
        ("https://any.example/other", 404),
        ("http://any.example", 404),
        ("http://any.example?x=/graphql", 404),
        ("/http://any.example/graphql", 404),
    ] {
        let mut client = gateway.client();
        let text = String::from_utf8(post("free", PREVIEW, "")).expect("valid UTF-8");
        client.write(text.replacen("/graphql", target, 1).as_bytes());
        assert_eq!(client.response().map(|a| a.status), Some(status), "{target}");
    }
}

#[test]
fn health_checks_and_metrics_are_served_apart_from_clients() {
    let (world, _) = world(1);
    let gateway = TestGateway::new(&world.node_addresses, "health { listen: \"127.0.0.1:0\" }");
    assert_eq!(
        (
            get_monitoring(&gateway, "/live").status,
            get_monitoring(&gateway, "/ready").status,
            get_monitoring(&gateway, "/x").status
        ),
        (200, 200, 404)
    );
    assert_eq!(gateway.request("free", PREVIEW).status, 200);
    assert_eq!(gateway.request("ten", "{ previews(first: 10) { id } }").status, 200);
    assert_eq!(gateway.request("ten", PREVIEW).code(), "QUOTA_EXCEEDED");
    let metrics = get_monitoring(&gateway, "/metrics");
    assert!(metrics.has("content-type: application/openmetrics-text; version=1.0.0"), "{}", metrics.head);
    for line in [
        "doorcourse_answers_total{code=\"SERVED\",plan=\"free\"} 1",
        "doorcourse_answers_total{code=\"SERVED\",plan=\"ten\"} 1",
        "doorcourse_answers_total{code=\"QUOTA_EXCEEDED\",plan=\"ten\"} 1",
        "doorcourse_served_seconds_count{class=\"preview\"} 2",
        "doorcourse_node_usable{node=\"n0\"} 1",
        "doorcourse_counter_silent 0",
        "doorcourse_lost_attempts 0",
        "doorcourse_requests_open 0",
        "# EOF",
    ] {
        assert!(metrics.body.contains(line), "{line} is not in\n{}", metrics.body);
    }
    assert_eq!(get_monitoring(&gateway, "/metrics?x").status, 200);
    // Bytes that are not a request, and a method that is not allowed.
    let stream = std::net::TcpStream::connect(gateway.health.expect("a listener")).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
    let mut client = Client::new(stream);
    client.write(b"POST /ready HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\nnonsense\r\n\r\n");
    assert_eq!(client.response().map(|a| a.status), Some(405));
    assert_eq!(client.response().map(|a| a.status), Some(400));
    assert!(client.reaches_end());
    // Connections that are left open do not keep out new ones.
    let open: Vec<_> = (0..200)
        .map(|_| std::net::TcpStream::connect(gateway.health.expect("a listener")).expect("a connection"))
        .collect();
    assert_eq!(get_monitoring(&gateway, "/ready").status, 200, "beside {} idle connections", open.len());
}

#[test]
fn a_drain_is_reported_not_ready_before_any_listener_closes() {
    let (world, _) = world(1);
    let mut gateway = TestGateway::new(
        &world.node_addresses,
        "health { listen: \"127.0.0.1:0\" } life { notice_ms: 60000 }",
    );
    assert_eq!(get_monitoring(&gateway, "/ready").status, 200);
    gateway.stopper.stop();
    let started = Instant::now();
    while get_monitoring(&gateway, "/ready").status != 503 {
        assert!(started.elapsed() < TEST_TIMEOUT, "the gateway stays ready");
    }
    assert_eq!(get_monitoring(&gateway, "/live").status, 200);
    assert_eq!(gateway.request("free", PREVIEW).status, 200, "new clients are served during the notice");
    // A second stop ends the drain at once.
    gateway.stop();
}

/// A client disconnects before the connection of its attempt is established, because the backend's accept queue is
/// full. None of the request is written: the first request that the backend reads is the next one.
#[test]
fn a_request_whose_client_disconnected_is_not_written_when_its_connection_is_established() {
    let node = PendingBackend::start();
    let gateway = TestGateway::new(&[node.address], "");
    let mut client = gateway.client();
    client.send("free", LICENCE, "");
    // Once a later request has its response, the earlier one has been read.
    assert_eq!(gateway.request("unknown", PREVIEW).status, 401);
    client.close_write();
    assert!(client.reaches_end(), "the gateway has noticed the disconnect");
    // The system retries connection attempts after a second, in the order in which they were started. If the first one
    // were still open, it would be established before this one.
    std::thread::sleep(Duration::from_millis(100));
    let mut other = gateway.client();
    other.send("free", PLAYLIST, "");
    assert_eq!(gateway.request("unknown", PREVIEW).status, 401);
    let node = node.open();
    let seen = std::thread::spawn(move || {
        for stream in node.incoming() {
            let mut stream = stream.expect("a connection");
            if let Some(request) = read_request(&mut stream) {
                stream.write_all(&ok_response(r#"{"data":{"savePlaylist":{"id":"7"}}}"#)).expect("written");
                return request;
            }
        }
        unreachable!("a listener has no end")
    });
    assert_eq!(other.response().expect("a response").status, 200);
    assert!(seen.join().expect("a request").contains("savePlaylist"));
}
