//! Failure reports: which gateways report which nodes.

use crate::{FailureReport, GatewayNumber, MAX_MESSAGE_ENTRIES, Millis, NodeStatus};
use std::collections::{BTreeMap, BTreeSet};

/// The number of consecutive failures from which on a gateway reports a node; a single failure may be chance.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;
/// The most gateways whose reports of one node are kept.
const MAX_REPORTERS: usize = 1024;
/// The most bytes that the reports of one message may take, counting the name and `REPORT_OVERHEAD_BYTES` for each, so
/// that the message fits into a datagram.
const MAX_MESSAGE_BYTES: usize = 48_000;
/// The most bytes that an encoded report takes in addition to the node's name.
const REPORT_OVERHEAD_BYTES: usize = 16;

/// A report of one gateway.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    /// When the process of the reported node was started: the report is about this start.
    started: u64,
    received_at: Millis,
}

/// The valid reports, by node and reporting gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureReports {
    by_node: BTreeMap<String, BTreeMap<GatewayNumber, ReceivedReport>>,
}

impl FailureReports {
    /// Records a report. The caller has checked that it is about the listed start of the node.
    pub(crate) fn record(&mut self, now: Millis, from: GatewayNumber, report: &FailureReport) {
        let reporters = self.by_node.entry(report.node.clone()).or_default();
        if reporters.len() < MAX_REPORTERS || reporters.contains_key(&from) {
            reporters.insert(from, ReceivedReport { started: report.started, received_at: now });
        }
    }

    /// Removes reports older than `retention` and those about nodes, or starts of nodes, that are not listed.
    pub(crate) fn remove_invalid(
        &mut self, now: Millis, retention: Millis, nodes: &BTreeMap<String, NodeStatus>,
    ) {
        for (node, reporters) in &mut self.by_node {
            let listed_start = nodes.get(node).map(|listed| listed.started);
            reporters.retain(|_, report| {
                now < report.received_at + retention && listed_start == Some(report.started)
            });
        }
        self.by_node.retain(|_, reporters| !reporters.is_empty());
    }

    pub(crate) fn contains(&self, node: &str) -> bool {
        self.by_node.contains_key(node)
    }

    /// The gateways that report a node.
    pub(crate) fn reporters(&self, node: &str) -> BTreeSet<GatewayNumber> {
        self.by_node.get(node).into_iter().flat_map(|reporters| reporters.keys().copied()).collect()
    }
}

/// This gateway's own reports: the nodes that fail its requests, as many as fit into one message.
pub(crate) fn own_reports(nodes: &[NodeStatus]) -> Vec<FailureReport> {
    let mut free_bytes = MAX_MESSAGE_BYTES;
    let mut fits = |node: &NodeStatus| match free_bytes.checked_sub(node.node.len() + REPORT_OVERHEAD_BYTES) {
        Some(rest) => {
            free_bytes = rest;
            true
        }
        None => false,
    };
    nodes
        .iter()
        .filter(|node| node.ready && node.failures >= MIN_CONSECUTIVE_FAILURES)
        .take(MAX_MESSAGE_ENTRIES)
        .take_while(|node| fits(node))
        .map(|node| FailureReport { node: node.node.clone(), started: node.started })
        .collect()
}
