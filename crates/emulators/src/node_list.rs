//! The node list: a file that gateways poll for changes. Each write replaces it atomically.

use crate::recorder::Recorder;
use doorcourse_conformance::Event;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An entry of the node list.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// Name of the node.
    pub name: String,
    /// Address on which the node accepts connections.
    pub address: SocketAddr,
    /// Cell of the node.
    pub cell: u64,
    /// Whether the node appears in the file.
    pub listed: bool,
    /// Whether the node is listed as draining.
    pub draining: bool,
    /// Time of the last start, in ms since the Unix epoch.
    pub started_ms: Option<f64>,
}

/// The node list and the file that holds it.
#[derive(Debug)]
pub struct NodeListFile {
    /// All nodes, listed or not.
    pub nodes: Vec<ListedNode>,
    path: PathBuf,
    recorder: Recorder,
}

impl NodeListFile {
    /// Creates a list for a file, without writing it yet.
    #[must_use]
    pub fn new(path: PathBuf, nodes: Vec<ListedNode>, recorder: Recorder) -> Self {
        Self { nodes, path, recorder }
    }

    /// Changes one node, writes the list and records whether the node is ready.
    ///
    /// On a slow disk, readers see the list well before the rename returns. So that a gateway is held to a list only
    /// while it cannot have another one, a node that becomes ready is recorded before the rename, and one that is no
    /// longer ready after it.
    ///
    /// # Errors
    /// Fails when the file cannot be written.
    pub fn update_node(&mut self, node: usize, change: impl FnOnce(&mut ListedNode)) -> anyhow::Result<()> {
        change(&mut self.nodes[node]);
        let listed = &self.nodes[node];
        let ready = listed.listed && !listed.draining;
        let event = Event::Listed { node: listed.name.clone(), ready };
        let temporary = self.write_temporary()?;
        if ready {
            self.recorder.record(event);
            std::fs::rename(temporary, &self.path)?;
        } else {
            std::fs::rename(temporary, &self.path)?;
            self.recorder.record(event);
        }
        Ok(())
    }

    /// Writes the list to a temporary file and renames it into place, so that a reader never sees a partial list.
    ///
    /// # Errors
    /// Fails when the file cannot be written.
    pub fn write(&self) -> anyhow::Result<()> {
        Ok(std::fs::rename(self.write_temporary()?, &self.path)?)
    }

    fn write_temporary(&self) -> anyhow::Result<PathBuf> {
        let mut text = String::new();
        for node in self.nodes.iter().filter(|n| n.listed) {
            let ListedNode { name, address, cell, .. } = node;
            let state = if node.draining { " state: DRAINING" } else { "" };
            let started = node.started_ms.map_or(String::new(), |s| format!(" started_ms: {s:.3}"));
            writeln!(
                text,
                "nodes {{ name: \"{name}\" address: \"{address}\" cell: {cell}{state}{started} }}"
            )?;
        }
        let temporary = self.path.with_extension("new");
        std::fs::write(&temporary, text)?;
        Ok(temporary)
    }
}
