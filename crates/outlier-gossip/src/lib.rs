//! Suspect nodes. Each gateway tells the others which nodes fail it; the holder of the lease `suspects` tries those alone,
//! at a small rate, and tells all what it found. Its word is a hint with an age and evidence: no node is called bad that one
//! gateway alone says is bad, never more than a share of the nodes are, and each word runs out by itself.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod message;

pub use message::{FailureReport, Message, Verdict, decode, encode};

use std::collections::{BTreeMap, BTreeSet};

/// A gateway's number.
pub type GatewayNumber = u32;
/// Ms on this gateway's monotonic clock.
pub type Millis = u64;

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

/// How suspects are dealt with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub gateway: GatewayNumber,
    /// Between two trials of the whole fleet, in ms.
    pub probe_interval: Millis,
    /// The share of the nodes that are called bad at most; one always may be.
    pub max_outlier_fraction: f64,
    /// How long a report and a word are believed, in ms.
    pub retention: Millis,
}

/// A node as this gateway's decisions see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Its name.
    pub node: String,
    /// Which start of it, in ms since the Unix epoch; 0 where none is known.
    pub started: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Whether the list lets it be used: nothing is sent to others, no trial either.
    pub ready: bool,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time went by, and the decisions see all nodes so. With the token of the lease while it is held and outlasts a trial.
    Tick {
        /// All nodes.
        nodes: Vec<Seen>,
        /// The lease's token.
        lease_token: Option<u64>,
    },
    /// Another gateway said something.
    MessageReceived {
        /// Who.
        from: GatewayNumber,
        /// What.
        message: Message,
    },
    /// A trial is over.
    ProbeFinished {
        /// Which node.
        node: String,
        /// Whether it answered in time.
        succeeded: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Tell all other gateways.
    Broadcast(Message),
    /// Try a node: a request without effect.
    SendProbe(String),
    /// A node is called bad, or good again, so many ms ago by so many gateways.
    VerdictChanged(Verdict),
}

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
mod tests {
    use super::*;

    fn seen(node: &str, failures: u32) -> Seen {
        Seen { node: node.into(), started: 5, failures, ready: true }
    }

    fn suspects(number: GatewayNumber) -> OutlierGossip {
        OutlierGossip::new(Settings {
            gateway: number,
            probe_interval: 100,
            max_outlier_fraction: 0.25,
            retention: 1000,
        })
    }

    fn tick(suspects: &mut OutlierGossip, now: Millis, failures: &[u32], held: Option<u64>) -> Vec<Output> {
        let seen = failures.iter().enumerate().map(|(at, f)| seen(&format!("n{at}"), *f)).collect();
        let mut out = Vec::new();
        suspects.handle(now, Input::Tick { nodes: seen, lease_token: held }, &mut out);
        out
    }

    fn tried(suspects: &mut OutlierGossip, now: Millis, node: &str, good: bool) {
        suspects.handle(now, Input::ProbeFinished { node: node.into(), succeeded: good }, &mut Vec::new());
    }

    fn reported(suspects: &mut OutlierGossip, now: Millis, from: GatewayNumber, node: &str, started: u64) {
        let message = Message::Reports(vec![FailureReport { node: node.into(), started }]);
        suspects.handle(now, Input::MessageReceived { from, message }, &mut Vec::new());
    }

    fn hints(out: &[Output]) -> Vec<(String, bool)> {
        let hint = |o: &Output| match o {
            Output::VerdictChanged(word) => Some((word.node.clone(), word.is_outlier)),
            _ => None,
        };
        out.iter().filter_map(hint).collect()
    }

    #[test]
    fn the_holder_tries_what_others_report_and_calls_it_bad() {
        let mut holder = suspects(0);
        tick(&mut holder, 0, &[0, 0, 0, 0], Some(9));
        reported(&mut holder, 10, 3, "n1", 5);
        assert_eq!(tick(&mut holder, 100, &[0, 0, 0, 0], Some(9)), [Output::SendProbe("n1".into())]);
        assert!(tick(&mut holder, 150, &[0, 0, 0, 0], Some(9)).is_empty(), "one trial is out");
        tried(&mut holder, 200, "n1", false);
        let out = tick(&mut holder, 210, &[0, 0, 0, 0], Some(9));
        assert_eq!(hints(&out), [("n1".to_owned(), true)]);
        let word =
            Verdict { node: "n1".into(), started: 5, is_outlier: true, age_ms: 0, reporting_gateways: 2 };
        assert!(
            out.contains(&Output::Broadcast(Message::Verdicts { token: 9, verdicts: vec![word] })),
            "{out:?}"
        );
        // It is tried on while its word holds, and good again with one answer.
        assert_eq!(tick(&mut holder, 600, &[0, 0, 0, 0], Some(9)), [Output::SendProbe("n1".into())]);
        tried(&mut holder, 610, "n1", true);
        assert_eq!(hints(&tick(&mut holder, 620, &[0, 0, 0, 0], Some(9))), [("n1".to_owned(), false)]);
    }

    #[test]
    fn one_gateway_alone_calls_nothing_bad() {
        let mut holder = suspects(0);
        // Its own requests fail and its own trial fails: that is one gateway.
        assert!(tick(&mut holder, 0, &[0, 5], Some(9)).contains(&Output::SendProbe("n1".into())));
        tried(&mut holder, 50, "n1", false);
        assert!(hints(&tick(&mut holder, 60, &[0, 5], Some(9))).is_empty());
        // Whoever hears such a word does not take it either.
        let mut other = suspects(1);
        tick(&mut other, 0, &[0, 0], None);
        let words = vec![Verdict {
            node: "n1".into(),
            started: 5,
            is_outlier: true,
            age_ms: 0,
            reporting_gateways: 1,
        }];
        let mut out = Vec::new();
        other.handle(
            10,
            Input::MessageReceived { from: 0, message: Message::Verdicts { token: 9, verdicts: words } },
            &mut out,
        );
        assert!(out.is_empty());
    }

    #[test]
    fn words_are_bounded_in_number_age_and_token() {
        let mut other = suspects(1);
        tick(&mut other, 0, &[0; 8], None);
        let say = |other: &mut OutlierGossip, now, token, node: &str, started, age| {
            let words = vec![Verdict {
                node: node.into(),
                started,
                is_outlier: true,
                age_ms: age,
                reporting_gateways: 3,
            }];
            let mut out = Vec::new();
            other.handle(
                now,
                Input::MessageReceived { from: 0, message: Message::Verdicts { token, verdicts: words } },
                &mut out,
            );
            hints(&out).len()
        };
        assert_eq!(say(&mut other, 10, 9, "n1", 5, 0), 1);
        assert_eq!(say(&mut other, 20, 9, "n2", 5, 0), 1);
        assert_eq!(say(&mut other, 30, 9, "n3", 5, 0), 0, "a quarter of eight nodes");
        assert_eq!(say(&mut other, 40, 9, "n1", 4, 0), 0, "another start of it");
        assert_eq!(say(&mut other, 50, 9, "nobody", 5, 0), 0);
        assert_eq!(say(&mut other, 60, 8, "n1", 5, 0), 0, "of a holder that is none any more");
        assert_eq!(say(&mut other, 70, 9, "n1", 5, 1000), 0, "too old");
        // Words run out by themselves.
        tick(&mut other, 1100, &[0; 8], None);
        assert_eq!(say(&mut other, 1110, 9, "n3", 5, 0), 1);
    }

    #[test]
    fn a_word_alone_never_makes_a_report() {
        let word = |bad, age| Verdict {
            node: "n0".into(),
            started: 5,
            is_outlier: bad,
            age_ms: age,
            reporting_gateways: 2,
        };
        assert_eq!(remembered(&word(true, 400), 1000, 0), (1, 600));
        assert_eq!(remembered(&word(true, 400), 1000, 7), (7, 600), "its own failures stay");
        assert_eq!(remembered(&word(false, 0), 1000, 7), (0, 0));
        // Else what was heard would come back as evidence, and no word would ever run out.
        let (failures, _) = remembered(&word(true, 0), 1000, 0);
        assert!(tick(&mut suspects(1), 0, &[failures], None).is_empty());
        assert!(is_well(200) && is_well(400) && !is_well(503) && !is_well(100));
    }

    #[test]
    fn nothing_is_tried_without_the_lease_nor_where_the_list_forbids() {
        let mut gateway = suspects(0);
        let out = tick(&mut gateway, 0, &[5, 0], None);
        assert_eq!(
            out,
            [Output::Broadcast(Message::Reports(vec![FailureReport { node: "n0".into(), started: 5 }]))]
        );
        let seen = vec![Seen { ready: false, ..seen("n0", 5) }];
        let mut out = Vec::new();
        gateway.handle(200, Input::Tick { nodes: seen, lease_token: Some(9) }, &mut out);
        assert!(out.is_empty(), "{out:?}");
    }

    #[test]
    fn the_fleet_s_rate_of_trials_is_kept() {
        let mut holder = suspects(0);
        tick(&mut holder, 0, &[0; 6], Some(9));
        for node in 0..6 {
            reported(&mut holder, 10, 3, &format!("n{node}"), 5);
        }
        let tries = |out: &[Output]| out.iter().filter(|o| matches!(o, Output::SendProbe(_))).count();
        let all: usize = (1..=50).map(|at| tries(&tick(&mut holder, at * 10, &[0; 6], Some(9)))).sum();
        assert_eq!(all, 5, "one each 100 ms");
    }
}
