//! A backend that is restarted or moves to another address under the same id: connections to the former incarnation do
//! not carry requests for the present one.

mod rig;

use rig::{Backend, Reply, Shared, StalledBackend, TestGateway, endpoint, is_served, settings, value};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;

/// Settings in which a connect may take longer than any client here waits.
fn long_connect_timeout() -> Json {
    let mut settings = settings();
    settings["extra"]["has-counter"] = json!(false);
    settings["permissions"]["dial-timeout-ms"] = json!(8000.0);
    for class in settings["classes"].as_array_mut().unwrap() {
        class["goal-time-ms"] = json!(8000.0);
        class["hard-limit-ms"] = json!(16_000.0);
    }
    settings
}

/// The backend `b0`, started at that time.
fn backend_started_at(address: SocketAddr, started_ms: u64) -> Json {
    let mut entry = endpoint("b0", address, "active");
    entry["born_ms"] = json!(started_ms);
    entry
}

/// Requests to the new address must not wait for a connection that is still being made to the old one.
#[test]
fn request_to_a_moved_backend_does_not_wait_for_the_connection_to_its_old_address() {
    let old = StalledBackend::start(|_| Reply::Bytes(value("old")));
    let new = Backend::start(|_| Reply::Bytes(value("new")));
    let rig = TestGateway::new(vec![backend_started_at(old.address(), 0)], long_connect_timeout(), 1024);
    let mut client = rig.client();
    client.send_request("order", 4000);
    // The request is read and forwarded: its connection is being made.
    rig.client().call(&["PING"]);
    rig.discovery.publish_changes(vec![backend_started_at(new.address, 1)]);
    let response = client.read_response().unwrap();
    assert!(is_served(&response, "new"), "{response:?}");
}

/// A response of the former incarnation that comes after the list is forwarded, and its connection is not reused.
#[test]
fn connection_to_a_former_incarnation_is_not_reused() {
    for moves in [true, false] {
        let released = Shared::new(0);
        let gate = released.clone();
        // Connections are answered in their order, each when it is released.
        let old = Backend::start(move |command| {
            gate.wait("the release", |released| *released >= command.connection);
            Reply::Bytes(value(&command.connection.to_string()))
        });
        let new = Backend::start(|_| Reply::Bytes(value("new")));
        let rig = TestGateway::new(vec![backend_started_at(old.address, 0)], long_connect_timeout(), 1024);
        let mut clients = [rig.client(), rig.client()];
        for (count, client) in clients.iter_mut().enumerate() {
            client.send_request("order", 8000);
            old.commands.wait("its attempt", |c| c.len() == count + 1);
        }
        let [first, second] = &mut clients;
        released.update(|released| *released = 1);
        assert!(is_served(&first.read_response().unwrap(), "1"));
        // The idle connection closes when the list is applied; the other responds after that.
        rig.discovery
            .publish_changes(vec![backend_started_at(if moves { new.address } else { old.address }, 1)]);
        old.closed_connections.wait("the idle connection to close", |e| e.contains(&1));
        released.update(|released| *released = usize::MAX);
        assert!(
            is_served(&second.read_response().unwrap(), "2"),
            "the response under way reaches its client"
        );
        let response = first.request("order", 8000);
        assert!(is_served(&response, if moves { "new" } else { "3" }), "moves {moves}: {response:?}");
    }
}
