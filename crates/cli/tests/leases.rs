//! Leases with real processes: a task has one holder at a time through handovers, drains, takeovers and changes of secrets.

use doorcourse_conformance::{Act, check_acts};
use doorcourse_emulators::{Relay, TaskEndpoint};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const WAIT_LIMIT: Duration = Duration::from_secs(20);
const BINARY: &str = env!("CARGO_BIN_EXE_doorcourse");
const GATEWAYS: usize = 3;

/// Three gateways whose datagrams pass a relay, and a task endpoint that their one task calls.
struct Fleet {
    folder: PathBuf,
    relay: Relay,
    task_endpoint: TaskEndpoint,
    gateways: Vec<Child>,
    logs: Vec<mpsc::Receiver<Value>>,
}

impl Fleet {
    fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("doorcourse-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let tour = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tour");
        std::fs::copy(tour.join("catalogue.graphql"), folder.join("catalogue.graphql")).expect("a schema");
        std::fs::write(folder.join("secret"), "the first secret of a fleet\n").expect("a secret");
        let relay = Relay::start(GATEWAYS, 1).expect("a relay");
        let task_endpoint = TaskEndpoint::start(false, 20.0, 1).expect("a task endpoint");
        let mut fleet = Self { folder, relay, task_endpoint, gateways: Vec::new(), logs: Vec::new() };
        for at in 0..GATEWAYS {
            fleet.write_settings(at);
            let (child, log) = fleet.serve(at, &[]);
            fleet.gateways.push(child);
            fleet.logs.push(log);
        }
        fleet
    }

    fn write_settings(&self, number: usize) {
        let tour = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tour/settings.txtpb");
        let text = std::fs::read_to_string(tour).expect("settings").replace("127.0.0.1:8080", "127.0.0.1:0");
        let peer =
            |to: usize| format!("peers {{ number: {to} address: \"{}\" }} ", self.relay.address(number, to));
        let peers: String = (0..GATEWAYS).filter(|to| *to != number).map(peer).collect();
        let gateway_settings = format!(
            "fleet {{ gateways: {GATEWAYS} number: {number} link {{ listen: \"127.0.0.1:0\" secret_file: \"secret\" \
             silence_ms: 2000 {peers} }} }}\ncounter {{ address: \"127.0.0.1:9\" }}\n\
             admin {{ socket: \"g{number}.sock\" }}\nleases {{ length_ms: 600 tasks {{ name: \"bill\" \
             address: \"{}\" every_ms: 20 needs_ms: 150 }} }}\n",
            self.task_endpoint.address()
        );
        std::fs::write(self.folder.join(format!("g{number}.txtpb")), text + &gateway_settings)
            .expect("settings");
    }

    /// Starts a process and waits until its link is up.
    fn serve(&self, at: usize, extra_arguments: &[&str]) -> (Child, mpsc::Receiver<Value>) {
        let mut command = Command::new(BINARY);
        command
            .args(["serve", "--config"])
            .arg(self.folder.join(format!("g{at}.txtpb")))
            .args(extra_arguments);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the binary starts");
        let lines = BufReader::new(child.stderr.take().expect("piped"));
        let (sender, log) = mpsc::channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let _ = sender.send(serde_json::from_str(&line).unwrap_or_default());
            }
        });
        let link_up = wait_for_log(&log, "link up");
        self.relay.set_destination(
            at,
            link_up["address"].as_str().and_then(|a| a.parse().ok()).expect("an address"),
        );
        (child, log)
    }

    /// Runs `ctl` at a gateway; returns whether it succeeded, and its output as JSON or text.
    fn ctl(&self, at: usize, arguments: &[&str]) -> (bool, Value) {
        let mut command = Command::new(BINARY);
        command.args(["ctl", "--socket"]).arg(self.folder.join(format!("g{at}.sock"))).args(arguments);
        let output = command.output().expect("ctl runs");
        let text =
            String::from_utf8_lossy(if output.status.success() { &output.stdout } else { &output.stderr })
                .into_owned();
        (output.status.success(), serde_json::from_str(&text).unwrap_or(Value::String(text)))
    }

    /// Waits until a gateway other than these has acted, and returns its number.
    fn wait_for_act(&self, except: &[usize]) -> usize {
        let (started_at, before) = (Instant::now(), self.task_endpoint.acts().len());
        loop {
            let acts = self.task_endpoint.acts();
            let new =
                acts[before..].iter().rev().find(|a| a.accepted && !except.contains(&(a.gateway as usize)));
            if let Some(act) = new {
                return act.gateway as usize;
            }
            assert!(
                started_at.elapsed() < WAIT_LIMIT,
                "no gateway other than {except:?} acts: {}",
                self.describe_leases(before)
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a gateway other than this one has acted, and returns its number. A lease that this gateway holds is
    /// handed over: every gateway that votes may also hold it.
    fn move_lease_from(&self, gateway: usize) -> usize {
        let started_at = Instant::now();
        loop {
            let holder = self.wait_for_act(&[]);
            if holder != gateway {
                return holder;
            }
            assert!(started_at.elapsed() < WAIT_LIMIT, "gateway {gateway} keeps the lease");
            // Fails where the lease was lost in the meantime; then the next act shows the holder.
            let to = ((gateway + 1) % GATEWAYS).to_string();
            let _ = self.ctl(gateway, &["hand-over", "bill", &to]);
        }
    }

    /// The acts of each gateway since the act number `first`, and the state of the lease at each, for a failed wait.
    fn describe_leases(&self, first: usize) -> String {
        let acts = self.task_endpoint.acts();
        let mut description = String::new();
        for gateway in 0..GATEWAYS {
            let is_own = |act: &&Act| act.gateway as usize == gateway;
            let (accepted, refused): (Vec<_>, Vec<_>) =
                acts[first..].iter().filter(is_own).partition(|act| act.accepted);
            let (_, leases) = self.ctl(gateway, &["leases"]);
            let (accepted, refused) = (accepted.len(), refused.len());
            let _ = writeln!(
                description,
                "gateway {gateway}: {accepted} acts accepted, {refused} refused, {leases}"
            );
        }
        description
    }

    fn assert_no_violations(&self) {
        let violations = check_acts(&self.task_endpoint.acts(), true);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.gateways {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn wait_for_log(log: &mpsc::Receiver<Value>, text: &str) -> Value {
    let mut seen = Vec::new();
    while let Ok(line) = log.recv_timeout(WAIT_LIMIT) {
        if line["message"] == text {
            return line;
        }
        seen.push(line.to_string());
    }
    panic!("no {text:?} in {seen:#?}");
}

#[test]
fn a_task_goes_by_hand_and_at_a_drain_and_people_see_it() {
    let mut fleet = Fleet::start("hand");
    let holder = fleet.wait_for_act(&[]);
    let (_, reply) = fleet.ctl(holder, &["leases"]);
    let task = &reply["tasks"][0];
    assert_eq!(
        (&task["task"], &task["here"], &reply["votes"]),
        (&"bill".into(), &"held".into(), &true.into()),
        "{reply}"
    );
    assert_eq!(task["granted_to"], holder, "{reply}");
    let (_, reply) = fleet.ctl(holder, &["peers"]);
    let all_heard = reply["peers"]
        .as_array()
        .expect("peers")
        .iter()
        .all(|p| p["heard_ms_ago"].is_u64() && p["silent"] == false);
    assert!(all_heard, "{reply}");
    // Only the holder can hand over its task, and only to a gateway of the fleet.
    let to = (holder + 1) % GATEWAYS;
    let (succeeded, error) = fleet.ctl(to, &["hand-over", "bill", "0"]);
    assert!(!succeeded && error.to_string().contains("not held by this gateway"), "{error}");
    assert!(
        !fleet.ctl(holder, &["hand-over", "bill", "9"]).0 && !fleet.ctl(holder, &["hand-over", "tax", "1"]).0
    );
    assert!(fleet.ctl(holder, &["hand-over", "bill", &to.to_string()]).0);
    assert_eq!(fleet.wait_for_act(&[holder]), to);
    // A drain releases the lease: the others need not wait until it expires.
    let log = fleet.logs.remove(to);
    kill_process(Pid::from_child(&fleet.gateways[to]), Signal::TERM).expect("signalled");
    let lease_lost = wait_for_log(&log, "lease lost");
    assert_eq!(lease_lost["given_back"], true);
    fleet.wait_for_act(&[to]);
    assert!(fleet.gateways[to].wait().expect("it ends").success());
    fleet.assert_no_violations();
}

/// Guards against a lease that is released while a call under it is on its way to a receiver that does not check tokens.
#[test]
fn an_act_is_over_before_its_lease_is_handed_over() {
    const HAND_OVERS: usize = 5;
    /// Calls that arrive in this time after a hand-over begins to be prepared are delayed, in ms.
    const DELAYED_ARRIVALS_MS: f64 = 60.0;
    /// Longer than a transfer takes, and short enough that the call's deadline still permits the act, in ms.
    const CALL_DELAY_MS: f64 = 110.0;
    /// Longer than the time between two calls of the holder.
    const UNTIL_A_CALL_IS_IN_FLIGHT: Duration = Duration::from_millis(45);
    let fleet = Fleet::start("late");
    for _ in 0..HAND_OVERS {
        let holder = fleet.wait_for_act(&[]);
        fleet.task_endpoint.delay_calls(DELAYED_ARRIVALS_MS, CALL_DELAY_MS);
        std::thread::sleep(UNTIL_A_CALL_IS_IN_FLIGHT);
        let to = ((holder + 1) % GATEWAYS).to_string();
        assert!(fleet.ctl(holder, &["hand-over", "bill", &to]).0);
        fleet.wait_for_act(&[holder]);
    }
    fleet.assert_no_violations();
}

#[test]
fn who_takes_over_votes_again_once_the_old_process_lets_go() {
    let mut fleet = Fleet::start("over");
    fleet.wait_for_act(&[]);
    let (new, log) = fleet.serve(0, &["--take-over"]);
    let mut old = std::mem::replace(&mut fleet.gateways[0], new);
    assert!(old.wait().expect("it ends").success());
    // The new process does not vote until the longest lease has passed.
    let started_at = Instant::now();
    while fleet.ctl(0, &["leases"]).1["votes"] != true {
        assert!(started_at.elapsed() < WAIT_LIMIT, "it never votes");
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(log);
    // With another gateway killed, a majority needs the vote of the new process.
    let killed = fleet.move_lease_from(0);
    let _ = fleet.gateways[killed].kill();
    fleet.wait_for_act(&[killed]);
    fleet.assert_no_violations();
}

#[test]
fn secrets_change_one_gateway_behind_the_other_and_none_is_cut_off() {
    let fleet = Fleet::start("secret");
    fleet.wait_for_act(&[]);
    let (first, second) = ("the first secret of a fleet\n", "the second secret of a fleet\n");
    for text in [format!("{first}{second}"), format!("{second}{first}"), second.to_owned()] {
        std::fs::write(fleet.folder.join("secret"), text).expect("a secret");
        for at in 0..GATEWAYS {
            assert!(fleet.ctl(at, &["reload"]).0);
        }
    }
    fleet.wait_for_act(&[]);
    for at in 0..GATEWAYS {
        let (_, reply) = fleet.ctl(at, &["peers"]);
        assert_eq!(reply["dropped"]["forged"], 0, "{reply}");
    }
    // Datagrams under a secret that the others do not have are dropped and counted.
    std::fs::write(fleet.folder.join("secret"), "a secret of nobody else\n").expect("a secret");
    assert!(fleet.ctl(0, &["reload"]).0);
    let started_at = Instant::now();
    while fleet.ctl(1, &["peers"]).1["dropped"]["forged"] == 0 {
        assert!(started_at.elapsed() < WAIT_LIMIT, "nothing forged is seen");
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.wait_for_act(&[0]);
    fleet.assert_no_violations();
}
