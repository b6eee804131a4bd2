//! The state machine of the outlier gossip at one gateway.

use crate::probes::{ProbeResult, Probes};
use crate::reports::{FailureReports, own_reports};
use crate::verdicts::Verdicts;
use crate::{
    FailureReport, GatewayNumber, Input, MAX_MESSAGE_ENTRIES, MIN_REPORTING_GATEWAYS, Message, Millis,
    NodeStatus, Output, Settings, Verdict,
};
use std::collections::{BTreeMap, BTreeSet};

/// The outlier gossip of one gateway.
#[derive(Clone, Debug)]
pub struct OutlierGossip {
    settings: Settings,
    /// The nodes by name, as of the last tick.
    nodes: BTreeMap<String, NodeStatus>,
    reports: FailureReports,
    probes: Probes,
    verdicts: Verdicts,
    /// The highest fencing token that verdicts were received with: verdicts of earlier lease holders are dropped.
    highest_token: u64,
    next_report_at: Millis,
}

impl OutlierGossip {
    /// The state of a gateway that knows of no node yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            nodes: BTreeMap::new(),
            reports: FailureReports::default(),
            probes: Probes::default(),
            verdicts: Verdicts::default(),
            highest_token: 0,
            next_report_at: 0,
        }
    }

    /// Changes the settings; nodes, reports, probes and verdicts are kept.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Processes one input and appends the resulting outputs to `outputs`.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick { nodes, lease_token } => self.tick(now, nodes, lease_token, outputs),
            Input::MessageReceived { from, message: Message::Reports(reports) } => {
                for report in reports.iter().take(MAX_MESSAGE_ENTRIES) {
                    self.record_report(now, from, report);
                }
            }
            Input::MessageReceived { message: Message::Verdicts { token, verdicts }, .. } => {
                self.receive_verdicts(now, token, verdicts, outputs);
            }
            Input::ProbeFinished { node, succeeded } => self.probes.finish(&node, succeeded),
        }
    }

    /// Records a report if it is about the listed start of a node; reports about another start are dropped.
    fn record_report(&mut self, now: Millis, from: GatewayNumber, report: &FailureReport) {
        if self.nodes.get(&report.node).is_some_and(|node| node.started == report.started) {
            self.reports.record(now, from, report);
        }
    }

    fn tick(
        &mut self, now: Millis, nodes: Vec<NodeStatus>, lease_token: Option<u64>, outputs: &mut Vec<Output>,
    ) {
        let own_reports = own_reports(&nodes);
        self.nodes = nodes.into_iter().map(|node| (node.node.clone(), node)).collect();
        self.reports.remove_invalid(now, self.settings.retention, &self.nodes);
        self.verdicts.remove_invalid(now, &self.nodes);
        for report in &own_reports {
            self.record_report(now, self.settings.gateway, report);
        }
        if !own_reports.is_empty() && now >= self.next_report_at {
            self.next_report_at = now + report_interval(&self.settings);
            outputs.push(Output::Broadcast(Message::Reports(own_reports)));
        }
        match lease_token {
            Some(token) => self.act_as_lease_holder(now, token, outputs),
            None => self.probes.clear(),
        }
    }

    /// Does the work of the lease holder: broadcasts verdicts on the nodes that were probed, and probes the next node.
    fn act_as_lease_holder(&mut self, now: Millis, token: u64, outputs: &mut Vec<Output>) {
        let suspects = self.suspects();
        self.probes.retain(&suspects);
        let results = self.probes.take_results();
        let verdicts: Vec<Verdict> = results.iter().filter_map(|result| self.verdict(result)).collect();
        if !verdicts.is_empty() {
            outputs.push(Output::Broadcast(Message::Verdicts { token, verdicts: verdicts.clone() }));
            self.receive_verdicts(now, token, verdicts, outputs);
        }
        if let Some(node) = self.probes.start_due(now, &suspects, &self.settings) {
            outputs.push(Output::SendProbe(node));
        }
    }

    /// The nodes to probe: those that are reported, and the outliers, which may have recovered.
    fn suspects(&self) -> BTreeSet<String> {
        let is_suspect = |node: &&NodeStatus| {
            node.ready && (self.reports.contains(&node.node) || self.verdicts.is_outlier(&node.node))
        };
        self.nodes.values().filter(is_suspect).map(|node| node.node.clone()).collect()
    }

    /// The verdict on a node that was probed. `None` where a failed probe is not confirmed by another gateway: the
    /// probe and the reports of this gateway are together the evidence of one gateway.
    fn verdict(&self, result: &ProbeResult) -> Option<Verdict> {
        let node = self.nodes.get(&result.node)?;
        let mut gateways = self.reports.reporters(&result.node);
        gateways.insert(self.settings.gateway);
        let is_outlier = !result.succeeded;
        if is_outlier && gateways.len() < MIN_REPORTING_GATEWAYS {
            return None;
        }
        Some(Verdict {
            node: result.node.clone(),
            started: node.started,
            is_outlier,
            age_ms: 0,
            reporting_gateways: gateways.len() as u32,
        })
    }

    /// Processes the verdicts of a lease holder. Verdicts of an earlier holder are dropped.
    fn receive_verdicts(
        &mut self, now: Millis, token: u64, verdicts: Vec<Verdict>, outputs: &mut Vec<Output>,
    ) {
        if token < self.highest_token {
            return;
        }
        self.highest_token = token;
        for verdict in verdicts.into_iter().take(MAX_MESSAGE_ENTRIES) {
            if self.verdicts.accept(now, &verdict, &self.nodes, &self.settings) {
                outputs.push(Output::VerdictChanged(verdict));
            }
        }
    }
}

/// The interval in ms at which a gateway repeats its reports, so that they do not expire at the other gateways.
fn report_interval(settings: &Settings) -> Millis {
    settings.probe_interval.min(settings.retention / 2)
}

#[cfg(test)]
mod tests;
