//! Endpoint changes, configuration reloads and graceful shutdown while requests are served.

mod rig;

use rig::{
    Backend, Counter, Discovery, Reply, Shared, TestGateway, WAIT_LIMIT, endpoint, is_failed, is_served,
    settings, value,
};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn serving_backend() -> Backend {
    Backend::start(|_| Reply::Bytes(value("good")))
}

/// Sends requests until a condition holds, and asserts that each of them is served.
fn serve_until(rig: &TestGateway, what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    let mut client = rig.client();
    while !condition() {
        assert!(began.elapsed() < WAIT_LIMIT, "timed out waiting for: {what}");
        assert!(is_served(&client.request("order", 1000), "good"));
    }
}

#[test]
fn draining_backend_gets_no_new_attempts() {
    let first = serving_backend();
    let second = serving_backend();
    let rig = TestGateway::with_backends(&[first.address, second.address]);
    serve_until(&rig, "both to serve", || first.command_count() > 0 && second.command_count() > 0);
    rig.discovery.publish_changes(vec![endpoint("b0", first.address, "leaving")]);
    // The gateway closes the idle connections when it applies the change.
    first.closed_connections.wait("its connections to end", |e| !e.is_empty());
    let before = first.command_count();
    let mut client = rig.client();
    for _ in 0..20 {
        assert!(is_served(&client.request("order", 1000), "good"));
    }
    assert_eq!(first.command_count(), before);
}

#[test]
fn another_backend_at_the_same_address_gets_its_own_connections() {
    let backend = serving_backend();
    let rig = TestGateway::with_backends(&[backend.address]);
    serve_until(&rig, "the first to serve", || backend.command_count() > 0);
    rig.discovery.publish_changes(vec![
        endpoint("b0", backend.address, "left"),
        endpoint("b7", backend.address, "active"),
    ]);
    backend.closed_connections.wait("the old connection to end", |e| e.contains(&1));
    let served = backend.command_count();
    serve_until(&rig, "the second to serve", || backend.command_count() > served);
    assert!(backend.commands.update(|c| c[served..].iter().all(|c| c.connection > 1)));
}

#[test]
fn unreadable_line_makes_the_gateway_request_the_complete_list() {
    let first = serving_backend();
    let second = serving_backend();
    let rig = TestGateway::with_backends(&[first.address]);
    rig.discovery.set_endpoints(vec![endpoint("b1", second.address, "active")]);
    rig.discovery.publish_line("{\"seq\":7,\"whole\":fal");
    serve_until(&rig, "the second to serve", || second.command_count() > 0);
}

#[test]
fn ended_watch_is_resumed_from_its_version() {
    let first = serving_backend();
    let second = serving_backend();
    let rig = TestGateway::with_backends(&[first.address]);
    rig.discovery.close_watches();
    rig.discovery.wait_for_requests(2);
    rig.discovery.publish_changes(vec![endpoint("b1", second.address, "active")]);
    serve_until(&rig, "the second to serve", || second.command_count() > 0);
}

#[test]
fn reload_moves_discovery_and_counter_while_requests_go_on() {
    let first = serving_backend();
    let second = serving_backend();
    let mut rig = TestGateway::with_backends(&[first.address]);
    let discovery = Discovery::start(vec![endpoint("b1", second.address, "active")]);
    let counter = Counter::start();
    serve_until(&rig, "the first to serve", || first.command_count() > 0);
    rig.file["discovery"] = json!(discovery.address.to_string());
    rig.file["counter"] = json!(counter.address.to_string());
    rig.write_config();
    rig.handle.reload();
    serve_until(&rig, "the new list", || second.command_count() > 0);
    serve_until(&rig, "a call to the new counter", || counter.totals.update(|t| !t.is_empty()));
}

#[test]
fn unusable_file_changes_nothing() {
    let backend = serving_backend();
    let rig = TestGateway::with_backends(&[backend.address]);
    for text in ["", "{", "{\"name\":1}", "[]"] {
        std::fs::write(&rig.path, text).unwrap();
        rig.handle.reload();
        assert!(is_served(&rig.client().request("order", 1000), "good"));
    }
    std::fs::remove_file(&rig.path).unwrap();
    rig.handle.reload();
    assert!(is_served(&rig.client().request("order", 1000), "good"));
}

#[test]
fn reloaded_settings_apply_to_later_requests() {
    let backend = serving_backend();
    let mut rig = TestGateway::with_backends(&[backend.address]);
    let list = "c=lookup,t=gold,d=900,units=1,spread=1,first=0";
    let ask = |rig: &TestGateway| rig.client().call(&["Q.ASK", "00000000b4d65521", &rig::new_id(), list]);
    assert!(rig::is_invalid(&ask(&rig)));
    let mut gold = settings()["plans"][0].clone();
    gold["name"] = json!("gold");
    rig.file["settings"]["plans"].as_array_mut().unwrap().push(gold);
    rig.write_config();
    rig.handle.reload();
    let began = Instant::now();
    while !is_served(&ask(&rig), "good") {
        assert!(began.elapsed() < WAIT_LIMIT);
    }
}

#[test]
fn shutdown_serves_open_and_later_requests() {
    let released = Shared::new(false);
    let backend_released: Arc<Shared<bool>> = released.clone();
    let backend = Backend::start(move |command| {
        if command.connection == 1 {
            backend_released.wait("the test to release the reply", |released| *released);
        }
        Reply::Bytes(value("good"))
    });
    let mut rig = TestGateway::with_backends(&[backend.address]);
    let mut first = rig.client();
    let mut idle = rig.client();
    first.send_request("lookup", 2400);
    backend.commands.wait("the attempt", |c| c.len() == 1);
    rig.handle.stop();
    rig.handle.stop();
    // New connections and requests are accepted until draining begins.
    assert!(is_served(&rig.client().request("lookup", 1000), "good"));
    assert!(is_served(&idle.request("lookup", 1000), "good"));
    assert_eq!(idle.read_response(), None, "an idle connection is closed when draining begins");
    released.update(|released| *released = true);
    assert!(is_served(&first.read_response().unwrap(), "good"));
    assert_eq!(first.read_response(), None);
    rig.join();
    assert!(TcpStream::connect(rig.address).is_err());
}

#[test]
fn shutdown_completes_when_the_backend_does_not_reply() {
    let backend = Backend::start(|_| Reply::Withheld);
    let mut rig = TestGateway::with_backends(&[backend.address]);
    let mut client = rig.client();
    client.send_request("order", 1100);
    backend.commands.wait("the attempt", |c| c.len() == 1);
    rig.handle.stop();
    assert!(is_failed(&client.read_response().unwrap()));
    rig.join();
}

#[test]
fn request_without_backends_is_rejected_well_before_half_its_deadline() {
    let rig = TestGateway::with_backends(&[]);
    let mut client = rig.client();
    let began = Instant::now();
    let response = client.request("lookup", 2400);
    assert!(rig::is_rejected(&response), "{response:?}");
    assert!(began.elapsed() < Duration::from_millis(1200));
}

/// Guards against a shutdown that does not end while clients keep sending: whenever one connection becomes idle,
/// another one has an open request.
#[test]
fn shutdown_completes_while_clients_send_on_open_connections() {
    let backend = Backend::start(|command| {
        std::thread::sleep(Duration::from_millis(20 + 7 * command.connection as u64 % 60));
        Reply::Bytes(value("good"))
    });
    let mut rig = TestGateway::with_backends(&[backend.address]);
    let stopped_at = Shared::new(None::<Instant>);
    let clients: Vec<_> = (0..12)
        .map(|_| {
            let mut client = rig.client();
            let stopped_at = stopped_at.clone();
            std::thread::spawn(move || {
                let mut answered = 0;
                // `None` means that the connection was closed. A real client would then connect to another gateway and
                // send a request that crossed the close again.
                while let Some(response) = client.try_request("lookup", 2400) {
                    assert!(is_served(&response, "good") || rig::is_rejected(&response), "{response:?}");
                    answered += usize::from(is_served(&response, "good"));
                    let is_overdue =
                        |at: &mut Option<Instant>| at.is_some_and(|at| at.elapsed() > CLOSE_LIMIT);
                    assert!(!stopped_at.update(is_overdue), "its connection was never closed");
                }
                answered
            })
        })
        .collect();
    backend.commands.wait("all clients", |c| c.len() >= 24);
    stopped_at.update(|at| *at = Some(Instant::now()));
    rig.handle.stop();
    rig.join();
    let answered: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    // Every forwarded request was answered, also during the shutdown.
    assert_eq!(backend.command_count(), answered);
}

/// Much longer than the shutdown takes: a connection that is still served after this was not closed by it.
const CLOSE_LIMIT: Duration = Duration::from_secs(6);

/// Guards against requests that are lost when the listener closes, whether they wait in a socket or on a connection in
/// the accept queue.
#[test]
fn requests_at_any_moment_of_the_shutdown_get_a_response_or_an_orderly_close() {
    let backend = serving_backend();
    let mut rig = TestGateway::with_backends(&[backend.address]);
    let address = rig.address;
    rig.handle.stop();
    let clients: Vec<_> = (0..150)
        .map(|step| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(5 * step));
                let Ok(stream) = TcpStream::connect(address) else { return false };
                match rig::Client::on(stream).try_request("lookup", 2000) {
                    Some(response) => {
                        assert!(is_served(&response, "good") || rig::is_rejected(&response), "{response:?}");
                        true
                    }
                    None => false,
                }
            })
        })
        .collect();
    rig.join();
    let answered = clients.into_iter().map(|c| c.join().unwrap()).filter(|a| *a).count();
    // The listener stays open for 0.7 s, in which 140 clients connect. A busy machine may delay some of them.
    assert!(answered >= 100, "{answered} answered");
}

/// Pipelined commands, a partial command and responses that are read late, each in progress when draining begins, are
/// finished before their connections close.
#[test]
fn commands_in_progress_when_draining_begins_are_finished() {
    let long = "v".repeat(60_000);
    let text = value(&long);
    let backend = Backend::start(move |_| {
        std::thread::sleep(Duration::from_millis(30));
        Reply::Bytes(text.clone())
    });
    let mut rig = TestGateway::with_backends(&[backend.address]);
    let mut pipelined = rig.client();
    let mut partial = rig.client();
    let mut slow = rig.client();
    let encoded = partial.encode_request("lookup", 2000);
    partial.stream.write_all(&encoded[..encoded.len() / 2]).unwrap();
    rig.handle.stop();
    std::thread::sleep(Duration::from_millis(600));
    (0..10).for_each(|_| drop(pipelined.send_request("lookup", 2000)));
    (0..20).for_each(|_| drop(slow.send_request("lookup", 2000)));
    // The listener is closed; the rest of the command is sent on a connection that is still open.
    std::thread::sleep(Duration::from_millis(500));
    partial.stream.write_all(&encoded[encoded.len() / 2..]).unwrap();
    let assert_finished = |response: Option<doorcourse_resp::Value>| {
        let response = response.expect("a complete response");
        assert!(is_served(&response, &long) || rig::is_rejected(&response), "{response:.80?}");
    };
    assert_finished(partial.read_response());
    (0..10).for_each(|_| assert_finished(pipelined.read_response()));
    (0..20).for_each(|_| assert_finished(slow.read_response()));
    for client in [&mut partial, &mut pipelined, &mut slow] {
        assert_eq!(client.read_response(), None, "its connection closes behind its responses");
    }
    rig.join();
}

/// Repeated stops and reloads while no peer replies: every client receives its response before SIGKILL would follow.
#[test]
fn shutdown_without_any_replying_peer_answers_all_before_the_kill() {
    let silent: Vec<_> = (0..3).map(|_| Backend::start(|_| Reply::Withheld)).collect();
    let mut rig = TestGateway::with_backends(&silent.iter().map(|b| b.address).collect::<Vec<_>>());
    let mut clients: Vec<_> = (0..9).map(|_| rig.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.send_request(["lookup", "save", "order"][index % 3], 2400);
    }
    silent[0].commands.wait("an attempt", |c| !c.is_empty());
    // The new addresses of the counter and of discovery do not respond.
    let silent_peer = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    rig.file["counter"] = json!(silent_peer.local_addr().unwrap().to_string());
    rig.file["discovery"] = rig.file["counter"].clone();
    rig.write_config();
    rig.handle.reload();
    rig.handle.stop();
    rig.handle.reload();
    rig.handle.stop();
    for (index, client) in clients.iter_mut().enumerate() {
        let response = client.read_response().unwrap_or_else(|| panic!("client {index} has no response"));
        assert!(is_failed(&response) || rig::is_rejected(&response), "{response:?}");
    }
    rig.join();
}

/// A request that is written after the gateway has closed its side, before the client reads the previous response, is
/// not started, and it must not cause a reset that discards that response.
#[test]
fn request_that_crosses_the_close_does_not_discard_the_earlier_response() {
    let released = Shared::new(false);
    let backend_released: Arc<Shared<bool>> = released.clone();
    let backend = Backend::start(move |_| {
        backend_released.wait("the test to release the reply", |released| *released);
        Reply::Bytes(value("good"))
    });
    let mut rig = TestGateway::with_backends(&[backend.address]);
    let mut client = rig.client();
    let mut idle = rig.client();
    client.send_request("lookup", 2400);
    backend.commands.wait("the attempt", |c| c.len() == 1);
    rig.handle.stop();
    idle.call(&["PING"]);
    idle.wait_for_close();
    released.update(|released| *released = true);
    client.wait_for_close();
    for client in [&mut client, &mut idle] {
        client.send_request("order", 1000);
        // And again, after the kernel of the gateway's side has received the first.
        client.send_request("order", 1000);
    }
    assert_eq!(client.read_to_end(), "$4\r\ngood\r\n");
    assert_eq!(idle.read_to_end(), "");
    drop((client, idle));
    rig.join();
    assert_eq!(backend.command_count(), 1, "a request was started after its connection closed");
}
