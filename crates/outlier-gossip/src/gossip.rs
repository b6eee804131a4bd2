//! What one gateway knows of suspects.

use crate::{FailureReport, GatewayNumber, Input, Message, Millis, Output, Seen, Settings, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// A node is called bad where so many gateways say so, the one that tried it among them.
const GATEWAYS: usize = 2;
/// So many failures in a row make a node a suspect: one may be chance.
const FAILURES: u32 = 2;
/// The most nodes that one gateway reports, and the most gateways that are listened to.
const REPORTED: usize = 1024;
const HEARD: usize = 1024;
/// The names that one message may hold, in bytes, with this much beside each: a datagram carries it.
const NAMES: usize = 48_000;
const BESIDE: usize = 16;

#[derive(Clone, Debug)]
struct Probe {
    next: Millis,
    out: bool,
    bad: Option<bool>,
}

/// What a word makes of a node in the decisions of a gateway that sees so many failures of it: the failures that it is
/// remembered with, and for how many ms it is left alone. It is as after a failure of its own, until the word runs out or is
/// taken back; its own failures are not told again as others'.
#[must_use]
pub fn remembered(word: &Verdict, keep: Millis, failures: u32) -> (u32, Millis) {
    if word.is_outlier { (failures.max(1), keep.saturating_sub(word.age_ms)) } else { (0, 0) }
}

/// Whether a trial's answer shows a node well: whatever it says of the query, it is not down.
#[must_use]
pub fn is_well(status: u16) -> bool {
    (200..500).contains(&status)
}

/// What one gateway knows of suspects.
#[derive(Clone, Debug)]
pub struct OutlierGossip {
    settings: Settings,
    nodes: BTreeMap<String, Seen>,
    /// Who says that a node fails, of which start, and since when that is known.
    reports: BTreeMap<String, BTreeMap<GatewayNumber, (u64, Millis)>>,
    probes: BTreeMap<String, Probe>,
    /// Words in force: until when, and whether bad.
    verdicts: BTreeMap<String, (Millis, bool)>,
    highest_token: u64,
    next_probe_at: Millis,
    next_report_at: Millis,
}

impl OutlierGossip {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let (nodes, reports, trials, words) = Default::default();
        Self {
            settings,
            nodes,
            reports,
            probes: trials,
            verdicts: words,
            highest_token: 0,
            next_probe_at: 0,
            next_report_at: 0,
        }
    }

    /// Other figures; what is known is kept.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes one thing in.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick { nodes: seen, lease_token: held } => self.tick(now, seen, held, out),
            Input::MessageReceived { from, message: Message::Reports(reports) } => {
                for report in reports.into_iter().take(REPORTED) {
                    self.note(now, from, &report);
                }
            }
            Input::MessageReceived { message: Message::Verdicts { token, verdicts: words }, .. } => {
                self.hear(now, token, words, out)
            }
            Input::ProbeFinished { node, succeeded: good } => {
                if let Some(trial) = self.probes.get_mut(&node) {
                    (trial.out, trial.bad) = (false, Some(!good));
                }
            }
        }
    }

    fn note(&mut self, now: Millis, from: GatewayNumber, report: &FailureReport) {
        // Of another start than the one listed nothing is believed.
        if self.nodes.get(&report.node).is_none_or(|n| n.started != report.started) {
            return;
        }
        let by = self.reports.entry(report.node.clone()).or_default();
        if by.len() < HEARD || by.contains_key(&from) {
            by.insert(from, (report.started, now));
        }
    }

    fn tick(&mut self, now: Millis, seen: Vec<Seen>, held: Option<u64>, out: &mut Vec<Output>) {
        let (number, keep) = (self.settings.gateway, self.settings.retention);
        let mut room = NAMES;
        let mut fits = |node: &str| {
            let left = room.checked_sub(node.len() + BESIDE);
            left.map(|left| room = left).is_some()
        };
        let fails: Vec<FailureReport> = seen
            .iter()
            .filter(|s| s.ready && s.failures >= FAILURES)
            .take(REPORTED)
            .take_while(|s| fits(&s.node))
            .map(|s| FailureReport { node: s.node.clone(), started: s.started })
            .collect();
        self.nodes = seen.into_iter().map(|s| (s.node.clone(), s)).collect();
        let nodes = &self.nodes;
        for (node, by) in &mut self.reports {
            let started = nodes.get(node).map(|n| n.started);
            by.retain(|_, (of, at)| now < *at + keep && started == Some(*of));
        }
        self.reports.retain(|_, by| !by.is_empty());
        self.verdicts.retain(|node, (until, _)| now < *until && nodes.contains_key(node));
        for report in &fails {
            self.note(now, number, report);
        }
        if !fails.is_empty() && now >= self.next_report_at {
            self.next_report_at = now + self.settings.probe_interval.min(keep / 2);
            out.push(Output::Broadcast(Message::Reports(fails)));
        }
        match held {
            Some(token) => self.lead(now, token, out),
            None => self.probes.clear(),
        }
    }

    /// The lease is held: one suspect is tried, and what was found is told.
    fn lead(&mut self, now: Millis, token: u64, out: &mut Vec<Output>) {
        let called = |node: &String| self.verdicts.get(node).is_some_and(|(_, bad)| *bad);
        let wanted: Vec<String> = self.nodes.values().filter(|n| n.ready).map(|n| n.node.clone()).collect();
        let wanted: BTreeSet<String> =
            wanted.into_iter().filter(|n| self.reports.contains_key(n) || called(n)).collect();
        self.probes.retain(|node, trial| wanted.contains(node) || trial.out);
        let mut words = Vec::new();
        for (node, trial) in &mut self.probes {
            let Some(bad) = trial.bad.take() else { continue };
            let mut gateways: BTreeSet<GatewayNumber> =
                self.reports.get(node).into_iter().flat_map(|by| by.keys().copied()).collect();
            gateways.insert(self.settings.gateway);
            let Some(seen) = self.nodes.get(node) else { continue };
            // Its trial and its own requests are one gateway's word.
            if bad && gateways.len() < GATEWAYS {
                continue;
            }
            let (node, started, gateways) = (node.clone(), seen.started, gateways.len() as u32);
            words.push(Verdict { node, started, is_outlier: bad, age_ms: 0, reporting_gateways: gateways });
        }
        if !words.is_empty() {
            out.push(Output::Broadcast(Message::Verdicts { token, verdicts: words.clone() }));
            self.hear(now, token, words, out);
        }
        if now >= self.next_probe_at {
            // Who waited longest comes first.
            let free = |node: &&String| self.probes.get(*node).is_none_or(|t| !t.out && t.next <= now);
            let since = |node: &&String| self.probes.get(*node).map_or(0, |t| t.next);
            if let Some(node) = wanted.iter().filter(free).min_by_key(since).cloned() {
                self.next_probe_at = now + self.settings.probe_interval;
                let next = now + self.settings.probe_interval.max(self.settings.retention / 3);
                self.probes.insert(node.clone(), Probe { next, out: true, bad: None });
                out.push(Output::SendProbe(node));
            }
        }
    }

    /// A word of the holder's. One of a holder that is none any more is dropped, and so is what says too much.
    fn hear(&mut self, now: Millis, token: u64, words: Vec<Verdict>, out: &mut Vec<Output>) {
        if token < self.highest_token {
            return;
        }
        self.highest_token = token;
        for word in words.into_iter().take(REPORTED) {
            let listed = self.nodes.get(&word.node).is_some_and(|n| n.started == word.started && n.ready);
            let stale = word.age_ms >= self.settings.retention;
            if !listed || stale || word.is_outlier && (word.reporting_gateways as usize) < GATEWAYS {
                continue;
            }
            let bad = self
                .verdicts
                .iter()
                .filter(|(node, (until, bad))| *bad && now < *until && **node != word.node);
            let most = ((self.nodes.len() as f64 * self.settings.max_outlier_fraction) as usize).max(1);
            if word.is_outlier && bad.count() >= most {
                continue;
            }
            let was = self
                .verdicts
                .insert(word.node.clone(), (now + self.settings.retention - word.age_ms, word.is_outlier));
            // A good word counts only against a bad one.
            if word.is_outlier || was.is_some_and(|(_, bad)| bad) {
                out.push(Output::VerdictChanged(word));
            }
        }
    }
}

#[cfg(test)]
mod tests;
