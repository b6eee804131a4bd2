//! A small fleet: gateway processes of this same binary and the emulators around them.

use crate::clients::{CLASSES, PLANS};
use crate::script::StateWhat;
use anyhow::{Context, bail};
use doorcourse_conformance::Event;
use doorcourse_emulators::{
    CATALOGUE, Command as EmulatorCommand, EmulatorServer, EmulatorServerSpec, ListedNode, NodeFault,
    NodeListFile, NodeSpec, Recorder, Relay,
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

/// Specification of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The gateway's binary.
    pub binary: PathBuf,
    /// Folder for settings, the node list, state files and logs.
    pub folder: PathBuf,
    pub gateways: usize,
    pub nodes: usize,
    pub seed: u64,
    /// Time until a cold node is warm, in ms.
    pub warm_up_ms: f64,
    /// Time from "not ready" to the close of the listeners when a gateway stops.
    pub notice_ms: f64,
    /// Time that open requests get when a gateway stops.
    pub drain_ms: f64,
    /// Whether gateways write a state file.
    pub keep_state: bool,
    /// httpd configuration from which the node list is imported; empty if the list is written directly.
    pub httpd: String,
    /// `Some` if one gateway probes suspect nodes for all; the value says whether the gateways apply the results when they
    /// choose nodes.
    pub suspects: Option<bool>,
    /// Name, plan and key of each customer.
    pub customers: Vec<(String, &'static str, String)>,
}

/// Share of its capacity that a cold node starts with.
pub const COLD_SHARE: f64 = 0.25;
/// A cold node crashes when it is sent more than this multiple of its current capacity within the window.
pub const FALL_MULTIPLE: f64 = 2.0;
/// Window for `FALL_MULTIPLE`.
pub const FALL_WINDOW_MS: f64 = 1000.0;
/// Interval at which gateways read the node list.
pub const LIST_POLL_MS: f64 = 100.0;
/// Grace period of a drain after a gateway has read the list.
pub const DRAIN_GRACE_MS: f64 = 250.0;
/// Setting `answer_margin_ms` of the gateways.
const ANSWER_MARGIN_MS: f64 = 60.0;

/// A gateway process that was spawned but does not serve yet.
struct StartingGateway {
    child: Child,
    serving_address: mpsc::Receiver<SocketAddr>,
    link_address: mpsc::Receiver<SocketAddr>,
}

/// A running fleet.
pub struct Fleet {
    spec: FleetSpec,
    pub clock: Clock,
    pub recorder: Recorder,
    pub emulators: EmulatorServer,
    pub list: NodeListFile,
    /// Address of each gateway; a restarted gateway gets a new port.
    pub addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// Which gateways accept new clients.
    pub accepting: Arc<Mutex<Vec<bool>>>,
    gateways: Vec<Option<Child>>,
    /// Factor on the limits of all plans.
    plan_factor: f64,
    /// Relay for the datagrams between gateways, if they have a link.
    relay: Option<Relay>,
}

impl Fleet {
    /// Starts the emulators and gateways and waits until every gateway serves.
    pub fn start(spec: FleetSpec) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&spec.folder).with_context(|| spec.folder.display().to_string())?;
        let clock = Clock::default();
        let recorder = Recorder::new(clock);
        let node = |index: usize| NodeSpec {
            name: format!("node-{index}"),
            // The configuration of httpd has no cells.
            cell: if spec.httpd.is_empty() { (index % 2) as u64 } else { 0 },
            cores: 2,
            queue: 40,
            cold_share: COLD_SHARE,
            warm_up_ms: spec.warm_up_ms,
            fall_multiple: FALL_MULTIPLE,
            fall_window_ms: FALL_WINDOW_MS,
            key_retention_ms: 4000.0,
        };
        let nodes: Vec<NodeSpec> = (0..spec.nodes).map(node).collect();
        let emulators = EmulatorServerSpec {
            nodes: nodes.clone(),
            listen: None,
            counter: true,
            password: Some("drill".into()),
            seed: spec.seed,
            service_time_spread: 0.3,
            speed: 1.0,
            discard_records: false,
        };
        let emulators = EmulatorServer::start(&emulators, clock, recorder.clone())?;
        let listed = nodes.iter().zip(&emulators.node_addresses).map(|(node, address)| ListedNode {
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
            run_import(&spec, &emulators.node_addresses, "")?;
        }
        std::fs::write(spec.folder.join("catalogue.graphql"), CATALOGUE)?;
        let no_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let addresses = Arc::new(Mutex::new(vec![no_address; spec.gateways]));
        let gateways = (0..spec.gateways).map(|_| None).collect();
        let accepting = Arc::new(Mutex::new(vec![false; spec.gateways]));
        let relay = spec.suspects.map(|_| Relay::start(spec.gateways, spec.seed)).transpose()?;
        std::fs::write(spec.folder.join("secret"), "the secret of a drill's fleet\n")?;
        let mut fleet = Self {
            spec,
            relay,
            clock,
            recorder,
            emulators,
            list,
            addresses,
            accepting,
            gateways,
            plan_factor: 1.0,
        };
        fleet.start_gateways(&(0..fleet.gateways.len()).collect::<Vec<_>>())?;
        Ok(fleet)
    }

    /// Returns the settings by which a gateway reaches the others.
    fn link_settings(&self, number: usize) -> String {
        let Some(relay) = &self.relay else { return String::new() };
        let peers = (0..self.spec.gateways).filter(|to| *to != number);
        let peer = |to| format!("peers {{ number: {to} address: \"{}\" }} ", relay.address(number, to));
        let peers: String = peers.map(peer).collect();
        format!("link {{ listen: \"127.0.0.1:0\" secret_file: \"secret\" {peers} }}")
    }

    /// Writes the settings of a gateway and returns their path.
    fn write_settings(&self, number: usize) -> anyhow::Result<PathBuf> {
        let counter = self.emulators.counter_address.context("the counter has no address")?;
        let mut text = format!(
            "fleet {{ gateways: {} number: {number} {} }}\nlisten: \"127.0.0.1:0\"\n\
             counter {{ address: \"{counter}\" password: \"drill\" timeout_ms: 50 dead_after_ms: 400 longest_wait_ms: 400 }}\n\
             node_list {{ file: \"nodes.txtpb\" poll_ms: {LIST_POLL_MS} }}\n\
             graphql {{ schema_file: \"catalogue.graphql\" }}\n\
             cold_nodes {{ share: {COLD_SHARE} warm_ms: {} fall_multiple: {FALL_MULTIPLE} fall_ms: {FALL_WINDOW_MS} }}\n\
             limits {{ answer_margin_ms: {ANSWER_MARGIN_MS} }}\nlife {{ notice_ms: {} drain_ms: {} quiet_ms: 300 give_back_ms: 300 }}\n\
             admin {{ socket: \"gateway-{number}.sock\" }}\n\
             attempts {{ most: 3 longest_advice_ms: 2000 }}\n",
            self.spec.gateways,
            self.link_settings(number),
            self.spec.warm_up_ms,
            self.spec.notice_ms,
            self.spec.drain_ms
        );
        if let Some(apply) = self.spec.suspects {
            writeln!(text, "leases {{ length_ms: 1500 suspects {{ apply: {apply} timeout_ms: 300 }} }}")?;
        }
        if self.spec.keep_state {
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
            let (name, factor, slack) = (plan.name, self.plan_factor, plan.ceiling_slack);
            let (rate, burst) = (plan.rate * factor, plan.burst * factor);
            let (ceiling, most) = (plan.ceiling_rate * factor, plan.ceiling_burst * factor);
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

    /// Starts several gateways at once and waits until each of them serves.
    pub fn start_gateways(&mut self, gateways: &[usize]) -> anyhow::Result<()> {
        let starting = gateways
            .iter()
            .map(|gateway| self.spawn_gateway(*gateway, &[]))
            .collect::<anyhow::Result<Vec<_>>>()?;
        // Waits for all of them even if one fails, so that no process is left behind.
        let started: Vec<anyhow::Result<Child>> = gateways
            .iter()
            .zip(starting)
            .map(|(gateway, starting)| self.wait_until_serving(*gateway, starting))
            .collect();
        for (gateway, child) in gateways.iter().zip(started) {
            self.gateways[*gateway] = Some(child?);
            self.recorder.record(Event::GatewayUp { gateway: *gateway });
            self.set_accepting(*gateway, true);
        }
        Ok(())
    }

    fn spawn_gateway(&self, gateway: usize, extra_args: &[&str]) -> anyhow::Result<StartingGateway> {
        let settings = self.write_settings(gateway)?;
        // Gateways get different seeds, and a restarted gateway gets a new one.
        let seed = self.spec.seed.wrapping_mul(1000) + gateway as u64 + self.clock.now() as u64 % 997 * 10;
        let mut child = Command::new(&self.spec.binary)
            .args(["serve", "--seed", &seed.to_string(), "--config"])
            .arg(&settings)
            .args(extra_args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| self.spec.binary.display().to_string())?;
        let log = self.spec.folder.join(format!("gateway-{gateway}.log"));
        let lines = child.stderr.take().context("the standard error of a gateway is not available")?;
        let (serving_sender, serving_address) = mpsc::channel();
        let (link_sender, link_address) = mpsc::channel();
        std::thread::spawn(move || copy_log(&log, BufReader::new(lines), &serving_sender, &link_sender));
        Ok(StartingGateway { child, serving_address, link_address })
    }

    fn wait_until_serving(&self, gateway: usize, starting: StartingGateway) -> anyhow::Result<Child> {
        let StartingGateway { mut child, serving_address, link_address } = starting;
        let Ok(address) = serving_address.recv_timeout(Duration::from_secs(20)) else {
            let _ = child.kill();
            let _ = child.wait();
            bail!("gateway {gateway} did not start to serve; see its log in {}", self.spec.folder.display());
        };
        self.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[gateway] = address;
        if let Some(relay) = &self.relay {
            relay.set_destination(
                gateway,
                link_address
                    .recv_timeout(Duration::from_secs(20))
                    .context("a gateway did not open its link")?,
            );
        }
        Ok(child)
    }

    fn start_gateway(&self, gateway: usize, extra_args: &[&str]) -> anyhow::Result<Child> {
        self.wait_until_serving(gateway, self.spawn_gateway(gateway, extra_args)?)
    }

    fn set_accepting(&self, gateway: usize, accepting: bool) {
        self.accepting.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[gateway] = accepting;
    }

    fn signal(&self, gateway: usize, signal: Signal) -> anyhow::Result<()> {
        let child =
            self.gateways[gateway].as_ref().with_context(|| format!("gateway {gateway} is not running"))?;
        Ok(kill_process(Pid::from_child(child), signal)?)
    }

    /// Sends SIGTERM to a gateway once or twice, as `times` says, and waits until it has exited.
    pub fn stop_gateway(&mut self, gateway: usize, times: u32) -> anyhow::Result<()> {
        // The load balancer in front of the gateways sees "not ready" within the notice.
        self.set_accepting(gateway, false);
        self.signal(gateway, Signal::TERM)?;
        std::thread::sleep(Duration::from_secs_f64(self.spec.notice_ms / 1000.0));
        self.recorder.record(Event::GatewayDown { gateway });
        for _ in 1..times {
            self.signal(gateway, Signal::TERM)?;
        }
        self.wait_for_exit(gateway)
    }

    fn wait_for_exit(&mut self, gateway: usize) -> anyhow::Result<()> {
        let mut child =
            self.gateways[gateway].take().with_context(|| format!("gateway {gateway} is not running"))?;
        self.check_exit(gateway, &mut child)
    }

    /// Waits until a process has exited; fails if its status is not success.
    fn check_exit(&self, gateway: usize, child: &mut Child) -> anyhow::Result<()> {
        let status = child.wait()?;
        if !status.success() {
            bail!("gateway {gateway} exited with {status}; see its log in {}", self.spec.folder.display());
        }
        Ok(())
    }

    /// Starts a new process that takes over a gateway's sockets, and waits until the old one has drained and exited.
    pub fn take_over_gateway(&mut self, gateway: usize) -> anyhow::Result<()> {
        let new_process = self.start_gateway(gateway, &["--take-over"])?;
        let mut old_process = self.gateways[gateway]
            .replace(new_process)
            .with_context(|| format!("gateway {gateway} is not running"))?;
        self.check_exit(gateway, &mut old_process)
    }

    /// Reloads all gateways with the limits of all plans multiplied by `factor`.
    pub fn reload(&mut self, factor: f64) -> anyhow::Result<()> {
        self.plan_factor = factor;
        for gateway in 0..self.gateways.len() {
            self.write_settings(gateway)?;
            let reply = self.call_gateway(gateway, "reload")?;
            if let Some(why) = reply["error"]["message"].as_str() {
                bail!("gateway {gateway} rejected its new settings: {why}");
            }
        }
        Ok(())
    }

    /// Reloads all gateways with invalid settings. They must reject them and name the invalid field.
    pub fn reload_invalid(&mut self) -> anyhow::Result<()> {
        for gateway in 0..self.gateways.len() {
            let path = self.write_settings(gateway)?;
            let good = std::fs::read_to_string(&path)?;
            std::fs::write(&path, good.replacen("burst: ", "burst: -", 1))?;
            let reply = self.call_gateway(gateway, "reload")?;
            std::fs::write(&path, good)?;
            let why = reply["error"]["message"].as_str().unwrap_or("");
            if !why.contains("burst") {
                bail!("gateway {gateway} accepted invalid settings: {reply}");
            }
        }
        Ok(())
    }

    /// Blocks or unblocks the writing of a gateway's state file by a directory at the path of its temporary file.
    pub fn block_state_file(&self, gateway: usize, blocked: bool) -> anyhow::Result<()> {
        let temporary = self.spec.folder.join(format!("gateway-{gateway}.state.new"));
        if blocked {
            // The gateway may be writing its temporary file, which it soon renames; so the creation is retried.
            let deadline = self.clock.now() + 5000.0;
            while std::fs::create_dir(&temporary).is_err() {
                anyhow::ensure!(
                    self.clock.now() < deadline,
                    "{}: the directory cannot be created",
                    temporary.display()
                );
                std::thread::sleep(Duration::from_millis(1));
            }
        } else if temporary.is_dir() {
            std::fs::remove_dir(&temporary)?;
        }
        Ok(())
    }

    /// Removes, damages or replaces the state file of a gateway that does not run.
    pub fn change_state_file(&self, gateway: usize, change: Option<&StateWhat>) -> anyhow::Result<()> {
        anyhow::ensure!(
            self.gateways[gateway].is_none(),
            "gateway {gateway} is running: its state file cannot be changed"
        );
        let path = |gateway: usize| self.spec.folder.join(format!("gateway-{gateway}.state"));
        let file = path(gateway);
        match change {
            Some(StateWhat::Removed(_)) => {
                std::fs::remove_file(&file).with_context(|| file.display().to_string())?
            }
            Some(StateWhat::Torn(_)) => {
                let bytes = std::fs::read(&file).with_context(|| file.display().to_string())?;
                std::fs::write(&file, &bytes[..bytes.len() / 2])?;
            }
            Some(StateWhat::OldS(seconds)) => {
                let text = std::fs::read_to_string(&file).with_context(|| file.display().to_string())?;
                let (head, body) = text.split_once('\n').context("the state file has no header")?;
                let mut head: serde_json::Value = serde_json::from_str(head)?;
                head["written_ms"] = (self.clock.now() - seconds * 1000.0).into();
                std::fs::write(&file, format!("{head}\n{body}"))?;
            }
            Some(StateWhat::OfGateway(other)) => {
                let other = path(*other as usize);
                std::fs::copy(&other, &file).with_context(|| other.display().to_string())?;
            }
            None => bail!("state_of: no change given"),
        }
        Ok(())
    }

    /// Imports the node list again, with extra lines at the end of the configuration.
    pub fn import_node_list(&self, extra_lines: &str) -> anyhow::Result<()> {
        run_import(&self.spec, &self.emulators.node_addresses, extra_lines)
    }

    /// Overwrites the node list with invalid text, until the next write of the list.
    pub fn corrupt_node_list(&self) -> anyhow::Result<()> {
        Ok(std::fs::write(self.spec.folder.join("nodes.txtpb"), "nodes { name: ")?)
    }

    /// Returns for each gateway whether it runs.
    #[must_use]
    pub fn running(&self) -> Vec<bool> {
        self.gateways.iter().map(Option::is_some).collect()
    }

    /// Returns the process id of a gateway, if it runs.
    #[must_use]
    pub fn process_id(&self, gateway: usize) -> Option<u32> {
        self.gateways[gateway].as_ref().map(Child::id)
    }

    /// Calls a method on a gateway's admin socket.
    pub fn call_gateway(&self, gateway: usize, method: &str) -> anyhow::Result<serde_json::Value> {
        use std::io::Write as _;
        let path = self.spec.folder.join(format!("gateway-{gateway}.sock"));
        let mut stream = UnixStream::connect(&path).with_context(|| path.display().to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(format!("{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"{method}\"}}\n").as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(serde_json::from_str(&line)?)
    }

    /// Kills a gateway with SIGKILL.
    pub fn kill_gateway(&mut self, gateway: usize) -> anyhow::Result<()> {
        self.recorder.record(Event::GatewayDown { gateway });
        if let Some(mut child) = self.gateways[gateway].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Injects a fault into an emulated node, or ends it.
    pub fn inject_node_fault(&self, node: usize, fault: NodeFault) {
        self.emulators.send(EmulatorCommand::Node(node, fault));
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

/// Imports the node list by the command that an operator uses.
fn run_import(spec: &FleetSpec, nodes: &[SocketAddr], extra_lines: &str) -> anyhow::Result<()> {
    let file = spec.folder.join("httpd.conf");
    std::fs::write(&file, format!("{}\n{extra_lines}\n", spec.httpd))?;
    let address_args =
        nodes.iter().enumerate().flat_map(|(index, n)| ["-D".to_owned(), format!("NODE{index}={n}")]);
    let output = Command::new(&spec.binary)
        .args(["import", "apache", "--strict", "--out"])
        .arg(spec.folder.join("nodes.txtpb"))
        .args(address_args)
        .arg(&file)
        .output()
        .with_context(|| spec.binary.display().to_string())?;
    anyhow::ensure!(output.status.success(), "import: {}", String::from_utf8_lossy(&output.stderr));
    Ok(())
}

/// Copies the log of a gateway to its file and sends the addresses in it.
fn copy_log(
    path: &Path, lines: impl BufRead, serving_sender: &mpsc::Sender<SocketAddr>,
    link_sender: &mpsc::Sender<SocketAddr>,
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
            Some("serving") => drop(serving_sender.send(address)),
            Some("link up") => drop(link_sender.send(address)),
            _ => {}
        }
    }
}
