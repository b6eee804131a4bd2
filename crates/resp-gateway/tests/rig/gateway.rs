//! The gateway under test, and its settings.

use super::{Client, Counter, Discovery, endpoint};
use doorcourse_resp::Value;
use doorcourse_resp_gateway::{Config, GatewayHandle, RespGateway};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;

/// Settings of a small deployment: one class of each kind of idempotency, and one plan.
pub(crate) fn settings() -> Json {
    json!({
        "fleet-size": 1, "my-number": 0, "locality": "a", "period-ms": 4.0,
        "classes": [
            {"name": "lookup", "effect": "idempotent", "goal-time-ms": 800.0, "hard-limit-ms": 2500.0,
             "dedup-scope": "all", "window-ms": 0.0, "worth": 2.0, "late-value": 0.2},
            {"name": "save", "effect": "deduplicated", "goal-time-ms": 800.0, "hard-limit-ms": 2000.0,
             "dedup-scope": "cell", "window-ms": 4000.0, "worth": 3.0, "late-value": 0.2},
            {"name": "order", "effect": "at_most_once", "goal-time-ms": 500.0, "hard-limit-ms": 1200.0,
             "dedup-scope": "all", "window-ms": 0.0, "worth": 5.0, "late-value": 0.0}],
        "plans": [{"name": "team", "refill": 1000.0, "burst": 1000.0, "parallel": 0, "cap-rate": 0.0,
            "ceiling-burst": 0.0, "ceiling-slack": 0.0, "worth-factor": 1.0, "over-worth": 0.0, "overrun-cost": 1.0}],
        "extra": {"has-counter": true, "count-limit-ms": 50.0, "units-top": 3},
        "permissions": {"most-tries": 6, "max-retry-after-ms": 2000.0, "retry-after": true, "may-cancel": true,
            "dial-timeout-ms": 250.0, "keepalive-ms": 30000.0, "max-streams": 100, "second-copies": false},
        "load-info": {"source": "off"},
        "rules": {"cold-from": 0.2, "cold-ms": 18000.0, "drain-grace-ms": 250.0, "overload-factor": 2.0,
            "fall-ms": 3000.0, "answer-slack-ms": 16.0},
        "prices": {}
    })
}

/// A gateway that runs in a thread of this process, with its discovery service and counter.
pub(crate) struct TestGateway {
    pub address: SocketAddr,
    pub discovery: Discovery,
    pub counter: Counter,
    pub handle: GatewayHandle,
    pub path: PathBuf,
    pub file: Json,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

static GATEWAY_COUNT: AtomicUsize = AtomicUsize::new(0);

impl TestGateway {
    /// Starts a gateway with these backends, named b0, b1 and so on.
    pub(crate) fn with_backends(backends: &[SocketAddr]) -> Self {
        let endpoints =
            backends.iter().enumerate().map(|(n, address)| endpoint(&format!("b{n}"), *address, "active"));
        Self::new(endpoints.collect(), settings(), 1024)
    }

    pub(crate) fn new(endpoints: Vec<Json>, settings: Json, descriptors: usize) -> Self {
        let discovery = Discovery::start(endpoints);
        let counter = Counter::start();
        let file = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 128, "sockets": descriptors},
            "counter": counter.address.to_string(),
            "known": {"seq": 0, "whole": true, "hosts": []}, "settings": settings
        });
        let number = GATEWAY_COUNT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir()
            .join(format!("doorcourse-resp-gateway-{}-{number}.json", std::process::id()));
        std::fs::write(&path, file.to_string()).unwrap();
        let mut gateway = RespGateway::new(path.clone(), Config::open(&path).unwrap()).unwrap();
        let address = gateway.address();
        let handle = gateway.handle().unwrap();
        let thread = Some(std::thread::spawn(move || gateway.run()));
        let rig = Self { address, discovery, counter, handle, path, file, thread };
        let mut client = rig.client();
        while client.call(&["PING"]) != Value::Simple("PONG".into()) {
            std::thread::yield_now();
        }
        rig
    }

    /// Writes the configuration in `file` to `path`.
    pub(crate) fn write_config(&self) {
        std::fs::write(&self.path, self.file.to_string()).unwrap();
    }

    pub(crate) fn client(&self) -> Client {
        Client::open(self.address)
    }

    /// Waits until the gateway has shut down.
    pub(crate) fn join(&mut self) {
        self.thread.take().unwrap().join().unwrap().unwrap();
    }
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        self.handle.stop();
        let _ = std::fs::remove_file(&self.path);
        let ended = self.thread.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            assert!(ended.is_none_or(|e| matches!(e, Ok(Ok(())))), "the gateway failed");
        }
    }
}
