//! A client that has gone: nothing is begun for it any more, wherever its request waits and whatever it left unread.

mod rig;

use doorcourse_resp::Value;
use rig::{Answer, Backend, Client, LIMIT, LateBackend, Rig, host, is_served, value};
use std::io::Read;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Settings without a counter: a request is placed in the moment in which it is read.
fn at_once() -> serde_json::Value {
    let mut settings = rig::settings();
    settings["extra"]["has-counter"] = false.into();
    settings["permissions"]["dial-timeout-ms"] = 3000.into();
    for class in settings["classes"].as_array_mut().unwrap() {
        (class["goal-time-ms"], class["hard-limit-ms"]) = (8000.into(), 16_000.into());
    }
    settings
}

/// What was written before on any connection is read when this is answered.
fn fence(rig: &Rig) {
    assert_eq!(rig.client().call(&["PING"]), Value::Simple("PONG".into()));
}

/// Ends a client's side and waits until the gateway has heard: it closes its own.
fn goes(mut client: Client) {
    client.stream.shutdown(Shutdown::Write).unwrap();
    // Well before the time of any request is over, with whose answer reading would go on.
    client.stream.set_read_timeout(Some(LIMIT / 4)).unwrap();
    let mut room = [0; 4096];
    loop {
        match client.stream.read(&mut room) {
            Ok(0) => return,
            Ok(_) => {}
            // Closed over what it left unread.
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return,
            Err(e) => panic!("the gateway has not heard that its client has gone: {e}"),
        }
    }
}

#[test]
fn one_that_goes_behind_more_than_is_read_has_gone() {
    let (held, open) = (Arc::new(Mutex::new(())), Arc::new(AtomicBool::new(false)));
    let (gate, through) = (held.clone(), open.clone());
    let backend = Backend::start(move |_| {
        if through.load(Ordering::SeqCst) {
            return Answer::Bytes(value("good"));
        }
        drop(gate.lock());
        Answer::Reset
    });
    let gate = held.lock().unwrap();
    let rig = Rig::new(vec![host("b0", backend.address, "active")], at_once(), 1024);
    let mut client = rig.client();
    // Far more commands than are read while none is answered: what comes behind them is not read at all.
    for _ in 0..400 {
        client.send_ask("lookup", 15_000);
    }
    // So many are let out at one backend at first.
    backend.commands.wait("attempts", |c| c.len() == 4);
    goes(client);
    // Only now do the attempts that are out end: each would be tried again for who has gone.
    open.store(true, Ordering::SeqCst);
    drop(gate);
    backend.ended.wait("the end of the attempts", |e| e.len() == 4);
    // The backend is left alone for a while after so many failures: until another's request is served.
    let mut other = rig.client();
    let ask = || other.ask("order", 15_000);
    let asked = std::iter::repeat_with(ask).take(200).take_while(|a| !is_served(a, "good")).count();
    assert!(asked < 200, "nothing is served any more");
    assert_eq!(backend.count(), 4 + 1, "attempts after their client had gone");
}

#[test]
fn an_attempt_whose_connection_comes_up_after_its_client_has_gone_is_never_written() {
    let late = LateBackend::start(|_| Answer::Bytes(value("good")));
    let rig = Rig::new(vec![host("b0", late.address(), "active")], at_once(), 1024);
    for class in ["lookup", "save", "order"] {
        let mut client = rig.client();
        client.send_ask(class, 15_000);
        fence(&rig);
        goes(client);
    }
    let mut other = rig.client();
    let id = other.send_ask("order", 15_000);
    // Refused as those before it: the system tries all again in the order in which they were begun.
    fence(&rig);
    let late = late.open();
    assert!(is_served(&other.answer().unwrap(), "good"));
    let ids = late.commands.change(|c| c.iter().map(|c| c.words[2].clone()).collect::<Vec<_>>());
    assert_eq!(ids, [id]);
}

/// A burst of clients that go in all the ways there are, while their requests wait for connections.
#[test]
fn a_burst_of_clients_that_go_leaves_nothing_behind() {
    let late = LateBackend::start(|_| Answer::Bytes(value("good")));
    let rig = Rig::new(vec![host("b0", late.address(), "active")], at_once(), 1024);
    let clients: Vec<_> = (0..60)
        .map(|n| {
            let mut client = rig.client();
            std::thread::spawn(move || {
                client.send_ask("lookup", 15_000);
                match n % 3 {
                    0 => drop(client),
                    1 => {
                        rustix::net::sockopt::set_socket_linger(&client.stream, Some(Default::default()))
                            .unwrap();
                        drop(client);
                    }
                    _ => {
                        let half = client.encoded("lookup", 9000);
                        std::io::Write::write_all(&mut client.stream, &half[..half.len() / 2]).unwrap();
                        drop(client);
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
    // Two rounds: a connection that was let in last is read in the first.
    fence(&rig);
    fence(&rig);
    let mut other = rig.client();
    let id = other.send_ask("order", 15_000);
    // Refused as those before it: the system tries all again in the order in which they were begun.
    fence(&rig);
    let late = late.open();
    let answer = other.answer().unwrap();
    assert!(is_served(&answer, "good"), "{answer:?}");
    assert_eq!(late.commands.change(|c| c.iter().map(|c| c.words[2].clone()).collect::<Vec<_>>()), [id]);
}
