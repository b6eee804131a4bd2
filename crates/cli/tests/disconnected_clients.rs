//! Clients that close their connections with commands unread, and ids that come again.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use doorcourse_resp::encode_command;
use rig::{Backend, Client, Counter, Discovery, Reply, endpoint, is_invalid, is_served, new_id, value};
use running_gateway::{Gateway, config, start};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::time::Duration;

const CUSTOMER: &str = "00000000b4d65521";

fn gateway_with(name: &str, backend: &Backend) -> (Gateway, Discovery, Counter) {
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let gateway = start(name, &config(&discovery, &counter));
    (gateway, discovery, counter)
}

fn encode_order(id: &str, deadline_ms: u32, body: &str, output: &mut Vec<u8>) {
    let fields = format!("c=order,t=team,d={deadline_ms},units=1,spread=1,first=0");
    encode_command(output, &["Q.DO", CUSTOMER, id, &fields, body]);
}

/// A gateway that is held up finds a connection in its accept queue whose client wrote more than two reads take and has
/// left long ago. `half_sent` other clients have stopped in the middle of large requests.
fn assert_nothing_is_forwarded_behind_a_close(name: &str, half_sent: usize) {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 1024});
    let gateway = start(name, &config);
    let mut half = Vec::new();
    encode_order(&new_id(), 1100, &"x".repeat(60_000), &mut half);
    let mut crowd: Vec<Client> = (0..half_sent).map(|_| Client::open(gateway.address)).collect();
    for client in &mut crowd {
        client.stream.write_all(&half[..50_000]).unwrap();
    }
    let mut used = Client::open(gateway.address);
    assert!(is_served(&used.request("order", 1000), "good"));
    let served = backend.command_count();
    let mut commands = Vec::new();
    for _ in 0..58 {
        encode_order(&new_id(), 1100, &"x".repeat(8000), &mut commands);
    }
    gateway.signal(Signal::STOP);
    let mut new = Client::open(gateway.address);
    for client in [&mut used, &mut new] {
        client.stream.write_all(&commands).unwrap();
    }
    drop((used, new));
    std::thread::sleep(Duration::from_millis(200));
    gateway.signal(Signal::CONT);
    let mut other = Client::open(gateway.address);
    assert!(is_served(&other.request("lookup", 2400), "good"));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(backend.command_count() - served, 1, "only the request of the client that stayed");
}

#[test]
fn commands_unread_behind_a_close_are_not_forwarded() {
    assert_nothing_is_forwarded_behind_a_close("unread-close", 0);
}

#[test]
fn commands_unread_behind_a_close_are_not_forwarded_while_others_hold_the_buffers() {
    assert_nothing_is_forwarded_behind_a_close("unread-close-crowd", 200);
}

/// The client leaves while its order runs, and the same id comes again once the order has ended.
#[test]
fn id_of_a_client_that_left_does_not_run_again() {
    for responds in [true, false] {
        let backend = Backend::start(move |command| match &*command.arguments[0] {
            "Q.DO" => {
                std::thread::sleep(Duration::from_millis(150));
                if responds { Reply::Bytes(value("good")) } else { Reply::Reset }
            }
            _ => Reply::Bytes(value("good")),
        });
        let (gateway, _discovery, _counter) = gateway_with(&format!("same-id-{responds}"), &backend);
        let id = new_id();
        let mut bytes = Vec::new();
        encode_order(&id, 1000, "B", &mut bytes);
        let mut client = Client::open(gateway.address);
        client.stream.write_all(&bytes).unwrap();
        backend.commands.wait("the order", |commands| commands.len() == 1);
        drop(client);
        for _ in 0..3 {
            std::thread::sleep(Duration::from_millis(300));
            let mut again = Client::open(gateway.address);
            again.stream.write_all(&bytes).unwrap();
            let response = again.read_response().expect("a response");
            assert!(is_invalid(&response), "{response:?}");
        }
        let runs = backend.commands.update(|c| c.iter().filter(|c| c.arguments[2] == id).count());
        assert_eq!(runs, 1, "responds: {responds}");
    }
}

/// An id whose request was never sent to a backend may come again.
#[test]
fn id_of_a_request_that_was_not_executed_may_come_again() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let (gateway, _discovery, _counter) = gateway_with("unsent-id", &backend);
    let id = new_id();
    let mut bytes = Vec::new();
    encode_order(&id, 1000, "B", &mut bytes);
    let mut client = Client::open(gateway.address);
    client.stream.write_all(&bytes[..bytes.len() - 1]).unwrap();
    drop(client);
    let mut again = Client::open(gateway.address);
    again.stream.write_all(&bytes).unwrap();
    assert!(is_served(&again.read_response().unwrap(), "good"));
}
