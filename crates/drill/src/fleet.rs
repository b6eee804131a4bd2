//! A small fleet: gateway processes of this same binary, and the stand-ins around them.

use crate::clients::{CLASSES, PLANS};
use crate::script::StateWhat;
use anyhow::{Context, bail};
use doorcourse_conformance::Event;
use doorcourse_emulators::{
    CATALOGUE, Command as Order, EmulatorServer, EmulatorServerSpec, ListedNode, NodeFault, NodeListFile,
    NodeSpec, Recorder, Relay,
};
use doorcourse_event_loop::Clock;
use rustix::process::{Pid, Signal, kill_process};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The gateway's binary.
    pub binary: PathBuf,
    /// Where settings, the list and logs lie.
    pub folder: PathBuf,
    pub gateways: usize,
    pub nodes: usize,
    pub seed: u64,
    /// How long a cold node takes to warm, in ms.
    pub warm: f64,
    /// Between "not ready" and closed listeners, and what is out has, in ms.
    pub notice: f64,
    pub drain: f64,
    /// Whether gateways keep a state file.
    pub state: bool,
    /// An httpd configuration that the node list is imported from; empty for none.
    pub httpd: String,
    /// Whether suspect nodes are tried by one gateway for all, and whether the choice of nodes goes by its word.
    pub suspects: Option<bool>,
    /// The customers: name, plan, key.
    pub customers: Vec<(String, &'static str, String)>,
}

/// What a cold node starts with, and what fells it.
pub const COLD_SHARE: f64 = 0.25;
pub const FALL_MULTIPLE: f64 = 2.0;
pub const FALL_TIME: f64 = 1000.0;
/// How often gateways look at the list, and the grace of a drain behind that, in ms.
pub const POLL: f64 = 100.0;
pub const GRACE: f64 = 250.0;
const MARGIN: f64 = 60.0;

/// A gateway's process that was begun and has not told where it serves.
struct Begun {
    child: Child,
    serves: mpsc::Receiver<SocketAddr>,
    link: mpsc::Receiver<SocketAddr>,
}

/// A running fleet.
pub struct Fleet {
    spec: FleetSpec,
    pub clock: Clock,
    pub recorder: Recorder,
    pub world: EmulatorServer,
    pub list: NodeListFile,
    /// Where each gateway listens; a restarted one has a new port.
    pub addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// Which gateways want clients.
    pub open: Arc<Mutex<Vec<bool>>>,
    gateways: Vec<Option<Child>>,
    /// What all plans' figures are multiplied by.
    times: f64,
    /// The gateways' datagrams to each other.
    relay: Option<Relay>,
}

impl Fleet {
    /// Starts stand-ins and gateways, and waits until every gateway serves.
    pub fn start(spec: FleetSpec) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&spec.folder).with_context(|| spec.folder.display().to_string())?;
        let clock = Clock::default();
        let recorder = Recorder::new(clock);
        let node = |at: usize| NodeSpec {
            name: format!("node-{at}"),
            // httpd's files know no cells.
            cell: if spec.httpd.is_empty() { (at % 2) as u64 } else { 0 },
            cores: 2,
            queue: 40,
            cold_share: COLD_SHARE,
            warm_up_ms: spec.warm,
            fall_multiple: FALL_MULTIPLE,
            fall_window_ms: FALL_TIME,
            key_retention_ms: 4000.0,
        };
        let nodes: Vec<NodeSpec> = (0..spec.nodes).map(node).collect();
        let world = EmulatorServerSpec {
            nodes: nodes.clone(),
            listen: None,
            counter: true,
            password: Some("drill".into()),
            seed: spec.seed,
            service_time_spread: 0.3,
            speed: 1.0,
            discard_records: false,
        };
        let world = EmulatorServer::start(&world, clock, recorder.clone())?;
        let listed = nodes.iter().zip(&world.node_addresses).map(|(node, address)| ListedNode {
            name: node.name.clone(),
            address: *address,
            cell: node.cell,
            listed: true,
            draining: false,
            started_ms: None,
        });
        let list = NodeListFile::new(spec.folder.join("nodes.txtpb"), listed.collect(), recorder.clone());
        if spec.httpd.is_empty() {
            list.write()?;
        } else {
            import(&spec, &world.node_addresses, "")?;
        }
        std::fs::write(spec.folder.join("catalogue.graphql"), CATALOGUE)?;
        let none = SocketAddr::from(([127, 0, 0, 1], 9));
        let addresses = Arc::new(Mutex::new(vec![none; spec.gateways]));
        let gateways = (0..spec.gateways).map(|_| None).collect();
        let open = Arc::new(Mutex::new(vec![false; spec.gateways]));
        let relay = spec.suspects.map(|_| Relay::start(spec.gateways, spec.seed)).transpose()?;
        std::fs::write(spec.folder.join("secret"), "the secret of a drill's fleet\n")?;
        let mut fleet =
            Self { spec, relay, clock, recorder, world, list, addresses, open, gateways, times: 1.0 };
        fleet.start_gateways(&(0..fleet.gateways.len()).collect::<Vec<_>>())?;
        Ok(fleet)
    }

    /// How a gateway reaches the others.
    fn link(&self, number: usize) -> String {
        let Some(relay) = &self.relay else { return String::new() };
        let peers = (0..self.spec.gateways).filter(|to| *to != number);
        let peer = |to| format!("peers {{ number: {to} address: \"{}\" }} ", relay.address(number, to));
        let peers: String = peers.map(peer).collect();
        format!("link {{ listen: \"127.0.0.1:0\" secret_file: \"secret\" {peers} }}")
    }

    fn settings(&self, number: usize) -> anyhow::Result<PathBuf> {
        let counter = self.world.counter_address.context("the fleet's counter has no address")?;
        let mut text = format!(
            "fleet {{ gateways: {} number: {number} {} }}\nlisten: \"127.0.0.1:0\"\n\
             counter {{ address: \"{counter}\" password: \"drill\" timeout_ms: 50 dead_after_ms: 400 longest_wait_ms: 400 }}\n\
             node_list {{ file: \"nodes.txtpb\" poll_ms: {POLL} }}\n\
             graphql {{ schema_file: \"catalogue.graphql\" }}\n\
             cold_nodes {{ share: {COLD_SHARE} warm_ms: {} fall_multiple: {FALL_MULTIPLE} fall_ms: {FALL_TIME} }}\n\
             limits {{ answer_margin_ms: {MARGIN} }}\nlife {{ notice_ms: {} drain_ms: {} quiet_ms: 300 give_back_ms: 300 }}\n\
             admin {{ socket: \"gateway-{number}.sock\" }}\n\
             attempts {{ most: 3 longest_advice_ms: 2000 }}\n",
            self.spec.gateways,
            self.link(number),
            self.spec.warm,
            self.spec.notice,
            self.spec.drain
        );
        if let Some(apply) = self.spec.suspects {
            writeln!(text, "leases {{ length_ms: 1500 suspects {{ apply: {apply} timeout_ms: 300 }} }}")?;
        }
        if self.spec.state {
            writeln!(text, "state {{ file: \"gateway-{number}.state\" every_ms: 200 }}")?;
        }
        for class in CLASSES {
            let effect = class.effect();
            let (name, target_ms, give_up_ms, worth) =
                (class.name, class.target_ms, class.give_up_ms, class.worth);
            write!(
                text,
                "classes {{ name: \"{name}\" aim_ms: {target_ms} give_up_ms: {give_up_ms} worth: {worth} {effect}"
            )?;
            class.queries.iter().try_for_each(|f| write!(text, " query_fields: \"{f}\""))?;
            class.mutations.iter().try_for_each(|f| write!(text, " mutation_fields: \"{f}\""))?;
            text.push_str(" }\n");
        }
        for plan in PLANS {
            let (name, times, slack) = (plan.name, self.times, plan.ceiling_slack);
            let (rate, burst) = (plan.rate * times, plan.burst * times);
            let (ceiling, most) = (plan.ceiling_rate * times, plan.ceiling_burst * times);
            writeln!(
                text,
                "plans {{ name: \"{name}\" rate: {rate} burst: {burst} ceiling_rate: {ceiling} \
                ceiling_burst: {most} ceiling_slack: {slack} }}"
            )?;
        }
        for (name, plan, key) in &self.spec.customers {
            let digest: String = Sha256::digest(key).iter().map(|b| format!("{b:02x}")).collect();
            writeln!(text, "customers {{ name: \"{name}\" plan: \"{plan}\" key_sha256: \"{digest}\" }}")?;
        }
        let path = self.spec.folder.join(format!("gateway-{number}.txtpb"));
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts gateways, all at once, and waits until each tells where it serves.
    pub fn start_gateways(&mut self, which: &[usize]) -> anyhow::Result<()> {
        let begun = which.iter().map(|at| self.begin(*at, &[])).collect::<anyhow::Result<Vec<_>>>()?;
        // All are waited for, so that one that does not come up leaves no other behind.
        let came: Vec<anyhow::Result<Child>> =
            which.iter().zip(begun).map(|(at, begun)| self.came(*at, begun)).collect();
        for (at, child) in which.iter().zip(came) {
            self.gateways[*at] = Some(child?);
            self.recorder.record(Event::GatewayUp { gateway: *at });
            self.want(*at, true);
        }
        Ok(())
    }

    fn begin(&self, at: usize, more: &[&str]) -> anyhow::Result<Begun> {
        let settings = self.settings(at)?;
        // No two share a seed, and a restarted one takes a fresh one.
        let seed = self.spec.seed.wrapping_mul(1000) + at as u64 + self.clock.now() as u64 % 997 * 10;
        let mut child = Command::new(&self.spec.binary)
            .args(["serve", "--seed", &seed.to_string(), "--config"])
            .arg(&settings)
            .args(more)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| self.spec.binary.display().to_string())?;
        let log = self.spec.folder.join(format!("gateway-{at}.log"));
        let lines = child.stderr.take().context("a gateway without a log")?;
        let (told, serves) = mpsc::channel();
        let (linked, link) = mpsc::channel();
        std::thread::spawn(move || copy_log(&log, BufReader::new(lines), &told, &linked));
        Ok(Begun { child, serves, link })
    }

    fn came(&self, at: usize, begun: Begun) -> anyhow::Result<Child> {
        let Begun { mut child, serves, link } = begun;
        let Ok(address) = serves.recv_timeout(Duration::from_secs(20)) else {
            let _ = child.kill();
            let _ = child.wait();
            bail!("gateway {at} did not come to serve; see its log in {}", self.spec.folder.display());
        };
        self.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[at] = address;
        if let Some(relay) = &self.relay {
            relay.set_destination(
                at,
                link.recv_timeout(Duration::from_secs(20)).context("a gateway without a link")?,
            );
        }
        Ok(child)
    }

    fn spawn(&self, at: usize, more: &[&str]) -> anyhow::Result<Child> {
        self.came(at, self.begin(at, more)?)
    }

    fn want(&self, at: usize, wanted: bool) {
        self.open.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[at] = wanted;
    }

    fn signal(&self, at: usize, signal: Signal) -> anyhow::Result<()> {
        let child = self.gateways[at].as_ref().with_context(|| format!("gateway {at} does not run"))?;
        Ok(kill_process(Pid::from_child(child), signal)?)
    }

    /// Tells a gateway to stop in order, once or twice, and waits until it ended.
    pub fn stop_gateway(&mut self, at: usize, times: u32) -> anyhow::Result<()> {
        // Whoever routes clients hears "not ready" within the notice.
        self.want(at, false);
        self.signal(at, Signal::TERM)?;
        std::thread::sleep(Duration::from_secs_f64(self.spec.notice / 1000.0));
        self.recorder.record(Event::GatewayDown { gateway: at });
        for _ in 1..times {
            self.signal(at, Signal::TERM)?;
        }
        self.ended(at)
    }

    fn ended(&mut self, at: usize) -> anyhow::Result<()> {
        let mut child = self.gateways[at].take().with_context(|| format!("gateway {at} does not run"))?;
        self.wait(at, &mut child)
    }

    fn wait(&self, at: usize, child: &mut Child) -> anyhow::Result<()> {
        let status = child.wait()?;
        if !status.success() {
            bail!("gateway {at} ended with {status}; see its log in {}", self.spec.folder.display());
        }
        Ok(())
    }

    /// A new process takes a gateway's sockets over; the old one drains and is waited for.
    pub fn take_over(&mut self, at: usize) -> anyhow::Result<()> {
        let new = self.spawn(at, &["--take-over"])?;
        let mut old = self.gateways[at].replace(new).with_context(|| format!("gateway {at} does not run"))?;
        self.wait(at, &mut old)
    }

    /// All gateways take settings with the plans' figures so many times.
    pub fn reload(&mut self, times: f64) -> anyhow::Result<()> {
        self.times = times;
        for at in 0..self.gateways.len() {
            self.settings(at)?;
            let reply = self.call(at, "reload")?;
            if let Some(why) = reply["error"]["message"].as_str() {
                bail!("gateway {at} refused its new settings: {why}");
            }
        }
        Ok(())
    }

    /// All gateways are given settings with a fault, which they must refuse by place.
    pub fn reload_bad(&mut self) -> anyhow::Result<()> {
        for at in 0..self.gateways.len() {
            let path = self.settings(at)?;
            let good = std::fs::read_to_string(&path)?;
            std::fs::write(&path, good.replacen("burst: ", "burst: -", 1))?;
            let reply = self.call(at, "reload")?;
            std::fs::write(&path, good)?;
            let why = reply["error"]["message"].as_str().unwrap_or("");
            if !why.contains("burst") {
                bail!("gateway {at} took settings with a fault: {reply}");
            }
        }
        Ok(())
    }

    /// Where a gateway's state file is first written, something is in its way; or no more.
    pub fn spoil_state(&self, at: usize, spoil: bool) -> anyhow::Result<()> {
        let beside = self.spec.folder.join(format!("gateway-{at}.state.new"));
        if spoil {
            // The gateway may be just writing there: its file is moved away in a moment.
            let until = self.clock.now() + 5000.0;
            while std::fs::create_dir(&beside).is_err() {
                anyhow::ensure!(self.clock.now() < until, "{}: cannot be put in the way", beside.display());
                std::thread::sleep(Duration::from_millis(1));
            }
        } else if beside.is_dir() {
            std::fs::remove_dir(&beside)?;
        }
        Ok(())
    }

    /// What a gateway that does not run finds on its disk when it starts.
    pub fn state_of(&self, at: usize, what: Option<&StateWhat>) -> anyhow::Result<()> {
        anyhow::ensure!(self.gateways[at].is_none(), "gateway {at} runs: its state file is its own");
        let path = |at: usize| self.spec.folder.join(format!("gateway-{at}.state"));
        let file = path(at);
        match what {
            Some(StateWhat::Removed(_)) => {
                std::fs::remove_file(&file).with_context(|| file.display().to_string())?
            }
            Some(StateWhat::Torn(_)) => {
                let bytes = std::fs::read(&file).with_context(|| file.display().to_string())?;
                std::fs::write(&file, &bytes[..bytes.len() / 2])?;
            }
            Some(StateWhat::OldS(seconds)) => {
                let text = std::fs::read_to_string(&file).with_context(|| file.display().to_string())?;
                let (head, body) = text.split_once('\n').context("a state file without a head")?;
                let mut head: serde_json::Value = serde_json::from_str(head)?;
                head["written_ms"] = (self.clock.now() - seconds * 1000.0).into();
                std::fs::write(&file, format!("{head}\n{body}"))?;
            }
            Some(StateWhat::OfGateway(other)) => {
                let other = path(*other as usize);
                std::fs::copy(&other, &file).with_context(|| other.display().to_string())?;
            }
            None => bail!("a state file to which nothing is done"),
        }
        Ok(())
    }

    /// The node list is imported anew, with this behind the configuration.
    pub fn import(&self, more: &str) -> anyhow::Result<()> {
        import(&self.spec, &self.world.node_addresses, more)
    }

    /// The list's file holds nonsense, until it is written again.
    pub fn spoil_list(&self) -> anyhow::Result<()> {
        Ok(std::fs::write(self.spec.folder.join("nodes.txtpb"), "nodes { name: ")?)
    }

    /// How many gateways there are, and which run.
    #[must_use]
    pub fn running(&self) -> Vec<bool> {
        self.gateways.iter().map(Option::is_some).collect()
    }

    /// The process of a gateway.
    #[must_use]
    pub fn process(&self, at: usize) -> Option<u32> {
        self.gateways[at].as_ref().map(Child::id)
    }

    /// One call on a gateway's admin socket.
    pub fn call(&self, at: usize, method: &str) -> anyhow::Result<serde_json::Value> {
        use std::io::Write as _;
        let path = self.spec.folder.join(format!("gateway-{at}.sock"));
        let mut stream = UnixStream::connect(&path).with_context(|| path.display().to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(format!("{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"{method}\"}}\n").as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(serde_json::from_str(&line)?)
    }

    /// Kills a gateway outright.
    pub fn kill_gateway(&mut self, at: usize) -> anyhow::Result<()> {
        self.recorder.record(Event::GatewayDown { gateway: at });
        if let Some(mut child) = self.gateways[at].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Tells a node something.
    pub fn node(&self, at: usize, fault: NodeFault) {
        self.world.send(Order::Node(at, fault));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for mut child in self.gateways.iter_mut().filter_map(Option::take) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Imports the node list as a person would, by the command.
fn import(spec: &FleetSpec, nodes: &[SocketAddr], more: &str) -> anyhow::Result<()> {
    let file = spec.folder.join("httpd.conf");
    std::fs::write(&file, format!("{}\n{more}\n", spec.httpd))?;
    let defines = nodes.iter().enumerate().flat_map(|(at, n)| ["-D".to_owned(), format!("NODE{at}={n}")]);
    let done = Command::new(&spec.binary)
        .args(["import", "apache", "--strict", "--out"])
        .arg(spec.folder.join("nodes.txtpb"))
        .args(defines)
        .arg(&file)
        .output()
        .with_context(|| spec.binary.display().to_string())?;
    anyhow::ensure!(done.status.success(), "import: {}", String::from_utf8_lossy(&done.stderr));
    Ok(())
}

/// Copies a gateway's log to its file and tells the address in it.
fn copy_log(
    path: &Path, lines: impl BufRead, told: &mpsc::Sender<SocketAddr>, linked: &mpsc::Sender<SocketAddr>,
) {
    use std::io::Write as _;
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    let Ok(mut file) = file else { return };
    for line in lines.lines() {
        let Ok(line) = line else { return };
        let _ = writeln!(file, "{line}");
        let json: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
        let Some(address) = json["address"].as_str().and_then(|a| a.parse().ok()) else { continue };
        match json["message"].as_str() {
            Some("serving") => drop(told.send(address)),
            Some("link up") => drop(linked.send(address)),
            _ => {}
        }
    }
}
