//! Lists that change, files that are replaced, and the end of a gateway, all under load.

mod rig;

use rig::{
    Answer, Backend, Counter, Discovery, LIMIT, Rig, Shared, host, is_failed, is_served, settings, value,
};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn good() -> Backend {
    Backend::start(|_| Answer::Bytes(value("good")))
}

/// Serves until something is seen; every answer on the way is good.
fn serve_until(rig: &Rig, what: &str, seen: impl Fn() -> bool) {
    let began = Instant::now();
    let mut client = rig.client();
    while !seen() {
        assert!(began.elapsed() < LIMIT, "waited in vain for: {what}");
        assert!(is_served(&client.ask("order", 1000), "good"));
    }
}

#[test]
fn a_backend_that_drains_gets_nothing_new() {
    let (first, second) = (good(), good());
    let rig = Rig::before(&[first.address, second.address]);
    serve_until(&rig, "both to serve", || first.count() > 0 && second.count() > 0);
    rig.discovery.tell(vec![host("b0", first.address, "leaving")]);
    // Its idle connections end when the word is in.
    first.ended.wait("its connections to end", |e| !e.is_empty());
    let before = first.count();
    let mut client = rig.client();
    for _ in 0..20 {
        assert!(is_served(&client.ask("order", 1000), "good"));
    }
    assert_eq!(first.count(), before);
}

#[test]
fn another_id_at_the_same_address_starts_with_its_own_connections() {
    let backend = good();
    let rig = Rig::before(&[backend.address]);
    serve_until(&rig, "the first to serve", || backend.count() > 0);
    rig.discovery.tell(vec![host("b0", backend.address, "left"), host("b7", backend.address, "active")]);
    backend.ended.wait("the old connection to end", |e| e.contains(&1));
    let served = backend.count();
    serve_until(&rig, "the second to serve", || backend.count() > served);
    assert!(backend.commands.change(|c| c[served..].iter().all(|c| c.connection > 1)));
}

#[test]
fn a_line_that_cannot_be_read_has_the_whole_list_asked_for() {
    let (first, second) = (good(), good());
    let rig = Rig::before(&[first.address]);
    rig.discovery.set(vec![host("b1", second.address, "active")]);
    rig.discovery.tell_raw("{\"seq\":7,\"whole\":fal");
    serve_until(&rig, "the second to serve", || second.count() > 0);
}

#[test]
fn a_watch_that_ends_goes_on_from_its_version() {
    let (first, second) = (good(), good());
    let rig = Rig::before(&[first.address]);
    rig.discovery.cut();
    rig.discovery.wait_for_asks(2);
    rig.discovery.tell(vec![host("b1", second.address, "active")]);
    serve_until(&rig, "the second to serve", || second.count() > 0);
}

#[test]
fn a_new_file_moves_discovery_and_counter_while_requests_go_on() {
    let (first, second) = (good(), good());
    let mut rig = Rig::before(&[first.address]);
    let (discovery, counter) =
        (Discovery::start(vec![host("b1", second.address, "active")]), Counter::start());
    serve_until(&rig, "the first to serve", || first.count() > 0);
    rig.file["discovery"] = json!(discovery.address.to_string());
    rig.file["counter"] = json!(counter.address.to_string());
    rig.write();
    rig.handle.reload();
    serve_until(&rig, "the new list", || second.count() > 0);
    serve_until(&rig, "a call to the new counter", || counter.totals.change(|t| !t.is_empty()));
}

#[test]
fn a_file_that_cannot_be_used_changes_nothing() {
    let backend = good();
    let rig = Rig::before(&[backend.address]);
    for text in ["", "{", "{\"name\":1}", "[]"] {
        std::fs::write(&rig.path, text).unwrap();
        rig.handle.reload();
        assert!(is_served(&rig.client().ask("order", 1000), "good"));
    }
    std::fs::remove_file(&rig.path).unwrap();
    rig.handle.reload();
    assert!(is_served(&rig.client().ask("order", 1000), "good"));
}

#[test]
fn changed_settings_count_from_the_next_request_on() {
    let backend = good();
    let mut rig = Rig::before(&[backend.address]);
    let list = "c=lookup,t=gold,d=900,units=1,spread=1,first=0";
    let ask = |rig: &Rig| rig.client().call(&["Q.ASK", "00000000b4d65521", &rig::id(), list]);
    assert!(rig::is_wrong(&ask(&rig)));
    let mut gold = settings()["plans"][0].clone();
    gold["name"] = json!("gold");
    rig.file["settings"]["plans"].as_array_mut().unwrap().push(gold);
    rig.write();
    rig.handle.reload();
    let began = Instant::now();
    while !is_served(&ask(&rig), "good") {
        assert!(began.elapsed() < LIMIT);
    }
}

#[test]
fn a_gateway_that_leaves_answers_what_is_open_and_what_still_comes() {
    let open = Shared::new(false);
    let gate: Arc<Shared<bool>> = open.clone();
    let backend = Backend::start(move |command| {
        if command.connection == 1 {
            gate.wait("the test to let it answer", |open| *open);
        }
        Answer::Bytes(value("good"))
    });
    let mut rig = Rig::before(&[backend.address]);
    let (mut first, mut idle) = (rig.client(), rig.client());
    first.send_ask("lookup", 2400);
    backend.commands.wait("the request to be sent on", |c| c.len() == 1);
    rig.handle.stop();
    rig.handle.stop();
    // New connections and requests are taken for a while.
    assert!(is_served(&rig.client().ask("lookup", 1000), "good"));
    assert!(is_served(&idle.ask("lookup", 1000), "good"));
    assert_eq!(idle.answer(), None, "an idle connection is closed at the last call");
    open.change(|open| *open = true);
    assert!(is_served(&first.answer().unwrap(), "good"));
    assert_eq!(first.answer(), None);
    rig.join();
    assert!(TcpStream::connect(rig.address).is_err());
}

#[test]
fn a_gateway_that_leaves_ends_also_when_its_backend_says_nothing() {
    let backend = Backend::start(|_| Answer::Silence);
    let mut rig = Rig::before(&[backend.address]);
    let mut client = rig.client();
    client.send_ask("order", 1100);
    backend.commands.wait("the request to be sent on", |c| c.len() == 1);
    rig.handle.stop();
    assert!(is_failed(&client.answer().unwrap()));
    rig.join();
}

#[test]
fn without_backends_a_request_is_turned_away_at_once_or_well_before_half_its_time() {
    let rig = Rig::before(&[]);
    let mut client = rig.client();
    let began = Instant::now();
    let answer = client.ask("lookup", 2400);
    assert!(rig::is_busy(&answer), "{answer:?}");
    assert!(began.elapsed() < Duration::from_millis(1200));
}

/// Clients that go on asking on whatever stays open: some connection always has a request open when another falls idle.
#[test]
fn a_gateway_that_leaves_ends_while_clients_go_on_asking_on_what_stays_open() {
    let backend = Backend::start(|command| {
        std::thread::sleep(Duration::from_millis(20 + 7 * command.connection as u64 % 60));
        Answer::Bytes(value("good"))
    });
    let mut rig = Rig::before(&[backend.address]);
    let told = Shared::new(None::<Instant>);
    let clients: Vec<_> = (0..12)
        .map(|_| {
            let (mut client, told) = (rig.client(), told.clone());
            std::thread::spawn(move || {
                let mut answered = 0;
                // A client that is told the end of its connection asks elsewhere; what crosses the end it sends again.
                while let Some(answer) = client.try_ask("lookup", 2400) {
                    assert!(is_served(&answer, "good") || rig::is_busy(&answer), "{answer:?}");
                    answered += usize::from(is_served(&answer, "good"));
                    let held_on = |told: &mut Option<Instant>| told.is_some_and(|at| at.elapsed() > HELD_ON);
                    assert!(!told.change(held_on), "its connection was never ended");
                }
                answered
            })
        })
        .collect();
    backend.commands.wait("all to ask", |c| c.len() >= 24);
    told.change(|told| *told = Some(Instant::now()));
    rig.handle.stop();
    rig.join();
    let answered: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    // Whatever was sent on was answered: nothing is cut, also not at the end.
    assert_eq!(backend.count(), answered);
}

/// Far beyond the grace: a connection that serves on then is never ended.
const HELD_ON: Duration = Duration::from_secs(6);

/// What has come whole before the doors close is answered, wherever it waits: in a socket, or at the door.
#[test]
fn requests_written_at_any_moment_of_the_leaving_have_an_answer_or_an_orderly_end() {
    let backend = good();
    let mut rig = Rig::before(&[backend.address]);
    let address = rig.address;
    rig.handle.stop();
    let clients: Vec<_> = (0..150)
        .map(|step| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(5 * step));
                let Ok(stream) = TcpStream::connect(address) else { return false };
                match rig::Client::over(stream).try_ask("lookup", 2000) {
                    Some(answer) => {
                        assert!(is_served(&answer, "good") || rig::is_busy(&answer), "{answer:?}");
                        true
                    }
                    None => false,
                }
            })
        })
        .collect();
    rig.join();
    let answered = clients.into_iter().map(|c| c.join().unwrap()).filter(|a| *a).count();
    // 0.7 s of doors that are open, at one client in 5 ms, less what a busy machine delays.
    assert!(answered >= 100, "{answered} answered");
}

/// Commands behind one another, a command of which half has come, and answers that are read late: each at the last call.
#[test]
fn what_is_midway_at_the_last_call_is_finished() {
    let long = "v".repeat(60_000);
    let text = value(&long);
    let backend = Backend::start(move |_| {
        std::thread::sleep(Duration::from_millis(30));
        Answer::Bytes(text.clone())
    });
    let mut rig = Rig::before(&[backend.address]);
    let (mut piped, mut half, mut slow) = (rig.client(), rig.client(), rig.client());
    let whole = half.encoded("lookup", 2000);
    half.stream.write_all(&whole[..whole.len() / 2]).unwrap();
    rig.handle.stop();
    std::thread::sleep(Duration::from_millis(600));
    (0..10).for_each(|_| drop(piped.send_ask("lookup", 2000)));
    (0..20).for_each(|_| drop(slow.send_ask("lookup", 2000)));
    // The doors are closed by now; the rest of the command comes on a connection that is still open.
    std::thread::sleep(Duration::from_millis(500));
    half.stream.write_all(&whole[whole.len() / 2..]).unwrap();
    let good = |answer: Option<doorcourse_resp::Value>| {
        let answer = answer.expect("a whole answer");
        assert!(is_served(&answer, &long) || rig::is_busy(&answer), "{answer:.80?}");
    };
    good(half.answer());
    (0..10).for_each(|_| good(piped.answer()));
    (0..20).for_each(|_| good(slow.answer()));
    for client in [&mut half, &mut piped, &mut slow] {
        assert_eq!(client.answer(), None, "its connection ends behind its answers");
    }
    rig.join();
}

/// Told twice, in the middle of a reload, with nobody answering: every client has its answer before the kill.
#[test]
fn a_gateway_that_leaves_among_the_silent_answers_all_before_it_may_be_killed() {
    let silent: Vec<_> = (0..3).map(|_| Backend::start(|_| Answer::Silence)).collect();
    let mut rig = Rig::before(&silent.iter().map(|b| b.address).collect::<Vec<_>>());
    let mut clients: Vec<_> = (0..9).map(|_| rig.client()).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        client.send_ask(["lookup", "save", "order"][at % 3], 2400);
    }
    silent[0].commands.wait("a request to be sent on", |c| !c.is_empty());
    // Its new counter and list are nowhere to be reached.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    rig.file["counter"] = json!(nobody.local_addr().unwrap().to_string());
    rig.file["discovery"] = rig.file["counter"].clone();
    rig.write();
    rig.handle.reload();
    rig.handle.stop();
    rig.handle.reload();
    rig.handle.stop();
    for (at, client) in clients.iter_mut().enumerate() {
        let answer = client.answer().unwrap_or_else(|| panic!("client {at} has no answer"));
        assert!(is_failed(&answer) || rig::is_busy(&answer), "{answer:?}");
    }
    rig.join();
}

/// A request that is written once the connection's end is there, before the answer that came ahead of it is read: it
/// is not begun, and the answer is not lost to a reset.
#[test]
fn what_crosses_the_end_of_a_connection_takes_no_answer_with_it() {
    let open = Shared::new(false);
    let gate: Arc<Shared<bool>> = open.clone();
    let backend = Backend::start(move |_| {
        gate.wait("the test to let it answer", |open| *open);
        Answer::Bytes(value("good"))
    });
    let mut rig = Rig::before(&[backend.address]);
    let (mut client, mut idle) = (rig.client(), rig.client());
    client.send_ask("lookup", 2400);
    backend.commands.wait("the request to be sent on", |c| c.len() == 1);
    rig.handle.stop();
    idle.call(&["PING"]);
    idle.wait_for_end();
    open.change(|open| *open = true);
    client.wait_for_end();
    for client in [&mut client, &mut idle] {
        client.send_ask("order", 1000);
        // And again, once the other side's system has had the first.
        client.send_ask("order", 1000);
    }
    assert_eq!(client.rest(), "$4\r\ngood\r\n");
    assert_eq!(idle.rest(), "");
    drop((client, idle));
    rig.join();
    assert_eq!(backend.count(), 1, "a request was begun behind the end of its connection");
}
