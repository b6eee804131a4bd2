//! Reads the configuration file: the gateway's name and addresses, the machine's limits and the settings.

use crate::endpoints::EndpointList;
use anyhow::Context;
use doorcourse_deployment::Deployment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// The memory limit in MiB where the file states none.
const DEFAULT_MEMORY_MIB: u64 = 128;
/// The limit of descriptors where the file states none.
const DEFAULT_DESCRIPTORS: u64 = 1024;

/// The limits that the machine sets the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineLimits {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// File descriptors.
    pub descriptors: usize,
}

/// The contents of the configuration file.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the shared counter; `None` for a deployment without one.
    pub counter: Option<SocketAddr>,
    /// The seed of the decision library's random number generator, new at each start.
    pub seed: u64,
    /// The limits of the machine.
    pub limits: MachineLimits,
    /// The endpoint list that this gateway had last, in use until discovery responds.
    pub known_endpoints: Option<EndpointList>,
    /// The settings of the deployment.
    pub deployment: Deployment,
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// When the file cannot be read or a field is invalid; the message names both.
    pub fn open(path: &Path) -> anyhow::Result<Self> {
        let path_text = path.display().to_string();
        let text = std::fs::read(path).with_context(|| path_text.clone())?;
        Self::read(&text).map_err(|error| anyhow::anyhow!("{path_text}: {error}"))
    }

    /// Reads the text of the file.
    ///
    /// # Errors
    /// When a field is missing or invalid; the message names it.
    pub fn read(text: &[u8]) -> Result<Self, String> {
        let root: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let seed = string(&root, "seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("seed: not 16 hex digits: {seed}"))?;
        let descriptors = limit(&root, "sockets", DEFAULT_DESCRIPTORS)?;
        let limits = MachineLimits {
            memory_bytes: limit(&root, "memory_mb", DEFAULT_MEMORY_MIB)? << 20,
            descriptors: usize::try_from(descriptors).map_err(|e| format!("limits.sockets: {e}"))?,
        };
        let known_endpoints = match root.get("known") {
            None | Some(Value::Null) => None,
            Some(known) => Some(EndpointList::from_value(known.clone()).map_err(|e| format!("known: {e}"))?),
        };
        let settings = root.get("settings").ok_or("settings: missing")?;
        let deployment = doorcourse_deployment::read(settings).map_err(|error| error.to_string())?;
        let counter = if deployment.settings.has_counter { Some(address(&root, "counter")?) } else { None };
        Ok(Self {
            name: string(&root, "name")?.to_owned(),
            listen: address(&root, "listen")?,
            discovery: address(&root, "discovery")?,
            counter,
            seed,
            limits,
            known_endpoints,
            deployment,
        })
    }
}

fn string<'a>(root: &'a Value, key: &str) -> Result<&'a str, String> {
    match root.get(key) {
        Some(Value::String(text)) => Ok(text),
        Some(_) => Err(format!("{key}: not a text")),
        None => Err(format!("{key}: missing")),
    }
}

fn address(root: &Value, key: &str) -> Result<SocketAddr, String> {
    let text = string(root, key)?;
    text.parse().map_err(|_| format!("{key}: not an address with a port: {text}"))
}

fn limit(root: &Value, key: &str, default: u64) -> Result<u64, String> {
    match root.get("limits").and_then(|limits| limits.get(key)) {
        None => Ok(default),
        Some(value) => {
            let number = value.as_f64().filter(|number| *number >= 1.0);
            number.map(|number| number as u64).ok_or_else(|| format!("limits.{key}: too small"))
        }
    }
}
