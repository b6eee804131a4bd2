//! Rare moments in a fleet of eight gateways as processes: discovery goes down and returns with a drain and a backend that
//! has moved, gateways are killed and stand still, one backend hangs, all stop for a while, and clients go in all the ways there are. Judged from the records of
//! clients and backends. `DOORCOURSE_SEEDS=20` plays so many seeds instead of one.
//!
//! The terms are counted in tenths of a second, and a busy machine is not that punctual: what is judged here is later, and
//! what each disabled rule does is later than that.

#[path = "../../resp-gateway/tests/rig/mod.rs"]
mod rig;
mod running;

use doorcourse_connection_limits::DescriptorBudget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rig::{
    Answer, Backend, Client, Counter, Discovery, LIMIT, Shared, host, is_busy, is_served, settings, value,
};
use running::{Gateway, command, config, crowd, longest, start};
use rustix::net::sockopt::set_socket_linger;
use rustix::process::Signal;
use serde_json::{Value as Json, json};
use std::collections::{HashMap, HashSet};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 8;
const CLIENTS: usize = 24;
/// The settings' longest time: attempts for who has gone could go on as long.
const LONGEST: u32 = 8000;
/// More commands than are read at once: what comes behind them is unread.
const UNREAD: usize = 200;
/// How long sends to a backend that drains may go on, by the settings.
const GRACE: Duration = Duration::from_millis(250);
/// What a busy machine may add to any term.
const SLACK: Duration = Duration::from_millis(1000);
/// An attempt begun so long after its client had gone is late: 0.1 s by the term, and a break from the third on.
const GONE: Duration = Duration::from_millis(400);
/// How long one gateway stands still.
const HALT: Duration = Duration::from_millis(1200);

/// A request as its client saw it.
struct Seen {
    id: String,
    at: SocketAddr,
    end: End,
}

enum End {
    Answered,
    /// The connection ended without an answer.
    Lost,
    /// The client went then.
    Gone(Instant),
}

type Arrivals = Arc<Shared<Vec<(String, Instant)>>>;

/// A backend that keeps when each command came.
fn backend(script: impl Fn(&rig::Command) -> Answer + Send + Sync + 'static) -> (Backend, Arrivals) {
    let arrivals: Arrivals = Shared::new(Vec::new());
    let kept = arrivals.clone();
    let backend = Backend::start(move |command| {
        kept.change(|k| k.push((command.words[2].clone(), Instant::now())));
        script(command)
    });
    (backend, arrivals)
}

/// Asks for so much at once.
fn asks(at: SocketAddr, count: usize) -> Option<(Client, Vec<String>)> {
    let mut client = Client::over(TcpStream::connect(at).ok()?);
    let ids = (0..count).map(|_| client.begin_ask("lookup", LONGEST).0).collect();
    Some((client, ids))
}

/// Ends a client's own side: it has gone as well, and never closes the rest here.
fn ends(at: SocketAddr, client: Client, ids: Vec<String>, seen: &mut Vec<Seen>, ended: &mut Vec<Client>) {
    if client.stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let gone = Instant::now();
    seen.extend(ids.into_iter().map(|id| Seen { id, at, end: End::Gone(gone) }));
    ended.push(client);
}

/// Asks for something and goes: by closing, by ending its side, by a reset; before or behind what is read of it.
fn asks_and_goes(random: &mut ChaCha8Rng, at: SocketAddr, seen: &mut Vec<Seen>, ended: &mut Vec<Client>) {
    let Some((client, ids)) = asks(at, [1, 2, UNREAD][random.random_range(0..3)]) else { return };
    std::thread::sleep(Duration::from_millis(random.random_range(0..150)));
    match random.random_range(0..3) {
        0 => return ends(at, client, ids, seen, ended),
        1 => set_socket_linger(&client.stream, Some(Duration::ZERO)).unwrap(),
        _ => {}
    }
    drop(client);
    let gone = Instant::now();
    seen.extend(ids.into_iter().map(|id| Seen { id, at, end: End::Gone(gone) }));
}

fn client(mut random: ChaCha8Rng, places: &Shared<Vec<Option<SocketAddr>>>, over: &AtomicBool) -> Vec<Seen> {
    let (mut seen, mut ended) = (Vec::new(), Vec::new());
    while !over.load(Ordering::SeqCst) {
        let place = places.change(|p| p[random.random_range(0..GATEWAYS)]);
        let Some(at) = place else { continue };
        if random.random_range(0..6) == 0 {
            asks_and_goes(&mut random, at, &mut seen, &mut ended);
            continue;
        }
        let Ok(stream) = TcpStream::connect(at) else { continue };
        let mut client = Client::over(stream);
        for _ in 0..random.random_range(1..8) {
            let class = ["lookup", "save", "order"][random.random_range(0..3)];
            let (id, taken) = client.begin_ask(class, random.random_range(400..900));
            let end = if taken && client.answer().is_some() { End::Answered } else { End::Lost };
            let lost = matches!(end, End::Lost);
            seen.push(Seen { id, at, end });
            if lost {
                break;
            }
        }
    }
    seen
}

/// A gateway that is started while discovery may be down.
fn started(name: &str, file: &Json) -> Gateway {
    let path = std::env::temp_dir().join(format!("doorcourse-smoke-{}-{name}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).unwrap();
    Gateway::of(command(&path), path)
}

fn play(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (hangs, at_hanging) = backend(|_| Answer::Silence);
    let mut served = Vec::new();
    let frozen = Shared::new(false);
    // The last is where the second is from discovery's return on.
    for at in 0..5_u64 {
        let frozen = frozen.clone();
        served.push(backend(move |command| {
            frozen.wait("the thaw", |frozen| !frozen);
            std::thread::sleep(Duration::from_millis(20 + (7 * at + 11 * command.connection as u64) % 60));
            Answer::Bytes(value("good"))
        }));
    }
    let list = |later: bool| -> Vec<Json> {
        let good = (0..4).map(|n| {
            let (drains, moves) = (later && n == 0, later && n == 1);
            let at = served[if moves { 4 } else { n }].0.address;
            let mut host = host(&format!("b{n}"), at, if drains { "leaving" } else { "active" });
            host["born_ms"] = json!(u8::from(moves));
            host
        });
        good.chain([host("hangs", hangs.address, "active")]).collect()
    };
    let (discovery, counter) = (Discovery::start(list(false)), Counter::start());
    let mut file = config(&discovery, &counter);
    file["settings"] = settings();
    file["settings"]["rules"]["drain-grace-ms"] = json!(GRACE.as_millis());
    file["settings"]["plans"][0]["refill"] = json!(1e6);
    file["settings"]["plans"][0]["burst"] = json!(1e6);
    longest(&mut file, LONGEST);
    file["known"] = json!({"seq": 1, "whole": true, "hosts": list(false)});
    let mut fleet: Vec<_> = (0..GATEWAYS).map(|at| start(&format!("rare-{seed}-{at}"), &file)).collect();
    let places = Shared::new(fleet.iter().map(|g| Some(g.address)).collect::<Vec<_>>());
    let over = Arc::new(AtomicBool::new(false));
    let (asked, until) = (places.clone(), over.clone());
    let clients = crowd(CLIENTS, seed, move |random| client(random, &asked, &until));
    served[1].0.commands.wait("the load", |c| c.len() >= CLIENTS * 4);
    // Two are killed while discovery is down, and come back before it does; one stands still across its return.
    let mut killed = HashSet::new();
    let first = random.random_range(0..GATEWAYS);
    let [a, b, halted] = [first, (first + 3) % GATEWAYS, (first + 5) % GATEWAYS];
    discovery.go_down();
    // Nothing is answered meanwhile: what waits for a backend waits on, also for clients that go.
    frozen.change(|f| *f = true);
    let (mut seen, mut ended) = (Vec::new(), Vec::new());
    for gateway in &fleet {
        let (client, ids) = asks(gateway.address, UNREAD).expect("it listens");
        ends(gateway.address, client, ids, &mut seen, &mut ended);
    }
    for at in [a, b] {
        killed.insert(fleet[at].address);
        places.change(|p| p[at] = None);
        fleet[at].signal(Signal::KILL);
        fleet[at] = started(&format!("rare-{seed}-{at}-again"), &file);
        places.change(|p| p[at] = Some(fleet[at].address));
    }
    // An instant before the return each gateway has a call out that nobody will answer.
    std::thread::sleep(Duration::from_millis(random.random_range(700..1100)));
    fleet[halted].signal(Signal::STOP);
    discovery.come_back(list(true));
    let back = Instant::now();
    std::thread::sleep(HALT);
    fleet[halted].signal(Signal::CONT);
    let resumed = Instant::now();
    frozen.change(|f| *f = false);
    // As long as an attempt could go on for who has gone, beside the load.
    std::thread::sleep(Duration::from_millis(3500));
    over.store(true, Ordering::SeqCst);
    seen.extend(clients.into_iter().flat_map(|c| c.join().unwrap()));
    judge(seed, &seen, &killed, fleet[halted].address, &at_hanging, &served, back, resumed)
}

#[allow(clippy::too_many_arguments, reason = "the records, and what was done when")]
fn judge(
    seed: u64, seen: &[Seen], killed: &HashSet<SocketAddr>, halted: SocketAddr, hanging: &Arrivals,
    served: &[(Backend, Arrivals)], back: Instant, resumed: Instant,
) -> Vec<String> {
    let mut faults = Vec::new();
    let mut gone: HashMap<&str, Instant> = HashMap::new();
    let (mut answered, mut lost) = (0, 0);
    for seen in seen {
        match seen.end {
            End::Answered => answered += 1,
            End::Lost if killed.contains(&seen.at) => lost += 1,
            End::Lost => faults.push(format!("seed {seed}: request {} has no answer", seen.id)),
            End::Gone(at) => drop(gone.insert(&seen.id, at)),
        }
    }
    let mut late = Vec::new();
    for arrivals in served.iter().map(|(_, arrivals)| arrivals).chain([hanging]) {
        arrivals.change(|arrivals| {
            for (id, came) in arrivals.iter() {
                let after = gone.get(id.as_str()).map_or(Duration::ZERO, |went| came.duration_since(*went));
                if after > GONE {
                    late.push(format!(
                        "seed {seed}: attempt of {id} begun {after:?} after its client had gone"
                    ));
                }
            }
        });
    }
    let begun_late = late.len();
    if begun_late > 2 {
        faults.append(&mut late);
    }
    // The first drains, the second is somewhere else: neither gets anything more.
    for (what, (_, arrivals)) in ["drained", "moved"].iter().zip(served) {
        arrivals.change(|arrivals| {
            for (id, came) in arrivals.iter().filter(|(_, came)| *came > back + GRACE + SLACK) {
                let after = came.duration_since(back);
                // One that stood still hears of it when it goes on.
                if *came > resumed + GRACE + SLACK || !seen.iter().any(|s| s.id == *id && s.at == halted) {
                    faults.push(format!("seed {seed}: {id} was sent to a backend {after:?} after it {what}"));
                }
            }
        });
    }
    let moved_to = served[4].0.count();
    assert!(moved_to > 0, "nothing was sent to where the second is now");
    eprintln!(
        "seed {seed}: {} requests, {answered} answered, {lost} lost with killed gateways, {} of clients that went, {begun_late} \
         begun late, {} faults",
        seen.len(),
        gone.len(),
        faults.len()
    );
    assert!(answered > CLIENTS * 20 && gone.len() > CLIENTS * 4, "hardly anything was asked");
    faults
}

#[test]
fn a_fleet_keeps_its_terms_while_discovery_clients_and_gateways_fail() {
    let seeds = std::env::var("DOORCOURSE_SEEDS")
        .ok()
        .map_or(1, |s| s.parse().expect("DOORCOURSE_SEEDS is a number"));
    let faults: Vec<String> = (1..=seeds).flat_map(play).collect();
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults[..faults.len().min(20)].join("\n"));
}

/// A process that was told to shut down and stands still since, with 150 in its accept queue whose requests are written;
/// `None` where the machine took so long that the listener was closed before.
fn halted_in_its_grace(file: &Json) -> Option<(Gateway, Vec<Client>)> {
    let mut gateway = start("queue", file);
    assert!(is_served(&Client::open(gateway.address).ask("lookup", 2000), "good"));
    gateway.signal(Signal::TERM);
    gateway.line("shutting down");
    gateway.signal(Signal::STOP);
    let connect = |_| TcpStream::connect(gateway.address).ok().map(Client::over);
    let mut clients = (0..150).map(connect).collect::<Option<Vec<Client>>>()?;
    clients.iter_mut().for_each(|client| drop(client.send_ask("lookup", 2000)));
    Some((gateway, clients))
}

/// Whoever waits in the accept queue, with the request written, when the listener closes: the process stood still.
#[test]
fn who_waits_in_the_accept_queue_when_the_listener_closes_is_answered() {
    let (good, _) = backend(|_| Answer::Bytes(value("good")));
    let (discovery, counter) = (Discovery::start(vec![host("b0", good.address, "active")]), Counter::start());
    let mut file = config(&discovery, &counter);
    // Room for all of them: a table that is full of requests is another matter.
    file["limits"]["sockets"] = json!(1024);
    let halted = (0..5).find_map(|_| halted_in_its_grace(&file));
    let (mut gateway, mut clients) =
        halted.expect("the machine is too slow for a grace of 0.7 s, five times");
    // The listener closes 0.7 s after the word.
    std::thread::sleep(Duration::from_millis(750));
    gateway.signal(Signal::CONT);
    let lost = clients.iter_mut().filter_map(|c| c.answer().is_none().then_some(())).count();
    assert_eq!(lost, 0, "of 150 whom the system had accepted");
    assert!(gateway.child.wait().unwrap().success());
}

/// An answer that is given when its connection has long been silent, in an iteration in which ages are looked at too: the
/// process stood still until both were due.
#[test]
fn an_answer_given_as_its_connection_comes_of_age_is_written() {
    let (silent, _) = backend(|_| Answer::Silence);
    let (discovery, counter) =
        (Discovery::start(vec![host("b0", silent.address, "active")]), Counter::start());
    let mut file = config(&discovery, &counter);
    longest(&mut file, LONGEST);
    let gateway = start("age", &file);
    let mut clients: Vec<Client> = (0..20).map(|_| Client::open(gateway.address)).collect();
    let asked = Instant::now();
    for client in &mut clients {
        client.send_ask("order", 5400);
    }
    std::thread::sleep(Duration::from_millis(5200).saturating_sub(asked.elapsed()));
    gateway.signal(Signal::STOP);
    std::thread::sleep(Duration::from_millis(5700).saturating_sub(asked.elapsed()));
    gateway.signal(Signal::CONT);
    let lost = clients.iter_mut().filter_map(|c| c.answer().is_none().then_some(())).count();
    assert_eq!(lost, 0, "of 20 answers");
    assert!(asked.elapsed() < LIMIT);
}

/// A table that is full of clients with requests open: whoever comes with a request is refused, not closed unseen. The
/// process stands still until the newcomers' requests are written.
#[test]
fn a_newcomer_with_a_request_is_refused_where_nobody_can_go() {
    // As many as bear a request on each connection.
    let silent: Vec<_> = (0..16).map(|_| backend(|_| Answer::Silence)).collect();
    let hosts = silent.iter().enumerate().map(|(n, (b, _))| host(&format!("b{n}"), b.address, "active"));
    let (discovery, counter) = (Discovery::start(hosts.collect()), Counter::start());
    let mut file = config(&discovery, &counter);
    file["limits"]["sockets"] = json!(64);
    file["settings"]["extra"]["has-counter"] = json!(false);
    longest(&mut file, 30_000);
    let gateway = start("full", &file);
    // A few have no connection to a backend: they are refused, and may go for newcomers.
    let DescriptorBudget { clients: full, backends: out } = DescriptorBudget::for_limit(64);
    let mut busy: Vec<Client> = (0..full).map(|_| Client::open(gateway.address)).collect();
    busy.iter_mut().for_each(|client| drop(client.send_ask("order", 29_000)));
    let asked = Instant::now();
    while silent.iter().map(|(b, _)| b.count()).sum::<usize>() < out {
        assert!(asked.elapsed() < LIMIT, "not all are out");
        std::thread::yield_now();
    }
    gateway.signal(Signal::STOP);
    let mut newcomers: Vec<Client> = (0..4 * (full - out)).map(|_| Client::open(gateway.address)).collect();
    for client in &mut newcomers {
        client.send_ask("lookup", 2000);
        client.send_ask("lookup", 2000);
    }
    gateway.signal(Signal::CONT);
    for client in &mut newcomers {
        for _ in 0..2 {
            let answer = client.answer().expect("a refusal, not an end");
            assert!(is_busy(&answer), "{answer:?}");
        }
    }
}

/// A process that shuts down ends each connection as it falls idle, and takes nothing on that would outlast the kill. The
/// order of events is that of the gateway's own clock: an answer that is due later is still to come.
#[test]
fn a_shutdown_ends_what_falls_idle_and_takes_nothing_past_the_kill() {
    // The longest time counts as 3 s; the platform kills 0.7 s later.
    const KILL: Duration = Duration::from_millis(3700);
    // It serves what comes first, so that it is not left alone, and nothing after: two connections may be read in either
    // order.
    let count = AtomicUsize::new(0);
    let (silent, _) = backend(move |command| {
        if command.connection > 1 || count.fetch_add(1, Ordering::SeqCst) > 0 {
            return Answer::Silence;
        }
        std::thread::sleep(Duration::from_millis(1200));
        Answer::Bytes(value("good"))
    });
    let (discovery, counter) =
        (Discovery::start(vec![host("b0", silent.address, "active")]), Counter::start());
    let mut file = config(&discovery, &counter);
    longest(&mut file, LONGEST);
    let mut gateway = start("kill", &file);
    let (mut early, mut busy) = (Client::open(gateway.address), Client::open(gateway.address));
    early.send_ask("order", 2500);
    silent.commands.wait("the first", |c| c.len() == 1);
    busy.send_ask("order", 3000);
    silent.commands.wait("both", |c| c.len() == 2);
    let told = Instant::now();
    gateway.signal(Signal::TERM);
    let answer = early.answer().expect("what was open is answered");
    assert!(is_served(&answer, "good"), "{answer:?}");
    early.wait_for_end();
    busy.stream.set_nonblocking(true).unwrap();
    let answered = busy.stream.peek(&mut [0; 64]).map_err(|e| e.kind());
    assert_eq!(answered, Err(std::io::ErrorKind::WouldBlock), "it stayed open until the other's answer came");
    busy.stream.set_nonblocking(false).unwrap();
    // Behind the one that is open, on a connection in use: it can't have its own time.
    busy.send_ask("order", LONGEST);
    assert!(busy.answer().is_some() && busy.answer().is_some(), "both have their answers");
    assert!(gateway.child.wait().unwrap().success());
    assert!(told.elapsed() < KILL + SLACK, "it would have been killed: {:?}", told.elapsed());
}
