//! The node list as a file, and the pool of connections to each node.

use doorcourse::{BackendEntry, BackendState, Name};
use doorcourse_config::{Node, NodeFile, Routing, read_nodes};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::SystemTime;

/// Connections to one node that carry no request, the one used last at the end.
#[derive(Debug)]
pub(crate) struct Pool {
    pub address: SocketAddr,
    pub idle: Vec<usize>,
}

/// The nodes by name.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    pools: BTreeMap<Name, Pool>,
}

impl Pools {
    /// Takes a list over; answers the idle connections that are of no further use.
    pub fn update(&mut self, nodes: &[Node]) -> Vec<usize> {
        let mut old = std::mem::take(&mut self.pools);
        for node in nodes {
            let name = node.entry.name.clone();
            let known = old.remove(&name).filter(|p| p.address == node.address);
            let pool = known.unwrap_or(Pool { address: node.address, idle: Vec::new() });
            self.pools.insert(name, pool);
        }
        old.into_values().flat_map(|p| p.idle).collect()
    }

    pub fn get_mut(&mut self, name: &str) -> Option<&mut Pool> {
        self.pools.get_mut(name)
    }

    /// Takes a connection out of its pool.
    pub fn forget(&mut self, name: &str, connection: usize) {
        if let Some(pool) = self.pools.get_mut(name) {
            pool.idle.retain(|c| *c != connection);
        }
    }
}

/// A list file that is read again when it changes.
#[derive(Debug)]
pub(crate) struct ListFile {
    path: PathBuf,
    pub poll: f64,
    seen: Option<(SystemTime, u64)>,
    /// The routing that the list read last states.
    pub routing: Option<Routing>,
}

impl ListFile {
    pub fn new(path: PathBuf, poll: f64) -> Self {
        Self { path, poll, seen: None, routing: None }
    }

    /// The list, if the file changed since it was read last; an error changes nothing and is told once.
    pub fn look(&mut self) -> Option<Result<NodeFile, String>> {
        let stamp = std::fs::metadata(&self.path).and_then(|m| Ok((m.modified()?, m.len())));
        let stamp = match stamp {
            Ok(stamp) => stamp,
            Err(_) if self.seen.is_some_and(|(at, _)| at == SystemTime::UNIX_EPOCH) => return None,
            Err(error) => {
                self.seen = Some((SystemTime::UNIX_EPOCH, 0));
                return Some(Err(format!("{}: {error}", self.path.display())));
            }
        };
        if self.seen.replace(stamp) == Some(stamp) {
            return None;
        }
        let shown = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => return Some(Err(format!("{shown}: {error}"))),
        };
        Some(
            read_nodes(&shown, &text)
                .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")),
        )
    }
}

/// The list in the words of the decisions; what a person drained here drains, whatever the list says.
pub(crate) fn entries(nodes: &[Node], drained: &BTreeSet<Name>) -> Vec<BackendEntry> {
    let one = |node: &Node| {
        let mut entry = node.entry.clone();
        if drained.contains(&entry.name) {
            entry.state = BackendState::Draining;
        }
        entry
    };
    nodes.iter().map(one).collect()
}
