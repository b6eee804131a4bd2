//! A backend that is another start, or at another address, under the same id: what is under way to the one before never
//! serves the one that is there now.

mod rig;

use rig::{Answer, Backend, LateBackend, Rig, Shared, host, is_served, settings, value};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;

/// Settings in which a connection may take longer to come up than any client here waits.
fn patient() -> Json {
    let mut settings = settings();
    settings["extra"]["has-counter"] = json!(false);
    settings["permissions"]["dial-timeout-ms"] = json!(8000.0);
    for class in settings["classes"].as_array_mut().unwrap() {
        (class["goal-time-ms"], class["hard-limit-ms"]) = (json!(8000.0), json!(16_000.0));
    }
    settings
}

/// The backend `b0`, started then.
fn started(address: SocketAddr, born: u64) -> Json {
    let mut host = host("b0", address, "active");
    host["born_ms"] = json!(born);
    host
}

/// A connection that is still coming up to the old address must not be what requests to the new one wait for.
#[test]
fn requests_to_a_backend_that_moved_do_not_wait_for_the_connection_to_its_old_address() {
    let (old, new) = (
        LateBackend::start(|_| Answer::Bytes(value("old"))),
        Backend::start(|_| Answer::Bytes(value("new"))),
    );
    let rig = Rig::new(vec![started(old.address(), 0)], patient(), 1024);
    let mut client = rig.client();
    client.send_ask("order", 4000);
    // It is read and placed: its connection is coming up.
    rig.client().call(&["PING"]);
    rig.discovery.tell(vec![started(new.address, 1)]);
    let answer = client.answer().unwrap();
    assert!(is_served(&answer, "new"), "{answer:?}");
}

/// An answer of the old start that comes in behind the list is passed on, and its connection carries nothing more.
#[test]
fn a_connection_to_the_start_before_is_not_used_again() {
    for moves in [true, false] {
        let let_go = Shared::new(0);
        let gate = let_go.clone();
        // Connections are answered in their order, each when it is let go.
        let old = Backend::start(move |command| {
            gate.wait("being let go", |let_go| *let_go >= command.connection);
            Answer::Bytes(value(&command.connection.to_string()))
        });
        let new = Backend::start(|_| Answer::Bytes(value("new")));
        let rig = Rig::new(vec![started(old.address, 0)], patient(), 1024);
        let mut clients = [rig.client(), rig.client()];
        for (count, client) in clients.iter_mut().enumerate() {
            client.send_ask("order", 8000);
            old.commands.wait("its attempt", |c| c.len() == count + 1);
        }
        let [first, second] = &mut clients;
        let_go.change(|let_go| *let_go = 1);
        assert!(is_served(&first.answer().unwrap(), "1"));
        // The connection that stands idle ends when the list is in; the other answers behind it.
        rig.discovery.tell(vec![started(if moves { new.address } else { old.address }, 1)]);
        old.ended.wait("the idle connection to end", |e| e.contains(&1));
        let_go.change(|let_go| *let_go = usize::MAX);
        assert!(is_served(&second.answer().unwrap(), "2"), "the answer under way is its client's");
        let answer = first.ask("order", 8000);
        assert!(is_served(&answer, if moves { "new" } else { "3" }), "moves {moves}: {answer:?}");
    }
}
