//! A gateway that is killed and started again at the same address, and what was seen of its processes.

use crate::running_gateway::{Gateway, command};
use rustix::process::Signal;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The least memory that the platform gives a gateway, in MiB.
pub(crate) const LEAST_MEMORY_MIB: u64 = 32;

struct State {
    gateway: Option<Gateway>,
    kills: Vec<Instant>,
    peak_kib: u64,
    faults: Vec<String>,
}

pub(crate) struct Process {
    index: usize,
    file: PathBuf,
    text: String,
    address: SocketAddr,
    state: Mutex<State>,
}

impl Process {
    pub(crate) fn start(seed: u64, index: usize, config: &Json) -> Self {
        let name = format!("doorcourse-soak-{}-{seed}-{index}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string()).unwrap();
        let gateway = Gateway::spawn(command(&file), file.clone());
        let address = gateway.address;
        let state = State { gateway: Some(gateway), kills: Vec::new(), peak_kib: 0, faults: Vec::new() };
        Self { index, file, text: config.to_string(), address, state: Mutex::new(state) }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let state = self.state.lock().unwrap();
        if let Some(gateway) = &state.gateway {
            gateway.signal(signal);
        }
    }

    /// Reads the memory and whether the process runs. `may_exit` after SIGTERM. Returns whether it still runs.
    pub(crate) fn examine(&self, may_exit: bool) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(gateway) = &mut state.gateway else { return false };
        let status = gateway.child.try_wait().unwrap();
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap_or_default();
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().trim_end_matches("kB").trim().parse().ok());
        state.peak_kib = state.peak_kib.max(peak.unwrap_or(0));
        let Some(status) = status else { return true };
        if !may_exit || !status.success() {
            state.faults.push(format!("gateway {} ended by itself: {status}", self.index));
        }
        state.gateway = None;
        false
    }

    /// Kills the process, if it runs.
    pub(crate) fn kill(&self) {
        self.examine(true);
        let mut state = self.state.lock().unwrap();
        state.kills.push(Instant::now());
        state.gateway = None;
        state.kills.push(Instant::now());
    }

    /// Ends a process that was told to shut down, at the time of its kill. It counts as no excuse for a request.
    pub(crate) fn end_after_shutdown(&self) {
        if self.examine(true) {
            self.state.lock().unwrap().gateway = None;
        }
    }

    /// Starts the process again, at the same address.
    pub(crate) fn restart(&self) {
        std::fs::write(&self.file, &self.text).unwrap();
        let mut command = command(&self.file);
        command.env("RELAY_LISTEN", self.address.to_string());
        let gateway = Gateway::spawn(command, self.file.clone());
        self.state.lock().unwrap().gateway = Some(gateway);
    }

    /// Whether a kill of the gateway falls between these times.
    pub(crate) fn was_killed_between(&self, from: Instant, to: Instant) -> bool {
        // A client may see the reset a little before the kill is recorded as over.
        let slack = Duration::from_millis(20);
        self.state.lock().unwrap().kills.iter().any(|kill| *kill + slack >= from && *kill <= to + slack)
    }

    pub(crate) fn peak_kib(&self) -> u64 {
        self.state.lock().unwrap().peak_kib
    }

    pub(crate) fn faults(&self) -> Vec<String> {
        self.examine(false);
        let state = self.state.lock().unwrap();
        let mut faults = state.faults.clone();
        if state.peak_kib > LEAST_MEMORY_MIB << 10 {
            faults.push(format!("gateway {}: peak of {} KiB", self.index, state.peak_kib));
        }
        faults
    }
}
