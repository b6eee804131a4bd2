//! Reads the configuration file: the gateway's name and addresses, the machine's limits and the settings.

use crate::endpoints::{EndpointList, EndpointListError};
use anyhow::Context;
use doorcourse_connection_limits::max_customers;
use doorcourse_deployment::{Deployment, DeploymentError};
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

/// Why the configuration cannot be read. Each message names the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A required key is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A value that has to be a text is none.
    #[error("{0}: not a text")]
    NotAText(&'static str),
    /// A text is not an address.
    #[error("{key}: not an address with a port: {text}")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// The text.
        text: String,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed: not 16 hex digits: {0}")]
    InvalidSeed(String),
    /// A limit is not a number of at least 1.
    #[error("limits.{0}: too small")]
    LimitTooSmall(&'static str),
    /// The limit of descriptors is larger than any that this machine can have.
    #[error("limits.sockets: {0}")]
    TooManyDescriptors(std::num::TryFromIntError),
    /// The list of known backends cannot be used.
    #[error("known: {0}")]
    KnownEndpoints(EndpointListError),
    /// The settings object cannot be read.
    #[error("{0}")]
    Settings(#[from] DeploymentError),
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
    /// When a key is missing or has an invalid value; the message names it.
    pub fn read(text: &[u8]) -> Result<Self, ConfigError> {
        let root: Value = serde_json::from_slice(text)?;
        let seed = seed(&root)?;
        let limits = machine_limits(&root)?;
        let known_endpoints = known_endpoints(&root)?;
        let settings = root.get("settings").ok_or(ConfigError::Missing("settings"))?;
        let mut deployment = doorcourse_deployment::read(settings)?;
        deployment.settings.max_customers = Some(max_customers(limits.memory_bytes));
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

fn seed(root: &Value) -> Result<u64, ConfigError> {
    let text = string(root, "seed")?;
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidSeed(text.into()))
}

fn machine_limits(root: &Value) -> Result<MachineLimits, ConfigError> {
    let descriptors = limit(root, "sockets", DEFAULT_DESCRIPTORS)?;
    Ok(MachineLimits {
        memory_bytes: limit(root, "memory_mb", DEFAULT_MEMORY_MIB)? << 20,
        descriptors: usize::try_from(descriptors).map_err(ConfigError::TooManyDescriptors)?,
    })
}

fn known_endpoints(root: &Value) -> Result<Option<EndpointList>, ConfigError> {
    match root.get("known") {
        None | Some(Value::Null) => Ok(None),
        Some(known) => EndpointList::from_value(known.clone()).map(Some).map_err(ConfigError::KnownEndpoints),
    }
}

fn string<'a>(root: &'a Value, key: &'static str) -> Result<&'a str, ConfigError> {
    match root.get(key) {
        Some(Value::String(text)) => Ok(text),
        Some(_) => Err(ConfigError::NotAText(key)),
        None => Err(ConfigError::Missing(key)),
    }
}

fn address(root: &Value, key: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = string(root, key)?;
    text.parse().map_err(|_| ConfigError::InvalidAddress { key, text: text.into() })
}

fn limit(root: &Value, key: &'static str, default: u64) -> Result<u64, ConfigError> {
    match root.get("limits").and_then(|limits| limits.get(key)) {
        None => Ok(default),
        Some(value) => {
            let number = value.as_f64().filter(|number| *number >= 1.0);
            number.map(|number| number as u64).ok_or(ConfigError::LimitTooSmall(key))
        }
    }
}
