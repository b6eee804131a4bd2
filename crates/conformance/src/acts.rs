//! Checks the rules of fleet-wide tasks from the acts that the task endpoints recorded, all on one clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An act of a lease holder as the task endpoint recorded it. Times are in ms on the clock of the endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Act {
    /// Name of the task.
    pub task: String,
    /// Number of the gateway that acted.
    pub gateway: u32,
    /// Fencing token of the call.
    pub token: u64,
    /// Time at which the endpoint accepted or rejected the call.
    pub begin: f64,
    /// Time at which the effect ended.
    pub end: f64,
    /// Time by which the act had to end, as the sender stated it.
    pub deadline: f64,
    /// Whether the effect took place.
    pub accepted: bool,
}

/// Checks the acts of each task and returns a description of each violation: acts under different tokens must not overlap,
/// tokens must not decrease, and, if `deadlines` is set, no act may last beyond its deadline.
#[must_use]
pub fn check_acts(acts: &[Act], deadlines: bool) -> Vec<String> {
    let mut tasks = BTreeMap::<&str, Vec<&Act>>::new();
    for act in acts.iter().filter(|a| a.accepted) {
        tasks.entry(&act.task).or_default().push(act);
    }
    let mut violations = Vec::new();
    for (task, mut acts) in tasks {
        acts.sort_by(|a, b| a.begin.total_cmp(&b.begin));
        let (mut previous, mut latest_ending) = (None::<&Act>, None::<&Act>);
        for act in acts {
            if let Some(earlier) = previous.filter(|p| p.token > act.token) {
                violations.push(format!(
                    "{task}: token {} of gateway {} at {:.1} ms behind token {} of gateway {}",
                    act.token, act.gateway, act.begin, earlier.token, earlier.gateway
                ));
            }
            // The act with the latest end so far must have ended, unless it has the same token.
            if let Some(other) = latest_ending.filter(|u| u.token != act.token && u.end > act.begin) {
                violations.push(format!(
                    "{task}: gateway {} acts from {:.1} ms while gateway {} acts until {:.1} ms",
                    act.gateway, act.begin, other.gateway, other.end
                ));
            }
            if deadlines && act.end > act.deadline {
                let (late, gateway) = (act.end - act.deadline, act.gateway);
                violations
                    .push(format!("{task}: gateway {gateway} acts until {late:.1} ms behind its deadline"));
            }
            previous = Some(act);
            latest_ending = latest_ending.filter(|u| u.end >= act.end).or(Some(act));
        }
    }
    violations
}

#[cfg(test)]
mod tests {
    use super::*;

    fn act(gateway: u32, token: u64, begin: f64, end: f64) -> Act {
        Act { task: "t".into(), gateway, token, begin, end, deadline: end + 1.0, accepted: true }
    }

    #[test]
    fn each_rule_is_caught_alone_and_good_acts_pass() {
        let good = [act(0, 1, 0.0, 9.0), act(0, 1, 10.0, 19.0), act(1, 2, 19.0, 30.0)];
        assert!(check_acts(&good, true).is_empty());
        let overlap = [act(0, 1, 0.0, 20.0), act(0, 1, 5.0, 6.0), act(1, 2, 19.0, 30.0)];
        assert!(check_acts(&overlap, true).iter().any(|b| b.contains("while gateway 0 acts until 20.0")));
        let back = [act(1, 2, 0.0, 9.0), act(0, 1, 10.0, 19.0)];
        assert!(check_acts(&back, true).iter().any(|b| b.contains("token 1 of gateway 0")));
        let late = [Act { deadline: 5.0, ..act(0, 1, 6.0, 7.0) }];
        assert_eq!((check_acts(&late, true).len(), check_acts(&late, false).len()), (1, 0));
        let refused = [act(1, 2, 0.0, 9.0), Act { accepted: false, ..act(0, 1, 3.0, 4.0) }];
        assert!(check_acts(&refused, true).is_empty(), "what was refused had no effect");
    }
}
