//! Disconnected clients: no attempt is sent for a request after its client has disconnected, wherever the request waits
//! and even if commands of the client are unread.

mod rig;

use doorcourse_resp::Value;
use rig::{Backend, Client, Reply, StalledBackend, TestGateway, WAIT_LIMIT, endpoint, is_served, value};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Settings without a counter: a request is forwarded in the event-loop iteration in which it is read.
fn settings_without_counter() -> serde_json::Value {
    let mut settings = rig::settings();
    settings["extra"]["has-counter"] = false.into();
    settings["permissions"]["dial-timeout-ms"] = 3000.into();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["goal-time-ms"] = 8000.into();
        class["hard-limit-ms"] = 16_000.into();
    }
    settings
}

/// Returns once the gateway has read what was written earlier on any connection.
fn wait_until_input_is_read(rig: &TestGateway) {
    assert_eq!(rig.client().call(&["PING"]), Value::Simple("PONG".into()));
}

/// Closes a client's side and waits until the gateway has detected this and closed the connection.
fn disconnect(mut client: Client) {
    client.stream.shutdown(Shutdown::Write).unwrap();
    // Shorter than the deadline of any request: the response at a deadline would let the gateway read again, and so
    // detect the close.
    client.stream.set_read_timeout(Some(WAIT_LIMIT / 4)).unwrap();
    let mut buffer = [0; 4096];
    loop {
        match client.stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            // The gateway closed the connection with unread bytes, which resets it.
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return,
            Err(e) => panic!("the gateway has not noticed that its client disconnected: {e}"),
        }
    }
}

#[test]
fn close_behind_unread_commands_is_noticed_and_no_attempt_follows() {
    let reply_lock = Arc::new(Mutex::new(()));
    let is_serving = Arc::new(AtomicBool::new(false));
    let backend_lock = reply_lock.clone();
    let backend_is_serving = is_serving.clone();
    let backend = Backend::start(move |_| {
        if backend_is_serving.load(Ordering::SeqCst) {
            return Reply::Bytes(value("good"));
        }
        drop(backend_lock.lock());
        Reply::Reset
    });
    let held_replies = reply_lock.lock().unwrap();
    let rig =
        TestGateway::new(vec![endpoint("b0", backend.address, "active")], settings_without_counter(), 1024);
    let mut client = rig.client();
    // More commands than the gateway reads while none is answered, so that it does not read up to the close.
    for _ in 0..400 {
        client.send_request("lookup", 15_000);
    }
    // 4 is the initial concurrency limit of a backend.
    backend.commands.wait("attempts", |c| c.len() == 4);
    disconnect(client);
    // The attempts end only now. Each would be retried if its client were still connected.
    is_serving.store(true, Ordering::SeqCst);
    drop(held_replies);
    backend.closed_connections.wait("the end of the attempts", |e| e.len() == 4);
    // The backend is ejected for a while after so many failures: wait until another request is served.
    let mut other = rig.client();
    let request = || other.request("order", 15_000);
    let requests = std::iter::repeat_with(request).take(200).take_while(|a| !is_served(a, "good")).count();
    assert!(requests < 200, "no request is served after the failures");
    assert_eq!(backend.command_count(), 4 + 1, "attempts after their client had disconnected");
}

#[test]
fn attempt_connected_after_its_client_disconnected_is_never_written() {
    let stalled = StalledBackend::start(|_| Reply::Bytes(value("good")));
    let rig =
        TestGateway::new(vec![endpoint("b0", stalled.address(), "active")], settings_without_counter(), 1024);
    for class in ["lookup", "save", "order"] {
        let mut client = rig.client();
        client.send_request(class, 15_000);
        wait_until_input_is_read(&rig);
        disconnect(client);
    }
    let mut other = rig.client();
    let id = other.send_request("order", 15_000);
    // Its connect is pending like the earlier ones. The kernel retransmits their SYNs in the order of the connects, so
    // an attempt of a disconnected client would be received first.
    wait_until_input_is_read(&rig);
    let stalled = stalled.start_accepting();
    assert!(is_served(&other.read_response().unwrap(), "good"));
    let ids = stalled.commands.update(|c| c.iter().map(|c| c.arguments[2].clone()).collect::<Vec<_>>());
    assert_eq!(ids, [id]);
}

/// A burst of clients that disconnect while their requests wait for connections: with a close, with a reset, or with a
/// close after a partial command.
#[test]
fn burst_of_disconnecting_clients_leaves_no_attempt() {
    let stalled = StalledBackend::start(|_| Reply::Bytes(value("good")));
    let rig =
        TestGateway::new(vec![endpoint("b0", stalled.address(), "active")], settings_without_counter(), 1024);
    let clients: Vec<_> = (0..60)
        .map(|n| {
            let mut client = rig.client();
            std::thread::spawn(move || {
                client.send_request("lookup", 15_000);
                match n % 3 {
                    0 => drop(client),
                    1 => {
                        rustix::net::sockopt::set_socket_linger(&client.stream, Some(Default::default()))
                            .unwrap();
                        drop(client);
                    }
                    _ => {
                        let encoded = client.encode_request("lookup", 9000);
                        std::io::Write::write_all(&mut client.stream, &encoded[..encoded.len() / 2]).unwrap();
                        drop(client);
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
    // Twice: the close of a connection that is accepted in the iteration of the first call may be detected only in the
    // next iteration.
    wait_until_input_is_read(&rig);
    wait_until_input_is_read(&rig);
    let mut other = rig.client();
    let id = other.send_request("order", 15_000);
    // Its connect is pending like the earlier ones. The kernel retransmits their SYNs in the order of the connects, so
    // an attempt of a disconnected client would be received first.
    wait_until_input_is_read(&rig);
    let stalled = stalled.start_accepting();
    let response = other.read_response().unwrap();
    assert!(is_served(&response, "good"), "{response:?}");
    assert_eq!(
        stalled.commands.update(|c| c.iter().map(|c| c.arguments[2].clone()).collect::<Vec<_>>()),
        [id]
    );
}

/// Guards against places at a backend that stay taken: attempts that the decisions start for requests whose client has
/// disconnected, while the disconnect is queued behind the ends of other attempts of the same connection.
#[test]
fn client_that_sends_much_at_once_and_disconnects_leaves_no_place_taken() {
    /// More than the initial concurrency limit of a backend, so that some requests wait in the queue.
    const COMMANDS: usize = 20;
    let stalled = StalledBackend::start(|_| Reply::Bytes(value("good")));
    let rig =
        TestGateway::new(vec![endpoint("b0", stalled.address(), "active")], settings_without_counter(), 1024);
    for _ in 0..3 {
        let mut client = rig.client();
        let commands: Vec<u8> = (0..COMMANDS).flat_map(|_| client.encode_request("lookup", 15_000)).collect();
        client.stream.write_all(&commands).unwrap();
        wait_until_input_is_read(&rig);
        disconnect(client);
    }
    let stalled = stalled.start_accepting();
    let mut other = rig.client();
    assert!(is_served(&other.request("order", 15_000), "good"));
    assert_eq!(stalled.command_count(), 1, "attempts after their client had disconnected");
}
