//! Bad clients beside a good one: each gets an error or a close, and the good one is served all the while.

mod rig;

use doorcourse_resp::Value;
use rig::{Answer, Backend, Client, Rig, id, is_busy, is_failed, is_served, is_wrong, value};
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// What a bad client is owed comes within this time.
const OWED: Duration = Duration::from_secs(3);

fn rig() -> (Backend, Rig) {
    let backend = Backend::start(|_| Answer::Bytes(value("good")));
    let rig = Rig::before(&[backend.address]);
    (backend, rig)
}

/// Sends bytes and reads to the end or the first error line.
fn owed(rig: &Rig, bytes: &[u8]) -> Option<Value> {
    let began = Instant::now();
    let mut client = rig.client();
    // A gateway that has seen enough resets: then the rest cannot be written.
    let _ = client.stream.write_all(bytes);
    let answer = client.answer();
    assert!(
        began.elapsed() < OWED,
        "{:?}: {answer:?}",
        String::from_utf8_lossy(&bytes[..bytes.len().min(60)])
    );
    answer
}

#[test]
fn bytes_that_are_no_command_get_one_error_and_an_end() {
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
        let answer = owed(&rig, bytes);
        let what = String::from_utf8_lossy(&bytes[..bytes.len().min(40)]).into_owned();
        assert!(answer.as_ref().is_none_or(is_wrong), "{what:?}: {answer:?}");
        assert!(is_served(&good.ask("order", 1000), "good"));
    }
    let mut client = rig.client();
    client.stream.write_all(b"*1\r\n:1\r\n").unwrap();
    assert!(is_wrong(&client.answer().unwrap()));
    assert_eq!(client.answer(), None, "one error, then the end");
    assert_eq!(backend.count(), 11);
}

#[test]
fn commands_that_cannot_be_taken_get_an_error_and_the_connection_goes_on() {
    let (backend, rig) = rig();
    let good = "c=lookup,t=team,d=480,units=2,spread=1,first=0";
    let customer = "00000000b4d65521";
    let new = id();
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
        ("first=0", "first=0,odd=1"),
        ("first=0", "first=0,,"),
        ("first=0", "first=0,k=abc"),
    ];
    let lists: Vec<String> = lists.iter().map(|(from, to)| good.replace(from, to)).collect();
    let mut wrong: Vec<Vec<&str>> = lists.iter().map(|l| vec!["Q.ASK", customer, &new, l]).collect();
    wrong.extend([
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
    for words in &wrong {
        let mut client = rig.client();
        let began = Instant::now();
        let answer = client.call(words);
        assert!(is_wrong(&answer), "{words:?}: {answer:?}");
        assert!(is_served(&client.ask("lookup", 1000), "good"), "{words:?}");
        assert!(began.elapsed() < OWED, "{words:?}");
    }
    assert_eq!(backend.count(), wrong.len(), "none of them reached a backend");
}

#[test]
fn an_open_id_is_refused_to_the_newcomer_only() {
    let backend = Backend::start(|_| Answer::Silence);
    let rig = Rig::before(&[backend.address]);
    let (mut first, mut second) = (rig.client(), rig.client());
    let taken = first.send_ask("order", 900);
    backend.commands.wait("the first to be sent on", |c| c.len() == 1);
    let list = "c=order,t=team,d=480,units=1,spread=1,first=0";
    assert!(is_wrong(&second.call(&["Q.DO", "00000000b4d65521", &taken, list, "B"])));
    assert!(is_failed(&first.answer().unwrap()), "it is answered at its own time");
    assert_eq!(backend.count(), 1);
}

#[test]
fn half_a_command_and_a_close_leave_nothing_behind() {
    let (backend, rig) = rig();
    let mut bytes = Vec::new();
    let list = "c=order,t=team,d=480,units=1,spread=1,first=0";
    doorcourse_resp::command(&mut bytes, &["Q.DO", "00000000b4d65521", &id(), list, "BODY"]);
    for cut in 1..bytes.len() {
        let mut client = rig.client();
        client.stream.write_all(&bytes[..cut]).unwrap();
        client.stream.shutdown(Shutdown::Write).unwrap();
        assert_eq!(client.answer(), None, "cut at {cut}");
    }
    assert_eq!(backend.count(), 0);
    assert!(is_served(&rig.client().ask("order", 1000), "good"));
}

#[test]
fn who_says_nothing_or_stops_midway_is_closed_in_time() {
    let (_backend, rig) = rig();
    let began = Instant::now();
    let mut silent = rig.client();
    let mut midway = rig.client();
    midway.stream.write_all(b"*4\r\n$5\r\nQ.A").unwrap();
    assert_eq!((silent.answer(), midway.answer()), (None, None));
    assert!(began.elapsed() < OWED);
}

#[test]
fn answers_keep_the_order_of_the_commands() {
    let backend = Backend::start(|command| {
        // The first answer comes last.
        if command.words[3].contains("d=9") || command.connection == 1 {
            std::thread::sleep(Duration::from_millis(150));
        }
        Answer::Bytes(value(&command.words[2]))
    });
    let rig = Rig::before(&[backend.address]);
    let mut client = rig.client();
    let ids: Vec<String> = (0..3).map(|_| client.send_ask("order", 1100)).collect();
    client.send(&["PING"]);
    for id in ids {
        assert!(is_served(&client.answer().unwrap(), &id));
    }
    assert_eq!(client.answer(), Some(Value::Simple("PONG".into())));
}

#[test]
fn hundreds_of_commands_at_once_are_all_answered() {
    let (_backend, rig) = rig();
    let mut client = rig.client();
    let mut bytes = Vec::new();
    for _ in 0..500 {
        doorcourse_resp::command(&mut bytes, &["PING"]);
    }
    client.stream.write_all(&bytes).unwrap();
    for _ in 0..500 {
        assert_eq!(client.answer(), Some(Value::Simple("PONG".into())));
    }
}

#[test]
fn a_crowd_that_says_nothing_does_not_keep_the_others_out() {
    let backend = Backend::start(|_| Answer::Bytes(value("good")));
    let rig = Rig::new(vec![rig::host("b0", backend.address, "active")], rig::settings(), 96);
    let mut served = rig.client();
    assert!(is_served(&served.ask("order", 1000), "good"));
    let crowd: Vec<Client> = (0..300).map(|_| rig.client()).collect();
    for _ in 0..20 {
        assert!(is_served(&rig.client().ask("order", 1000), "good"));
    }
    drop(crowd);
    assert!(is_served(&rig.client().ask("order", 1000), "good"));
}

#[test]
fn a_client_that_leaves_takes_its_request_along() {
    let backend = Backend::start(|_| Answer::Silence);
    let rig = Rig::before(&[backend.address]);
    let mut client = rig.client();
    let id = client.send_ask("order", 900);
    backend.commands.wait("the request to be sent on", |c| c.len() == 1);
    drop(client);
    // Its attempt is waited for until its time: then its connection ends, and its id is free again.
    backend.ended.wait("the attempt to be given up", |e| e.contains(&1));
    let mut other = rig.client();
    let list = "c=order,t=team,d=300,units=1,spread=1,first=0";
    let answer = other.call(&["Q.DO", "00000000b4d65521", &id, list, "B"]);
    assert!(is_failed(&answer) || is_busy(&answer), "{answer:?}");
}

#[test]
fn a_client_that_reads_nothing_is_cut_and_the_others_are_served() {
    let large = "x".repeat(60 << 10);
    let backend = Backend::start(move |_| Answer::Bytes(value(&large)));
    let rig = Rig::before(&[backend.address]);
    let mut deaf = rig.client();
    for _ in 0..400 {
        let list = "c=lookup,t=team,d=2400,units=1,spread=1,first=0";
        let mut bytes = Vec::new();
        doorcourse_resp::command(&mut bytes, &["Q.ASK", "00000000b4d65521", &id(), list]);
        deaf.stream.write_all(&bytes).unwrap();
    }
    // Beside it the others are served, for longer than it may leave its answers unread.
    let (began, mut served) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_millis(3500) {
        served += usize::from(matches!(rig.client().ask("lookup", 2000), Value::Bulk(_)));
    }
    assert!(served > 0);
    // Whole answers that lay in the system's buffers, then the end. A client that was not cut would hear all 400.
    let mut heard = 0;
    while heard < 400 && deaf.answer().is_some() {
        heard += 1;
    }
    assert!(heard < 400, "nothing was cut");
}

#[test]
fn an_error_line_is_not_taken_away_by_what_comes_behind_the_fault() {
    let (_backend, rig) = rig();
    for behind in [1_000, 100_000] {
        let mut client = rig.client();
        client.stream.write_all(b"*-1\r\n").unwrap();
        client.wait_for_end();
        client.stream.write_all(&vec![b'x'; behind]).unwrap();
        // Also once the connection is closed on the other side, by its age.
        std::thread::sleep(Duration::from_millis(600));
        assert!(client.stream.take_error().unwrap().is_none(), "closed over what was not read: a reset");
        assert!(client.rest().starts_with("-ERR "));
        assert!(is_served(&rig.client().ask("lookup", 1000), "good"));
    }
}
