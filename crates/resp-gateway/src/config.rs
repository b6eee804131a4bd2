//! The platform's file: who the gateway is, where the others are, its limits, and the settings object.

use crate::endpoints::Members;
use anyhow::Context;
use doorcourse_deployment::Site;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// What the machine allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Memory in bytes.
    pub memory: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// The file as it was read.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery's agent is.
    pub discovery: SocketAddr,
    /// Where the counter is.
    pub counter: Option<SocketAddr>,
    /// The seed of the decisions, new with each start.
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// The list of backends as this gateway last had it.
    pub known: Option<Members>,
    /// The settings object.
    pub site: Site,
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// A line that names the file and the field at fault.
    pub fn open(path: &Path) -> anyhow::Result<Self> {
        let shown = path.display().to_string();
        let text = std::fs::read(path).with_context(|| shown.clone())?;
        Self::read(&text).map_err(|fault| anyhow::anyhow!("{shown}: {fault}"))
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// A line that names the field at fault.
    pub fn read(text: &[u8]) -> Result<Self, String> {
        let root: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let text = |key: &str| match root.get(key) {
            Some(Value::String(text)) => Ok(text.as_str()),
            Some(_) => Err(format!("{key}: not a text")),
            None => Err(format!("{key}: missing")),
        };
        let address = |key: &str| {
            let text = text(key)?;
            text.parse::<SocketAddr>().map_err(|_| format!("{key}: not an address with a port: {text}"))
        };
        let seed = text("seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("seed: not 16 hex digits: {seed}"))?;
        let limit = |key: &str, missing: u64| match root.get("limits").and_then(|l| l.get(key)) {
            None => Ok(missing),
            Some(v) => {
                v.as_f64().filter(|n| *n >= 1.0).map(|n| n as u64).ok_or(format!("limits.{key}: too small"))
            }
        };
        let limits = Limits {
            memory: limit("memory_mb", 128)? << 20,
            sockets: usize::try_from(limit("sockets", 1024)?).map_err(|e| format!("limits.sockets: {e}"))?,
        };
        let known = match root.get("known") {
            None | Some(Value::Null) => None,
            Some(known) => Some(Members::from_value(known.clone()).map_err(|e| format!("known: {e}"))?),
        };
        let site = doorcourse_deployment::read(root.get("settings").ok_or("settings: missing")?)?;
        let counter = if site.settings.has_counter { Some(address("counter")?) } else { None };
        Ok(Self {
            name: text("name")?.to_owned(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            counter,
            seed,
            limits,
            known,
            site,
        })
    }
}
