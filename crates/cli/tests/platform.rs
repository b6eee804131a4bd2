//! The built binary as the platform starts it: `RELAY_*` set, in the foreground, between scripted peers on loopback.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running_gateway;

use rig::{
    Backend, Client, Counter, Discovery, Reply, StalledBackend, endpoint, is_failed, is_served, value,
};
use running_gateway::{command, config, start};
use rustix::process::Signal;
use serde_json::{Value as Json, json};

#[test]
fn process_serves_reloads_and_shuts_down_gracefully() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    let mut gateway = start("life", &config);
    let mut client = Client::open(gateway.address);
    assert_eq!(client.call(&["PING"]), doorcourse_resp::Value::Simple("PONG".into()));
    for class in ["lookup", "save", "order"] {
        assert!(is_served(&client.request(class, 1000), "good"), "{class}");
    }
    let new_counter = Counter::start();
    config["counter"] = json!(new_counter.address.to_string());
    std::fs::write(&gateway.file, config.to_string()).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_log("configuration reloaded");
    for _ in 0..5 {
        assert!(is_served(&client.request("order", 1000), "good"));
    }
    std::fs::write(&gateway.file, "{").unwrap();
    gateway.signal(Signal::HUP);
    assert!(is_served(&client.request("order", 1000), "good"));
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("shutting down");
    assert!(is_served(&Client::open(gateway.address).request("order", 1000), "good"));
    gateway.wait_for_log("stopped");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn process_started_after_a_kill_serves() {
    let backend = Backend::start(|command| match &*command.arguments[0] {
        "Q.DO" => Reply::Withheld,
        _ => Reply::Bytes(value("good")),
    });
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    let mut gateway = start("kill", &config);
    let mut client = Client::open(gateway.address);
    client.send_request("order", 1000);
    backend.commands.wait("the attempt", |c| c.len() == 1);
    gateway.signal(Signal::KILL);
    assert!(!gateway.child.wait().unwrap().success());
    assert_eq!(client.read_response(), None);
    // The first process's quota lease stays in its counter until the window ends, so the second gets a counter of its own.
    let new_counter = Counter::start();
    config["counter"] = json!(new_counter.address.to_string());
    let restarted = start("again", &config);
    let mut client = Client::open(restarted.address);
    let answer = client.request("lookup", 1000);
    assert!(is_served(&answer, "good"), "{answer:?}");
    assert!(is_failed(&client.request("order", 200)));
}

#[test]
fn unusable_file_is_reported_in_one_line_that_names_file_and_field() {
    let discovery = Discovery::start(Vec::new());
    let counter = Counter::start();
    let valid = config(&discovery, &counter);
    let mut cases = Vec::new();
    for (field, bad) in [
        ("listen", json!("here")),
        ("discovery", Json::Null),
        ("counter", json!("10.0.0.1")),
        ("seed", json!("x")),
        ("settings", json!([])),
        ("known", json!({"seq": 1})),
    ] {
        let mut config = valid.clone();
        config[field] = bad;
        cases.push((field, config));
    }
    for (field, config) in cases {
        let file = std::env::temp_dir().join(format!("doorcourse-smoke-{}-{field}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).unwrap();
        let output = command(&file).output().unwrap();
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        std::fs::remove_file(&file).unwrap();
        assert_eq!(output.status.code(), Some(2), "{field}: {message}");
        assert_eq!(message.lines().count(), 1, "{field}: {message}");
        assert!(message.contains(field) && message.contains(&*file.to_string_lossy()), "{field}: {message}");
    }
}

/// More connections than one iteration accepts are in the accept queue, their requests written, when draining begins: the
/// process was stopped meanwhile, as happens to one that shares its core.
#[test]
fn accept_queue_is_accepted_before_the_listener_closes() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    config["limits"]["sockets"] = json!(1024);
    let mut gateway = start("accept-queue", &config);
    assert!(is_served(&Client::open(gateway.address).request("lookup", 1000), "good"));
    gateway.signal(Signal::TERM);
    gateway.wait_for_log("shutting down");
    gateway.signal(Signal::STOP);
    let mut clients: Vec<_> = (0..150).map(|_| Client::open(gateway.address)).collect();
    clients.iter_mut().for_each(|client| drop(client.send_request("lookup", 2400)));
    std::thread::sleep(std::time::Duration::from_millis(800));
    gateway.signal(Signal::CONT);
    for (index, client) in clients.iter_mut().enumerate() {
        let answer =
            client.read_response().unwrap_or_else(|| panic!("client {index} was closed without a response"));
        assert!(is_served(&answer, "good") || rig::is_rejected(&answer), "{answer:?}");
        assert_eq!(client.read_response(), None, "its connection closes behind its response");
    }
    gateway.wait_for_log("stopped");
    assert!(gateway.child.wait().unwrap().success());
}

/// SIGTERM arrives at different moments of a start, 2 ms apart, while discovery does not respond: a process that listens
/// exits with code 0.
#[test]
fn signal_during_the_start_leads_to_a_graceful_exit_once_it_listens() {
    let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let counter = Counter::start();
    let mut config = config(&Discovery::start(Vec::new()), &counter);
    config["discovery"] = json!(discovery.local_addr().unwrap().to_string());
    let file = std::env::temp_dir().join(format!("doorcourse-smoke-{}-early.json", std::process::id()));
    std::fs::write(&file, config.to_string()).unwrap();
    let mut listened = 0;
    for step in 0..12 {
        let child = command(&file).spawn().unwrap();
        std::thread::sleep(std::time::Duration::from_millis(2 * step));
        rustix::process::kill_process(rustix::process::Pid::from_child(&child), Signal::TERM).unwrap();
        let output = child.wait_with_output().unwrap();
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        if log.contains("started") {
            listened += 1;
            assert!(output.status.success() && log.contains("\"stopped\""), "{step}: {log}");
        }
    }
    std::fs::remove_file(&file).unwrap();
    assert!(listened > 0, "no process reached the point of listening");
}

/// The largest supported fleet fits in 32 MB: 1,024 gateways in the settings, and 1,024 backends in the file and in the
/// endpoint list. The file that is reloaded is indented.
#[test]
fn a_thousand_gateways_and_backends_fit_in_a_small_machine() {
    let backend = Backend::start(|_| Reply::Bytes(value("good")));
    let hosts: Vec<Json> = (0..1024)
        .map(|n| endpoint(&format!("s-{n:08x}-of-a-long-name"), backend.address, "active"))
        .collect();
    let discovery = Discovery::start(hosts.clone());
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    config["settings"]["fleet-size"] = json!(1024);
    config["known"] = json!({"seq": 0, "whole": true, "hosts": hosts});
    let gateway = start("large", &serde_json::from_str(&format!("{config:#}")).unwrap());
    std::fs::write(&gateway.file, format!("{config:#}")).unwrap();
    let mut client = Client::open(gateway.address);
    for round in 0..3 {
        for _ in 0..100 {
            let answer = client.request("lookup", 2000);
            assert!(is_served(&answer, "good") || rig::is_rejected(&answer), "{answer:?}");
        }
        // The indented file is read again in each round.
        gateway.signal(Signal::HUP);
        let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
        let peak =
            status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("the system reports the peak");
        let peak: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
        assert!(peak < 32 << 10, "round {round}: {peak} kB");
    }
}

/// A burst of connections beyond the client table: each accepted request has a complete response, and no request of a
/// connection that was closed unread was forwarded.
#[test]
fn burst_on_a_full_table_loses_no_accepted_request() {
    let backend = Backend::start(|_| {
        std::thread::sleep(std::time::Duration::from_millis(60));
        Reply::Bytes(value("good"))
    });
    let discovery = Discovery::start(vec![endpoint("b0", backend.address, "active")]);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    config["limits"]["sockets"] = json!(96);
    let gateway = start("crowd", &config);
    let address = gateway.address;
    let clients: Vec<_> = (0..120)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::open(address);
                let (id, sent) = client.begin_request("lookup", 2400);
                (id, sent && client.read_response().is_some())
            })
        })
        .collect();
    let requests: Vec<(String, bool)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let answered = requests.iter().filter(|(_, answered)| *answered).count();
    assert!(answered >= 20, "{answered} answered");
    let forwarded = backend.commands.update(|c| c.iter().map(|c| c.arguments[2].clone()).collect::<Vec<_>>());
    for (id, answered) in &requests {
        assert!(*answered || !forwarded.contains(id), "{id} was forwarded and has no response");
    }
}

/// A process that is stopped while its client disconnects and an attempt's connect times out receives both events at
/// once: the client comes first, so that no attempt is started for it and no pooled connection spent on it.
#[test]
fn disconnected_client_is_processed_before_due_timers() {
    let late_backend = StalledBackend::start(|_| Reply::Bytes(value("late")));
    let good_backend = Backend::start(|_| Reply::Bytes(value("good")));
    let hosts = vec![
        endpoint("b0", late_backend.address(), "active"),
        endpoint("b1", good_backend.address, "active"),
    ];
    let discovery = Discovery::start(hosts);
    let counter = Counter::start();
    let mut config = config(&discovery, &counter);
    config["settings"]["extra"]["has-counter"] = json!(false);
    // Far longer than it takes to stop the process, also on a busy machine.
    config["settings"]["permissions"]["dial-timeout-ms"] = json!(2000.0);
    config["settings"]["classes"][0]["hard-limit-ms"] = json!(16_000.0);
    let gateway = start("gone", &config);
    let mut client = Client::open(gateway.address);
    // Read together, each goes to the backend with the fewest in flight: one to each.
    let both_requests =
        [client.encode_request("lookup", 15_000), client.encode_request("lookup", 15_000)].concat();
    std::io::Write::write_all(&mut client.stream, &both_requests).unwrap();
    good_backend.commands.wait("the attempt that could be sent", |c| c.len() == 1);
    gateway.signal(Signal::STOP);
    drop(client);
    // Longer than the connect timeout.
    std::thread::sleep(std::time::Duration::from_millis(2200));
    gateway.signal(Signal::CONT);
    let mut other_client = Client::open(gateway.address);
    let id = other_client.send_request("order", 1000);
    assert!(is_served(&other_client.read_response().unwrap(), "good"));
    let forwarded = good_backend
        .commands
        .update(|c| c[1..].iter().map(|c| (c.arguments[2].clone(), c.connection)).collect::<Vec<_>>());
    assert_eq!(forwarded, [(id, 1)]);
}
