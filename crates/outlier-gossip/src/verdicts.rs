//! Verdicts on nodes: which are accepted, and what they change in a gateway's decisions.

use crate::{MIN_REPORTING_GATEWAYS, Millis, NodeStatus, Settings, Verdict};
use std::collections::BTreeMap;

/// A verdict in force.
#[derive(Clone, Copy, Debug)]
struct ActiveVerdict {
    is_outlier: bool,
    expires_at: Millis,
}

/// The verdicts in force, by node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verdicts {
    by_node: BTreeMap<String, ActiveVerdict>,
}

impl Verdicts {
    /// Removes verdicts that have expired, and those on nodes that are not listed.
    pub(crate) fn remove_invalid(&mut self, now: Millis, nodes: &BTreeMap<String, NodeStatus>) {
        self.by_node.retain(|node, verdict| now < verdict.expires_at && nodes.contains_key(node));
    }

    pub(crate) fn is_outlier(&self, node: &str) -> bool {
        self.by_node.get(node).is_some_and(|verdict| verdict.is_outlier)
    }

    /// Accepts a verdict if the rules allow it. Returns whether the decision library has to be told: that a node is no
    /// outlier matters only if it was one before.
    pub(crate) fn accept(
        &mut self, now: Millis, verdict: &Verdict, nodes: &BTreeMap<String, NodeStatus>, settings: &Settings,
    ) -> bool {
        if !is_valid(verdict, nodes, settings.retention) {
            return false;
        }
        let other_outliers = self.count_other_outliers(now, &verdict.node);
        if verdict.is_outlier && other_outliers >= max_outliers(nodes.len(), settings.max_outlier_fraction) {
            return false;
        }
        let expires_at = now + settings.retention - verdict.age_ms;
        let active = ActiveVerdict { is_outlier: verdict.is_outlier, expires_at };
        let before = self.by_node.insert(verdict.node.clone(), active);
        verdict.is_outlier || before.is_some_and(|before| before.is_outlier)
    }

    fn count_other_outliers(&self, now: Millis, node: &str) -> usize {
        let is_other_outlier = |(other, verdict): &(&String, &ActiveVerdict)| {
            verdict.is_outlier && now < verdict.expires_at && *other != node
        };
        self.by_node.iter().filter(is_other_outlier).count()
    }
}

/// Whether a verdict is about the listed start of a ready node, has not expired, and has enough evidence.
fn is_valid(verdict: &Verdict, nodes: &BTreeMap<String, NodeStatus>, retention: Millis) -> bool {
    let is_listed =
        nodes.get(&verdict.node).is_some_and(|node| node.started == verdict.started && node.ready);
    let has_evidence = !verdict.is_outlier || verdict.reporting_gateways as usize >= MIN_REPORTING_GATEWAYS;
    is_listed && verdict.age_ms < retention && has_evidence
}

/// How many of `node_count` nodes may be outliers at the same time: `fraction` of them, but at least one.
fn max_outliers(node_count: usize, fraction: f64) -> usize {
    ((node_count as f64 * fraction) as usize).max(1)
}

/// What a verdict changes in a gateway's decisions about the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerdictEffect {
    /// The number of consecutive failures of the node that the decision library is to assume.
    pub consecutive_failures: u32,
    /// How long the node is ejected, in ms; 0 where it is not ejected.
    pub ejected_for: Millis,
}

/// The effect of a verdict on a gateway whose own requests to the node failed `consecutive_failures` times in a row.
/// Verdicts are valid for `retention`, in ms.
///
/// Until the verdict expires or is withdrawn, an outlier is treated as if at least one request of the gateway itself
/// had failed. A verdict alone never counts as enough failures for a report: otherwise a verdict would return as
/// evidence for itself and never expire.
#[must_use]
pub fn verdict_effect(verdict: &Verdict, retention: Millis, consecutive_failures: u32) -> VerdictEffect {
    if verdict.is_outlier {
        VerdictEffect {
            consecutive_failures: consecutive_failures.max(1),
            ejected_for: retention.saturating_sub(verdict.age_ms),
        }
    } else {
        VerdictEffect { consecutive_failures: 0, ejected_for: 0 }
    }
}
