//! The list source: a file of nodes that the gateways read again when it changes, written whole or not at all.

use crate::recorder::Recorder;
use doorcourse_conformance::Event;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// One node of the list.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its cell.
    pub cell: u64,
    /// Whether it is listed at all.
    pub listed: bool,
    /// Whether it drains.
    pub draining: bool,
    /// When it last started, in ms since the Unix epoch.
    pub started_ms: Option<f64>,
}

/// The list and its file.
#[derive(Debug)]
pub struct NodeListFile {
    /// The nodes.
    pub nodes: Vec<ListedNode>,
    path: PathBuf,
    recorder: Recorder,
}

impl NodeListFile {
    /// A list that will be written to a file.
    #[must_use]
    pub fn new(path: PathBuf, nodes: Vec<ListedNode>, recorder: Recorder) -> Self {
        Self { nodes, path, recorder }
    }

    /// Changes one node, and writes the list.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn update_node(&mut self, node: usize, change: impl FnOnce(&mut ListedNode)) -> anyhow::Result<()> {
        change(&mut self.nodes[node]);
        self.write()?;
        let listed = &self.nodes[node];
        let ready = listed.listed && !listed.draining;
        self.recorder.record(Event::Listed { node: listed.name.clone(), ready });
        Ok(())
    }

    /// Writes the list beside its place and moves it there.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write(&self) -> anyhow::Result<()> {
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
        Ok(std::fs::rename(temporary, &self.path)?)
    }
}
