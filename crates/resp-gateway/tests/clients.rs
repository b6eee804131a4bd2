//! Faulty clients next to a valid one: each faulty client receives an error or a close in time, and the valid one is
//! served meanwhile.

mod rig;

use doorcourse_resp::Value;
use rig::{
    Backend, Client, Reply, TestGateway, is_failed, is_invalid, is_rejected, is_served, new_id, value,
};
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// A faulty client must receive an error or the close of its connection within this time.
const FAULT_LIMIT: Duration = Duration::from_secs(3);

fn rig() -> (Backend, TestGateway) {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let rig = TestGateway::with_backends(&[backend.address]);
    (backend, rig)
}

/// Sends bytes on a new connection. Returns the first response, or `None` if the connection was closed without one.
fn response_to(rig: &TestGateway, bytes: &[u8]) -> Option<Value> {
    let began = Instant::now();
    let mut client = rig.client();
    // The write fails if the gateway has reset the connection meanwhile.
    let _ = client.stream.write_all(bytes);
    let response = client.read_response();
    assert!(
        began.elapsed() < FAULT_LIMIT,
        "{:?}: {response:?}",
        String::from_utf8_lossy(&bytes[..bytes.len().min(60)])
    );
    response
}

#[test]
fn invalid_framing_gets_one_error_and_a_close() {
    let (backend, rig) = rig();
    let endless = [b"*".to_vec(), vec![b'1'; 100_000]].concat();
    let faults: [&[u8]; 11] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01",
        b"hello\r\n",
        b"*-1\r\n",
        b"*100000000\r\n",
        b"*4\r\n$-5\r\nQ.ASK\r\n",
        b"*4\r\n$999999999999\r\n",
        b"*4\r\n$60000000\r\nxxxxxxxx",
        b"*1\r\n$4\r\nPINGPONG\r\n",
        b"*1\r\n+PING\r\n",
        &endless,
    ];
    let mut good = rig.client();
    for bytes in faults {
        let response = response_to(&rig, bytes);
        let what = String::from_utf8_lossy(&bytes[..bytes.len().min(40)]).into_owned();
        assert!(response.as_ref().is_none_or(is_invalid), "{what:?}: {response:?}");
        assert!(is_served(&good.request("order", 1000), "good"));
    }
    let mut client = rig.client();
    client.stream.write_all(b"*1\r\n:1\r\n").unwrap();
    assert!(is_invalid(&client.read_response().unwrap()));
    assert_eq!(client.read_response(), None, "one error, then the close");
    assert_eq!(backend.command_count(), 11);
}

#[test]
fn invalid_command_gets_an_error_and_the_connection_stays_open() {
    let (backend, rig) = rig();
    let good = "c=lookup,t=team,d=480,units=2,spread=1,first=0";
    let customer = "00000000b4d65521";
    let new = new_id();
    let order = good.replace("c=lookup", "c=order");
    let save = good.replace("c=lookup", "c=save");
    let lists = [
        ("c=lookup", "c=nothing"),
        ("t=team", "t=none"),
        ("d=480", "d=soon"),
        ("d=480", "d=-1"),
        ("d=480", "d=nan"),
        ("d=480,", ""),
        ("units=2", "units=0"),
        ("units=2", "units=4"),
        ("units=2", "units=-1"),
        ("units=2", "units=1e9"),
        ("units=2", "units=x"),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=2"),
        ("spread=1", "spread=99999999999"),
        ("first=0", "first=1"),
        ("first=0", "first=a"),
        ("first=0", "first=0,first=0"),
        ("first=0", "first=0,r=0,r=0"),
        ("first=0", "first=0,r=0,r=1"),
        ("first=0", "first=0,r=2"),
        ("first=0", "first=0,odd=1"),
        ("first=0", "first=0,,"),
        ("first=0", "first=0,k=abc"),
    ];
    let lists: Vec<String> = lists.iter().map(|(from, to)| good.replace(from, to)).collect();
    let mut invalid: Vec<Vec<&str>> = lists.iter().map(|l| vec!["Q.ASK", customer, &new, l]).collect();
    invalid.extend([
        vec!["NONSENSE"],
        vec!["PING", "x"],
        vec!["Q.ASK"],
        vec!["Q.ASK", customer, &new],
        vec!["Q.ASK", customer, &new, good, "BODY", "MORE"],
        vec!["Q.ASK", customer, "", good],
        vec!["Q.ASK", customer, "12", good],
        vec!["Q.ASK", customer, "zzzzzzzzzzzzzzzz", good],
        vec!["Q.ASK", "0000000200000000", &new, good],
        vec!["Q.ASK", "b4d65521", &new, good],
        vec!["Q.DO", customer, &new, good],
        vec!["Q.ASK", customer, &new, &order],
        vec!["Q.DO", customer, &new, &save],
    ]);
    for arguments in &invalid {
        let mut client = rig.client();
        let began = Instant::now();
        let response = client.call(arguments);
        assert!(is_invalid(&response), "{arguments:?}: {response:?}");
        assert!(is_served(&client.request("lookup", 1000), "good"), "{arguments:?}");
        assert!(began.elapsed() < FAULT_LIMIT, "{arguments:?}");
    }
    assert_eq!(backend.command_count(), invalid.len(), "none of them reached a backend");
}

#[test]
fn second_request_with_an_open_id_is_rejected_and_the_first_goes_on() {
    let backend = Backend::start(|_| Reply::Withheld);
    let rig = TestGateway::with_backends(&[backend.address]);
    let mut first = rig.client();
    let mut second = rig.client();
    let id = first.send_request("order", 900);
    backend.commands.wait("the attempt of the first request", |c| c.len() == 1);
    let list = "c=order,t=team,d=480,units=1,spread=1,first=0";
    assert!(is_invalid(&second.call(&["Q.DO", "00000000b4d65521", &id, list, "B"])));
    assert!(is_failed(&first.read_response().unwrap()), "the first ends at its own deadline");
    assert_eq!(backend.command_count(), 1);
}

#[test]
fn partial_command_and_a_close_start_no_attempt() {
    let (backend, rig) = rig();
    let mut bytes = Vec::new();
    let list = "c=order,t=team,d=480,units=1,spread=1,first=0";
    doorcourse_resp::encode_command(&mut bytes, &["Q.DO", "00000000b4d65521", &new_id(), list, "BODY"]);
    for cut in 1..bytes.len() {
        let mut client = rig.client();
        client.stream.write_all(&bytes[..cut]).unwrap();
        client.stream.shutdown(Shutdown::Write).unwrap();
        assert_eq!(client.read_response(), None, "cut at {cut}");
    }
    assert_eq!(backend.command_count(), 0);
    assert!(is_served(&rig.client().request("order", 1000), "good"));
}

#[test]
fn silent_connection_and_partial_command_are_closed_in_time() {
    let (_backend, rig) = rig();
    let began = Instant::now();
    let mut silent = rig.client();
    let mut partial = rig.client();
    partial.stream.write_all(b"*4\r\n$5\r\nQ.A").unwrap();
    assert_eq!((silent.read_response(), partial.read_response()), (None, None));
    assert!(began.elapsed() < FAULT_LIMIT);
}

#[test]
fn responses_keep_the_order_of_the_commands() {
    let backend = Backend::start(|command| {
        // Delays the reply to the first request, so that it is the last one that the gateway receives.
        if command.arguments[3].contains("d=9") || command.connection == 1 {
            std::thread::sleep(Duration::from_millis(150));
        }
        Reply::Bytes(value(&command.arguments[2]))
    });
    let rig = TestGateway::with_backends(&[backend.address]);
    let mut client = rig.client();
    let ids: Vec<String> = (0..3).map(|_| client.send_request("order", 1100)).collect();
    client.send(&["PING"]);
    for id in ids {
        assert!(is_served(&client.read_response().unwrap(), &id));
    }
    assert_eq!(client.read_response(), Some(Value::Simple("PONG".into())));
}

#[test]
fn hundreds_of_pipelined_commands_are_all_answered() {
    let (_backend, rig) = rig();
    let mut client = rig.client();
    let mut bytes = Vec::new();
    for _ in 0..500 {
        doorcourse_resp::encode_command(&mut bytes, &["PING"]);
    }
    client.stream.write_all(&bytes).unwrap();
    for _ in 0..500 {
        assert_eq!(client.read_response(), Some(Value::Simple("PONG".into())));
    }
}

#[test]
fn idle_connections_beyond_the_table_do_not_keep_requests_out() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let rig = TestGateway::new(vec![rig::endpoint("b0", backend.address, "active")], rig::settings(), 96);
    let mut served = rig.client();
    assert!(is_served(&served.request("order", 1000), "good"));
    let idle: Vec<Client> = (0..300).map(|_| rig.client()).collect();
    for _ in 0..20 {
        assert!(is_served(&rig.client().request("order", 1000), "good"));
    }
    drop(idle);
    assert!(is_served(&rig.client().request("order", 1000), "good"));
}

#[test]
fn request_of_a_disconnected_client_ends_and_frees_its_id_if_it_may_run_again() {
    for (class, command) in [("lookup", "Q.ASK"), ("order", "Q.DO")] {
        let backend = Backend::start(|_| Reply::Withheld);
        let rig = TestGateway::with_backends(&[backend.address]);
        let mut client = rig.client();
        let id = client.send_request(class, 900);
        backend.commands.wait("the attempt", |c| c.len() == 1);
        drop(client);
        // The attempt runs until its deadline. Then its connection closes.
        backend.closed_connections.wait("the end of the attempt", |e| e.contains(&1));
        let mut other = rig.client();
        let list = format!("c={class},t=team,d=300,units=1,spread=1,first=0");
        let response = other.call(&[command, "00000000b4d65521", &id, &list, "B"]);
        if class == "lookup" {
            assert!(is_failed(&response) || is_rejected(&response), "{response:?}");
        } else {
            // It may have run, and must not run twice.
            assert!(is_invalid(&response), "{response:?}");
            assert_eq!(backend.command_count(), 1);
        }
    }
}

#[test]
fn client_that_reads_nothing_is_closed_and_others_are_served() {
    let large = "x".repeat(60 << 10);
    let backend = Backend::start(move |_| Reply::Bytes(value(&large)));
    let rig = TestGateway::with_backends(&[backend.address]);
    let mut non_reading_client = rig.client();
    for _ in 0..400 {
        let list = "c=lookup,t=team,d=2400,units=1,spread=1,first=0";
        let mut bytes = Vec::new();
        doorcourse_resp::encode_command(&mut bytes, &["Q.ASK", "00000000b4d65521", &new_id(), list]);
        non_reading_client.stream.write_all(&bytes).unwrap();
    }
    // Other clients are served meanwhile, for longer than a client may leave its responses unread.
    let began = Instant::now();
    let mut served = 0;
    while began.elapsed() < Duration::from_millis(3500) {
        served += usize::from(matches!(rig.client().request("lookup", 2000), Value::Bulk(_)));
    }
    assert!(served > 0);
    // The client reads what the kernel has buffered, and then the close. If its connection had not been closed, it
    // would receive all 400 responses.
    let mut received = 0;
    while received < 400 && non_reading_client.read_response().is_some() {
        received += 1;
    }
    assert!(received < 400, "the connection was not closed");
}

#[test]
fn error_reaches_the_client_despite_bytes_behind_the_invalid_command() {
    let (_backend, rig) = rig();
    for trailing in [1_000, 100_000] {
        let mut client = rig.client();
        client.stream.write_all(b"*-1\r\n").unwrap();
        client.wait_for_close();
        client.stream.write_all(&vec![b'x'; trailing]).unwrap();
        // Long enough for the lingering close in the gateway to end.
        std::thread::sleep(Duration::from_millis(600));
        assert!(client.stream.take_error().unwrap().is_none(), "closed over unread bytes: a reset");
        assert!(client.read_to_end().starts_with("-ERR "));
        assert!(is_served(&rig.client().request("lookup", 1000), "good"));
    }
}
