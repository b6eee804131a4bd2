//! Discovery's lists of backends, whole or changes, as JSON objects.

use doorcourse::{BackendEntry, BackendState, Name, Placement};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Wire {
    seq: u64,
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    block: u64,
    health: String,
    #[serde(default)]
    born_ms: f64,
}

/// One backend: what the decisions hear, and where it listens.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the decisions hear.
    pub entry: BackendEntry,
    /// Its address for this gateway; one that has left needs none.
    pub dial: Option<SocketAddr>,
}

/// One list.
#[derive(Clone, Debug)]
pub struct Members {
    /// Its version.
    pub seq: u64,
    /// Whether what it lacks is gone.
    pub whole: bool,
    /// The backends.
    pub members: Vec<Member>,
}

impl Members {
    /// Reads a list from its bytes.
    ///
    /// # Errors
    /// A line that names the fault.
    pub fn read(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(bytes).map_err(|e| e.to_string()).and_then(Self::of)
    }

    /// Reads the first of the lists that a watch says one after another, with the bytes that it took; `None` where it has
    /// not come whole. A list may run over several lines, none of them empty: an empty line within says that the rest of
    /// it will not come.
    ///
    /// # Errors
    /// A line that names the fault.
    pub fn read_first(bytes: &[u8]) -> Result<Option<(Self, usize)>, String> {
        let mut lists = serde_json::Deserializer::from_slice(bytes).into_iter::<Wire>();
        match lists.next() {
            None => Ok(None),
            Some(Ok(wire)) => Self::of(wire).map(|list| Some((list, lists.byte_offset()))),
            Some(Err(e)) if e.is_eof() && !bytes.windows(2).any(|pair| pair == b"\n\n") => Ok(None),
            Some(Err(e)) => Err(e.to_string()),
        }
    }

    /// Reads a list from a JSON value.
    ///
    /// # Errors
    /// A line that names the fault.
    pub fn from_value(value: serde_json::Value) -> Result<Self, String> {
        serde_json::from_value(value).map_err(|e| e.to_string()).and_then(Self::of)
    }

    fn of(wire: Wire) -> Result<Self, String> {
        let members = wire.hosts.into_iter().map(member).collect::<Result<_, _>>()?;
        Ok(Self { seq: wire.seq, whole: wire.whole, members })
    }
}

fn member(host: Host) -> Result<Member, String> {
    let state = match host.health.as_str() {
        "active" => BackendState::Ready,
        "leaving" => BackendState::Draining,
        "left" => BackendState::Removed,
        other => return Err(format!("hosts: {}: unknown health {other:?}", host.host)),
    };
    let dial = match host.dial.parse() {
        Ok(dial) => Some(dial),
        Err(_) if state == BackendState::Removed => None,
        Err(_) => return Err(format!("hosts: {}: dial is no address: {:?}", host.host, host.dial)),
    };
    let started = Some(host.born_ms).filter(|at| at.is_finite() && *at > 0.0);
    let (name, zone) = (Name::from(host.host), Name::from(host.site));
    let entry =
        BackendEntry { name, zone, cell: host.block, state, started, placement: Placement::default() };
    Ok(Member { entry, dial })
}

#[cfg(test)]
mod tests;
