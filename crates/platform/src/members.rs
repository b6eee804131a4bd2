//! Discovery's lists of backends, whole or changes, as JSON objects.

use doorcourse::{BackendEntry, BackendState, Name, Place};
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
        "left" => BackendState::Gone,
        other => return Err(format!("hosts: {}: unknown health {other:?}", host.host)),
    };
    let dial = match host.dial.parse() {
        Ok(dial) => Some(dial),
        Err(_) if state == BackendState::Gone => None,
        Err(_) => return Err(format!("hosts: {}: dial is no address: {:?}", host.host, host.dial)),
    };
    let started = Some(host.born_ms).filter(|at| at.is_finite() && *at > 0.0);
    let (name, zone) = (Name::from(host.host), Name::from(host.site));
    let entry = BackendEntry { name, zone, cell: host.block, state, started, place: Place::default() };
    Ok(Member { entry, dial })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lists_of_the_page_and_faults_by_name() {
        let line = |health: &str, dial: &str| {
            format!(
                r#"{{"seq":41,"whole":true,"hosts":[{{"host":"s-1","dial":"{dial}","site":"a","class":"m2",
                "block":3,"health":"{health}","share":1.0,"born_ms":0}}]}}"#
            )
        };
        let list = Members::read(line("active", "10.1.0.18:6379").as_bytes()).unwrap();
        assert_eq!((list.seq, list.whole, list.members.len()), (41, true, 1));
        assert_eq!((list.members[0].entry.cell, list.members[0].entry.started), (3, None));
        assert!(Members::read(line("left", "").as_bytes()).is_ok());
        assert!(Members::read(line("active", "").as_bytes()).unwrap_err().contains("dial"));
        assert!(Members::read(line("odd", "10.1.0.18:6379").as_bytes()).unwrap_err().contains("odd"));
        assert!(Members::read(b"{\"seq\":4").is_err());
    }
}
