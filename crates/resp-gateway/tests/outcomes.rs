//! Every row of the page's table of outcomes, and spoilt answers: what each means for requests that may and may not be
//! repeated, seen by the client and by the backends.

mod rig;

use rig::{Answer, Backend, LateBackend, Rig, host, is_busy, is_failed, is_served, value};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A backend that does this to the first command and serves all others.
fn once(first: impl Fn() -> Answer + Send + Sync + 'static) -> Backend {
    let count = AtomicUsize::new(0);
    Backend::start(move |_| match count.fetch_add(1, Ordering::SeqCst) {
        0 => first(),
        _ => Answer::Bytes(value("good")),
    })
}

#[test]
fn a_request_passes_unchanged_but_for_its_time() {
    let backend = Backend::start(|command| Answer::Bytes(value(&command.words[2])));
    let rig = Rig::before(&[backend.address]);
    let mut client = rig.client();
    let id = client.send_ask("save", 1900);
    assert!(is_served(&client.answer().unwrap(), &id));
    let words = backend.commands.change(|c| c[0].words.clone());
    assert_eq!((&*words[0], &*words[1], &words[2], &*words[4]), ("Q.DO", "00000000b4d65521", &id, "BODY"));
    let (before, rest) = words[3].split_once("d=").unwrap();
    let (left, after) = rest.split_once(',').unwrap();
    assert_eq!((before, after), ("c=save,t=team,", &*format!("k={id},units=1,spread=1,first=0")));
    let left: u32 = left.parse().unwrap();
    assert!((1..1900).contains(&left), "{left}");
}

#[test]
fn what_never_ran_is_tried_again_whatever_its_class() {
    for class in ["lookup", "save", "order"] {
        let backend = once(|| Answer::Bytes(b"-BUSY\r\n".to_vec()));
        let other = Backend::start(|_| Answer::Bytes(value("good")));
        let rig = Rig::before(&[backend.address, other.address]);
        // Whichever of the two is asked first, a turned away request is served by one of them.
        let mut client = rig.client();
        for _ in 0..4 {
            assert!(is_served(&client.ask(class, 1000), "good"), "{class}");
        }
    }
}

#[test]
fn a_refused_connection_never_ran() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let other = Backend::start(|_| Answer::Bytes(value("good")));
    let rig = Rig::before(&[gone, other.address]);
    let mut client = rig.client();
    for _ in 0..4 {
        assert!(is_served(&client.ask("order", 1000), "good"));
    }
}

#[test]
fn what_may_have_run_is_repeated_only_where_that_does_no_harm() {
    let faults: [fn() -> Answer; 9] = [
        || Answer::Bytes(b"-ERR failed\r\n".to_vec()),
        || Answer::Bytes(b"-ERR failed inflight=1\r\n".to_vec()),
        || Answer::Reset,
        || Answer::End(Vec::new()),
        || Answer::End(b"*3\r\n$4\r\ngo".to_vec()),
        || Answer::Bytes(b"\x00\x01\xffnoise".to_vec()),
        || Answer::Bytes(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec()),
        || Answer::Bytes([&b"*3\r\n$3000000000\r\n"[..], &[b'x'; 4096]].concat()),
        || Answer::Bytes(b"*3\r\n$2\r\ngood\r\n$-1\r\n$-1\r\n".to_vec()),
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        for class in ["lookup", "save", "order"] {
            let backend = once(fault);
            let rig = Rig::before(&[backend.address]);
            let mut client = rig.client();
            let answer = client.ask(class, 1100);
            let what = format!("fault {number}, {class}: {answer:?}");
            if class == "order" {
                assert!(is_failed(&answer), "{what}");
                assert_eq!(backend.count(), 1, "{what}");
            } else {
                // The one backend is left alone for a while after a failure: what waits for it may be given up, but
                // a key that may have run is never called harmless beyond the cell that remembers it.
                let over =
                    is_served(&answer, "good") || is_failed(&answer) || class == "lookup" && is_busy(&answer);
                assert!(over, "{what}");
            }
        }
    }
}

#[test]
fn silence_ends_at_the_client_s_time_and_ends_the_connection() {
    let backend = once(|| Answer::Silence);
    let rig = Rig::before(&[backend.address]);
    let mut client = rig.client();
    let began = std::time::Instant::now();
    assert!(is_failed(&client.ask("order", 300)));
    assert!(began.elapsed().as_millis() >= 250, "not before its time");
    backend.ended.wait("the connection of the silent attempt to end", |e| e.contains(&1));
    assert_eq!(backend.count(), 1);
}

#[test]
fn what_comes_behind_an_answer_is_never_the_next_one_s() {
    for extra in [value("stale"), b"noise".to_vec(), b"-ERR failed\r\n".to_vec()] {
        let backend = once(move || Answer::Bytes([value("good"), extra.clone()].concat()));
        let rig = Rig::before(&[backend.address]);
        let mut client = rig.client();
        for _ in 0..3 {
            assert!(is_served(&client.ask("order", 1000), "good"));
        }
        let used = backend.commands.change(|c| c.iter().map(|c| c.connection).collect::<Vec<_>>());
        assert!(used[0] == 1 && used[1..].iter().all(|c| *c != 1), "{used:?}");
    }
}

#[test]
fn a_connection_is_used_again_after_an_exact_answer() {
    let backend = Backend::start(|_| Answer::Bytes(value("good")));
    let rig = Rig::before(&[backend.address]);
    let mut client = rig.client();
    for _ in 0..20 {
        assert!(is_served(&client.ask("order", 1000), "good"));
    }
    assert!(backend.commands.change(|c| c.iter().all(|c| c.connection == 1)));
}

#[test]
fn a_counter_that_spoils_or_turns_away_or_says_nothing_stops_nobody_within_the_quota() {
    let backend = Backend::start(|_| Answer::Bytes(value("good")));
    for mood in [4, 1, 2, 3] {
        let rig = Rig::before(&[backend.address]);
        rig.counter.mood.store(mood, Ordering::SeqCst);
        let mut client = rig.client();
        for number in 0..5 {
            let answer = client.ask("lookup", 1000);
            assert!(is_served(&answer, "good"), "mood {mood}, request {number}: {answer:?}");
        }
    }
}

/// Settings whose keyed class has its repeats dropped for so long only, with time to wait for a backend beyond it.
fn short_window(window: f64) -> serde_json::Value {
    let mut settings = rig::settings();
    let save = &mut settings["classes"][1];
    (save["goal-time-ms"], save["hard-limit-ms"], save["window-ms"]) =
        (8000.into(), 16_000.into(), window.into());
    settings["permissions"]["dial-timeout-ms"] = 3000.into();
    settings
}

/// Waits for a backend's first attempt and tells when it was there: the window runs from its sending, which was before.
fn first_came(backend: &Backend) -> Instant {
    backend.commands.wait("the first attempt", |c| !c.is_empty());
    Instant::now()
}

/// Waits until a time after something that happened before: what it holds back is let go only then.
fn past(since: Instant, time: Duration) {
    std::thread::sleep(time.saturating_sub(since.elapsed()));
}

#[test]
fn a_keyed_repeat_that_waits_in_line_is_not_sent_past_its_window() {
    let backend = Backend::start(|_| Answer::Reset);
    let later = Backend::start(|_| Answer::Bytes(value("again")));
    let rig = Rig::new(vec![host("b0", backend.address, "active")], short_window(500.0), 1024);
    let mut client = rig.client();
    client.send_ask("save", 9000);
    let first = first_came(&backend);
    // Twice reset, the backend is left alone, and the request waits for another: there is one when the window is over.
    backend.commands.wait("both attempts", |c| c.len() == 2);
    past(first, Duration::from_millis(510));
    rig.discovery.tell(vec![host("b1", later.address, "active")]);
    let answer = client.answer().unwrap();
    assert!(is_failed(&answer), "{answer:?}");
    assert_eq!((backend.count(), later.count()), (2, 0));
    // Nor has anything been left behind that goes out later.
    assert!(is_served(&client.ask("order", 9000), "again"));
    assert_eq!(later.count(), 1);
}

#[test]
fn a_keyed_repeat_whose_connection_comes_up_past_its_window_is_not_written() {
    let first = Backend::start(|_| Answer::Reset);
    let late = LateBackend::start(|_| Answer::Bytes(value("again")));
    let hosts = vec![host("b0", first.address, "active"), host("b1", late.address(), "leaving")];
    let rig = Rig::new(hosts, short_window(400.0), 1024);
    let mut client = rig.client();
    client.send_ask("save", 9000);
    let came = first_came(&first);
    // From here on only the one whose queue is full: it is chosen, and its connection does not come up.
    rig.discovery.tell(vec![host("b0", first.address, "leaving"), host("b1", late.address(), "active")]);
    // The window is over; the connection comes up after it, with the next try of the system.
    past(came, Duration::from_millis(410));
    let late = late.open();
    let answer = client.answer().unwrap();
    assert!(is_failed(&answer), "{answer:?}");
    // What it carries first is this request.
    let mut other = rig.client();
    let id = other.send_ask("save", 9000);
    assert!(is_served(&other.answer().unwrap(), "again"));
    assert_eq!(late.commands.change(|c| c.iter().map(|c| c.words[2].clone()).collect::<Vec<_>>()), [id]);
}
