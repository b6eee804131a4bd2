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

    /// A list of so many hosts, as one line or indented.
    fn listed(hosts: usize, indented: bool) -> String {
        let host = |n: usize| {
            serde_json::json!({"host": format!("s-{n:08x}-of-a-long-name"), "dial": format!("10.1.{}.{}:6379", n / 250, n % 250),
                "site": "south-building", "class": "m2", "block": n, "health": "active", "share": 1.0,
                "born_ms": 1_790_000_000_000_u64})
        };
        let list =
            serde_json::json!({"seq": 7, "whole": true, "hosts": (0..hosts).map(host).collect::<Vec<_>>()});
        if indented { format!("{list:#}") } else { list.to_string() }
    }

    #[test]
    fn a_thousand_backends_whole_and_indented_and_the_lists_of_a_watch_one_by_one() {
        for indented in [false, true] {
            let text = listed(1024, indented);
            assert!(text.len() < 1 << 20, "{} bytes: a line of the watch holds it", text.len());
            let list = Members::read(text.as_bytes()).unwrap();
            assert_eq!(list.members.len(), 1024);
            // Whatever part of it has come: not yet, and no fault.
            for part in [1, 2, text.len() / 3, text.len() - 1] {
                assert!(Members::read_first(&text.as_bytes()[..part]).unwrap().is_none(), "{part}");
            }
            let both = format!("{text}\n{}", listed(3, indented));
            let (first, took) = Members::read_first(both.as_bytes()).unwrap().unwrap();
            assert_eq!((first.members.len(), took), (1024, text.len()));
            let (second, _) = Members::read_first(&both.as_bytes()[took..]).unwrap().unwrap();
            assert_eq!(second.members.len(), 3);
            // Cut short, with the beat of the watch behind it; and followed by another.
            assert!(Members::read_first(format!("{}\n\n", &text[..text.len() / 2]).as_bytes()).is_err());
            assert!(Members::read_first(format!("{}\n{text}", &text[..text.len() / 2]).as_bytes()).is_err());
        }
    }
}
